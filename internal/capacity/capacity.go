// Package capacity measures what each role costs at the size that the design is
// for. It holds only benchmarks; docs/CAPACITY.md names them and works the
// figures out.
package capacity

// The size that the design is for.
const (
	Routers        = 390
	Sidecars       = 11_000
	Models         = 650
	Adapters       = 9_600
	FailureDomains = 27
	Regions        = 10
)

// SidecarsPerDomain is the number of sidecars that one router watches.
const SidecarsPerDomain = Sidecars / FailureDomains

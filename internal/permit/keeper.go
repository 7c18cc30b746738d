// Package permit limits the loads that sidecars run from the weight store.
package permit

import "time"

// Limits bound the loads from the weight store over all hosts.
type Limits struct {
	// Parallel is the number of loads at the same time.
	Parallel int
	// PerSecond is the number of loads started per second.
	PerSecond float64
}

// Options configure a Keeper.
type Options struct {
	Limits Limits
	// AgeStep is the waiting time that raises a request by one priority step.
	AgeStep time.Duration
	// Expiry bounds how long a permit counts without a Done.
	Expiry time.Duration
	// LostExpiry bounds how long a permit counts after its host was lost.
	LostExpiry time.Duration
	// Handover is how long a new keeper allows for permits that an earlier
	// keeper granted.
	Handover time.Duration
}

// Request asks for one load.
type Request struct {
	Host string
	// ID is unique among the requests of a host's boot.
	ID       uint64
	Model    string
	Priority uint32
}

// Grant allows the load of a request.
type Grant struct {
	Host string
	ID   uint64
	// Behind counts the loads that were granted while the request waited.
	Behind uint32
}

// Keeper grants permits. It is pure and not safe for concurrent use.
type Keeper struct{}

// NewKeeper makes a keeper that starts at now.
func NewKeeper(now time.Time, opts Options) *Keeper { return &Keeper{} }

// SetLimits changes the limits; loads that run are not affected.
func (k *Keeper) SetLimits(now time.Time, limits Limits) {}

// Request queues a request; a repeated one is ignored.
func (k *Keeper) Request(now time.Time, r Request) {}

// Done ends a load or withdraws a request; unknown ones are ignored.
func (k *Keeper) Done(now time.Time, host string, id uint64) {}

// Lost forgets the waiting requests of a host whose session has ended. Its
// permits count until they expire, as the loads may still run.
func (k *Keeper) Lost(now time.Time, host string) {}

// Tick returns the permits that can be granted at now.
func (k *Keeper) Tick(now time.Time) []Grant { return nil }

package config

import (
	"slices"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// Pool is what the host list tells about the upstream hosts of one pool.
type Pool struct {
	// MaxMemoryMiB is the accelerator memory of the largest host.
	MaxMemoryMiB   uint32
	FailureDomains []string
}

// Fleet is what a set is checked against. The zero value skips those checks.
type Fleet struct {
	Pools map[string]Pool
}

// FleetOf sums up the upstream hosts of a host list.
func FleetOf(listing external.HostListing) Fleet {
	fleet := Fleet{Pools: make(map[string]Pool)}
	for _, host := range listing.Hosts {
		if host.Role != external.RoleUpstream {
			continue
		}
		pool := fleet.Pools[host.Pool]
		pool.MaxMemoryMiB = max(pool.MaxMemoryMiB, host.MemoryMiB)
		if !slices.Contains(pool.FailureDomains, host.FailureDomain) {
			pool.FailureDomains = append(pool.FailureDomains, host.FailureDomain)
		}
		fleet.Pools[host.Pool] = pool
	}
	return fleet
}

package config

import (
	"slices"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// Pool summarizes the upstream hosts of one pool in the host list.
type Pool struct {
	// MaxMemoryMiB is the accelerator memory of the largest host; 0 if unknown.
	MaxMemoryMiB uint32
	// FailureDomains lists the failure domains of the hosts, each once.
	FailureDomains []string
}

// Fleet describes the upstream hosts that a set is checked against. The zero value
// skips these checks.
type Fleet struct {
	// Pools maps the name of a pool to its hosts.
	Pools map[string]Pool
}

// FleetOf summarizes the upstream hosts of a host list by pool.
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

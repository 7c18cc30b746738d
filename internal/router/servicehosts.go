package router

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// serviceHost is a host that runs a plain service.
type serviceHost struct {
	external.Host
	// inFlight counts the calls from this router; it lives as long as the host
	// is listed.
	inFlight *atomic.Int64
}

// serviceIndex lists the hosts of each service. It is rebuilt when the host
// list changes and read with one atomic load.
type serviceIndex struct {
	current atomic.Pointer[serviceHosts]
}

type serviceHosts struct {
	listing  external.HostListing
	services map[string][]serviceHost // by service name
}

// hosts returns the hosts of a service. Two callers may rebuild the index at
// once; both results are right and the counters are shared through the old one.
func (x *serviceIndex) hosts(listing external.HostListing, service string) []serviceHost {
	current := x.current.Load()
	if current == nil || !sameListing(current.listing, listing) {
		current = indexServices(current, listing)
		x.current.Store(current)
	}
	return current.services[service]
}

// sameListing compares listings by identity; they are immutable.
func sameListing(a, b external.HostListing) bool {
	if a.Revision != b.Revision || len(a.Hosts) != len(b.Hosts) {
		return false
	}
	return len(a.Hosts) == 0 || &a.Hosts[0] == &b.Hosts[0]
}

func indexServices(old *serviceHosts, listing external.HostListing) *serviceHosts {
	counters := make(map[string]*atomic.Int64)
	if old != nil {
		for _, hosts := range old.services {
			for _, h := range hosts {
				counters[h.ID] = h.inFlight
			}
		}
	}
	next := &serviceHosts{listing: listing, services: make(map[string][]serviceHost)}
	for _, h := range listing.Hosts {
		if h.Service == "" {
			continue
		}
		counter := counters[h.ID]
		if counter == nil {
			counter = &atomic.Int64{}
		}
		next.services[h.Service] = append(next.services[h.Service], serviceHost{Host: h, inFlight: counter})
	}
	return next
}

// pickServiceHost chooses the live host of the service's pool with the fewest
// calls in flight, in this router's failure domain if it can, and not one of
// tried.
func (r *Router) pickServiceHost(c *serviceCall, tried []string) (serviceHost, bool) {
	snap := r.opts.View.Load()
	now := r.opts.Now()
	hosts := r.services.hosts(snap.Hosts, c.service.GetName())
	var best serviceHost
	var bestLoad int64
	found := false
	from := 0
	if len(hosts) > 0 {
		from = rand.IntN(len(hosts)) // spreads equal choices
	}
	for i := range hosts {
		h := hosts[(from+i)%len(hosts)]
		report := r.opts.View.Report(h.ID)
		if h.Pool != c.service.GetPool() || slices.Contains(tried, h.ID) || report.GetDraining() || !r.live(snap, h.ID, now) {
			continue
		}
		load := 2 * max(h.inFlight.Load(), int64(report.GetCallsInFlight()))
		if h.FailureDomain != r.opts.FailureDomain {
			load++ // breaks ties
		}
		if !found || load < bestLoad {
			best, bestLoad, found = h, load, true
		}
	}
	if found {
		r.opts.Log.Info("route", "request_id", c.x.id, "service", c.service.GetName(), "host", best.ID,
			"attempt", len(tried)+1, "reason", "fewest calls in flight", "alternatives", len(hosts)-1-len(tried))
	}
	return best, found
}

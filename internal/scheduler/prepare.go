package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// prepareInterval is the interval of loads that no request waits for.
	prepareInterval = 200 * time.Millisecond
	// Loads of further replicas start only while fewer loads are in progress than
	// one for each enginesPerLoad engines, or minReplicaLoads if that is more.
	minReplicaLoads = 2
	enginesPerLoad  = 6
	// replicaGain is the factor by which a replica's gain must exceed the loss of
	// the replicas evicted for it.
	replicaGain = 1.3
	// replicaMargin is the gain below which a replica isn't worth its order, in
	// seconds of delay per second.
	replicaMargin = 0.02
	// remoteReplicaGain is the gain from which a replica is worth a load from the
	// weight store, in seconds of delay per second.
	remoteReplicaGain = 0.2
)

// prepare loads models that requests are likely to need.
func (c *Cell) prepare(now time.Time) {
	if !c.mayOrder || c.spec == nil || now.Sub(c.preparedAt) < prepareInterval {
		return
	}
	c.preparedAt = now
	c.endRetirements(now)
	c.replicate(now)
	if c.spec.KeepAlive <= 0 {
		c.fetchAbsent(now)
	}
}

// replicate adds replicas of models whose replicas are busy.
func (c *Cell) replicate(now time.Time) {
	limit := max(minReplicaLoads, len(c.engines)/enginesPerLoad)
	if !c.trafficSeen || c.loadsInProgress() >= limit {
		return
	}
	names := make([]string, 0, len(c.models))
	for name, m := range c.models {
		c.decay(now, m)
		if m.demand.work > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.models[b].demand.work, c.models[a].demand.work), cmp.Compare(a, b))
	})
	for _, name := range names {
		c.replicateModel(now, name)
		if c.loadsInProgress() >= limit {
			return
		}
	}
}

// replicateModel adds a replica of a model if that saves more delay than it
// costs.
func (c *Cell) replicateModel(now time.Time, name string) {
	m := c.models[name]
	n := c.replicasOf(name)
	if n == 0 || c.isLoading(name) {
		return
	}
	gain := m.demand.requests*(queueingDelay(m.demand.work, n)-queueingDelay(m.demand.work, n+1)) + c.limitedGain(m)
	if gain < replicaMargin {
		return
	}
	isWorthwhile := func(e *engine) bool {
		if e.replicas[name] != nil || c.isLimited(e) || e.tier[name] == tierRemote && gain < remoteReplicaGain {
			return false
		}
		_, loss, ok := c.victims(now, e, name)
		return ok && gain >= loss*replicaGain
	}
	if e := c.cheapestLoad(now, name, !c.isCached(name), isWorthwhile); e != nil {
		c.startLoad(now, e, name, "replica")
	}
}

// cheapestLoad returns the suitable engine where a load costs least, or nil.
// mayFetch allows loads from the weight store.
func (c *Cell) cheapestLoad(now time.Time, name string, mayFetch bool, suits func(*engine) bool) *engine {
	best, bestCost := (*engine)(nil), time.Duration(0)
	for _, e := range c.engines {
		if !e.usable() || now.Before(e.ejectedUntil) || !suits(e) {
			continue
		}
		_, cost, ok := c.loadCost(now, e, name, mayFetch)
		if ok && (best == nil || cost < bestCost || cost == bestCost && e.up.ID < best.up.ID) {
			best = e
			bestCost = cost
		}
	}
	return best
}

// fetchAbsent loads models from the weight store that no host has cached, so
// that their first request does not wait for it.
func (c *Cell) fetchAbsent(now time.Time) {
	if !c.remote.mayStart(now) {
		return
	}
	var absent []string
	for name := range c.spec.Models {
		if c.replicasOf(name) == 0 && !c.isCached(name) {
			absent = append(absent, name)
		}
	}
	slices.Sort(absent)
	for _, name := range absent {
		if !c.remote.mayStart(now) {
			return
		}
		if e := c.cheapestLoad(now, name, true, anyEngine); e != nil {
			c.startLoad(now, e, name, "absent model")
		}
	}
}

func anyEngine(*engine) bool { return true }

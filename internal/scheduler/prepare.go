package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// prepareEvery is the pace of loads that no request waits for.
	prepareEvery = 200 * time.Millisecond
	// minReplicaLoads bounds the loads that no request waits for, besides one for
	// each enginesPerLoad engines.
	minReplicaLoads = 2
	enginesPerLoad  = 6
	// replicaWorth is how much more a replica must bring than its victims lose.
	replicaWorth = 1.3
	// replicaMargin is the gain below which a replica isn't worth its order, s/s.
	replicaMargin = 0.02
	// remoteReplicaGain is the gain from which a replica is worth a load from
	// the weight store, s/s.
	remoteReplicaGain = 0.2
)

// prepare loads what requests are likely to need.
func (c *Cell) prepare(now time.Time) {
	if !c.mayOrder || c.spec == nil || now.Sub(c.preparedAt) < prepareEvery {
		return
	}
	c.preparedAt = now
	c.replicate(now)
	if c.spec.KeepAlive <= 0 {
		c.fetchAbsent(now)
	}
}

// replicate adds replicas where they save the most delay.
func (c *Cell) replicate(now time.Time) {
	limit := max(minReplicaLoads, len(c.engines)/enginesPerLoad)
	if !c.trafficSeen || c.loadsInProgress() >= limit {
		return
	}
	for _, candidate := range c.replicaGains(now) {
		c.replicateModel(now, candidate.name, candidate.gain)
		if c.loadsInProgress() >= limit {
			return
		}
	}
}

// replicaGain is what one more replica of a model would save, s/s.
type replicaGain struct {
	name string
	gain float64
}

// replicaGains lists the models that are worth a replica, the best first.
func (c *Cell) replicaGains(now time.Time) []replicaGain {
	var gains []replicaGain
	for name, m := range c.models {
		c.decay(now, m)
		n := c.copiesOf(name)
		if m.demand.work <= 0 || n == 0 {
			continue
		}
		gain := m.demand.requests * (queueing(m.demand.work, n) - queueing(m.demand.work, n+1))
		if gain >= replicaMargin {
			gains = append(gains, replicaGain{name, gain})
		}
	}
	slices.SortFunc(gains, func(a, b replicaGain) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.name, b.name))
	})
	return gains
}

// replicateModel adds a replica of a model if that saves more delay than it
// costs. Hosts without the weights are taken when those that have them can't
// take the model.
func (c *Cell) replicateModel(now time.Time, name string, gain float64) {
	if c.isLoading(name) {
		return
	}
	best := c.replicaEngine(now, name, gain, false)
	if best == nil && gain >= remoteReplicaGain {
		best = c.replicaEngine(now, name, gain, true)
	}
	if best != nil {
		c.startLoad(now, best, name, "replica")
	}
}

// replicaEngine returns the engine on which a replica costs least, among those
// whose host has the weights or among the others; nil if none is worth it.
func (c *Cell) replicaEngine(now time.Time, name string, gain float64, remote bool) *engine {
	return c.cheapestEngine(now, name, func(e *engine) bool {
		if e.copies[name] != nil || (e.tier[name] == tierRemote) != remote {
			return false
		}
		_, loss, ok := c.victims(now, e, name)
		return ok && gain >= loss*replicaWorth
	})
}

// cheapestEngine returns the engine on which a load costs least, among those that
// are wanted; nil if there is none.
func (c *Cell) cheapestEngine(now time.Time, name string, wanted func(*engine) bool) *engine {
	best, bestCost := (*engine)(nil), time.Duration(0)
	for _, e := range c.engines {
		if !e.usable() || now.Before(e.avoidUntil) || !wanted(e) {
			continue
		}
		_, cost, ok := c.loadCost(now, e, name, true)
		if ok && (best == nil || cost < bestCost || cost == bestCost && e.up.ID < best.up.ID) {
			best = e
			bestCost = cost
		}
	}
	return best
}

// fetchAbsent loads models from the weight store that no host has at hand, so
// that their first request does not wait for it.
func (c *Cell) fetchAbsent(now time.Time) {
	if !c.remote.mayStart(now) {
		return
	}
	var absent []string
	for name := range c.spec.Models {
		if c.copiesOf(name) == 0 && !c.isAtHand(name) {
			absent = append(absent, name)
		}
	}
	slices.Sort(absent)
	for _, name := range absent {
		if !c.remote.mayStart(now) {
			return
		}
		c.fetch(now, name)
	}
}

func (c *Cell) fetch(now time.Time, name string) {
	best := c.cheapestEngine(now, name, func(*engine) bool { return true })
	if best != nil {
		c.startLoad(now, best, name, "absent model")
	}
}

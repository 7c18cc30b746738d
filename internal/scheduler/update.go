package scheduler

import (
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

const (
	// priorRequests and priorWork are the initial demand of a model per replica.
	// Models that have several replicas when the cell starts are assumed to be in
	// demand.
	priorRequests = 0.3
	priorWork     = 0.1
)

// Update sets the list of upstreams and the configuration.
func (c *Cell) Update(now time.Time, spec *fleet.EngineSpec, upstreams []*fleet.Upstream) Actions {
	if spec == nil {
		return c.takeActions()
	}
	first := c.spec == nil
	c.spec = spec
	c.remote.setRate(spec.RemoteLoadsPerSecond)
	c.remote.setConcurrency(spec.ParallelRemoteLoads)
	listed := make(map[string]bool, len(upstreams))
	for _, up := range upstreams {
		listed[up.ID] = true
		c.updateEngine(now, up)
	}
	for id, e := range c.engines {
		if !listed[id] {
			c.confirmCrash(now, e, !e.up.Draining)
			c.removeEngine(e)
		}
	}
	if first {
		c.seedDemand()
	}
	c.dispatchAfterEvent(now)
	return c.takeActions()
}

// seedDemand sets the initial demand from the existing replicas.
func (c *Cell) seedDemand() {
	for name := range c.spec.Models {
		if n := c.replicasOf(name); n > 1 {
			m := c.modelOf(name)
			m.demand.requests = float64(n) * priorRequests
			m.demand.work = float64(n) * priorWork
		}
	}
}

func (c *Cell) updateEngine(now time.Time, up *fleet.Upstream) {
	e := c.engines[up.ID]
	if e != nil && up.StartedMs > e.up.StartedMs {
		c.confirmCrash(now, e, true)
		c.removeEngine(e)
		e = nil
	}
	if e == nil {
		e = newEngine(up, c.spec)
		e.listedAt = now
		c.engines[up.ID] = e
		if c.mayOrder {
			c.inspect(now, e, 0)
		}
		return
	}
	if up.StartedMs < e.up.StartedMs {
		// The engine's inventory has shown a later start. Only what an operator has set
		// does not depend on the incarnation.
		current := *e.up
		current.Cordoned = up.Cordoned
		e.up = &current
		return
	}
	if up.Sequence == e.up.Sequence && up.TakesWork() == e.up.TakesWork() {
		return
	}
	e.up = up
	e.setTiers(up.OnDisk, up.InMemory)
	if e.plan == nil && now.Sub(e.lastOrderAt) > registrationLag {
		c.adoptRegistration(now, e, up)
	}
}

// adoptRegistration adds the replicas and adapters that an engine without a plan
// registered. A registration may be outdated, so nothing is removed; if
// something is missing from it, an inventory is requested.
func (c *Cell) adoptRegistration(now time.Time, e *engine, up *fleet.Upstream) {
	incomplete := len(up.Models) < len(e.replicas)
	for _, m := range up.Models {
		rep := e.replicas[m.Name]
		if rep == nil {
			rep = &replica{model: m.Name, memoryMB: c.spec.Models[m.Name].MemoryMB, adapters: make(map[string]*adapterReplica)}
			e.replicas[m.Name] = rep
		}
		incomplete = incomplete || len(m.Adapters) < len(rep.adapters)
		for _, name := range m.Adapters {
			if rep.adapters[name] == nil {
				rep.adapters[name] = &adapterReplica{}
			}
		}
	}
	if incomplete {
		c.inspect(now, e, 0)
	}
}

func (c *Cell) removeEngine(e *engine) {
	c.abandonPlan(e)
	for key := range e.runs {
		delete(c.runs, key)
	}
	delete(c.engines, e.up.ID)
}

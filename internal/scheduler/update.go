package scheduler

import (
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

const (
	// priorRequests and priorWork are the demand of a model for each replica
	// that it has before the first request: what was replicated is in demand.
	priorRequests = 0.3
	priorWork     = 0.1
)

// Update takes over the list of upstreams and the configuration.
func (c *Cell) Update(now time.Time, spec *fleet.EngineSpec, upstreams []*fleet.Upstream) Actions {
	if spec == nil {
		return c.take()
	}
	first := c.spec == nil
	c.spec = spec
	c.remote.setRate(spec.RemoteLoadsPerSecond)
	c.remote.setAtOnce(spec.ParallelRemoteLoads)
	listed := make(map[string]bool, len(upstreams))
	for _, up := range upstreams {
		listed[up.ID] = true
		c.updateEngine(now, up)
	}
	for id, e := range c.engines {
		if !listed[id] {
			c.removeEngine(e)
		}
	}
	if first {
		c.assumeDemand()
	}
	c.dispatch(now)
	return c.take()
}

// assumeDemand seeds the demand by what is replicated.
func (c *Cell) assumeDemand() {
	for name := range c.spec.Models {
		if n := c.copiesOf(name); n > 1 {
			m := c.modelOf(name)
			m.demand.requests = float64(n) * priorRequests
			m.demand.work = float64(n) * priorWork
		}
	}
}

func (c *Cell) updateEngine(now time.Time, up *fleet.Upstream) {
	e := c.engines[up.ID]
	if e != nil && up.StartedMs > e.up.StartedMs {
		c.removeEngine(e)
		e = nil
	}
	if e == nil {
		e = newEngine(up, c.spec)
		e.knownSince = now
		c.engines[up.ID] = e
		if c.mayOrder {
			c.inspect(e, 0)
		}
		return
	}
	if up.Sequence == e.up.Sequence && up.TakesWork() == e.up.TakesWork() {
		return
	}
	e.up = up
	e.setTiers(up.OnDisk, up.InMemory)
	if e.plan == nil && now.Sub(e.settledAt) > descriptionLag {
		c.adoptDescription(e, up)
	}
}

// adoptDescription takes over what an engine without orders under way says that
// it holds. A description may be old, so it only adds to what is counted; what
// it lacks is settled by a report.
func (c *Cell) adoptDescription(e *engine, up *fleet.Upstream) {
	lacks := len(up.Models) < len(e.copies)
	for _, held := range up.Models {
		w := e.copies[held.Name]
		if w == nil {
			w = &weightCopy{model: held.Name, memoryMB: c.spec.Models[held.Name].MemoryMB, adapters: make(map[string]*adapterCopy)}
			e.copies[held.Name] = w
		}
		lacks = lacks || len(held.Adapters) < len(w.adapters)
		for _, name := range held.Adapters {
			if w.adapters[name] == nil {
				w.adapters[name] = &adapterCopy{}
			}
		}
	}
	if lacks {
		c.inspect(e, 0)
	}
}

func (c *Cell) removeEngine(e *engine) {
	c.abandonPlan(e)
	for key := range e.runs {
		delete(c.runs, key)
	}
	delete(c.engines, e.up.ID)
}

package scheduler

import (
	"slices"
	"time"
)

const (
	// reapEvery is the pace at which idle copies are looked for.
	reapEvery = 500 * time.Millisecond
	// unknownPatience is how long an engine without a report counts as one that
	// may hold any model. One that gives no report for longer is taken as dead.
	unknownPatience = 3 * time.Second
)

// mayAdd reports whether one more copy of a model may be loaded on an engine.
func (c *Cell) mayAdd(now time.Time, e *engine, name string) bool {
	spec := c.spec.Models[name]
	if len(spec.FailureDomains) > 0 && !slices.Contains(spec.FailureDomains, e.up.FailureDomain) {
		return false
	}
	return spec.MaxReplicas <= 0 || c.mayHold(now, name) < spec.MaxReplicas
}

// mayHold counts the engines that hold a model or may do so, those that take no
// new work included.
func (c *Cell) mayHold(now time.Time, name string) int {
	n := 0
	for _, e := range c.engines {
		unknown := !e.reported && now.Sub(e.knownSince) < unknownPatience
		if e.copies[name] != nil || unknown {
			n++
		}
	}
	return n
}

// queueIsFull reports whether as many requests wait for a model as may.
func (c *Cell) queueIsFull(name string) bool {
	if c.spec == nil || c.spec.Models[name].MaxQueue <= 0 {
		return false
	}
	return c.waitingFor(name) >= c.spec.Models[name].MaxQueue
}

// rank is the place of a waiting ask in the queue, 0 first. Waiting improves it.
func (w *waiter) rank(now time.Time) int {
	if w.ask.Ageing <= 0 {
		return w.ask.Priority
	}
	return w.ask.Priority - int(now.Sub(w.since)/w.ask.Ageing)
}

// adapterLoadsAllowed reports whether one more adapter may be loaded anywhere.
func (c *Cell) adapterLoadsAllowed(now time.Time) bool {
	if c.spec.ParallelAdapterLoads <= 0 {
		return true
	}
	n := 0
	for _, e := range c.engines {
		n += e.comingAdapters(now)
	}
	return n < c.spec.ParallelAdapterLoads
}

// keepAlive returns how long an idle copy of a model is kept; 0 keeps it until
// its memory is needed.
func (c *Cell) keepAlive(name string) time.Duration {
	if spec, known := c.spec.Models[name]; known {
		return spec.KeepAlive
	}
	return c.spec.KeepAlive
}

// reap unloads copies that were idle for longer than their keep-alive, and idle
// ones on engines that take no new work, one for each engine at a time.
func (c *Cell) reap(now time.Time) {
	if !c.mayOrder || c.spec == nil || now.Sub(c.reapedAt) < reapEvery {
		return
	}
	c.reapedAt = now
	for _, e := range c.engines {
		if e.isFree() {
			c.reapOn(now, e)
		}
	}
}

func (c *Cell) reapOn(now time.Time, e *engine) {
	for name, w := range e.copies {
		keep := c.keepAlive(name)
		if keep <= 0 || w.state != present || w.running > 0 {
			continue
		}
		if e.usable() && c.isWanted(name, "") {
			continue
		}
		if w.lastUsed.IsZero() {
			w.lastUsed = now // seen for the first time
		}
		if e.usable() && now.Sub(w.lastUsed) < keep {
			continue
		}
		w.state = unloading
		c.begin(now, e, &plan{steps: []step{{unload: true, model: name}}, model: name, reason: "idle", began: now})
		return
	}
}

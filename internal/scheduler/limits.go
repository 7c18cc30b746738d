package scheduler

import (
	"slices"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/turn"
)

const (
	// reapInterval is the interval between searches for idle replicas.
	reapInterval = 500 * time.Millisecond
	// unknownTimeout is how long an engine without an inventory counts as one that
	// may have any model loaded. After that it is assumed to have failed.
	unknownTimeout = 3 * time.Second
)

// mayAdd reports whether the limits allow another replica of a model on an
// engine.
func (c *Cell) mayAdd(now time.Time, e *engine, name string) bool {
	spec := c.spec.Models[name]
	if len(spec.FailureDomains) > 0 && !slices.Contains(spec.FailureDomains, e.up.FailureDomain) {
		return false
	}
	return spec.MaxReplicas <= 0 || c.possibleReplicas(now, name) < spec.MaxReplicas
}

// possibleReplicas counts the engines that have or may have a model loaded,
// those that take no new work included.
func (c *Cell) possibleReplicas(now time.Time, name string) int {
	n := 0
	for _, e := range c.engines {
		unknown := !e.reported && now.Sub(e.listedAt) < unknownTimeout
		if e.replicas[name] != nil || unknown {
			n++
		}
	}
	return n
}

// queueIsFull reports whether the limit of waiting requests for a model is
// reached.
func (c *Cell) queueIsFull(name string) bool {
	if c.spec == nil || c.spec.Models[name].MaxQueue <= 0 {
		return false
	}
	return c.waitingCount(name) >= c.spec.Models[name].MaxQueue
}

// rank is the position of a waiting request in the queue, 0 first. Waiting
// improves it.
func (w *waiter) rank(now time.Time) int {
	if w.req.Ageing <= 0 {
		return w.req.Priority
	}
	return w.req.Priority - int(now.Sub(w.since)/w.req.Ageing)
}

// claim is what a waiting request is ordered by.
func (w *waiter) claim(now time.Time) turn.Claim {
	return turn.Claim{
		Rank:      w.rank(now),
		Due:       w.req.Objective,
		Workspace: w.req.Workspace,
		Weight:    w.req.WorkspaceWeight,
		Cost:      float64(max(1, w.req.PromptTokens+w.req.OutputTokens)),
	}
}

// adapterLoadsAllowed reports whether the limit on concurrent adapter loads
// allows another one.
func (c *Cell) adapterLoadsAllowed(now time.Time) bool {
	if c.spec.ParallelAdapterLoads <= 0 {
		return true
	}
	n := 0
	for _, e := range c.engines {
		n += e.loadingAdapters(now)
	}
	return n < c.spec.ParallelAdapterLoads
}

// keepAlive returns how long an idle replica of a model is kept; 0 keeps it
// until its memory is needed.
func (c *Cell) keepAlive(name string) time.Duration {
	if spec, known := c.spec.Models[name]; known {
		return spec.KeepAlive
	}
	return c.spec.KeepAlive
}

// reap unloads replicas that were idle for longer than their keep-alive, and
// idle ones on engines that take no new work, one per engine at a time.
func (c *Cell) reap(now time.Time) {
	if !c.mayOrder || c.spec == nil || now.Sub(c.reapedAt) < reapInterval {
		return
	}
	c.reapedAt = now
	for _, e := range c.engines {
		if e.acceptsOrders() {
			c.reapOn(now, e)
		}
	}
}

func (c *Cell) reapOn(now time.Time, e *engine) {
	for name, rep := range e.replicas {
		keep := c.keepAlive(name)
		if keep <= 0 || rep.state != loaded || rep.running > 0 {
			continue
		}
		if e.usable() && c.isAwaited(name, "") {
			continue
		}
		if rep.lastUsed.IsZero() {
			rep.lastUsed = now // seen for the first time
		}
		if e.usable() && now.Sub(rep.lastUsed) < keep {
			continue
		}
		rep.state = unloading
		c.startPlan(now, e, &plan{steps: []step{{unload: true, model: name}}, model: name, reason: "idle", startedAt: now})
		return
	}
}

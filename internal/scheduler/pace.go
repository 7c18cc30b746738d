package scheduler

import (
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/pace"
)

const (
	// maxLimitedDelay bounds the delay that a limit is taken to cause when replicas are valued.
	maxLimitedDelay = 2 * time.Second
	// limitedShare is the part of the time between two requests that a request to a limited
	// engine costs others, which may need that engine.
	limitedShare = 0.05
)

// unlimited is the Pace of engines without limits.
type unlimited struct{}

func (unlimited) Any() bool                             { return false }
func (unlimited) Delay(time.Time, string) time.Duration { return 0 }
func (unlimited) Interval(string) time.Duration         { return 0 }
func (unlimited) Take(time.Time, string)                {}
func (unlimited) RetryAfter(_ time.Time, _ string, wait time.Duration) time.Duration {
	return wait
}

func (c *Cell) isLimited(e *engine) bool { return c.opts.Pace.Interval(e.up.ID) > 0 }

// paceDelay is the time until the rate limit of an engine allows a request behind those that
// wait for it.
func (c *Cell) paceDelay(now time.Time, e *engine) time.Duration {
	return c.opts.Pace.Delay(now, e.up.ID) + time.Duration(e.queuedPace)*c.opts.Pace.Interval(e.up.ID)
}

// paceCost is what a request to an engine with a rate limit costs those that need that engine.
func (c *Cell) paceCost(e *engine) time.Duration {
	return time.Duration(limitedShare * float64(min(c.opts.Pace.Interval(e.up.ID), maxLimitedDelay)))
}

// awaitPace lets a request wait for the rate limit of an engine, or refuses it if that takes too
// long.
func (c *Cell) awaitPace(now time.Time, w *waiter, o option) bool {
	if !c.canWait(now, w, o) {
		return c.refuse(w, c.opts.Pace.RetryAfter(now, o.engine.up.ID, o.paceDelay), pace.RefusalReason)
	}
	w.reason = pace.WaitReason
	o.engine.queuedPace++
	c.paceQueued = true
	return false
}

// resetQueuedPace forgets the requests that wait for a rate limit, before all of them are tried
// again.
func (c *Cell) resetQueuedPace() {
	if !c.paceQueued {
		return
	}
	c.paceQueued = false
	for _, e := range c.engines {
		e.queuedPace = 0
	}
}

// limitedLoadCost is what a load on an engine costs because of its rate limit: that bounds what
// the replica serves.
func (c *Cell) limitedLoadCost(e *engine) time.Duration {
	return min(c.opts.Pace.Interval(e.up.ID), maxLimitedDelay)
}

// limitedGain is the delay that a replica without a rate limit saves a model all of whose
// replicas have one, in seconds per second.
func (c *Cell) limitedGain(m *model) float64 {
	if !c.opts.Pace.Any() {
		return 0
	}
	perSecond := 0.0
	for _, e := range c.engines {
		if e.ready(m.name) == nil || !e.usable() {
			continue
		}
		interval := c.opts.Pace.Interval(e.up.ID)
		if interval == 0 {
			return 0
		}
		perSecond += 1 / interval.Seconds()
	}
	if perSecond == 0 {
		return 0
	}
	return m.demand.requests * min(1/perSecond, maxLimitedDelay.Seconds())
}

package router

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/route"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// adapterLoadTime is the expected time to load an adapter.
const adapterLoadTime = 15 * time.Millisecond

// capacity is what the replicas of a model let a waiting request expect.
type capacity struct {
	// known is false when no replica is assigned to a live host.
	known bool
	// startsLoad is true when the next request starts a load. It is sent on although
	// its deadline can't be met, since else nobody would start it.
	startsLoad bool
	cold       bool
	load       route.Load
}

// capacity looks at the replicas of a model; the caller holds m.mu.
func (r *Router) capacity(m *model, snap *view.Snapshot, adapter string, now time.Time) capacity {
	m.buf = r.candidates(m, snap, adapter, now, m.buf[:0])
	out := capacity{load: route.Load{Hold: m.hold.Value(now), FirstToken: m.first.Value(now)}}
	window := window(snap, m.name)
	hasAdapter := adapter == ""
	ready := 0
	for i := range m.buf {
		c := &m.buf[i]
		if c.State != route.StateReady {
			continue
		}
		ready++
		hasAdapter = hasAdapter || c.HasAdapter
		out.load.Window += window
		out.load.Dispatched += c.Sent
	}
	if !hasAdapter {
		out.load.Adapter = adapterLoadTime
	}
	out.known = len(m.buf) > 0
	if ready > 0 || !out.known {
		return out
	}
	c := coldChoice(m.buf)
	out.cold = true
	out.startsLoad = c.State == route.StateCold
	out.load.Window = window
	out.load.Dispatched = c.Sent
	out.load.ReadyIn = c.ReadyIn
	return out
}

// coldChoice is the candidate that route.Pick takes when none is ready.
func coldChoice(candidates []route.Candidate) *route.Candidate {
	for i := range candidates {
		if candidates[i].State == route.StateLoading {
			return &candidates[i]
		}
	}
	return &candidates[0]
}

// estimate is the expected wait behind a number of waiters.
func (c capacity) estimate(ahead int) route.Estimate {
	load := c.load
	load.Ahead = ahead
	return route.EstimateWait(load)
}

// refusal returns the Error of a request whose deadline can't be met.
func (c capacity) refusal(w *route.Waiter[*ticket], ahead int, now time.Time) *Error {
	if !c.known || c.startsLoad {
		return nil
	}
	e := c.estimate(ahead)
	left := w.Value.x.deadline.Sub(now)
	if e.Total() <= left {
		return nil
	}
	err := notRun(KindDeadline, http.StatusServiceUnavailable, remedyDeadline,
		"the first token is expected in %s (queue %s, load %s, adapter %s, engine %s) and the deadline is in %s",
		round(e.Total()), round(e.Queue), round(e.Load), round(e.Adapter), round(e.Engine), round(left))
	if e.Backlog() == 0 {
		err.Remedy = "raise " + HeaderDeadline
		return err
	}
	return err.after(e.Backlog())
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// cause says what a request in a queue of a length waits for.
func (c capacity) cause(length int) string {
	switch {
	case !c.known:
		return "no replica is assigned to a live host"
	case c.cold:
		return fmt.Sprintf("the model is not loaded, %d requests wait", length)
	default:
		return fmt.Sprintf("replicas have no room, %d requests wait", length)
	}
}

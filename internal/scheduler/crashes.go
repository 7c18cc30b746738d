package scheduler

import (
	"strconv"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/blocklist"
)

const (
	// ProvenTime is how long a response must have been arriving for its request not to be
	// suspected of a crash: engines that a request crashes end as they begin to respond.
	ProvenTime = time.Second
	// provenInterval is the shortest time between two looks at all responses in progress.
	provenInterval = 200 * time.Millisecond
	// maxBrokenOffAge is how long after a request broke off the end of its engine counts
	// as a crash under it.
	maxBrokenOffAge = 5 * time.Second
	// crashCheckDelay is the time after a request broke off from which an inventory shows
	// that the engine lives on. An earlier one may have been taken before.
	crashCheckDelay = 100 * time.Millisecond
)

// BrokenOff is a request whose engine ended the connection before the first event, or so soon
// after it that the engine may have crashed as it began to respond.
type BrokenOff struct {
	RequestID string
	// UpstreamID and StartedMs are the incarnation of the engine; StartedMs is 0 if the
	// router does not know it.
	UpstreamID string
	StartedMs  int64
	// Parts are the suspects; see blocklist.SharedParts.
	Parts []string
	At    time.Time
}

// CrashedEngine is an engine that ended under requests.
type CrashedEngine struct {
	UpstreamID string
	// Requests are those that broke off as their responses began, Suspects their parts.
	Requests []string
	Suspects []string
}

func (a *Request) sharedParts() []string {
	return blocklist.SharedParts(a.Parts, func(p PromptPart) string { return p.ID })
}

// noteBrokenOff handles the end of a run's connection. Whether the engine itself ended is
// told by its inventory, or by its absence.
func (c *Cell) noteBrokenOff(now time.Time, r *run) {
	switch {
	case r.started && r.startedAt.IsZero():
		// It began under an earlier scheduler, at a time that is not known.
	case r.started && now.Sub(r.startedAt) >= ProvenTime:
		c.recordSound(now, r.req)
	default:
		c.addBrokenOff(now, BrokenOff{RequestID: r.req.RequestID, UpstreamID: r.engine.up.ID, StartedMs: r.engine.up.StartedMs, Parts: r.req.sharedParts(), At: now})
	}
}

// RecordBrokenOff records requests that broke off while no scheduler was connected, or that
// were reported to an earlier one.
func (c *Cell) RecordBrokenOff(now time.Time, reports []BrokenOff) Actions {
	for _, b := range reports {
		c.addBrokenOff(now, b)
	}
	return c.takeActions()
}

func (c *Cell) addBrokenOff(now time.Time, b BrokenOff) {
	e := c.engines[b.UpstreamID]
	if e != nil && b.StartedMs == 0 {
		b.StartedMs = e.up.StartedMs
	}
	if e == nil || e.up.StartedMs != b.StartedMs || c.ledger.HasCrash(incarnation(b.UpstreamID, b.StartedMs)) {
		c.recordCrash(now, b.UpstreamID, b.StartedMs, []BrokenOff{b})
		return
	}
	e.brokenOff = append(e.brokenOff, b)
	if now.Sub(e.crashCheckAt) >= crashCheckDelay {
		c.checkCrash(now, e, 0)
	}
}

// checkCrash requests an inventory, also while another one is due later, unless one is due for
// the same reason.
func (c *Cell) checkCrash(now time.Time, e *engine, after time.Duration) {
	if e.crashCheckAt.After(now) {
		return
	}
	e.crashCheckAt = now.Add(after)
	c.actions.Inspects = append(c.actions.Inspects, InspectCall{Upstream: e.up, After: after})
}

// confirmCrash decides by an inventory, or the failure to read it, whether an engine ended
// under the requests that broke off on it.
func (c *Cell) confirmCrash(now time.Time, e *engine, ended bool) {
	if len(e.brokenOff) == 0 {
		return
	}
	last := e.brokenOff[len(e.brokenOff)-1]
	if !ended && now.Sub(last.At) < crashCheckDelay {
		c.checkCrash(now, e, crashCheckDelay)
		return
	}
	brokenOff := e.brokenOff
	e.brokenOff = nil
	e.ended = ended
	if ended && now.Sub(last.At) < maxBrokenOffAge {
		c.recordCrash(now, e.up.ID, e.up.StartedMs, brokenOff)
	}
}

func (c *Cell) recordCrash(now time.Time, upstreamID string, startedMs int64, brokenOff []BrokenOff) {
	crashed := CrashedEngine{UpstreamID: upstreamID}
	for _, b := range brokenOff {
		crashed.Requests = append(crashed.Requests, b.RequestID)
		crashed.Suspects = append(crashed.Suspects, b.Parts...)
	}
	c.actions.Crashes = append(c.actions.Crashes, crashed)
	c.noteProven(now)
	entry, found := c.ledger.RecordCrash(now, brokenOff[0].At, incarnation(upstreamID, startedMs), crashed.Suspects)
	if found {
		c.actions.Blocked = append(c.actions.Blocked, entry)
	}
	suspended := c.ledger.TakeSuspended()
	c.actions.Suspended = append(c.actions.Suspended, suspended...)
	if found || len(suspended) > 0 {
		c.refuseBlocked(now)
	}
}

// noteProven records the parts of responses that have been arriving for a while, at most
// once in provenInterval: a failure domain may take many engines at once.
func (c *Cell) noteProven(now time.Time) {
	if now.Sub(c.provenAt) < provenInterval {
		return
	}
	c.provenAt = now
	for _, r := range c.runs {
		if r.started && !r.startedAt.IsZero() && now.Sub(r.startedAt) >= ProvenTime {
			c.recordSound(now, r.req)
		}
	}
}

func (c *Cell) recordSound(now time.Time, req *Request) {
	c.actions.Unblocked = append(c.actions.Unblocked, c.ledger.RecordSound(now, req.sharedParts())...)
}

// incarnation identifies one run of an engine's process.
func incarnation(upstreamID string, startedMs int64) string {
	return upstreamID + "@" + strconv.FormatInt(startedMs, 10)
}

// refuseIfBlocked refuses a request with a blocked part, unless it may be the
// part's next trial.
func (c *Cell) refuseIfBlocked(now time.Time, w *waiter) bool {
	if w.req.trial || c.ledger.IsEmpty() {
		return false
	}
	shared := w.req.sharedParts()
	entry, untilTrial, found := c.ledger.Check(now, shared)
	switch {
	case !found:
		return false
	case untilTrial <= 0:
		w.req.trial = true
		c.ledger.BeginTrial(now, shared)
		return false
	}
	return c.refuse(w, untilTrial, entry.Reason())
}

// refuseBlocked refuses the waiting requests with a part that is blocked by now.
func (c *Cell) refuseBlocked(now time.Time) {
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		if !c.refuseIfBlocked(now, w) {
			kept = append(kept, w)
		}
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
}

// AdoptBlocked adds parts that another router blocked.
func (c *Cell) AdoptBlocked(now time.Time, entries []blocklist.Entry) Actions {
	c.ledger.Adopt(now, entries)
	c.refuseBlocked(now)
	return c.takeActions()
}

// Blocked returns the blocked prompts.
func (c *Cell) Blocked() []blocklist.Entry { return c.ledger.Entries() }

// TakeBlocklistChanged reports whether the blocked prompts, or their trials, changed
// since the last call.
func (c *Cell) TakeBlocklistChanged() bool { return c.ledger.TakeChanged() }

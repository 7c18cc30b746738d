package pace

import (
	"slices"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/turn"
)

const (
	// maxReturn bounds the Retry-After of the requests that are refused for a limit.
	maxReturn = 15 * time.Second
	// WaitReason is what a request waited for, RefusalReason why it was refused.
	WaitReason    = "limit of the upstream"
	RefusalReason = "the upstreams take no more requests a second in time"
)

// Ask is a request that needs an upstream with a limit.
type Ask struct {
	// Key is unique at the holder.
	Key uint64
	// RequestID and Service are for logs.
	RequestID string
	Service   string
	// Upstreams are those that may serve the request, the preferred one first.
	Upstreams []string
	// Priority is the rank of the request, 0 first. Ageing is the waiting time that improves
	// it by one, 0 for none.
	Priority int
	Ageing   time.Duration
	// Deadline is when the request must have been sent.
	Deadline time.Time
	// Workspace is that of the caller, empty for none; Weight is its claim in proportion to that
	// of others.
	Workspace string
	Weight    float64
	// MayWait is false for a request that can be served elsewhere.
	MayWait bool

	since time.Time
}

// Decision grants or refuses a request.
type Decision struct {
	Ask *Ask
	// UpstreamID is the upstream that was granted, empty for a refusal.
	UpstreamID string
	Waited     time.Duration
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
}

// Holder issues the requests to limited upstreams for all routers. It is not safe for concurrent
// use.
type Holder struct {
	book    *Book
	pacer   *pacer
	waiting []*Ask
	shares  turn.Shares
	// returns is when the last refused request was told to come back, by upstream.
	returns map[string]*returns
}

// NewHolder returns a holder that knows of no limit.
func NewHolder() *Holder {
	return &Holder{book: NewBook(), pacer: newPacer(useOfLimit), returns: make(map[string]*returns)}
}

// Note takes in a limit that a router heard. It reports whether it changed what is known.
func (h *Holder) Note(now time.Time, limit Limit) bool {
	if !h.book.Note(limit) {
		return false
	}
	if current, limited := h.book.Of(limit.UpstreamID); limited {
		h.pacer.set(now, limit.UpstreamID, current.PerSecond)
		return true
	}
	h.pacer.drop(limit.UpstreamID)
	delete(h.returns, limit.UpstreamID)
	return true
}

// Limits returns what is known of the limits, those that have ended included.
func (h *Holder) Limits() []Limit { return h.book.All() }

// Prune forgets limits that were heard long ago.
func (h *Holder) Prune(now time.Time) {
	h.book.Prune(now)
	for id := range h.pacer.buckets {
		if _, limited := h.book.Of(id); !limited {
			h.pacer.drop(id)
			delete(h.returns, id)
		}
	}
}

// Any reports whether any upstream has a limit.
func (h *Holder) Any() bool { return len(h.pacer.buckets) > 0 }

// Delay returns the time until an upstream takes a request, 0 for one without a limit.
func (h *Holder) Delay(now time.Time, id string) time.Duration { return h.pacer.delay(now, id) }

// Interval returns the time between two requests to an upstream, 0 for one without a limit.
func (h *Holder) Interval(id string) time.Duration { return h.pacer.interval(id) }

// Take counts a request that is sent to an upstream whose Delay is 0.
func (h *Holder) Take(now time.Time, id string) { h.pacer.take(now, id) }

// RetryAfter returns when a request may come back that is refused because it would wait too long
// for an upstream. Requests that are refused one after the other return at the upstream's pace.
func (h *Holder) RetryAfter(now time.Time, id string, wait time.Duration) time.Duration {
	if h.returns[id] == nil {
		h.returns[id] = &returns{}
	}
	return h.returns[id].next(now, wait, h.pacer.interval(id))
}

// Submit adds a request. The decisions may be about others, too.
func (h *Holder) Submit(now time.Time, ask *Ask) []Decision {
	ask.since = now
	h.waiting = append(h.waiting, ask)
	return h.Tick(now)
}

// Waiting returns the number of requests without a decision.
func (h *Holder) Waiting() int { return len(h.waiting) }

// Withdraw removes the requests whose key matches.
func (h *Holder) Withdraw(matches func(key uint64) bool) {
	h.waiting = slices.DeleteFunc(h.waiting, func(a *Ask) bool { return matches(a.Key) })
}

// Tick decides what can be decided, urgent requests first. A request that can't be sent in time
// behind those before it is refused.
func (h *Holder) Tick(now time.Time) []Decision {
	if len(h.waiting) == 0 {
		return nil
	}
	turn.Sort(now, h.waiting, func(a *Ask) turn.Claim { return a.claim(now) }, &h.shares)
	var decisions []Decision
	schedule := make(map[string]time.Duration) // until the next free request, by upstream
	kept := h.waiting[:0]
	for _, ask := range h.waiting {
		id, wait := h.earliest(now, schedule, ask)
		switch {
		case wait == 0:
			h.Take(now, id)
			h.shares.Use(now, ask.claim(now))
			schedule[id] = h.Delay(now, id)
			decisions = append(decisions, Decision{Ask: ask, UpstreamID: id, Waited: now.Sub(ask.since)})
		case !ask.MayWait:
			decisions = append(decisions, Decision{Ask: ask, RetryAfter: wait})
		case now.Add(wait).After(ask.Deadline):
			decisions = append(decisions, Decision{Ask: ask, Waited: now.Sub(ask.since), RetryAfter: h.RetryAfter(now, id, wait)})
		default:
			schedule[id] += h.Interval(id)
			kept = append(kept, ask)
		}
	}
	clear(h.waiting[len(kept):])
	h.waiting = kept
	return decisions
}

// earliest returns the upstream of a request that is free first, behind the requests that are in
// the schedule, and the time until then.
func (h *Holder) earliest(now time.Time, schedule map[string]time.Duration, ask *Ask) (string, time.Duration) {
	best, bestWait := "", time.Duration(0)
	for i, id := range ask.Upstreams {
		wait, ok := schedule[id]
		if !ok {
			wait = h.Delay(now, id)
			schedule[id] = wait
		}
		if i == 0 || wait < bestWait {
			best, bestWait = id, wait
		}
	}
	return best, bestWait
}

// claim is what the request is ordered by: requests of one rank and workspace in the order of their
// arrival.
func (a *Ask) claim(now time.Time) turn.Claim {
	return turn.Claim{Rank: a.rank(now), Due: a.since, Workspace: a.Workspace, Weight: a.Weight, Cost: 1}
}

func (a *Ask) rank(now time.Time) int {
	if a.Ageing <= 0 {
		return a.Priority
	}
	return a.Priority - int(now.Sub(a.since)/a.Ageing)
}

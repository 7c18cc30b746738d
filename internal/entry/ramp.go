package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

const (
	// rampTime is how long after its pause the requests in flight to an upstream are limited.
	rampTime = 3 * time.Second
	// rampPollInterval is how often a request that waits looks at the limit.
	rampPollInterval = 5 * time.Millisecond
	// maxRamp is the limit from which an upstream counts as recovered.
	maxRamp = 64
)

// ramps limit the requests without an answer at upstreams whose pause is over: one at first,
// one more with each that is answered. Those that waited for the end of a pause, and those
// that were refused until then, would otherwise arrive together.
type ramps struct {
	count atomic.Int32 // of the entries, so that requests need no lock without them

	mu   sync.Mutex
	byID map[string]*ramp
}

type ramp struct {
	// from and until are the end of the pause and of the ramp.
	from, until     time.Time
	limit, inFlight int
}

// start limits an upstream from the end of a pause on.
func (r *ramps) start(id string, pauseEnd time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = make(map[string]*ramp)
	}
	current := r.byID[id]
	if current == nil {
		current = &ramp{}
		r.byID[id] = current
		r.count.Add(1)
	}
	if pauseEnd.After(current.from) {
		current.from, current.until, current.limit = pauseEnd, pauseEnd.Add(rampTime), 1
	}
}

// isFull reports whether an upstream has as many requests as its ramp allows.
func (r *ramps) isFull(id string) bool {
	if r.count.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.byID[id]
	return current != nil && current.isFull(time.Now())
}

func (r *ramp) isFull(now time.Time) bool {
	return now.Before(r.until) && r.limit < maxRamp && r.inFlight >= r.limit
}

// await waits until the ramp of an upstream allows a request and counts it as in flight
// until done is called, which says whether it was answered. The error is that of check, which
// is called before each look at the ramp, or that of ctx.
func (r *ramps) await(ctx context.Context, id string, check func() error) (done func(answered bool), err error) {
	for {
		if err := check(); err != nil {
			return nil, err
		}
		if done, ok := r.begin(id); ok {
			return done, nil
		}
		if !retry.Sleep(ctx, rampPollInterval) {
			return nil, ctx.Err()
		}
	}
}

// begin counts a request as in flight; ok is false if the ramp allows none.
func (r *ramps) begin(id string) (done func(answered bool), ok bool) {
	if r.count.Load() == 0 {
		return func(bool) {}, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.byID[id]
	if current == nil {
		return func(bool) {}, true
	}
	if current.isFull(time.Now()) {
		return nil, false
	}
	current.inFlight++
	return func(answered bool) { r.end(current, answered) }, true
}

func (r *ramps) end(ended *ramp, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended.inFlight--
	if answered {
		ended.limit = min(maxRamp, ended.limit+1)
	}
}

// prune drops the ramps that are over.
func (r *ramps) prune() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, current := range r.byID {
		if now.After(current.until) && current.inFlight == 0 {
			delete(r.byID, id)
			r.count.Add(-1)
		}
	}
}

package scheduler

import (
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/pace"
)

const (
	// fullPassInterval is the interval at which all waiting requests are tried. The
	// passes between skip requests for which a change is unlikely, since trying
	// hundreds of them each time would starve the scheduler's other work.
	fullPassInterval = 100 * time.Millisecond
	// prefillWaitersPerPass is the number of requests for a model that wait for a
	// prefill slot or for an engine's rate limit after which a partial pass skips further requests for it.
	prefillWaitersPerPass = 4
)

// requirement is what a request needs on an engine.
type requirement struct{ model, adapter string }

// pass is one attempt to place the waiting requests.
type pass struct {
	full bool
	// blocked are the requirements for which nothing can be done in this pass.
	// prefillWaiters counts, by model, the requests that wait for a prefill slot.
	blocked        map[requirement]bool
	prefillWaiters map[string]int
}

func (c *Cell) newPass(now time.Time) *pass {
	p := &pass{blocked: make(map[requirement]bool), prefillWaiters: make(map[string]int)}
	if now.Sub(c.fullPassAt) >= fullPassInterval {
		c.fullPassAt = now
		p.full = true
	}
	return p
}

// skips reports whether the pass leaves a request out.
func (p *pass) skips(now time.Time, w *waiter) bool {
	if !now.Before(w.req.Deadline) {
		return false
	}
	if p.blocked[requirement{w.req.Model, w.req.Adapter}] || p.blocked[requirement{w.req.Model, ""}] {
		return true
	}
	return !p.full && p.prefillWaiters[w.req.Model] >= prefillWaitersPerPass
}

// note records a request that waits on.
func (p *pass) note(w *waiter) {
	switch {
	case w.reason == waitsForPrefill, w.reason == pace.WaitReason:
		p.prefillWaiters[w.req.Model]++
	case !w.req.isRestricted():
		p.blocked[requirement{w.req.Model, w.req.Adapter}] = true
	}
}

package pace

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// useOfLimit is the part of a limit that is issued. The rest is for requests that arrive
	// closer together than they were issued, and for changes of the scheduler.
	useOfLimit = 0.9
	// useAlone is the part of their shares that routers issue by themselves: a scheduler that
	// they can't reach may issue the limit as well.
	useAlone = 0.5
	// burstTime is the time whose requests may be issued at once, at least one.
	burstTime = 100 * time.Millisecond
	// minPerSecond is the rate at an upstream that names a lower one: whether it still does is
	// only heard in a response.
	minPerSecond = 0.1
)

// pacer spaces the requests to limited upstreams: a token bucket for each, which is empty at
// first. It is not safe for concurrent use.
type pacer struct {
	use      float64 // part of a limit that is issued
	limiters map[string]*rate.Limiter
}

func newPacer(use float64) *pacer { return &pacer{use, make(map[string]*rate.Limiter)} }

// set limits an upstream to perSecond.
func (p *pacer) set(now time.Time, id string, perSecond float64) {
	issued := rate.Limit(p.use * max(perSecond, minPerSecond))
	burst := max(1, int(float64(issued)*burstTime.Seconds()))
	if limiter := p.limiters[id]; limiter != nil {
		limiter.SetLimitAt(now, issued)
		limiter.SetBurstAt(now, burst)
		return
	}
	limiter := rate.NewLimiter(issued, burst)
	limiter.AllowN(now, burst)
	p.limiters[id] = limiter
}

func (p *pacer) drop(id string) { delete(p.limiters, id) }

// delay returns the time until a request may be sent, 0 for an upstream without a limit.
func (p *pacer) delay(now time.Time, id string) time.Duration {
	limiter := p.limiters[id]
	if limiter == nil {
		return 0
	}
	missing := 1 - limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return max(time.Nanosecond, time.Duration(missing/float64(limiter.Limit())*float64(time.Second)))
}

// take counts a request. It reports false if it may not be sent yet.
func (p *pacer) take(now time.Time, id string) bool {
	limiter := p.limiters[id]
	return limiter == nil || limiter.AllowN(now, 1)
}

// interval returns the time between two requests, 0 for an upstream without a limit.
func (p *pacer) interval(id string) time.Duration {
	limiter := p.limiters[id]
	if limiter == nil {
		return 0
	}
	return time.Duration(float64(time.Second) / float64(limiter.Limit()))
}

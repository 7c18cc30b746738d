package pace

import "time"

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
	use     float64 // part of a limit that is issued
	buckets map[string]*bucket
}

func newPacer(use float64) *pacer { return &pacer{use, make(map[string]*bucket)} }

// set limits an upstream to perSecond.
func (p *pacer) set(now time.Time, id string, perSecond float64) {
	if p.buckets[id] == nil {
		p.buckets[id] = &bucket{}
	}
	issued := p.use * max(perSecond, minPerSecond)
	p.buckets[id].set(now, issued, max(1, float64(int(issued*burstTime.Seconds()))))
}

func (p *pacer) drop(id string) { delete(p.buckets, id) }

// delay returns the time until a request may be sent, 0 for an upstream without a limit.
func (p *pacer) delay(now time.Time, id string) time.Duration {
	if bucket := p.buckets[id]; bucket != nil {
		return bucket.until(now, 0, 1, 0)
	}
	return 0
}

// take counts a request. It reports false if it may not be sent yet.
func (p *pacer) take(now time.Time, id string) bool {
	bucket := p.buckets[id]
	return bucket == nil || bucket.take(now, 1)
}

// interval returns the time between two requests, 0 for an upstream without a limit.
func (p *pacer) interval(id string) time.Duration {
	if bucket := p.buckets[id]; bucket != nil {
		return time.Duration(float64(time.Second) / bucket.rate)
	}
	return 0
}

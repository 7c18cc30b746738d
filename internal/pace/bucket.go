package pace

import "time"

// bucket is a token bucket. Unlike a rate.Limiter it takes tokens back that were not used, and
// lends what a request needs beyond its capacity. It is empty at first.
type bucket struct {
	rate     float64 // tokens per second
	capacity float64
	level    float64 // at the time at; negative after a loan
	at       time.Time
}

// set changes the rate and the capacity. What has been used stays used.
func (b *bucket) set(now time.Time, rate, capacity float64) {
	b.advance(now)
	b.rate, b.capacity = rate, capacity
	b.level = min(b.level, capacity)
}

func (b *bucket) advance(now time.Time) {
	if b.at.IsZero() {
		b.at = now
	}
	if passed := now.Sub(b.at); passed > 0 {
		b.level = min(b.capacity, b.level+b.rate*passed.Seconds())
		b.at = now
	}
}

// available returns the tokens that can be taken.
func (b *bucket) available(now time.Time) float64 {
	b.advance(now)
	return max(0, b.level)
}

// take takes n tokens and reports whether they were there. More than the capacity is lent once the
// bucket is full.
func (b *bucket) take(now time.Time, n float64) bool {
	b.advance(now)
	if b.level < min(n, b.capacity) {
		return false
	}
	b.level -= n
	return true
}

// put gives back tokens that were taken and not used.
func (b *bucket) put(now time.Time, n float64) {
	b.advance(now)
	b.level = min(b.capacity, b.level+n)
}

// until returns the time until n tokens can be taken after others were taken that are ahead, so that
// a reserve is left, 0 if they can be now. It is at most maxReturn, also for a bucket without a rate.
func (b *bucket) until(now time.Time, ahead, n, reserve float64) time.Duration {
	b.advance(now)
	missing := ahead + min(n+reserve, b.capacity) - b.level
	if missing <= 0 {
		return 0
	}
	return max(time.Nanosecond, timeFor(missing, b.rate))
}

// timeFor returns the time that an amount takes at a rate per second, at most maxReturn.
func timeFor(amount, rate float64) time.Duration {
	if rate <= 0 || amount/rate > maxReturn.Seconds() {
		return maxReturn
	}
	return time.Duration(amount / rate * float64(time.Second))
}

// returns spreads the times at which refused requests may come back.
type returns struct{ last time.Time }

// next returns after what time a refused request may come back that could have been served after
// wait. Requests that are refused one after the other return an interval apart.
func (r *returns) next(now time.Time, wait, interval time.Duration) time.Duration {
	at := now.Add(wait)
	if r.last.After(at) && r.last.Sub(now) < maxReturn {
		at = r.last
	}
	r.last = at.Add(interval)
	return at.Sub(now)
}

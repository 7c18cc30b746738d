package scheduler

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the demand averages.
	demandWindow = 6 * time.Second
	// defaultReadTime is the prefill time of one token until it was measured.
	defaultReadTime = 25 * time.Microsecond
	minReadTime     = 1 * time.Microsecond
	maxReadTime     = 400 * time.Microsecond
	// firstEventTime is the time from a read prompt to the first event.
	firstEventTime = 30 * time.Millisecond
	// paceTokens is the smallest prompt from which a pace is learned.
	paceTokens = 400
	paceShare  = 0.3 // weight of a new sample

	// firstAdapterDelay is how long an adapter takes until it was measured.
	firstAdapterDelay = 25 * time.Millisecond
	maxAdapterDelay   = 400 * time.Millisecond
	// adapterSettle is how long after its order an adapter may still be on its
	// way: a refusal is put down to it, and it is not unloaded.
	adapterSettle = 1500 * time.Millisecond
)

// model is what the cell learned about a model.
type model struct {
	name   string
	demand demand
	// perToken is the prefill time of a token.
	perToken     time.Duration
	adapterDelay time.Duration
}

// demand is an exponentially weighted average of requests and their work.
type demand struct {
	at       time.Time
	requests float64 // a second
	work     float64 // seconds of prefill a second
}

func (d *demand) decay(now time.Time) {
	if d.at.IsZero() {
		d.at = now
		return
	}
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	d.requests *= factor
	d.work *= factor
	d.at = now
}

func (d *demand) addRequest(now time.Time) {
	d.decay(now)
	d.requests += 1 / demandWindow.Seconds()
}

func (d *demand) addWork(now time.Time, work time.Duration) {
	d.decay(now)
	d.work += work.Seconds() / demandWindow.Seconds()
}

func (c *Cell) modelOf(name string) *model {
	m := c.models[name]
	if m == nil {
		m = &model{name: name, perToken: defaultReadTime, adapterDelay: firstAdapterDelay}
		c.models[name] = m
	}
	return m
}

// readTime estimates the prefill of a number of tokens.
func (m *model) readTime(tokens int64) time.Duration { return time.Duration(tokens) * m.perToken }

// learnPace takes a sample of the prefill time from a run that had an engine
// for itself.
func (c *Cell) learnPace(now time.Time, r *run) {
	if r.started || !r.alone || r.uncached < paceTokens {
		return
	}
	took := now.Sub(r.grantedAt) - firstEventTime
	sample := min(maxReadTime, max(minReadTime, took/time.Duration(r.uncached)))
	m := c.modelOf(r.ask.Model)
	m.perToken += time.Duration(paceShare * float64(sample-m.perToken))
}

func (m *model) slowerAdapters() {
	m.adapterDelay = min(maxAdapterDelay, m.adapterDelay*3/2)
}

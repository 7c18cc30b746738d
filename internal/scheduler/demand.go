package scheduler

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the demand averages.
	demandWindow = 6 * time.Second
	// defaultPrefillPerToken is the prefill time of a token until samples arrive.
	defaultPrefillPerToken = 25 * time.Microsecond
	minPrefillPerToken     = 1 * time.Microsecond
	maxPrefillPerToken     = 400 * time.Microsecond
	// firstEventDelay is the time from the end of a prefill to the first event.
	firstEventDelay = 30 * time.Millisecond
	// minSampleTokens is the shortest prompt that yields a sample of the prefill
	// time.
	minSampleTokens = 400
	sampleWeight    = 0.3 // of a new sample in the average
	// tolerantEvents is the number of events of an idle engine in a maximal gap from
	// which streams bear any neighbours. With half as many they bear few.
	tolerantEvents = 15

	// defaultAdapterDelay is the assumed load time of an adapter until refusals show
	// that it is longer.
	defaultAdapterDelay = 25 * time.Millisecond
	maxAdapterDelay     = 400 * time.Millisecond
	// adapterLoadGrace is how long after its order an adapter may still be loading.
	// Until then a refusal by the engine is attributed to it, and it is not
	// unloaded.
	adapterLoadGrace = 1500 * time.Millisecond
)

// model holds the estimates for a model.
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
	requests float64 // per second
	work     float64 // seconds of prefill per second
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

// addDecodeWork adds the share of the engine's time that a stream took after its first
// event: it occupied one of the slots. Only streams whose maximal gap is short for the
// time that an event takes count: others bear many neighbours.
func (c *Cell) addDecodeWork(now time.Time, r *run) {
	if r.startedAt.IsZero() || c.spec == nil || c.spec.Slots <= 0 || r.req.MaxGap <= 0 {
		return
	}
	weight := tolerantEvents*float64(c.eventInterval)/float64(r.req.MaxGap) - 1
	share := float64(now.Sub(r.startedAt)) / float64(c.spec.Slots)
	c.modelOf(r.req.Model).demand.addWork(now, time.Duration(max(0, min(1, weight))*share))
}

// isConfigured reports whether the configuration has a model, or does not say which there are.
func (c *Cell) isConfigured(name string) bool {
	if c.spec == nil || len(c.spec.Models) == 0 {
		return true
	}
	_, known := c.spec.Models[name]
	return known
}

func (c *Cell) modelOf(name string) *model {
	m := c.models[name]
	if m == nil {
		m = &model{name: name, perToken: defaultPrefillPerToken, adapterDelay: defaultAdapterDelay}
		c.models[name] = m
	}
	return m
}

// prefillTime estimates the prefill time of a number of tokens.
func (m *model) prefillTime(tokens int64) time.Duration { return time.Duration(tokens) * m.perToken }

// learnPrefillTime takes a sample of the prefill time from a run that did not
// share the engine with another prefill.
func (c *Cell) learnPrefillTime(now time.Time, r *run) {
	if r.started || !r.soloPrefill || r.uncached < minSampleTokens {
		return
	}
	took := now.Sub(r.grantedAt) - firstEventDelay
	sample := min(maxPrefillPerToken, max(minPrefillPerToken, scaled(took, 1/r.slowdown)/time.Duration(r.uncached)))
	m := c.modelOf(r.req.Model)
	m.perToken += time.Duration(sampleWeight * float64(sample-m.perToken))
}

// LearnSlowdown takes in how long work takes at the engine of a request, as a multiple of the usual
// time; 0 changes nothing.
func (c *Cell) LearnSlowdown(now time.Time, key uint64, slowdown float64) {
	if r := c.runs[key]; r != nil && slowdown > 0 {
		r.engine.speed.Observe(now, slowdown)
	}
}

// scaled multiplies a duration.
func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

func (m *model) raiseAdapterDelay() {
	m.adapterDelay = min(maxAdapterDelay, m.adapterDelay*3/2)
}

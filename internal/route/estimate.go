package route

import "time"

// Load is what an Estimate is made from.
type Load struct {
	// Ahead counts the waiters that go first.
	Ahead int
	// Window is the number of requests that this router may have dispatched at a
	// time, and Dispatched the number of those that are. What other routers send
	// takes no place here: engines batch, and their delay shows in Hold.
	Window     int
	Dispatched int
	// Hold is the mean time from dispatch to the end of a request.
	Hold time.Duration
	// ReadyIn is the time until the replica can answer.
	ReadyIn time.Duration
	// Adapter is the time to load the adapter.
	Adapter time.Duration
	// FirstToken is the mean time from dispatch to the first token.
	FirstToken time.Duration
}

// Estimate is the expected wait of a request, by cause.
type Estimate struct {
	Queue   time.Duration
	Load    time.Duration
	Adapter time.Duration
	Engine  time.Duration
}

// Total is the time to the first token.
func (e Estimate) Total() time.Duration {
	return e.Queue + e.Load + e.Adapter + e.Engine
}

// Backlog is the part of the wait that a later request does not have.
func (e Estimate) Backlog() time.Duration { return e.Queue + e.Load }

// EstimateWait computes the expected wait of a request that arrives now. No
// place in the window is freed while the replica loads, so the wait for the
// load and the wait for a place add up.
func EstimateWait(in Load) Estimate {
	e := Estimate{Load: in.ReadyIn, Adapter: in.Adapter, Engine: in.FirstToken}
	window := max(in.Window, 1)
	free := max(window-in.Dispatched, 0)
	if behind := in.Ahead - free + 1; behind > 0 {
		e.Queue = in.Hold * time.Duration(behind) / time.Duration(window)
	}
	return e
}

// meanWeight is the share of a new sample in a Mean.
const meanWeight = 0.2

// meanLifetime is the age at which a Mean is no longer believed, so that an
// estimate that refuses every request can't keep itself alive.
const meanLifetime = 30 * time.Second

// Mean is an exponentially weighted mean of durations. The zero value is empty.
type Mean struct {
	value float64
	last  time.Time
}

// Add takes in a sample.
func (m *Mean) Add(sample time.Duration, now time.Time) {
	if m.expired(now) {
		m.value = float64(sample)
	} else {
		m.value += meanWeight * (float64(sample) - m.value)
	}
	m.last = now
}

// Value returns the mean, or 0 when there is no recent sample.
func (m *Mean) Value(now time.Time) time.Duration {
	if m.expired(now) {
		return 0
	}
	return time.Duration(m.value)
}

func (m *Mean) expired(now time.Time) bool {
	return m.last.IsZero() || now.Sub(m.last) > meanLifetime
}

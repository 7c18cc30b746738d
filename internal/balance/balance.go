// Package balance estimates the load of upstreams from what they say in their responses, so that
// many routers that choose at the same moment, on figures that are a little old, spread it evenly.
// It does no I/O and asks upstreams nothing.
package balance

import (
	"math"
	"time"
)

const (
	// figureDecay is the time constant with which a reported load turns into the usual one:
	// what an upstream had to do then is done, and others have chosen since.
	figureDecay = 100 * time.Millisecond
	// usualWeight is the weight of a new figure in the usual load.
	usualWeight = 0.1
)

// Load is what a router knows of the load of one upstream. The zero value knows nothing. It is not
// safe for concurrent use.
type Load struct {
	inFlight int
	// others is the number of requests of other routers in the last figure, which arrived at
	// reportedAt; usual is a moving average of it.
	others, usual float64
	reportedAt    time.Time
}

// Begin counts a request that is sent to the upstream.
func (l *Load) Begin() { l.inFlight++ }

// End counts a request that has ended.
func (l *Load) End() { l.inFlight-- }

// InFlight returns the number of this router's requests at the upstream.
func (l *Load) InFlight() int { return l.inFlight }

// Report takes in the number of requests that run and wait at the upstream, this router's included.
func (l *Load) Report(now time.Time, requests int64) {
	l.others = math.Max(0, float64(requests-int64(l.inFlight)))
	if l.reportedAt.IsZero() {
		l.usual = l.others
	}
	l.usual += usualWeight * (l.others - l.usual)
	l.reportedAt = now
}

// Requests estimates the number of requests at the upstream now.
func (l *Load) Requests(now time.Time) float64 {
	if l.reportedAt.IsZero() {
		return float64(l.inFlight)
	}
	fresh := decayed(now.Sub(l.reportedAt), figureDecay)
	return float64(l.inFlight) + fresh*l.others + (1-fresh)*l.usual
}

// decayed is what remains of a figure of some age.
func decayed(age, constant time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / constant.Seconds())
}

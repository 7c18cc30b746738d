package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

const (
	// stallShare is the part of the route's CallerEventTimeout after which a response
	// without an event counts as stalled. The rest is for an attempt elsewhere.
	stallShare = 0.5
	// stallExpectedFactor keeps a first event that was expected late from counting as
	// stalled.
	stallExpectedFactor = 3
)

// errStalled means that an attempt was ended because no event arrived.
var errStalled = errors.New("no event arrived in time, though the connection is open")

// stallWatch notices that an upstream sends no event. Bytes that complete no event do
// not count. It ends the attempt only if the request may continue on another upstream: a
// slow stream that can't is left alone.
type stallWatch struct {
	limit   time.Duration
	timer   *time.Timer
	stalled atomic.Bool
}

// watchStalls starts a watch over an attempt whose first event is expected after
// expected. cancel ends the attempt.
func (cr *callerRequest) watchStalls(expected time.Duration, cancel context.CancelCauseFunc) *stallWatch {
	w := &stallWatch{limit: time.Duration(stallShare * float64(cr.route.CallerEventTimeout))}
	if w.limit <= 0 {
		return w
	}
	mayMove := cr.repeatable && len(cr.tried) < cr.route.Attempts
	w.timer = time.AfterFunc(max(w.limit, stallExpectedFactor*expected), func() {
		w.stalled.Store(true)
		if mayMove {
			cancel(errStalled)
		}
	})
	return w
}

// event records that an event arrived.
func (w *stallWatch) event() {
	w.stalled.Store(false)
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

func (w *stallWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

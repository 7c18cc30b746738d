package standin

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

const (
	// progressTick is the period at which work notices that its speed changed.
	progressTick = 5 * time.Millisecond
	// minSlower keeps a speed finite.
	minSlower = 1e-3
)

// sharedSpeed is a resource at which up to full jobs run at full speed; beyond,
// all of them are proportionally slower.
type sharedSpeed struct {
	full     atomic.Int64
	inFlight atomic.Int64
	peak     atomic.Int64
}

// work takes length at full speed, times slower(). It reports false when ctx
// ended first.
func (s *sharedSpeed) work(ctx context.Context, length time.Duration, slower func() float64) bool {
	raise(&s.peak, s.inFlight.Add(1))
	defer s.inFlight.Add(-1)
	for left := length; left > 0; {
		start := time.Now()
		rest := time.Duration(float64(left)*s.slowdown(slower)) + 1
		if !retry.Sleep(ctx, min(progressTick, rest)) {
			return false
		}
		left -= time.Duration(float64(time.Since(start)) / s.slowdown(slower))
	}
	return ctx.Err() == nil
}

func (s *sharedSpeed) slowdown(slower func() float64) float64 {
	crowding := max(1, float64(s.inFlight.Load())/float64(max(1, s.full.Load())))
	return crowding * max(slower(), minSlower)
}

// raise sets peak to value if that is higher.
func raise(peak *atomic.Int64, value int64) {
	for {
		have := peak.Load()
		if value <= have || peak.CompareAndSwap(have, value) {
			return
		}
	}
}

func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

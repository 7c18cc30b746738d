package standin

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

const (
	// progressInterval is the interval at which a job adapts to a changed speed.
	progressInterval = 5 * time.Millisecond
	// minSlowFactor keeps the speed finite.
	minSlowFactor = 1e-3
)

// sharedBandwidth is a bandwidth that suffices for fullSpeedJobs jobs at full speed;
// with more in flight all of them are proportionally slower.
type sharedBandwidth struct {
	fullSpeedJobs atomic.Int64
	inFlight      atomic.Int64
	peak          atomic.Int64
}

// run waits as long as a job takes that needs duration at full speed and is slowed by
// slowFactor(), which may change meanwhile. It reports false if ctx is done first.
func (s *sharedBandwidth) run(ctx context.Context, duration time.Duration, slowFactor func() float64) bool {
	storeMax(&s.peak, s.inFlight.Add(1))
	defer s.inFlight.Add(-1)
	for remaining := duration; remaining > 0; {
		start := time.Now()
		wait := time.Duration(float64(remaining)*s.slowdown(slowFactor)) + 1
		if !retry.Sleep(ctx, min(progressInterval, wait)) {
			return false
		}
		remaining -= time.Duration(float64(time.Since(start)) / s.slowdown(slowFactor))
	}
	return ctx.Err() == nil
}

func (s *sharedBandwidth) slowdown(slowFactor func() float64) float64 {
	contention := max(1, float64(s.inFlight.Load())/float64(max(1, s.fullSpeedJobs.Load())))
	return contention * max(slowFactor(), minSlowFactor)
}

// storeMax sets peak to value if value is higher.
func storeMax(peak *atomic.Int64, value int64) {
	for {
		current := peak.Load()
		if value <= current || peak.CompareAndSwap(current, value) {
			return
		}
	}
}

func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

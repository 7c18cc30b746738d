package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// WeightStoreConfig are the settings of a Weights.
type WeightStoreConfig struct {
	// LoadsPerSecond limits how many loads start. Default 4.
	LoadsPerSecond float64
	// FullSpeedLoads is the number of loads that run at full speed at a time;
	// beyond, all are proportionally slower. Default 4.
	FullSpeedLoads int
	// MiBPerSecond is the full speed of one load. Default 16384.
	MiBPerSecond float64
	// SlowFactor lengthens every load, also those in flight. Default 1.
	SlowFactor float64
}

const (
	defaultLoadsPerSecond = 4
	defaultFullSpeedLoads = 4
	defaultMiBPerSecond   = 16 << 10
)

func (k WeightStoreConfig) withDefaults() WeightStoreConfig {
	if k.LoadsPerSecond <= 0 {
		k.LoadsPerSecond = defaultLoadsPerSecond
	}
	if k.FullSpeedLoads <= 0 {
		k.FullSpeedLoads = defaultFullSpeedLoads
	}
	if k.MiBPerSecond <= 0 {
		k.MiBPerSecond = defaultMiBPerSecond
	}
	if k.SlowFactor <= 0 {
		k.SlowFactor = 1
	}
	return k
}

// Weights stands in for the weight store, which only engines read.
type Weights struct {
	starts *rate.Limiter
	speed  sharedSpeed

	mu    sync.Mutex
	knobs WeightStoreConfig
}

// NewWeights makes a store that has every checkpoint.
func NewWeights(knobs WeightStoreConfig) *Weights {
	knobs = knobs.withDefaults()
	s := &Weights{starts: rate.NewLimiter(rate.Limit(knobs.LoadsPerSecond), max(1, int(knobs.LoadsPerSecond)))}
	s.SetConfig(knobs)
	return s
}

// Config returns the settings.
func (s *Weights) Config() WeightStoreConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knobs
}

// SetConfig replaces the settings.
func (s *Weights) SetConfig(knobs WeightStoreConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knobs = knobs.withDefaults()
	s.starts.SetLimit(rate.Limit(s.knobs.LoadsPerSecond))
	s.speed.full.Store(int64(s.knobs.FullSpeedLoads))
}

// read takes the time of a load.
func (s *Weights) read(ctx context.Context, sizeMiB uint32) error {
	if err := s.starts.Wait(ctx); err != nil {
		return err
	}
	length := time.Duration(float64(sizeMiB) / s.Config().MiBPerSecond * float64(time.Second))
	if !s.speed.work(ctx, length, func() float64 { return s.Config().SlowFactor }) {
		return ctx.Err()
	}
	return nil
}

package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// WeightStoreConfig configures a Weights. It can be changed at run time.
type WeightStoreConfig struct {
	// LoadsPerSecond limits the rate at which loads start. Default 4.
	LoadsPerSecond float64
	// FullSpeedLoads is the number of concurrent loads that run at full speed; with
	// more, all are proportionally slower. Default 4.
	FullSpeedLoads int
	// MiBPerSecond is the full speed of one load. Default 16384.
	MiBPerSecond float64
	// SlowFactor multiplies the duration of every load, also of those in flight.
	// Default 1.
	SlowFactor float64
}

const (
	defaultLoadsPerSecond = 4
	defaultFullSpeedLoads = 4
	defaultMiBPerSecond   = 16 << 10
)

func (c WeightStoreConfig) withDefaults() WeightStoreConfig {
	if c.LoadsPerSecond <= 0 {
		c.LoadsPerSecond = defaultLoadsPerSecond
	}
	if c.FullSpeedLoads <= 0 {
		c.FullSpeedLoads = defaultFullSpeedLoads
	}
	if c.MiBPerSecond <= 0 {
		c.MiBPerSecond = defaultMiBPerSecond
	}
	if c.SlowFactor <= 0 {
		c.SlowFactor = 1
	}
	return c
}

// Weights stands in for the weight store, which only engines read. It has no HTTP
// interface. It is safe for concurrent use.
type Weights struct {
	starts    *rate.Limiter
	bandwidth sharedBandwidth

	mu     sync.Mutex
	config WeightStoreConfig
}

// NewWeights returns a store that contains every checkpoint.
func NewWeights(cfg WeightStoreConfig) *Weights {
	cfg = cfg.withDefaults()
	s := &Weights{starts: rate.NewLimiter(rate.Limit(cfg.LoadsPerSecond), max(1, int(cfg.LoadsPerSecond)))}
	s.SetConfig(cfg)
	return s
}

// Config returns the configuration.
func (s *Weights) Config() WeightStoreConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// SetConfig replaces the configuration.
func (s *Weights) SetConfig(cfg WeightStoreConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = cfg.withDefaults()
	s.starts.SetLimit(rate.Limit(s.config.LoadsPerSecond))
	s.bandwidth.fullSpeedJobs.Store(int64(s.config.FullSpeedLoads))
}

// read waits as long as a load of sizeMiB takes.
func (s *Weights) read(ctx context.Context, sizeMiB uint32) error {
	if err := s.starts.Wait(ctx); err != nil {
		return err
	}
	duration := time.Duration(float64(sizeMiB) / s.Config().MiBPerSecond * float64(time.Second))
	if !s.bandwidth.run(ctx, duration, func() float64 { return s.Config().SlowFactor }) {
		return ctx.Err()
	}
	return nil
}

// reserve reports whether mib of memory are free for a load and counts the peak. A
// load that does not fit crashes the engine. The caller holds mu.
func (e *Engine) reserve(b *boot, mib uint32) bool {
	need := mib
	for _, loaded := range b.models {
		need += loaded.memory
		for _, adapter := range loaded.adapters {
			need += adapter.memory
		}
	}
	if need <= e.options.MemoryMiB {
		e.counts.PeakMemoryMiB = max(e.counts.PeakMemoryMiB, int64(need))
		return true
	}
	e.counts.OvercommitAttempts++
	e.restartLocked()
	return false
}

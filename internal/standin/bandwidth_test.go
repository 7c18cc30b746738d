package standin

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// elapsed runs jobs concurrently and returns the time until the last one ends, on
// the clock of the synctest bubble.
func elapsed(jobs int, job func()) time.Duration {
	start := time.Now()
	var wg sync.WaitGroup
	for range jobs {
		wg.Go(job)
	}
	wg.Wait()
	return time.Since(start)
}

// near reports whether got is want or up to two progress intervals more.
func near(got, want time.Duration) bool {
	return got >= want && got <= want+2*progressInterval
}

func TestAdapterLoadsSlowDownBeyondThirty(t *testing.T) {
	for _, tc := range []struct {
		jobs int
		want time.Duration
	}{
		{1, 10 * time.Millisecond},
		{30, 10 * time.Millisecond},
		{60, 20 * time.Millisecond},
		{120, 40 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			stats := NewReplicaStats()
			took := elapsed(tc.jobs, func() {
				stats.adapters.run(t.Context(), 10*time.Millisecond, func() float64 { return 1 })
			})
			is.True(near(took, tc.want))
			is.Equal(int(stats.adapters.peak.Load()), tc.jobs)
		})
	}
}

func TestWeightStoreIsRateLimited(t *testing.T) {
	for _, tc := range []struct {
		name  string
		cfg   WeightStoreConfig
		loads int
		want  time.Duration
	}{
		{"four at full speed", WeightStoreConfig{LoadsPerSecond: 100}, 4, time.Second},
		{"eight at half speed", WeightStoreConfig{LoadsPerSecond: 100}, 8, 2 * time.Second},
		{"slowed", WeightStoreConfig{LoadsPerSecond: 100, SlowFactor: 3}, 4, 3 * time.Second},
		{"starts limited", WeightStoreConfig{LoadsPerSecond: 2}, 4, 2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tc.cfg.MiBPerSecond = 100
				store := NewWeights(tc.cfg)
				took := elapsed(tc.loads, func() {
					if err := store.read(t.Context(), 100); err != nil {
						t.Error(err)
					}
				})
				is.True(near(took, tc.want))
			})
		})
	}
}

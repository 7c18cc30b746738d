package daemon

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/loadtest"
	"github.com/ragwortdoor/ragwortdoor/internal/router"
)

const (
	samplePeriod = 20 * time.Millisecond
	countLimit   = time.Second
)

// sampler measures a testbed while load runs.
type sampler struct {
	bed  *testbed
	last time.Time

	idle, loaded float64 // replica-seconds
	// decided is the highest number of slots of each model.
	decided map[string]int
	// stale and reported sum the error of the believed requests in flight and
	// the encoded size of load reports over all samples.
	stale, reported float64
	samples         int
}

// sample runs until ctx is done.
func (b *testbed) sample(ctx context.Context) *sampler {
	s := &sampler{bed: b, last: time.Now(), decided: make(map[string]int)}
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return s
		case now := <-ticker.C:
			s.take(now)
		}
	}
}

func (s *sampler) take(now time.Time) {
	elapsed := now.Sub(s.last).Seconds()
	s.last = now
	for _, engine := range s.bed.cluster.Engines {
		use := engine.Use()
		s.idle += float64(use.Idle) * elapsed
		s.loaded += float64(use.Loaded) * elapsed
	}
	for model, slots := range s.bed.routers[0].store.Load().Slots {
		s.decided[model] = max(s.decided[model], len(slots))
	}
	s.takeReports()
}

// takeReports compares what routers believe with what sidecars know.
func (s *sampler) takeReports() {
	for _, h := range s.bed.hosts {
		if h.Role != external.RoleUpstream || h.Service != "" {
			continue
		}
		active := s.bed.sidecars[h.ID].agent.Stats().Active
		for _, router := range s.bed.routers {
			report := router.store.Report(h.ID)
			if report == nil {
				continue
			}
			believed := 0
			for _, r := range report.GetReplicas() {
				believed += int(r.GetInFlight())
			}
			s.stale += float64(max(believed, active) - min(believed, active))
			s.reported += float64(proto.Size(report))
			s.samples++
		}
	}
}

// settledStats waits a moment for the router to count requests whose callers
// have just read the end of their answer.
func settledStats(r *Router) router.Stats {
	deadline := time.Now().Add(countLimit)
	for r.front.Stats().InFlight > 0 && time.Now().Before(deadline) {
		time.Sleep(samplePeriod)
	}
	return r.front.Stats()
}

// fill puts the measurements into a result.
func (s *sampler) fill(r *loadtest.Result) {
	b := s.bed
	r.IdleSeconds, r.LoadedSeconds = s.idle, s.loaded
	for model, census := range b.cluster.Census.Models() {
		r.Loads += census.Loads
		if census.PeakHeld > s.decided[model] {
			r.DuplicateLoads++
		}
	}
	for _, engine := range b.cluster.Engines {
		counts := engine.Counts()
		r.AdapterLoads += int(counts.AdapterLoads)
		r.OvercommitAttempts += int(counts.OvercommitAttempts)
	}
	for _, router := range b.routers {
		stats := settledStats(router)
		r.Retries += int(stats.Retries)
		r.Accepted += stats.Accepted
		r.Ended += stats.Served + stats.NotRun + stats.Unknown
	}
	for _, sidecar := range b.sidecars {
		r.Reports += int(sidecar.agent.Stats().Reports)
	}
	if s.samples > 0 {
		r.StaleRequests = s.stale / float64(s.samples)
		r.ReportBytes = int(s.reported / float64(s.samples) * float64(r.Reports))
	}
	store := b.cluster.Weights.Counts()
	r.StoreLoads, r.PeakStoreLoads = int(store.Loads), int(store.PeakLoads)
	r.Weigh(b.shape.ColdStartWeight, b.shape.IdleWeight)
}

package standin

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// WeightKnobs are the settings of a Weights.
type WeightKnobs struct {
	// LoadsPerSecond limits how many loads start. Default 4.
	LoadsPerSecond float64 `json:"loads_per_second"`
	// FullSpeedLoads is the number of loads that run at full speed at a time;
	// beyond, all are proportionally slower. Default 4.
	FullSpeedLoads int `json:"full_speed_loads"`
	// MiBPerSecond is the full speed of one load. Default 16384.
	MiBPerSecond float64 `json:"mib_per_second"`
	// SlowFactor lengthens every load, also those in flight. Default 1.
	SlowFactor float64 `json:"slow_factor"`
}

const (
	defaultLoadsPerSecond = 4
	defaultFullSpeedLoads = 4
	defaultMiBPerSecond   = 16 << 10
)

func (k WeightKnobs) withDefaults() WeightKnobs {
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

// burst is the number of loads that may start at once.
func (k WeightKnobs) burst() int { return max(1, int(k.LoadsPerSecond)) }

// WeightCounts are the counters of a Weights.
type WeightCounts struct {
	Loads        int64 `json:"loads"`
	LoadsRunning int64 `json:"loads_running"`
	PeakLoads    int64 `json:"peak_loads"`
	Stats        int64 `json:"stats"`
}

// Weights stands in for the weight store.
type Weights struct {
	Faults FaultBox
	mux    *http.ServeMux
	starts *rate.Limiter
	speed  sharedSpeed

	mu          sync.Mutex
	knobs       WeightKnobs
	checkpoints map[string]external.CheckpointInfo

	loads, stats atomic.Int64
}

// NewWeights makes a store of some checkpoints.
func NewWeights(knobs WeightKnobs, checkpoints []external.CheckpointInfo) *Weights {
	knobs = knobs.withDefaults()
	s := &Weights{
		starts:      rate.NewLimiter(rate.Limit(knobs.LoadsPerSecond), knobs.burst()),
		checkpoints: make(map[string]external.CheckpointInfo),
	}
	s.SetKnobs(knobs)
	for _, info := range checkpoints {
		s.Add(info)
	}
	protocol := http.NewServeMux()
	protocol.HandleFunc("GET /v1/checkpoints/{name}", s.handleStat)
	protocol.HandleFunc("POST /v1/checkpoints/{name}/load", s.handleLoad)
	s.mux = adminMux(&s.Faults, func() any { return s.Counts() }, protocol)
	handleKnobs(s.mux, s.Knobs, s.SetKnobs)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Weights) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Add adds a checkpoint.
func (s *Weights) Add(info external.CheckpointInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkpoints[info.Checkpoint] = info
}

// Knobs returns the settings.
func (s *Weights) Knobs() WeightKnobs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knobs
}

// SetKnobs replaces the settings.
func (s *Weights) SetKnobs(knobs WeightKnobs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knobs = knobs.withDefaults()
	s.starts.SetLimit(rate.Limit(s.knobs.LoadsPerSecond))
	s.starts.SetBurst(s.knobs.burst())
	s.speed.full.Store(int64(s.knobs.FullSpeedLoads))
}

// Counts returns the counters.
func (s *Weights) Counts() WeightCounts {
	return WeightCounts{
		Loads:        s.loads.Load(),
		LoadsRunning: s.speed.inFlight.Load(),
		PeakLoads:    s.speed.peak.Load(),
		Stats:        s.stats.Load(),
	}
}

func (s *Weights) find(w http.ResponseWriter, r *http.Request) (external.CheckpointInfo, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	info, ok := s.checkpoints[r.PathValue("name")]
	if !ok {
		writeError(w, external.KindNotFound, "no checkpoint "+r.PathValue("name"))
	}
	return info, ok
}

func (s *Weights) handleStat(w http.ResponseWriter, r *http.Request) {
	s.stats.Add(1)
	if info, ok := s.find(w, r); ok {
		writeJSON(w, info)
	}
}

// handleLoad answers once the checkpoint was read; its bytes are not sent.
func (s *Weights) handleLoad(w http.ResponseWriter, r *http.Request) {
	info, ok := s.find(w, r)
	if !ok {
		return
	}
	if s.starts.Wait(r.Context()) != nil {
		hangUp()
	}
	s.loads.Add(1)
	seconds := float64(info.SizeMiB) / s.Knobs().MiBPerSecond
	length := time.Duration(seconds * float64(time.Second))
	if !s.speed.work(r.Context(), length, func() float64 { return s.Knobs().SlowFactor }) {
		hangUp()
	}
	writeJSON(w, info)
}

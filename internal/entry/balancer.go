package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

const (
	// firstAvoid and maxAvoid bound how long a failing upstream is avoided.
	firstAvoid = 300 * time.Millisecond
	maxAvoid   = 4 * time.Second
	// deniedFor is how long an upstream's word that it lacks a model goes before
	// its entry, which may be old while the store is away.
	deniedFor = 3 * time.Second
	// refusedAvoid is the pause after a refusal of a full upstream.
	refusedAvoid = 100 * time.Millisecond
	// loadAge is how long a reported load counts.
	loadAge = 500 * time.Millisecond
	// latencyShare is the weight of a new answer time.
	latencyShare = 0.1
	// patienceFactor, minPatience and maxPatience bound how long the first
	// sending of a repeatable request may take.
	patienceFactor = 6
	minPatience    = 150 * time.Millisecond
	maxPatience    = time.Second
	// domainBias is what another failure domain adds to the load of an upstream.
	domainBias = 0.1
)

// balancer chooses upstreams by load, as far as this router knows it.
type balancer struct {
	domain string

	mu      sync.Mutex
	states  map[string]*upstreamState
	latency time.Duration
	// denied tells until when an upstream counts as without a model that its
	// entry names.
	denied map[modelOn]time.Time
}

// modelOn is a model on an upstream.
type modelOn struct{ upstream, model string }

type upstreamState struct {
	inFlight int
	strikes  int
	avoid    time.Time
	// others is the load that other callers bring, as last reported.
	others   int64
	reported time.Time
	used     time.Time
}

func newBalancer(domain string) *balancer {
	return &balancer{domain: domain, states: make(map[string]*upstreamState), denied: make(map[modelOn]time.Time)}
}

// pick returns the least loaded candidate; nil if there is none.
func (b *balancer) pick(candidates []*fleet.Upstream) *fleet.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var best *fleet.Upstream
	var bestScore float64
	for _, up := range candidates {
		score := b.score(now, up) + rand.Float64()*1e-3
		if best == nil || score < bestScore {
			best = up
			bestScore = score
		}
	}
	return best
}

func (b *balancer) score(now time.Time, up *fleet.Upstream) float64 {
	s := b.state(up.ID)
	load := float64(s.inFlight)
	if now.Sub(s.reported) < loadAge {
		load += float64(s.others)
	}
	score := load / float64(max(1, up.Slots))
	if up.FailureDomain != b.domain {
		score += domainBias
	}
	if now.Before(s.avoid) {
		score += 100
	}
	return score
}

func (b *balancer) state(id string) *upstreamState {
	s := b.states[id]
	if s == nil {
		s = &upstreamState{}
		b.states[id] = s
	}
	return s
}

// begin counts a request until the returned function is called.
func (b *balancer) begin(id string) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.inFlight++
	s.used = time.Now()
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		s.inFlight--
	}
}

func (b *balancer) learnLoad(id string, load *Load) {
	if load == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.others = max(0, load.Running+load.Waiting-int64(s.inFlight))
	s.reported = time.Now()
}

// recovered notes a whole answer.
func (b *balancer) recovered(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).strikes = 0
}

// succeeded notes a whole answer of a plain service and the time that it took.
func (b *balancer) succeeded(id string, took time.Duration) {
	b.recovered(id)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.latency == 0 {
		b.latency = took
	}
	b.latency += time.Duration(latencyShare * float64(took-b.latency))
}

func (b *balancer) failed(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.avoid = time.Now().Add(min(maxAvoid, firstAvoid<<min(s.strikes, 4)))
	s.strikes++
}

func (b *balancer) refused(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := time.Now().Add(refusedAvoid); b.state(id).avoid.Before(until) {
		b.state(id).avoid = until
	}
}

// deny notes that an upstream says it does not hold a model.
func (b *balancer) deny(id, model string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.denied[modelOn{id, model}] = time.Now().Add(deniedFor)
}

// isDenied reports whether an upstream said lately that it does not hold a model.
func (b *balancer) isDenied(id, model string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.denied[modelOn{id, model}])
}

// patience is how long an answer may take before another upstream is tried.
func (b *balancer) patience() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(maxPatience, max(minPatience, patienceFactor*b.latency))
}

// forget drops the states of upstreams that are gone.
func (b *balancer) forget(known map[string]*fleet.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if known[id] == nil && s.inFlight == 0 {
			delete(b.states, id)
		}
	}
	for key, until := range b.denied {
		if time.Now().After(until) {
			delete(b.denied, key)
		}
	}
}

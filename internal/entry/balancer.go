package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/balance"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

const (
	// minEjection is the ejection time after a first failure; it doubles with each
	// consecutive one up to maxEjection.
	minEjection = 300 * time.Millisecond
	maxEjection = 4 * time.Second
	// missingModelTTL is how long a model that an upstream reported missing counts as
	// not loaded there, whatever its registration says: that may be out of date while
	// the store is unreachable.
	missingModelTTL = 3 * time.Second
	// refusalEjection is the ejection time after an upstream refused a request for
	// lack of capacity.
	refusalEjection = 100 * time.Millisecond
	// An upstream whose address belongs to another one is left alone for minMisdirection after
	// the first response that says so; that doubles up to maxMisdirection.
	minMisdirection = time.Second
	maxMisdirection = 8 * time.Second
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.1
	// The first attempt of a repeatable request times out after attemptTimeoutFactor
	// times the average latency, within minAttemptTimeout and maxAttemptTimeout.
	attemptTimeoutFactor = 6
	minAttemptTimeout    = 150 * time.Millisecond
	maxAttemptTimeout    = time.Second
	// remoteDomainPenalty is added to the score of an upstream in another failure
	// domain.
	remoteDomainPenalty = 0.1
)

// balancer chooses the upstream with the least load that this router knows of. Failing
// upstreams are ejected for a while (outlier ejection): they are chosen only if there is no
// other candidate. It is safe for concurrent use.
type balancer struct {
	domain string

	mu      sync.Mutex
	states  map[string]*upstreamState
	latency time.Duration // moving average over plain services
	// reportedMissing is until when a model counts as not loaded in an upstream whose
	// registration lists it.
	reportedMissing map[upstreamModel]time.Time
}

// upstreamModel identifies a model in an upstream.
type upstreamModel struct{ upstream, model string }

type upstreamState struct {
	load                balance.Load
	consecutiveFailures int
	ejectedUntil        time.Time
	// misdirected is the registration whose address belonged to another upstream, nil for none.
	misdirected      *fleet.Upstream
	misdirections    int // in a row
	misdirectedUntil time.Time
	lastUsed         time.Time
}

func newBalancer(domain string) *balancer {
	return &balancer{domain: domain, states: make(map[string]*upstreamState), reportedMissing: make(map[upstreamModel]time.Time)}
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
	score := s.load.Requests(now) / float64(max(1, up.Slots))
	if up.FailureDomain != b.domain {
		score += remoteDomainPenalty
	}
	if now.Before(s.ejectedUntil) {
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

// begin counts a request as in flight until the returned function is called.
func (b *balancer) begin(id string) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.load.Begin()
	s.lastUsed = time.Now()
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		s.load.End()
	}
}

// updateLoad takes over a load that an upstream reported; nil changes nothing.
func (b *balancer) updateLoad(id string, load *Load) {
	if load == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).load.Report(time.Now(), load.Running+load.Waiting)
}

// resetFailures records a complete response.
func (b *balancer) resetFailures(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.consecutiveFailures, s.misdirected = 0, nil
}

// recordSuccess records a complete response of a plain service and its latency.
func (b *balancer) recordSuccess(id string, took time.Duration) {
	b.resetFailures(id)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.latency == 0 {
		b.latency = took
	}
	b.latency += time.Duration(latencyWeight * float64(took-b.latency))
}

func (b *balancer) recordFailure(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.ejectedUntil = time.Now().Add(min(maxEjection, minEjection<<min(s.consecutiveFailures, 4)))
	s.consecutiveFailures++
}

func (b *balancer) recordRefusal(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := time.Now().Add(refusalEjection); b.state(id).ejectedUntil.Before(until) {
		b.state(id).ejectedUntil = until
	}
}

// recordMisdirected records that another upstream has the address of a registration.
func (b *balancer) recordMisdirected(up *fleet.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(up.ID)
	if s.misdirected == nil || !sameRun(s.misdirected, up) {
		s.misdirections = 0
	}
	s.misdirected = up
	s.misdirectedUntil = time.Now().Add(min(maxMisdirection, minMisdirection<<min(s.misdirections, 4)))
	s.misdirections++
}

// isMisdirected reports whether the address of a registration is known to belong to another
// upstream.
func (b *balancer) isMisdirected(up *fleet.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[up.ID]
	return s != nil && s.misdirected != nil && sameRun(s.misdirected, up) && time.Now().Before(s.misdirectedUntil)
}

// sameRun reports whether two registrations are of one incarnation at one address.
func sameRun(a, b *fleet.Upstream) bool { return a.Addr == b.Addr && a.StartedMs == b.StartedMs }

// reportMissing records that an upstream reported a model as not loaded.
func (b *balancer) reportMissing(id, model string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reportedMissing[upstreamModel{id, model}] = time.Now().Add(missingModelTTL)
}

// isReportedMissing reports whether an upstream reported a model as not loaded within
// missingModelTTL.
func (b *balancer) isReportedMissing(id, model string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.reportedMissing[upstreamModel{id, model}])
}

// averageLatency is the average time to a complete response of a plain service.
func (b *balancer) averageLatency() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latency
}

// sound returns the candidates that are not ejected, the preferred one first; all of them if none
// is sound.
func (b *balancer) sound(candidates []*fleet.Upstream) []*fleet.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	sorted := slices.Clone(candidates)
	slices.SortStableFunc(sorted, func(x, y *fleet.Upstream) int { return cmp.Compare(b.score(now, x), b.score(now, y)) })
	ejected := slices.IndexFunc(sorted, func(up *fleet.Upstream) bool { return now.Before(b.state(up.ID).ejectedUntil) })
	if ejected <= 0 {
		return sorted
	}
	return sorted[:ejected]
}

// attemptTimeout is how long a response may take before another upstream is tried.
func (b *balancer) attemptTimeout() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(maxAttemptTimeout, max(minAttemptTimeout, attemptTimeoutFactor*b.latency))
}

// prune drops the states of removed upstreams and expired reports of missing models.
func (b *balancer) prune(known map[string]*fleet.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if known[id] == nil && s.load.InFlight() == 0 {
			delete(b.states, id)
		}
	}
	for key, until := range b.reportedMissing {
		if time.Now().After(until) {
			delete(b.reportedMissing, key)
		}
	}
}

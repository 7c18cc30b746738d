package keepalive

import (
	"math"
	"time"
)

const (
	// Gaps are counted in buckets whose bounds grow by a constant ratio.
	shortestGap = 50 * time.Millisecond
	buckets     = 56
	bucketRatio = 1.4
	// decay multiplies all counts with each new gap, so that a model's habits
	// of long ago fade.
	decay = 0.97
	// priorWeight is the weight of the prior, in gaps.
	priorWeight = 1.0
)

// bounds holds the upper bound of each bucket; the last is unbounded.
var bounds = makeBounds()

func makeBounds() [buckets]time.Duration {
	var all [buckets]time.Duration
	bound := float64(shortestGap)
	for i := range all {
		all[i] = time.Duration(bound)
		bound *= bucketRatio
	}
	return all
}

// histogram counts the gaps of one model.
type histogram struct {
	counts [buckets]float32
	gaps   int
}

// Learned chooses the keep-alive with the lowest expected cost under each
// model's own distribution of gaps. A model without history has a prior that is
// uniform over the logarithm of the gap.
type Learned struct {
	models map[string]*histogram
	// minGaps is the number of gaps below which a model gets its break-even
	// time instead of the best time under its few gaps.
	minGaps int
}

// NewLearned makes a policy without history.
func NewLearned() *Learned { return NewLearnedAfter(0) }

// NewLearnedAfter makes a policy that keeps each model for its break-even time
// until it has seen a number of gaps of the model.
func NewLearnedAfter(gaps int) *Learned {
	return &Learned{models: make(map[string]*histogram), minGaps: gaps}
}

// Observe implements Policy.
func (l *Learned) Observe(model string, gap time.Duration) {
	h := l.models[model]
	if h == nil {
		h = &histogram{}
		l.models[model] = h
	}
	for i := range h.counts {
		h.counts[i] *= decay
	}
	h.counts[bucketOf(gap)]++
	h.gaps++
}

// untried reports whether too few gaps of a model were seen.
func (l *Learned) untried(model string) bool {
	h := l.models[model]
	return l.minGaps > 0 && (h == nil || h.gaps < l.minGaps)
}

func bucketOf(gap time.Duration) int {
	if gap <= shortestGap {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(gap)/float64(shortestGap)) / math.Log(bucketRatio)))
	return min(i, buckets-1)
}

// shares returns the probability of each bucket.
func (l *Learned) shares(model string) [buckets]float64 {
	var shares [buckets]float64
	const prior = priorWeight / buckets
	h := l.models[model]
	total := 0.0
	for i := range shares {
		shares[i] = prior
		if h != nil {
			shares[i] += float64(h.counts[i])
		}
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// KeepAlive implements Policy. It minimizes, over the bounds k of the buckets
// and 0,
//
//	ColdStart * P(gap > k) * Load + Idle * E[min(gap, k)].
func (l *Learned) KeepAlive(model string, cost Cost) time.Duration {
	if l.untried(model) {
		return cost.BreakEven()
	}
	shares := l.shares(model)
	coldCost := cost.ColdStart * cost.Load.Seconds()
	best, bestCost := time.Duration(0), coldCost
	longer, idle := 1.0, 0.0 // P(gap > k) and E[min(gap, k)] for the present k
	previous := time.Duration(0)
	for i, bound := range bounds {
		width := (bound - previous).Seconds()
		idle += width * (longer - shares[i]/2)
		longer -= shares[i]
		expected := coldCost*max(longer, 0) + cost.Idle*idle
		if expected < bestCost {
			best, bestCost = bound, expected
		}
		previous = bound
	}
	return best
}

// NextUse implements Policy: the median of the gaps longer than idle, less
// idle.
func (l *Learned) NextUse(model string, idle time.Duration) time.Duration {
	shares := l.shares(model)
	first := bucketOf(idle)
	tail := 0.0
	for i := first; i < buckets; i++ {
		tail += shares[i]
	}
	passed := 0.0
	for i := first; i < buckets; i++ {
		passed += shares[i]
		if passed >= tail/2 {
			return max(bounds[i]-idle, time.Second)
		}
	}
	return Forever
}

package router

import (
	"maps"
	"sync"
	"sync/atomic"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Stats counts requests. Accepted is always the sum of Served, NotRun, Unknown
// and InFlight.
type Stats struct {
	Accepted int64 `json:"accepted"`
	Served   int64 `json:"served"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
	InFlight int64 `json:"in_flight"`
	// Refused counts the requests that were not served, by kind.
	Refused map[Kind]int64 `json:"refused"`
	// Queued is the number of requests that wait for a replica.
	Queued int64 `json:"queued"`
	// Retries counts repeated tries of requests; Resumed those that went on
	// from a token offset.
	Retries int64 `json:"retries"`
	Resumed int64 `json:"resumed"`
	// RetriesDenied counts failures that were not retried for lack of budget.
	RetriesDenied int64 `json:"retries_denied"`
	// Cuts counts streams that ended before their last frame.
	Cuts int64 `json:"cuts"`
	// Crossed counts discarded frames of other requests.
	Crossed int64 `json:"crossed"`
	// DuplicateTokens counts dropped tokens that had arrived before.
	DuplicateTokens int64 `json:"duplicate_tokens"`
	// Replayed counts calls that were answered with a stored outcome.
	Replayed int64 `json:"replayed"`
	// ClaimsNotStored counts outcomes that were answered before they were
	// stored.
	ClaimsNotStored int64 `json:"claims_not_stored"`
}

// counters hold the Stats of a router. The sum is guarded by one lock, so that
// it holds at every moment; the others are independent.
type counters struct {
	mu  sync.Mutex
	sum Stats // only the sum and Refused are used

	queued          atomic.Int64
	retries         atomic.Int64
	resumed         atomic.Int64
	retriesDenied   atomic.Int64
	cuts            atomic.Int64
	crossed         atomic.Int64
	duplicateTokens atomic.Int64
	replayed        atomic.Int64
	claimsNotStored atomic.Int64
}

func newCounters() *counters {
	return &counters{sum: Stats{Refused: make(map[Kind]int64)}}
}

func (c *counters) accept() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sum.Accepted++
	c.sum.InFlight++
}

// end counts the outcome of an accepted request; kind is empty when served.
func (c *counters) end(outcome apiv1.Outcome, kind Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sum.InFlight--
	switch outcome {
	case apiv1.Outcome_OUTCOME_SERVED:
		c.sum.Served++
		return
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		c.sum.NotRun++
	default:
		c.sum.Unknown++
	}
	c.sum.Refused[kind]++
}

func (c *counters) inFlight() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sum.InFlight
}

// Stats returns the counters of this moment.
func (r *Router) Stats() Stats {
	c := r.counters
	c.mu.Lock()
	out := c.sum
	out.Refused = maps.Clone(c.sum.Refused)
	c.mu.Unlock()
	out.Queued = c.queued.Load()
	out.Retries = c.retries.Load()
	out.Resumed = c.resumed.Load()
	out.RetriesDenied = c.retriesDenied.Load()
	out.Cuts = c.cuts.Load()
	out.Crossed = c.crossed.Load()
	out.DuplicateTokens = c.duplicateTokens.Load()
	out.Replayed = c.replayed.Load()
	out.ClaimsNotStored = c.claimsNotStored.Load()
	return out
}

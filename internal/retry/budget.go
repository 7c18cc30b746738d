// Package retry repeats failed calls with jittered exponential back-off, a
// deadline and a budget, so that an outage of a callee brings no storm.
package retry

import (
	"fmt"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// tokenUnit is one retry in the units of Budget.tokens, so that a share of
	// a retry can be added with an integer atomic.
	tokenUnit = 1_000_000
	// maxTokens is the number of retries that a budget saves up at most.
	maxTokens = 10 * tokenUnit

	// DefaultShare is the share of retries in calls.
	DefaultShare = 0.1
	// DefaultFloor is the number of retries a second that a budget allows
	// however few calls there are.
	DefaultFloor = 0.2
)

// Budget limits retries to a share of the calls, plus a small floor. It is safe
// for concurrent use. A nil *Budget allows every retry.
type Budget struct {
	perCall int64
	tokens  atomic.Int64
	floor   *rate.Limiter
}

// NewBudget makes a budget of share retries for each call (0.1 is one in ten)
// and of floor retries a second besides.
func NewBudget(share, floor float64) *Budget {
	burst := max(1, int(floor))
	if floor <= 0 {
		burst = 0
	}
	return &Budget{
		perCall: int64(share * tokenUnit),
		floor:   rate.NewLimiter(rate.Limit(floor), burst),
	}
}

// Call records one call that is not a retry.
func (b *Budget) Call() {
	if b == nil {
		return
	}
	// The check and the addition are not one step: racing calls may pass the
	// cap by one addition each, which the next call leaves alone.
	if b.tokens.Load() < maxTokens {
		b.tokens.Add(b.perCall)
	}
}

// Retry takes one retry out of the budget. It reports false when none is left.
func (b *Budget) Retry() bool {
	if b == nil {
		return true
	}
	for {
		have := b.tokens.Load()
		if have < tokenUnit {
			return b.floor.Allow()
		}
		if b.tokens.CompareAndSwap(have, have-tokenUnit) {
			return true
		}
	}
}

// BudgetError says that a failed call was not repeated because the retry budget
// was spent.
type BudgetError struct {
	// Tries is the number of calls that were made.
	Tries int
	// Err is the failure of the last call.
	Err error
}

// Error implements error.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("retry budget spent after %d tries: %v (find out why so many calls fail before raising retry_budget)", e.Tries, e.Err)
}

// Unwrap returns the failure of the last call.
func (e *BudgetError) Unwrap() error { return e.Err }

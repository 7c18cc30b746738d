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
)

// Budget limits retries to a share of the calls, plus a small floor. It is safe
// for concurrent use. A nil *Budget allows every retry.
type Budget struct {
	perCall atomic.Int64
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
	b := &Budget{floor: rate.NewLimiter(rate.Limit(floor), burst)}
	b.SetShare(share)
	return b
}

// SetShare changes the share of retries for each call from now on.
func (b *Budget) SetShare(share float64) { b.perCall.Store(int64(share * tokenUnit)) }

// RecordCall records one call that is not a retry.
func (b *Budget) RecordCall() {
	if b == nil {
		return
	}
	// The check and the addition are not one step: racing calls may pass the
	// cap by one addition each, which the next call leaves alone.
	if b.tokens.Load() < maxTokens {
		b.tokens.Add(b.perCall.Load())
	}
}

// AllowRetry takes one retry out of the budget. It reports false when none is left.
func (b *Budget) AllowRetry() bool {
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

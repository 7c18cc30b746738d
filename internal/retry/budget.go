// Package retry retries failed calls with jittered exponential back-off, within a
// deadline and a retry budget, so that an outage of a callee causes no retry storm.
package retry

import (
	"fmt"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// tokensPerRetry is what one retry takes from Budget.tokens. It is large so that
	// a fraction of a retry can be added with an integer atomic.
	tokensPerRetry = 1_000_000
	// defaultSaved is the number of retries that a budget saves.
	defaultSaved = 10
)

// Budget limits retries to a share of the calls, plus a floor of retries per second.
// It is safe for concurrent use. A nil *Budget allows every retry.
type Budget struct {
	perCall   atomic.Int64
	tokens    atomic.Int64
	maxTokens atomic.Int64
	floor     *rate.Limiter
}

// NewBudget returns a budget of share retries per call (0.1 is one retry for ten
// calls) plus floor retries per second.
func NewBudget(share, floor float64) *Budget {
	b := &Budget{floor: rate.NewLimiter(rate.Limit(floor), floorBurst(floor))}
	b.SetShare(share)
	b.maxTokens.Store(defaultSaved * tokensPerRetry)
	return b
}

func floorBurst(floor float64) int {
	if floor <= 0 {
		return 0
	}
	return max(1, int(floor))
}

// SetBounds changes the number of retries that the budget saves, and its floor in retries per
// second.
func (b *Budget) SetBounds(saved int, floor float64) {
	b.maxTokens.Store(int64(saved) * tokensPerRetry)
	b.floor.SetLimit(rate.Limit(floor))
	b.floor.SetBurst(floorBurst(floor))
	if tokens := b.tokens.Load(); tokens > b.maxTokens.Load() {
		b.tokens.CompareAndSwap(tokens, b.maxTokens.Load()) // else a call has just changed it
	}
}

// SetShare changes the number of retries per call; it applies to later calls.
func (b *Budget) SetShare(share float64) { b.perCall.Store(int64(share * tokensPerRetry)) }

// RecordCall records one call that is not a retry.
func (b *Budget) RecordCall() {
	if b == nil {
		return
	}
	// The check and the addition are not atomic: concurrent calls may each exceed
	// maxTokens by one addition. Later calls add nothing above it.
	if b.tokens.Load() < b.maxTokens.Load() {
		b.tokens.Add(b.perCall.Load())
	}
}

// AllowRetry takes one retry from the budget. It reports false if none is left.
func (b *Budget) AllowRetry() bool {
	if b == nil {
		return true
	}
	for {
		tokens := b.tokens.Load()
		if tokens < tokensPerRetry {
			return b.floor.Allow()
		}
		if b.tokens.CompareAndSwap(tokens, tokens-tokensPerRetry) {
			return true
		}
	}
}

// BudgetError means that a failed call was not retried because the retry budget
// was spent.
type BudgetError struct {
	// Tries is the number of calls made.
	Tries int
	// Err is the error of the last call.
	Err error
}

// Error implements error.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("retry budget spent after %d tries: %v (find out why so many calls fail before raising retry_budget)", e.Tries, e.Err)
}

// Unwrap returns the error of the last call.
func (e *BudgetError) Unwrap() error { return e.Err }

package retry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Defaults of Policy.
const (
	DefaultInitialDelay = 20 * time.Millisecond
	DefaultMaxDelay     = time.Second
	DefaultMultiplier   = 2
	jitter              = 0.5
)

// Policy says how a failed call is repeated.
type Policy struct {
	// InitialDelay is the mean wait before the first retry. Default DefaultInitial.
	InitialDelay time.Duration
	// MaxDelay caps the mean wait. Default DefaultMax.
	MaxDelay time.Duration
	// MaxTries limits the calls, the first one included; 0 sets no limit but
	// the context's deadline.
	MaxTries int
	// Retryable classifies a failure; nil repeats every failure.
	Retryable func(error) bool
}

func (p Policy) intervals() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = valueOr(p.InitialDelay, DefaultInitialDelay)
	b.MaxInterval = valueOr(p.MaxDelay, DefaultMaxDelay)
	b.Multiplier = DefaultMultiplier
	b.RandomizationFactor = jitter
	b.Reset()
	return b
}

func valueOr(d, otherwise time.Duration) time.Duration {
	if d <= 0 {
		return otherwise
	}
	return d
}

// mayRepeat reports whether the policy allows another call after failures.
func (p Policy) mayRepeat(err error, tries int) bool {
	if p.MaxTries > 0 && tries >= p.MaxTries {
		return false
	}
	return p.Retryable == nil || p.Retryable(err)
}

// Do calls call until it succeeds, fails with an error that may not be
// repeated, or the budget, the tries or the time are spent. It returns the last
// error of call, in a *BudgetError when the budget was spent. It does not start
// a wait that would pass ctx's deadline.
func Do(ctx context.Context, policy Policy, budget *Budget, call func(context.Context) error) error {
	budget.RecordCall()
	intervals := policy.intervals()
	for tries := 1; ; tries++ {
		err := call(ctx)
		if err == nil || ctx.Err() != nil || !policy.mayRepeat(err, tries) {
			return err
		}
		wait := intervals.NextBackOff()
		if passesDeadline(ctx, wait) {
			return err
		}
		if !budget.AllowRetry() {
			return &BudgetError{Tries: tries, Err: err}
		}
		if !Sleep(ctx, wait) {
			return err
		}
	}
}

func passesDeadline(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) <= wait
}

// Sleep waits and reports false when ctx ended first. Without a wait it reports
// whether ctx goes on.
func Sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

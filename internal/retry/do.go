package retry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Parameters of the exponential back-off.
const (
	DefaultInitialDelay = 20 * time.Millisecond
	DefaultMaxDelay     = time.Second
	DefaultMultiplier   = 2
	jitterFraction      = 0.5
)

// Policy configures the retries of a failed call.
type Policy struct {
	// InitialDelay is the mean delay before the first retry. Default DefaultInitialDelay.
	InitialDelay time.Duration
	// MaxDelay limits the mean delay. Default DefaultMaxDelay.
	MaxDelay time.Duration
	// MaxTries limits the number of calls, including the first; 0 means no limit
	// other than the context's deadline.
	MaxTries int
	// Retryable reports whether an error may be retried; nil retries every error.
	Retryable func(error) bool
}

func (p Policy) newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = valueOr(p.InitialDelay, DefaultInitialDelay)
	b.MaxInterval = valueOr(p.MaxDelay, DefaultMaxDelay)
	b.Multiplier = DefaultMultiplier
	b.RandomizationFactor = jitterFraction
	b.Reset()
	return b
}

func valueOr(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// mayRetry reports whether the policy allows another call after tries calls, the last
// of which failed with err.
func (p Policy) mayRetry(err error, tries int) bool {
	if p.MaxTries > 0 && tries >= p.MaxTries {
		return false
	}
	return p.Retryable == nil || p.Retryable(err)
}

// Do calls call until it succeeds, its error is not retryable, MaxTries is reached,
// the budget is spent or ctx is done. It returns the last error of call, wrapped in
// a *BudgetError if the budget was spent. It returns at once if the next delay would
// exceed ctx's deadline.
func Do(ctx context.Context, policy Policy, budget *Budget, call func(context.Context) error) error {
	budget.RecordCall()
	backOff := policy.newBackOff()
	for tries := 1; ; tries++ {
		err := call(ctx)
		if err == nil || ctx.Err() != nil || !policy.mayRetry(err, tries) {
			return err
		}
		delay := backOff.NextBackOff()
		if exceedsDeadline(ctx, delay) {
			return err
		}
		if !budget.AllowRetry() {
			return &BudgetError{Tries: tries, Err: err}
		}
		if !Sleep(ctx, delay) {
			return err
		}
	}
}

func exceedsDeadline(ctx context.Context, delay time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) <= delay
}

// Sleep waits for delay and reports false if ctx was done first. If delay is not
// positive, it reports at once whether ctx is still active.
func Sleep(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

package retry_test

import (
	"context"
	"errors"
	"flag"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	goleak.VerifyTestMain(m)
}

var (
	errTransient = errors.New("transient")
	errFinal     = errors.New("final")
)

func TestDo(t *testing.T) {
	transientOnly := func(err error) bool { return errors.Is(err, errTransient) }
	for _, tc := range []struct {
		name    string
		policy  retry.Policy
		budget  *retry.Budget
		timeout time.Duration // 0 sets none
		errs    []error       // results of the calls; the last one repeats
		want    error
		calls   int
		spent   bool
	}{
		{name: "success", errs: []error{nil}, calls: 1},
		{name: "success after failures", errs: []error{errTransient, errTransient, nil}, calls: 3},
		{name: "not retryable", policy: retry.Policy{Retryable: transientOnly}, errs: []error{errFinal}, want: errFinal, calls: 1},
		{name: "tries", policy: retry.Policy{MaxTries: 4}, errs: []error{errTransient}, want: errTransient, calls: 4},
		{name: "no budget", budget: retry.NewBudget(0, 0), errs: []error{errTransient}, want: errTransient, calls: 1, spent: true},
		{name: "floor of the budget", budget: retry.NewBudget(0, 2), policy: retry.Policy{InitialDelay: time.Nanosecond, MaxDelay: time.Nanosecond}, errs: []error{errTransient}, want: errTransient, calls: 3, spent: true},
		{name: "deadline", policy: retry.Policy{InitialDelay: time.Hour}, timeout: time.Second, errs: []error{errTransient}, want: errTransient, calls: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx := t.Context()
				if tc.timeout > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, tc.timeout)
					defer cancel()
				}
				calls := 0
				err := retry.Do(ctx, tc.policy, tc.budget, func(context.Context) error {
					calls++
					return tc.errs[min(calls, len(tc.errs))-1]
				})
				is.True(errors.Is(err, tc.want))
				is.Equal(calls, tc.calls)
				var spent *retry.BudgetError
				is.Equal(errors.As(err, &spent), tc.spent)
			})
		})
	}
}

func TestDoEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Minute, cancel)
		err := retry.Do(ctx, retry.Policy{}, nil, func(context.Context) error { return errTransient })
		is.True(errors.Is(err, errTransient))
		is.True(ctx.Err() != nil)
	})
}

// The delays between calls stay within the jitter bounds of their means.
func TestBackOffGrowsWithJitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		policy := retry.Policy{InitialDelay: 100 * time.Millisecond, MaxDelay: 400 * time.Millisecond, MaxTries: 6}
		var calledAt []time.Time
		_ = retry.Do(t.Context(), policy, nil, func(context.Context) error {
			calledAt = append(calledAt, time.Now())
			return errTransient
		})
		for i, mean := range []time.Duration{100, 200, 400, 400, 400} {
			delay := calledAt[i+1].Sub(calledAt[i])
			is.True(delay >= mean*time.Millisecond/2)
			is.True(delay <= mean*time.Millisecond*3/2+1)
		}
	})
}

// TestBudgetAgainstOracle compares a budget of one retry per four calls with an
// integer model: each call adds 1, each retry takes 4, at most 40 are saved.
func TestBudgetAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.NewBudget(0.25, 0)
		quarters := 0
		t.Repeat(map[string]func(*rapid.T){
			"calls": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "calls") {
					budget.RecordCall()
					quarters = min(40, quarters+1)
				}
			},
			"retry": func(t *rapid.T) {
				allowed := quarters >= 4
				if allowed {
					quarters -= 4
				}
				if got := budget.AllowRetry(); got != allowed {
					t.Fatalf("retry %v, oracle %v with %d quarters", got, allowed, quarters)
				}
			},
		})
	})
}

func TestBudgetUnderConcurrency(t *testing.T) {
	is := is.New(t)
	const goroutines, callsEach = 8, 100
	budget := retry.NewBudget(0.1, 0)
	var retries atomic.Int64
	var wg sync.WaitGroup
	for range goroutines {
		wg.Go(func() {
			for range callsEach {
				budget.RecordCall()
				if budget.AllowRetry() {
					retries.Add(1)
				}
			}
		})
	}
	wg.Wait()
	for budget.AllowRetry() {
		retries.Add(1)
	}
	is.Equal(retries.Load(), int64(goroutines*callsEach/10))
}

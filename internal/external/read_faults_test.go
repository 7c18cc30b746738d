package external_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// hasRemedy reports whether err is an *Error with an operation and a remedy.
func hasRemedy(err error) bool {
	var e *external.Error
	return errors.As(err, &e) && e.Remedy != "" && e.Op != ""
}

// readCase is a call that the client retries: a read or an idempotent write.
type readCase struct {
	name   string
	faults func(*standin.Cluster) *standin.FaultInjector
	call   func(context.Context, *standin.Cluster, external.ClientOptions) error
}

// readCases returns calls of each interface.
func readCases(t *testing.T) []readCase {
	table := func(c *standin.Cluster) *standin.FaultInjector { return &c.Table.Faults }
	objects := func(c *standin.Cluster) *standin.FaultInjector { return &c.Objects.Faults }
	return []readCase{
		{"table get", table, func(ctx context.Context, c *standin.Cluster, o external.ClientOptions) error {
			o.BaseURL = c.TableURL
			_, err := closeIdle(t, external.NewTableClient(o)).Get(ctx, "k")
			return err
		}},
		{"table changes", table, func(ctx context.Context, c *standin.Cluster, o external.ClientOptions) error {
			o.BaseURL = c.TableURL
			_, err := closeIdle(t, external.NewTableClient(o)).Changes(ctx, "live/", 0)
			return err
		}},
		{"object put", objects, func(ctx context.Context, c *standin.Cluster, o external.ClientOptions) error {
			o.BaseURL = c.ObjectURL
			return closeIdle(t, external.NewObjectClient(o)).Put(ctx, "a/b", []byte("body"))
		}},
		{"object list", objects, func(ctx context.Context, c *standin.Cluster, o external.ClientOptions) error {
			o.BaseURL = c.ObjectURL
			_, err := closeIdle(t, external.NewObjectClient(o)).List(ctx, "a/")
			return err
		}},
		{"host list", func(c *standin.Cluster) *standin.FaultInjector { return &c.Hosts.Faults }, func(ctx context.Context, c *standin.Cluster, o external.ClientOptions) error {
			o.BaseURL = c.HostListURL
			_, err := closeIdle(t, external.NewHostListClient(o)).Hosts(ctx)
			return err
		}},
	}
}

func readCluster(t *testing.T) *standin.Cluster {
	t.Helper()
	return startCluster(t, standin.ClusterOptions{})
}

// TestReadsAreRetried ends the fault while the client is retrying.
func TestReadsAreRetried(t *testing.T) {
	for _, tc := range readCases(t) {
		for _, faults := range []standin.Faults{{Down: true}, {Refuse: true}} {
			t.Run(tc.name, func(t *testing.T) {
				is := is.New(t)
				c := readCluster(t)
				box := tc.faults(c)
				box.Set(faults)
				tries := 0
				box.OnCall(func() {
					if tries++; tries == 2 {
						box.Set(standin.Faults{})
					}
				})
				is.NoErr(tc.call(context.Background(), c, external.ClientOptions{}))
				is.True(tries >= 2)
			})
		}
	}
}

// TestReadsStopWithoutRetryBudget checks that a call without retry budget is sent once
// and fails with a *retry.BudgetError.
func TestReadsStopWithoutRetryBudget(t *testing.T) {
	for _, tc := range readCases(t) {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := readCluster(t)
			box := tc.faults(c)
			box.Set(standin.Faults{Refuse: true})
			tries := 0
			box.OnCall(func() { tries++ })
			err := tc.call(context.Background(), c, external.ClientOptions{Budget: retry.NewBudget(0, 0)})
			var exhausted *retry.BudgetError
			is.True(errors.As(err, &exhausted))
			is.Equal(external.KindOf(err), external.KindOverloaded)
			is.Equal(external.OutcomeUnknown(err), false)
			is.True(hasRemedy(err))
			is.Equal(tries, 1)
		})
	}
}

// TestReadsEndAtDeadline calls a service that never responds.
func TestReadsEndAtDeadline(t *testing.T) {
	for _, tc := range readCases(t) {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := readCluster(t)
			tc.faults(c).Set(standin.Faults{DelayMS: 60_000})
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
			defer cancel()
			err := tc.call(ctx, c, external.ClientOptions{CallTimeout: 50 * time.Millisecond})
			is.Equal(external.KindOf(err), external.KindUnavailable)
			is.True(hasRemedy(err))
			is.True(errors.Is(err, context.DeadlineExceeded))
		})
	}
}

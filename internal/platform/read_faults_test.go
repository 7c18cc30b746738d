package platform_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/platform"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// hasRemedy reports whether err is an *Error that says what to do.
func hasRemedy(err error) bool {
	var e *platform.Error
	return errors.As(err, &e) && e.Remedy != "" && e.Op != ""
}

// readCase is a call that changes nothing or may be repeated.
type readCase struct {
	name   string
	faults func(*standin.Cluster) *standin.FaultBox
	call   func(context.Context, *standin.Cluster, platform.ClientOptions) error
}

// readCases holds one or more calls of each interface.
func readCases(t *testing.T) []readCase {
	table := func(c *standin.Cluster) *standin.FaultBox { return &c.Table.Faults }
	objects := func(c *standin.Cluster) *standin.FaultBox { return &c.Objects.Faults }
	engine := func(c *standin.Cluster) *standin.FaultBox { return &c.Engines[0].Faults }
	return []readCase{
		{"table get", table, func(ctx context.Context, c *standin.Cluster, o platform.ClientOptions) error {
			o.BaseURL = c.TableURL
			_, err := closeIdle(t, platform.NewTableClient(o)).Get(ctx, "k")
			return err
		}},
		{"table changes", table, func(ctx context.Context, c *standin.Cluster, o platform.ClientOptions) error {
			o.BaseURL = c.TableURL
			_, err := closeIdle(t, platform.NewTableClient(o)).Changes(ctx, "live/", 0)
			return err
		}},
		{"object put", objects, func(ctx context.Context, c *standin.Cluster, o platform.ClientOptions) error {
			o.BaseURL = c.ObjectURL
			return closeIdle(t, platform.NewObjectClient(o)).Put(ctx, "a/b", []byte("body"))
		}},
		{"object list", objects, func(ctx context.Context, c *standin.Cluster, o platform.ClientOptions) error {
			o.BaseURL = c.ObjectURL
			_, err := closeIdle(t, platform.NewObjectClient(o)).List(ctx, "a/")
			return err
		}},
		{"weight stat", func(c *standin.Cluster) *standin.FaultBox { return &c.Weights.Faults }, func(ctx context.Context, c *standin.Cluster, o platform.ClientOptions) error {
			o.BaseURL = c.WeightURL
			_, err := closeIdle(t, platform.NewWeightClient(o)).Stat(ctx, "ckpt")
			return err
		}},
		{"host list", func(c *standin.Cluster) *standin.FaultBox { return &c.Hosts.Faults }, func(ctx context.Context, c *standin.Cluster, o platform.ClientOptions) error {
			o.BaseURL = c.HostListURL
			_, err := closeIdle(t, platform.NewHostListClient(o)).Hosts(ctx)
			return err
		}},
		{"engine inventory", engine, func(ctx context.Context, c *standin.Cluster, o platform.ClientOptions) error {
			o.BaseURL = c.EngineURLs[0]
			_, err := closeIdle(t, platform.NewEngineClient(o)).Inventory(ctx)
			return err
		}},
		{"engine load", engine, func(ctx context.Context, c *standin.Cluster, o platform.ClientOptions) error {
			o.BaseURL = c.EngineURLs[0]
			_, err := closeIdle(t, platform.NewEngineClient(o)).Load(ctx)
			return err
		}},
		{"engine cancel", engine, func(ctx context.Context, c *standin.Cluster, o platform.ClientOptions) error {
			o.BaseURL = c.EngineURLs[0]
			return closeIdle(t, platform.NewEngineClient(o)).Cancel(ctx, "r1")
		}},
	}
}

func readCluster(t *testing.T) *standin.Cluster {
	t.Helper()
	return startCluster(t, standin.ClusterOptions{
		Checkpoints: []platform.CheckpointInfo{{Checkpoint: "ckpt", SizeMiB: 1}},
		Engines:     []standin.EngineOptions{{Host: "e0", MemoryMiB: 100}},
	})
}

// TestReadsAreRepeated brings the callee back while the call is repeated.
func TestReadsAreRepeated(t *testing.T) {
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
				is.NoErr(tc.call(context.Background(), c, platform.ClientOptions{}))
				is.True(tries >= 2)
			})
		}
	}
}

// TestReadsEndWithTheBudget has no retry left, so each call is sent once.
func TestReadsEndWithTheBudget(t *testing.T) {
	for _, tc := range readCases(t) {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := readCluster(t)
			box := tc.faults(c)
			box.Set(standin.Faults{Refuse: true})
			tries := 0
			box.OnCall(func() { tries++ })
			err := tc.call(context.Background(), c, platform.ClientOptions{Budget: retry.NewBudget(0, 0)})
			var spent *retry.BudgetError
			is.True(errors.As(err, &spent))
			is.Equal(platform.KindOf(err), platform.KindOverloaded)
			is.Equal(platform.OutcomeUnknown(err), false)
			is.True(hasRemedy(err))
			is.Equal(tries, 1)
		})
	}
}

// TestReadsEndWithTheDeadline has a callee that never answers.
func TestReadsEndWithTheDeadline(t *testing.T) {
	for _, tc := range readCases(t) {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := readCluster(t)
			tc.faults(c).Set(standin.Faults{DelayMS: 60_000})
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
			defer cancel()
			err := tc.call(ctx, c, platform.ClientOptions{CallTimeout: 50 * time.Millisecond})
			is.Equal(platform.KindOf(err), platform.KindUnavailable)
			is.True(hasRemedy(err))
			is.True(errors.Is(err, context.DeadlineExceeded))
		})
	}
}

package capacity_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/claim"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// BenchmarkClaims measures how many claims and outcomes one transaction of the
// table service carries, against the number of calls at the same time.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("calls=%d", callers), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			cluster, err := standin.Start(ctx, standin.ClusterOptions{})
			if err != nil {
				b.Fatal(err)
			}
			defer cluster.Close()
			cluster.Table.Faults.Set(standin.Faults{DelayMS: 5})
			store := claim.New(claim.Options{
				Table:  external.NewTableClient(external.ClientOptions{BaseURL: cluster.TableURL}),
				Router: "router", Log: log.New(io.Discard),
			})
			var running sync.WaitGroup
			running.Go(func() { _ = store.Run(ctx) })
			defer running.Wait()
			defer cancel()
			started := time.Now()
			calls := 0
			for b.Loop() {
				claimAndFinish(ctx, b, store, callers, calls)
				calls += callers
			}
			commits := float64(cluster.Table.Counts().Commits)
			b.ReportMetric(float64(calls)/commits, "calls/commit")
			b.ReportMetric(float64(calls)/time.Since(started).Seconds(), "calls/s")
			b.ReportMetric(commits/time.Since(started).Seconds(), "commits/s")
		})
	}
}

func claimAndFinish(ctx context.Context, b *testing.B, store *claim.Store, callers, serial int) {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			key := fmt.Sprint(serial + i)
			result, err := store.Claim(ctx, "service", key, key, 1)
			if err != nil || result.Claimed == nil {
				b.Error(result, err)
				return
			}
			outcome := claim.Outcome{State: apiv1.ClaimState_CLAIM_STATE_DONE, Status: 200, Body: make([]byte, 200)}
			if err := store.Finish(ctx, result.Claimed, outcome); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
}

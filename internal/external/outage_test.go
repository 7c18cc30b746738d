package external_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

const (
	outageClients = 50
	outagePeriod  = 100 * time.Millisecond // mean time between a client's calls
	outagePhase   = 5 * time.Second
	outagePhases  = 3 // before, during and after
	outageSeconds = int(outagePhases * outagePhase / time.Second)
)

// arrivals counts the calls that reach a stand-in in each second.
type arrivals struct {
	start   time.Time
	seconds [outageSeconds]atomic.Int64
}

func (a *arrivals) count() {
	second := int(time.Since(a.start) / time.Second)
	if second < outageSeconds {
		a.seconds[second].Add(1)
	}
}

// phase returns the mean and the highest number of calls per second of a phase.
func (a *arrivals) phase(i int) (mean, peak float64) {
	length := outageSeconds / outagePhases
	for second := i * length; second < (i+1)*length; second++ {
		calls := float64(a.seconds[second].Load())
		mean += calls / float64(length)
		peak = max(peak, calls)
	}
	return mean, peak
}

// BenchmarkTableOutage reports the calls that reach the table service from 50 clients
// before, during and after an outage of 5 s. Run it with -benchtime=1x.
func BenchmarkTableOutage(b *testing.B) {
	get := func(ctx context.Context, table external.TableService, _, _ int) error {
		_, err := table.Get(ctx, "k")
		return err
	}
	commit := func(ctx context.Context, table external.TableService, client, round int) error {
		key := fmt.Sprintf("%d/%d", client, round)
		_, err := external.CommitResolved(ctx, table, external.Txn{
			ID:     key,
			Checks: []external.Check{{Key: key}},
			Puts:   []external.Put{{Key: key}},
		})
		return err
	}
	withBudget := func() *retry.Budget { return retry.NewBudget(0.1, 0.2) }
	without := func() *retry.Budget { return nil }
	for _, tc := range []struct {
		name   string
		call   func(context.Context, external.TableService, int, int) error
		budget func() *retry.Budget
		faults standin.Faults
	}{
		{"get, refused, budget", get, withBudget, standin.Faults{Refuse: true}},
		{"get, refused, no budget", get, without, standin.Faults{Refuse: true}},
		{"commit, closed, budget", commit, withBudget, standin.Faults{Down: true}},
		{"commit, closed, no budget", commit, without, standin.Faults{Down: true}},
	} {
		b.Run(tc.name, func(b *testing.B) {
			for range b.N {
				seen, failed := runOutage(b, tc.call, tc.budget, tc.faults)
				for i, phase := range []string{"before", "during", "after"} {
					mean, peak := seen.phase(i)
					b.ReportMetric(mean, phase+"-calls/s")
					b.ReportMetric(peak, phase+"-peak/s")
				}
				b.ReportMetric(float64(failed), "failed")
			}
		})
	}
}

// runOutage runs clients that each have a retry budget of their own and start
// calls at jittered intervals, whether or not earlier calls have ended.
func runOutage(b *testing.B, call func(context.Context, external.TableService, int, int) error, budget func() *retry.Budget, faults standin.Faults) (*arrivals, int64) {
	c, err := standin.Start(b.Context(), standin.ClusterOptions{})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	seen := &arrivals{start: time.Now()}
	c.Table.Faults.OnCall(seen.count)
	time.AfterFunc(outagePhase, func() { c.Table.Faults.Set(faults) })
	time.AfterFunc(2*outagePhase, func() { c.Table.Faults.Set(standin.Faults{}) })
	var failed atomic.Int64
	var wg sync.WaitGroup
	for client := range outageClients {
		table := external.NewTableClient(external.ClientOptions{BaseURL: c.TableURL, Budget: budget()})
		defer table.(interface{ CloseIdleConnections() }).CloseIdleConnections()
		wg.Go(func() {
			for round := 0; time.Since(seen.start) < outagePhases*outagePhase; round++ {
				time.Sleep(time.Duration(rand.Int64N(2 * int64(outagePeriod))))
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), outagePhase)
					defer cancel()
					if call(ctx, table, client, round) != nil {
						failed.Add(1)
					}
				})
			}
		})
	}
	wg.Wait()
	return seen, failed.Load()
}

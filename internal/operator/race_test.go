package operator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// applyResults collects the results of concurrent Apply calls.
type applyResults struct {
	mu        sync.Mutex
	accepted  map[uint64]string // revision -> message
	conflicts []*Error
	otherErrs []error
}

func (r *applyResults) record(message string, reply *ApplyReply, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var apiErr *Error
	switch {
	case err == nil && r.accepted[reply.Revision.Revision] != "":
		r.otherErrs = append(r.otherErrs, fmt.Errorf("revision %d accepted twice", reply.Revision.Revision))
	case err == nil:
		r.accepted[reply.Revision.Revision] = message
	case errors.As(err, &apiErr) && apiErr.Kind == KindConflict:
		r.conflicts = append(r.conflicts, apiErr)
	default:
		r.otherErrs = append(r.otherErrs, err)
	}
}

// Operators apply concurrently through two routers while the table service drops
// every fifth reply. Each Apply must either commit exactly one revision or report
// the conflicting one.
func TestConcurrentOperators(t *testing.T) {
	const operators, rounds = 4, 6
	is := is.New(t)
	p := newPlatform(t)
	p.table.Faults.Set(standin.Faults{LoseEvery: 5})
	urls := []string{p.newRouter(t, noMiddleware).url, p.newRouter(t, noMiddleware).url}
	set := sampleJSON(t)
	results := &applyResults{accepted: make(map[uint64]string)}
	var wg sync.WaitGroup
	for i := range operators {
		client := newTestClient(t, urls[i%2], urls[(i+1)%2])
		wg.Go(func() {
			for round := range rounds {
				message := fmt.Sprintf("operator %d, round %d", i, round)
				reply, err := client.Apply(context.Background(), ApplyRequest{Set: set, Message: message})
				results.record(message, reply, err)
			}
		})
	}
	wg.Wait()

	p.table.Faults.Set(standin.Faults{})
	is.Equal(len(results.otherErrs), 0) // no call failed or left its outcome unknown
	history, err := newTestClient(t, urls[0]).History(context.Background(), operators*rounds)
	is.NoErr(err)
	is.Equal(len(history.Revisions), len(results.accepted)) // exactly the accepted sets are committed
	is.Equal(len(results.accepted)+len(results.conflicts), operators*rounds)
	for i, row := range history.Revisions {
		is.Equal(row.Revision, uint64(len(history.Revisions)-i)) // no gaps
		is.Equal(results.accepted[row.Revision], row.Message)
	}
	for _, conflict := range results.conflicts {
		is.Equal(results.accepted[conflict.Winner.Revision], conflict.Winner.Message)
	}
}

// BenchmarkApply publishes over HTTP an object set with 650 models and 9,600
// adapters in which one field changes, and loads each revision as a router does.
func BenchmarkApply(b *testing.B) {
	shape := sample.OffcutGiveaway()
	shape.Models, shape.Adapters = 650, 9600
	set := shape.Set()
	p := newPlatform(b)
	r := p.newRouter(b, noMiddleware)
	client := newTestClient(b, r.url)
	loader := config.NewLoader(r.objects)
	ctx := context.Background()
	size, n := 0, uint32(0)
	for b.Loop() {
		n++
		set.Models[300].MaxQueue = n
		data, err := config.FormatSet(set)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
		reply, err := client.Apply(ctx, ApplyRequest{Set: data})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := loader.Load(ctx, &apiv1.HeadRow{BodyKey: reply.Revision.BodyKey}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "jsonbytes")
	b.ReportMetric(float64(loader.Stats().Bodies), "bodies")
}

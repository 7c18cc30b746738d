package router_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/router"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

// faults are what a sidecar may do with a generation. The first serves it.
var faults = []func(*transport.Stream, *apiv1.GenerateRequest){
	serveWords, serveWords, serveDuplicates, serveCrossed, serveWithGap, serveShort, cutAfter(0), cutAfter(3),
	refuseWith(apiv1.RefusalKind_REFUSAL_KIND_STALE, false),
	refuseWith(apiv1.RefusalKind_REFUSAL_KIND_NO_MEMORY, false),
	refuseWith(apiv1.RefusalKind_REFUSAL_KIND_NO_STREAM, false),
	refuseWith(apiv1.RefusalKind_REFUSAL_KIND_UPSTREAM, true),
}

var tableFaults = []tabletest.Fault{tabletest.None, tabletest.None, tabletest.None, tabletest.LostAnswer, tabletest.Down}

// callFault is what a sidecar may do with a call: cut or refuse it, before or
// after it ran, or answer it.
type callFault struct{ runs, refuses, unknown, answers bool }

var callFaults = []callFault{
	{runs: true, answers: true},
	{runs: true, answers: true},
	{},
	{runs: true},
	{refuses: true},
	{refuses: true, unknown: true},
	{runs: true, refuses: true, unknown: true},
}

// TestOutcomesUnderFaults sends requests at once to sidecars that do what was
// drawn, and demands whole answers, true refusals, at most one run of each call
// and outcomes that add up.
func TestOutcomesUnderFaults(t *testing.T) {
	a, b := newFakeSidecar(t, "a"), newFakeSidecar(t, "b")
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, len(faults)*len(callFaults)-1), 32, 32).Draw(rt, "script")
		table := tabletest.New()
		var next atomic.Int64
		draw := func(n int) int { return script[int(next.Add(1))%len(script)] % n }
		var runs sync.Map  // call key -> *atomic.Int64
		var maybe sync.Map // call keys of which a caller was not told "not run"
		for _, s := range []*fakeSidecar{a, b} {
			s.generate = func(s *transport.Stream, req *apiv1.GenerateRequest) { faults[draw(len(faults))](s, req) }
			s.call = func(s *transport.Stream, req *apiv1.CallRequest, body []byte) {
				table.SetFault(tableFaults[draw(len(tableFaults))]) // for the write of the outcome
				callFaults[draw(len(callFaults))].play(s, req, &runs, string(body))
			}
		}
		f := newFixture(t, table, a, b)
		f.report("a", 0, apiv1.ReplicaState_REPLICA_STATE_READY, 0)
		var callers sync.WaitGroup
		for i := range 8 {
			callers.Go(func() {
				stream := i%2 == 0
				got := f.chat(t, stream)
				table.SetFault(tabletest.None)
				want := got.outcome()
				if _, finished, _ := readAnswer(t, got, stream); got.status == http.StatusOK && !finished {
					want = "unknown"
				}
				checkAnswer(t, got, stream, want)
			})
			callers.Go(func() {
				key := fmt.Sprintf("k%d", i/2) // two callers send each call
				got := f.do(t, http.MethodPost, "/services/bookings/book", key, router.HeaderIdempotencyKey, key)
				if got.outcome() != "not-run" {
					maybe.Store(key, true)
				}
				checkRuns(t, got, &runs, key)
			})
		}
		callers.Wait()
		table.SetFault(tabletest.None)
		runs.Range(func(key, _ any) bool {
			if _, told := maybe.Load(key); !told {
				t.Errorf("call %s ran and all callers were told that it did not", key)
			}
			return true
		})
		f.checkSum(t)
		f.stop()
		if t.Failed() {
			rt.Fatal("see above")
		}
	})
}

func (c callFault) play(s *transport.Stream, req *apiv1.CallRequest, runs *sync.Map, key string) {
	if c.runs {
		n, _ := runs.LoadOrStore(key, &atomic.Int64{})
		n.(*atomic.Int64).Add(1)
	}
	switch {
	case c.answers:
		respond(s, req.GetRequestId(), http.StatusCreated)
		sendChunk(s, "booked "+key, true)
	case c.refuses:
		refuse(s, &apiv1.Refusal{Kind: apiv1.RefusalKind_REFUSAL_KIND_UPSTREAM, OutcomeUnknown: c.unknown})
	}
}

// checkRuns compares what a caller was told with what the service counted. A
// caller that is told "not run" may be followed by another one whose call runs.
func checkRuns(t *testing.T, got reply, runs *sync.Map, key string) {
	t.Helper()
	ran := int64(0)
	if n, known := runs.Load(key); known {
		ran = n.(*atomic.Int64).Load()
	}
	if ran > 1 {
		t.Errorf("call %s ran %d times", key, ran)
	}
	if got.status == http.StatusCreated && (ran != 1 || got.body != "booked "+key) {
		t.Errorf("call %s: answered %q and ran %d times", key, got.body, ran)
	}
}

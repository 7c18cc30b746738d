package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/faultyserver"
)

// refusing runs an engine that refuses the first requests, then runs each one. Its
// answers have faults.
func refusing(t *testing.T, refusals int64, faults faultyserver.Faults) (engine *upstream, runs *atomic.Int64) {
	t.Helper()
	runs = &atomic.Int64{}
	var asked atomic.Int64
	server := faultyserver.Start(t, func(r *http.Request) faultyserver.Response {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return faultyserver.Response{Faults: faultyserver.Faults{DropResponse: true}}
		}
		header := http.Header{"Id": r.Header["Id"]}
		if asked.Add(1) <= refusals {
			header.Set("Not-Run", "1")
			return faultyserver.Response{Status: http.StatusServiceUnavailable, Header: header, Parts: []string{strings.Repeat("full ", 40)}, Faults: faults}
		}
		runs.Add(1)
		header.Set("Signed", "yes")
		return faultyserver.Response{Status: http.StatusOK, Header: header, Parts: []string{"id: 1\ndata: e1\n\n", "id: 2\ndata: e2\n\n"}, PartDelay: 5 * time.Millisecond}
	})
	return &upstream{id: "engine-1", addr: server.Addr}, runs
}

// Guards against REFUSED and TWICE of issue 15: an engine sends its refusal once more,
// late, and it is taken for the answer to the request's next sending.
func TestEngineThatRepeatsRefusalsLate(t *testing.T) {
	for refusals := range int64(maxSameSends) {
		t.Run(fmt.Sprint(refusals, " refusals"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			engine, runs := refusing(t, refusals, faultyserver.Faults{Duplicate: faultyserver.DuplicateBeforeNext, SegmentSize: 40, SegmentDelay: 2 * time.Millisecond})
			b := start(t, engine)
			got := b.send(t, "/single/a", "m/a", patience)
			is.True(runs.Load() <= 1)                                                // it may run once
			is.True(got.status != http.StatusServiceUnavailable || runs.Load() == 0) // a refusal is true
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.True(strings.HasSuffix(strings.TrimSpace(got.body), "e2"))
		})
	}
}

// Guards against a refusal of a request that ran: an upstream's own failure is the
// end of a run, and what another upstream refuses afterwards does not undo it.
func TestRefusalAfterARunThatFailed(t *testing.T) {
	for path, model := range map[string]string{"/again/a": "", "/resume/a": "m"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			id := "plain"
			if model != "" {
				id = "engine"
			}
			shared := newUpstream(t, id+"-1", answer(500, "own failure"), notRun)
			b := start(t, shared, &upstream{id: id + "-2", addr: shared.addr})
			got := b.send(t, path, model, patience)
			is.NoErr(got.err)
			is.Equal(shared.runs(), 2)
			is.Equal(got.status, http.StatusBadGateway) // no promise
		})
	}
}

// Guards against a refused request that is held to its deadline: the refusal's body
// never ends.
func TestRefusalThatDoesNotEndIsNotAwaited(t *testing.T) {
	for name, faults := range map[string]faultyserver.Faults{
		"no length":      {NoLength: true, TruncateAfter: 100, Stall: true},
		"cut, then mute": {TruncateAfter: 100, Stall: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			engine, runs := refusing(t, 1, faults)
			b := start(t, engine)
			began := time.Now()
			got := b.send(t, "/single/a", "m", 30*time.Second)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(runs.Load(), int64(0))
			is.True(time.Since(began) < 15*time.Second)
		})
	}
}

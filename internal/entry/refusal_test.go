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

// startRefusingEngine starts an engine that refuses the first requests with responses that
// have faults, and runs all later requests.
func startRefusingEngine(t *testing.T, refusals int64, faults faultyserver.Faults) (engine *upstream, runs *atomic.Int64) {
	t.Helper()
	runs = &atomic.Int64{}
	var requests atomic.Int64
	server := faultyserver.Start(t, func(r *http.Request) faultyserver.Response {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return faultyserver.Response{Faults: faultyserver.Faults{DropResponse: true}}
		}
		header := http.Header{"Id": r.Header["Id"]}
		if requests.Add(1) <= refusals {
			header.Set("Not-Run", "1")
			return faultyserver.Response{Status: http.StatusServiceUnavailable, Header: header, Parts: []string{strings.Repeat("full ", 40)}, Faults: faults}
		}
		runs.Add(1)
		header.Set("Signed", "yes")
		return faultyserver.Response{Status: http.StatusOK, Header: header, Parts: []string{"id: 1\ndata: e1\n\n", "id: 2\ndata: e2\n\n"}, PartDelay: 5 * time.Millisecond}
	})
	return &upstream{id: "engine-1", addr: server.Addr}, runs
}

// Guards against false refusals and requests that run twice (REFUSED and TWICE of issue
// 15): an engine sends a refusal again later, and the duplicate is taken for the response to the
// request's next attempt.
func TestLateDuplicateRefusalIsNotTheNextResponse(t *testing.T) {
	for refusals := range int64(maxAdapterAttempts) {
		t.Run(fmt.Sprint(refusals, " refusals"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			engine, runs := startRefusingEngine(t, refusals, faultyserver.Faults{Duplicate: faultyserver.DuplicateBeforeNext, SegmentSize: 40, SegmentDelay: 2 * time.Millisecond})
			router := start(t, engine)
			got := router.send(t, "/single/a", "m/a", callerTimeout)
			is.True(runs.Load() <= 1)                                                // it may run once
			is.True(got.status != http.StatusServiceUnavailable || runs.Load() == 0) // a refused request did not run
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.True(strings.HasSuffix(strings.TrimSpace(got.body), "e2"))
		})
	}
}

// Guards against a refusal of a request that ran: the first upstream ran it and responded
// with an error, the second one refuses it.
func TestNoRefusalAfterAFailedRun(t *testing.T) {
	for path, model := range map[string]string{"/again/a": "", "/resume/a": "m"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			id := "plain"
			if model != "" {
				id = "engine"
			}
			shared := newUpstream(t, id+"-1", respond(500, "own failure"), refuse)
			router := start(t, shared, &upstream{id: id + "-2", addr: shared.addr})
			got := router.send(t, path, model, callerTimeout)
			is.NoErr(got.err)
			is.Equal(shared.runs(), 2)
			is.Equal(got.status, http.StatusBadGateway) // does not claim that it did not run
		})
	}
}

// Guards against a refused request that waits until its deadline because the refusal's
// body never ends.
func TestUnterminatedRefusalIsNotAwaited(t *testing.T) {
	for name, faults := range map[string]faultyserver.Faults{
		"no length":              {NoLength: true, TruncateAfter: 100, Stall: true},
		"truncated, then silent": {TruncateAfter: 100, Stall: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			engine, runs := startRefusingEngine(t, 1, faults)
			router := start(t, engine)
			began := time.Now()
			got := router.send(t, "/single/a", "m", 30*time.Second)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(runs.Load(), int64(0))
			is.True(time.Since(began) < 15*time.Second)
		})
	}
}

// Guards against a request that is sent again, or refused as not run, although it ran: a
// success that also says that it has not run is a success.
func TestSuccessThatSaysNotRunIsNoRefusal(t *testing.T) {
	for path, tc := range map[string]struct {
		model, id string
		good      http.HandlerFunc
	}{
		"/once/a":   {"", "plain-1", respond(http.StatusOK, "done")},
		"/stream/a": {"m", "engine-1", events(1, 2, true)},
	} {
		is := is.New(t)
		u := newUpstream(t, tc.id, withHeader("Not-Run", "1", tc.good))
		router := start(t, u)
		got := router.send(t, path, tc.model, callerTimeout)
		is.Equal(got.status, http.StatusOK)
		is.Equal(u.runs(), 1)
	}
}

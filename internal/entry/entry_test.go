package entry

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

const callerTimeout = 5 * time.Second

func TestPlainOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		path    string
		scripts []http.HandlerFunc
		status  int
		body    string
		runs    int // attempts at both upstreams
	}{
		{"response is relayed unchanged", "/once/a", []http.HandlerFunc{respond(201, "made")}, 201, "made", 1},
		{"error response of the upstream is relayed", "/once/a", []http.HandlerFunc{respond(500, "own failure")}, 500, "own failure", 1},
		{"once: no retry without a response", "/once/a", []http.HandlerFunc{abortResponse("")}, 502, "", 1},
		{"once: no retry after a truncated response", "/once/a", []http.HandlerFunc{abortResponse("part")}, 502, "", 1},
		{"once: retried after a refusal", "/once/a", []http.HandlerFunc{refuse, respond(200, "ok")}, 200, "ok", 2},
		{"refused by all upstreams", "/once/a", []http.HandlerFunc{refuse}, 503, "", 2},
		{"again: retried without a response", "/again/a", []http.HandlerFunc{abortResponse(""), respond(200, "ok")}, 200, "ok", 2},
		{"again: retried after a truncated response", "/again/a", []http.HandlerFunc{abortResponse("part"), respond(200, "ok")}, 200, "ok", 2},
		{"again: retried after an error response", "/again/a", []http.HandlerFunc{respond(500, "bad"), respond(200, "ok")}, 200, "ok", 2},
		{"unsigned success is not accepted", "/once/a", []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }}, 502, "", 1},
		{"signed 503 may have run and is not relayed", "/once/a", []http.HandlerFunc{respond(503, "ran")}, 502, "", 1},
		{"no route", "/nowhere/a", []http.HandlerFunc{respond(200, "ok")}, 404, "", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			shared := newUpstream(t, "plain-1", tc.scripts...)
			other := &upstream{id: "plain-2", addr: shared.addr} // the same server with another id
			router := start(t, shared, other)
			got := router.send(t, tc.path, "", callerTimeout)
			is.NoErr(got.err)
			is.Equal(got.status, tc.status)
			if tc.body != "" {
				is.Equal(got.body, tc.body)
			}
			is.Equal(shared.runs(), tc.runs)
			if got.status == http.StatusServiceUnavailable {
				is.True(got.header.Get("Retry-After") != "")
			}
			if got.status == http.StatusBadGateway {
				is.Equal(got.header.Get("Signed"), "") // not the upstream's response
			}
			shared.mu.Lock()
			defer shared.mu.Unlock()
			for _, body := range shared.bodies {
				is.Equal(body, "the body")
			}
		})
	}
}

func TestStreamOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name     string
		path     string
		scripts  []http.HandlerFunc
		status   int
		last     string // last complete event that the caller gets
		complete bool
		runs     int
	}{
		{"complete", "/stream/a", []http.HandlerFunc{events(1, 3, true)}, 200, "e3", true, 1},
		{"truncated: does not look complete", "/stream/a", []http.HandlerFunc{events(1, 2, false)}, 200, "e2", false, 1},
		{"no event: may have run", "/stream/a", []http.HandlerFunc{abortResponse("")}, 502, "", true, 1},
		{"resumable: continues after the last complete event", "/resume/a", []http.HandlerFunc{events(1, 2, false), events(3, 4, true)}, 200, "e4", true, 2},
		{"resumable: no event yet", "/resume/a", []http.HandlerFunc{abortResponse(""), events(1, 2, true)}, 200, "e2", true, 2},
		{"resumable: aborted after the last attempt", "/resume/a", []http.HandlerFunc{events(1, 2, false), abortResponse("")}, 200, "e2", false, 2},
		{"refused: retried", "/stream/a", []http.HandlerFunc{refuse, events(1, 1, true)}, 200, "e1", true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			shared := newUpstream(t, "engine-1", tc.scripts...)
			other := &upstream{id: "engine-2", addr: shared.addr}
			router := start(t, shared, other)
			got := router.send(t, tc.path, "m", callerTimeout)
			is.Equal(got.status, tc.status)
			is.Equal(got.err == nil, tc.complete)
			if tc.last != "" {
				is.True(strings.HasSuffix(strings.TrimSpace(got.body), tc.last))
				is.Equal(strings.Count(got.body, "data: "+tc.last), 1) // no duplicate event
			}
			is.Equal(shared.runs(), tc.runs)
		})
	}
}

func TestResumedStreamSendsTheLastEventID(t *testing.T) {
	is := is.New(t)
	shared := newUpstream(t, "engine-1", events(1, 2, false), events(3, 4, true))
	router := start(t, shared, &upstream{id: "engine-2", addr: shared.addr})
	got := router.send(t, "/resume/a", "m", callerTimeout)
	is.NoErr(got.err)
	is.Equal(shared.header(1).Get("Last"), "2")
	is.True(shared.header(0).Get("Upstream") != shared.header(1).Get("Upstream"))
}

func TestRouteTimeoutIsEnforced(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, "plain-1", blockUntilCancelled)
	router := start(t, u)
	got := router.send(t, "/short/a", "", callerTimeout)
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.True(u.header(0).Get("Left") <= "300") // the upstream gets the time left
}

// Guards against an upstream that keeps working after the caller disconnected.
func TestCallerDisconnectCancelsTheUpstreamRequest(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	u := newUpstream(t, "engine-1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); close(cancelled) })
	router := start(t, u)
	req, err := http.NewRequest(http.MethodPost, router.url+"/stream/a", nil)
	is.NoErr(err)
	req.Host = "h"
	req.Header.Set("Id", "r-1")
	req.Header.Set("Model", "m")
	client := &http.Client{Timeout: 200 * time.Millisecond}
	_, err = client.Do(req)
	is.True(err != nil)
	<-cancelled
	router.waitUntil(t, func() bool { return router.process.handler.inFlight.Load() == 0 })
}

// Guards against requests lost in a stop: one is running, one waits for a placement and
// one arrives after the drain delay.
func TestStop(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	u := newUpstream(t, "engine-1", func(w http.ResponseWriter, r *http.Request) { <-release; events(1, 2, true)(w, r) })
	router := start(t, u)
	running := make(chan reply, 1)
	go func() { running <- router.send(t, "/stream/a", "m", 30*time.Second) }()
	router.waitUntil(t, func() bool { return u.runs() == 1 })
	waiting := make(chan reply, 1)
	go func() { waiting <- router.send(t, "/stream/a", "absent", 30*time.Second) }() // too large for any engine
	router.waitUntil(t, func() bool { return router.process.handler.inFlight.Load() == 2 })
	router.stop()
	router.waitUntil(t, func() bool { return router.process.handler.isStopping() })
	resp, err := http.Get(router.ready)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // not ready
	router.waitUntil(t, router.process.handler.isDrainDelayOver)
	late := router.send(t, "/stream/a", "m", callerTimeout)
	is.Equal(late.status, http.StatusServiceUnavailable) // refused, not aborted
	close(release)
	got := <-running
	is.NoErr(got.err)
	is.True(strings.HasSuffix(strings.TrimSpace(got.body), "e2")) // finished within StopGrace
	got = <-waiting
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable) // it did not run
	is.NoErr(<-router.done)
	router.done <- nil
}

// Guards against a drain delay that is too long or too short because the wall clock was
// stepped after the stop signal.
// Guards against a request that is cut off because the router exits while it reads it.
func TestRequestReadDuringTheExitIsAnswered(t *testing.T) {
	is := is.New(t)
	router := start(t, newUpstream(t, "plain-1", respond(200, "the body")))
	addr := strings.TrimPrefix(router.url, "http://")
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /once/a HTTP/1.1\r\nHost: h\r\nId: r-1\r\n")
	is.NoErr(err)
	router.stop()
	router.waitUntil(t, func() bool { // the exit has begun
		other, err := net.Dial("tcp", addr)
		if err == nil {
			other.Close()
		}
		return err != nil
	})
	_, err = io.WriteString(c, "Content-Length: 0\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
}

func TestStopUsesTheMonotonicClock(t *testing.T) {
	is := is.New(t)
	router := start(t, newUpstream(t, "plain-1", respond(200, "ok")))
	router.process.handler.stop()
	is.True(strings.Contains(router.process.handler.stopAt.Load().String(), " m=")) // the monotonic clock reading
}

func TestLargeBodyIsRefused(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, "plain-1", respond(200, "ok"))
	router := start(t, u)
	req, err := http.NewRequest(http.MethodPost, router.url+"/once/a", strings.NewReader(strings.Repeat("x", 2000)))
	is.NoErr(err)
	req.Host = "h"
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(u.runs(), 0)
}

// Guards against a request sent to an upstream that the scheduler still grants but this
// router already knows to be removed.
func TestGrantOfARemovedUpstreamIsNotSent(t *testing.T) {
	is := is.New(t)
	removed := newUpstream(t, "engine-1", events(1, 1, true))
	good := newUpstream(t, "engine-2", events(1, 1, true))
	router := start(t, removed, good)
	own := fleet.NewDirectory() // the directory of this router, separate from its scheduler's
	own.SetConfig(router.process.directory.Load().Config)
	for _, u := range []*upstream{removed, good} {
		own.Merge(time.Now(), fleet.Change{Registrations: []fleet.Registration{{ID: u.id, Upstream: router.process.directory.Load().Upstreams[u.id]}}})
	}
	own.Merge(time.Now(), fleet.Change{Registrations: []fleet.Registration{{ID: "engine-1"}}})
	router.process.handler.directory = own
	for range 6 {
		is.Equal(router.send(t, "/stream/a", "m", callerTimeout).status, http.StatusOK)
	}
	is.Equal(removed.runs(), 0)
}

// Guards against an engine that attracts all requests because it refuses them fast: it
// restarted without its models while the scheduler and the store were unreachable, and its
// registration still lists them.
func TestEngineMissingItsModelsGetsNoMoreRequests(t *testing.T) {
	is := is.New(t)
	restarted := newUpstream(t, "engine-1", refuseMissingModel)
	good := newUpstream(t, "engine-2", events(1, 1, true))
	router := start(t, restarted, good)
	router.process.client.Follow("127.0.0.1:1", math.MaxInt64) // no scheduler listens there
	served := 0
	for range 12 {
		if got := router.send(t, "/stream/a", "m", callerTimeout); got.status == http.StatusOK {
			served++
		}
	}
	is.True(restarted.runs() <= 1) // one attempt, then it is reported missing
	is.True(served >= 11)
}

func TestMetricsCountOutcomesAndTimes(t *testing.T) {
	is := is.New(t)
	router := start(t, newUpstream(t, "engine-1", events(1, 1, true)))
	router.send(t, "/stream/a", "m", callerTimeout)
	router.send(t, "/nowhere/a", "", callerTimeout)
	resp, err := http.Get(router.metrics)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	for _, line := range []string{`requests_total{outcome="served"} 1`, `requests_total{outcome="no_route"} 1`, "first_event_seconds_count 1", "upstreams 1"} {
		is.True(strings.Contains(string(body), line+"\n"))
	}
}

func TestReloadAppliesReloadableSettings(t *testing.T) {
	is := is.New(t)
	router := start(t, newUpstream(t, "plain-1", respond(200, "ok")))
	next := router.process.settings
	next.StopGrace = 20 * time.Second
	next.RetryShare = 0
	next.PeerAddr = "127.0.0.1:1"
	is.Equal(router.process.Reload(next), []string{"peers' address"})
	is.Equal(router.process.handler.drainDelay(), 7*time.Second)
	next.DrainDelay = time.Second
	router.process.Reload(next)
	is.Equal(router.process.handler.drainDelay(), time.Second)
	is.Equal(router.send(t, "/again/a", "", callerTimeout).status, http.StatusOK)
}

// Guards against a refusal that comes too late: callers disconnect from a silent stream
// long before its timeout, and there is no capacity for a placement.
func TestRefusalReachesTheCallerBeforeItDisconnects(t *testing.T) {
	is := is.New(t)
	router := start(t, newUpstream(t, "engine-1", events(1, 1, true)))
	began := time.Now()
	got := router.send(t, "/impatient/a", "absent", 30*time.Second) // too large for any engine
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < 10*time.Second)
}

package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

const patience = 5 * time.Second

func TestPlainOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		path    string
		scripts []http.HandlerFunc
		status  int
		body    string
		runs    int // sendings over both upstreams
	}{
		{"answer is passed on unchanged", "/once/a", []http.HandlerFunc{answer(201, "made")}, 201, "made", 1},
		{"failure of the upstream is passed on", "/once/a", []http.HandlerFunc{answer(500, "own failure")}, 500, "own failure", 1},
		{"once: no answer is never repeated", "/once/a", []http.HandlerFunc{breakOff("")}, 502, "", 1},
		{"once: a broken answer is never repeated", "/once/a", []http.HandlerFunc{breakOff("part")}, 502, "", 1},
		{"once: a refusal that did not run goes elsewhere", "/once/a", []http.HandlerFunc{notRun, answer(200, "ok")}, 200, "ok", 2},
		{"refused by all: not run", "/once/a", []http.HandlerFunc{notRun}, 503, "", 2},
		{"again: no answer is repeated", "/again/a", []http.HandlerFunc{breakOff(""), answer(200, "ok")}, 200, "ok", 2},
		{"again: a broken answer is repeated", "/again/a", []http.HandlerFunc{breakOff("part"), answer(200, "ok")}, 200, "ok", 2},
		{"again: a failure is repeated", "/again/a", []http.HandlerFunc{answer(500, "bad"), answer(200, "ok")}, 200, "ok", 2},
		{"an unsigned success is no answer", "/once/a", []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }}, 502, "", 1},
		{"a signed 503 may have run: no promise", "/once/a", []http.HandlerFunc{answer(503, "ran")}, 502, "", 1},
		{"no route", "/nowhere/a", []http.HandlerFunc{answer(200, "ok")}, 404, "", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			shared := newUpstream(t, "plain-1", tc.scripts...)
			other := &upstream{id: "plain-2", addr: shared.addr} // the same server under another id
			b := start(t, shared, other)
			got := b.send(t, tc.path, "", patience)
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
				is.Equal(got.header.Get("Signed"), "") // not the upstream's answer
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
		name    string
		path    string
		scripts []http.HandlerFunc
		status  int
		last    string // last whole event that the caller gets
		whole   bool
		runs    int
	}{
		{"whole", "/stream/a", []http.HandlerFunc{events(1, 3, true)}, 200, "e3", true, 1},
		{"broken off: not ended as if whole", "/stream/a", []http.HandlerFunc{events(1, 2, false)}, 200, "e2", false, 1},
		{"no event: unknown whether it ran", "/stream/a", []http.HandlerFunc{breakOff("")}, 502, "", true, 1},
		{"resumable: goes on after the last whole event", "/resume/a", []http.HandlerFunc{events(1, 2, false), events(3, 4, true)}, 200, "e4", true, 2},
		{"resumable: no event yet", "/resume/a", []http.HandlerFunc{breakOff(""), events(1, 2, true)}, 200, "e2", true, 2},
		{"resumable: ends after its attempts", "/resume/a", []http.HandlerFunc{events(1, 2, false), breakOff("")}, 200, "e2", false, 2},
		{"refused: goes elsewhere", "/stream/a", []http.HandlerFunc{notRun, events(1, 1, true)}, 200, "e1", true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			shared := newUpstream(t, "engine-1", tc.scripts...)
			other := &upstream{id: "engine-2", addr: shared.addr}
			b := start(t, shared, other)
			got := b.send(t, tc.path, "m", patience)
			is.Equal(got.status, tc.status)
			is.Equal(got.err == nil, tc.whole)
			if tc.last != "" {
				is.True(strings.HasSuffix(strings.TrimSpace(got.body), tc.last))
				is.Equal(strings.Count(got.body, "data: "+tc.last), 1) // no event twice
			}
			is.Equal(shared.runs(), tc.runs)
		})
	}
}

func TestResumedStreamNamesTheLastEvent(t *testing.T) {
	is := is.New(t)
	shared := newUpstream(t, "engine-1", events(1, 2, false), events(3, 4, true))
	b := start(t, shared, &upstream{id: "engine-2", addr: shared.addr})
	got := b.send(t, "/resume/a", "m", patience)
	is.NoErr(got.err)
	is.Equal(shared.header(1).Get("Last"), "2")
	is.True(shared.header(0).Get("Upstream") != shared.header(1).Get("Upstream"))
}

func TestTimeoutOfTheRouteIsKept(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, "plain-1", hang)
	b := start(t, u)
	got := b.send(t, "/short/a", "", patience)
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.True(u.header(0).Get("Left") <= "300") // the upstream gets what is left
}

// Pattern: the caller leaves while its request runs.
func TestCallerLeavesAndTheUpstreamIsTold(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	u := newUpstream(t, "engine-1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); close(cancelled) })
	b := start(t, u)
	req, err := http.NewRequest(http.MethodPost, b.url+"/stream/a", nil)
	is.NoErr(err)
	req.Host = "h"
	req.Header.Set("Id", "r-1")
	req.Header.Set("Model", "m")
	client := &http.Client{Timeout: 200 * time.Millisecond}
	_, err = client.Do(req)
	is.True(err != nil)
	<-cancelled
	b.await(t, func() bool { return b.process.front.inFlight.Load() == 0 })
}

// Pattern: a stop while requests run, wait for a place and still come.
func TestStop(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	u := newUpstream(t, "engine-1", func(w http.ResponseWriter, r *http.Request) { <-release; events(1, 2, true)(w, r) })
	b := start(t, u)
	running := make(chan reply, 1)
	go func() { running <- b.send(t, "/stream/a", "m", 30*time.Second) }()
	b.await(t, func() bool { return u.runs() == 1 })
	waiting := make(chan reply, 1)
	go func() { waiting <- b.send(t, "/stream/a", "absent", 30*time.Second) }() // fits nowhere
	b.await(t, func() bool { return b.process.front.inFlight.Load() == 2 })
	b.stop()
	b.await(t, func() bool { return b.process.front.isStopping() })
	resp, err := http.Get(b.ready)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // not ready
	b.await(t, b.process.front.stopsSoon)
	late := b.send(t, "/stream/a", "m", patience)
	is.Equal(late.status, http.StatusServiceUnavailable) // refused, not cut
	close(release)
	got := <-running
	is.NoErr(got.err)
	is.True(strings.HasSuffix(strings.TrimSpace(got.body), "e2")) // finished within the grace
	got = <-waiting
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable) // it has not run
	is.NoErr(<-b.done)
	b.done <- nil
}

// Guards against requests that a stopping router takes too long, or refuses too early,
// because the time of day jumped since the signal.
func TestStopDoesNotFollowTheTimeOfDay(t *testing.T) {
	is := is.New(t)
	b := start(t, newUpstream(t, "plain-1", answer(200, "ok")))
	b.process.front.stop()
	is.True(strings.Contains(b.process.front.stopAt.Load().String(), " m=")) // the steady clock's reading
}

func TestLargeBodyIsRefused(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, "plain-1", answer(200, "ok"))
	b := start(t, u)
	req, err := http.NewRequest(http.MethodPost, b.url+"/once/a", strings.NewReader(strings.Repeat("x", 2000)))
	is.NoErr(err)
	req.Host = "h"
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(u.runs(), 0)
}

// Pattern: the scheduler still grants an upstream that this router knows to be
// gone.
func TestGrantOfARemovedUpstreamIsNotSent(t *testing.T) {
	is := is.New(t)
	gone := newUpstream(t, "engine-1", events(1, 1, true))
	good := newUpstream(t, "engine-2", events(1, 1, true))
	b := start(t, gone, good)
	own := fleet.NewDirectory() // what this router knows, apart from its scheduler
	own.SetConfig(b.process.directory.Load().Config)
	for _, u := range []*upstream{gone, good} {
		own.Merge(time.Now(), fleet.Change{Registrations: []fleet.Registration{{ID: u.id, Upstream: b.process.directory.Load().Upstreams[u.id]}}})
	}
	own.Merge(time.Now(), fleet.Change{Registrations: []fleet.Registration{{ID: "engine-1"}}})
	b.process.front.directory = own
	for range 6 {
		is.Equal(b.send(t, "/stream/a", "m", patience).status, http.StatusOK)
	}
	is.Equal(gone.runs(), 0)
}

// Pattern: the scheduler and the store are away, and an engine came back empty
// under an entry that still names its models. It refuses fast and must not draw
// all requests.
func TestEmptyEngineDrawsNoMoreRequests(t *testing.T) {
	is := is.New(t)
	empty := newUpstream(t, "engine-1", lacksModel)
	good := newUpstream(t, "engine-2", events(1, 1, true))
	b := start(t, empty, good)
	b.process.client.Follow("127.0.0.1:1") // no scheduler answers there
	served := 0
	for range 12 {
		if got := b.send(t, "/stream/a", "m", patience); got.status == http.StatusOK {
			served++
		}
	}
	is.True(empty.runs() <= 1) // asked once, then known
	is.True(served >= 11)
}

func TestMetricsCountOutcomesAndTimes(t *testing.T) {
	is := is.New(t)
	b := start(t, newUpstream(t, "engine-1", events(1, 1, true)))
	b.send(t, "/stream/a", "m", patience)
	b.send(t, "/nowhere/a", "", patience)
	resp, err := http.Get(b.metrics)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	for _, line := range []string{`requests_total{outcome="served"} 1`, `requests_total{outcome="no_route"} 1`, "first_event_seconds_count 1", "upstreams 1"} {
		is.True(strings.Contains(string(body), line+"\n"))
	}
}

func TestReloadAppliesWhatCanChange(t *testing.T) {
	is := is.New(t)
	b := start(t, newUpstream(t, "plain-1", answer(200, "ok")))
	next := b.process.settings
	next.StopGrace = 20 * time.Second
	next.RetryShare = 0
	next.PeerAddr = "127.0.0.1:1"
	is.Equal(b.process.Reload(next), []string{"peers' address"})
	is.Equal(b.process.front.stopLinger(), 7*time.Second)
	next.DrainDelay = time.Second
	b.process.Reload(next)
	is.Equal(b.process.front.stopLinger(), time.Second)
	is.Equal(b.send(t, "/again/a", "", patience).status, http.StatusOK)
}

// Pattern: callers leave a silent stream long before its timeout, and there is no
// place. They hear a refusal while they are still there.
func TestRefusalReachesACallerBeforeItLeaves(t *testing.T) {
	is := is.New(t)
	b := start(t, newUpstream(t, "engine-1", events(1, 1, true)))
	began := time.Now()
	got := b.send(t, "/impatient/a", "absent", 30*time.Second) // fits nowhere
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < 10*time.Second)
}

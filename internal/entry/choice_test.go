package entry

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/blocklist"
)

// slowAfterPause asks for a pause with its first response. Its second response takes long.
func slowAfterPause(u *recoveringUpstream, slow time.Duration, good http.HandlerFunc) http.HandlerFunc {
	recovering := u.script(good)
	var once sync.Once
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") != "pauses" {
			once.Do(func() { time.Sleep(slow) })
		}
		recovering(w, r)
	}
}

// Guards against requests that reach an upstream long after it has begun to leave: they wait
// in the router for a request that the upstream answers first after its pause.
func TestRequestsThatWaitAfterAPauseLeaveADrainingUpstream(t *testing.T) {
	const pause, slow = 300 * time.Millisecond, 2 * time.Second
	for name, tc := range map[string]struct {
		id, path, model string
		leave           func(router *testRouter, source *fakeSource, id string)
	}{
		"plain service drains":  {"plain-1", "/once/a", "", drainListed},
		"plain service is gone": {"plain-1", "/once/a", "", func(_ *testRouter, source *fakeSource, id string) { source.remove(id) }},
		"engine drains":         {"engine-1", "/stream/a", "m", drainListed},
		"engine says it leaves": {"engine-1", "/stream/a", "m", func(router *testRouter, _ *fakeSource, id string) { router.process.onLeaving(id, "r-0") }},
		"prompt is blocked": {"engine-1", "/stream/a", "m", func(router *testRouter, _ *fakeSource, _ string) {
			router.process.blocklist.Merge(map[string][]blocklist.Entry{"llm": {{Parts: []string{"bad"}}}})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			u := &recoveringUpstream{pause: pause}
			good := respond(http.StatusOK, "done")
			if tc.model != "" {
				good = events(1, 2, true)
			}
			server := newUpstream(t, tc.id, slowAfterPause(u, slow, good))
			source := &fakeSource{upstreams: []*upstream{server}, draining: map[string]bool{}}
			router := startWith(t, source, fakeEngines{})
			router.sendParts(t, tc.path, tc.model, "pauses", "")
			time.Sleep(time.Until(u.until.Add(10 * time.Millisecond)))
			var wg sync.WaitGroup
			for range 4 {
				wg.Go(func() { router.sendParts(t, tc.path, tc.model, "r-1", "bad,own") })
			}
			router.waitUntil(t, func() bool { return server.runs() == 2 })
			tc.leave(router, source, tc.id)
			wg.Wait()
			is.Equal(server.runs(), 2) // the refused one and the slow one
		})
	}
}

func drainListed(_ *testRouter, source *fakeSource, id string) {
	source.mu.Lock()
	defer source.mu.Unlock()
	source.draining[id] = true
}

// sendParts sends a request with an id, and for a model with a prompt.
func (router *testRouter) sendParts(t testing.TB, path, model, id, parts string) reply {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, router.url+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", id)
	req.Header.Set("Model", model)
	req.Header.Set("Parts", parts)
	return exchangeOnce(req, callerTimeout)
}

// hookedDialect calls onPrepare once, when the request for an upstream is built.
type hookedDialect struct {
	testDialect
	once      *sync.Once
	onPrepare func(upstreamID string)
}

func (d hookedDialect) Prepare(h http.Header, a Attempt) {
	d.once.Do(func() { d.onPrepare(a.UpstreamID) })
	d.testDialect.Prepare(h, a)
}

// Guards against a send to an upstream that has left since it was chosen, for example while
// the connection to it was set up. A request that may run once is served by the other one.
func TestUpstreamThatLeavesBeforeTheFirstByteGetsNothing(t *testing.T) {
	for name, tc := range map[string]struct {
		ids         [2]string
		path, model string
	}{
		"plain service": {[2]string{"plain-1", "plain-2"}, "/once/a", ""},
		"engines":       {[2]string{"engine-1", "engine-2"}, "/single/a", "m"},
	} {
		for what, hook := range map[string]func(router *testRouter, id string){
			"leaves": func(router *testRouter, id string) { router.process.onLeaving(id, "r-0") },
			"pauses": func(router *testRouter, id string) { router.process.handler.pauses.add(id, time.Minute) },
		} {
			t.Run(name+" "+what, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				servers := make(map[string]*upstream)
				source := &fakeSource{draining: map[string]bool{}}
				for _, id := range tc.ids {
					good := respond(http.StatusOK, "done")
					if tc.model != "" {
						good = events(1, 2, true)
					}
					servers[id] = newUpstream(t, id, good)
					source.upstreams = append(source.upstreams, servers[id])
				}
				var router *testRouter
				left := ""
				router = startWithDialect(t, source, fakeEngines{}, hookedDialect{once: &sync.Once{}, onPrepare: func(id string) {
					left = id
					hook(router, id)
				}})
				is.Equal(router.send(t, tc.path, tc.model, callerTimeout).status, http.StatusOK)
				is.True(left != "")
				is.Equal(servers[left].runs(), 0)
			})
		}
	}
}

// Guards against a loop without end: a request that names no model is not placed, and what is
// blocked for its service does not hold for it.
func TestRequestWithoutModelIsNotCheckedForBlockedPrompts(t *testing.T) {
	is := is.New(t)
	server := newUpstream(t, "engine-1", respond(http.StatusOK, "done"))
	router := start(t, server)
	router.process.blocklist.Merge(map[string][]blocklist.Entry{"llm": {{Parts: []string{"bad"}}}})
	is.Equal(router.sendParts(t, "/stream/a", "", "r-1", "bad,own").status, http.StatusOK)
	is.Equal(server.runs(), 1)
}

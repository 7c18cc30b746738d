package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that a stopping router sends so late that the end of its grace cuts
// them: those that it accepted before, but that came in slowly or waited.
func TestStoppingRouterSendsNothingThatItsEndWouldCut(t *testing.T) {
	const (
		sendAt  = 1200 * time.Millisecond // after the stop; the grace is 2 s
		runTime = 700 * time.Millisecond
	)
	for name, c := range map[string]struct {
		upstream, path, model string
		// before is what the upstream does until sendAt, late sends the request and returns
		// its response.
		before func(w http.ResponseWriter, r *http.Request, release <-chan struct{})
		late   func(t *testing.T, router *testRouter, release chan struct{}) reply
	}{
		"slow body": {
			upstream: "plain-1",
			late: func(t *testing.T, router *testRouter, _ chan struct{}) reply {
				c, err := net.Dial("tcp", strings.TrimPrefix(router.url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				_, _ = io.WriteString(c, "POST /once/a HTTP/1.1\r\nHost: h\r\nId: late\r\nTimeout: 20000\r\nContent-Length: 4\r\n\r\nbo")
				router.waitUntil(t, func() bool { return router.process.handler.inFlight.Load() == 1 })
				router.stop()
				time.Sleep(sendAt)
				_, _ = io.WriteString(c, "dy")
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return reply{err: err}
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				return reply{status: resp.StatusCode, body: string(body), err: err}
			},
		},
		"waits for a limit": {
			upstream: "plain-1",
			before:   func(w http.ResponseWriter, _ *http.Request, _ <-chan struct{}) { w.Header().Set("Limit", "0.5") },
			late: func(t *testing.T, router *testRouter, _ chan struct{}) reply {
				router.sendAs(t, "first", "/once/a", "")
				time.Sleep(2200*time.Millisecond - sendAt)
				return router.sendAndStop(t, "/once/a", "", func() {})
			},
		},
		"waits for a grant": {
			upstream: "engine-1",
			before:   func(_ http.ResponseWriter, _ *http.Request, release <-chan struct{}) { <-release },
			late: func(t *testing.T, router *testRouter, release chan struct{}) reply {
				for range 8 {
					go router.sendAs(t, "running", "/single/a", "m")
				}
				router.waitUntil(t, func() bool { return router.process.handler.inFlight.Load() == 8 })
				time.Sleep(100 * time.Millisecond)
				return router.sendAndStop(t, "/single/a", "m", func() {
					time.Sleep(sendAt)
					close(release)
				})
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			release := make(chan struct{})
			var ran atomic.Bool
			u := newUpstream(t, c.upstream, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Id") != "late" {
					c.before(w, r, release)
				} else {
					ran.Store(true)
					time.Sleep(runTime)
				}
				events(1, 1, true)(w, r)
			})
			got := c.late(t, start(t, u), release)
			is.NoErr(got.err)
			if got.status == http.StatusServiceUnavailable {
				is.True(!ran.Load()) // the refusal is true
				return
			}
			is.Equal(got.status, http.StatusOK)
		})
	}
}

// sendAs sends a request with an id.
func (router *testRouter) sendAs(t testing.TB, id, path, model string) reply {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, router.url+path, strings.NewReader("the body"))
	if err != nil {
		t.Error(err)
		return reply{}
	}
	req.Header.Set("Id", id)
	if model != "" {
		req.Header.Set("Model", model)
	}
	return exchangeOnce(req, 20*time.Second)
}

// sendAndStop sends the request "late", which waits, stops the router and calls then.
func (router *testRouter) sendAndStop(t *testing.T, path, model string, then func()) reply {
	before := router.process.handler.inFlight.Load()
	late := make(chan reply, 1)
	go func() { late <- router.sendAs(t, "late", path, model) }()
	router.waitUntil(t, func() bool { return router.process.handler.inFlight.Load() > before })
	time.Sleep(50 * time.Millisecond)
	router.stop()
	then()
	return <-late
}

package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/memory"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
)

// A body that stops short of its end must not keep others out, and a refusal is one that has not run.
func TestBodiesAtRestMakeRoom(t *testing.T) {
	is := is.New(t)
	up := newUpstream(t, "plain-1", respond(http.StatusOK, "done"))
	const limit = 200 << 10
	router := startWithMemory(t, limit, up)
	for range 10 {
		c, err := net.Dial("tcp", strings.TrimPrefix(router.url, "http://"))
		is.NoErr(err)
		defer c.Close()
		_, err = io.WriteString(c, "POST /once/a HTTP/1.1\r\nHost: h\r\nId: rest\r\nTimeout: 20000\r\nContent-Length: 4\r\n\r\nbod")
		is.NoErr(err)
	}
	router.waitUntil(t, func() bool { return router.process.memory.Use().Bytes > limit-(40<<10) })
	time.Sleep(2 * memory.MinIdle)
	is.Equal(router.send(t, "/once/a", "", callerTimeout).status, http.StatusOK)
	is.Equal(up.runs(), 1)
	resp, err := http.Get(router.metrics)
	is.NoErr(err)
	defer resp.Body.Close()
	metrics, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(metrics), "\nheld_bytes_limit 204800\n"))
	is.True(!strings.Contains(string(metrics), "\nconnections_evicted_total 0\n"))
}

// A request for whose head there is no room gets the refusal of one that has not run, also while its
// caller still sends.
func TestHeadsWithoutRoomAreRefused(t *testing.T) {
	is := is.New(t)
	up := newUpstream(t, "plain-1", respond(http.StatusOK, "done"))
	router := startWithMemory(t, 200<<10, up)
	before := router.process.memory.Use().Holders // of the readiness check
	req, err := http.NewRequest(http.MethodPost, router.url+"/once/a", strings.NewReader(strings.Repeat("x", 900)))
	is.NoErr(err)
	req.Header.Set("Id", "r-1")
	for i := range 1000 {
		req.Header.Set("Line-"+strconv.Itoa(i), "1")
	}
	refused := exchangeOnce(req, callerTimeout)
	is.NoErr(refused.err)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(refused.header.Get("Retry-After"), "0.500")
	is.Equal(up.runs(), 0)
	is.Equal(router.send(t, "/once/a", "", callerTimeout).status, http.StatusOK)
	router.waitUntil(t, func() bool { return router.process.memory.Use().Holders <= before })
}

// startWithMemory starts a router whose callers may take limit bytes.
func startWithMemory(t *testing.T, limit int64, upstreams ...*upstream) *testRouter {
	t.Helper()
	source := &fakeSource{upstreams: upstreams, draining: map[string]bool{}}
	return startRouter(t, "entry-1", tabletest.New(), source, fakeEngines{}, testDialect{}, func(d *Deps) {
		d.Memory = memory.NewBudget(memory.Limits{Bytes: limit})
	})
}

// Guards against streams that are cut for others although their callers read them: an engine that takes
// its time is no caller that stands still.
func TestSlowStreamKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	const count, gap = 8, 2 * memory.MinIdle
	up := newUpstream(t, "engine-1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "yes")
		for i := range count {
			fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i+1, i+1)
			w.(http.Flusher).Flush()
			time.Sleep(gap)
		}
	})
	router := startWithMemory(t, 200<<10, up)
	done := make(chan reply, 1)
	go func() { done <- router.send(t, "/stream/a", "m", callerTimeout) }()
	for {
		select {
		case got := <-done:
			is.NoErr(got.err)
			is.Equal(strings.Count(got.body, "data:"), count)
			is.True(router.process.memory.Use().Evicted > 0)
			return
		case <-time.After(gap / 10):
			c, err := net.Dial("tcp", strings.TrimPrefix(router.url, "http://"))
			is.NoErr(err)
			defer c.Close()
			_, err = io.WriteString(c, "POST /once/a HTTP/1.1\r\nHost: h\r\n")
			is.NoErr(err)
		}
	}
}

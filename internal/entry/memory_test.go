package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/memory"
)

// A body that stops short of its end must not keep others out, and a refusal is one that has not run.
func TestBodiesAtRestMakeRoom(t *testing.T) {
	is := is.New(t)
	up := newUpstream(t, "plain-1", respond(http.StatusOK, "done"))
	router := start(t, up)
	router.process.handler.memory = memory.NewBudget(100 << 10)
	for range 10 {
		c, err := net.Dial("tcp", strings.TrimPrefix(router.url, "http://"))
		is.NoErr(err)
		defer c.Close()
		_, err = io.WriteString(c, "POST /once/a HTTP/1.1\r\nHost: h\r\nId: rest\r\nTimeout: 20000\r\nContent-Length: 4\r\n\r\nbod")
		is.NoErr(err)
	}
	router.waitUntil(t, func() bool { used, _ := router.process.handler.memory.Use(); return used > 60<<10 })
	time.Sleep(2 * memory.MinIdle)
	is.Equal(router.send(t, "/once/a", "", callerTimeout).status, http.StatusOK)
	router.process.handler.memory = memory.NewBudget(1)
	refused := router.send(t, "/once/a", "", callerTimeout)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.True(refused.header.Get("Retry-After") != "")
	is.Equal(up.runs(), 1)
}

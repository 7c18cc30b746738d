package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests to a server in a pause under the id of one that had its address before:
// the list may name that for seconds.
func TestServerInAPauseGetsNoRequestsForAFormerOneAtItsAddress(t *testing.T) {
	is := is.New(t)
	const pause = 2 * time.Second
	var pausedAt atomic.Pointer[time.Time]
	var late atomic.Int32
	server := newUpstream(t, "app-new", func(w http.ResponseWriter, r *http.Request) {
		if at := pausedAt.Load(); at != nil && time.Since(*at) > pause/4 {
			late.Add(1)
		}
		w.Header().Set("Not-Run", "1")
		if r.Header.Get("Upstream") != "app-new" {
			w.Header().Set("Lacks", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		now := time.Now()
		pausedAt.CompareAndSwap(nil, &now)
		w.Header().Set("Pause", pause.String())
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	router := start(t, server, &upstream{id: "app-old", addr: server.addr})
	for n := 0; pausedAt.Load() == nil || time.Since(*pausedAt.Load()) < pause*9/10; n++ {
		req, err := http.NewRequest(http.MethodPost, router.url+"/once/x", strings.NewReader("the body"))
		is.NoErr(err)
		req.Header.Set("Id", fmt.Sprint("r-", n))
		is.Equal(exchangeOnce(req, callerTimeout).status, http.StatusServiceUnavailable)
		time.Sleep(10 * time.Millisecond)
	}
	is.True(late.Load() <= 2)
}

package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stall writes events first to last, then only bytes that complete no event, until the
// request is cancelled.
func stall(first, last int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		events(first, last, true)(w, r)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "x") // fails once the router has closed the connection
			w.(http.Flusher).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// slowly writes events with pauses that are longer than the stall limit of the route.
func slowly(first, last int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "yes")
		for i := first; i <= last; i++ {
			time.Sleep(300 * time.Millisecond)
			fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			w.(http.Flusher).Flush()
		}
	}
}

// An engine falls silent, or sends a byte now and then, while its connection stays open.
// A stream that may continue elsewhere must do so before its caller disconnects.
func TestStalledStreamContinuesElsewhere(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"bytes without an event":        stall(1, 2),
		"bytes before the first event":  stall(1, 0),
		"silence before the first byte": blockUntilCancelled,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			shared := newUpstream(t, "engine-1", first, events(3, 4, true))
			router := start(t, shared, &upstream{id: "engine-2", addr: shared.addr})
			got := router.send(t, "/impatient-resume/a", "m", callerTimeout)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.True(strings.HasSuffix(strings.TrimSpace(got.body), "e4"))
			is.Equal(shared.runs(), 2)
		})
	}
}

// A stream that can't continue elsewhere is not cut for being slow, nor is one that sends
// all its events in time.
func TestSlowStreamIsNotCut(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, "engine-1", slowly(1, 3))
	router := start(t, u)
	got := router.send(t, "/impatient/a", "m", callerTimeout)
	is.NoErr(got.err)
	is.True(strings.HasSuffix(strings.TrimSpace(got.body), "e3"))
	is.Equal(u.runs(), 1)
}

// A stalled stream that can't continue elsewhere ends at the deadline and does not look
// complete.
func TestStalledStreamEndsAtTheDeadline(t *testing.T) {
	is := is.New(t)
	router := start(t, newUpstream(t, "engine-1", stall(1, 2)))
	got := router.send(t, "/impatient/a", "m", time.Second)
	is.Equal(got.status, http.StatusOK)
	is.True(got.err != nil)
}

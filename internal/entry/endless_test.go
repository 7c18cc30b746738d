package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendEndlessly writes prefix as the beginning of a response and repeats filler until
// the router closes the connection.
func sendEndlessly(prefix, filler string, closed chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer close(closed)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
		if _, err := io.WriteString(w, prefix); err != nil {
			return
		}
		block := strings.Repeat(filler, 1+4096/len(filler))
		for {
			if _, err := io.WriteString(w, block); err != nil {
				return
			}
		}
	}
}

// An engine in trouble sends bytes that never become an event. The router must give up
// long before the deadline, and a resumable stream continues elsewhere.
func TestEndlessEventIsNotAwaited(t *testing.T) {
	for _, tc := range []struct {
		name, path, prefix, filler string
		status                     int
		last                       string
	}{
		{"before the first event", "/stream/a", "", "x", http.StatusBadGateway, ""},
		{"within a stream", "/stream/a", "id: 1\ndata: e1\n\n", "x", http.StatusOK, "e1"},
		{"lines without a field", "/stream/a", "id: 1\ndata: e1\n\n", "\x00\x01\n\n", http.StatusOK, "e1"},
		{"empty lines", "/stream/a", "", "\n", http.StatusBadGateway, ""},
		{"resumable, before the first event", "/resume/a", "", "x", http.StatusOK, "e3"},
		{"resumable, within a stream", "/resume/a", "id: 1\ndata: e1\n\n", "x", http.StatusOK, "e3"},
		{"resumable, empty lines", "/resume/a", "id: 1\ndata: e1\n\n", "\n", http.StatusOK, "e3"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			closed := make(chan struct{})
			shared := newUpstream(t, "engine-1", sendEndlessly(tc.prefix, tc.filler, closed), events(2, 3, true))
			router := start(t, shared, &upstream{id: "engine-2", addr: shared.addr})
			began := time.Now()
			got := router.send(t, tc.path, "m", 10*time.Second)
			is.True(time.Since(began) < 10*time.Second) // not the deadline
			is.Equal(got.status, tc.status)
			if tc.last != "" {
				is.True(strings.HasSuffix(strings.TrimSpace(got.body), tc.last))
			}
			is.Equal(got.err == nil, tc.status == http.StatusBadGateway || tc.last == "e3")
			<-closed
		})
	}
}

// An endless body of a plain service is cut at the deadline and does not look complete.
func TestEndlessPlainBodyEndsAtTheDeadline(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	router := start(t, newUpstream(t, "plain-1", sendEndlessly("", "x", closed)))
	got := router.send(t, "/once/a", "", 500*time.Millisecond)
	is.True(got.err != nil)
	<-closed
}

package external_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// slowPieces is how many pieces a body is sent in over a slow link, slowPause the pause
// after each; together they take longer than a call may be silent.
const (
	slowPieces  = 10
	slowPause   = 100 * time.Millisecond
	slowSilence = 500 * time.Millisecond
)

// Guards against a large object, or the list of a large fleet, that can't be read over the
// slow link of a small host: the read was abandoned while it arrived, and begun anew.
func TestReadOverASlowLinkIsFinished(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("x"), 1000)
	hosts := []byte(`{"revision":3,"hosts":[{"id":"a"},{"id":"b"}]}`)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := body
		if r.URL.Path == "/v1/hosts" {
			response = hosts
		}
		for i := range slowPieces {
			if _, err := w.Write(response[i*len(response)/slowPieces : (i+1)*len(response)/slowPieces]); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush() // a failure shows in the next write
			time.Sleep(slowPause)
		}
	}))
	defer server.Close()
	options := external.ClientOptions{BaseURL: server.URL, CallTimeout: slowSilence}
	read, err := closeIdle(t, external.NewObjectClient(options)).Get(context.Background(), "set")
	is.NoErr(err)
	is.Equal(read, body)
	listing, err := closeIdle(t, external.NewHostListClient(options)).Hosts(context.Background())
	is.NoErr(err)
	is.Equal(len(listing.Hosts), 2)
}

// Guards against an object set that can't be published over such a link. The body is larger
// than the buffers of the connection.
func TestWriteOverASlowLinkIsFinished(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("x"), 32<<20)
	received := make(chan int64, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var total int64
		for range slowPieces {
			n, err := io.CopyN(io.Discard, r.Body, int64(len(body)/slowPieces))
			if total += n; err != nil {
				return
			}
			time.Sleep(slowPause)
		}
		n, err := io.Copy(io.Discard, r.Body)
		if total += n; err == nil {
			received <- total
		}
	}))
	defer server.Close()
	objects := closeIdle(t, external.NewObjectClient(external.ClientOptions{BaseURL: server.URL, CallTimeout: slowSilence}))
	is.NoErr(objects.Put(context.Background(), "set", body))
	is.Equal(<-received, int64(len(body)))
}

package entry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/faultyserver"
)

// unframed writes a response with neither a length nor chunks, which ends with its
// connection. reset ends it by a reset.
func unframed(body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\n\r\n%s", r.Header.Get("Id"), body)
		if err := buffered.Flush(); err != nil {
			return
		}
		if reset {
			faultyserver.Reset(conn.(*net.TCPConn))
		}
	}
}

// A response may end with its connection. It must look complete to its caller exactly if it
// is: a stream that ends within an event, or before the first one, has been broken off, and
// so has a response whose connection was reset.
func TestUnframedResponses(t *testing.T) {
	stream := "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
	for name, tc := range map[string]struct {
		path, model string
		scripts     []http.HandlerFunc
		status      int
		last        string // that the caller gets
		complete    bool
	}{
		"plain":                              {"/once/a", "", []http.HandlerFunc{unframed("done", false)}, 200, "done", true},
		"plain, reset":                       {"/once/a", "", []http.HandlerFunc{unframed("do", true)}, 502, "", true},
		"plain, reset, repeatable":           {"/again/a", "", []http.HandlerFunc{unframed("do", true), unframed("done", false)}, 200, "done", true},
		"stream":                             {"/stream/a", "m", []http.HandlerFunc{unframed(stream, false)}, 200, "e2", true},
		"stream, reset":                      {"/stream/a", "m", []http.HandlerFunc{unframed(stream, true)}, 200, "", false},
		"stream, within an event":            {"/stream/a", "m", []http.HandlerFunc{unframed(stream+"id: 3\nda", false)}, 200, "e2", false},
		"stream, within the end of an event": {"/stream/a", "m", []http.HandlerFunc{unframed(stream+"id: 3\ndata: e3\n", false)}, 200, "e2", false},
		"stream, before the first event":     {"/stream/a", "m", []http.HandlerFunc{unframed("", false)}, 502, "", true},
		"resumable, within an event":         {"/resume/a", "m", []http.HandlerFunc{unframed(stream+"id: 3\nda", false), unframed("id: 3\ndata: e3\n\n", false)}, 200, "e3", true},
		"resumable, before the first event":  {"/resume/a", "m", []http.HandlerFunc{unframed("", false), unframed(stream, false)}, 200, "e2", true},
		"resumable, twice broken off":        {"/resume/a", "m", []http.HandlerFunc{unframed(stream+"id", false), unframed("", false)}, 200, "e2", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			kind := "plain"
			if tc.model != "" {
				kind = "engine"
			}
			shared := newUpstream(t, kind+"-1", tc.scripts...)
			router := start(t, shared, &upstream{id: kind + "-2", addr: shared.addr})
			got := router.send(t, tc.path, tc.model, callerTimeout)
			is.Equal(got.err == nil, tc.complete)
			if got.status != 0 || tc.complete {
				is.Equal(got.status, tc.status)
			}
			if tc.last != "" {
				is.True(strings.HasSuffix(strings.TrimSpace(got.body), tc.last))
			}
			is.Equal(shared.runs(), len(tc.scripts))
		})
	}
}

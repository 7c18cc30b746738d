package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEndlessUpstream sends head in reply to a request, then repeats filler until the
// other end closes the connection. It counts the bytes that it got rid of.
func startEndlessUpstream(t *testing.T, head, filler string) (addr string, sent *atomic.Int64, closed <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	sent = &atomic.Int64{}
	done := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer close(done)
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		block := strings.Repeat(filler, 1+4096/len(filler))
		for text := head; ; text = block {
			n, err := io.WriteString(c, text)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return l.Addr().String(), sent, done
}

// An upstream in trouble sends bytes that never become a response head. The exchange
// must end by itself, long before the caller's deadline, and must not collect them.
func TestEndlessHeadEndsTheExchange(t *testing.T) {
	for name, c := range map[string]struct{ head, filler string }{
		"status line":             {"HTTP/1.1 200 ", "x"},
		"header name":             {"HTTP/1.1 200 OK\r\n", "x"},
		"header value":            {"HTTP/1.1 200 OK\r\nId: 1\r\nA: ", "x"},
		"headers":                 {"HTTP/1.1 200 OK\r\n", "A: 1\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"empty lines":             {"", "\r\n"},
		"no HTTP":                 {"", "\x00\x01\x02"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, sent, closed := startEndlessUpstream(t, c.head, c.filler)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := NewPool(Options{IDHeader: "Id"}).Send(ctx, addr, request("1"))
			var failure *Error
			is.True(errors.As(err, &failure))
			is.True(failure.Sent)
			is.NoErr(ctx.Err())
			<-closed
			is.True(sent.Load() < 16<<20) // most of it in the sockets' buffers
		})
	}
}

// The response to the router's own request has a body without end.
func TestEndlessBodyOfAReportEndsTheExchange(t *testing.T) {
	for name, head := range map[string]string{
		"no length":    "HTTP/1.1 200 OK\r\n\r\n",
		"chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"large length": "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, sent, closed := startEndlessUpstream(t, head, "1\r\n \r\n")
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var dest any
			err := NewPool(Options{IDHeader: "Id"}).FetchJSON(ctx, addr, &Request{Method: http.MethodGet, URI: "/", Header: http.Header{}}, &dest)
			is.True(err != nil)
			is.NoErr(ctx.Err())
			<-closed
			is.True(sent.Load() < 32<<20)
		})
	}
}

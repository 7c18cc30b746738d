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

// scriptedUpstream sends the n-th of its texts as the response to the n-th request of
// a connection; the suffixes "CLOSE" and "RESET" end the connection.
type scriptedUpstream struct {
	addr     string
	conns    atomic.Int64
	requests atomic.Int64
}

func serve(t *testing.T, responses ...string) *scriptedUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &scriptedUpstream{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serveConn(c, responses)
		}
	}()
	return s
}

func (s *scriptedUpstream) serveConn(c net.Conn, responses []string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, text := range responses {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.requests.Add(1)
		text, closes := strings.CutSuffix(text, "CLOSE")
		text, resets := strings.CutSuffix(text, "RESET")
		text = strings.ReplaceAll(text, "{id}", req.Header.Get("Id"))
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if resets {
			c.(*net.TCPConn).SetLinger(0)
		}
		if closes || resets {
			return
		}
	}
	_, _ = r.ReadByte() // wait until the other end closes
}

func request(id string) *Request {
	return &Request{ID: id, Method: http.MethodPost, URI: "/p?q=1", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body")}
}

func sendAndRead(p *Pool, addr, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Send(ctx, addr, request(id))
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

const (
	okResponse      = "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nhi"
	earlierResponse = "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 3\r\n\r\nold"
)

func TestResponses(t *testing.T) {
	for _, tc := range []struct {
		name, response string
		body           string
		fails          bool
		sent           bool
	}{
		{"complete", okResponse, "hi", false, false},
		{"chunked", "HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "hi", false, false},
		{"delimited by the end of the connection", "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\nhiCLOSE", "hi", false, false},
		{"late response to an earlier request first", earlierResponse + okResponse, "hi", false, false},
		{"informational response first", "HTTP/1.1 102 Processing\r\n\r\n" + okResponse, "hi", false, false},
		{"truncated in the body", "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 9\r\n\r\nhiCLOSE", "", true, false},
		{"truncated in a chunk", "HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhiCLOSE", "", true, false},
		{"reset in the body", "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\nhiRESET", "", true, false},
		{"no response", "CLOSE", "", true, true},
		{"not HTTP", "garbage\r\n\r\nCLOSE", "", true, true},
		{"only a mismatched response", earlierResponse + "CLOSE", "", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, tc.response)
			body, err := sendAndRead(NewPool(Options{IDHeader: "Id"}), s.addr, "r1")
			is.Equal(err != nil, tc.fails)
			if !tc.fails {
				is.Equal(body, tc.body)
			}
			var sendErr *Error
			if tc.sent {
				is.True(errors.As(err, &sendErr))
				is.True(sendErr.Sent) // the upstream may have processed the request
			}
		})
	}
}

func TestDialFailureIsReportedAsUnsent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	l.Close()
	_, err = sendAndRead(NewPool(Options{}), addr, "r1")
	var sendErr *Error
	is.True(errors.As(err, &sendErr))
	is.True(!sendErr.Sent)
}

func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	s := serve(t, okResponse, okResponse, okResponse)
	p := NewPool(Options{IDHeader: "Id"})
	for _, id := range []string{"a", "b", "c"} {
		body, err := sendAndRead(p, s.addr, id)
		is.NoErr(err)
		is.Equal(body, "hi")
	}
	is.Equal(s.conns.Load(), int64(1))
}

// Guards against idle connections without a bound: requests with the same id never share one.
func TestIdleConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	first, second := serve(t, okResponse, okResponse), serve(t, okResponse, okResponse)
	p := NewPool(Options{IDHeader: "Id"})
	limit := 3
	p.SetMaxIdle(func() int { return limit })
	for range 5 {
		for _, addr := range []string{first.addr, second.addr} {
			_, err := sendAndRead(p, addr, "same")
			is.NoErr(err)
		}
	}
	is.Equal([]int{len(p.idle[first.addr]), len(p.idle[second.addr]), p.idleCount}, []int{1, 2, 3})
	_, err := sendAndRead(p, second.addr, "other")
	is.NoErr(err)
	is.Equal(p.Stats().Reuses, uint64(1))
	p.idle[first.addr][0].idleTimeout = 0
	p.Sweep()
	is.Equal(p.idleCount, 2)
	limit = 1
	p.Sweep()
	is.Equal(p.idleCount, 1)
	many := serve(t, okResponse)
	limit = 10 * maxIdlePerAddr
	for range maxIdlePerAddr + 2 {
		_, err := sendAndRead(p, many.addr, "same")
		is.NoErr(err)
	}
	is.Equal(len(p.idle[many.addr]), maxIdlePerAddr)
}

// Guards against an unsolicited second response being taken for the response to the
// next request.
func TestUnsolicitedBytesCloseTheConnection(t *testing.T) {
	is := is.New(t)
	s := serve(t, okResponse+earlierResponse, okResponse)
	p := NewPool(Options{IDHeader: "Id"})
	_, err := sendAndRead(p, s.addr, "a")
	is.NoErr(err)
	body, err := sendAndRead(p, s.addr, "b")
	is.NoErr(err)
	is.Equal(body, "hi")
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	s := serve(t, okResponse+"CLOSE")
	p := NewPool(Options{IDHeader: "Id"})
	_, err := sendAndRead(p, s.addr, "a")
	is.NoErr(err)
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		p.mu.Lock()
		idle := p.idle[s.addr]
		p.mu.Unlock()
		if len(idle) == 0 || !idle[0].isUsable() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, err = sendAndRead(p, s.addr, "b")
	is.NoErr(err)
	is.Equal(s.conns.Load(), int64(2))
}

func TestAnnouncedIdleTimeoutIsApplied(t *testing.T) {
	is := is.New(t)
	s := serve(t, strings.Replace(okResponse, "\r\n\r\n", "\r\nKeep-Alive: timeout=2\r\n\r\n", 1))
	p := NewPool(Options{IDHeader: "Id"})
	_, err := sendAndRead(p, s.addr, "a")
	is.NoErr(err)
	is.Equal(p.idle[s.addr][0].idleTimeout, 1400*time.Millisecond)
}

func TestRequestOnTheWire(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	client, server := net.Pipe()
	done := make(chan struct{})
	go func() { defer close(done); io.Copy(&b, server) }()
	req := request("r1")
	req.URI = "/a%2Fb//c?x=%20"
	is.NoErr(writeRequest(newConn(client, 1), req))
	client.Close()
	<-done
	is.Equal(b.String(), "POST /a%2Fb//c?x=%20 HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 4\r\n\r\nbody")
}

func TestReadAfterACancellationReturnsItsCause(t *testing.T) {
	is := is.New(t)
	s := serve(t, "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 9\r\n\r\nhi")
	ctx, cancel := context.WithCancelCause(context.Background())
	resp, err := NewPool(Options{IDHeader: "Id"}).Send(ctx, s.addr, request("a"))
	is.NoErr(err)
	defer resp.Close()
	cause := errors.New("given up")
	cancel(cause)
	_, err = io.ReadAll(resp)
	is.Equal(err, cause)
}

func TestCancelEndsTheExchange(t *testing.T) {
	is := is.New(t)
	s := serve(t, "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 9\r\n\r\nhi", okResponse)
	ctx, cancel := context.WithCancel(context.Background())
	p := NewPool(Options{IDHeader: "Id"})
	resp, err := p.Send(ctx, s.addr, request("a"))
	is.NoErr(err)
	cancel()
	_, err = io.ReadAll(resp)
	is.True(err != nil)
	resp.Close()
	is.Equal(len(p.idle[s.addr]), 0)
}

// Guards against bytes that are sent although what was checked before no longer holds. The
// connection stays usable.
func TestUnconfirmedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	s := serve(t, okResponse)
	p := NewPool(Options{IDHeader: "Id"})
	refused := errors.New("the upstream leaves")
	req := request("a")
	req.Confirm = func() error { return refused }
	_, err := p.Send(t.Context(), s.addr, req)
	var sendErr *Error
	is.True(errors.As(err, &sendErr))
	is.True(errors.Is(err, refused))
	is.True(!sendErr.Sent)
	_, err = sendAndRead(p, s.addr, "a")
	is.NoErr(err)
	is.Equal(s.conns.Load(), int64(1))
	is.Equal(s.requests.Load(), int64(1))
}

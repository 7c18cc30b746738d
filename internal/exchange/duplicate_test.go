package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/faultyserver"
)

// startDuplicatingUpstream starts an upstream that responds to its n-th request with the
// n-th response, or the last one if there are fewer, and sends a duplicate of each
// response where the next one on the connection is expected.
func startDuplicatingUpstream(t *testing.T, responses ...faultyserver.Response) (addr string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	server := faultyserver.Start(t, func(r *http.Request) faultyserver.Response {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error(err)
		}
		response := responses[min(int(requests.Add(1)), len(responses))-1]
		if response.Header != nil {
			response.Header = response.Header.Clone()
			response.Header.Set("Id", r.Header.Get("Id"))
		}
		// The duplicate and the response arrive in segments.
		response.Faults = faultyserver.Faults{Duplicate: faultyserver.DuplicateBeforeNext, SegmentSize: 20, SegmentDelay: time.Millisecond}
		return response
	})
	return server.Addr, requests
}

var (
	refusal = faultyserver.Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Not-Run": {"1"}}}
	success = faultyserver.Response{Status: http.StatusOK, Header: http.Header{}}
	// misdirected has no request ID.
	misdirected = faultyserver.Response{Status: http.StatusMisdirectedRequest}
)

func sendForStatus(p *Pool, addr, id string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Send(ctx, addr, request(id))
	if err != nil {
		return 0, err
	}
	defer resp.Close()
	_, err = io.Copy(io.Discard, resp)
	return resp.Status, err
}

// sendOrder sends an order and returns the status of the response.
func sendOrder(p *Pool, addr string) (int, error) {
	req, err := NewJSON("/order", http.Header{}, struct{}{})
	if err != nil {
		return 0, err
	}
	got, _, err := p.Fetch(context.Background(), addr, req)
	return got, err
}

// Guards against reporting a request as not run, or running it again, while it runs:
// a duplicate of the refusal of the first attempt was taken for the response to the
// second.
func TestDuplicateRefusalIsNotMatchedToNextAttempt(t *testing.T) {
	is := is.New(t)
	addr, requests := startDuplicatingUpstream(t, refusal, success)
	p := NewPool(Options{IDHeader: "Id"})
	got, err := sendForStatus(p, addr, "r1")
	is.NoErr(err)
	is.Equal(got, http.StatusServiceUnavailable)
	got, err = sendForStatus(p, addr, "r1") // second attempt
	is.NoErr(err)
	is.Equal(got, http.StatusOK) // the response to the second attempt
	is.Equal(requests.Load(), int64(2))
}

// Guards against accepting a refusal that may belong to another request: it has no
// request ID and arrives on a connection that has carried other requests.
func TestResponseWithoutIDOnReusedConnectionIsRejected(t *testing.T) {
	is := is.New(t)
	addr, requests := startDuplicatingUpstream(t, success, misdirected)
	p := NewPool(Options{IDHeader: "Id"})
	_, err := sendForStatus(p, addr, "r1")
	is.NoErr(err)
	_, err = sendForStatus(p, addr, "r2")
	is.True(errors.Is(err, ErrUnidentified))
	is.Equal(requests.Load(), int64(2))
}

// Guards against a duplicate response to one of the router's own requests, without an
// ID, being taken for the response to a caller's request.
func TestRequestAvoidsConnectionAfterResponseWithoutID(t *testing.T) {
	is := is.New(t)
	addr, _ := startDuplicatingUpstream(t, misdirected, success)
	p := NewPool(Options{IDHeader: "Id"})
	_, err := sendOrder(p, addr)
	is.NoErr(err)
	got, err := sendForStatus(p, addr, "r1")
	is.NoErr(err)
	is.Equal(got, http.StatusOK)
}

// Guards against a duplicate response to a request without an ID being taken for the
// response to an order.
func TestOrderAvoidsConnectionAfterRequestWithoutID(t *testing.T) {
	is := is.New(t)
	addr, _ := startDuplicatingUpstream(t, misdirected, faultyserver.Response{Status: http.StatusConflict})
	p := NewPool(Options{IDHeader: "Id"})
	_, err := sendForStatus(p, addr, "")
	is.NoErr(err)
	got, err := sendOrder(p, addr)
	is.NoErr(err)
	is.Equal(got, http.StatusConflict)
}

// Upstreams that never echo request IDs are supported, with one connection per request.
func TestUpstreamThatEchoesNoIDs(t *testing.T) {
	is := is.New(t)
	upstream := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	p := NewPool(Options{IDHeader: "Id"})
	for _, id := range []string{"a", "b", "c"} {
		body, err := sendAndRead(p, upstream.addr, id)
		is.NoErr(err)
		is.Equal(body, "hi")
	}
	is.Equal(upstream.conns.Load(), int64(3))
}

// Guards against taking a rejected order for accepted: a duplicate of the response to
// the previous order was taken for the response to this one.
func TestDuplicateResponseIsNotMatchedToNextOrder(t *testing.T) {
	for name, header := range map[string]http.Header{"with the order's id": {}, "without an id": nil} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			responses := []faultyserver.Response{{Status: http.StatusAccepted, Header: header}, {Status: http.StatusConflict, Header: header}}
			addr, _ := startDuplicatingUpstream(t, responses...)
			p := NewPool(Options{IDHeader: "Id"})
			for _, want := range responses {
				got, err := sendOrder(p, addr)
				is.NoErr(err)
				is.Equal(got, want.Status)
			}
		})
	}
}

// State reads share one connection, whatever it has carried, and use none that
// callers' requests can use.
func TestStateReadsShareOneConnection(t *testing.T) {
	is := is.New(t)
	upstream := serve(t, okResponse, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	p := NewPool(Options{IDHeader: "Id"})
	_, err := sendAndRead(p, upstream.addr, "r1")
	is.NoErr(err)
	for range 2 {
		var state struct{}
		is.NoErr(p.FetchJSON(context.Background(), upstream.addr, &Request{Method: http.MethodGet, URI: "/report", Header: http.Header{}}, &state))
	}
	is.Equal(upstream.conns.Load(), int64(1))
	_, err = sendAndRead(p, upstream.addr, "r2")
	is.NoErr(err)
	is.Equal(upstream.conns.Load(), int64(2))
}

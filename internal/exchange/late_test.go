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

// startRepeater runs an upstream that answers its n-th request with the n-th answer,
// and sends each answer once more where the next one on its connection is expected.
func startRepeater(t *testing.T, answers ...faultyserver.Answer) (addr string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	server := faultyserver.Start(t, func(r *http.Request) faultyserver.Answer {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error(err)
		}
		answer := answers[min(int(requests.Add(1)), len(answers))-1]
		if answer.Header != nil {
			answer.Header = answer.Header.Clone()
			answer.Header.Set("Id", r.Header.Get("Id"))
		}
		// The copy and the answer come in pieces.
		answer.Faults = faultyserver.Faults{Again: faultyserver.Late, Segment: 20, SegmentPause: time.Millisecond}
		return answer
	})
	return server.Addr, requests
}

var (
	refusal = faultyserver.Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"Not-Run": {"1"}}}
	served  = faultyserver.Answer{Status: http.StatusOK, Header: http.Header{}}
	// misdirected bears no id.
	misdirected = faultyserver.Answer{Status: http.StatusMisdirectedRequest}
)

func status(p *Pool, addr, id string) (int, error) {
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

// order sends an order and returns the status of its answer.
func order(p *Pool, addr string) (int, error) {
	req, err := NewJSON("/order", http.Header{}, struct{}{})
	if err != nil {
		return 0, err
	}
	got, _, err := p.Fetch(context.Background(), addr, req)
	return got, err
}

// Guards against a request that runs while its caller is told that it did not, and
// against a second run: the refusal of the first sending, sent once more, was taken
// for the answer to the second.
func TestRepeatedRefusalIsNotTheAnswerToTheNextSending(t *testing.T) {
	is := is.New(t)
	addr, requests := startRepeater(t, refusal, served)
	p := NewPool(Options{IDHeader: "Id"})
	got, err := status(p, addr, "r1")
	is.NoErr(err)
	is.Equal(got, http.StatusServiceUnavailable)
	got, err = status(p, addr, "r1") // sent once more
	is.NoErr(err)
	is.Equal(got, http.StatusOK) // the run's own answer
	is.Equal(requests.Load(), int64(2))
}

// Guards against a refusal by an answer that can't be told to be the request's: it
// bears no id and comes on a connection that carried others.
func TestAnswerWithoutAnIDProvesNothing(t *testing.T) {
	is := is.New(t)
	addr, requests := startRepeater(t, served, misdirected)
	p := NewPool(Options{IDHeader: "Id"})
	_, err := status(p, addr, "r1")
	is.NoErr(err)
	_, err = status(p, addr, "r2")
	is.True(errors.Is(err, ErrUnidentified))
	is.Equal(requests.Load(), int64(2))
}

// Guards against the answer to a call of the router's own, which bore no id and is sent
// once more, being taken for that to a request.
func TestRequestsDoNotFollowAnswersWithoutAnID(t *testing.T) {
	is := is.New(t)
	addr, _ := startRepeater(t, misdirected, served)
	p := NewPool(Options{IDHeader: "Id"})
	_, err := order(p, addr)
	is.NoErr(err)
	got, err := status(p, addr, "r1")
	is.NoErr(err)
	is.Equal(got, http.StatusOK)
}

// Guards against an order that is credited with the answer to a request without an id,
// sent once more.
func TestOrdersDoNotFollowRequestsWithoutAnID(t *testing.T) {
	is := is.New(t)
	addr, _ := startRepeater(t, misdirected, faultyserver.Answer{Status: http.StatusConflict})
	p := NewPool(Options{IDHeader: "Id"})
	_, err := status(p, addr, "")
	is.NoErr(err)
	got, err := order(p, addr)
	is.NoErr(err)
	is.Equal(got, http.StatusConflict)
}

// Upstreams that never repeat ids are served, each request over a connection of its own.
func TestUpstreamThatRepeatsNoIDs(t *testing.T) {
	is := is.New(t)
	u := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	p := NewPool(Options{IDHeader: "Id"})
	for _, id := range []string{"a", "b", "c"} {
		body, err := get(p, u.addr, id)
		is.NoErr(err)
		is.Equal(body, "hi")
	}
	is.Equal(u.conns.Load(), int64(3))
}

// Guards against an order that is believed accepted though it was not: the answer
// to the order before, sent once more.
func TestRepeatedAnswerIsNotTheAnswerToTheNextOrder(t *testing.T) {
	for name, header := range map[string]http.Header{"with the order's id": {}, "without an id": nil} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answers := []faultyserver.Answer{{Status: http.StatusAccepted, Header: header}, {Status: http.StatusConflict, Header: header}}
			addr, _ := startRepeater(t, answers...)
			p := NewPool(Options{IDHeader: "Id"})
			for _, want := range answers {
				got, err := order(p, addr)
				is.NoErr(err)
				is.Equal(got, want.Status)
			}
		})
	}
}

// Reads of state share a connection, whatever it carried, and take none that
// requests of callers can use.
func TestReadsKeepToOneConnection(t *testing.T) {
	is := is.New(t)
	u := serve(t, okA, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	p := NewPool(Options{IDHeader: "Id"})
	_, err := get(p, u.addr, "r1")
	is.NoErr(err)
	for range 2 {
		var state struct{}
		is.NoErr(p.FetchJSON(context.Background(), u.addr, &Request{Method: http.MethodGet, URI: "/report", Header: http.Header{}}, &state))
	}
	is.Equal(u.conns.Load(), int64(1))
	_, err = get(p, u.addr, "r2")
	is.NoErr(err)
	is.Equal(u.conns.Load(), int64(2))
}

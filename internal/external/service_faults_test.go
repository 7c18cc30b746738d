package external_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

var errBody = errors.New("the caller went away")

func serviceCall(method string, body io.Reader) external.ServiceCall {
	return external.ServiceCall{
		RequestID: "r1",
		Method:    method,
		Path:      "/bookings?day=1",
		Header:    http.Header{standin.HeaderIdempotencyKey: {"key-1"}},
		Body:      body,
	}
}

func TestServiceCallFaults(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	type row struct {
		name    string
		faults  standin.Faults
		knobs   standin.ServiceKnobs
		baseURL string
		ctx     context.Context
		call    external.ServiceCall
		reused  bool
		status  int // 0 expects an error
		unknown bool
		runs    int
	}
	get := serviceCall(http.MethodGet, nil)
	rows := []row{
		{name: "served", call: get, status: http.StatusOK, runs: 1},
		{name: "nothing listens", baseURL: unreachable, call: get},
		{name: "call ended before it was sent", ctx: canceled, call: get},
		{name: "call ended before it was sent, reused", ctx: canceled, call: get, reused: true},
		{name: "refused", faults: standin.Faults{Refuse: true}, call: get, status: http.StatusServiceUnavailable},
		{name: "closed without an answer", faults: standin.Faults{Down: true}, call: get, unknown: true},
		{name: "closed before the run", knobs: standin.ServiceKnobs{FailBeforeRun: 1}, call: get, unknown: true},
		// net/http sends the header before it reads the body.
		{name: "caller's body fails at once", call: serviceCall(http.MethodPost, iotest.ErrReader(errBody)), unknown: true},
		{name: "caller's body fails late", call: serviceCall(http.MethodPost, io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<20)), iotest.ErrReader(errBody))), unknown: true},
	}
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "stack 7"} {
			for _, reused := range []bool{false, true} {
				rows = append(rows, row{
					name:    fmt.Sprintf("answer lost, %s %q, reused %v", method, body, reused),
					faults:  standin.Faults{LoseAnswers: 1},
					call:    serviceCall(method, strings.NewReader(body)),
					reused:  reused,
					unknown: true,
					runs:    1,
				})
			}
		}
	}
	for _, tc := range rows {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := startCluster(t, standin.ClusterOptions{Services: []standin.ServiceOptions{{Host: "s0", Name: "giveaway-app"}}})
			url := c.ServiceURLs[0]
			if tc.baseURL != "" {
				url = tc.baseURL
			}
			if tc.ctx == nil {
				tc.ctx = context.Background()
			}
			service := closeIdle(t, external.NewServiceClient(external.ClientOptions{BaseURL: url}))
			if tc.reused {
				discard(service.Call(context.Background(), external.ServiceCall{RequestID: "warm", Method: http.MethodGet, Path: "/"}))
			}
			c.Services[0].Faults.Set(tc.faults)
			c.Services[0].SetKnobs(tc.knobs)
			resp, err := service.Call(tc.ctx, tc.call)
			is.Equal(resp.Status, tc.status)
			is.Equal(err == nil, tc.status != 0)
			discard(resp, err)
			is.Equal(external.OutcomeUnknown(err), tc.unknown)
			is.True(err == nil || hasRemedy(err))
			is.Equal(c.Services[0].Counts().ByRequestID["r1"], tc.runs)
			is.Equal(c.Services[0].Counts().ByKey["key-1"], tc.runs)
		})
	}
}

// discard reads an answer to its end, so that its connection can be reused.
func discard(resp external.ServiceResponse, err error) {
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

func TestServiceAnswerCutHalfWay(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, standin.ClusterOptions{Services: []standin.ServiceOptions{{Knobs: standin.ServiceKnobs{CutBodies: 1}}}})
	service := closeIdle(t, external.NewServiceClient(external.ClientOptions{BaseURL: c.ServiceURLs[0]}))
	resp, err := service.Call(context.Background(), serviceCall(http.MethodPost, nil))
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(c.Services[0].Counts().ByRequestID["r1"], 1)
}

// closingServer answers one call on each connection and then closes it without
// saying so, which races with the client's next call.
type closingServer struct {
	listener net.Listener
	wg       sync.WaitGroup
	mu       sync.Mutex
	runs     map[string]int
}

func startClosingServer(t *testing.T) *closingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &closingServer{listener: listener, runs: make(map[string]int)}
	s.wg.Go(s.serve)
	t.Cleanup(func() {
		_ = listener.Close()
		s.wg.Wait()
	})
	return s
}

func (s *closingServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.answer(conn)
	}
}

func (s *closingServer) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[req.Header.Get(external.HeaderRequestID)]++
	s.mu.Unlock()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

func (s *closingServer) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func TestServiceClosesReusedConnections(t *testing.T) {
	const calls = 500
	s := startClosingServer(t)
	service := closeIdle(t, external.NewServiceClient(external.ClientOptions{BaseURL: "http://" + s.listener.Addr().String()}))
	unsent, unknown := 0, 0
	for i := range calls {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		call := serviceCall(http.MethodGet, nil)
		call.RequestID = fmt.Sprintf("r%d", i)
		resp, err := service.Call(ctx, call)
		discard(resp, err)
		cancel()
		runs := s.ran(call.RequestID)
		switch {
		case err == nil && runs != 1:
			t.Fatalf("call %d was answered and ran %d times", i, runs)
		case err != nil && !external.OutcomeUnknown(err) && runs != 0:
			t.Fatalf("call %d was reported as not sent and ran %d times: %v", i, runs, err)
		case runs > 1:
			t.Fatalf("call %d ran %d times", i, runs)
		case err != nil && external.OutcomeUnknown(err):
			unknown++
		case err != nil:
			unsent++
		}
	}
	t.Logf("of %d calls %d failed unsent, %d with an unknown outcome", calls, unsent, unknown)
}

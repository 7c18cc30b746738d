package entry

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/listener"
	"github.com/ragwortdoor/ragwortdoor/internal/memory"
)

const (
	// closeTimeout is how long the process waits at its exit for requests that it has
	// not read completely.
	closeTimeout = time.Second
	// exitMargin is how long before the end of StopGrace that wait ends at the latest.
	exitMargin        = 100 * time.Millisecond
	closePollInterval = 10 * time.Millisecond
)

// callerServer is the HTTP server for callers.
type callerServer struct {
	*listener.Server
	// conns is the number of open connections.
	conns atomic.Int64
}

func newCallerServer(l *listener.Listener, handler http.Handler, refusal []byte) *callerServer {
	s := &callerServer{Server: listener.NewServer(l, handler, refusal)}
	s.ConnState = s.countConn
	return s
}

func (s *callerServer) countConn(c net.Conn, state http.ConnState) {
	s.OnState(c, state)
	switch state {
	case http.StateNew:
		s.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// close closes the listener and the idle connections, and the others as soon as they have
// answered, at the latest at the deadline. http.Server.Shutdown is no replacement: it
// closes a connection without an answer if the request was not read completely before.
func (s *callerServer) close(deadline time.Time) error {
	err := ignoreClosed(s.CloseListener())
	s.SetKeepAlivesEnabled(false)
	for s.conns.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(closePollInterval)
	}
	return errors.Join(err, ignoreClosed(s.Close())) // closes the listener again while Serve uses it
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// closeDeadline returns until when the process may wait for requests at its exit.
func (p *Process) closeDeadline() time.Time {
	deadline := time.Now().Add(closeTimeout)
	if at := p.handler.stopAt.Load(); at != nil {
		if end := at.Add(p.handler.reloadable.Load().stopGrace - exitMargin); end.Before(deadline) {
			return end
		}
	}
	return deadline
}

// headRefusal returns the complete response to a request for whose head there is no memory: it has not
// run, and its id is not known.
func headRefusal(dialect Dialect) ([]byte, error) {
	header := make(http.Header)
	body := dialect.WriteErrorResponse(header, ErrorResponse{Status: http.StatusServiceUnavailable, Kind: "refused", Text: memory.ErrExhausted.Error(), RetryAfter: memoryRetryDelay})
	resp := http.Response{StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1, Header: header, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Close: true}
	var out bytes.Buffer
	err := resp.Write(&out)
	return out.Bytes(), err
}

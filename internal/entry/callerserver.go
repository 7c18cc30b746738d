package entry

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// closeTimeout is how long the process waits at its exit for requests that it has
	// not read completely.
	closeTimeout = time.Second
	// exitMargin is how long before the end of StopGrace that wait ends at the latest.
	exitMargin        = 100 * time.Millisecond
	closePollInterval = 10 * time.Millisecond
	// maxHeaderBytes limits the head of a request; net/http allows 4 KiB more. Deployments
	// allow callers less.
	maxHeaderBytes = 32 << 10
)

// callerServer is the HTTP server for callers.
type callerServer struct {
	*http.Server
	listener net.Listener
	// conns is the number of open connections.
	conns atomic.Int64
}

func newCallerServer(handler http.Handler, config *tls.Config, l net.Listener) *callerServer {
	s := &callerServer{listener: l}
	s.Server = &http.Server{Handler: handler, TLSConfig: config, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: callerIdleTimeout, ConnState: s.countConn}
	return s
}

func (s *callerServer) countConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

func (s *callerServer) serve() error { return serveHTTP(s.Server, s.listener) }

// close closes the listener and the idle connections, and the others as soon as they have
// answered, at the latest at the deadline. http.Server.Shutdown is no replacement: it
// closes a connection without an answer if the request was not read completely before.
func (s *callerServer) close(deadline time.Time) error {
	err := ignoreClosed(s.listener.Close())
	s.SetKeepAlivesEnabled(false)
	for s.conns.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(closePollInterval)
	}
	return errors.Join(err, ignoreClosed(s.Server.Close())) // closes the listener again while serve uses it
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

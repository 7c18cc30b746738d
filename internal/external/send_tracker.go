package external

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	dialTimeout         = 3 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 256
)

// States of a sendState.
const (
	unsent  int32 = iota // no byte was written to the connection
	writing              // the first write is in progress
	sent                 // bytes were written
	sealed               // the call ended before any byte was written; writes fail
)

var errSealed = errors.New("call ended before any byte was sent")

// sendState records whether a byte of one call was written to its connection. The
// end of the call races with the connection's writer; the atomic state decides
// which came first, so that a call reported as unsent stays unsent.
type sendState struct{ state atomic.Int32 }

// seal makes further writes fail, unless bytes may have been written already. It
// reports whether no byte was and none will be written.
func (s *sendState) seal() bool {
	return s.state.CompareAndSwap(unsent, sealed) || s.state.Load() == sealed
}

// sendTracker tracks one call across the connections that it uses.
type sendTracker struct {
	current atomic.Pointer[sendState]
	// assumedSent is set when bytes may have been written to an earlier connection,
	// or when a connection is not a trackedConn.
	assumedSent atomic.Bool
}

func (t *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	if earlier := t.current.Load(); earlier != nil && !earlier.seal() {
		t.assumedSent.Store(true)
	}
	conn := trackedConnOf(info.Conn)
	if conn == nil {
		t.assumedSent.Store(true)
		return
	}
	state := &sendState{}
	t.current.Store(state)
	conn.state.Store(state)
}

// maybeSent reports whether a byte may have reached the server. Once it reports
// false, none ever will.
func (t *sendTracker) maybeSent() bool {
	if t.assumedSent.Load() {
		return true
	}
	state := t.current.Load()
	return state != nil && !state.seal()
}

// trackedConn records in state whether the current call has written bytes.
type trackedConn struct {
	net.Conn
	state atomic.Pointer[sendState]
}

func trackedConnOf(conn net.Conn) *trackedConn {
	if tlsConn, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = tlsConn.NetConn()
	}
	tracked, _ := conn.(*trackedConn)
	return tracked
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	state := c.state.Load()
	if state == nil || state.state.Load() == sent {
		return c.Conn.Write(p)
	}
	if !state.state.CompareAndSwap(unsent, writing) {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		state.state.Store(unsent) // nothing was accepted by the kernel
		return n, err
	}
	state.state.Store(sent)
	return n, err
}

// NewTransport returns the HTTP/1.1 transport of the platform clients. Its
// connections record whether a byte of a call was written.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

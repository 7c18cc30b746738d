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
	unsent  int32 = iota // no byte was given to the connection
	writing              // the first bytes are being written
	sent                 // bytes were written
	sealed               // the call failed before any byte; writes are refused
)

var errSealed = errors.New("call ended before it was sent")

// sendState tells whether a byte of one call was written to its connection. The
// call's end and the connection's writer race; the state decides once which of
// them was first, so that a call found unsent stays unsent.
type sendState struct{ state atomic.Int32 }

// seal refuses further writes. It reports whether no byte was written.
func (s *sendState) seal() bool {
	return s.state.CompareAndSwap(unsent, sealed) || s.state.Load() == sealed
}

// sendTracker follows one call over its connections.
type sendTracker struct {
	current atomic.Pointer[sendState]
	// assumed is set when bytes went to an earlier connection, or when the
	// connection can't be followed.
	assumed atomic.Bool
}

func (t *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	if earlier := t.current.Load(); earlier != nil && !earlier.seal() {
		t.assumed.Store(true)
	}
	conn := trackedOf(info.Conn)
	if conn == nil {
		t.assumed.Store(true)
		return
	}
	state := &sendState{}
	t.current.Store(state)
	conn.state.Store(state)
}

// maybeSent reports whether a byte may have reached the server. When it reports
// false none ever will.
func (t *sendTracker) maybeSent() bool {
	if t.assumed.Load() {
		return true
	}
	state := t.current.Load()
	return state != nil && !state.seal()
}

// trackedConn counts the writes of the call that holds the connection.
type trackedConn struct {
	net.Conn
	state atomic.Pointer[sendState]
}

func trackedOf(conn net.Conn) *trackedConn {
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
		state.state.Store(unsent) // the kernel took nothing
		return n, err
	}
	state.state.Store(sent)
	return n, err
}

// NewTransport makes the transport of the platform's clients: HTTP/1.1, whose
// connections tell whether a byte of a call was written.
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

package transport

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// muxConn is the connection under a yamux session. When the session closes it, muxConn
// first ends the pending reads of the session's streams. yamux itself ends them later,
// and until then yamux.Stream.Read polls without a pause: on a host with one core that
// keeps the processor from the goroutine that closes the session.
type muxConn struct {
	net.Conn

	mu      sync.Mutex
	closed  bool
	streams map[*yamux.Stream]struct{}
}

func newMuxConn(conn net.Conn) *muxConn {
	return &muxConn{Conn: conn, streams: make(map[*yamux.Stream]struct{})}
}

// Close implements net.Conn. yamux calls it right after it began to shut down.
func (c *muxConn) Close() error {
	c.mu.Lock()
	c.closed = true
	for stream := range c.streams {
		endReads(stream)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// newStream returns a Stream whose reads end when the connection is closed. accounted is nil on the
// dialing end.
func (c *muxConn) newStream(stream *yamux.Stream, accounted *accountedConn) *Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[stream] = struct{}{}
	if c.closed {
		endReads(stream)
	}
	return newStream(&trackedStream{Stream: stream, owner: c}, accounted)
}

// endReads makes reads fail that find no received bytes.
func endReads(stream *yamux.Stream) {
	_ = stream.SetReadDeadline(time.Unix(1, 0)) // never fails
}

// trackedStream is a stream that its connection forgets once it is closed.
type trackedStream struct {
	*yamux.Stream
	owner *muxConn
}

// Close implements net.Conn.
func (s *trackedStream) Close() error {
	s.owner.mu.Lock()
	delete(s.owner.streams, s.Stream)
	s.owner.mu.Unlock()
	return s.Stream.Close()
}

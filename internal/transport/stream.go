// Package transport carries protobuf frames between routers, over one yamux session
// per connection and one stream per conversation.
package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes limits the size of a received frame.
const MaxFrameBytes = 4 << 20

// ErrDisconnected means that a stream lost its peer before the last frame. Every error
// of Open, Send and Recv other than io.EOF wraps it.
var ErrDisconnected = errors.New("disconnected from the peer")

// Stream sends and receives frames. Send is safe for concurrent use; only one
// goroutine at a time may receive.
type Stream struct {
	conn net.Conn
	r    *bufio.Reader

	sendMu sync.Mutex
	w      *bufio.Writer
}

const streamBufferBytes = 4 << 10

func newStream(conn net.Conn) *Stream {
	return &Stream{
		conn: conn,
		r:    bufio.NewReaderSize(conn, streamBufferBytes),
		w:    bufio.NewWriterSize(conn, streamBufferBytes),
	}
}

// Send writes one frame and flushes it.
func (s *Stream) Send(m proto.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if _, err := protodelim.MarshalTo(s.w, m); err != nil {
		return wrapDisconnected("send", err)
	}
	if err := s.w.Flush(); err != nil {
		return wrapDisconnected("send", err)
	}
	return nil
}

// Recv reads one frame into m. It returns io.EOF if the peer closed the stream
// between two frames.
func (s *Stream) Recv(m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	err := opts.UnmarshalFrom(s.r, m)
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if err != nil {
		return wrapDisconnected("receive", err)
	}
	return nil
}

// Close closes the stream in both directions.
func (s *Stream) Close() error { return s.conn.Close() }

func wrapDisconnected(op string, err error) error {
	return fmt.Errorf("%s: %w: %w", op, ErrDisconnected, err)
}

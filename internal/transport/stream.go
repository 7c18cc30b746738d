// Package transport carries protobuf frames between routers: one yamux session
// for each link, with a stream for each conversation.
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

// MaxFrameBytes bounds one frame.
const MaxFrameBytes = 4 << 20

// ErrDisconnected is the cause of every failure of a stream that lost its peer before
// the last frame.
var ErrDisconnected = errors.New("connection to the peer was cut")

// Stream sends and receives frames. One goroutine may send while another
// receives.
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
		return cut("send", err)
	}
	if err := s.w.Flush(); err != nil {
		return cut("send", err)
	}
	return nil
}

// Recv reads one frame into m. It returns io.EOF when the peer has closed the
// stream between two frames.
func (s *Stream) Recv(m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	err := opts.UnmarshalFrom(s.r, m)
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if err != nil {
		return cut("receive", err)
	}
	return nil
}

// Close ends the stream in both directions.
func (s *Stream) Close() error { return s.conn.Close() }

func cut(op string, err error) error {
	return fmt.Errorf("%s: %w: %w", op, ErrDisconnected, err)
}

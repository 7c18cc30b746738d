// Package transport carries protobuf frames between routers, over one yamux session
// per connection and one stream per conversation.
package transport

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortdoor/ragwortdoor/internal/memory"
)

// MaxFrameBytes limits the size of a received frame.
const MaxFrameBytes = 4 << 20

// ErrDisconnected means that a stream lost its peer before the last frame. Every error
// of Open, Send and Recv other than io.EOF wraps it.
var ErrDisconnected = errors.New("disconnected from the peer")

// errTooManySessions means that as many other routers are connected as there is memory for.
var errTooManySessions = errors.New("there is no memory for a further session: give this host more, or run the scheduler on a larger one")

// Stream sends and receives frames. Send is safe for concurrent use; only one
// goroutine at a time may receive.
type Stream struct {
	conn net.Conn
	r    *bufio.Reader
	// accounted is the session's connection, nil on the dialing end.
	accounted *accountedConn

	sendMu sync.Mutex
	w      *bufio.Writer
}

const streamBufferBytes = 4 << 10

func newStream(conn net.Conn, accounted *accountedConn) *Stream {
	return &Stream{
		conn:      conn,
		r:         bufio.NewReaderSize(conn, streamBufferBytes),
		accounted: accounted,
		w:         bufio.NewWriterSize(conn, streamBufferBytes),
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
	size, err := binary.ReadUvarint(s.r)
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if err == nil && size > MaxFrameBytes {
		err = fmt.Errorf("the frame has %d bytes, at most %d are allowed", size, MaxFrameBytes)
	}
	if err == nil {
		err = s.recvFrame(int64(size), m)
	}
	if err == nil && s.accounted != nil && !s.accounted.onFrame() {
		err = errTooManySessions
	}
	if err != nil {
		return wrapDisconnected("receive", err)
	}
	return nil
}

// recvFrame reads the size bytes of a frame, for which the session's hold accounts meanwhile.
func (s *Stream) recvFrame(size int64, m proto.Message) error {
	var hold *memory.Hold
	if s.accounted != nil && size > streamBufferBytes {
		hold = s.accounted.hold
	}
	frame, err := hold.ReadAll(io.LimitReader(s.r, size), size)
	if err != nil {
		return err
	}
	defer hold.Shrink(int64(cap(frame)))
	if int64(len(frame)) < size {
		return io.ErrUnexpectedEOF
	}
	return proto.Unmarshal(frame, m)
}

// Close closes the stream in both directions.
func (s *Stream) Close() error { return s.conn.Close() }

func wrapDisconnected(op string, err error) error {
	return fmt.Errorf("%s: %w: %w", op, ErrDisconnected, err)
}

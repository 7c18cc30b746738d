// Package faultyserver is an HTTP/1.1 server for tests. It does on the wire what
// faulty upstreams do: answers in late pieces, answers sent twice, cut, spoiled,
// without a length or before the request is in.
package faultyserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// DuplicateMode is when an answer is sent a second time.
type DuplicateMode int

// Values of Again.
const (
	NoDuplicate DuplicateMode = iota
	// DuplicateImmediately sends the copy right behind the answer.
	DuplicateImmediately
	// DuplicateBeforeNext sends it where the next answer on the connection is expected.
	DuplicateBeforeNext
	// DuplicateAfterDelay sends it after a time, between answers.
	DuplicateAfterDelay
)

// Faults are what goes wrong with one answer.
type Faults struct {
	Duplicate      DuplicateMode
	DuplicateDelay time.Duration // for Soon
	// SegmentSize splits what is sent into so many bytes each, 0 does not. The server
	// pauses for SegmentPause before each but the first.
	SegmentSize  int
	SegmentDelay time.Duration
	// JunkBefore and JunkAfter are bytes that belong to no request, around the answer.
	JunkBefore, JunkAfter string
	// TruncateAfter ends the connection after so many bytes, 0 does not; Lost sends nothing.
	TruncateAfter int
	DropResponse  bool
	// Reset ends the connection with a reset where Cut or Lost end it; Silent keeps
	// it open there and sends nothing more.
	Reset bool
	Stall bool
	// NoLength names no length: the end of the connection ends the body.
	NoLength bool
	// Close announces and makes the end of the connection.
	Close bool
}

// Response is what a request gets.
type Response struct {
	Status int
	Header http.Header
	// Parts make the body. The server pauses for Pause after each; more than one
	// part is sent in chunks.
	Parts     []string
	PartDelay time.Duration
	Faults    Faults
}

// Handler answers a request. One that does not read the body has its answer sent
// before the body is in; the body is read and dropped afterwards.
type Handler func(r *http.Request) Response

// Server is a running server.
type Server struct {
	// Addr is where it listens, "IP:PORT".
	Addr    string
	handler Handler

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Start runs a server until the test ends.
func Start(t testing.TB, handler Handler) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Addr: l.Addr().String(), handler: handler, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = l.Close() // ends accept
		s.ResetConnections()
	})
	go s.accept(l)
	return s
}

// ResetConnections ends all connections with a reset.
func (s *Server) ResetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		Reset(c)
	}
	clear(s.conns)
}

// Reset ends a connection with a reset.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the end is an orderly one
	}
	_ = c.Close() // nothing is expected on it
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close() // it has ended
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	var held []byte        // a second copy of an answer
	var writing sync.Mutex // one answer at a time
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer := s.handler(req)
		out := &wire{conn: c, faults: answer.Faults}
		writing.Lock()
		ended := out.plain(held) != nil || out.send(answer) != nil
		writing.Unlock()
		if ended {
			return
		}
		held = nil
		switch answer.Faults.Duplicate {
		case DuplicateBeforeNext:
			held = out.sent
		case DuplicateAfterDelay:
			time.AfterFunc(answer.Faults.DuplicateDelay, func() {
				writing.Lock()
				defer writing.Unlock()
				_, _ = c.Write(out.sent) // the connection may have ended
			})
		case NoDuplicate, DuplicateImmediately:
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
}

// errEnds means that the connection ends where its faults say so.
var errEnds = fmt.Errorf("the connection ends here")

// wire sends one answer with its faults.
type wire struct {
	conn   net.Conn
	faults Faults
	sent   []byte
}

// plain sends bytes as they are, apart from the segments.
func (w *wire) plain(b []byte) error {
	for len(b) > 0 {
		n := len(b)
		if w.faults.SegmentSize > 0 {
			n = min(n, w.faults.SegmentSize)
		}
		if _, err := w.conn.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
		if len(b) > 0 {
			time.Sleep(w.faults.SegmentDelay)
		}
	}
	return nil
}

// part sends a part of the answer, up to where it is cut.
func (w *wire) part(b []byte) error {
	ends := w.faults.TruncateAfter > 0 && len(w.sent)+len(b) >= w.faults.TruncateAfter
	if ends {
		b = b[:w.faults.TruncateAfter-len(w.sent)]
	}
	w.sent = append(w.sent, b...)
	if err := w.plain(b); err != nil {
		return err
	}
	if ends {
		return w.end()
	}
	return nil
}

func (w *wire) end() error {
	if w.faults.Reset {
		Reset(w.conn)
	}
	if w.faults.Stall {
		_, _ = io.Copy(io.Discard, w.conn) // until the other side gives up
	}
	return errEnds
}

func (w *wire) send(a Response) error {
	if w.faults.DropResponse {
		return w.end()
	}
	if err := w.plain([]byte(w.faults.JunkBefore)); err != nil {
		return err
	}
	if err := w.part(w.head(a)); err != nil {
		return err
	}
	for _, p := range a.Parts {
		if err := w.part(w.frame(a, p)); err != nil {
			return err
		}
		time.Sleep(a.PartDelay)
	}
	if w.isChunked(a) {
		if err := w.part([]byte("0\r\n\r\n")); err != nil {
			return err
		}
	}
	if w.faults.NoLength || w.faults.Close {
		return errEnds
	}
	rest := w.faults.JunkAfter
	if w.faults.Duplicate == DuplicateImmediately {
		rest += string(w.sent)
	}
	return w.plain([]byte(rest))
}

func (w *wire) isChunked(a Response) bool { return len(a.Parts) > 1 && !w.faults.NoLength }

func (w *wire) head(a Response) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.Status, http.StatusText(a.Status))
	header := a.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	switch {
	case w.faults.NoLength:
	case w.isChunked(a):
		header.Set("Transfer-Encoding", "chunked")
	default:
		header.Set("Content-Length", strconv.Itoa(len(strings.Join(a.Parts, ""))))
	}
	if w.faults.Close {
		header.Set("Connection", "close")
	}
	_ = header.Write(&b) // a buffer takes everything
	b.WriteString("\r\n")
	return b.Bytes()
}

func (w *wire) frame(a Response, part string) []byte {
	if !w.isChunked(a) {
		return []byte(part)
	}
	return fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
}

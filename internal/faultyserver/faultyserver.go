// Package faultyserver is an HTTP/1.1 server for tests that reproduces faulty
// upstreams on the wire: responses that are delayed, split, duplicated, truncated,
// malformed, without a length, or sent before the request has been read.
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

// DuplicateMode says whether and when a response is sent a second time.
type DuplicateMode int

// Values of DuplicateMode.
const (
	NoDuplicate DuplicateMode = iota
	// DuplicateImmediately sends the duplicate right after the response.
	DuplicateImmediately
	// DuplicateBeforeNext sends the duplicate in front of the next response on the
	// connection.
	DuplicateBeforeNext
	// DuplicateAfterDelay sends the duplicate after Faults.DuplicateDelay, while no
	// other response is being written.
	DuplicateAfterDelay
)

// Faults are the faults injected into one response. The zero value injects none.
type Faults struct {
	Duplicate      DuplicateMode
	DuplicateDelay time.Duration // for DuplicateAfterDelay
	// SegmentSize splits the output into writes of at most that many bytes; 0 does
	// not split it. The server waits for SegmentDelay between segments.
	SegmentSize  int
	SegmentDelay time.Duration
	// JunkBefore and JunkAfter are sent before and after the response and belong to
	// no request.
	JunkBefore, JunkAfter string
	// TruncateAfter ends the connection after that many bytes of the response; 0 does
	// not. DropResponse ends it without sending any.
	TruncateAfter int
	DropResponse  bool
	// Reset makes TruncateAfter and DropResponse end the connection with a TCP reset.
	// Stall makes them keep it open and send nothing more.
	Reset bool
	Stall bool
	// NoLength omits the body's length: the end of the connection ends the body.
	NoLength bool
	// Close sends "Connection: close" and closes the connection after the response.
	Close bool
}

// Response is sent in reply to a request.
type Response struct {
	Status int
	Header http.Header
	// Parts make up the body. The server waits for PartDelay after each. A body of
	// more than one part is sent with chunked transfer encoding.
	Parts     []string
	PartDelay time.Duration
	Faults    Faults
}

// Handler returns the response to a request. If it does not read the request body,
// the response is sent first and the body is read and discarded afterwards.
type Handler func(r *http.Request) Response

// Server is a running server.
type Server struct {
	// Addr is the listening address, "IP:PORT".
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

// ResetConnections closes all connections with a TCP reset.
func (s *Server) ResetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		Reset(c)
	}
	clear(s.conns)
}

// Reset closes a connection with a TCP reset.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it Close sends a FIN
	}
	_ = c.Close() // the connection is discarded
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
		_ = c.Close() // it may be closed already
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	var pending []byte     // duplicate of the last response, to be sent before the next
	var writing sync.Mutex // held while a response is written
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		response := s.handler(req)
		out := &responseWriter{conn: c, faults: response.Faults}
		writing.Lock()
		ended := out.writeSegments(pending) != nil || out.send(response) != nil
		writing.Unlock()
		if ended {
			return
		}
		pending = nil
		switch response.Faults.Duplicate {
		case DuplicateBeforeNext:
			pending = out.sent
		case DuplicateAfterDelay:
			time.AfterFunc(response.Faults.DuplicateDelay, func() {
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

// errConnectionEnds reports that the response's faults end the connection.
var errConnectionEnds = fmt.Errorf("connection ended as the response's faults specify")

// responseWriter sends one response with its faults.
type responseWriter struct {
	conn   net.Conn
	faults Faults
	sent   []byte
}

// writeSegments sends bytes unchanged, split into segments of SegmentSize.
func (w *responseWriter) writeSegments(b []byte) error {
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

// writePart sends a part of the response, up to TruncateAfter.
func (w *responseWriter) writePart(b []byte) error {
	ends := w.faults.TruncateAfter > 0 && len(w.sent)+len(b) >= w.faults.TruncateAfter
	if ends {
		b = b[:w.faults.TruncateAfter-len(w.sent)]
	}
	w.sent = append(w.sent, b...)
	if err := w.writeSegments(b); err != nil {
		return err
	}
	if ends {
		return w.endConnection()
	}
	return nil
}

func (w *responseWriter) endConnection() error {
	if w.faults.Reset {
		Reset(w.conn)
	}
	if w.faults.Stall {
		_, _ = io.Copy(io.Discard, w.conn) // until the peer closes the connection
	}
	return errConnectionEnds
}

func (w *responseWriter) send(resp Response) error {
	if w.faults.DropResponse {
		return w.endConnection()
	}
	if err := w.writeSegments([]byte(w.faults.JunkBefore)); err != nil {
		return err
	}
	if err := w.writePart(w.head(resp)); err != nil {
		return err
	}
	for _, p := range resp.Parts {
		if err := w.writePart(w.frame(resp, p)); err != nil {
			return err
		}
		time.Sleep(resp.PartDelay)
	}
	if w.isChunked(resp) {
		if err := w.writePart([]byte("0\r\n\r\n")); err != nil {
			return err
		}
	}
	if w.faults.NoLength || w.faults.Close {
		return errConnectionEnds
	}
	rest := w.faults.JunkAfter
	if w.faults.Duplicate == DuplicateImmediately {
		rest += string(w.sent)
	}
	return w.writeSegments([]byte(rest))
}

func (w *responseWriter) isChunked(resp Response) bool {
	return len(resp.Parts) > 1 && !w.faults.NoLength
}

func (w *responseWriter) head(resp Response) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", resp.Status, http.StatusText(resp.Status))
	header := resp.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	switch {
	case w.faults.NoLength:
	case w.isChunked(resp):
		header.Set("Transfer-Encoding", "chunked")
	default:
		header.Set("Content-Length", strconv.Itoa(len(strings.Join(resp.Parts, ""))))
	}
	if w.faults.Close {
		header.Set("Connection", "close")
	}
	_ = header.Write(&b) // writes to a bytes.Buffer never fail
	b.WriteString("\r\n")
	return b.Bytes()
}

func (w *responseWriter) frame(resp Response, part string) []byte {
	if !w.isChunked(resp) {
		return []byte(part)
	}
	return fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
}

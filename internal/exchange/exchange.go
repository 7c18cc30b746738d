// Package exchange sends requests to upstreams over kept HTTP/1.1 connections.
// Unlike http.Transport it never repeats a request by itself, tells exactly
// whether a byte was sent, matches answers with requests by their id, and keeps
// connections no longer than the upstream announces.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// dialTimeout is several round trips inside a region. A lost packet of the
	// handshake is only sent again after a second.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleLimit is used until an upstream announces its idle timeout.
	defaultIdleLimit = 4 * time.Second
	// idleShare is the part of an announced idle timeout that is used, so that a
	// request does not cross the upstream's close.
	idleShare = 0.7
	// discardTime and discardBytes bound what is read of a body that is not wanted:
	// a new connection costs about as much.
	discardTime  = 20 * time.Millisecond
	discardBytes = 16 << 10
	// maxStrayAnswers bounds the answers to earlier requests that are skipped.
	maxStrayAnswers = 2
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 1 << 20
)

// Request is one request as it goes on the wire.
type Request struct {
	ID     string
	Method string
	// URI is the request target, unchanged from the caller.
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	purpose purpose // forCaller where nothing else is set
}

// purpose is what a request is for; it decides which connections may carry it and
// whether its answer may lack the id.
type purpose int

const (
	// forCaller requests are those of callers. An answer without their id counts only
	// on a connection that has carried nothing else.
	forCaller purpose = iota
	// forChange requests are the router's own. Their answers may lack the id.
	forChange
	// forState requests are the router's own, too, and only read. Their answers may
	// lack the id and tell by themselves how old they are.
	forState
)

// Response is the head of an answer with its body to be read. Close must be
// called; a body that was not read to its end costs the connection.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length int64
	// Delimited is false when only the end of the connection ends the body.
	Delimited bool
	Trace     Trace

	body io.ReadCloser
	conn *conn
	done func(reusable bool)
	ok   bool // the body was read to its end
}

// Error is a failed exchange.
type Error struct {
	// Sent is set when a byte of the request may have reached the upstream.
	Sent bool
	// Malformed is set when the upstream answered with bytes that are no answer.
	Malformed bool
	Trace     Trace
	Err       error
}

// Trace tells how an exchange went, for logs.
type Trace struct {
	// Conn numbers the connection within the pool, 0 without one. Use is how many
	// requests it has carried, this one included.
	Conn     uint64
	ConnUses int
	// Skipped is the number of answers to other requests that were read first.
	Skipped int
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("upstream failed after the request was sent: %v (look for its end or a cut at that time)", e.Err)
	}
	return fmt.Sprintf("upstream not reached: %v (check that it runs and the network to it)", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrMismatchedResponse means that an upstream answered other requests than the one asked.
var ErrMismatchedResponse = errors.New("answer belongs to another request")

// ErrUnidentified means that an answer does not tell which request it belongs to.
var ErrUnidentified = errors.New("answer bears no request's id")

// Send sends a request to addr, "IP:PORT", and reads the head of its answer. On a
// connection that has carried others, the answer has to bear the request's id.
// Errors are of type *Error. Ending ctx closes the connection, also while the
// body is read.
func (p *Pool) Send(ctx context.Context, addr string, req *Request) (*Response, error) {
	c, err := p.take(ctx, addr, req)
	if err != nil {
		return nil, &Error{Err: err}
	}
	before := c.written.Load()
	c.carried[req.ID] = struct{}{}
	trace := Trace{Conn: c.number, ConnUses: c.uses()}
	stop := context.AfterFunc(ctx, func() { _ = c.Conn.Close() }) // unblocks reads and writes
	fail := func(err error, garbled bool) (*Response, error) {
		stop()
		_ = c.Conn.Close() // the exchange has failed already
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: c.written.Load() > before, Malformed: garbled, Trace: trace, Err: err}
	}
	if err := writeRequest(c, req); err != nil {
		return fail(err, false)
	}
	resp, err := p.readHead(c, req, &trace)
	if err != nil {
		return fail(err, c.reader.Buffered() > 0)
	}
	c.learnIdleLimit(resp.Header)
	out := &Response{
		Status:    resp.StatusCode,
		Header:    resp.Header,
		Length:    resp.ContentLength,
		Delimited: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		Trace:     trace,
		body:      resp.Body,
		conn:      c,
	}
	out.done = func(reusable bool) {
		// A stop that comes too late means that the connection was closed.
		if !stop() || !reusable || resp.Close || c.reader.Buffered() > 0 {
			_ = c.Conn.Close() // nothing more is expected on it
			return
		}
		p.put(addr, c)
	}
	return out, nil
}

func writeRequest(c *conn, req *Request) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URI, req.Host)
	if err := req.Header.Write(&head); err != nil {
		return err
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	buffers := net.Buffers{head.Bytes()}
	if len(req.Body) > 0 {
		buffers = append(buffers, req.Body)
	}
	for _, b := range buffers {
		if _, err := c.Write(b); err != nil {
			return err
		}
	}
	return nil
}

// readHead returns the head of the answer to req. Late answers to earlier requests on
// the connection are skipped.
func (p *Pool) readHead(c *conn, req *Request, trace *Trace) (*http.Response, error) {
	for trace.Skipped <= maxStrayAnswers {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // informational
		}
		switch id := resp.Header.Get(p.opts.IDHeader); {
		case id == "" && req.purpose == forCaller && c.uses() > 1:
			return nil, ErrUnidentified
		case id == "":
			c.unnamed = true
			return resp, nil
		case id == req.ID:
			return resp, nil
		}
		trace.Skipped++
		if err := skip(resp); err != nil {
			return nil, err
		}
	}
	return nil, ErrMismatchedResponse
}

func skip(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return ErrMismatchedResponse // its end is the connection's end
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes+1))
	if err != nil {
		return err
	}
	if n > maxStrayBytes {
		return ErrMismatchedResponse
	}
	return nil
}

// Read implements io.Reader. io.EOF means that the body is whole.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) {
		r.ok = true
	}
	return n, err
}

// Discard ends the exchange of an answer whose body is not wanted. A short body that
// is there in time leaves the connection to later exchanges.
func (r *Response) Discard() {
	defer r.Close()
	if !r.Delimited || r.conn.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	// A body that is longer or breaks off costs the connection.
	if _, err := io.Copy(io.Discard, io.LimitReader(r, discardBytes)); err != nil {
		return
	}
	if r.conn.SetReadDeadline(time.Time{}) != nil {
		r.ok = false
	}
}

// Close ends the exchange.
func (r *Response) Close() {
	if r.done == nil {
		return
	}
	r.done(r.ok && r.Delimited)
	r.done = nil
}

// Package exchange sends requests to upstreams over persistent HTTP/1.1 connections.
// An exchange is one request and its response on a connection. Unlike http.Transport,
// the package never retries a request on its own, reports exactly whether any byte was
// sent, matches responses to requests by ID, and keeps idle connections no longer than
// the upstream announces.
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

	"github.com/ragwortdoor/ragwortdoor/internal/memory"
)

const (
	readBufferBytes = 4 << 10
	// maxHeadBytes limits the head of a response, together with the informational
	// responses before it.
	maxHeadBytes = 64 << 10
	// dialTimeout covers several round trips inside a region. TCP retransmits a lost
	// handshake packet only after a second.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is used until an upstream announces its idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction of the announced idle timeout is used, so that a request
	// does not race with the upstream's close.
	idleTimeoutFraction = 0.7
	// discardTimeout and maxDiscardBytes limit the reading of an unwanted body:
	// beyond them, a new connection costs about as much.
	discardTimeout  = 20 * time.Millisecond
	maxDiscardBytes = 16 << 10
	// maxSkippedResponses limits the late responses to earlier requests skipped in one
	// exchange.
	maxSkippedResponses = 2
	// maxSkippedBodyBytes limits the body of a skipped response.
	maxSkippedBodyBytes = 1 << 20
)

// Request is one request as sent to an upstream.
type Request struct {
	ID     string
	Method string
	// URI is the request target, as received from the caller.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Confirm is called once the connection is there, before the first byte is sent; nil for
	// no check. An error leaves the request unsent.
	Confirm func() error
	purpose purpose // purposeCaller if not set
	// key stands for ID in conn.sentIDs. Send sets it.
	key string
}

// purpose decides which connections may carry a request and whether its response may
// lack the request ID.
type purpose int

const (
	// purposeCaller marks callers' requests. A response without the ID is accepted only
	// on a connection that has carried no other request.
	purposeCaller purpose = iota
	// purposeChange marks the router's own requests that change state. Their responses
	// may lack the ID.
	purposeChange
	// purposeStateRead marks the router's own requests that only read state. Their
	// responses may lack the ID, as they state their own age.
	purposeStateRead
)

// Response is the status and header of a response, with the body still to be read.
// Close must be called; if the body was not read to its end, that closes the connection.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Delimited is false if the body extends to the end of the connection.
	Delimited bool
	Trace     Trace

	ctx      context.Context // of the exchange
	body     io.ReadCloser
	conn     *conn
	release  func(reusable bool)
	complete bool // the body was read to its end
}

// Error is a failed exchange.
type Error struct {
	// Sent is set if any byte of the request may have reached the upstream.
	Sent bool
	// Malformed is set if reading the response failed with received bytes left
	// unread, for example because they are not HTTP.
	Malformed bool
	Trace     Trace
	Err       error
}

// Trace describes an exchange for logs.
type Trace struct {
	// Conn is the number of the connection within the pool, 0 if there was none.
	// ConnUses is the number of requests it has carried, including this one.
	Conn     uint64
	ConnUses int
	// Skipped is the number of responses to other requests that were skipped.
	Skipped int
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("upstream failed after the request was sent: %v (check for an upstream crash or a network failure at that time)", e.Err)
	}
	return fmt.Sprintf("upstream not reached: %v (check that it runs and that the network path to it works)", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrMismatchedResponse means that the upstream sent responses to other requests
// instead of this one.
var ErrMismatchedResponse = errors.New("response belongs to another request")

// ErrUnidentified means that a response has no request ID and can't be matched to
// its request.
var ErrUnidentified = errors.New("response has no request ID")

// Send sends a request to addr, "IP:PORT", and reads the status and header of its
// response. On a connection that has carried other requests, the response to a
// caller's request must have the request's ID. Errors are of type *Error.
// Cancelling ctx closes the connection, also while the body is read.
func (p *Pool) Send(ctx context.Context, addr string, req *Request) (*Response, error) {
	req.key = memory.Key(req.ID)
	c, err := p.take(ctx, addr, req)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if req.Confirm != nil {
		if err := req.Confirm(); err != nil {
			p.put(addr, c)
			return nil, &Error{Err: err}
		}
	}
	writtenBefore := c.bytesWritten.Load()
	c.sentIDs[req.key] = struct{}{}
	trace := Trace{Conn: c.number, ConnUses: c.uses()}
	stop := context.AfterFunc(ctx, func() { _ = c.Conn.Close() }) // unblocks reads and writes
	fail := func(err error, malformed bool) (*Response, error) {
		stop()
		_ = c.Conn.Close() // the original error is returned
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Sent: c.bytesWritten.Load() > writtenBefore, Malformed: malformed, Trace: trace, Err: err}
	}
	if err := writeRequest(c, req); err != nil {
		return fail(err, false)
	}
	resp, err := p.readHead(c, req, &trace)
	if err != nil {
		return fail(err, c.reader.Buffered() > 0)
	}
	c.applyKeepAlive(resp.Header)
	out := &Response{
		Status:    resp.StatusCode,
		Header:    resp.Header,
		Length:    resp.ContentLength,
		Delimited: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		Trace:     trace,
		ctx:       ctx,
		body:      resp.Body,
		conn:      c,
	}
	out.release = func(reusable bool) {
		// If stop returns false, ctx is done and the connection was closed.
		if !stop() || !reusable || resp.Close || c.reader.Buffered() > 0 {
			_ = c.Conn.Close() // the connection is not reused
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

// readHead reads the status and header of the response to req. It skips late
// responses to earlier requests on the connection.
func (p *Pool) readHead(c *conn, req *Request, trace *Trace) (*http.Response, error) {
	for trace.Skipped <= maxSkippedResponses {
		resp, err := c.readFinalHead(req.Method)
		if err != nil {
			return nil, err
		}
		switch id := resp.Header.Get(p.opts.IDHeader); {
		case id == "" && req.purpose == purposeCaller && c.uses() > 1:
			return nil, ErrUnidentified
		case id == "":
			c.unidentified = true
			return resp, nil
		case id == req.ID:
			return resp, nil
		}
		trace.Skipped++
		if err := skipBody(resp); err != nil {
			return nil, err
		}
	}
	return nil, ErrMismatchedResponse
}

// minStatus and maxStatus bound the statuses of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// ErrOddStatus means that a response has a status that HTTP does not have.
var ErrOddStatus = errors.New("the response has a status that is not from 100 to 599")

// readFinalHead reads the head of the next response that is not informational.
func (c *conn) readFinalHead(method string) (*http.Response, error) {
	c.headLimit.begin()
	defer c.headLimit.end()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
			return nil, fmt.Errorf("%w: %d", ErrOddStatus, resp.StatusCode)
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
}

func skipBody(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return ErrMismatchedResponse // the body extends to the end of the connection
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes+1))
	if err != nil {
		return err
	}
	if n > maxSkippedBodyBytes {
		return ErrMismatchedResponse
	}
	return nil
}

// Read implements io.Reader. io.EOF means that the body is complete. After a cancellation
// the error is its cause.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		r.complete = true
	case err != nil && r.ctx.Err() != nil:
		err = context.Cause(r.ctx)
	}
	return n, err
}

// Discard ends the exchange without returning the body. The connection is reused if
// the body is short and arrives within discardTimeout.
func (r *Response) Discard() {
	defer r.Close()
	if !r.Delimited || r.conn.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	// If the body is too long, late or truncated, Close closes the connection.
	if _, err := io.Copy(io.Discard, io.LimitReader(r, maxDiscardBytes)); err != nil {
		return
	}
	if r.conn.SetReadDeadline(time.Time{}) != nil {
		r.complete = false
	}
}

// Close ends the exchange and returns the connection to the pool if it can be reused.
func (r *Response) Close() {
	if r.release == nil {
		return
	}
	r.release(r.complete && r.Delimited)
	r.release = nil
}

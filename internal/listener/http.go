package listener

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/memory"
)

const (
	// maxHeaderBytes limits the head of a request; net/http allows 4 KiB more. Deployments
	// allow callers less.
	maxHeaderBytes = 32 << 10
	// headerTimeout limits the time to read a request's head.
	headerTimeout = 10 * time.Second
	// idleTimeout limits how long a connection may stay unused.
	idleTimeout = 2 * time.Minute
	// headerLineBytes is what a header line takes beside its text: about 110 bytes where
	// net/http keeps it, and as much in the copy that is sent to an upstream.
	headerLineBytes = 256
	// readBufferBytes is the size of net/http's read buffer. It may have parts of the next
	// request.
	readBufferBytes = 4 << 10
	// refusalTimeout limits the time to write a refusal, lingerTimeout and lingerBytes what is
	// read after it: a connection that is closed with bytes unread may lose the refusal.
	refusalTimeout = 100 * time.Millisecond
	lingerTimeout  = 500 * time.Millisecond
	lingerBytes    = 256 << 10
)

// Server serves HTTP/1.1 on the connections of a Listener. What is read for a head counts before it
// is parsed, and until the request is over.
type Server struct {
	*http.Server
	listener *Listener
	refusal  []byte
}

// NewServer returns a server for l. refusal is the complete response to a request for whose head there
// is no room; without one, its connection is closed.
func NewServer(l *Listener, handler http.Handler, refusal []byte) *Server {
	s := &Server{listener: l, refusal: refusal}
	s.Server = &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveCounted(handler, w, r) }),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       connContext,
		ConnState:         s.OnState,
	}
	return s
}

// Addr returns the bound address.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve accepts connections until the server or its listener is closed.
func (s *Server) Serve() error {
	err := s.Server.Serve(httpListener{s.listener, s.refusal})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// CloseListener closes the listener, not the connections.
func (s *Server) CloseListener() error { return s.listener.Close() }

// OnState is the ConnState of the server: one that replaces it must call it.
func (s *Server) OnState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*httpConn); ok && state == http.StateIdle {
		conn.endRequest()
	}
}

type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	conn, ok := c.(*httpConn)
	if !ok {
		return ctx
	}
	return memory.WithHold(context.WithValue(ctx, connKey{}, conn), conn.hold)
}

// serveCounted serves a request whose head is complete. While the handler runs, its connection can't
// be made to give way, except where the handler says that it waits for its caller.
func serveCounted(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*httpConn)
	if !ok {
		handler.ServeHTTP(w, r)
		return
	}
	conn.inRequest.Store(true)
	conn.hold.SetAtRest(time.Now(), false)
	defer func() { conn.hold.SetAtRest(time.Now(), true) }() // the response may wait for its caller
	handler.ServeHTTP(w, r)
}

// httpListener counts the heads of requests on the connections that it accepts.
type httpListener struct {
	*Listener
	refusal []byte
}

// Accept implements net.Listener.
func (l httpListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptConn()
	if err != nil {
		return nil, err
	}
	return &httpConn{Conn: conn, refusal: l.refusal}, nil
}

// httpConn counts what net/http keeps of the heads that it reads.
type httpConn struct {
	*Conn
	refusal []byte
	// refused is set once the refusal was written.
	refused atomic.Bool
	// inRequest is set from the end of a head to the end of the response.
	inRequest atomic.Bool
	// buffered is what the last bytes in net/http's buffer take if they are parts of a head.
	buffered atomic.Int64
}

// Read implements net.Conn.
func (c *httpConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		answerPlainHTTP(err)
		return n, err
	}
	taken := int64(n + headerLineBytes*bytes.Count(p[:n], []byte("\n")))
	if len(p) <= readBufferBytes {
		c.buffered.Store(taken)
	}
	if c.inRequest.Load() {
		return n, err
	}
	if noRoom := c.hold.Grow(time.Now(), taken); noRoom != nil {
		c.refuse()
		// net/http responds to other errors.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: noRoom}
	}
	return n, err
}

// plainToTLS is the response to a client that does not use TLS where it has to.
const plainToTLS = "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n"

// answerPlainHTTP responds to a client whose first bytes are no TLS record.
func answerPlainHTTP(err error) {
	var record tls.RecordHeaderError
	if errors.As(err, &record) && record.Conn != nil {
		_, _ = io.WriteString(record.Conn, plainToTLS) // the connection is closed either way
	}
}

// endRequest is called after a response, when the next head may begin.
func (c *httpConn) endRequest() {
	c.hold.Reset(time.Now(), c.base+c.buffered.Load())
	c.inRequest.Store(false)
}

func (c *httpConn) refuse() {
	if len(c.refusal) == 0 {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout)) // fails only if the connection is closed
	_, err := c.Write(c.refusal)
	c.refused.Store(err == nil)
}

// Close implements net.Conn. After a refusal, it leaves the caller time to read it.
func (c *httpConn) Close() error {
	if !c.refused.CompareAndSwap(true, false) {
		return c.Conn.Close()
	}
	c.hold.Reset(time.Now(), c.base)
	go c.linger()
	return nil
}

// linger reads what the caller still sends and closes the connection.
func (c *httpConn) linger() {
	defer func() { _ = c.Conn.Close() }() // the caller may have closed it
	if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // ends at the deadline or with the connection
}

package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	sideClient = "client"
	sideServer = "server"

	keepAliveInterval = 5 * time.Second
	writeTimeout      = 5 * time.Second
	acceptBacklog     = 1024 // streams
)

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.AcceptBacklog = acceptBacklog
	cfg.LogOutput = io.Discard
	return cfg
}

// Session is the dialing end of a connection to one peer.
type Session struct {
	mux  *yamux.Session
	conn *muxConn
}

// Dial connects to the peer at addr, "IP:PORT".
func Dial(ctx context.Context, addr string, creds Credentials) (*Session, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	if creds.Client != nil {
		conn = tls.Client(conn, clientTLSConfig(creds.Client, addr))
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks the handshake
	err = authenticate(conn, creds.Token, sideClient, sideServer)
	if !stop() {
		err = errors.Join(ctx.Err(), err)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("dial %s: %w", addr, err), conn.Close())
	}
	session, err := newSession(conn)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("dial %s: %w", addr, err), conn.Close())
	}
	return session, nil
}

func newSession(conn net.Conn) (*Session, error) {
	tracked := newMuxConn(conn)
	mux, err := yamux.Client(tracked, yamuxConfig())
	if err != nil {
		return nil, err
	}
	return &Session{mux: mux, conn: tracked}, nil
}

// clientTLSConfig sets the server name for certificate verification to the host of
// addr, unless config has one or skips verification.
func clientTLSConfig(config *tls.Config, addr string) *tls.Config {
	if config.ServerName != "" || config.InsecureSkipVerify {
		return config
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return config
	}
	withName := config.Clone()
	withName.ServerName = host
	return withName
}

// Open opens a stream. Nothing reaches the peer before its first Send.
func (s *Session) Open() (*Stream, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, wrapDisconnected("open stream", err)
	}
	return s.conn.newStream(stream), nil
}

// Close closes the session and its streams.
func (s *Session) Close() error { return s.mux.Close() }

// Handler serves one stream and closes it. It must return when ctx is done.
type Handler func(ctx context.Context, stream *Stream)

// Server accepts sessions and serves their streams.
type Server struct {
	listener net.Listener
	creds    Credentials
	handler  Handler

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// Listen binds addr, "IP:PORT". Call Serve to accept sessions.
func Listen(addr string, creds Credentials, handler Handler) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w (stop the process that uses the port, or change \"listen\")", addr, err)
	}
	if creds.Server != nil {
		listener = tls.NewListener(listener, creds.Server)
	}
	return &Server{
		listener: listener,
		creds:    creds,
		handler:  handler,
		sessions: make(map[*yamux.Session]struct{}),
	}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts sessions until ctx is done or Close is called.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() }) // unblocks Accept
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			s.wg.Wait()
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serveConn(ctx, conn)
		}()
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	if err := authenticate(conn, s.creds.Token, sideServer, sideClient); err != nil {
		_ = conn.Close() // the peer reports the failure
		return
	}
	tracked := newMuxConn(conn)
	mux, err := yamux.Server(tracked, yamuxConfig())
	if err != nil {
		_ = conn.Close() // the peer reports the failure
		return
	}
	if !s.track(mux) {
		_ = mux.Close() // the server has been closed
		return
	}
	defer s.untrack(mux)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.serveStreams(ctx, mux, tracked)
}

func (s *Server) serveStreams(ctx context.Context, mux *yamux.Session, conn *muxConn) {
	var streams sync.WaitGroup
	defer streams.Wait()
	defer func() { _ = mux.Close() }() // the session has ended already
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		streams.Add(1)
		go func() {
			defer streams.Done()
			s.handler(ctx, conn.newStream(stream))
		}()
	}
}

func (s *Server) track(mux *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[mux] = struct{}{}
	return true
}

func (s *Server) untrack(mux *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, mux)
}

// Close stops accepting sessions and closes the open ones.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	sessions := make([]*yamux.Session, 0, len(s.sessions))
	for mux := range s.sessions {
		sessions = append(sessions, mux)
	}
	s.mu.Unlock()
	err := s.listener.Close()
	for _, mux := range sessions {
		_ = mux.Close() // the peers see the disconnect either way
	}
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

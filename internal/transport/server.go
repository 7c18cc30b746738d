package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/ragwortdoor/ragwortdoor/internal/listener"
	"github.com/ragwortdoor/ragwortdoor/internal/memory"
)

const (
	// maxStreams limits the open streams of a session; routers open one.
	maxStreams = 16
	// sessionBytes and streamBytes are what a session takes beside its connection, and a
	// stream: goroutines, buffers and queues.
	sessionBytes = 16 << 10
	streamBytes  = 12 << 10
	// establishedShare is the part of the budget that sessions may take which have sent a frame.
	// They don't give way to others.
	establishedShare = 0.5
)

// Handler serves one stream and closes it. It must return when ctx is done.
type Handler func(ctx context.Context, stream *Stream)

// Server accepts sessions and serves their streams.
type Server struct {
	listener *listener.Listener
	creds    Credentials
	handler  Handler
	// maxEstablished limits the sessions that have sent a frame; 0 for no limit.
	maxEstablished int

	mu          sync.Mutex
	sessions    map[*yamux.Session]struct{}
	established int
	closed      bool
	wg          sync.WaitGroup
}

// Listen binds addr, "IP:PORT". Call Serve to accept sessions, for which budget accounts; nil does not
// bound them.
func Listen(addr string, creds Credentials, budget *memory.Budget, handler Handler) (*Server, error) {
	l, err := listener.Listen(addr, budget, creds.Server)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, creds: creds, handler: handler, sessions: make(map[*yamux.Session]struct{})}
	if budget != nil {
		s.maxEstablished = int(establishedShare*float64(budget.Limits().Bytes)) / (listener.ConnBytes + sessionBytes + streamBytes)
	}
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts sessions until ctx is done or Close is called.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() }) // unblocks Accept
	defer stop()
	for {
		conn, err := s.listener.AcceptConn()
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

func (s *Server) serveConn(ctx context.Context, conn *listener.Conn) {
	defer func() { _ = conn.Close() }() // the peer reports the failure
	accounted := &accountedConn{server: s, hold: conn.Hold()}
	if accounted.hold.Grow(time.Now(), sessionBytes) != nil {
		return
	}
	if authenticate(conn, s.creds.Token, sideServer, sideClient) != nil {
		return
	}
	tracked := newMuxConn(conn)
	mux, err := yamux.Server(tracked, yamuxConfig())
	if err != nil {
		return
	}
	if !s.track(mux) {
		_ = mux.Close() // the server has been closed
		return
	}
	defer s.untrack(mux)
	defer accounted.end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.serveStreams(ctx, mux, tracked, accounted)
}

// serveStreams serves the streams of a session until it ends, opens too many, or finds no room for
// one.
func (s *Server) serveStreams(ctx context.Context, mux *yamux.Session, conn *muxConn, accounted *accountedConn) {
	var streams sync.WaitGroup
	defer streams.Wait()
	defer func() { _ = mux.Close() }() // the session may have ended already
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		if mux.NumStreams() > maxStreams || accounted.hold.Grow(time.Now(), streamBytes) != nil {
			return
		}
		streams.Add(1)
		go func() {
			defer streams.Done()
			defer accounted.hold.Shrink(streamBytes)
			s.handler(ctx, conn.newStream(stream, accounted))
		}()
	}
}

// accountedConn is the connection of a session that was accepted.
type accountedConn struct {
	server *Server
	hold   *memory.Hold
	// established belongs to the server's lock.
	established bool
}

// onFrame is called with each frame that was received. It reports false if there are too many
// sessions: this one has to end.
func (c *accountedConn) onFrame() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.established {
		if c.server.maxEstablished > 0 && c.server.established >= c.server.maxEstablished {
			return false
		}
		c.established = true
		c.server.established++
	}
	c.hold.SetAtRest(time.Now(), false)
	return true
}

// end is called when the session has ended.
func (c *accountedConn) end() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.established {
		c.established = false
		c.server.established--
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

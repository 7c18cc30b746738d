package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	sideClient = "client"
	sideServer = "server"

	keepAliveInterval = 5 * time.Second
	writeTimeout      = 5 * time.Second
	acceptBacklog     = maxStreams
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
	return s.conn.newStream(stream, nil), nil
}

// Close closes the session and its streams.
func (s *Session) Close() error { return s.mux.Close() }

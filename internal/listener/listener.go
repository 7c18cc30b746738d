// Package listener accepts connections that a memory.Budget accounts for from their first byte, and
// serves HTTP on them. All listeners of a process share one budget.
package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/ragwortdoor/ragwortdoor/internal/memory"
)

const (
	// ConnBytes is what a connection takes by itself: stacks and buffers.
	ConnBytes = 16 << 10
	// tlsBytes is what TLS takes beside, with the records of a handshake.
	tlsBytes = 48 << 10
	// The pause after a connection could not be accepted begins with minAcceptPause.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Listener accepts connections that find room in its budget and closes the others. It implements
// net.Listener; its connections are of type *Conn.
type Listener struct {
	net.Listener
	budget *memory.Budget
	config *tls.Config
	closed context.Context
	close  context.CancelFunc
}

// Listen binds addr, "IP:PORT". Connections use TLS if config is not nil. Without a budget, nothing
// bounds them.
func Listen(addr string, budget *memory.Budget, config *tls.Config) (*Listener, error) {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w (stop the process that holds the port, or change the address in the settings)", addr, err)
	}
	return New(inner, budget, config), nil
}

// New returns a listener that accepts the connections of inner.
func New(inner net.Listener, budget *memory.Budget, config *tls.Config) *Listener {
	if budget == nil {
		budget = memory.NewBudget(memory.Limits{})
	}
	l := &Listener{Listener: inner, budget: budget, config: config}
	l.closed, l.close = context.WithCancel(context.Background())
	return l
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.close()
	return l.Listener.Close()
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.AcceptConn()
	if err != nil {
		return nil, err // not a nil *Conn
	}
	return c, nil
}

// AcceptConn accepts a connection. It fails only if the listener does: a process that may open no
// further descriptor accepts again once it may.
func (l *Listener) AcceptConn() (*Conn, error) {
	pause := &backoff.ExponentialBackOff{InitialInterval: minAcceptPause, Multiplier: 2, MaxInterval: maxAcceptPause}
	pause.Reset()
	for {
		raw, err := l.Listener.Accept()
		if isTransient(err) {
			l.sleep(pause.NextBackOff())
			continue
		}
		if err != nil {
			return nil, err
		}
		pause.Reset()
		if conn := l.open(raw); conn != nil {
			return conn, nil
		}
		_ = raw.Close() // there is no room for it
	}
}

// isTransient reports whether the listener can accept connections after an error.
func isTransient(err error) bool {
	for _, transient := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

func (l *Listener) sleep(pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-l.closed.Done():
	}
}

// open returns a connection that is accounted for, nil if there is no room.
func (l *Listener) open(raw net.Conn) *Conn {
	conn := &Conn{Conn: raw, base: ConnBytes}
	if l.config != nil {
		conn.Conn = tls.Server(raw, l.config)
		conn.base += tlsBytes
	}
	hold, err := l.budget.Open(time.Now(), conn.base, func() { _ = raw.Close() })
	if err != nil {
		return nil
	}
	conn.hold = hold
	return conn
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	hold *memory.Hold
	// base is what the connection takes by itself, in bytes.
	base int64
}

// Hold returns what accounts for the connection.
func (c *Conn) Hold() *memory.Hold { return c.hold }

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.hold.Close()
	return err
}

// CloseWrite ends the outgoing direction.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

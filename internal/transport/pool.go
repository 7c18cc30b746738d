package transport

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Pool keeps one session for each peer address. Sessions without streams are
// closed after an idle time.
type Pool struct {
	creds Credentials
	idle  time.Duration

	mu     sync.Mutex
	peers  map[string]*poolEntry
	closed bool
}

// poolEntry holds the session to one peer. Its lock serializes dialing, so
// that callers who come at once share one session.
type poolEntry struct {
	mu       sync.Mutex
	session  *Session
	lastUsed time.Time // guarded by mu
}

// dialTimeout bounds how long callers wait on each other's dial.
const dialTimeout = 2 * time.Second

// ErrPoolClosed is returned after Close.
var ErrPoolClosed = errors.New("session pool is closed")

// NewPool makes a pool whose unused sessions end after idle.
func NewPool(creds Credentials, idle time.Duration) *Pool {
	return &Pool{creds: creds, idle: idle, peers: make(map[string]*poolEntry)}
}

// Open starts a stream to the peer at addr, dialing first if need be. Nothing
// has reached the peer's handler until the stream's first Send.
func (p *Pool) Open(ctx context.Context, addr string) (*Stream, error) {
	entry, err := p.entry(addr)
	if err != nil {
		return nil, err
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.lastUsed = time.Now()
	if entry.session != nil {
		if stream, err := entry.session.Open(); err == nil {
			return stream, nil
		}
		_ = entry.session.Close()
		entry.session = nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := Dial(ctx, addr, p.creds)
	if err != nil {
		return nil, err
	}
	entry.session = session
	return session.Open()
}

func (p *Pool) entry(addr string) (*poolEntry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	entry := p.peers[addr]
	if entry == nil {
		entry = &poolEntry{}
		p.peers[addr] = entry
	}
	return entry, nil
}

// Size returns the number of peers with a session.
func (p *Pool) Size() int {
	n := 0
	for _, entry := range p.entries() {
		entry.mu.Lock()
		if entry.session != nil {
			n++
		}
		entry.mu.Unlock()
	}
	return n
}

// CloseIdle ends sessions that have no streams and were not used for the idle
// time.
func (p *Pool) CloseIdle(now time.Time) {
	for _, entry := range p.entries() {
		entry.closeIfIdle(now, p.idle)
	}
}

func (e *poolEntry) closeIfIdle(now time.Time, idle time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session == nil || e.session.Streams() > 0 || now.Sub(e.lastUsed) < idle {
		return
	}
	_ = e.session.Close()
	e.session = nil
}

func (p *Pool) entries() []*poolEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*poolEntry, 0, len(p.peers))
	for _, entry := range p.peers {
		all = append(all, entry)
	}
	return all
}

// Close ends all sessions.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, entry := range p.entries() {
		entry.mu.Lock()
		if entry.session != nil {
			_ = entry.session.Close()
			entry.session = nil
		}
		entry.mu.Unlock()
	}
}

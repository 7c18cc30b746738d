package transport

import (
	"context"
	"errors"
	"fmt"
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
	lock     chan struct{} // holds one value while the entry is locked
	session  *Session
	lastUsed time.Time
	// failed is the error of the last dial, which ended at failedAt.
	failed   error
	failedAt time.Time
}

func newPoolEntry() *poolEntry { return &poolEntry{lock: make(chan struct{}, 1)} }

// acquire locks the entry, unless ctx ends first.
func (e *poolEntry) acquire(ctx context.Context) error {
	select {
	case e.lock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *poolEntry) mustAcquire() { e.lock <- struct{}{} }
func (e *poolEntry) release()     { <-e.lock }

// dialTimeout bounds how long callers wait on each other's dial.
const dialTimeout = 2 * time.Second

// ErrPoolClosed is returned after Close.
var ErrPoolClosed = errors.New("session pool is closed")

// NewPool makes a pool whose unused sessions end after idle.
func NewPool(creds Credentials, idle time.Duration) *Pool {
	return &Pool{creds: creds, idle: idle, peers: make(map[string]*poolEntry)}
}

// Open starts a stream to the peer at addr, dialing first if need be. Nothing
// has reached the peer's handler until the stream's first Send. It returns when
// ctx ends, also while the peer does not read.
func (p *Pool) Open(ctx context.Context, addr string) (*Stream, error) {
	entry, err := p.entry(addr)
	if err != nil {
		return nil, err
	}
	session, err := entry.connect(ctx, addr, p.creds, nil)
	if err != nil {
		return nil, err
	}
	stream, err := openWithin(ctx, session)
	if err == nil || ctx.Err() != nil {
		return stream, err
	}
	session, err = entry.connect(ctx, addr, p.creds, session)
	if err != nil {
		return nil, err
	}
	return openWithin(ctx, session)
}

// connect returns the session to the peer, and a new one in place of broken.
// Callers that waited for a dial that failed share its error instead of dialing
// one after the other.
func (e *poolEntry) connect(ctx context.Context, addr string, creds Credentials, broken *Session) (*Session, error) {
	asked := time.Now()
	if err := e.acquire(ctx); err != nil {
		return nil, err
	}
	defer e.release()
	e.lastUsed = time.Now()
	if e.session != nil && e.session == broken {
		_ = e.session.Close()
		e.session = nil
	}
	if e.session != nil {
		return e.session, nil
	}
	if e.failedAt.After(asked) {
		return nil, e.failed
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := Dial(dialCtx, addr, creds)
	if err != nil && ctx.Err() == nil {
		e.failed = err
		e.failedAt = time.Now()
	}
	if err != nil {
		return nil, err
	}
	e.session = session
	return session, nil
}

// openWithin opens a stream, unless ctx ends first: a peer that does not read
// makes yamux wait.
func openWithin(ctx context.Context, session *Session) (*Stream, error) {
	type result struct {
		stream *Stream
		err    error
	}
	opened := make(chan result, 1)
	go func() {
		stream, err := session.Open()
		opened <- result{stream, err}
	}()
	select {
	case res := <-opened:
		return res.stream, res.err
	case <-ctx.Done():
	}
	go func() {
		if res := <-opened; res.err == nil {
			_ = res.stream.Close()
		}
	}()
	return nil, ctx.Err()
}

// ErrSilent means that a peer gave no sign of life.
var ErrSilent = errors.New("the peer does not answer: check its process and the network to it")

// Probe waits for a sign of life of the peer at addr. When ctx ends first, the
// session to the peer is closed, which cuts its streams. A peer without a
// session is not probed.
func (p *Pool) Probe(ctx context.Context, addr string) error {
	entry, err := p.entry(addr)
	if err != nil {
		return err
	}
	if err := entry.acquire(ctx); err != nil {
		return fmt.Errorf("probe %s: %w", addr, ErrSilent) // a dial takes this long
	}
	session := entry.session
	entry.release()
	if session == nil {
		return nil
	}
	answered := make(chan error, 1)
	go func() {
		_, err := session.mux.Ping()
		answered <- err
	}()
	select {
	case err := <-answered:
		return err
	case <-ctx.Done():
		_ = session.Close()
		return fmt.Errorf("probe %s: %w", addr, ErrSilent)
	}
}

func (p *Pool) entry(addr string) (*poolEntry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	entry := p.peers[addr]
	if entry == nil {
		entry = newPoolEntry()
		p.peers[addr] = entry
	}
	return entry, nil
}

// Size returns the number of peers with a session.
func (p *Pool) Size() int {
	n := 0
	for _, entry := range p.entries() {
		entry.mustAcquire()
		if entry.session != nil {
			n++
		}
		entry.release()
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
	e.mustAcquire()
	defer e.release()
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
		entry.mustAcquire()
		if entry.session != nil {
			_ = entry.session.Close()
			entry.session = nil
		}
		entry.release()
	}
}

package exchange

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Options configure a Pool.
type Options struct {
	// IDHeader names the header that carries the request ID and that upstreams echo
	// in the response.
	IDHeader string
}

// Pool keeps idle connections to upstreams by address. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu   sync.Mutex
	idle map[string][]*conn

	stats counters
}

type counters struct{ dials, reuses, dialFailures atomic.Uint64 }

// Stats counts a pool's new connections, reused connections and failed dials.
type Stats struct{ Dials, Reuses, DialFailures uint64 }

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	return &Pool{opts: opts, idle: make(map[string][]*conn)}
}

// Stats returns the counters.
func (p *Pool) Stats() Stats {
	return Stats{Dials: p.stats.dials.Load(), Reuses: p.stats.reuses.Load(), DialFailures: p.stats.dialFailures.Load()}
}

// take returns the most recently used idle connection that may carry req, or a new
// connection.
func (p *Pool) take(ctx context.Context, addr string, req *Request) (*conn, error) {
	for {
		c := p.pop(addr, req)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if time.Since(c.idleSince) < c.idleTimeout && c.isUsable() {
			p.stats.reuses.Add(1)
			return c, nil
		}
		_ = c.Conn.Close() // the connection is discarded
	}
}

func (p *Pool) pop(addr string, req *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	found := -1
	for i, c := range list {
		// Prefer a connection that only state reads may use, to leave the others free.
		if c.mayCarry(req) && (found < 0 || !list[found].unidentified) {
			found = i
		}
	}
	if found < 0 {
		return nil
	}
	c := list[found]
	p.idle[addr] = slices.Delete(list, found, found+1)
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.stats.dialFailures.Add(1)
		return nil, err
	}
	return newConn(c, p.stats.dials.Add(1)), nil
}

// put keeps a connection for later exchanges, unless it has reached maxConnUses. Of the
// connections that only state reads may use, it keeps one per address.
func (p *Pool) put(addr string, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	hasUnidentified := slices.ContainsFunc(p.idle[addr], func(other *conn) bool { return other.unidentified })
	if c.uses() >= maxConnUses || c.unidentified && hasUnidentified {
		_ = c.Conn.Close() // the connection is discarded
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// Sweep closes connections that have been idle for longer than their idle timeout.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			_ = c.Conn.Close() // the connection is discarded
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

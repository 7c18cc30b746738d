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
	// IDHeader is the header in which upstreams repeat a request's id.
	IDHeader string
}

// Pool keeps connections to upstreams by address.
type Pool struct {
	opts Options

	mu   sync.Mutex
	idle map[string][]*conn

	stats counters
}

type counters struct{ dials, reuses, failures atomic.Uint64 }

// Stats counts what a pool did since its start.
type Stats struct{ Dials, Reuses, DialFailures uint64 }

// NewPool makes an empty pool.
func NewPool(opts Options) *Pool {
	return &Pool{opts: opts, idle: make(map[string][]*conn)}
}

// Stats returns the counters.
func (p *Pool) Stats() Stats {
	return Stats{Dials: p.stats.dials.Load(), Reuses: p.stats.reuses.Load(), DialFailures: p.stats.failures.Load()}
}

// take returns the idle connection that was used last and may carry req, or a new
// one.
func (p *Pool) take(ctx context.Context, addr string, req *Request) (*conn, error) {
	for {
		c := p.pop(addr, req)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if time.Since(c.idleSince) < c.idleLimit && c.isQuiet() {
			p.stats.reuses.Add(1)
			return c, nil
		}
		_ = c.Conn.Close() // nothing is expected on it
	}
}

func (p *Pool) pop(addr string, req *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	found := -1
	for i, c := range list {
		// Reads leave connections that others can use alone.
		if c.mayCarry(req) && (found < 0 || !list[found].unnamed) {
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
		p.stats.failures.Add(1)
		return nil, err
	}
	return newConn(c, p.stats.dials.Add(1)), nil
}

// put keeps a connection for later exchanges, unless it has carried enough. One
// for reads of state is enough for an address.
func (p *Pool) put(addr string, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	hasUnnamed := slices.ContainsFunc(p.idle[addr], func(other *conn) bool { return other.unnamed })
	if c.uses() >= maxUses || c.unnamed && hasUnnamed {
		_ = c.Conn.Close() // nothing is expected on it
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// Sweep closes idle connections whose time is over.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
				continue
			}
			_ = c.Conn.Close() // idle
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

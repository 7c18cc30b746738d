package exchange

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxIdlePerAddr limits the idle connections to one upstream: requests with the same id never share a
// connection, so that a caller who repeats one opens many.
const maxIdlePerAddr = 64

// Options configure a Pool.
type Options struct {
	// IDHeader names the header that carries the request ID and that upstreams echo
	// in the response.
	IDHeader string
}

// Pool keeps idle connections to upstreams by address. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu sync.Mutex
	// idle has the idle connections by address, each list in the order in which they became
	// idle, and idleCount is their number.
	idle      map[string][]*conn
	idleCount int
	// maxIdle limits idleCount; nil for no limit.
	maxIdle func() int

	stats counters
}

type counters struct{ dials, reuses, dialFailures atomic.Uint64 }

// Stats counts a pool's new connections, reused connections and failed dials.
type Stats struct{ Dials, Reuses, DialFailures uint64 }

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	return &Pool{opts: opts, idle: make(map[string][]*conn)}
}

// SetMaxIdle limits the idle connections to all upstreams together to what limit returns at the time:
// beyond that, those that have been idle longest are closed.
func (p *Pool) SetMaxIdle(limit func() int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = limit
}

// closeExcess closes the idle connections beyond the limit.
func (p *Pool) closeExcess() {
	if p.maxIdle == nil {
		return
	}
	for limit := max(0, p.maxIdle()); p.idleCount > limit; {
		oldest := ""
		for addr, list := range p.idle {
			if oldest == "" || list[0].idleSince.Before(p.idle[oldest][0].idleSince) {
				oldest = addr
			}
		}
		_ = p.remove(oldest, 0).Conn.Close() // the connection is discarded
	}
}

// remove takes an idle connection out of the pool.
func (p *Pool) remove(addr string, i int) *conn {
	list := p.idle[addr]
	c := list[i]
	p.idleCount--
	if p.idle[addr] = slices.Delete(list, i, i+1); len(p.idle[addr]) == 0 {
		delete(p.idle, addr)
	}
	return c
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
	return p.remove(addr, found)
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
	p.idleCount++
	if len(p.idle[addr]) > maxIdlePerAddr {
		_ = p.remove(addr, 0).Conn.Close() // the connection is discarded
	}
	p.closeExcess()
}

// Sweep closes connections that have been idle for longer than their idle timeout, or that exceed the
// limit of idle ones.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.closeExcess()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			_ = c.Conn.Close() // the connection is discarded
			p.idleCount--
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stallAfter is the time without a frame after which a host is probed.
	stallAfter = time.Second
	// probeTimeout is the time in which a host must answer a probe.
	probeTimeout = 1500 * time.Millisecond
	stallPeriod  = 250 * time.Millisecond
)

// activity is one stream that waits for frames of a host.
type activity struct {
	host    string
	address string
	last    atomic.Int64 // time of the last frame, Unix nanoseconds
}

func (a *activity) touch(now time.Time) { a.last.Store(now.UnixNano()) }

// stalls finds hosts that are frozen or cut off while requests wait for them. A
// request may wait long for a load or an engine; its sidecar answers probes
// nevertheless.
type stalls struct {
	active  sync.Map // *activity -> struct{}
	probing sync.Map // address -> struct{}
}

// begin notes a stream that waits for frames; end it with end.
func (s *stalls) begin(host, address string, now time.Time) *activity {
	a := &activity{host: host, address: address}
	a.touch(now)
	s.active.Store(a, struct{}{})
	return a
}

func (s *stalls) end(a *activity) { s.active.Delete(a) }

// silent lists the hosts of streams without a frame since before, by address.
func (s *stalls) silent(before time.Time) map[string]string {
	hosts := make(map[string]string)
	s.active.Range(func(key, _ any) bool {
		a := key.(*activity)
		if a.last.Load() < before.UnixNano() {
			hosts[a.address] = a.host
		}
		return true
	})
	return hosts
}

// runStalls probes the hosts of silent streams until ctx is done.
func (r *Router) runStalls(ctx context.Context) error {
	ticker := time.NewTicker(stallPeriod)
	defer ticker.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for address, host := range r.stalls.silent(r.opts.Now().Add(-stallAfter)) {
			if _, running := r.stalls.probing.LoadOrStore(address, struct{}{}); !running {
				probes.Go(func() { r.probe(ctx, host, address) })
			}
		}
	}
}

// probe asks a host for a sign of life. Without one its session is closed: the
// streams are cut and their requests tried elsewhere.
func (r *Router) probe(ctx context.Context, host, address string) {
	defer r.stalls.probing.Delete(address)
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := r.opts.Pool.Probe(probeCtx, address)
	if err != nil && ctx.Err() == nil {
		r.opts.Log.Warn("host does not answer", "host", host, "err", err)
		r.hosts.unreachable(host, r.opts.Now())
		return
	}
	// The next probe of a host that is alive is not due yet.
	timer := time.NewTimer(stallAfter)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

package pace

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// unknownRouters is the number of routers that a router assumes that no scheduler has told.
	unknownRouters = 16
	// Orders, and apart from them reads of inventories, are limited at a limited upstream: how
	// many at once, how many each second, and how many more for each request of its limit.
	orderBurst       = 2
	ordersPerSecond  = 0.15
	reportBurst      = 1
	reportsPerSecond = 0.1
	controlShare     = 0.25
)

// controlLimiters limit the orders and reads of inventories at an upstream. Each has its own, so
// that reads, which are repeated, leave something for the order that they are about.
type controlLimiters struct{ orders, reports *rate.Limiter }

// Router is what one router knows about limits, and its share of them while no scheduler is
// connected. It is safe for concurrent use.
type Router struct {
	host string
	// limited is the number of limited upstreams, so that requests need no lock without any.
	limited atomic.Int32

	mu   sync.Mutex
	book *Book
	// shares are those that a scheduler assigned, by upstream; routers is the number of routers
	// that it knew, 0 before.
	shares  map[string]float64
	routers int
	alone   *pacer
	control map[string]controlLimiters
	// heldUntil is when the scheduler is asked again for a request to an upstream that is not
	// the only one.
	heldUntil map[string]time.Time
}

// NewRouter returns a router that knows of no limit.
func NewRouter(host string) *Router {
	return &Router{host: host, book: NewBook(), alone: newPacer(useAlone), shares: make(map[string]float64), control: make(map[string]controlLimiters), heldUntil: make(map[string]time.Time)}
}

// Note takes in a limit that this router heard or was told. It reports whether that changed
// what it knows.
func (r *Router) Note(now time.Time, limit Limit) bool {
	if limit.Kind == Unlimited && r.limited.Load() == 0 {
		return false // nearly all responses
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.book.Note(limit) {
		return false
	}
	r.update(now, limit.UpstreamID)
	return true
}

// SetShares takes in the shares that a scheduler assigned to this router, by upstream. routers is
// the number of routers that it knows.
func (r *Router) SetShares(now time.Time, routers int, shares map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routers = routers
	for id, share := range shares {
		r.shares[id] = share
		r.update(now, id)
	}
}

// update adapts the rates of an upstream to its limit.
func (r *Router) update(now time.Time, id string) {
	limit, limited := r.book.Of(id)
	if !limited {
		r.alone.drop(id)
		delete(r.control, id)
		delete(r.heldUntil, id)
	} else {
		r.alone.set(now, id, r.share(limit))
		control, ok := r.control[id]
		if !ok {
			control = controlLimiters{rate.NewLimiter(0, orderBurst), rate.NewLimiter(0, reportBurst)}
			r.control[id] = control
		}
		control.orders.SetLimitAt(now, rate.Limit(ordersPerSecond+controlShare*limit.PerSecond))
		control.reports.SetLimitAt(now, rate.Limit(reportsPerSecond+controlShare*limit.PerSecond))
	}
	r.limited.Store(int32(len(r.control)))
}

// share returns this router's part of a limit, which may have fallen since it was assigned.
func (r *Router) share(limit Limit) float64 {
	if share, ok := r.shares[limit.UpstreamID]; ok {
		return min(share, limit.PerSecond)
	}
	return ownShare(limit.UpstreamID, r.host, limit.PerSecond, r.knownRouters())
}

func (r *Router) knownRouters() int {
	if r.routers > 0 {
		return r.routers
	}
	return unknownRouters
}

// Limits returns what is known of the limits, those that have ended included.
func (r *Router) Limits() []Limit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.All()
}

// IsLimited reports whether an upstream has a limit.
func (r *Router) IsLimited(id string) bool {
	if r.limited.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, limited := r.book.Of(id)
	return limited
}

// TakeAlone counts a request that is sent without a scheduler. It reports false if this router's
// share of the limit allows none.
func (r *Router) TakeAlone(now time.Time, id string) bool {
	if r.limited.Load() == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	limit, limited := r.book.Of(id)
	if !limited {
		return true
	}
	return r.share(limit) > 0 && r.alone.take(now, id)
}

// AllowOrder counts an order. It reports false if the upstream has a limit and had many of them.
func (r *Router) AllowOrder(now time.Time, id string) bool {
	return r.allowControl(now, id, func(c controlLimiters) *rate.Limiter { return c.orders })
}

// AllowReport is AllowOrder for a read of an inventory.
func (r *Router) AllowReport(now time.Time, id string) bool {
	return r.allowControl(now, id, func(c controlLimiters) *rate.Limiter { return c.reports })
}

func (r *Router) allowControl(now time.Time, id string, of func(controlLimiters) *rate.Limiter) bool {
	if r.limited.Load() == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	control, limited := r.control[id]
	return !limited || of(control).AllowN(now, 1)
}

// Hold keeps this router from asking for requests to an upstream for a while.
func (r *Router) Hold(now time.Time, id string, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, limited := r.control[id]; limited {
		r.heldUntil[id] = now.Add(length)
	}
}

// IsHeld reports whether Hold applies to an upstream.
func (r *Router) IsHeld(now time.Time, id string) bool {
	if r.limited.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.heldUntil[id])
}

// Prune forgets limits that were heard long ago.
func (r *Router) Prune(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.Prune(now)
	for id := range r.control {
		r.update(now, id)
	}
	for id := range r.shares {
		if _, limited := r.book.Of(id); !limited {
			delete(r.shares, id)
		}
	}
}

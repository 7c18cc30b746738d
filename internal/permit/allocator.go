// Package permit limits the loads that sidecars run from the weight store.
package permit

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits bound the loads from the weight store over all hosts.
type Limits struct {
	// Parallel is the number of loads at the same time; 0 means no limit.
	Parallel int
	// PerSecond is the number of loads started per second; 0 means no limit.
	PerSecond float64
}

// Options configure an Allocator.
type Options struct {
	Limits Limits
	// AgeStep is the waiting time that raises a request by one priority step;
	// 0 means that requests do not age.
	AgeStep time.Duration
	// Expiry bounds how long a permit counts without a Done.
	Expiry time.Duration
	// LostExpiry bounds how long a permit counts after its host was lost.
	LostExpiry time.Duration
	// Handover is how long a new allocator allows for permits that an earlier
	// allocator granted.
	Handover time.Duration
}

// DefaultHandover is the Handover of DefaultOptions.
const DefaultHandover = 5 * time.Second

// DefaultOptions returns the options that routers use.
func DefaultOptions(limits Limits) Options {
	return Options{
		Limits:     limits,
		AgeStep:    2 * time.Second,
		Expiry:     2 * time.Minute,
		LostExpiry: 30 * time.Second,
		Handover:   DefaultHandover,
	}
}

// Request asks for one load.
type Request struct {
	Host string
	// ID is unique among the requests of a host's boot.
	ID       uint64
	Model    string
	Priority uint32
}

// Grant allows the load of a request.
type Grant struct {
	Host string
	ID   uint64
	// Behind counts the loads that were granted while the request waited.
	Behind uint32
}

// requestKey identifies a request.
type requestKey struct {
	host string
	id   uint64
}

// waiting is a queued request.
type waiting struct {
	request Request
	since   time.Time
	// grantedBefore is the allocator's grant count when the request came.
	grantedBefore uint64
}

// running is a permit that counts against Parallel.
type running struct {
	expires time.Time
	behind  uint32
}

// Allocator grants permits. It is pure and not safe for concurrent use.
type Allocator struct {
	opts    Options
	limiter *rate.Limiter
	queue   []waiting
	running map[requestKey]running
	// orphans are the expiry times of permits whose host was lost, or that an
	// earlier allocator may have granted.
	orphans []time.Time
	// repeats are running requests whose permit must be sent again.
	repeats []requestKey
	granted uint64
}

// burst is the number of starts that may happen at one moment.
const burst = 1

// NewAllocator makes an allocator that starts at now. It counts as many permits as an
// earlier allocator may have left, and drops them one by one over opts.Handover.
func NewAllocator(now time.Time, opts Options) *Allocator {
	a := &Allocator{
		opts:    opts,
		limiter: rate.NewLimiter(startRate(opts.Limits), burst),
		running: make(map[requestKey]running),
	}
	a.limiter.AllowN(now, burst)
	parallel := opts.Limits.Parallel
	for i := range parallel {
		share := opts.Handover * time.Duration(i+1) / time.Duration(parallel)
		a.orphans = append(a.orphans, now.Add(share))
	}
	return a
}

func startRate(limits Limits) rate.Limit {
	if limits.PerSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(limits.PerSecond)
}

// SetLimits changes the limits; loads that run are not affected.
func (a *Allocator) SetLimits(now time.Time, limits Limits) {
	if limits == a.opts.Limits {
		return
	}
	a.opts.Limits = limits
	a.limiter.SetLimitAt(now, startRate(limits))
}

// Request queues a request. A repeated one that waits keeps its place and takes
// the higher of its priorities; the permit of a repeated one that runs is sent
// again.
func (a *Allocator) Request(now time.Time, r Request) {
	key := requestKey{r.Host, r.ID}
	if _, ok := a.running[key]; ok {
		a.repeats = append(a.repeats, key)
		return
	}
	for i := range a.queue {
		w := &a.queue[i].request
		if w.Host == r.Host && w.ID == r.ID {
			w.Priority = max(w.Priority, r.Priority)
			return
		}
	}
	a.queue = append(a.queue, waiting{request: r, since: now, grantedBefore: a.granted})
}

// Done ends a load or withdraws a request; unknown ones are ignored.
func (a *Allocator) Done(host string, id uint64) {
	delete(a.running, requestKey{host, id})
	a.unqueue(func(r Request) bool { return r.Host == host && r.ID == id })
}

// Lost forgets the waiting requests of a host whose session has ended. Its
// permits count until LostExpiry, as the loads may still run.
func (a *Allocator) Lost(now time.Time, host string) {
	a.unqueue(func(r Request) bool { return r.Host == host })
	for key, run := range a.running {
		if key.host != host {
			continue
		}
		delete(a.running, key)
		expires := now.Add(a.opts.LostExpiry)
		if run.expires.Before(expires) {
			expires = run.expires
		}
		a.orphans = append(a.orphans, expires)
	}
}

func (a *Allocator) unqueue(drop func(Request) bool) {
	kept := a.queue[:0]
	for _, w := range a.queue {
		if !drop(w.request) {
			kept = append(kept, w)
		}
	}
	clear(a.queue[len(kept):])
	a.queue = kept
}

// Tick expires old permits and returns those that can be granted at now.
func (a *Allocator) Tick(now time.Time) []Grant {
	a.expire(now)
	grants := a.takeRepeats()
	for len(a.queue) > 0 && a.hasRoom() && a.limiter.AllowN(now, 1) {
		grants = append(grants, a.grant(now, a.next(now)))
	}
	return grants
}

func (a *Allocator) expire(now time.Time) {
	for key, run := range a.running {
		if !now.Before(run.expires) {
			delete(a.running, key)
		}
	}
	kept := a.orphans[:0]
	for _, expires := range a.orphans {
		if now.Before(expires) {
			kept = append(kept, expires)
		}
	}
	a.orphans = kept
}

func (a *Allocator) takeRepeats() []Grant {
	var grants []Grant
	for _, key := range a.repeats {
		if run, ok := a.running[key]; ok {
			grants = append(grants, Grant{Host: key.host, ID: key.id, Behind: run.behind})
		}
	}
	a.repeats = a.repeats[:0]
	return grants
}

func (a *Allocator) hasRoom() bool {
	return a.opts.Limits.Parallel <= 0 || a.Running() < a.opts.Limits.Parallel
}

// next returns the index of the waiting request with the highest priority;
// among equals the oldest.
func (a *Allocator) next(now time.Time) int {
	best := 0
	for i := 1; i < len(a.queue); i++ {
		if a.priority(now, a.queue[i]) > a.priority(now, a.queue[best]) {
			best = i
		}
	}
	return best
}

// priority is the request's own priority plus one for each AgeStep waited.
func (a *Allocator) priority(now time.Time, w waiting) int64 {
	p := int64(w.request.Priority)
	if a.opts.AgeStep > 0 {
		p += int64(now.Sub(w.since) / a.opts.AgeStep)
	}
	return p
}

func (a *Allocator) grant(now time.Time, i int) Grant {
	w := a.queue[i]
	a.queue = append(a.queue[:i], a.queue[i+1:]...)
	behind := uint32(a.granted - w.grantedBefore)
	a.granted++
	key := requestKey{w.request.Host, w.request.ID}
	a.running[key] = running{expires: now.Add(a.opts.Expiry), behind: behind}
	return Grant{Host: key.host, ID: key.id, Behind: behind}
}

// Running returns the number of permits that count against the limit.
func (a *Allocator) Running() int { return len(a.running) + len(a.orphans) }

// Waiting returns the number of queued requests.
func (a *Allocator) Waiting() int { return len(a.queue) }

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

// Options configure a Keeper.
type Options struct {
	Limits Limits
	// AgeStep is the waiting time that raises a request by one priority step;
	// 0 means that requests do not age.
	AgeStep time.Duration
	// Expiry bounds how long a permit counts without a Done.
	Expiry time.Duration
	// LostExpiry bounds how long a permit counts after its host was lost.
	LostExpiry time.Duration
	// Handover is how long a new keeper allows for permits that an earlier
	// keeper granted.
	Handover time.Duration
}

// DefaultOptions returns the options used in production, without limits.
func DefaultOptions() Options {
	return Options{
		AgeStep:    2 * time.Second,
		Expiry:     5 * time.Minute,
		LostExpiry: 20 * time.Second,
		Handover:   2 * time.Second,
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
	// grantedBefore is the keeper's grant count when the request came.
	grantedBefore uint64
}

// running is a permit that counts against Parallel.
type running struct {
	expires time.Time
	behind  uint32
}

// Keeper grants permits. It is pure and not safe for concurrent use.
type Keeper struct {
	opts    Options
	limiter *rate.Limiter
	queue   []waiting
	running map[requestKey]running
	// orphans are the expiry times of permits whose host was lost, or that an
	// earlier keeper may have granted.
	orphans []time.Time
	// repeats are running requests whose permit must be sent again.
	repeats []requestKey
	granted uint64
}

// burst is the number of starts that may happen at one moment.
const burst = 1

// NewKeeper makes a keeper that starts at now. It counts as many permits as an
// earlier keeper may have left, and drops them one by one over opts.Handover.
func NewKeeper(now time.Time, opts Options) *Keeper {
	k := &Keeper{
		opts:    opts,
		limiter: rate.NewLimiter(startRate(opts.Limits), burst),
		running: make(map[requestKey]running),
	}
	k.limiter.AllowN(now, burst)
	parallel := opts.Limits.Parallel
	for i := range parallel {
		share := opts.Handover * time.Duration(i+1) / time.Duration(parallel)
		k.orphans = append(k.orphans, now.Add(share))
	}
	return k
}

func startRate(limits Limits) rate.Limit {
	if limits.PerSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(limits.PerSecond)
}

// SetLimits changes the limits; loads that run are not affected.
func (k *Keeper) SetLimits(now time.Time, limits Limits) {
	if limits == k.opts.Limits {
		return
	}
	k.opts.Limits = limits
	k.limiter.SetLimitAt(now, startRate(limits))
}

// Request queues a request. A repeated one that waits keeps its place and takes
// the higher of its priorities; the permit of a repeated one that runs is sent
// again.
func (k *Keeper) Request(now time.Time, r Request) {
	key := requestKey{r.Host, r.ID}
	if _, ok := k.running[key]; ok {
		k.repeats = append(k.repeats, key)
		return
	}
	for i := range k.queue {
		w := &k.queue[i].request
		if w.Host == r.Host && w.ID == r.ID {
			w.Priority = max(w.Priority, r.Priority)
			return
		}
	}
	k.queue = append(k.queue, waiting{request: r, since: now, grantedBefore: k.granted})
}

// Done ends a load or withdraws a request; unknown ones are ignored.
func (k *Keeper) Done(host string, id uint64) {
	delete(k.running, requestKey{host, id})
	k.unqueue(func(r Request) bool { return r.Host == host && r.ID == id })
}

// Lost forgets the waiting requests of a host whose session has ended. Its
// permits count until LostExpiry, as the loads may still run.
func (k *Keeper) Lost(now time.Time, host string) {
	k.unqueue(func(r Request) bool { return r.Host == host })
	for key, run := range k.running {
		if key.host != host {
			continue
		}
		delete(k.running, key)
		expires := now.Add(k.opts.LostExpiry)
		if run.expires.Before(expires) {
			expires = run.expires
		}
		k.orphans = append(k.orphans, expires)
	}
}

func (k *Keeper) unqueue(drop func(Request) bool) {
	kept := k.queue[:0]
	for _, w := range k.queue {
		if !drop(w.request) {
			kept = append(kept, w)
		}
	}
	clear(k.queue[len(kept):])
	k.queue = kept
}

// Tick expires old permits and returns those that can be granted at now.
func (k *Keeper) Tick(now time.Time) []Grant {
	k.expire(now)
	grants := k.takeRepeats()
	for len(k.queue) > 0 && k.hasRoom() && k.limiter.AllowN(now, 1) {
		grants = append(grants, k.grant(now, k.next(now)))
	}
	return grants
}

func (k *Keeper) expire(now time.Time) {
	for key, run := range k.running {
		if !now.Before(run.expires) {
			delete(k.running, key)
		}
	}
	kept := k.orphans[:0]
	for _, expires := range k.orphans {
		if now.Before(expires) {
			kept = append(kept, expires)
		}
	}
	k.orphans = kept
}

func (k *Keeper) takeRepeats() []Grant {
	var grants []Grant
	for _, key := range k.repeats {
		if run, ok := k.running[key]; ok {
			grants = append(grants, Grant{Host: key.host, ID: key.id, Behind: run.behind})
		}
	}
	k.repeats = k.repeats[:0]
	return grants
}

func (k *Keeper) hasRoom() bool {
	return k.opts.Limits.Parallel <= 0 || k.Running() < k.opts.Limits.Parallel
}

// next returns the index of the waiting request with the highest priority;
// among equals the oldest.
func (k *Keeper) next(now time.Time) int {
	best := 0
	for i := 1; i < len(k.queue); i++ {
		if k.priority(now, k.queue[i]) > k.priority(now, k.queue[best]) {
			best = i
		}
	}
	return best
}

// priority is the request's own priority plus one for each AgeStep waited.
func (k *Keeper) priority(now time.Time, w waiting) int64 {
	p := int64(w.request.Priority)
	if k.opts.AgeStep > 0 {
		p += int64(now.Sub(w.since) / k.opts.AgeStep)
	}
	return p
}

func (k *Keeper) grant(now time.Time, i int) Grant {
	w := k.queue[i]
	k.queue = append(k.queue[:i], k.queue[i+1:]...)
	behind := uint32(k.granted - w.grantedBefore)
	k.granted++
	key := requestKey{w.request.Host, w.request.ID}
	k.running[key] = running{expires: now.Add(k.opts.Expiry), behind: behind}
	return Grant{Host: key.host, ID: key.id, Behind: behind}
}

// Running returns the number of permits that count against the limit.
func (k *Keeper) Running() int { return len(k.running) + len(k.orphans) }

// Waiting returns the number of queued requests.
func (k *Keeper) Waiting() int { return len(k.queue) }

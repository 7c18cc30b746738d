package decider

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/placement"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// Limits of the calls to sidecars.
const (
	maxReleaseCalls = 64
	// releaseTimeout is longer than a live sidecar waits for running requests
	// before it answers that the slot is not released yet.
	releaseTimeout     = 35 * time.Second
	releaseRetryFirst  = 250 * time.Millisecond
	releaseRetryLimit  = 5 * time.Second
	releaseRetryFactor = 2
)

// release is one slot that a sidecar is asked to give up.
type release struct {
	host string
	// running is true while a call is out.
	running   bool
	confirmed bool
	// next is when the sidecar is asked again.
	next  time.Time
	retry *backoff.ExponentialBackOff
}

// releaser asks sidecars for releases in the background and keeps what they
// confirmed.
type releaser struct {
	sidecars Sidecars
	stats    *counters
	now      func() time.Time
	// spawn starts a call; tests run it in place.
	spawn func(func())
	calls sync.WaitGroup

	mu      sync.Mutex
	running int
	// runningOn counts the calls that are out to each host.
	runningOn map[string]int
	releases  map[placement.SlotID]*release
	// silent holds the hosts whose last call was not answered.
	silent map[string]bool
}

func newReleaser(sidecars Sidecars, stats *counters, now func() time.Time) *releaser {
	r := &releaser{
		sidecars:  sidecars,
		stats:     stats,
		now:       now,
		runningOn: make(map[string]int),
		releases:  make(map[placement.SlotID]*release),
		silent:    make(map[string]bool),
	}
	r.spawn = r.calls.Go
	return r
}

// wait returns once no call is out.
func (r *releaser) wait() { r.calls.Wait() }

// ask starts the calls that are due for the releasing slots and forgets all
// others. Hosts that are not listed are not asked.
func (r *releaser) ask(ctx context.Context, releasing []view.Slot, hosts map[string]external.Host) {
	for _, slot := range r.due(releasing, hosts) {
		r.spawn(func() { r.call(ctx, slot) })
	}
}

func (r *releaser) due(releasing []view.Slot, hosts map[string]external.Host) []view.Slot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(releasing, hosts)
	var due []view.Slot
	stranded := uint64(0)
	for _, slot := range releasing {
		host := slot.Row.GetHost()
		rel := r.release(slot)
		_, listed := hosts[host]
		if !rel.confirmed && (!listed || r.silent[host]) {
			stranded++
		}
		if listed && r.mayCall(rel) {
			rel.running = true
			r.running++
			r.runningOn[host]++
			due = append(due, slot)
		}
	}
	r.stats.stranded.Store(stranded)
	return due
}

// mayCall reports whether a call is due and within the limits. A silent host
// gets one call at a time, so that it can't hold up the others.
func (r *releaser) mayCall(rel *release) bool {
	if rel.confirmed || rel.running || r.running >= maxReleaseCalls {
		return false
	}
	if r.silent[rel.host] && r.runningOn[rel.host] > 0 {
		return false
	}
	return !r.now().Before(rel.next)
}

// prune forgets releases that have ended and hosts that have none left.
func (r *releaser) prune(releasing []view.Slot, hosts map[string]external.Host) {
	kept := make(map[placement.SlotID]bool, len(releasing))
	asked := make(map[string]bool, len(releasing))
	for _, slot := range releasing {
		kept[placement.IDOf(slot)] = true
		_, listed := hosts[slot.Row.GetHost()]
		asked[slot.Row.GetHost()] = listed
	}
	for id, rel := range r.releases {
		if !kept[id] && !rel.running {
			delete(r.releases, id)
		}
	}
	for host := range r.silent {
		if !asked[host] {
			delete(r.silent, host)
		}
	}
}

func (r *releaser) release(slot view.Slot) *release {
	id := placement.IDOf(slot)
	rel := r.releases[id]
	if rel == nil {
		retry := backoff.NewExponentialBackOff()
		retry.InitialInterval = releaseRetryFirst
		retry.Multiplier = releaseRetryFactor
		retry.MaxInterval = releaseRetryLimit
		// Calls start in rounds, and those are jittered.
		retry.RandomizationFactor = 0
		rel = &release{host: slot.Row.GetHost(), retry: retry}
		r.releases[id] = rel
	}
	return rel
}

// call asks a sidecar once.
func (r *releaser) call(ctx context.Context, slot view.Slot) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	reply, err := r.sidecars.Release(ctx, slot.Row.GetHost(), &apiv1.ReleaseSlot{
		Model:      slot.Row.GetModel(),
		Slot:       slot.Row.GetSlot(),
		Generation: slot.Row.GetGeneration(),
		Epoch:      slot.Row.GetEpoch(),
	})
	r.answered(slot, reply, err)
}

func (r *releaser) answered(slot view.Slot, reply *apiv1.ReleaseReply, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rel := r.releases[placement.IDOf(slot)]
	rel.running = false
	r.running--
	r.runningOn[rel.host]--
	if r.runningOn[rel.host] == 0 {
		delete(r.runningOn, rel.host)
	}
	if err != nil {
		r.silent[rel.host] = true
	} else {
		delete(r.silent, rel.host)
	}
	if err == nil && reply.GetReleased() {
		rel.confirmed = true
		r.stats.releases.Add(1)
		return
	}
	r.stats.releaseFailures.Add(1)
	rel.next = r.now().Add(rel.retry.NextBackOff())
}

// confirmedSlots returns the releases that sidecars have confirmed.
func (r *releaser) confirmedSlots() map[placement.SlotID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	confirmed := make(map[placement.SlotID]bool)
	for id, rel := range r.releases {
		if rel.confirmed {
			confirmed[id] = true
		}
	}
	return confirmed
}

// silentHosts returns a new map of the hosts that left a call unanswered.
func (r *releaser) silentHosts() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	silent := make(map[string]bool, len(r.silent))
	for host := range r.silent {
		silent[host] = true
	}
	return silent
}

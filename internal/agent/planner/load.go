package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/ledger"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

const (
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 30 * time.Second
)

// load is one attempt to load a model. It is pending until its order is given.
type load struct {
	id   uint64
	spec *apiv1.SlotSpec
	tier external.Tier
	// notBefore delays the attempt after a failed one.
	notBefore time.Time
	delay     span
	reserved  bool
	// blocked is true while there is no room and nothing idle to unload.
	blocked bool
	memory  span

	permit permitState
	asked  span
	// askedPriority is the priority of the last AskPermit.
	askedPriority uint32
	behind        uint32
	fallbackAt    time.Time

	// turn is the wait for an earlier load without permit.
	turn span

	order uint64 // 0 while pending
	run   span
}

func (l *load) pending() bool { return l.order == 0 }

// planLoad starts or cancels the pending load of a model that is not loaded.
func (p *Planner) planLoad(now time.Time, r *replica) {
	wanted := r.spec != nil && p.gate.Open() && (len(r.waiting) > 0 || now.Before(r.wantedUntil))
	if r.load != nil && (!wanted || !sameReplica(r.load.spec, r.spec)) {
		p.cancelLoad(r)
	}
	if !wanted {
		return
	}
	if r.load == nil {
		r.load = &load{id: p.NewID(), tier: p.tierOf(r.spec.GetCheckpoint()), notBefore: r.retryAt}
		if now.Before(r.retryAt) {
			r.load.delay = span{begin: now, end: r.retryAt, cause: "back-off after a failed load"}
		}
	}
	if r.load.pending() {
		r.load.spec = r.spec
	}
}

// sameReplica reports whether a load for one spec serves the other.
func sameReplica(a, b *apiv1.SlotSpec) bool {
	return a.GetSlot() == b.GetSlot() &&
		a.GetGeneration() == b.GetGeneration() &&
		a.GetVersion() == b.GetVersion() &&
		a.GetCheckpoint() == b.GetCheckpoint() &&
		a.GetMemoryMib() == b.GetMemoryMib()
}

// cancelLoad drops a load whose order was not given.
func (p *Planner) cancelLoad(r *replica) {
	if r.load == nil || !r.load.pending() {
		return
	}
	p.ledger.Cancel(r.key())
	p.dropPermit(r.model, r.load)
	r.load = nil
}

// startLoads gives memory, permits and orders to the pending loads, those with
// the most urgent request first.
func (p *Planner) startLoads(now time.Time) {
	claimed := false // memory that is being freed belongs to an earlier load
	for _, r := range p.pendingLoads() {
		l := r.load
		if now.Before(l.notBefore) {
			p.emit(WakeAt{l.notBefore})
			continue
		}
		if !p.settled {
			l.awaitStart(now)
			continue
		}
		if !l.reserved {
			if claimed {
				continue
			}
			p.reserve(now, r)
			claimed = !l.reserved && !l.blocked
		}
		if l.blocked {
			continue
		}
		p.askPermit(now, r)
		if l.reserved && p.permitted(now, l) {
			p.sendLoad(now, r)
		}
	}
}

// awaitStart notes that a load waits until the engine's state is known.
func (l *load) awaitStart(now time.Time) {
	if l.memory.begin.IsZero() {
		l.memory = span{begin: now, cause: "start of the sidecar: earlier orders may still arrive"}
	}
}

func (p *Planner) pendingLoads() []*replica {
	pending := slices.DeleteFunc(p.sorted(), func(r *replica) bool {
		return r.load == nil || !r.load.pending()
	})
	slices.SortStableFunc(pending, func(a, b *replica) int {
		if d := int(b.urgency()) - int(a.urgency()); d != 0 {
			return d
		}
		return int(a.load.id) - int(b.load.id)
	})
	return pending
}

// urgency is the highest priority among the waiting requests.
func (r *replica) urgency() uint32 {
	if len(r.waiting) == 0 {
		return 0
	}
	return r.waiting[0].Priority
}

// reserve sets memory aside for a load, or orders unloads to get it.
func (p *Planner) reserve(now time.Time, r *replica) {
	l := r.load
	if l.memory.begin.IsZero() {
		l.memory.begin = now
	}
	mib := l.spec.GetMemoryMib()
	if err := p.ledger.Reserve(r.key(), mib, l.spec.GetVersion()); err == nil {
		l.reserved = true
		l.blocked = false
		l.memory.end = now
		return
	}
	l.blocked = !p.makeRoom(now, mib, r)
	l.memory.cause = "unload of idle models"
	if l.blocked {
		l.memory.cause = "no room beside running requests"
	}
}

func (p *Planner) sendLoad(now time.Time, r *replica) {
	l := r.load
	if err := p.ledger.BeginLoad(r.key()); err != nil {
		return
	}
	switch l.permit {
	case permitFallback:
		p.unpermitted = l.id
		l.turn = span{begin: l.asked.end, end: now, cause: "one load without permit at a time"}
		p.stats.UnpermittedLoads++
	case permitGranted:
		p.stats.PermittedLoads++
	}
	r.bind(l.spec)
	l.run.begin = now
	l.run.cause = l.source()
	l.order = p.send(r, &order{key: r.key(), load: l, body: external.Order{
		Kind:       external.OrderLoad,
		Epoch:      r.epoch,
		Model:      r.model,
		Version:    l.spec.GetVersion(),
		Checkpoint: l.spec.GetCheckpoint(),
		MemoryMiB:  l.spec.GetMemoryMib(),
	}}, fmt.Sprintf("%d waiting, %s", len(r.waiting), l.source()))
}

// source names the place that a load reads from.
func (l *load) source() string {
	switch {
	case l.tier == external.TierMemory:
		return "from host memory"
	case l.tier == external.TierDisk:
		return "from local disk"
	case l.behind > 0:
		return fmt.Sprintf("from remote storage behind %d loads", l.behind)
	default:
		return "from remote storage"
	}
}

// endLoad takes the end of a load order.
func (p *Planner) endLoad(now time.Time, o *order, err error) {
	r, l := o.replica, o.load
	l.run.end = now
	r.load = nil
	r.last = l
	p.dropPermit(r.model, l)
	outcome := outcomeOf(err)
	p.ledger.EndLoad(o.key, outcome, now)
	switch outcome {
	case ledger.Done:
		p.stats.Loads++
		p.estimates.addLoad(r.model, l.tier, l.spec.GetMemoryMib(), now.Sub(o.begun))
		r.failures = nil
		r.retryAt = time.Time{}
		p.markIdle(now, r)
	case ledger.NotDone:
		p.failLoad(now, r, err)
	case ledger.Unknown:
		p.stats.UnknownOrders++
		l.run.end = time.Time{} // lasts until the inventory shows the model
		p.emit(ReadInventory{})
	}
}

// failLoad refuses the requests that waited for a failed load and delays the
// next attempt.
func (p *Planner) failLoad(now time.Time, r *replica, err error) {
	p.stats.LoadFailures++
	p.emit(ReadInventory{})
	if r.failures == nil {
		r.failures = newBackoff()
	}
	pause := p.jitter(r.failures.NextBackOff())
	r.retryAt = now.Add(pause)
	r.wantedUntil = time.Time{}
	kind := refusalKind(err)
	if kind == apiv1.RefusalKind_REFUSAL_KIND_STALE {
		p.stats.FencedOrders++
	}
	retryAfter := pause + p.loadTime(r)
	p.refuseWaiting(r, func(*request) bool { return true },
		refusal(kind, retryAfter, fmt.Sprintf("load failed: %v; retry later", err)))
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff
	b.MaxInterval = maxBackoff
	b.RandomizationFactor = 0 // the planner's own source of jitter is seeded
	return b
}

// jitter lengthens a pause by up to a half.
func (p *Planner) jitter(pause time.Duration) time.Duration {
	return pause + time.Duration(p.opts.Rand.Int64N(int64(pause)/2+1))
}

func refusalKind(err error) apiv1.RefusalKind {
	switch external.KindOf(err) {
	case external.KindFenced:
		return apiv1.RefusalKind_REFUSAL_KIND_STALE
	case external.KindNoMemory:
		return apiv1.RefusalKind_REFUSAL_KIND_NO_MEMORY
	default:
		return apiv1.RefusalKind_REFUSAL_KIND_UPSTREAM
	}
}

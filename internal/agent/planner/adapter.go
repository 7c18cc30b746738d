package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/ragwortdoor/ragwortdoor/internal/agent/ledger"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// adapter is one adapter of a replica, loaded or not.
type adapter struct {
	// spec is what was loaded; its checkpoint is empty for an adapter that was
	// taken over from the engine's inventory.
	spec     AdapterSpec
	running  int
	lastUsed time.Time
	load     span
	failures *backoff.ExponentialBackOff
	retryAt  time.Time
	// blocked is true while there is no room and nothing idle to unload.
	blocked bool
}

func (r *replica) adapter(name string) *adapter {
	a := r.adapters[name]
	if a == nil {
		a = &adapter{}
		r.adapters[name] = a
	}
	return a
}

// wants reports whether a waiting request needs the adapter.
func (r *replica) wants(name string) bool {
	return slices.ContainsFunc(r.waiting, func(q *request) bool { return q.Adapter.Name == name })
}

// adapterOpen reports whether an adapter of the model is not in rest.
func (p *Planner) adapterOpen(r *replica) bool {
	for name := range r.adapters {
		state := p.ledger.Get(ledger.Key{Model: r.model, Adapter: name}).State
		if state != ledger.Absent && state != ledger.Ready {
			return true
		}
	}
	return false
}

// adapterReady reports whether the request's adapter is loaded, with the
// checkpoint that the request names.
func (p *Planner) adapterReady(r *replica, q *request) bool {
	if q.Adapter.Name == "" {
		return true
	}
	a := r.adapter(q.Adapter.Name)
	if p.ledger.Get(ledger.Key{Model: r.model, Adapter: q.Adapter.Name}).State != ledger.Ready {
		return false
	}
	if a.spec.Checkpoint == "" {
		a.spec = q.Adapter
	}
	if a.spec.Checkpoint == q.Adapter.Checkpoint {
		return true
	}
	if a.running == 0 {
		p.unloadAdapter(r, q.Adapter.Name, "checkpoint changed")
	}
	return false
}

// startAdapters orders the adapters that requests on ready models wait for,
// the most urgent first, within the window of the controller.
func (p *Planner) startAdapters(now time.Time) {
	for _, q := range p.adapterWaiters() {
		if !p.adapters.Allow(now) {
			if at := p.adapters.NotBefore(); now.Before(at) {
				p.emit(WakeAt{at})
			}
			return
		}
		p.startAdapter(now, p.replicas[q.model()], q)
	}
}

func (p *Planner) adapterWaiters() []*request {
	var all []*request
	for _, r := range p.sorted() {
		if p.state(r) != ledger.Ready || !p.gate.Open() || !p.settled || p.mustGo(r) != "" {
			continue
		}
		for _, q := range r.waiting {
			if q.Adapter.Name != "" {
				all = append(all, q)
			}
		}
	}
	slices.SortStableFunc(all, compareRequests)
	return all
}

func (p *Planner) startAdapter(now time.Time, r *replica, q *request) {
	key := ledger.Key{Model: r.model, Adapter: q.Adapter.Name}
	a := r.adapter(key.Adapter)
	if p.ledger.Get(key).State != ledger.Absent {
		return
	}
	if now.Before(a.retryAt) {
		p.emit(WakeAt{a.retryAt})
		return
	}
	if err := p.ledger.Reserve(key, q.Adapter.MiB, ""); err != nil {
		a.blocked = !p.makeRoom(now, q.Adapter.MiB, r)
		return
	}
	a.blocked = false
	if err := p.ledger.BeginLoad(key); err != nil {
		p.ledger.Cancel(key)
		return
	}
	a.spec = q.Adapter
	a.load = span{begin: now, cause: fmt.Sprintf("adapter %s behind %d adapter loads", key.Adapter, p.adapters.InFlight())}
	p.adapters.Start()
	p.send(r, p.adapterOrder(r, a, external.OrderLoadAdapter), "adapter wanted")
}

func (p *Planner) adapterOrder(r *replica, a *adapter, kind external.OrderKind) *order {
	return &order{
		key:     ledger.Key{Model: r.model, Adapter: a.spec.Name},
		adapter: a,
		body: external.Order{
			Kind:       kind,
			Epoch:      r.epoch,
			Model:      r.model,
			Version:    p.ledger.Get(r.key()).Version,
			Adapter:    a.spec.Name,
			Checkpoint: a.spec.Checkpoint,
			MemoryMiB:  a.spec.MiB,
		},
	}
}

func (p *Planner) unloadAdapter(r *replica, name, reason string) bool {
	key := ledger.Key{Model: r.model, Adapter: name}
	if err := p.ledger.BeginUnload(key); err != nil {
		return false
	}
	a := r.adapter(name)
	a.spec.Name = name
	p.send(r, p.adapterOrder(r, a, external.OrderUnloadAdapter), reason)
	return true
}

func (p *Planner) endAdapterLoad(now time.Time, o *order, err error) {
	a := o.adapter
	a.load.end = now
	outcome := outcomeOf(err)
	p.ledger.EndLoad(o.key, outcome, now)
	if outcome == ledger.Done {
		p.stats.AdapterLoads++
		p.adapters.Finish(o.begun, now)
		p.estimates.adapter.add(now.Sub(o.begun))
		a.lastUsed = now
		a.failures = nil
		return
	}
	p.adapters.Abort()
	p.emit(ReadInventory{})
	if outcome == ledger.Unknown {
		p.stats.UnknownOrders++
		return
	}
	p.failAdapter(now, o, err)
}

// failAdapter refuses the requests that waited for a failed adapter.
func (p *Planner) failAdapter(now time.Time, o *order, err error) {
	a := o.adapter
	p.stats.LoadFailures++
	if a.failures == nil {
		a.failures = newBackoff()
	}
	pause := p.jitter(a.failures.NextBackOff())
	a.retryAt = now.Add(pause)
	p.refuseWaiting(o.replica,
		func(q *request) bool { return q.Adapter.Name == o.key.Adapter },
		refusal(refusalKind(err), pause, fmt.Sprintf("adapter load failed: %v; retry later", err)))
}

func (p *Planner) endAdapterUnload(now time.Time, o *order, err error) {
	outcome := unloadOutcome(err)
	p.ledger.EndUnload(o.key, outcome, now)
	if outcome == ledger.Done {
		return
	}
	if outcome == ledger.Unknown {
		p.stats.UnknownOrders++
	}
	p.emit(ReadInventory{})
}

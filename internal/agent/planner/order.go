package planner

import (
	"fmt"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/agent/ledger"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// unloadPause delays the next try of an unload that the engine refused.
const unloadPause = time.Second

// order is one order to the engine, from SendOrder to End.
type order struct {
	replica *replica
	key     ledger.Key
	body    external.Order
	load    *load
	adapter *adapter
	begun   time.Time
}

// send asks for an order to be sent and returns its number.
func (p *Planner) send(r *replica, o *order, reason string) uint64 {
	id := p.NewID()
	o.replica = r
	o.body.ID = fmt.Sprintf("%s-%d", p.gate.BootID(), id)
	p.orders[id] = o
	p.emit(SendOrder{Order: id, Reason: reason})
	return id
}

func (p *Planner) sendUnload(r *replica, reason string) {
	p.send(r, &order{key: r.key(), body: external.Order{
		Kind:      external.OrderUnload,
		Epoch:     r.epoch,
		Model:     r.model,
		Version:   p.ledger.Get(r.key()).Version,
		MemoryMiB: p.ledger.Get(r.key()).MiB,
	}}, reason)
}

// Begin is the last check of an order, right before it is sent to the engine.
// It reports false when the order must not be sent.
//
// A window remains: a process that is stopped between this check and the
// engine's receipt may still send a load of a slot that moved while it was
// stopped. An engine that checks fencing numbers refuses it. At any other
// engine the slot has moved only if the platform's list dropped the host, since
// silence frees no slot.
func (p *Planner) Begin(now time.Time, id uint64) (external.Order, bool, []Action) {
	p.observe(now)
	o := p.orders[id]
	if o == nil {
		return external.Order{}, false, p.flush(now)
	}
	if !p.allowed(o) {
		p.abandon(now, id, o)
		return external.Order{}, false, p.flush(now)
	}
	o.begun = now
	return o.body, true, p.flush(now)
}

// allowed reports whether the slot still permits the order. Unloads always are.
func (p *Planner) allowed(o *order) bool {
	switch o.body.Kind {
	case external.OrderLoad:
		held := o.replica.heldAs
		spec := p.gate.Spec(held.key, held.generation)
		return spec != nil && sameReplica(spec, o.load.spec)
	case external.OrderLoadAdapter:
		return p.gate.Open() && o.replica.spec != nil
	default:
		return true
	}
}

// abandon ends an order that was never sent.
func (p *Planner) abandon(now time.Time, id uint64, o *order) {
	delete(p.orders, id)
	p.ledger.EndLoad(o.key, ledger.NotDone, now)
	if o.adapter != nil {
		p.adapters.Abort()
		return
	}
	p.dropPermit(o.replica.model, o.load)
	o.replica.load = nil
}

// End takes the engine's answer to an order.
func (p *Planner) End(now time.Time, id uint64, err error) []Action {
	p.observe(now)
	o := p.orders[id]
	if o == nil {
		return p.flush(now)
	}
	delete(p.orders, id)
	switch o.body.Kind {
	case external.OrderLoad:
		p.endLoad(now, o, err)
	case external.OrderUnload:
		p.endUnload(now, o, err)
	case external.OrderLoadAdapter:
		p.endAdapterLoad(now, o, err)
	case external.OrderUnloadAdapter:
		p.endAdapterUnload(now, o, err)
	}
	return p.flush(now)
}

func outcomeOf(err error) ledger.Outcome {
	switch {
	case err == nil:
		return ledger.Done
	case external.OutcomeUnknown(err):
		return ledger.Unknown
	default:
		return ledger.NotDone
	}
}

// unloadOutcome counts an unload of something that the engine does not hold as
// done.
func unloadOutcome(err error) ledger.Outcome {
	outcome := outcomeOf(err)
	if outcome == ledger.NotDone && external.KindOf(err) == external.KindNotFound {
		return ledger.Done
	}
	return outcome
}

func (p *Planner) endUnload(now time.Time, o *order, err error) {
	r := o.replica
	r.unload.end = now
	outcome := unloadOutcome(err)
	p.ledger.EndUnload(o.key, outcome, now)
	switch outcome {
	case ledger.Done:
		p.stats.Unloads++
		p.estimates.unload.add(now.Sub(o.begun))
	case ledger.NotDone:
		p.failUnload(now, r, err)
	case ledger.Unknown:
		p.stats.UnknownOrders++
		p.emit(ReadInventory{})
	}
}

// failUnload answers the releases that wait and tries again later. The fencing
// number under which an unassigned model was loaded is not known; the engine is
// asked with the next one until it takes it, and so never sees a number above
// the one that it holds.
func (p *Planner) failUnload(now time.Time, r *replica, err error) {
	r.unloadAt = now.Add(unloadPause)
	if external.KindOf(err) == external.KindFenced {
		p.stats.FencedOrders++
		if p.opts.EngineFences && r.spec == nil && !r.doomed {
			r.epoch++
			r.unloadAt = now
		}
	}
	p.failReleases(r, fmt.Sprintf("the engine did not unload: %v", err))
	p.emit(ReadInventory{})
}

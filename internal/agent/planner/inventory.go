package planner

import (
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/agent/ledger"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// MarkInventory is called right before the engine is asked for its inventory.
func (p *Planner) MarkInventory(now time.Time) ledger.Mark {
	if p.started.IsZero() {
		p.started = now
	}
	return p.ledger.Mark(now)
}

// Inventory takes over what the engine holds.
func (p *Planner) Inventory(now time.Time, mark ledger.Mark, inv external.Inventory) []Action {
	p.observe(now)
	p.ledger.Settle(mark, inv)
	p.inventoried = true
	// An order that an earlier process sent just before it died may arrive
	// until then: no load is ordered and no release confirmed before.
	p.settled = p.settled || mark.At().Sub(p.started) >= ledger.SettleDelay
	clear(p.cached)
	for _, c := range inv.Cached {
		p.cached[c.Checkpoint] = c.Tier
	}
	for key := range p.ledger.Entries() {
		p.takeOver(now, key)
	}
	p.abortAnswered(mark, inv)
	return p.flush(now)
}

// answerGrace is how long after its start an order's answer is waited for
// although the inventory shows its effect.
const answerGrace = time.Second

// abortAnswered ends the wait for answers that were lost without an error: the
// inventory shows the effect, or the engine has restarted.
func (p *Planner) abortAnswered(mark ledger.Mark, inv external.Inventory) {
	restarted := p.engineBootID != inv.BootID
	p.engineBootID = inv.BootID
	for id, o := range p.orders {
		if o.begun.IsZero() || mark.At().Before(o.begun) {
			continue
		}
		late := mark.At().Sub(o.begun) >= answerGrace
		if restarted || (late && effective(o, inv)) {
			p.emit(AbortOrder{Order: id})
		}
	}
}

// effective reports whether an inventory shows what the order asked for.
func effective(o *order, inv external.Inventory) bool {
	ready, present := shownState(o.key, inv)
	switch o.body.Kind {
	case external.OrderLoad, external.OrderLoadAdapter:
		return ready
	default:
		return !present
	}
}

func shownState(key ledger.Key, inv external.Inventory) (ready, present bool) {
	for _, model := range inv.Models {
		if model.Model != key.Model {
			continue
		}
		if key.Adapter == "" {
			return model.State == external.ModelReady, true
		}
		for _, a := range model.Adapters {
			if a.Adapter == key.Adapter {
				return a.State == external.ModelReady, true
			}
		}
	}
	return false, false
}

// takeOver adds a holder that the planner did not order.
func (p *Planner) takeOver(now time.Time, key ledger.Key) {
	r := p.replicas[key.Model]
	if r == nil {
		r = p.replica(key.Model)
		r.idleSince = now
		p.rebind(r)
	}
	if key.Adapter != "" {
		r.adapter(key.Adapter).spec.Name = key.Adapter
	}
}

// Unsettled reports whether the outcome of an order is open, so that the
// inventory should be read soon.
func (p *Planner) Unsettled() bool {
	if !p.settled {
		return true
	}
	for _, entry := range p.ledger.Entries() {
		if entry.State == ledger.Unsettled {
			return true
		}
	}
	return false
}

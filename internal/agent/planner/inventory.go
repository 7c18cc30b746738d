package planner

import (
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/agent/ledger"
	"github.com/ragwortdoor/ragwortdoor/internal/platform"
)

// MarkInventory is called right before the engine is asked for its inventory.
func (p *Planner) MarkInventory(now time.Time) ledger.Mark {
	if p.started.IsZero() {
		p.started = now
	}
	return p.ledger.Mark(now)
}

// Inventory takes over what the engine holds.
func (p *Planner) Inventory(now time.Time, mark ledger.Mark, inv platform.Inventory) []Action {
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
	return p.flush(now)
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

package scheduler

import (
	"errors"
	"slices"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// HandleInventory processes the result of an InspectCall.
func (c *Cell) HandleInventory(now time.Time, upstreamID string, inventory fleet.Inventory, err error) Actions {
	e := c.engines[upstreamID]
	if e == nil {
		return c.takeActions()
	}
	if !e.inspectedAt.After(now) {
		e.inspecting = false // else it is not the one that is due, which is still to come
	}
	if err == nil && e.isOfFormerIncarnation(inventory) {
		c.inspect(now, e, failedInspectInterval)
		return c.takeActions()
	}
	if !errors.Is(err, fleet.ErrNotAsked) {
		c.confirmCrash(now, e, err != nil || inventory.StartedMs > e.up.StartedMs)
	}
	if err != nil {
		if !errors.Is(err, fleet.ErrNotAsked) {
			e.recordFailure(now)
		}
		if e.ended || !e.acceptsOrders() {
			c.inspect(now, e, failedInspectInterval)
		}
		return c.takeActions()
	}
	e.ended = false
	if inventory.StartedMs > e.up.StartedMs {
		c.resetEngine(e, inventory)
	}
	e.reported = true
	c.reconcile(now, e, inventory)
	c.dispatchAfterEvent(now)
	return c.takeActions()
}

// isOfFormerIncarnation reports whether an inventory was on its way while the engine started
// again.
func (e *engine) isOfFormerIncarnation(inventory fleet.Inventory) bool {
	return inventory.StartedMs != 0 && inventory.StartedMs < e.up.StartedMs
}

// askedAfterOrder returns how long after the last order an inventory that arrives now was asked
// for, at least. It may not be the one that is due next.
func (e *engine) askedAfterOrder(now time.Time) time.Duration {
	if e.inspectedAt.After(now) {
		return now.Sub(e.lastOrderAt)
	}
	return e.inspectedAt.Sub(e.lastOrderAt)
}

// resetEngine resets the state of an engine that restarted under the same id.
func (c *Cell) resetEngine(e *engine, inventory fleet.Inventory) {
	c.abandonPlan(e)
	up := *e.up
	up.StartedMs = inventory.StartedMs
	e.up = &up
	e.orders = -1
	e.replicas = make(map[string]*replica)
	e.cache = newPrefixCache(c.spec.KVTokens)
}

// reconcile compares an inventory with the plan in progress.
func (c *Cell) reconcile(now time.Time, e *engine, inventory fleet.Inventory) {
	e.setTiers(inventory.OnDisk, inventory.InMemory)
	if inventory.Slowdown > 0 {
		e.speed.Observe(now, inventory.Slowdown)
	}
	switch {
	case e.orders < 0:
		c.adoptInventory(now, e, inventory)
		return
	case inventory.Orders < e.orders && e.askedAfterOrder(now) < maxReportAge:
		// The inventory may be older than the last order: it may have been under way for long.
		if e.plan != nil {
			c.inspect(now, e, inspectInterval)
		}
		return
	case inventory.Orders < e.orders:
		// The engine replied that it accepted an order or was already in the ordered
		// state, but did not count it. The assumed change may not have happened.
		c.adoptInventory(now, e, inventory)
		return
	case inventory.Orders > e.orders:
		c.handleUnknownOrder(now, e, inventory)
		return
	}
	c.advancePlan(now, e, inventory)
}

// handleUnknownOrder handles orders that the engine counted but that this cell has no reply
// for: one of its own, or a late one of a previous holder. Both give the same count. Only the
// effect tells them apart. Once the count has risen, an order of this cell that had none is
// void: the engine compares the count that it names.
func (c *Cell) handleUnknownOrder(now time.Time, e *engine, inventory fleet.Inventory) {
	if e.plan == nil || !e.order.uncertain || inventory.Orders != e.orders+1 {
		c.adoptInventory(now, e, inventory)
		return
	}
	s := e.plan.steps[0]
	switch {
	case !inventory.Busy && e.lacks(inventory):
		c.adoptInventory(now, e, inventory)
	case hasEffect(inventory, s):
		e.orders = inventory.Orders
		c.handleEffect(now, e, s)
	case !inventory.Busy || s.adapter != "":
		c.adoptInventory(now, e, inventory)
	case s.unload:
		// An unload, or another order, is under way.
		c.inspect(now, e, max(inspectInterval, c.spec.LoadPollInterval))
	default:
		// The load is completed by its effect only, whatever is under way.
		e.orders = inventory.Orders
		c.handleAccepted(now, e, s)
	}
}

// handleEffect handles a step whose effect an inventory shows.
func (c *Cell) handleEffect(now time.Time, e *engine, s step) {
	if s.adapter != "" && !s.unload {
		c.handleAccepted(now, e, s) // it may still be loading
		return
	}
	c.completeStep(now, e, s)
}

// adoptInventory replaces the state of an engine by its inventory. The inventory
// of a busy engine does not show what is being loaded, so the engine gets no
// orders until it is idle.
func (c *Cell) adoptInventory(now time.Time, e *engine, inventory fleet.Inventory) {
	c.abandonPlan(e)
	e.setReplicas(inventory.Models, c.spec)
	e.addLoadingAdapters(inventory.LoadingAdapters)
	e.orders = inventory.Orders
	if inventory.Busy {
		e.orders = -1
		c.inspect(now, e, inspectInterval)
	}
}

// advancePlan takes the plan in progress a step further.
func (c *Cell) advancePlan(now time.Time, e *engine, inventory fleet.Inventory) {
	if e.plan == nil {
		if !inventory.Busy && e.askedAfterOrder(now) > maxReportAge {
			e.setReplicas(inventory.Models, c.spec)
			e.addLoadingAdapters(inventory.LoadingAdapters)
		}
		return
	}
	s := e.plan.steps[0]
	if e.order.state == stepSent {
		return
	}
	if e.order.state == stepIdle {
		if !inventory.Busy && e.lacks(inventory) {
			c.adoptInventory(now, e, inventory)
			return
		}
		after := time.Duration(0)
		if inventory.Busy {
			after = maxBackoff
		}
		c.sendStep(now, e, after)
		return
	}
	if isLoaded(inventory, s) != s.unload {
		c.completeStep(now, e, s)
		return
	}
	e.order.polls++
	if !inventory.Busy && e.order.polls > maxCompletionPolls {
		c.adoptInventory(now, e, inventory)
		return
	}
	c.inspect(now, e, max(inspectInterval, c.spec.LoadPollInterval))
}

// hasEffect reports whether an inventory shows that a step was carried out.
func hasEffect(inventory fleet.Inventory, s step) bool {
	if s.adapter != "" && slices.Contains(inventory.LoadingAdapters, fleet.AdapterRef{Model: s.model, Adapter: s.adapter}) {
		return !s.unload
	}
	if s.unload && s.adapter == "" && inventory.Busy {
		return false
	}
	return isLoaded(inventory, s) != s.unload
}

// lacks reports whether an inventory shows a model or an adapter that the books don't have.
func (e *engine) lacks(inventory fleet.Inventory) bool {
	for _, m := range inventory.Models {
		rep := e.replicas[m.Name]
		if rep == nil {
			return true
		}
		for _, name := range m.Adapters {
			if rep.adapters[name] == nil {
				return true
			}
		}
	}
	return slices.ContainsFunc(inventory.LoadingAdapters, func(ref fleet.AdapterRef) bool { return e.adapter(ref.Model, ref.Adapter) == nil })
}

// isLoaded reports whether an inventory contains the model or adapter of a step.
func isLoaded(inventory fleet.Inventory, s step) bool {
	for _, m := range inventory.Models {
		if m.Name == s.model {
			return s.adapter == "" || slices.Contains(m.Adapters, s.adapter)
		}
	}
	return false
}

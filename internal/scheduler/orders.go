package scheduler

import (
	"slices"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

const (
	// firstBackoff and maxBackoff bound the pause after an order that met
	// another one.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 150 * time.Millisecond
	// inspectEvery is the pause between looks at a load that is overdue.
	inspectEvery = 100 * time.Millisecond
	// failedInspectEvery is the pause after a report that could not be read.
	failedInspectEvery = 400 * time.Millisecond
	// reportAge is how old a report may be at most.
	reportAge = 600 * time.Millisecond
	// unloadTime is what an unload of an idle model takes, from plays of both
	// sites; unloadRetry is the pace of a load's order while an unload is under way.
	unloadTime     = 52 * time.Millisecond
	unloadRetry    = 30 * time.Millisecond
	maxUnloadTries = 20
	// triesPerInspect is the number of refused orders after which the engine is
	// inspected.
	triesPerInspect = 2
	// maxSettleLooks is the number of reports without a trace of a completed
	// order after which the plan is given up.
	maxSettleLooks = 8
)

// plan is a change of what an engine holds: unload the victims, then load.
type plan struct {
	steps []step
	// model and adapter are what is loaded.
	model, adapter string
	reason         string
	remote         bool
	began          time.Time
}

// step is one order of a plan.
type step struct {
	unload         bool
	model, adapter string
}

// stepState is how far the first step of a plan is.
type stepState int

const (
	stepIdle stepState = iota
	// stepSent means that the order's answer is awaited.
	stepSent
	// stepAccepted means that the engine carries the order out.
	stepAccepted
)

// pendingOrder is the state of the first step of an engine's plan.
type pendingOrder struct {
	state stepState
	tries int
	// uncertain is set once an order got no answer: a copy of it may be accepted
	// at any time while the count of orders stays the same.
	uncertain bool
	looks     int
	// afterUnload is set when the order has to wait for an unload's end.
	afterUnload bool
	doneAt      time.Time // expected end of an accepted order
	// changed is when the state was entered.
	changed time.Time
}

// isFree reports whether the engine can be given an order: what it holds is
// known and nothing is under way.
func (e *engine) isFree() bool { return e.plan == nil && e.orders >= 0 }

// loadLeft returns how long a load of the model that is under way still takes.
func (e *engine) loadLeft(now time.Time, name string) (time.Duration, bool) {
	w := e.copies[name]
	if w == nil || w.state != loading {
		return 0, false
	}
	if e.order.state == stepAccepted && len(e.plan.steps) == 1 {
		return max(0, e.order.doneAt.Sub(now)), true
	}
	return e.loadEstimate, true
}

// startLoad begins to load a model on an engine that has no plan.
func (c *Cell) startLoad(now time.Time, e *engine, name, reason string) {
	if !c.mayOrder || !e.isFree() || e.copies[name] != nil || !c.mayAdd(now, e, name) {
		return
	}
	victims, _, ok := c.victims(now, e, name)
	if !ok {
		return
	}
	p := &plan{model: name, reason: reason, began: now, remote: e.tier[name] == tierRemote}
	for _, v := range victims {
		v.state = unloading
		p.steps = append(p.steps, step{unload: true, model: v.model})
	}
	p.steps = append(p.steps, step{model: name})
	e.copies[name] = &weightCopy{model: name, memoryMB: c.spec.Models[name].MemoryMB, state: loading, adapters: make(map[string]*adapterCopy), lastUsed: now}
	e.loadEstimate = c.stated(e, name) + orderTime*time.Duration(len(p.steps))
	if p.remote {
		c.remote.start(now, remoteKey(e, name))
	}
	c.begin(now, e, p)
}

func remoteKey(e *engine, name string) string { return e.up.ID + "/" + name }

// startAdapter begins to load an ask's adapter on an engine that has no plan.
func (c *Cell) startAdapter(now time.Time, e *engine, ask *Request) {
	p := &plan{model: ask.Model, adapter: ask.Adapter, reason: "request " + ask.RequestID, began: now}
	if !c.adapterFits(e, ask.Model) {
		victim := c.adapterVictim(now, e)
		if victim == nil {
			return
		}
		e.copies[victim.Model].adapters[victim.Adapter].state = unloading
		p.steps = append(p.steps, step{unload: true, model: victim.Model, adapter: victim.Adapter})
	}
	p.steps = append(p.steps, step{model: ask.Model, adapter: ask.Adapter})
	wait := c.modelOf(ask.Model).adapterDelay + orderTime*time.Duration(len(p.steps)-1)
	e.copies[ask.Model].adapters[ask.Adapter] = &adapterCopy{state: loading, readyAt: now.Add(wait), lastUsed: now}
	c.begin(now, e, p)
}

func (c *Cell) begin(now time.Time, e *engine, p *plan) {
	e.plan = p
	e.order = pendingOrder{changed: now}
	c.index.valid = false
	c.send(now, e, 0)
}

// send sends the first step of an engine's plan.
func (c *Cell) send(now time.Time, e *engine, after time.Duration) {
	s := e.plan.steps[0]
	expected := e.orders
	e.order.state = stepSent
	e.order.changed = now
	c.actions.Orders = append(c.actions.Orders, OrderCall{
		Upstream: e.up,
		Order: fleet.Order{
			Unload:         s.unload,
			Model:          s.model,
			Adapter:        s.adapter,
			ExpectedOrders: &expected,
			Holder:         c.opts.Holder,
			Fence:          c.opts.Fence,
		},
		Reason: e.plan.reason,
		After:  after,
	})
}

func (c *Cell) inspect(e *engine, after time.Duration) {
	if e.inspecting {
		return
	}
	e.inspecting = true
	c.actions.Inspects = append(c.actions.Inspects, InspectCall{Upstream: e.up, After: after})
}

// HandleOrderResult takes the answer to an OrderCall.
func (c *Cell) HandleOrderResult(now time.Time, upstreamID string, order fleet.Order, result fleet.OrderResult) Actions {
	e := c.engines[upstreamID]
	if e == nil || e.plan == nil || e.order.state != stepSent || *order.ExpectedOrders != e.orders {
		return c.take()
	}
	s := e.plan.steps[0]
	if s.model != order.Model || s.adapter != order.Adapter || s.unload != order.Unload {
		return c.take()
	}
	switch result {
	case fleet.OrderAccepted:
		e.orders++
		c.accepted(now, e, s)
	case fleet.OrderSatisfied:
		if s.unload && s.adapter != "" {
			e.orders++ // an unused adapter is unloaded at once, which counts
		}
		c.completed(now, e, s)
	case fleet.OrderConflict:
		c.conflicted(now, e)
	case fleet.OrderUnknown:
		e.order.uncertain = true
		e.order.state = stepIdle
		e.order.changed = now
		c.inspect(e, inspectEvery)
	case fleet.OrderFenced, fleet.OrderWrongUpstream:
		// The holder steps down, or the engine's entry is about to go.
		c.abandonPlan(e)
		e.avoidUntil = now.Add(maxPause)
	case fleet.OrderInvalid:
		c.abandonPlan(e)
		e.orders = -1
		c.inspect(e, inspectEvery)
	}
	c.dispatch(now)
	return c.take()
}

func (c *Cell) accepted(now time.Time, e *engine, s step) {
	e.settledAt = now
	switch {
	case s.adapter != "" && !s.unload:
		if a := e.adapter(s.model, s.adapter); a != nil {
			a.state = present
			a.loadedAt = now
			a.readyAt = now.Add(c.modelOf(s.model).adapterDelay)
		}
		c.nextStep(now, e)
	case s.adapter != "":
		c.waitForEnd(now, e, evictTime)
	case s.unload:
		// The next order is refused until the unload is complete.
		e.order = pendingOrder{state: stepAccepted, changed: now, doneAt: now}
		if len(e.plan.steps) > 1 {
			c.finishUnload(e, s)
			e.plan.steps = e.plan.steps[1:]
			e.order = pendingOrder{changed: now, afterUnload: true}
			c.send(now, e, unloadTime)
			return
		}
		c.inspect(e, inspectEvery)
	default:
		c.waitForEnd(now, e, c.stated(e, s.model))
	}
}

// stated is the load time that the configuration states for the host's tier.
func (c *Cell) stated(e *engine, name string) time.Duration {
	spec := c.spec.Models[name]
	switch e.tier[name] {
	case tierMemory:
		return spec.MemoryLoad
	case tierDisk:
		return spec.DiskLoad
	case tierRemote:
	}
	return spec.RemoteLoad
}

func (c *Cell) waitForEnd(now time.Time, e *engine, expected time.Duration) {
	e.order = pendingOrder{state: stepAccepted, changed: now, doneAt: now.Add(expected)}
	if look := c.spec.LoadPollInterval; look > 0 {
		expected = min(expected, look)
	}
	c.inspect(e, expected)
}

// completed notes the end of a step.
func (c *Cell) completed(now time.Time, e *engine, s step) {
	e.settledAt = now
	switch {
	case s.unload:
		c.finishUnload(e, s)
	case s.adapter != "":
		if a := e.adapter(s.model, s.adapter); a != nil {
			a.state = present
			a.readyAt = now
			a.loadedAt = now
		}
	default:
		c.finishLoad(now, e, s.model)
	}
	c.nextStep(now, e)
}

func (c *Cell) finishUnload(e *engine, s step) {
	if s.adapter == "" {
		delete(e.copies, s.model)
		e.cache.forget(s.model)
		return
	}
	if w := e.copies[s.model]; w != nil {
		delete(w.adapters, s.adapter)
	}
}

func (c *Cell) finishLoad(now time.Time, e *engine, name string) {
	if w := e.copies[name]; w != nil {
		w.state = present
		w.lastUsed = now
	}
	if e.plan != nil && e.plan.remote {
		c.remote.finish(now, remoteKey(e, name), c.spec.Models[name].RemoteLoad)
	}
	e.tier[name] = tierMemory
}

func (c *Cell) nextStep(now time.Time, e *engine) {
	e.plan.steps = e.plan.steps[1:]
	e.order = pendingOrder{changed: now}
	if len(e.plan.steps) == 0 {
		e.plan = nil
		return
	}
	c.send(now, e, 0)
}

// conflicted backs off from an engine that is busy or counts other orders.
func (c *Cell) conflicted(now time.Time, e *engine) {
	e.order.tries++
	e.order.state = stepIdle
	e.order.changed = now
	if e.order.afterUnload && e.order.tries < maxUnloadTries {
		c.send(now, e, unloadRetry)
		return
	}
	if e.order.tries%triesPerInspect == 0 {
		c.inspect(e, 0)
		return
	}
	c.send(now, e, min(maxBackoff, firstBackoff<<min(e.order.tries-1, 3)))
}

// abandonPlan gives a plan up. What was not ordered goes back to its state.
func (c *Cell) abandonPlan(e *engine) {
	if e.plan == nil {
		return
	}
	for _, s := range e.plan.steps {
		c.undo(e, s)
	}
	if e.plan.remote {
		c.remote.abandon(remoteKey(e, e.plan.model))
	}
	e.plan = nil
	e.order = pendingOrder{}
}

func (c *Cell) undo(e *engine, s step) {
	w := e.copies[s.model]
	if w == nil {
		return
	}
	switch {
	case s.adapter == "" && s.unload:
		w.state = present
	case s.adapter == "":
		delete(e.copies, s.model)
	case s.unload:
		if a := w.adapters[s.adapter]; a != nil {
			a.state = present
		}
	default:
		delete(w.adapters, s.adapter)
	}
}

// HandleInventory takes the answer to an InspectCall.
func (c *Cell) HandleInventory(now time.Time, upstreamID string, inventory fleet.Inventory, err error) Actions {
	e := c.engines[upstreamID]
	if e == nil {
		return c.take()
	}
	e.inspecting = false
	if err != nil {
		e.failed(now)
		if !e.isFree() {
			c.inspect(e, failedInspectEvery)
		}
		return c.take()
	}
	if inventory.StartedMs > e.up.StartedMs {
		c.restarted(e, inventory)
	}
	e.reported = true
	c.reconcile(now, e, inventory)
	c.dispatch(now)
	return c.take()
}

// restarted resets what is known of an engine that began anew under its id.
func (c *Cell) restarted(e *engine, inventory fleet.Inventory) {
	c.abandonPlan(e)
	up := *e.up
	up.StartedMs = inventory.StartedMs
	e.up = &up
	e.orders = -1
	e.copies = make(map[string]*weightCopy)
	e.cache = newPrefixCache(c.spec.KVTokens)
}

// reconcile compares an inventory with the plan under way.
func (c *Cell) reconcile(now time.Time, e *engine, inventory fleet.Inventory) {
	e.setTiers(inventory.OnDisk, inventory.InMemory)
	switch {
	case e.orders < 0:
		c.adoptReport(e, inventory)
		return
	case inventory.Orders < e.orders && now.Sub(e.settledAt) < reportAge:
		// The report is older than the last order.
		if e.plan != nil {
			c.inspect(e, inspectEvery)
		}
		return
	case inventory.Orders < e.orders:
		// An order was answered as accepted or as holding without being counted:
		// what it was taken to change may not have changed.
		c.adoptReport(e, inventory)
		return
	case inventory.Orders > e.orders:
		c.overtaken(now, e, inventory)
		return
	}
	c.advance(now, e, inventory)
}

// overtaken handles orders that this cell has no answer for: an own one that
// got no answer, or one of a former holder.
func (c *Cell) overtaken(now time.Time, e *engine, inventory fleet.Inventory) {
	own := e.plan != nil && e.order.uncertain && inventory.Orders == e.orders+1
	if own {
		e.orders = inventory.Orders
		c.accepted(now, e, e.plan.steps[0])
		return
	}
	c.adoptReport(e, inventory)
}

// adoptReport takes over what an engine holds that others have given orders to.
// A busy engine does not tell what it loads: until it is idle, nothing is
// ordered there.
func (c *Cell) adoptReport(e *engine, inventory fleet.Inventory) {
	c.abandonPlan(e)
	e.setCopies(inventory.Models, c.spec)
	e.addComing(inventory.LoadingAdapters)
	e.orders = inventory.Orders
	if inventory.Busy {
		e.orders = -1
		c.inspect(e, inspectEvery)
	}
}

// advance takes the plan under way a step further.
func (c *Cell) advance(now time.Time, e *engine, inventory fleet.Inventory) {
	if e.plan == nil {
		if !inventory.Busy && now.Sub(e.settledAt) > reportAge {
			e.setCopies(inventory.Models, c.spec)
			e.addComing(inventory.LoadingAdapters)
		}
		return
	}
	s := e.plan.steps[0]
	if e.order.state == stepSent {
		return
	}
	if e.order.state == stepIdle {
		after := time.Duration(0)
		if inventory.Busy {
			after = maxBackoff
		}
		c.send(now, e, after)
		return
	}
	if holds(inventory, s) != s.unload {
		c.completed(now, e, s)
		return
	}
	e.order.looks++
	if !inventory.Busy && e.order.looks > maxSettleLooks {
		c.abandonPlan(e)
		e.setCopies(inventory.Models, c.spec)
		return
	}
	c.inspect(e, max(inspectEvery, c.spec.LoadPollInterval))
}

// holds reports whether an inventory shows what a step is about.
func holds(inventory fleet.Inventory, s step) bool {
	for _, m := range inventory.Models {
		if m.Name == s.model {
			return s.adapter == "" || slices.Contains(m.Adapters, s.adapter)
		}
	}
	return false
}

// orderTimeout is how long the answer to an order is awaited before the engine
// is inspected; the caller's own timeout is shorter.
const orderTimeout = 2 * time.Second

// checkOrders looks after plans that do not get on.
func (c *Cell) checkOrders(now time.Time) {
	for _, e := range c.engines {
		if e.plan == nil || e.inspecting || now.Sub(e.order.changed) < orderTimeout {
			continue
		}
		if e.order.state == stepAccepted && now.Before(e.order.doneAt) {
			continue
		}
		if e.order.state == stepSent {
			e.order.state = stepIdle
			e.order.uncertain = true
		}
		e.order.changed = now
		c.inspect(e, 0)
	}
}

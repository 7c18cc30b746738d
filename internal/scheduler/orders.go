package scheduler

import (
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

const (
	// firstBackoff and maxBackoff bound the backoff after an order that conflicted
	// with another one.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 150 * time.Millisecond
	// inspectInterval is the poll interval of an overdue load.
	inspectInterval = 100 * time.Millisecond
	// failedInspectInterval is the retry delay after an inventory could not be read.
	failedInspectInterval = 400 * time.Millisecond
	// maxReportAge is the maximal age of an inventory.
	maxReportAge = 600 * time.Millisecond
	// unloadTime is the duration of an unload of an idle model. unloadRetryInterval
	// is the interval at which the next order is retried while an unload is in
	// progress.
	unloadTime          = 52 * time.Millisecond
	unloadRetryInterval = 30 * time.Millisecond
	maxUnloadTries      = 20
	// triesPerInspect is the number of conflicting orders after which the engine is
	// inspected.
	triesPerInspect = 2
	// maxCompletionPolls is the number of inventories without the effect of an
	// accepted order after which the plan is abandoned if the engine is idle.
	maxCompletionPolls = 8
)

// plan is a change of what is loaded on an engine: unload the victims, then
// load.
type plan struct {
	steps []step
	// model and adapter name what is loaded or, if nothing is, unloaded.
	model, adapter string
	reason         string
	remote         bool
	startedAt      time.Time
}

// step is one order of a plan.
type step struct {
	unload         bool
	model, adapter string
}

// stepState is the progress of the first step of a plan.
type stepState int

const (
	stepIdle stepState = iota
	// stepSent means that the result of the order is pending.
	stepSent
	// stepAccepted means that the engine is carrying out the order.
	stepAccepted
)

// pendingOrder is the state of the first step of an engine's plan.
type pendingOrder struct {
	state stepState
	tries int
	// uncertain is set once an order got no reply: a late copy of it may still be
	// accepted while the engine's count of orders stays the same.
	uncertain bool
	polls     int
	// afterUnload is set when the order has to wait for the end of an unload.
	afterUnload bool
	doneAt      time.Time // expected end of an accepted order
	// changedAt is when the state was entered.
	changedAt time.Time
}

// acceptsOrders reports whether the engine can be sent an order: its inventory
// is known and no plan is in progress.
func (e *engine) acceptsOrders() bool { return e.plan == nil && e.orders >= 0 }

// remainingLoad returns the remaining time of a load of the model that is
// planned or in progress.
func (e *engine) remainingLoad(now time.Time, name string) (time.Duration, bool) {
	rep := e.replicas[name]
	if rep == nil || rep.state != loading {
		return 0, false
	}
	if e.order.state == stepAccepted && len(e.plan.steps) == 1 {
		return max(0, e.order.doneAt.Sub(now)), true
	}
	return e.loadEstimate, true
}

// startLoad starts to load a model on an engine without a plan.
func (c *Cell) startLoad(now time.Time, e *engine, name, reason string) {
	if !c.mayOrder || !e.acceptsOrders() || e.replicas[name] != nil || !c.mayAdd(now, e, name) {
		return
	}
	victims, _, ok := c.victims(now, e, name)
	if !ok {
		return
	}
	p := &plan{model: name, reason: reason, startedAt: now, remote: e.tier[name] == tierRemote}
	for _, v := range victims {
		v.state = unloading
		p.steps = append(p.steps, step{unload: true, model: v.model})
	}
	p.steps = append(p.steps, step{model: name})
	e.replicas[name] = &replica{model: name, memoryMB: c.spec.Models[name].MemoryMB, state: loading, adapters: make(map[string]*adapterReplica), lastUsed: now}
	e.loadEstimate = c.configuredLoadTime(e, name) + orderTime*time.Duration(len(p.steps))
	if p.remote {
		c.remote.start(now, remoteKey(e, name))
	}
	c.startPlan(now, e, p)
}

func remoteKey(e *engine, name string) string { return e.up.ID + "/" + name }

// startAdapter starts to load a request's adapter on an engine without a plan.
func (c *Cell) startAdapter(now time.Time, e *engine, req *Request) {
	p := &plan{model: req.Model, adapter: req.Adapter, reason: "request " + req.RequestID, startedAt: now}
	if !c.adapterFits(e, req.Model) {
		victim := c.adapterVictim(now, e)
		if victim == nil {
			return
		}
		e.replicas[victim.Model].adapters[victim.Adapter].state = unloading
		p.steps = append(p.steps, step{unload: true, model: victim.Model, adapter: victim.Adapter})
	}
	p.steps = append(p.steps, step{model: req.Model, adapter: req.Adapter})
	wait := c.modelOf(req.Model).adapterDelay + orderTime*time.Duration(len(p.steps)-1)
	e.replicas[req.Model].adapters[req.Adapter] = &adapterReplica{state: loading, readyAt: now.Add(wait), lastUsed: now}
	c.startPlan(now, e, p)
}

func (c *Cell) startPlan(now time.Time, e *engine, p *plan) {
	e.plan = p
	e.order = pendingOrder{changedAt: now}
	c.index.valid = false
	c.sendStep(now, e, 0)
}

// sendStep sends the first step of an engine's plan.
func (c *Cell) sendStep(now time.Time, e *engine, after time.Duration) {
	s := e.plan.steps[0]
	expected := e.orders
	e.order.state = stepSent
	e.order.changedAt = now
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

func (c *Cell) inspect(now time.Time, e *engine, after time.Duration) {
	if e.inspecting {
		return
	}
	e.inspecting = true
	e.inspectedAt = now.Add(after)
	c.actions.Inspects = append(c.actions.Inspects, InspectCall{Upstream: e.up, After: after})
}

// HandleOrderResult processes the result of an OrderCall.
func (c *Cell) HandleOrderResult(now time.Time, upstreamID string, order fleet.Order, result fleet.OrderResult) Actions {
	e := c.engines[upstreamID]
	if e == nil || e.plan == nil || e.order.state != stepSent || *order.ExpectedOrders != e.orders {
		return c.takeActions()
	}
	s := e.plan.steps[0]
	if s.model != order.Model || s.adapter != order.Adapter || s.unload != order.Unload {
		return c.takeActions()
	}
	switch result {
	case fleet.OrderAccepted:
		e.orders++
		c.handleAccepted(now, e, s)
	case fleet.OrderSatisfied:
		if s.unload && s.adapter != "" {
			e.orders++ // an unused adapter is unloaded at once, and the order is counted
		}
		c.completeStep(now, e, s)
	case fleet.OrderConflict:
		c.handleConflict(now, e)
	case fleet.OrderUnknown:
		e.order.uncertain = true
		e.order.state = stepIdle
		e.order.changedAt = now
		c.inspect(now, e, inspectInterval)
	case fleet.OrderFenced, fleet.OrderWrongUpstream:
		// This router has lost the lease, or the engine's registration is about to be
		// removed.
		c.abandonPlan(e)
		e.ejectedUntil = now.Add(maxEjection)
	case fleet.OrderInvalid:
		c.abandonPlan(e)
		e.orders = -1
		c.inspect(now, e, inspectInterval)
	}
	c.dispatchAfterEvent(now)
	return c.takeActions()
}

func (c *Cell) handleAccepted(now time.Time, e *engine, s step) {
	e.lastOrderAt = now
	switch {
	case s.adapter != "" && !s.unload:
		if a := e.adapter(s.model, s.adapter); a != nil {
			a.state = loaded
			a.loadedAt = now
			a.readyAt = now.Add(c.modelOf(s.model).adapterDelay)
		}
		c.nextStep(now, e)
	case s.adapter != "":
		c.waitForCompletion(now, e, evictTime)
	case s.unload:
		// The engine refuses the next order until the unload is complete.
		e.order = pendingOrder{state: stepAccepted, changedAt: now, doneAt: now}
		if len(e.plan.steps) > 1 {
			c.finishUnload(e, s)
			e.plan.steps = e.plan.steps[1:]
			e.order = pendingOrder{changedAt: now, afterUnload: true}
			c.sendStep(now, e, unloadTime)
			return
		}
		c.inspect(now, e, inspectInterval)
	default:
		c.waitForCompletion(now, e, c.configuredLoadTime(e, s.model))
	}
}

// configuredLoadTime is the configured load time from the tier of the host.
func (c *Cell) configuredLoadTime(e *engine, name string) time.Duration {
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

func (c *Cell) waitForCompletion(now time.Time, e *engine, expected time.Duration) {
	e.order = pendingOrder{state: stepAccepted, changedAt: now, doneAt: now.Add(expected)}
	if interval := c.spec.LoadPollInterval; interval > 0 {
		expected = min(expected, interval)
	}
	c.inspect(now, e, expected)
}

// completeStep records the end of a step.
func (c *Cell) completeStep(now time.Time, e *engine, s step) {
	e.lastOrderAt = now
	switch {
	case s.unload:
		c.finishUnload(e, s)
	case s.adapter != "":
		if a := e.adapter(s.model, s.adapter); a != nil {
			a.state = loaded
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
		delete(e.replicas, s.model)
		e.cache.forget(s.model)
		return
	}
	if rep := e.replicas[s.model]; rep != nil {
		delete(rep.adapters, s.adapter)
	}
}

func (c *Cell) finishLoad(now time.Time, e *engine, name string) {
	if rep := e.replicas[name]; rep != nil {
		rep.state = loaded
		rep.lastUsed = now
	}
	if e.plan != nil && e.plan.remote {
		c.remote.finish(now, remoteKey(e, name), c.spec.Models[name].RemoteLoad)
	}
	e.tier[name] = tierMemory
}

func (c *Cell) nextStep(now time.Time, e *engine) {
	e.plan.steps = e.plan.steps[1:]
	e.order = pendingOrder{changedAt: now}
	if len(e.plan.steps) == 0 {
		e.plan = nil
		return
	}
	c.sendStep(now, e, 0)
}

// handleConflict backs off from an engine that is busy or has a different count
// of orders.
func (c *Cell) handleConflict(now time.Time, e *engine) {
	e.order.tries++
	e.order.state = stepIdle
	e.order.changedAt = now
	if e.order.afterUnload && e.order.tries < maxUnloadTries {
		c.sendStep(now, e, unloadRetryInterval)
		return
	}
	if e.order.tries%triesPerInspect == 0 {
		c.inspect(now, e, 0)
		return
	}
	c.sendStep(now, e, min(maxBackoff, firstBackoff<<min(e.order.tries-1, 3)))
}

// abandonPlan drops the plan and reverts the state of steps that were not
// completed.
func (c *Cell) abandonPlan(e *engine) {
	if e.plan == nil {
		return
	}
	for _, s := range e.plan.steps {
		c.undoStep(e, s)
	}
	if e.plan.remote {
		c.remote.abandon(remoteKey(e, e.plan.model))
	}
	e.plan = nil
	e.order = pendingOrder{}
}

func (c *Cell) undoStep(e *engine, s step) {
	rep := e.replicas[s.model]
	if rep == nil {
		return
	}
	switch {
	case s.adapter == "" && s.unload:
		rep.state = loaded
	case s.adapter == "":
		delete(e.replicas, s.model)
	case s.unload:
		if a := rep.adapters[s.adapter]; a != nil {
			a.state = loaded
		}
	default:
		delete(rep.adapters, s.adapter)
	}
}

// orderTimeout is the wait for the result of an order after which the engine is
// inspected. It exceeds the timeout of the order call itself.
const orderTimeout = 2 * time.Second

// checkOrders inspects engines whose plans do not progress.
func (c *Cell) checkOrders(now time.Time) {
	for _, e := range c.engines {
		if e.plan == nil || e.inspecting || now.Sub(e.order.changedAt) < orderTimeout {
			continue
		}
		if e.order.state == stepAccepted && now.Before(e.order.doneAt) {
			continue
		}
		if e.order.state == stepSent {
			e.order.state = stepIdle
			e.order.uncertain = true
		}
		e.order.changedAt = now
		c.inspect(now, e, 0)
	}
}

package scheduler

import (
	"slices"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/turn"
)

const (
	// otherDomainDelay is the extra latency to an engine in another failure domain.
	// It also stands for the price of traffic between domains.
	otherDomainDelay = 3 * time.Millisecond
	// perRunDelay is the delay that each running request adds to the first event of
	// another.
	perRunDelay = 500 * time.Microsecond
	// ejectedPenalty ranks ejected engines behind all others.
	ejectedPenalty = 2 * time.Second
	// orderTime is the round-trip time of an order.
	orderTime = 15 * time.Millisecond
	// reportLag is the time from the end of a load until an inventory shows it.
	reportLag = 120 * time.Millisecond
	// evictTime is the extra time if another adapter has to be evicted first.
	evictTime = 10 * time.Millisecond
	// maxLoadingAdapters is how many adapters an engine loads at the same time.
	maxLoadingAdapters = 4
	// capacityRetryDelay is the retry delay of a request that was refused for lack
	// of capacity.
	capacityRetryDelay = 500 * time.Millisecond
)

// option is a possible placement of a request.
type option struct {
	engine *engine
	// wait is the time until the model and the adapter are loaded, firstEvent the
	// time until the first event.
	wait, firstEvent time.Duration
	// cost is firstEvent plus the delay that the placement causes for other
	// requests.
	cost    time.Duration
	adapter adapterNeed
	// prefillDelay is the wait for a prefill slot, prefill the prefill time, paceDelay the wait
	// for the engine's rate limit.
	prefillDelay, prefill, paceDelay time.Duration
}

type adapterNeed int

const (
	adapterNone adapterNeed = iota
	adapterLoading
	adapterLoad
)

// maxEventDispatch is the number of waiting requests times engines up to which each event
// dispatches. Above it the next tick does: a new holder of a large fleet reads thousands of
// inventories while thousands of requests wait.
const maxEventDispatch = 20_000

// dispatchAfterEvent dispatches unless that is left to the next tick.
func (c *Cell) dispatchAfterEvent(now time.Time) {
	if len(c.waiting)*len(c.engines) <= maxEventDispatch {
		c.dispatch(now)
	}
}

// dispatch tries to place the waiting requests in their turn.
func (c *Cell) dispatch(now time.Time) {
	c.resetQueuedPrefill()
	c.resetQueuedPace()
	c.dispatching = true
	defer func() { c.dispatching = false }()
	if len(c.waiting) == 0 {
		return
	}
	turn.Sort(now, c.waiting, func(w *waiter) turn.Claim { return w.claim(now) }, &c.shares)
	kept := c.waiting[:0]
	pass := c.newPass(now)
	for _, w := range c.waiting {
		if pass.skips(now, w) || !c.decide(now, w) {
			pass.note(w)
			kept = append(kept, w)
		}
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
}

// decide grants or refuses a waiting request. It returns false if the request
// has to wait on.
func (c *Cell) decide(now time.Time, w *waiter) bool {
	if !now.Before(w.req.Deadline) {
		return c.refuse(w, capacityRetryDelay, "no place in time"+w.waitedFor())
	}
	if now.Before(w.notBefore) {
		return false
	}
	if w.req.isRestricted() && !c.mayBeServed(w.req) {
		return c.refuse(w, capacityRetryDelay, "every engine that may serve it has failed it or takes no requests from its router")
	}
	if !c.isConfigured(w.req.Model) {
		return c.refuse(w, capacityRetryDelay, "model is not configured")
	}
	ready, found := c.bestReady(now, w.req)
	if found && now.Add(ready.firstEvent).Before(latest(w.req.Objective, now.Add(acceptableWait))) {
		return c.admit(now, w, ready)
	}
	other, loads := c.bestLoad(now, w.req)
	if found && (!loads || ready.firstEvent <= other.firstEvent) {
		return c.admit(now, w, ready)
	}
	if !loads {
		if wait, hopeless := c.isHopeless(now, w); hopeless {
			return c.refuse(w, wait, "model can't be there in time")
		}
		w.reason = "no room"
		c.retire(now, w.req)
		return false
	}
	if now.Add(other.firstEvent).After(w.req.Deadline) {
		return c.refuse(w, other.wait, "model can't be there in time")
	}
	w.reason = "model load"
	c.startLoad(now, other.engine, w.req.Model, "request "+w.req.RequestID)
	return false
}

// waitsForPrefill is the reason of a request that waits for a prefill slot only.
const waitsForPrefill = "turn at the engine"

// waitedFor returns what a request waited for, for the reason of its refusal.
func (w *waiter) waitedFor() string {
	if w.reason == "" {
		return ""
	}
	return " (" + w.reason + ")"
}

// acceptableWait is the wait for a loaded model below which no load is
// considered.
const acceptableWait = 100 * time.Millisecond

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *Cell) refuse(w *waiter, retryAfter time.Duration, reason string) bool {
	c.actions.Refusals = append(c.actions.Refusals, Refusal{Key: w.req.Key, Request: w.req, RetryAfter: retryAfter, Reason: reason})
	return true
}

// admit grants a placement on an engine that has the model loaded. It returns
// false while the adapter is loading or the prompt waits for a prefill slot.
func (c *Cell) admit(now time.Time, w *waiter, o option) bool {
	switch o.adapter {
	case adapterLoad:
		c.startAdapter(now, o.engine, w.req)
		w.reason = "adapter load"
		return false
	case adapterLoading:
		w.reason = "adapter load"
		w.notBefore = now.Add(o.wait)
		return false
	case adapterNone:
	}
	if o.paceDelay > 0 {
		return c.awaitPace(now, w, o)
	}
	if o.prefillDelay > 0 {
		if !c.canWait(now, w, o) {
			return c.refuse(w, o.firstEvent, "the engines are too busy")
		}
		w.reason = waitsForPrefill
		c.queuePrefill(o.engine, o.prefill)
		return false
	}
	r := c.startRun(now, w.req, o.engine)
	c.shares.Use(now, w.claim(now))
	c.opts.Pace.Take(now, o.engine.up.ID)
	c.actions.Grants = append(c.actions.Grants, Grant{
		Trial:    w.req.trial,
		Key:      w.req.Key,
		Request:  w.req,
		Upstream: o.engine.up,
		Waited:   now.Sub(w.since),
		Expected: o.firstEvent,
		Reason:   w.reason,
	})
	return r != nil
}

// bestReady returns the cheapest engine that has the model loaded.
func (c *Cell) bestReady(now time.Time, req *Request) (option, bool) {
	var best option
	found := false
	for _, e := range c.engines {
		if !c.mayServe(e, req) || e.ready(req.Model) == nil || c.isFull(e, req) {
			continue
		}
		o, ok := c.readyOption(now, e, req)
		if ok && (!found || o.less(best)) {
			best = o
			found = true
		}
	}
	return best, found
}

// less orders options by cost. Ties are broken by id, which keeps decisions
// reproducible.
func (o option) less(other option) bool {
	if o.cost != other.cost {
		return o.cost < other.cost
	}
	return o.engine.up.ID < other.engine.up.ID
}

// isRestricted reports whether only some engines may serve a request.
func (r *Request) isRestricted() bool { return len(r.Tried)+len(r.Avoid) > 0 }

func (c *Cell) mayServe(e *engine, req *Request) bool {
	if !e.usable() || slices.Contains(req.Avoid, e.up.ID) {
		return false
	}
	tried := slices.Contains(req.Tried, e.up.ID)
	if len(req.Tried) == 0 {
		return true
	}
	return tried != req.MayMove
}

// mayBeServed reports whether any engine may serve a request.
func (c *Cell) mayBeServed(req *Request) bool {
	for _, e := range c.engines {
		if c.mayServe(e, req) {
			return true
		}
	}
	return false
}

// isCachedFor reports whether the host of an engine that may serve the request,
// but does not have its model loaded, has the weights cached. The model is then
// not loaded from the weight store on other hosts.
func (c *Cell) isCachedFor(req *Request) bool {
	if !req.isRestricted() {
		return c.isCached(req.Model)
	}
	for _, e := range c.engines {
		if c.mayServe(e, req) && e.tier[req.Model] != tierRemote && e.replicas[req.Model] == nil {
			return true
		}
	}
	return false
}

func (c *Cell) isFull(e *engine, req *Request) bool {
	if len(e.runs) == 0 {
		return false
	}
	if slots := max(c.spec.Slots, 1); len(e.runs) >= slots {
		return true
	}
	return c.spec.KVTokens > 0 && e.kvTokens+req.PromptTokens+req.OutputTokens > c.spec.KVTokens
}

func (c *Cell) readyOption(now time.Time, e *engine, req *Request) (option, bool) {
	o := option{engine: e}
	if req.Adapter != "" {
		var ok bool
		o.wait, o.adapter, ok = c.adapterWait(now, e, req)
		if !ok {
			return o, false
		}
	}
	slowdown := e.speed.Slowdown(now)
	prefill := scaled(c.modelOf(req.Model).prefillTime(e.cache.uncached(req)), slowdown)
	o.prefill = prefill
	o.prefillDelay = c.prefillDelay(now, e, prefill)
	o.paceDelay = c.paceDelay(now, e)
	o.firstEvent = max(o.wait, e.backlog(now)+e.queuedPrefill, o.prefillDelay+e.queuedPrefill, o.paceDelay) + prefill + firstEventDelay + scaled(time.Duration(len(e.runs))*perRunDelay, slowdown)
	if now.Before(e.ejectedUntil) {
		o.firstEvent += ejectedPenalty
	}
	o.cost = o.firstEvent + c.paceCost(e) + e.streamCost(now, prefill) + time.Duration(e.failureRate*float64(failureCost))
	if e.up.FailureDomain != req.FailureDomain {
		o.cost += otherDomainDelay
	}
	return o, true
}

// adapterWait returns the time until an adapter is loaded.
func (c *Cell) adapterWait(now time.Time, e *engine, req *Request) (time.Duration, adapterNeed, bool) {
	a := e.adapter(req.Model, req.Adapter)
	switch {
	case a == nil:
	case a.reportedMissing:
		return 0, adapterNone, false
	case a.state == loaded && !now.Before(a.readyAt):
		return 0, adapterNone, true
	case a.state == unloading:
		return 0, adapterNone, false
	default:
		return max(time.Millisecond, a.readyAt.Sub(now)), adapterLoading, true
	}
	if !c.mayOrder || !e.acceptsOrders() || e.loadingAdapters(now) >= maxLoadingAdapters || !c.adapterLoadsAllowed(now) {
		return 0, adapterNone, false
	}
	wait := c.modelOf(req.Model).adapterDelay
	if !c.adapterFits(e, req.Model) {
		if c.adapterVictim(now, e) == nil {
			return 0, adapterNone, false
		}
		wait += evictTime
	}
	return wait, adapterLoad, true
}

func (c *Cell) adapterFits(e *engine, model string) bool {
	return e.usedAdapterSlots() < c.spec.AdapterSlots && e.usedMB(c.spec)+c.spec.Models[model].AdapterMB <= e.memoryMB(c.spec)
}

// adapterVictim returns the least recently used idle adapter. Adapters that may
// still be loading are excluded, since unloading them has no effect.
func (c *Cell) adapterVictim(now time.Time, e *engine) *fleet.AdapterRef {
	var best *fleet.AdapterRef
	var oldest time.Time
	for _, rep := range e.replicas {
		if rep.state != loaded {
			continue
		}
		for name, a := range rep.adapters {
			if a.state != loaded || a.running > 0 || now.Before(a.readyAt.Add(adapterLoadGrace)) || c.isAwaited(rep.model, name) {
				continue
			}
			if best == nil || a.lastUsed.Before(oldest) || a.lastUsed.Equal(oldest) && name < best.Adapter {
				best = &fleet.AdapterRef{Model: rep.model, Adapter: name}
				oldest = a.lastUsed
			}
		}
	}
	return best
}

func (c *Cell) isAwaited(model, adapter string) bool {
	for _, w := range c.waiting {
		if w != nil && w.req.Model == model && (adapter == "" || w.req.Adapter == adapter) {
			return true
		}
	}
	return false
}

// bestLoad returns the engine on which a load of the model costs least,
// evictions included. An engine that already loads the model takes precedence.
func (c *Cell) bestLoad(now time.Time, req *Request) (option, bool) {
	prefill := c.modelOf(req.Model).prefillTime(req.PromptTokens) + firstEventDelay
	mayFetch := !c.isCachedFor(req)
	var best option
	var bestCost time.Duration
	found := false
	for _, e := range c.engines {
		if !c.mayServe(e, req) {
			continue
		}
		if remaining, ok := e.remainingLoad(now, req.Model); ok {
			wait := remaining + reportLag
			return option{engine: e, wait: wait, firstEvent: wait + prefill}, true
		}
		if !c.mayOrder || e.replicas[req.Model] != nil || now.Before(e.ejectedUntil) {
			continue
		}
		wait, cost, ok := c.loadCost(now, e, req.Model, mayFetch)
		if !ok {
			continue
		}
		if !found || cost < bestCost || cost == bestCost && e.up.ID < best.engine.up.ID {
			best = option{engine: e, wait: wait, firstEvent: wait + prefill}
			bestCost = cost
			found = true
		}
	}
	return best, found
}

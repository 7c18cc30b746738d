package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

const (
	// otherDomain is the extra time to an engine in another failure domain; it
	// also stands for the price of bytes between domains.
	otherDomain = 3 * time.Millisecond
	// perRun is what each running request adds to the first event of another.
	perRun = 500 * time.Microsecond
	// avoidPenalty ranks engines that fail behind all others.
	avoidPenalty = 2 * time.Second
	// orderTime is the time of one order with its answer.
	orderTime = 15 * time.Millisecond
	// reportLag is how much later than its end a load is seen in a report.
	reportLag = 120 * time.Millisecond
	// evictTime is added for an adapter that has to be evicted first.
	evictTime = 10 * time.Millisecond
	// maxComingAdapters is how many adapters an engine fetches at the same time.
	maxComingAdapters = 4
	// roomPause is the Retry-After of a request for which there is no room.
	roomPause = 500 * time.Millisecond
)

// option is one way to serve an ask.
type option struct {
	engine *engine
	// wait is the time until the model and the adapter are there, first the time
	// until the first event.
	wait, first time.Duration
	// cost is first with what the choice costs other requests.
	cost    time.Duration
	adapter adapterNeed
	// turn is the time until the engine takes the prompt, read that to read it.
	turn, read time.Duration
}

type adapterNeed int

const (
	adapterNone adapterNeed = iota
	adapterComing
	adapterLoad
)

// dispatch tries to place every waiting ask, the most urgent first.
func (c *Cell) dispatch(now time.Time) {
	c.releaseTurns()
	c.dispatching = true
	defer func() { c.dispatching = false }()
	if len(c.waiting) == 0 {
		return
	}
	slices.SortStableFunc(c.waiting, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.rank(now), b.rank(now)), a.ask.Objective.Compare(b.ask.Objective))
	})
	kept := c.waiting[:0]
	pass := c.newPass(now)
	for _, w := range c.waiting {
		if pass.skips(now, w) || !c.settle(now, w) {
			pass.note(w)
			kept = append(kept, w)
		}
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
}

// settle grants or refuses a waiting ask; it reports false if the ask waits on.
func (c *Cell) settle(now time.Time, w *waiter) bool {
	if !now.Before(w.ask.Deadline) {
		return c.refuse(w, roomPause, "no place in time"+w.waitedFor())
	}
	if now.Before(w.notBefore) {
		return false
	}
	if len(w.ask.Tried) > 0 && !c.mayBeServed(w.ask) {
		return c.refuse(w, roomPause, "every engine that may serve it has failed it")
	}
	if c.spec != nil && len(c.spec.Models) > 0 {
		if _, known := c.spec.Models[w.ask.Model]; !known {
			return c.refuse(w, roomPause, "model is not configured")
		}
	}
	ready, found := c.bestReady(now, w.ask)
	if found && now.Add(ready.first).Before(latest(w.ask.Objective, now.Add(minPatience))) {
		return c.admit(now, w, ready)
	}
	other, loads := c.bestLoad(now, w.ask)
	if found && (!loads || ready.first <= other.first) {
		return c.admit(now, w, ready)
	}
	if !loads {
		w.reason = "no room"
		c.retire(now, w.ask)
		return false
	}
	if now.Add(other.first).After(w.ask.Deadline) {
		return c.refuse(w, other.wait, "model can't be there in time")
	}
	w.reason = "model load"
	c.startLoad(now, other.engine, w.ask.Model, "request "+w.ask.RequestID)
	return false
}

// waitsForTurn is why a request waits though its model is there.
const waitsForTurn = "turn at the engine"

// waitedFor tells what a request waited for, for the reason of its refusal.
func (w *waiter) waitedFor() string {
	if w.reason == "" {
		return ""
	}
	return " (" + w.reason + ")"
}

// minPatience is the wait for a loaded model below which no load is considered.
const minPatience = 100 * time.Millisecond

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *Cell) refuse(w *waiter, retryAfter time.Duration, reason string) bool {
	c.actions.Refusals = append(c.actions.Refusals, Refusal{Key: w.ask.Key, Request: w.ask, RetryAfter: retryAfter, Reason: reason})
	return true
}

// admit grants an option whose model is loaded, after its adapter is there.
func (c *Cell) admit(now time.Time, w *waiter, o option) bool {
	switch o.adapter {
	case adapterLoad:
		c.startAdapter(now, o.engine, w.ask)
		w.reason = "adapter load"
		return false
	case adapterComing:
		w.reason = "adapter load"
		w.notBefore = now.Add(o.wait)
		return false
	case adapterNone:
	}
	if o.turn > 0 {
		if !c.canWait(now, w, o) {
			return c.refuse(w, o.first, "the engines are too busy")
		}
		w.reason = waitsForTurn
		c.holdTurn(o.engine, o.read)
		return false
	}
	r := c.startRun(now, w.ask, o.engine)
	c.actions.Grants = append(c.actions.Grants, Grant{
		Key:      w.ask.Key,
		Request:  w.ask,
		Upstream: o.engine.up,
		Waited:   now.Sub(w.since),
		Expected: o.first,
		Reason:   w.reason,
	})
	return r != nil
}

// bestReady returns the best engine that holds the model.
func (c *Cell) bestReady(now time.Time, ask *Request) (option, bool) {
	var best option
	found := false
	for _, e := range c.engines {
		if !c.mayServe(e, ask) || e.ready(ask.Model) == nil || c.isFull(e, ask) {
			continue
		}
		o, ok := c.readyOption(now, e, ask)
		if ok && (!found || o.less(best)) {
			best = o
			found = true
		}
	}
	return best, found
}

// less orders options; ids break ties so that decisions can be repeated.
func (o option) less(other option) bool {
	if o.cost != other.cost {
		return o.cost < other.cost
	}
	return o.engine.up.ID < other.engine.up.ID
}

func (c *Cell) mayServe(e *engine, ask *Request) bool {
	if !e.usable() {
		return false
	}
	tried := slices.Contains(ask.Tried, e.up.ID)
	if len(ask.Tried) == 0 {
		return true
	}
	return tried != ask.MayMove
}

// mayBeServed reports whether any engine may take an ask.
func (c *Cell) mayBeServed(ask *Request) bool {
	for _, e := range c.engines {
		if c.mayServe(e, ask) {
			return true
		}
	}
	return false
}

// isAtHandFor reports whether an engine that may take the ask, and does not hold
// its model, has the weights on its host. Others are then not fetched from the
// weight store.
func (c *Cell) isAtHandFor(ask *Request) bool {
	if len(ask.Tried) == 0 {
		return c.isAtHand(ask.Model)
	}
	for _, e := range c.engines {
		if c.mayServe(e, ask) && e.tier[ask.Model] != tierRemote && e.copies[ask.Model] == nil {
			return true
		}
	}
	return false
}

func (c *Cell) isFull(e *engine, ask *Request) bool {
	if len(e.runs) == 0 {
		return false
	}
	if slots := max(c.spec.Slots, 1); len(e.runs) >= slots {
		return true
	}
	return c.spec.KVTokens > 0 && e.kvTokens+ask.PromptTokens+ask.OutputTokens > c.spec.KVTokens
}

func (c *Cell) readyOption(now time.Time, e *engine, ask *Request) (option, bool) {
	o := option{engine: e}
	if ask.Adapter != "" {
		var ok bool
		o.wait, o.adapter, ok = c.adapterWait(now, e, ask)
		if !ok {
			return o, false
		}
	}
	read := c.modelOf(ask.Model).readTime(e.cache.uncached(ask))
	o.read = read
	o.turn = e.turn(now, read)
	o.first = max(o.wait, e.backlog(now)+e.held, o.turn+e.held) + read + firstEventTime + time.Duration(len(e.runs))*perRun
	if now.Before(e.avoidUntil) {
		o.first += avoidPenalty
	}
	o.cost = o.first + e.disturbance(now, read) + time.Duration(e.failing*float64(failureCost))
	if e.up.FailureDomain != ask.FailureDomain {
		o.cost += otherDomain
	}
	return o, true
}

// adapterWait returns the time until an adapter is there.
func (c *Cell) adapterWait(now time.Time, e *engine, ask *Request) (time.Duration, adapterNeed, bool) {
	a := e.adapter(ask.Model, ask.Adapter)
	switch {
	case a == nil:
	case a.doubted:
		return 0, adapterNone, false
	case a.state == present && !now.Before(a.readyAt):
		return 0, adapterNone, true
	case a.state == unloading:
		return 0, adapterNone, false
	default:
		return max(time.Millisecond, a.readyAt.Sub(now)), adapterComing, true
	}
	if !c.mayOrder || !e.isFree() || e.comingAdapters(now) >= maxComingAdapters || !c.adapterLoadsAllowed(now) {
		return 0, adapterNone, false
	}
	wait := c.modelOf(ask.Model).adapterDelay
	if !c.adapterFits(e, ask.Model) {
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

// adapterVictim returns the idle adapter that was used longest ago. One that
// may still be on its way is none: unloading it has no effect.
func (c *Cell) adapterVictim(now time.Time, e *engine) *fleet.AdapterRef {
	var best *fleet.AdapterRef
	var oldest time.Time
	for _, w := range e.copies {
		if w.state != present {
			continue
		}
		for name, a := range w.adapters {
			if a.state != present || a.running > 0 || now.Before(a.readyAt.Add(adapterSettle)) || c.isWanted(w.model, name) {
				continue
			}
			if best == nil || a.lastUsed.Before(oldest) || a.lastUsed.Equal(oldest) && name < best.Adapter {
				best = &fleet.AdapterRef{Model: w.model, Adapter: name}
				oldest = a.lastUsed
			}
		}
	}
	return best
}

func (c *Cell) isWanted(model, adapter string) bool {
	for _, w := range c.waiting {
		if w != nil && w.ask.Model == model && (adapter == "" || w.ask.Adapter == adapter) {
			return true
		}
	}
	return false
}

// bestLoad returns the engine on which the model would be loaded soonest, with
// what its victims are worth taken into account. An engine that loads the model
// already comes first.
func (c *Cell) bestLoad(now time.Time, ask *Request) (option, bool) {
	read := c.modelOf(ask.Model).readTime(ask.PromptTokens) + firstEventTime
	mayFetch := !c.isAtHandFor(ask)
	var best option
	var bestCost time.Duration
	found := false
	for _, e := range c.engines {
		if !c.mayServe(e, ask) {
			continue
		}
		if left, ok := e.loadLeft(now, ask.Model); ok {
			wait := left + reportLag
			return option{engine: e, wait: wait, first: wait + read}, true
		}
		if !c.mayOrder || e.copies[ask.Model] != nil || now.Before(e.avoidUntil) {
			continue
		}
		wait, cost, ok := c.loadCost(now, e, ask.Model, mayFetch)
		if !ok {
			continue
		}
		if !found || cost < bestCost || cost == bestCost && e.up.ID < best.engine.up.ID {
			best = option{engine: e, wait: wait, first: wait + read}
			bestCost = cost
			found = true
		}
	}
	return best, found
}

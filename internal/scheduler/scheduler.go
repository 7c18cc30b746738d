// Package scheduler decides, for the engines of one service, where requests run
// and which engine holds which model and adapter. It does no I/O: the caller
// feeds it events with the time and carries out the actions that it returns.
//
// A Cell is not safe for concurrent use.
package scheduler

import (
	"slices"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// PromptPart is a piece of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Request is a request that wants a place on an engine.
type Request struct {
	// Key is unique within the cell.
	Key uint64
	// RequestID is for logs.
	RequestID string
	Model     string
	Adapter   string
	Parts     []PromptPart
	// PromptTokens and OutputTokens bound what the request reads and writes.
	PromptTokens int64
	OutputTokens int64
	// Priority is the rank of the request, 0 first.
	Priority int
	// Ageing is the waiting time that improves the rank by one; 0 never does.
	Ageing time.Duration
	// Objective is when the first event should be there, GiveUp when the answer
	// must be whole.
	Objective time.Time
	Deadline  time.Time
	// MaxGap is the longest pause between the request's events that is still on
	// time; 0 if any is.
	MaxGap time.Duration
	// FailureDomain is where the router runs.
	FailureDomain string
	// Tried are the upstreams that got the request before; all of them failed.
	Tried []string
	// MayMove is set when the request may be sent to an upstream that it was not
	// tried on.
	MayMove bool

	keys []partKey // of Parts; see partKeys
}

// Grant sends a request to an engine.
type Grant struct {
	Key      uint64
	Request  *Request
	Upstream *fleet.Upstream
	// Waited is the time since the ask, Expected the estimate for the first event.
	Waited   time.Duration
	Expected time.Duration
	// Reason says why the request waited, for logs.
	Reason string
}

// Refusal tells a request that it can't be served in time.
type Refusal struct {
	Key        uint64
	Request    *Request
	RetryAfter time.Duration
	Reason     string
}

// OrderCall asks for an order to be sent. The answer goes to OrderAnswered.
type OrderCall struct {
	Upstream *fleet.Upstream
	Order    fleet.Order
	// Reason says what the order is for, for logs.
	Reason string
	// After delays the order.
	After time.Duration
}

// InspectCall asks for an engine's inventory. The answer goes to Inspected.
type InspectCall struct {
	Upstream *fleet.Upstream
	After    time.Duration
}

// Actions are what the caller has to carry out.
type Actions struct {
	Grants   []Grant
	Refusals []Refusal
	Orders   []OrderCall
	Inspects []InspectCall
}

// HasDecision reports whether the actions answer an ask.
func (a Actions) HasDecision(key uint64) bool {
	isGrant := func(g Grant) bool { return g.Key == key }
	isRefusal := func(r Refusal) bool { return r.Key == key }
	return slices.ContainsFunc(a.Grants, isGrant) || slices.ContainsFunc(a.Refusals, isRefusal)
}

// Outcome is how a granted request went on.
type Outcome int

// Values of Outcome.
const (
	// Started means that the first event arrived.
	Started Outcome = iota
	// Finished means that the answer is whole.
	Finished
	// NotRun means that the engine refused the request before it ran.
	NotRun
	// ModelMissing means that the engine does not hold the model or adapter.
	ModelMissing
	// Failed means that the engine broke off or gave no answer in time.
	Failed
	// Cancelled means that the caller left or its time ran out.
	Cancelled
)

var outcomeNames = [...]string{"started", "finished", "not_run", "model_missing", "failed", "cancelled"}

// String names the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Options configure a Cell.
type Options struct {
	// Holder and Fence identify the holder of the cell's lease in orders.
	Holder string
	Fence  int64
	// LoadWindow bounds the loads from the weight store that begin in any window
	// to what the configured rate allows.
	LoadWindow time.Duration
}

// Cell schedules the engines of one service.
type Cell struct {
	opts    Options
	spec    *fleet.EngineSpec
	engines map[string]*engine
	models  map[string]*model
	waiting []*waiter
	runs    map[uint64]*run
	remote  remoteLoads
	actions Actions
	// mayOrder is false until the former holder's orders are out of the way.
	mayOrder bool
	// trafficSeen is set by the first ask.
	trafficSeen bool
	preparedAt  time.Time
	reapedAt    time.Time
	fullPassAt  time.Time
	// holding is set while prompts wait for their turn at an engine.
	holding bool
	// dispatching is set while all waiting asks are tried in their order.
	dispatching bool
	index       index
}

// waiter is an ask that has no place yet.
type waiter struct {
	ask   *Request
	since time.Time
	// notBefore delays the next try.
	notBefore time.Time
	reason    string
}

// run is a granted request.
type run struct {
	ask       *Request
	engine    *engine
	grantedAt time.Time
	// work is the estimated prefill time.
	work time.Duration
	// uncached is the number of prompt tokens to be read.
	uncached int64
	alone    bool
	started  bool
}

// New makes a cell without engines that orders nothing until AllowOrders.
func New(opts Options) *Cell {
	return &Cell{
		opts:    opts,
		engines: make(map[string]*engine),
		models:  make(map[string]*model),
		runs:    make(map[uint64]*run),
		remote:  newRemoteLoads(opts),
	}
}

// AllowOrders lets the cell order from now on.
func (c *Cell) AllowOrders(now time.Time) Actions {
	if c.mayOrder {
		return c.take()
	}
	c.mayOrder = true
	for _, e := range c.engines {
		c.inspect(e, 0)
	}
	c.dispatch(now)
	return c.take()
}

// take returns the collected actions.
func (c *Cell) take() Actions {
	out := c.actions
	c.actions = Actions{}
	c.index.valid = false
	return out
}

// Submit takes an ask. Its grant or refusal may come with a later event.
func (c *Cell) Submit(now time.Time, ask *Request) Actions {
	c.trafficSeen = true
	c.modelOf(ask.Model).demand.addRequest(now)
	w := &waiter{ask: ask, since: now}
	if c.queueIsFull(ask.Model) {
		c.refuse(w, roomPause, "the model's queue is full")
		return c.take()
	}
	if !c.settle(now, w) {
		c.waiting = append(c.waiting, w)
	}
	return c.take()
}

// Adopt notes a request that was granted elsewhere, by a former holder or by a
// router on its own.
func (c *Cell) Adopt(now time.Time, ask *Request, upstreamID string, started bool) {
	e := c.engines[upstreamID]
	if e == nil {
		return
	}
	r := c.startRun(now, ask, e)
	if started {
		r.started = true
		e.dropPending(now, r)
	}
}

// Withdraw drops an ask that got no answer yet.
func (c *Cell) Withdraw(now time.Time, key uint64) Actions {
	for i, w := range c.waiting {
		if w.ask.Key == key {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			break
		}
	}
	if r := c.runs[key]; r != nil {
		c.endRun(now, r)
	}
	return c.take()
}

// Progress takes news of a granted request. The room that it leaves is given
// out by the next Tick.
func (c *Cell) Progress(now time.Time, key uint64, outcome Outcome) Actions {
	r := c.runs[key]
	if r == nil {
		return c.take()
	}
	switch outcome {
	case Started:
		c.learnPace(now, r)
		r.started = true
		r.engine.dropPending(now, r)
		r.engine.succeeded()
		return c.take()
	case NotRun:
		c.noteNotRun(now, r)
	case ModelMissing:
		r.engine.doubt(r.ask.Model, r.ask.Adapter)
		c.inspect(r.engine, 0)
	case Failed:
		r.engine.failed(now)
	case Finished, Cancelled:
	}
	c.endRun(now, r)
	return c.take()
}

// noteNotRun learns from a refusal: an adapter that was not there yet needs
// more time, otherwise the engine is full.
func (c *Cell) noteNotRun(now time.Time, r *run) {
	if r.ask.Adapter != "" {
		if a := r.engine.adapter(r.ask.Model, r.ask.Adapter); a != nil && now.Sub(a.loadedAt) < adapterSettle {
			c.modelOf(r.ask.Model).slowerAdapters()
			return
		}
	}
	r.engine.full(now)
}

// Tick lets time pass. It is due every few milliseconds while asks wait.
func (c *Cell) Tick(now time.Time) Actions {
	c.remote.tick(now)
	c.checkOrders(now)
	c.dispatch(now)
	c.prepare(now)
	c.reap(now)
	return c.take()
}

// Waiting returns the number of asks without a place.
func (c *Cell) Waiting() int { return len(c.waiting) }

// IsRunning reports whether a request was granted and has not ended.
func (c *Cell) IsRunning(key uint64) bool { return c.runs[key] != nil }

// Running returns the number of granted requests that have not ended.
func (c *Cell) Running() int { return len(c.runs) }

func (c *Cell) startRun(now time.Time, ask *Request, e *engine) *run {
	uncached := e.cache.uncached(ask)
	r := &run{
		ask:       ask,
		engine:    e,
		grantedAt: now,
		uncached:  uncached,
		work:      c.modelOf(ask.Model).readTime(uncached),
		alone:     len(e.pending) == 0,
	}
	c.runs[ask.Key] = r
	c.modelOf(ask.Model).demand.addWork(now, r.work)
	e.addRun(now, r)
	return r
}

func (c *Cell) endRun(now time.Time, r *run) {
	delete(c.runs, r.ask.Key)
	r.engine.removeRun(now, r)
}

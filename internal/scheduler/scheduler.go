// Package scheduler decides, for the engines of one service, where requests run
// and which engine has which model and adapter loaded. It does no I/O: the
// caller passes events with their time and carries out the actions that are
// returned.
//
// A Cell is the engines of one service with their requests. One router at a
// time, the holder of the cell's lease, schedules it. The holder replies to a
// placement request with a grant, which names an engine, or with a refusal. It
// loads and unloads models and adapters with orders. An order carries a fence,
// the fencing token of the lease, so that engines reject orders of previous
// holders. An engine reports its inventory when asked: what is loaded, and how
// many orders it accepted in this incarnation, which is one run of its process.
//
// A model is loaded from the tier that its host has it in: host memory, disk or,
// for a model that is not cached on the host, the weight store, which all hosts
// share. A replica is a model on an engine. Waiting requests are served by rank,
// and ageing improves the rank while they wait. Prompts to one engine are paced:
// a prompt waits for a prefill slot, so that running streams progress between
// prefills. A replica that is idle for its keep-alive is unloaded.
//
// A Cell is not safe for concurrent use.
package scheduler

import (
	"slices"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/blocklist"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/turn"
)

// PromptPart is a piece of a prompt that requests may share. Parts with equal
// IDs have equal content.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Request is a placement request: it asks for an engine.
type Request struct {
	// Key is unique within the cell.
	Key uint64
	// RequestID is used in logs.
	RequestID string
	Model     string
	Adapter   string
	Parts     []PromptPart
	// PromptTokens and OutputTokens are upper bounds.
	PromptTokens int64
	OutputTokens int64
	// Priority is the rank of the request, 0 first.
	Priority int
	// Ageing is the waiting time that improves the rank by one; 0 disables ageing.
	Ageing time.Duration
	// Objective is when the first event is due, Deadline when the response must be
	// complete.
	Objective time.Time
	Deadline  time.Time
	// MaxGap is the longest allowed gap between events of the response; 0 for no
	// limit.
	MaxGap time.Duration
	// FailureDomain is the failure domain of the router that sent the request.
	FailureDomain string
	// Tried are the upstreams on which earlier attempts failed.
	Tried []string
	// Avoid are upstreams that take no requests from the router for a while.
	Avoid []string
	// Workspace is that of the caller, empty for none; WorkspaceWeight is its claim in proportion
	// to that of others.
	Workspace       string
	WorkspaceWeight float64
	// MayMove is set when the request has to go to an upstream that is not in Tried.
	// Otherwise, if Tried is not empty, it has to go to one that is.
	MayMove bool

	keys []partKey // of Parts; see partKeys
	// trial is set when the request is let through to try a blocked part.
	trial bool
}

// Grant assigns a request to an engine.
type Grant struct {
	Key      uint64
	Request  *Request
	Upstream *fleet.Upstream
	// Waited is the time since Submit, Expected the estimated time from now to the
	// first event.
	Waited   time.Duration
	Expected time.Duration
	// Reason is what the request waited for; it is used in logs.
	Reason string
	// Trial is set when the request tries a part of its prompt that is blocked.
	Trial bool
}

// Refusal rejects a request that cannot be served in time.
type Refusal struct {
	Key        uint64
	Request    *Request
	RetryAfter time.Duration
	Reason     string
}

// OrderCall requests that an order is sent. Its result goes to
// HandleOrderResult.
type OrderCall struct {
	Upstream *fleet.Upstream
	Order    fleet.Order
	// Reason is the purpose of the order; it is used in logs.
	Reason string
	// After delays the order.
	After time.Duration
}

// InspectCall requests an engine's inventory. It goes to HandleInventory.
type InspectCall struct {
	Upstream *fleet.Upstream
	After    time.Duration
}

// Actions are to be carried out by the caller.
type Actions struct {
	Grants   []Grant
	Refusals []Refusal
	Orders   []OrderCall
	Inspects []InspectCall
	// Crashes, Blocked, Suspended and Unblocked are only for logs.
	Crashes   []CrashedEngine
	Blocked   []blocklist.Entry
	Suspended []blocklist.Entry
	Unblocked []blocklist.Entry
}

// HasDecision reports whether the actions grant or refuse a request.
func (a Actions) HasDecision(key uint64) bool {
	isGrant := func(g Grant) bool { return g.Key == key }
	isRefusal := func(r Refusal) bool { return r.Key == key }
	return slices.ContainsFunc(a.Grants, isGrant) || slices.ContainsFunc(a.Refusals, isRefusal)
}

// Options configure a Cell.
type Options struct {
	// Holder and Fence identify the holder of the cell's lease in orders.
	Holder string
	Fence  int64
	// LoadWindow is the sliding window in which the configured rate limits the loads
	// that start from the weight store.
	LoadWindow time.Duration
	// Pace has the rate limits that engines named; nil means that none does.
	Pace Pace
}

// Pace limits the requests to engines that name a rate limit.
type Pace interface {
	// Any reports whether any upstream has a limit.
	Any() bool
	// Delay returns the time until an upstream takes a request, 0 for one without a limit.
	Delay(now time.Time, upstreamID string) time.Duration
	// Interval returns the time between two requests to an upstream, 0 for one without a limit.
	Interval(upstreamID string) time.Duration
	// Take counts a request to an upstream whose Delay is 0.
	Take(now time.Time, upstreamID string)
	// RetryAfter returns when a refused request may come back that would wait too long for an
	// upstream.
	RetryAfter(now time.Time, upstreamID string, wait time.Duration) time.Duration
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
	// eventInterval is the time between two events of a stream on an engine that runs
	// little else; 0 while unknown.
	eventInterval time.Duration
	// mayOrder is false until AllowOrders: before, orders of the previous holder may
	// still take effect.
	mayOrder bool
	// trafficSeen is set by the first Submit.
	trafficSeen bool
	preparedAt  time.Time
	reapedAt    time.Time
	fullPassAt  time.Time
	// prefillQueued is set while a prompt waits for a prefill slot.
	prefillQueued bool
	// paceQueued is set while a request waits for the rate limit of an engine.
	paceQueued bool
	// dispatching is set while dispatch tries all waiting requests by rank.
	dispatching bool
	index       index
	ledger      *blocklist.Ledger
	shares      turn.Shares
	provenAt    time.Time
}

// waiter is a request without placement.
type waiter struct {
	req   *Request
	since time.Time
	// notBefore is the earliest time of the next try.
	notBefore time.Time
	reason    string
}

// run is a granted request.
type run struct {
	req       *Request
	engine    *engine
	grantedAt time.Time
	// prefill is the estimated prefill time.
	prefill time.Duration
	// uncached is the number of prompt tokens to be prefilled.
	uncached    int64
	soloPrefill bool
	// slowdown is that of the engine when the request was granted.
	slowdown float64
	started  bool
	// startedAt is when the first event arrived, zero if that is not known.
	startedAt time.Time
}

// New returns a cell without engines. It sends no orders until AllowOrders.
func New(opts Options) *Cell {
	if opts.Pace == nil {
		opts.Pace = unlimited{}
	}
	return &Cell{
		opts:    opts,
		engines: make(map[string]*engine),
		models:  make(map[string]*model),
		runs:    make(map[uint64]*run),
		remote:  newRemoteLoads(opts),
		ledger:  blocklist.NewLedger(),
	}
}

// AllowOrders lets the cell send orders from now on.
func (c *Cell) AllowOrders(now time.Time) Actions {
	if c.mayOrder {
		return c.takeActions()
	}
	c.mayOrder = true
	for _, e := range c.engines {
		c.inspect(now, e, 0)
	}
	c.dispatch(now)
	return c.takeActions()
}

// takeActions returns the collected actions and invalidates the index.
func (c *Cell) takeActions() Actions {
	out := c.actions
	c.actions = Actions{}
	c.index.valid = false
	return out
}

// Submit adds a placement request. Its grant or refusal may be returned by a
// later event.
func (c *Cell) Submit(now time.Time, req *Request) Actions {
	c.trafficSeen = true
	w := &waiter{req: req, since: now}
	if !c.isConfigured(req.Model) { // callers may name any: nothing of it may be kept
		c.refuse(w, capacityRetryDelay, "model is not configured")
		return c.takeActions()
	}
	c.modelOf(req.Model).demand.addRequest(now)
	if c.refuseIfBlocked(now, w) {
		return c.takeActions()
	}
	if c.queueIsFull(req.Model) {
		c.refuse(w, capacityRetryDelay, "the model's queue is full")
		return c.takeActions()
	}
	if req.Workspace != "" && c.waitingCount(req.Model) > 0 {
		c.waiting = append(c.waiting, w) // others may come first
		c.dispatchAfterEvent(now)
		return c.takeActions()
	}
	if !c.decide(now, w) {
		c.waiting = append(c.waiting, w)
	}
	return c.takeActions()
}

// Adopt adds a request that was granted by a previous holder, or that a router
// placed without the scheduler.
func (c *Cell) Adopt(now time.Time, req *Request, upstreamID string, started bool) {
	e := c.engines[upstreamID]
	if e == nil {
		return
	}
	r := c.startRun(now, req, e)
	if started {
		r.started = true
		e.dropPending(now, r)
	}
}

// Withdraw removes a request, whether it waits or was granted.
func (c *Cell) Withdraw(now time.Time, key uint64) Actions {
	for i, w := range c.waiting {
		if w.req.Key == key {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			break
		}
	}
	if r := c.runs[key]; r != nil {
		c.endRun(now, r)
	}
	return c.takeActions()
}

// Progress records the outcome of a granted request. Capacity that it frees is
// assigned by the next Tick.
func (c *Cell) Progress(now time.Time, key uint64, outcome Outcome) Actions {
	r := c.runs[key]
	if r == nil {
		return c.takeActions()
	}
	switch outcome {
	case Started:
		c.learnPrefillTime(now, r)
		r.started = true
		r.startedAt = now
		r.engine.dropPending(now, r)
		r.engine.recordSuccess()
		return c.takeActions()
	case NotRun:
		c.noteNotRun(now, r)
	case ModelMissing:
		r.engine.markMissing(r.req.Model, r.req.Adapter)
		c.inspect(now, r.engine, 0)
	case Failed:
		r.engine.recordFailure(now)
	case EndedByEngine:
		r.engine.recordFailure(now)
		c.noteBrokenOff(now, r)
	case Finished:
		c.recordSound(now, r.req)
	case Cancelled:
	}
	c.endRun(now, r)
	return c.takeActions()
}

// Tick advances the time. It is due every few milliseconds while requests wait.
func (c *Cell) Tick(now time.Time) Actions {
	c.remote.tick(now)
	c.checkOrders(now)
	c.dispatch(now)
	c.prepare(now)
	c.reap(now)
	return c.takeActions()
}

// Waiting returns the number of requests without placement.
func (c *Cell) Waiting() int { return len(c.waiting) }

// IsRunning reports whether a request was granted and has not ended.
func (c *Cell) IsRunning(key uint64) bool { return c.runs[key] != nil }

// Running returns the number of granted requests that have not ended.
func (c *Cell) Running() int { return len(c.runs) }

func (c *Cell) startRun(now time.Time, req *Request, e *engine) *run {
	uncached := e.cache.uncached(req)
	slowdown := e.speed.Slowdown(now)
	work := c.modelOf(req.Model).prefillTime(uncached)
	r := &run{
		slowdown:    slowdown,
		req:         req,
		engine:      e,
		grantedAt:   now,
		uncached:    uncached,
		prefill:     scaled(work, slowdown),
		soloPrefill: len(e.pending) == 0,
	}
	c.runs[req.Key] = r
	c.modelOf(req.Model).demand.addWork(now, work)
	c.notePrefill(now, e)
	e.addRun(now, r)
	return r
}

func (c *Cell) endRun(now time.Time, r *run) {
	delete(c.runs, r.req.Key)
	r.engine.removeRun(now, r)
	c.addDecodeWork(now, r)
}

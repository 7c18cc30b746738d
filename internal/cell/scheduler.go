package cell

import (
	"context"
	"sync/atomic"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/blocklist"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
	"github.com/ragwortdoor/ragwortdoor/internal/scheduler"
	"github.com/ragwortdoor/ragwortdoor/internal/workspace"
)

const (
	// tickInterval is the time between two ticks of a cell while requests wait,
	// idleTickInterval otherwise.
	tickInterval     = 10 * time.Millisecond
	idleTickInterval = 50 * time.Millisecond
	// engineTimeout bounds an order or the reading of an inventory.
	engineTimeout = 500 * time.Millisecond
	// eventQueueSize bounds the events that wait for the scheduler's goroutine.
	eventQueueSize = 16384
	// maxInspections bounds the inventories that are read at the same time. A new holder
	// reads all of them: without a bound the reads of thousands of engines slow each
	// other down until they time out.
	maxInspections = 64
	// initialSyncWait is how long a new holder sends no orders, until the routers
	// have reported their running requests: models and adapters in use must not be
	// unloaded.
	initialSyncWait = 350 * time.Millisecond
	// disconnectedRequestTimeout is how long the requests of a disconnected router
	// count as running, unless the router reconnects and lists its requests.
	disconnectedRequestTimeout = 5 * time.Second
	// requestNumberBits is the number of low bits of a key that hold the request's
	// number at its router; the session number is above them.
	requestNumberBits = 40
)

// SchedulerOptions configure a Scheduler.
type SchedulerOptions struct {
	Directory *fleet.Directory
	Engines   fleet.Engines
	Host      string
	// Cores is the processor share of this host.
	Cores float64
	// LoadWindow is the sliding window in which loads from the weight store are
	// bounded.
	LoadWindow time.Duration
	// MayOrder is called right before each order; RenewedAgo is sent to routers in
	// heartbeats.
	MayOrder   func() bool
	RenewedAgo func() time.Duration
	// LeaseVersion is the version of the lease row on which the term is based.
	LeaseVersion func() int64
	// OnFenced is called when an engine rejects an order because it has seen a
	// higher fence.
	OnFenced func()
	// OnSuperseded is called when a router reports that another one holds the lease,
	// with its address and the version of the lease row that names it.
	OnSuperseded func(address string, leaseVersion int64)
	// LeaseFresh reports whether no other router can have taken the lease; nil if none ever can.
	LeaseFresh func() bool
	// OnWorkspaces is called with workspaces of a newer configuration that a router has read.
	OnWorkspaces func(*workspace.Set)
	// Blocklist has the blocked prompts that this router knows of; nil means an empty
	// list.
	Blocklist *blocklist.List
	Log       DecisionLog
}

// DecisionLog logs each decision. Its methods must be safe for concurrent use and
// must not block.
type DecisionLog interface {
	Granted(service, router string, grant scheduler.Grant)
	Refused(service string, refusal scheduler.Refusal)
	Ordered(service string, call scheduler.OrderCall, result fleet.OrderResult, took time.Duration, err error)
	Inspected(upstreamID string, inventory fleet.Inventory, err error)
	HandedOver(router string, fence int64)
	EngineCrashed(service string, crashed scheduler.CrashedEngine)
	PromptBlocked(service string, entry blocklist.Entry)
	PromptSuspended(service string, entry blocklist.Entry)
	PromptUnblocked(service string, entry blocklist.Entry)
	LimitGranted(router string, decision pace.Decision)
	LimitRefused(router string, decision pace.Decision)
}

// Scheduler runs the cells on the router that holds the lease. Its state is
// accessed only by the goroutine of Run, which executes the queued events.
type Scheduler struct {
	opts   SchedulerOptions
	events chan func()
	// refreshes holds an element while the directory has changes that are not applied. They
	// go before events: heartbeats tell routers how old the list is that they were sent.
	refreshes chan struct{}
	ctx       context.Context
	// inspections holds an element for each inventory that is being read.
	inspections chan struct{}

	term LeaseTerm
	// ordersFrom is the time of the term's first order.
	ordersFrom time.Time
	active     bool
	cells      map[string]*scheduler.Cell
	sessions   map[uint64]*session
	// relayed is the upstream list as it was last relayed in this term; nil before.
	relayed *relayedList
	// pace issues the requests to upstreams with a limit. limitNews has the limits that
	// routers are to be told of. sharesDue is set when routers connect or disconnect, sharesAt
	// is when shares were last assigned after that.
	pace      *pace.Holder
	limitNews map[string]bool
	sharesDue bool
	sharesAt  time.Time
	// dealer deals the quotas of workspaces. lastTick is when the last tick was, on a clock that
	// also runs while the host is suspended.
	dealer       *pace.Dealer
	quotaRouters quotaRouters
	bootNow      func() time.Time
	lastTick     time.Time
	// workspaces are those that routers were last told of.
	workspaces  *workspace.Set
	lastSession uint64 // number of the newest session
	// disconnected holds the requests of disconnected routers. Their upstreams may
	// still run them.
	disconnected  []disconnectedRequest
	lastHeartbeat time.Time
	lastIdleTick  time.Time
	// fence is the fencing token of the current lease term, 0 without one.
	fence atomic.Int64
	// strongest is the processor share of the strongest connected router that
	// reaches the store, as float64 bits.
	strongest atomic.Uint64
	// quotaStates is how the quotas stood at the last heartbeat; nil outside of a term.
	quotaStates atomic.Pointer[map[string]pace.QuotaState]
}

// NewScheduler returns an inactive scheduler; Run and Start make it active.
func NewScheduler(opts SchedulerOptions) *Scheduler {
	if opts.Blocklist == nil {
		opts.Blocklist = &blocklist.List{}
	}
	if opts.OnWorkspaces == nil {
		opts.OnWorkspaces = func(*workspace.Set) {}
	}
	if opts.LeaseFresh == nil {
		opts.LeaseFresh = func() bool { return true }
	}
	return &Scheduler{
		opts:         opts,
		events:       make(chan func(), eventQueueSize),
		refreshes:    make(chan struct{}, 1),
		inspections:  make(chan struct{}, maxInspections),
		cells:        make(map[string]*scheduler.Cell),
		sessions:     make(map[uint64]*session),
		pace:         pace.NewHolder(),
		limitNews:    make(map[string]bool),
		dealer:       pace.NewDealer(),
		quotaRouters: newQuotaRouters(time.Now()),
		bootNow:      newBootClock(),
	}
}

// Run executes events until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	s.ctx = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.refreshIfDue()
		select {
		case <-ctx.Done():
			return
		case <-s.refreshes:
			s.refresh()
		case event := <-s.events:
			event()
		case <-ticker.C:
			s.tick()
		}
	}
}

// refreshIfDue applies the changes of the directory, if there are any.
func (s *Scheduler) refreshIfDue() {
	select {
	case <-s.refreshes:
		s.refresh()
	default:
	}
}

// post queues an event. It never blocks: it drops the event and returns false if
// the queue is full. Requests in dropped events time out at their routers.
func (s *Scheduler) post(event func()) bool {
	select {
	case s.events <- event:
		return true
	default:
		return false
	}
}

// Start begins a lease term.
func (s *Scheduler) Start(term LeaseTerm) {
	began := time.Now()
	s.post(func() {
		s.term = term
		s.fence.Store(term.Fence)
		s.ordersFrom = began.Add(max(initialSyncWait, term.OrdersHeldBack))
		s.active = true
		s.cells = make(map[string]*scheduler.Cell)
		s.pace = pace.NewHolder()
		clear(s.limitNews)
		s.dealer = pace.NewDealer()
		s.quotaRouters = newQuotaRouters(began)
		s.workspaces = nil
		s.disconnected = nil
		s.relayed = nil
		s.refresh()
	})
}

// Stop ends the lease term and disconnects all routers.
func (s *Scheduler) Stop() {
	s.post(func() {
		s.active = false
		s.fence.Store(0)
		s.quotaStates.Store(nil)
		s.cells = make(map[string]*scheduler.Cell)
		for _, session := range s.sessions {
			session.disconnect()
		}
		clear(s.sessions)
	})
}

// Refresh applies the current configuration and upstream list of the directory, before the
// events that are queued.
func (s *Scheduler) Refresh() {
	select {
	case s.refreshes <- struct{}{}:
	default: // the one that is due sees the directory's latest state
	}
}

func (s *Scheduler) refresh() {
	snapshot := s.opts.Directory.Load()
	if !s.active || snapshot.Config == nil || !snapshot.UpstreamListKnown {
		return
	}
	s.relayList(snapshot)
	s.relayWorkspaces(snapshot.Workspaces)
	now := time.Now()
	for name, service := range snapshot.Config.Services {
		if service.Engine == nil {
			continue
		}
		cell := s.cells[name]
		if cell == nil {
			cell = scheduler.New(scheduler.Options{
				Holder:     s.opts.Host,
				Fence:      s.term.Fence,
				LoadWindow: s.opts.LoadWindow,
				Pace:       s.pace,
			})
			s.cells[name] = cell
			s.apply(name, cell.AdoptBlocked(now, s.opts.Blocklist.Load()[name]))
		}
		s.apply(name, cell.Update(now, service.Engine, snapshot.ByService[name]))
	}
}

func (s *Scheduler) tick() {
	if !s.active {
		return
	}
	now := time.Now()
	idle := now.Sub(s.lastIdleTick) >= idleTickInterval
	if idle {
		s.lastIdleTick = now
		s.relayLimits(now)
		s.endDisconnectedRequests(now, func(r disconnectedRequest) bool { return now.After(r.until) })
	}
	for name, cell := range s.cells {
		if !idle && cell.Waiting() == 0 {
			continue
		}
		if !now.Before(s.ordersFrom) {
			s.apply(name, cell.AllowOrders(now))
		}
		s.apply(name, cell.Tick(now))
	}
	s.applyPace(s.pace.Tick(now), 0)
	s.tickQuotas(now, idle)
	if now.Sub(s.lastHeartbeat) >= heartbeatInterval {
		s.lastHeartbeat = now
		s.pace.Prune(now)
		states := s.dealer.States(now)
		s.quotaStates.Store(&states)
		s.sendHeartbeats()
	}
}

func (s *Scheduler) apply(service string, actions scheduler.Actions) {
	for _, grant := range actions.Grants {
		s.opts.Log.Granted(service, s.routerOf(grant.Key), grant)
		s.replyTo(grant.Key, &apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Grant{Grant: &apiv1.PlacementGrant{
			Number:     grant.Key & (1<<requestNumberBits - 1),
			UpstreamId: grant.Upstream.ID,
			Address:    grant.Upstream.Addr,
			ExpectedUs: grant.Expected.Microseconds(),
			Reason:     grant.Reason,
			Trial:      grant.Trial,
		}}})
	}
	for _, refusal := range actions.Refusals {
		s.opts.Log.Refused(service, refusal)
		if session := s.sessions[refusal.Key>>requestNumberBits]; session != nil {
			delete(session.serviceByKey, refusal.Key)
		}
		s.replyTo(refusal.Key, &apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Refusal{Refusal: &apiv1.PlacementRefusal{
			Number:       refusal.Key & (1<<requestNumberBits - 1),
			RetryAfterUs: refusal.RetryAfter.Microseconds(),
			Reason:       refusal.Reason,
		}}})
	}
	s.logCrashes(service, actions)
	for _, call := range actions.Orders {
		go s.sendOrder(service, s.term, call)
	}
	for _, call := range actions.Inspects {
		go s.readInventory(service, s.term, call)
	}
}

// routerOf returns the host of the router that sent a request, empty if it is
// disconnected.
func (s *Scheduler) routerOf(key uint64) string {
	if session := s.sessions[key>>requestNumberBits]; session != nil {
		return session.router
	}
	return ""
}

func (s *Scheduler) replyTo(key uint64, reply *apiv1.SchedulerReply) {
	if session := s.sessions[key>>requestNumberBits]; session != nil {
		session.reply(reply)
	}
}

func (s *Scheduler) cellOf(service string, term LeaseTerm) *scheduler.Cell {
	if !s.active || s.term.Fence != term.Fence {
		return nil
	}
	return s.cells[service]
}

// post queues a call of the router for the scheduler's goroutine. An upstream that leaves is
// marked at once.
func (s *session) post(call *apiv1.SchedulerCall) {
	if leaving := call.GetLeavingUpstream(); leaving != nil {
		if _, changed := s.owner.opts.Directory.MarkLeaving(time.Now(), leaving.GetId(), leaving.GetStartedMs()); changed {
			s.owner.Refresh()
		}
		return
	}
	s.owner.post(func() { s.owner.handle(s, call) })
}

package cell

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
	"github.com/ragwortdoor/ragwortdoor/internal/scheduler"
)

const (
	// tickEvery is the pace of the cells while requests wait, idleTick else.
	tickEvery = 10 * time.Millisecond
	idleTick  = 50 * time.Millisecond
	// engineTimeout bounds an order or the reading of a report.
	engineTimeout = 500 * time.Millisecond
	// eventQueue bounds the events that wait for the scheduler's goroutine.
	eventQueue = 16384
	// greetTime is how long a new holder waits with orders for the routers to tell
	// what they have under way: models and adapters in use must not be unloaded.
	greetTime = 350 * time.Millisecond
	// orphanTime is how long the requests of a router that lost its connection
	// are taken to run, unless it comes back and tells.
	orphanTime = 5 * time.Second
	// sessionShift leaves the lower bits of a key to the router's own numbers.
	sessionShift = 40
)

// SchedulerOptions configure a Scheduler.
type SchedulerOptions struct {
	Directory *fleet.Directory
	Engines   fleet.Engines
	Host      string
	// Cores is the processor share of this host.
	Cores float64
	// LoadWindow is the window for which loads from the weight store are bounded.
	LoadWindow time.Duration
	// MayOrder is asked right before each order; RenewedAgo is told to routers.
	MayOrder   func() bool
	RenewedAgo func() time.Duration
	// LeaseVersion is the version of the lease's row that the tenure goes on from.
	LeaseVersion func() int64
	// OnFenced is called when an engine has seen a higher fence.
	OnFenced func()
	// OnSuperseded is called with the new holder's address when a router tells
	// that another one has the lease.
	OnSuperseded func(address string)
	Log          DecisionLog
}

// DecisionLog takes a line for each decision. Calls must not block.
type DecisionLog interface {
	Granted(service, router string, grant scheduler.Grant)
	Refused(service string, refusal scheduler.Refusal)
	Ordered(service string, call scheduler.OrderCall, result fleet.OrderResult, took time.Duration, err error)
	Inspected(upstreamID string, inventory fleet.Inventory, err error)
	HandedOver(router string, fence int64)
}

// Scheduler runs the cells on the router that holds the lease. All its state
// belongs to one goroutine, which runs the events.
type Scheduler struct {
	opts   SchedulerOptions
	events chan func()
	ctx    context.Context

	tenure   LeaseTerm
	active   bool
	cells    map[string]*scheduler.Cell
	sessions map[uint64]*session
	// passed is what was passed on of each upstream.
	passed map[string]*apiv1.ListedUpstream
	serial uint64
	// orphans are the requests of routers whose connection was lost. Their
	// upstreams may still run them.
	orphans  []orphan
	lastBeat time.Time
	lastTick time.Time
	// fence is that of the present tenure, 0 without one.
	fence atomic.Int64
	// strongest is the processor share of the strongest connected router, in
	// bits of a float64.
	strongest atomic.Uint64
}

// NewScheduler makes an inactive scheduler; call Run.
func NewScheduler(opts SchedulerOptions) *Scheduler {
	return &Scheduler{
		opts:     opts,
		events:   make(chan func(), eventQueue),
		cells:    make(map[string]*scheduler.Cell),
		sessions: make(map[uint64]*session),
	}
}

// Run runs events until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	s.ctx = ctx
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-s.events:
			event()
		case <-ticker.C:
			s.tick()
		}
	}
}

// post queues an event. It never blocks: events beyond the bound are dropped,
// and their senders are timed out.
func (s *Scheduler) post(event func()) bool {
	select {
	case s.events <- event:
		return true
	default:
		return false
	}
}

// Start begins a tenure.
func (s *Scheduler) Start(tenure LeaseTerm) {
	s.post(func() {
		s.tenure = tenure
		s.fence.Store(tenure.Fence)
		if greeted := time.Now().Add(greetTime); s.tenure.OrdersAllowedFrom.Before(greeted) {
			s.tenure.OrdersAllowedFrom = greeted
		}
		s.active = true
		s.cells = make(map[string]*scheduler.Cell)
		s.orphans = nil
		s.passed = make(map[string]*apiv1.ListedUpstream)
		s.refresh()
	})
}

// Stop ends a tenure: all routers are disconnected.
func (s *Scheduler) Stop() {
	s.post(func() {
		s.active = false
		s.fence.Store(0)
		s.cells = make(map[string]*scheduler.Cell)
		for _, session := range s.sessions {
			session.ended()
		}
		clear(s.sessions)
	})
}

// Refresh takes over the directory after a change.
func (s *Scheduler) Refresh() { s.post(s.refresh) }

func (s *Scheduler) refresh() {
	snapshot := s.opts.Directory.Load()
	if !s.active || snapshot.Config == nil || !snapshot.UpstreamListKnown {
		return
	}
	s.passOn(snapshot)
	now := time.Now()
	for name, service := range snapshot.Config.Services {
		if service.Engine == nil {
			continue
		}
		cell := s.cells[name]
		if cell == nil {
			cell = scheduler.New(scheduler.Options{
				Holder:     s.opts.Host,
				Fence:      s.tenure.Fence,
				LoadWindow: s.opts.LoadWindow,
			})
			s.cells[name] = cell
		}
		s.carryOut(name, cell.Update(now, service.Engine, snapshot.ByService[name]))
	}
}

func (s *Scheduler) tick() {
	if !s.active {
		return
	}
	now := time.Now()
	idle := now.Sub(s.lastTick) >= idleTick
	if idle {
		s.lastTick = now
		s.dropOrphans(now, func(o orphan) bool { return now.After(o.until) })
	}
	for name, cell := range s.cells {
		if !idle && cell.Waiting() == 0 {
			continue
		}
		if !now.Before(s.tenure.OrdersAllowedFrom) {
			s.carryOut(name, cell.AllowOrders(now))
		}
		s.carryOut(name, cell.Tick(now))
	}
	if now.Sub(s.lastBeat) >= beatEvery {
		s.lastBeat = now
		s.beat()
	}
}

func (s *Scheduler) carryOut(service string, actions scheduler.Actions) {
	for _, grant := range actions.Grants {
		s.opts.Log.Granted(service, s.routerOf(grant.Key), grant)
		s.answer(grant.Key, &apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Grant{Grant: &apiv1.PlacementGrant{
			Number:     grant.Key & (1<<sessionShift - 1),
			UpstreamId: grant.Upstream.ID,
			Address:    grant.Upstream.Addr,
			ExpectedUs: grant.Expected.Microseconds(),
			Reason:     grant.Reason,
		}}})
	}
	for _, refusal := range actions.Refusals {
		s.opts.Log.Refused(service, refusal)
		s.answer(refusal.Key, &apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Refusal{Refusal: &apiv1.PlacementRefusal{
			Number:       refusal.Key & (1<<sessionShift - 1),
			RetryAfterUs: refusal.RetryAfter.Microseconds(),
			Reason:       refusal.Reason,
		}}})
	}
	for _, call := range actions.Orders {
		go s.order(service, s.tenure, call)
	}
	for _, call := range actions.Inspects {
		go s.inspect(service, s.tenure, call)
	}
}

// routerOf names the router that asked, empty once its link is gone.
func (s *Scheduler) routerOf(key uint64) string {
	if session := s.sessions[key>>sessionShift]; session != nil {
		return session.router
	}
	return ""
}

func (s *Scheduler) answer(key uint64, reply *apiv1.SchedulerReply) {
	if session := s.sessions[key>>sessionShift]; session != nil {
		session.reply(reply)
	}
}

// order sends an order and feeds its answer back.
func (s *Scheduler) order(service string, tenure LeaseTerm, call scheduler.OrderCall) {
	retry.Sleep(s.ctx, call.After)
	result := fleet.OrderConflict
	var err error
	began := time.Now()
	if s.opts.MayOrder() && s.fence.Load() == tenure.Fence {
		ctx, cancel := context.WithTimeout(s.ctx, engineTimeout)
		result, err = s.opts.Engines.Order(ctx, call.Upstream, call.Order)
		cancel()
	} else {
		err = errors.New("order held back: the lease was not renewed in time")
	}
	s.opts.Log.Ordered(service, call, result, time.Since(began), err)
	if result == fleet.OrderFenced {
		s.opts.OnFenced()
	}
	s.post(func() {
		if cell := s.cellOf(service, tenure); cell != nil {
			s.carryOut(service, cell.HandleOrderResult(time.Now(), call.Upstream.ID, call.Order, result))
		}
	})
}

func (s *Scheduler) inspect(service string, tenure LeaseTerm, call scheduler.InspectCall) {
	retry.Sleep(s.ctx, call.After)
	ctx, cancel := context.WithTimeout(s.ctx, engineTimeout)
	defer cancel()
	inventory, err := s.opts.Engines.Inspect(ctx, call.Upstream)
	s.opts.Log.Inspected(call.Upstream.ID, inventory, err)
	s.post(func() {
		if cell := s.cellOf(service, tenure); cell != nil {
			s.carryOut(service, cell.HandleInventory(time.Now(), call.Upstream.ID, inventory, err))
		}
	})
}

func (s *Scheduler) cellOf(service string, tenure LeaseTerm) *scheduler.Cell {
	if !s.active || s.tenure.Fence != tenure.Fence {
		return nil
	}
	return s.cells[service]
}

// post queues a call of the router.
func (s *session) post(call *apiv1.SchedulerCall) {
	s.owner.post(func() { s.owner.handle(s, call) })
}

// beat sends a sign of life, with the ages of what this router has read.
func (s *Scheduler) beat() {
	strongest := 0.0
	now := time.Now()
	for _, session := range s.sessions {
		if !session.leaving && session.reachesStore(now) {
			strongest = max(strongest, session.cores)
		}
	}
	s.strongest.Store(math.Float64bits(strongest))
	configAge, listAge := s.opts.Directory.ReadAges(now)
	beat := &apiv1.SchedulerBeat{
		Fence:        s.tenure.Fence,
		RenewedAgoUs: s.opts.RenewedAgo().Microseconds(),
		LeaseVersion: s.opts.LeaseVersion(),
		Cores:        s.opts.Cores,
		ConfigAgeUs:  configAge.Microseconds(),
		ListAgeUs:    listAge.Microseconds(),
	}
	if config := s.opts.Directory.Load().Config; config != nil {
		beat.ConfigVersion = config.Version
	}
	for _, session := range s.sessions {
		session.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Beat{Beat: beat}})
	}
}

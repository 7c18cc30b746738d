// Package planner decides what one engine loads and unloads, and which requests
// may start. It is a state machine: events go in with the present time, actions
// come out. It does no I/O and has no clock.
package planner

import (
	"math/rand/v2"
	"slices"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/adapterload"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/ledger"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/slots"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/keepalive"
)

const (
	// TickPeriod is the period at which Tick is called.
	TickPeriod = 250 * time.Millisecond
	// PauseLimit is the time without a tick after which the process counts as
	// paused: others may have changed the slots in the meantime.
	PauseLimit = 3 * time.Second
)

// Options configure a Planner.
type Options struct {
	// Host names the host in phases.
	Host string
	// EngineFences is true when the engine refuses old fencing numbers.
	EngineFences bool
	// NewBootID makes unique boot ids.
	NewBootID func() string
	// Rand is the source of jitter.
	Rand *rand.Rand
	// Policy decides keep-alives; nil selects keepalive.NewLearned.
	Policy keepalive.Policy
}

// Planner is the state of one engine. It is not safe for concurrent use.
type Planner struct {
	opts     Options
	gate     *slots.Gate
	ledger   *ledger.Ledger
	policy   keepalive.Policy
	adapters *adapterload.Controller

	replicas   map[string]*replica
	requests   map[uint64]*request
	orders     map[uint64]*order
	releases   map[uint64]*replica
	cached     map[string]external.Tier
	deployment *apiv1.Deployment
	estimates  estimates
	stats      Stats

	// started is when the first inventory was asked for; settled is true once
	// one was read that shows all orders of an earlier sidecar of this host.
	started     time.Time
	inventoried bool
	settled     bool
	// engineBootID is that of the last inventory.
	engineBootID string
	lastTick     time.Time
	lastID       uint64
	// unpermitted is the load that runs without a permit; 0 for none.
	unpermitted uint64
	out         []Action
}

// Stats are counters since the start.
type Stats struct {
	Loads            uint64 `json:"loads"`
	LoadFailures     uint64 `json:"load_failures"`
	Unloads          uint64 `json:"unloads"`
	Evictions        uint64 `json:"evictions"`
	IdleUnloads      uint64 `json:"idle_unloads"`
	AdapterLoads     uint64 `json:"adapter_loads"`
	AdapterEvictions uint64 `json:"adapter_evictions"`
	PermittedLoads   uint64 `json:"permitted_loads"`
	UnpermittedLoads uint64 `json:"unpermitted_loads"`
	UnknownOrders    uint64 `json:"unknown_orders"`
	FencedOrders     uint64 `json:"fenced_orders"`
	Pauses           uint64 `json:"pauses"`
	Granted          uint64 `json:"granted"`
	Refused          uint64 `json:"refused"`
}

// New makes a planner that admits nothing before an inventory and an assignment.
func New(opts Options) *Planner {
	policy := opts.Policy
	if policy == nil {
		policy = keepalive.NewLearned()
	}
	return &Planner{
		opts:      opts,
		gate:      slots.New(opts.NewBootID()),
		ledger:    ledger.New(),
		policy:    policy,
		adapters:  adapterload.New(),
		replicas:  make(map[string]*replica),
		requests:  make(map[uint64]*request),
		orders:    make(map[uint64]*order),
		releases:  make(map[uint64]*replica),
		cached:    make(map[string]external.Tier),
		estimates: newEstimates(),
	}
}

// BootID is the present boot id; it changes when the process was paused.
func (p *Planner) BootID() string { return p.gate.BootID() }

// Stats returns the counters.
func (p *Planner) Stats() Stats { return p.stats }

// NewID returns a number that is unique for the planner.
func (p *Planner) NewID() uint64 {
	p.lastID++
	return p.lastID
}

// Tick is the heartbeat; it also starts whatever has become due.
func (p *Planner) Tick(now time.Time) []Action {
	p.observe(now)
	p.lastTick = now
	p.refuseLate(now)
	p.reclaimIdle(now)
	return p.flush(now)
}

// Wake starts whatever has become due between two ticks.
func (p *Planner) Wake(now time.Time) []Action {
	p.observe(now)
	return p.flush(now)
}

// observe runs before every event. A process that was paused can't know whether
// its slots are still its own: it takes a new boot id, and so demands a list
// that was read after the pause.
func (p *Planner) observe(now time.Time) {
	if p.lastTick.IsZero() || now.Sub(p.lastTick) <= PauseLimit {
		return
	}
	p.lastTick = now
	p.stats.Pauses++
	p.gate.Restart(p.opts.NewBootID())
	for _, r := range p.sorted() {
		r.spec = nil
		p.cancelLoad(r)
		p.refuseWaiting(r, func(*request) bool { return true },
			refusal(apiv1.RefusalKind_REFUSAL_KIND_STALE, retrySoon, "the sidecar was paused: assign its slots again"))
	}
}

// Assign replaces the slots of the host, or returns a *slots.RejectedError.
func (p *Planner) Assign(now time.Time, list *apiv1.AssignSlots) ([]Action, error) {
	p.observe(now)
	if !p.inventoried {
		return p.flush(now), &slots.RejectedError{Reason: "the engine's inventory was not read yet: assign again later"}
	}
	if err := p.gate.Assign(list); err != nil {
		return p.flush(now), err
	}
	p.deployment = list.GetDeployment()
	for _, spec := range p.gate.Specs() {
		p.replica(spec.GetModel())
	}
	for _, r := range p.sorted() {
		p.rebind(r)
		p.refuseUnassigned(r)
	}
	return p.flush(now), nil
}

// rebind finds the slot under which a replica is held from now on.
func (p *Planner) rebind(r *replica) {
	r.spec = nil
	if r.doomed {
		return
	}
	r.spec = p.specFor(r)
	if r.spec == nil {
		return
	}
	r.epoch = max(r.epoch, r.spec.GetEpoch())
	if p.resident(r) {
		r.bind(r.spec)
	}
}

func (p *Planner) specFor(r *replica) *apiv1.SlotSpec {
	if spec := p.gate.Slot(r.heldAs.key); r.heldAs.known && spec != nil {
		return spec
	}
	return p.gate.ForModel(r.model)
}

func (p *Planner) refuseUnassigned(r *replica) {
	p.refuseWaiting(r,
		func(q *request) bool { return p.gate.Spec(q.Slot.Key, q.Slot.Generation) == nil },
		refusal(apiv1.RefusalKind_REFUSAL_KIND_NOT_ASSIGNED, 0, "the slot moved: read the table again"))
}

// flush lets the replicas move on and returns the actions.
func (p *Planner) flush(now time.Time) []Action {
	for _, r := range p.sorted() {
		p.step(now, r)
	}
	p.startAdapters(now) // first: models that are loaded need little more memory
	p.startLoads(now)
	p.forget()
	out := p.out
	p.out = nil
	return out
}

func (p *Planner) emit(a Action) { p.out = append(p.out, a) }

func (p *Planner) replica(model string) *replica {
	r := p.replicas[model]
	if r == nil {
		r = &replica{model: model, adapters: make(map[string]*adapter)}
		p.replicas[model] = r
	}
	return r
}

// sorted returns the replicas in a fixed order, so that equal events have equal
// results.
func (p *Planner) sorted() []*replica {
	all := make([]*replica, 0, len(p.replicas))
	for _, r := range p.replicas {
		all = append(all, r)
	}
	slices.SortFunc(all, compareReplicas)
	return all
}

// forget drops models that the host neither holds nor may hold.
func (p *Planner) forget() {
	for model, r := range p.replicas {
		used := p.state(r) != ledger.Absent || r.spec != nil || len(r.waiting) > 0 || r.running > 0 || len(r.releases) > 0
		if !used && p.gate.Open() {
			delete(p.replicas, model)
		}
	}
}

// Package agent is the sidecar of one upstream host: the only way to the
// host's model engine or plain service. It runs the decisions of package
// planner against the engine, and forwards requests.
package agent

import (
	"context"
	"crypto/rand"
	"io"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/planner"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/keepalive"
)

const defaultPermitTimeout = 500 * time.Millisecond

// Options configure an Agent.
type Options struct {
	// Host is the id of this host in the platform's list.
	Host string
	// Engine is nil when the host runs no model engine.
	Engine external.Engine
	// Service is nil when the host runs no plain service.
	Service external.Service
	// ServiceName is the name under which callers reach Service.
	ServiceName string
	// EngineFences is true when the engine refuses orders with an old fencing
	// number.
	EngineFences bool
	// PermitTimeout is the wait for a weight-store permit before the fallback.
	// 0 selects 500 ms.
	PermitTimeout time.Duration
	// KeepAlive decides how long idle models stay loaded; nil learns it.
	KeepAlive keepalive.Policy
	// Clock tells the time; nil selects the system's clock.
	Clock external.Clock
	// Log receives one line for each placement decision; nil discards them.
	Log *log.Logger
	// Seed starts the random source of jitter; 0 selects a random seed.
	Seed uint64
}

// Agent is the sidecar of one host. Its methods may be called from several
// goroutines.
//
// One mutex guards the planner and all that belongs to its decisions. A request
// takes it three times, for a few microseconds each; nothing blocks under it.
type Agent struct {
	opts     Options
	counters counters

	mu       sync.Mutex
	planner  *planner.Planner
	runCtx   context.Context // nil before and after Run
	orders   sync.WaitGroup
	aborts   map[uint64]context.CancelFunc // of the orders in flight
	requests map[uint64]chan decision
	releases map[uint64]chan planner.Released
	permits  map[uint64]*permitAsk
	watchers map[*watcher]struct{}
	// lastReport is the report after the last event, or nil.
	lastReport *apiv1.LoadReport
	wake       *time.Timer // next Wake of the planner, or nil
	wakeAt     time.Time
	draining   bool
	leaving    bool // by the platform's list
	drained    bool // by an operator
	// hostListRevision is the newest list of which a router told.
	hostListRevision int64
	// active counts requests and calls; idle is closed when it falls to 0.
	active int
	calls  int
	idle   chan struct{}

	// readInventory asks the inventory loop for a read at once.
	readInventory chan struct{}
	// inventoryMu serializes the reads; it is taken before mu.
	inventoryMu sync.Mutex
	// inventoryAt is when the last inventory that came was asked for.
	inventoryAt time.Time
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// New makes an agent. It admits nothing before Run has read the engine's
// inventory and a router has assigned slots.
func New(opts Options) *Agent {
	if opts.Log == nil {
		opts.Log = log.New(io.Discard)
	}
	if opts.Clock == nil {
		opts.Clock = systemClock{}
	}
	if opts.PermitTimeout == 0 {
		opts.PermitTimeout = defaultPermitTimeout
	}
	if opts.Seed == 0 {
		opts.Seed = mathrand.Uint64()
	}
	return &Agent{
		opts: opts,
		planner: planner.New(planner.Options{
			Host:         opts.Host,
			EngineFences: opts.EngineFences,
			NewBootID:    rand.Text,
			Rand:         mathrand.New(mathrand.NewPCG(opts.Seed, 0)),
			Policy:       opts.KeepAlive,
		}),
		aborts:        make(map[uint64]context.CancelFunc),
		requests:      make(map[uint64]chan decision),
		releases:      make(map[uint64]chan planner.Released),
		permits:       make(map[uint64]*permitAsk),
		watchers:      make(map[*watcher]struct{}),
		idle:          make(chan struct{}),
		readInventory: make(chan struct{}, 1),
	}
}

// do runs one event of the planner and carries out what it decides.
func (a *Agent) do(event func(now time.Time) []planner.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(event(a.opts.Clock.Now()))
}

// closed reports whether the host takes no new work. The lock must be held.
func (a *Agent) closed() bool { return a.draining || a.leaving || a.drained }

// heedHostList learns what the platform's list says of this host, unless it
// knows a newer list: a router that was paused may hand over an old one. A
// leaving host takes no new work.
func (a *Agent) heedHostList(leaving bool, revision int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision < a.hostListRevision {
		return
	}
	a.hostListRevision = revision
	if a.leaving != leaving {
		a.opts.Log.Info("host list", "host", a.opts.Host, "leaving", leaving, "revision", revision)
	}
	a.leaving = leaving
	a.notify()
}

// heedDrain learns whether an operator drains this host. Accepted assignments
// never come from an older read of the table, so the last one holds.
func (a *Agent) heedDrain(drained bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drained != drained {
		a.opts.Log.Info("operators", "host", a.opts.Host, "drained", drained)
	}
	a.drained = drained
	a.notify()
}

// Drain stops new work for good; running requests go on.
func (a *Agent) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	a.opts.Log.Info("draining", "host", a.opts.Host, "active", a.active)
	a.notify()
}

// Wait returns nil when no request runs any more, or the error of ctx.
func (a *Agent) Wait(ctx context.Context) error {
	for {
		a.mu.Lock()
		active, idle := a.active, a.idle
		a.mu.Unlock()
		if active == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// begin counts a new request, unless the host takes none. The check and the
// count share the lock, so that Wait after Drain misses no request.
func (a *Agent) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed() {
		a.counters.drained.Add(1)
		return false
	}
	a.active++
	return true
}

func (a *Agent) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	if a.active == 0 {
		close(a.idle)
		a.idle = make(chan struct{})
	}
}

package standin

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

// EngineOptions configure an Engine.
type EngineOptions struct {
	// Host is the id of the host that the engine runs on.
	Host string
	// Address is where Start listens, "IP:PORT"; empty chooses a port.
	Address   string
	MemoryMiB uint32
	Config    EngineConfig
	// OnDisk names the models whose weights the host keeps at the start.
	OnDisk []string
	// Weights is the store that other models come from; Start fills it in.
	Weights *Weights
	// ReplicaStats is shared between engines; nil makes one of its own.
	ReplicaStats *ReplicaStats
	// OnStart is told the time of each start; it may be nil.
	OnStart func(startedUnixMs int64)
}

// Engine stands in for a model engine.
type Engine struct {
	Faults FaultInjector

	options EngineOptions
	mux     *http.ServeMux
	work    sync.WaitGroup

	mu     sync.Mutex
	knobs  EngineConfig
	counts EngineCounts
	boot   *boot
	onDisk map[string]bool
	closed bool
}

// boot is the state that a restart loses. Engine.mu guards it.
type boot struct {
	started int64 // Unix ms
	ctx     context.Context
	cancel  context.CancelFunc

	models   map[string]*heldModel
	inMemory map[string]bool
	// busy is the order for a model that is carried out; nil when idle.
	busy   *external.Order
	orders int64
	fence  int64

	running int
	waiting []*generation
	batch   map[*generation]bool
}

// heldModel is a model that takes memory. Engine.mu guards it.
type heldModel struct {
	memory   uint32
	ready    bool
	adapters map[string]*heldAdapter
}

type heldAdapter struct {
	memory uint32
	ready  bool
}

// NewEngine makes an engine that holds nothing.
func NewEngine(o EngineOptions) *Engine {
	if o.ReplicaStats == nil {
		o.ReplicaStats = NewReplicaStats()
	}
	if o.Weights == nil {
		o.Weights = NewWeights(WeightStoreConfig{})
	}
	if o.OnStart == nil {
		o.OnStart = func(int64) {}
	}
	e := &Engine{options: o, knobs: o.Config.withDefaults(), onDisk: make(map[string]bool)}
	for _, model := range o.OnDisk {
		e.onDisk[model] = true
	}
	e.counts.Loads = make(map[string]int)
	e.boot = e.newBoot()
	e.Faults.losable = func(r *http.Request) bool { return r.URL.Path == external.PathOrders }
	e.mux = e.routes()
	return e
}

func (e *Engine) routes() *http.ServeMux {
	protocol := http.NewServeMux()
	protocol.HandleFunc("POST "+external.PathOrders, e.handleOrder)
	protocol.HandleFunc("GET "+external.PathInventory, e.handleInventory)
	protocol.HandleFunc("POST "+external.PathChat, e.handleChat)
	mux := adminMux(&e.Faults, func() any { return e.Counts() }, e.onlyMine(protocol))
	handleKnobs(mux, e.Config, e.SetConfig)
	mux.HandleFunc("POST /admin/restart", func(http.ResponseWriter, *http.Request) { e.Restart() })
	mux.HandleFunc("GET /admin/census", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.options.ReplicaStats.Models())
	})
	return mux
}

// onlyMine refuses requests that are meant for another host.
func (e *Engine) onlyMine(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(external.HeaderUpstream); id != "" && id != e.options.Host {
			refuse(w, http.StatusMisdirectedRequest, "this is "+e.options.Host)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// newBoot starts a boot. The caller holds mu or is the constructor.
func (e *Engine) newBoot() *boot {
	ctx, cancel := context.WithCancel(context.Background())
	e.counts.Boots++
	started := time.Now().UnixMilli()
	if e.boot != nil {
		started = max(started, e.boot.started+1)
	}
	e.options.OnStart(started)
	return &boot{
		started:  started,
		ctx:      ctx,
		cancel:   cancel,
		models:   make(map[string]*heldModel),
		inMemory: make(map[string]bool),
		batch:    make(map[*generation]bool),
	}
}

// Restart drops all that the engine holds, and cuts its streams and orders.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restartLocked()
}

func (e *Engine) restartLocked() {
	if e.closed {
		return
	}
	e.endBoot()
	e.boot = e.newBoot()
}

func (e *Engine) endBoot() {
	e.boot.cancel()
	for model := range e.boot.models {
		e.options.ReplicaStats.dropped(model)
	}
}

// Close ends the engine's orders and streams and waits for the orders.
func (e *Engine) Close() {
	e.mu.Lock()
	if !e.closed {
		e.endBoot()
		e.closed = true
	}
	e.mu.Unlock()
	e.work.Wait()
}

// Host returns the id of the host that the engine runs on.
func (e *Engine) Host() string { return e.options.Host }

// Config returns the settings.
func (e *Engine) Config() EngineConfig {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.knobs
}

// SetConfig replaces the settings.
func (e *Engine) SetConfig(knobs EngineConfig) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.knobs = knobs.withDefaults()
	e.admit(e.boot)
}

// Counts returns the counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Loads = maps.Clone(e.counts.Loads)
	return counts
}

// Inventory returns what the engine holds.
func (e *Engine) Inventory() external.Inventory {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	inventory := external.Inventory{
		StartedUnixMs: b.started,
		Models:        []external.EngineModel{},
		Busy:          b.busy != nil,
		Orders:        b.orders,
		Running:       b.running,
		Waiting:       len(b.waiting),
		OnDisk:        slices.Sorted(maps.Keys(e.onDisk)),
		InMemory:      slices.Sorted(maps.Keys(b.inMemory)),
	}
	for _, name := range slices.Sorted(maps.Keys(b.models)) {
		held := b.models[name]
		if !held.ready {
			continue
		}
		model := external.EngineModel{Model: name}
		for _, adapter := range slices.Sorted(maps.Keys(held.adapters)) {
			if held.adapters[adapter].ready {
				model.Adapters = append(model.Adapters, adapter)
			} else {
				inventory.LoadingAdapters = append(inventory.LoadingAdapters, name+":"+adapter)
			}
		}
		inventory.Models = append(inventory.Models, model)
	}
	return inventory
}

func (e *Engine) handleInventory(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Inventory()) }

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order external.Order
	if !readJSON(w, r, &order) {
		return
	}
	status, message := e.order(order)
	if status >= http.StatusBadRequest {
		refuse(w, status, message)
		return
	}
	w.WriteHeader(status)
}

// order accepts or refuses an order, and starts to carry it out.
func (e *Engine) order(order external.Order) (status int, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if e.knobs.Fences && order.Fence < b.fence {
		e.counts.OrdersFenced++
		return http.StatusPreconditionFailed, "another holder has a higher fence"
	}
	b.fence = max(b.fence, order.Fence)
	if b.isDone(order) {
		return http.StatusOK, ""
	}
	if b.busy != nil || order.ExpectedOrders != nil && *order.ExpectedOrders != b.orders {
		return http.StatusConflict, "another order is under way, or was accepted meanwhile"
	}
	if order.Adapter != "" {
		return e.orderAdapter(b, order)
	}
	return e.orderModel(b, order)
}

// isDone reports whether the engine is in the state that an order wants.
func (b *boot) isDone(order external.Order) bool {
	held := b.models[order.Model]
	if order.Adapter == "" {
		return (held != nil && held.ready) != order.Unload && (held == nil || held.ready)
	}
	return held != nil && (held.adapters[order.Adapter] != nil) != order.Unload
}

func (e *Engine) orderModel(b *boot, order external.Order) (int, string) {
	if order.Unload {
		e.cutStreams(b, order.Model)
	} else if !e.reserve(b, order.MemoryMiB) {
		return http.StatusInsufficientStorage, "the model does not fit"
	}
	b.orders++
	e.counts.Orders++
	b.busy = &order
	if !order.Unload {
		b.models[order.Model] = &heldModel{memory: order.MemoryMiB, adapters: make(map[string]*heldAdapter)}
		e.options.ReplicaStats.loadStarted(order.Model)
		e.counts.Loads[order.Model]++
	} else {
		b.models[order.Model].ready = false
	}
	e.work.Go(func() { e.carryOut(b, order) })
	return http.StatusAccepted, ""
}

// carryOut loads or unloads a model.
func (e *Engine) carryOut(b *boot, order external.Order) {
	var err error
	if order.Unload {
		retry.Sleep(b.ctx, milliseconds(e.Config().UnloadMS))
	} else {
		err = e.readWeights(b.ctx, order.Model)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.ctx.Err() != nil {
		return
	}
	b.busy = nil
	if order.Unload || err != nil {
		delete(b.models, order.Model)
		e.options.ReplicaStats.dropped(order.Model)
		return
	}
	b.models[order.Model].ready = true
	b.inMemory[order.Model] = true
	e.onDisk[order.Model] = true
}

// readWeights takes the time of a load from the nearest place.
func (e *Engine) readWeights(ctx context.Context, model string) error {
	e.mu.Lock()
	inMemory, onDisk := e.boot.inMemory[model], e.onDisk[model]
	knobs, memory := e.knobs, e.boot.models[model].memory
	e.mu.Unlock()
	switch {
	case inMemory:
		retry.Sleep(ctx, milliseconds(knobs.MemoryLoadMS))
	case onDisk:
		retry.Sleep(ctx, milliseconds(knobs.DiskLoadMS))
	default:
		if err := e.options.Weights.read(ctx, memory); err != nil {
			return err
		}
		retry.Sleep(ctx, milliseconds(knobs.MemoryLoadMS))
	}
	return ctx.Err()
}

func (e *Engine) orderAdapter(b *boot, order external.Order) (int, string) {
	held := b.models[order.Model]
	if held == nil || !held.ready {
		return http.StatusBadRequest, "the adapter's model is not loaded"
	}
	b.orders++
	e.counts.Orders++
	if order.Unload {
		delete(held.adapters, order.Adapter)
		return http.StatusOK, ""
	}
	if !e.reserve(b, order.MemoryMiB) {
		return http.StatusInsufficientStorage, "the adapter does not fit"
	}
	adapter := &heldAdapter{memory: order.MemoryMiB}
	held.adapters[order.Adapter] = adapter
	e.counts.AdapterLoads++
	e.work.Go(func() {
		e.options.ReplicaStats.adapters.work(b.ctx, milliseconds(e.Config().AdapterLoadMS), func() float64 { return 1 })
		e.mu.Lock()
		defer e.mu.Unlock()
		adapter.ready = true
	})
	return http.StatusAccepted, ""
}

// reserve counts memory before a load. An order that does not fit crashes the
// engine.
func (e *Engine) reserve(b *boot, mib uint32) bool {
	need := mib
	for _, held := range b.models {
		need += held.memory
		for _, adapter := range held.adapters {
			need += adapter.memory
		}
	}
	if need <= e.options.MemoryMiB {
		e.counts.PeakMemoryMiB = max(e.counts.PeakMemoryMiB, int64(need))
		return true
	}
	e.counts.OvercommitAttempts++
	e.restartLocked()
	return false
}

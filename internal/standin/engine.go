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
	// Host is the id of the host on which the engine runs.
	Host string
	// Address is the listening address, "IP:PORT"; empty selects a free port.
	Address   string
	MemoryMiB uint32
	Config    EngineConfig
	// OnDisk names the models whose weights are on the host's disk at the start.
	OnDisk []string
	// Weights is the weight store from which all other models are loaded; Start sets
	// it.
	Weights *Weights
	// ReplicaStats is shared between engines; nil gives the engine its own.
	ReplicaStats *ReplicaStats
	// OnStart is called with the time of each start; it may be nil.
	OnStart func(startedUnixMs int64)
}

// Engine stands in for a model engine. It is safe for concurrent use.
type Engine struct {
	Faults FaultInjector

	options EngineOptions
	mux     *http.ServeMux
	work    sync.WaitGroup

	mu     sync.Mutex
	config EngineConfig
	counts EngineCounts
	boot   *boot
	onDisk map[string]bool
	closed bool
}

// boot is the state that is lost in a restart. Engine.mu guards it.
type boot struct {
	started int64 // Unix ms
	ctx     context.Context
	cancel  context.CancelFunc

	models   map[string]*loadedModel
	inMemory map[string]bool
	// busy is the model order being executed; nil when idle.
	busy   *external.Order
	orders int64
	fence  int64

	running int
	waiting []*generation
	batch   map[*generation]bool
}

// loadedModel is a model that occupies memory: one that is loading, loaded or
// unloading. Engine.mu guards it.
type loadedModel struct {
	memory   uint32
	ready    bool
	adapters map[string]*loadedAdapter
}

type loadedAdapter struct {
	memory uint32
	ready  bool
}

// NewEngine returns an engine without loaded models.
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
	e := &Engine{options: o, config: o.Config.withDefaults(), onDisk: make(map[string]bool)}
	for _, model := range o.OnDisk {
		e.onDisk[model] = true
	}
	e.counts.Loads = make(map[string]int)
	e.boot = e.newBoot()
	e.Faults.canLose = func(r *http.Request) bool { return r.URL.Path == external.PathOrders }
	e.mux = e.routes()
	return e
}

func (e *Engine) routes() *http.ServeMux {
	protocol := http.NewServeMux()
	protocol.HandleFunc("POST "+external.PathOrders, e.handleOrder)
	protocol.HandleFunc("GET "+external.PathInventory, e.handleInventory)
	protocol.HandleFunc("POST "+external.PathChat, e.handleChat)
	mux := adminMux(&e.Faults, func() any { return e.Counts() }, e.rejectOtherHosts(protocol))
	handleConfig(mux, e.Config, e.SetConfig)
	mux.HandleFunc("POST /admin/restart", func(http.ResponseWriter, *http.Request) { e.Restart() })
	mux.HandleFunc("GET /admin/census", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.options.ReplicaStats.Models())
	})
	return mux
}

// rejectOtherHosts refuses requests that are addressed to another host.
func (e *Engine) rejectOtherHosts(next http.Handler) http.Handler {
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

// newBoot returns the state of a freshly started engine. The caller holds mu or is
// the constructor.
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
		models:   make(map[string]*loadedModel),
		inMemory: make(map[string]bool),
		batch:    make(map[*generation]bool),
	}
}

// Restart unloads all models and aborts the running streams and orders, as a crash
// does. The files on the host's disk stay.
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
		e.options.ReplicaStats.replicaRemoved(model)
	}
}

// Close aborts the engine's orders and streams and waits until the orders end.
func (e *Engine) Close() {
	e.mu.Lock()
	if !e.closed {
		e.endBoot()
		e.closed = true
	}
	e.mu.Unlock()
	e.work.Wait()
}

// Host returns the id of the host on which the engine runs.
func (e *Engine) Host() string { return e.options.Host }

// Config returns the configuration.
func (e *Engine) Config() EngineConfig {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config
}

// SetConfig replaces the configuration.
func (e *Engine) SetConfig(cfg EngineConfig) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.config = cfg.withDefaults()
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

// Inventory returns the models and adapters that are loaded or loading, and the
// engine's load.
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
		loaded := b.models[name]
		if !loaded.ready {
			continue
		}
		model := external.EngineModel{Model: name}
		for _, adapter := range slices.Sorted(maps.Keys(loaded.adapters)) {
			if loaded.adapters[adapter].ready {
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

// order accepts or refuses an order and starts its execution. It returns the HTTP
// status and, with a refusal, the reason.
func (e *Engine) order(order external.Order) (status int, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if e.config.Fences && order.Fence < b.fence {
		e.counts.OrdersFenced++
		return http.StatusPreconditionFailed, "another holder has a higher fence"
	}
	b.fence = max(b.fence, order.Fence)
	if b.isSatisfied(order) {
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

// isSatisfied reports whether the engine is already in the state that an order asks
// for.
func (b *boot) isSatisfied(order external.Order) bool {
	loaded := b.models[order.Model]
	if order.Adapter == "" {
		return (loaded != nil && loaded.ready) != order.Unload && (loaded == nil || loaded.ready)
	}
	return loaded != nil && (loaded.adapters[order.Adapter] != nil) != order.Unload
}

func (e *Engine) orderModel(b *boot, order external.Order) (int, string) {
	if order.Unload {
		e.abortStreams(b, order.Model)
	} else if !e.reserve(b, order.MemoryMiB) {
		return http.StatusInsufficientStorage, "the model does not fit"
	}
	b.orders++
	e.counts.Orders++
	b.busy = &order
	if !order.Unload {
		b.models[order.Model] = &loadedModel{memory: order.MemoryMiB, adapters: make(map[string]*loadedAdapter)}
		e.options.ReplicaStats.loadStarted(order.Model)
		e.counts.Loads[order.Model]++
	} else {
		b.models[order.Model].ready = false
	}
	e.work.Go(func() { e.execute(b, order) })
	return http.StatusAccepted, ""
}

// execute loads or unloads a model.
func (e *Engine) execute(b *boot, order external.Order) {
	var err error
	if order.Unload {
		retry.Sleep(b.ctx, milliseconds(e.Config().UnloadMS))
	} else {
		err = e.loadWeights(b.ctx, order.Model)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.ctx.Err() != nil {
		return
	}
	b.busy = nil
	if order.Unload || err != nil {
		delete(b.models, order.Model)
		e.options.ReplicaStats.replicaRemoved(order.Model)
		return
	}
	b.models[order.Model].ready = true
	b.inMemory[order.Model] = true
	e.onDisk[order.Model] = true
}

// loadWeights waits as long as a load from the nearest source takes: the host's memory,
// its disk or the weight store.
func (e *Engine) loadWeights(ctx context.Context, model string) error {
	e.mu.Lock()
	inMemory, onDisk := e.boot.inMemory[model], e.onDisk[model]
	cfg, memory := e.config, e.boot.models[model].memory
	e.mu.Unlock()
	switch {
	case inMemory:
		retry.Sleep(ctx, milliseconds(cfg.MemoryLoadMS))
	case onDisk:
		retry.Sleep(ctx, milliseconds(cfg.DiskLoadMS))
	default:
		if err := e.options.Weights.read(ctx, memory); err != nil {
			return err
		}
		retry.Sleep(ctx, milliseconds(cfg.MemoryLoadMS))
	}
	return ctx.Err()
}

func (e *Engine) orderAdapter(b *boot, order external.Order) (int, string) {
	loaded := b.models[order.Model]
	if loaded == nil || !loaded.ready {
		return http.StatusBadRequest, "the adapter's model is not loaded"
	}
	b.orders++
	e.counts.Orders++
	if order.Unload {
		delete(loaded.adapters, order.Adapter)
		return http.StatusOK, ""
	}
	if !e.reserve(b, order.MemoryMiB) {
		return http.StatusInsufficientStorage, "the adapter does not fit"
	}
	adapter := &loadedAdapter{memory: order.MemoryMiB}
	loaded.adapters[order.Adapter] = adapter
	e.counts.AdapterLoads++
	e.work.Go(func() {
		e.options.ReplicaStats.adapters.run(b.ctx, milliseconds(e.Config().AdapterLoadMS), func() float64 { return 1 })
		e.mu.Lock()
		defer e.mu.Unlock()
		adapter.ready = true
	})
	return http.StatusAccepted, ""
}

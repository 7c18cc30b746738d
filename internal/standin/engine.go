package standin

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// EngineOptions configure an Engine.
type EngineOptions struct {
	// Host is the id of the host that the engine runs on.
	Host string
	// Address is where Start listens, "IP:PORT"; empty chooses a port.
	Address   string
	MemoryMiB uint32
	Knobs     EngineKnobs
	// Cached are the checkpoints that the host holds at the start.
	Cached []external.CachedCheckpoint
	// WeightURL is the weight store's base URL; Start fills it in.
	WeightURL string
	// Census is shared between engines; nil makes one of its own.
	Census *Census
}

// Engine stands in for a model engine.
type Engine struct {
	Faults FaultBox

	host    string
	memory  uint32
	census  *Census
	weights *weightReader
	mux     *http.ServeMux
	orders  sync.WaitGroup

	mu     sync.Mutex
	knobs  EngineKnobs
	counts EngineCounts
	boot   *boot
	cached checkpointCache
	closed bool

	bootNumber atomic.Int64
}

// boot is the state that a restart loses. Engine.mu guards it.
type boot struct {
	id     string
	ctx    context.Context
	cancel context.CancelFunc

	models   []*heldModel
	epochs   map[string]uint64
	orders   map[string]*orderRun
	streams  map[string]*stream
	cut      []*stream // the oldest first; some were resumed since
	waiting  []*stream
	running  int
	prefixes prefixCache
	load     history[external.EngineLoad]
}

// NewEngine makes an engine that holds nothing.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{
		host:    o.Host,
		memory:  o.MemoryMiB,
		census:  o.Census,
		weights: newWeightReader(o.WeightURL),
		knobs:   o.Knobs.withDefaults(),
		cached:  newCheckpointCache(o.Cached),
	}
	if e.census == nil {
		e.census = NewCensus()
	}
	e.counts.Loads = make(map[string]int)
	e.boot = e.newBoot()
	e.Faults.losable = func(r *http.Request) bool { return r.URL.Path == ordersPath }
	e.mux = e.routes()
	return e
}

const ordersPath = "/v1/orders"

func (e *Engine) routes() *http.ServeMux {
	protocol := http.NewServeMux()
	protocol.HandleFunc("POST "+ordersPath, e.handleOrder)
	protocol.HandleFunc("GET /v1/inventory", e.handleInventory)
	protocol.HandleFunc("GET /v1/load", e.handleLoad)
	protocol.HandleFunc("POST /v1/generate", e.handleGenerate)
	protocol.HandleFunc("DELETE /v1/generate/{id}", e.handleCancel)
	protocol.HandleFunc("GET /v1/events", e.handleEvents)
	mux := adminMux(&e.Faults, func() any { return e.Counts() }, protocol)
	handleKnobs(mux, e.Knobs, e.SetKnobs)
	mux.HandleFunc("POST /admin/restart", func(http.ResponseWriter, *http.Request) { e.Restart() })
	mux.HandleFunc("GET /admin/census", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.census.Models())
	})
	return mux
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// newBoot starts a boot. The caller holds mu or is the constructor.
func (e *Engine) newBoot() *boot {
	ctx, cancel := context.WithCancel(context.Background())
	e.counts.Boots++
	return &boot{
		id:      fmt.Sprintf("%s-boot-%d", e.host, e.bootNumber.Add(1)),
		ctx:     ctx,
		cancel:  cancel,
		epochs:  make(map[string]uint64),
		orders:  make(map[string]*orderRun),
		streams: make(map[string]*stream),
	}
}

// Restart drops all that the engine holds, cuts its streams and orders, and
// gives it a new boot id.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restartLocked()
}

func (e *Engine) restartLocked() {
	if e.closed {
		return
	}
	e.boot.cancel()
	e.dropModels()
	e.cached.loseMemory()
	e.boot = e.newBoot()
}

// dropModels takes the models of the ending boot out of the census.
func (e *Engine) dropModels() {
	held := make(map[string]bool)
	for _, m := range e.boot.models {
		held[m.model] = true
	}
	for model := range held {
		e.census.dropped(model)
	}
}

// Close ends the engine's orders and streams and waits for the orders.
func (e *Engine) Close() {
	e.mu.Lock()
	if !e.closed {
		e.boot.cancel()
		e.dropModels()
		e.closed = true
	}
	e.mu.Unlock()
	e.orders.Wait()
	e.weights.close()
}

// Host returns the id of the host that the engine runs on.
func (e *Engine) Host() string { return e.host }

// BootID returns the id of the present boot.
func (e *Engine) BootID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot.id
}

// Knobs returns the settings.
func (e *Engine) Knobs() EngineKnobs {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.knobs
}

// SetKnobs replaces the settings.
func (e *Engine) SetKnobs(knobs EngineKnobs) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.knobs = knobs.withDefaults()
	e.admitStreams()
}

// Counts returns the counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Loads = maps.Clone(e.counts.Loads)
	return counts
}

func (e *Engine) handleInventory(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Inventory()) }

// Inventory returns what the engine holds.
func (e *Engine) Inventory() external.Inventory {
	e.mu.Lock()
	defer e.mu.Unlock()
	inventory := external.Inventory{
		BootID:         e.boot.id,
		MemoryTotalMiB: e.memory,
		Models:         []external.EngineModel{},
		Cached:         e.cached.list(),
	}
	for _, m := range e.boot.models {
		inventory.Models = append(inventory.Models, m.describe())
	}
	return inventory
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.boot.load.at(time.Now().Add(-milliseconds(e.knobs.LoadLagMS))))
}

// recordLoad notes the present load for the lagging report.
func (e *Engine) recordLoad() {
	e.counts.PeakRunning = max(e.counts.PeakRunning, int64(e.boot.running))
	e.boot.load.add(time.Now(), external.EngineLoad{Running: e.boot.running, Waiting: len(e.boot.waiting)})
}

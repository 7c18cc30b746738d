package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// fault is what goes wrong with one order.
type fault int

const (
	faultNone fault = iota
	// faultLostAnswer applies the order and loses the answer at once.
	faultLostAnswer
	// faultLostOrder loses the order.
	faultLostOrder
	// faultLateOrder reports a lost order and applies it a second later.
	faultLateOrder
	// faultNoAnswer applies the order and never answers.
	faultNoAnswer
	// faultRefused fails the order for certain.
	faultRefused
)

type fakeModel struct {
	external.EngineModel
	running int
}

// fakeEngine is an engine in memory. It notes each breach of the promises that
// the sidecar makes.
type fakeEngine struct {
	mu       sync.Mutex
	boot     int
	totalMiB uint32
	models   map[string]*fakeModel
	cached   []external.CachedCheckpoint
	faults   []fault // of the next orders
	breaches []string
	loads    map[string]int
	cancels  int
	// loadTime and tokenTime are the duration of a load and of a token.
	loadTime, tokenTime time.Duration
	// script replaces the events of the next streams, first one first.
	script [][]external.TokenEvent
	// onOrder is told each load order that is given, onApply each that takes
	// effect; both return a breach or "".
	onOrder, onApply func(external.Order) string
	// paused is closed when the sidecar is paused.
	paused chan struct{}
	// fences is the highest fencing number of each model; nil ignores them.
	fences map[string]uint64
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		totalMiB:  100,
		models:    make(map[string]*fakeModel),
		loads:     make(map[string]int),
		paused:    make(chan struct{}),
		loadTime:  time.Second,
		tokenTime: 10 * time.Millisecond,
	}
}

func (e *fakeEngine) breach(format string, args ...any) {
	e.breaches = append(e.breaches, fmt.Sprintf(format, args...))
}

func (e *fakeEngine) usedMiB() uint32 {
	var used uint32
	for _, m := range e.models {
		used += m.MemoryMiB
		for _, a := range m.Adapters {
			used += a.MemoryMiB
		}
	}
	return used
}

func engineError(kind external.Kind, unknown bool) error {
	return &external.Error{Kind: kind, Op: "engine order", OutcomeUnknown: unknown}
}

func (e *fakeEngine) nextFault() fault {
	if len(e.faults) == 0 {
		return faultNone
	}
	f := e.faults[0]
	e.faults = e.faults[1:]
	return f
}

func (e *fakeEngine) Do(ctx context.Context, order external.Order) error {
	e.mu.Lock()
	f := e.nextFault()
	if order.Kind == external.OrderLoad {
		e.consult(e.onOrder, order)
	}
	e.mu.Unlock()
	done := make(chan error, 1)
	switch f {
	case faultRefused:
		return engineError(external.KindInvalid, false)
	case faultLostOrder:
		return engineError(external.KindUnavailable, true)
	case faultLateOrder:
		go func() {
			e.delay()
			done <- e.apply(order)
		}()
		return engineError(external.KindUnavailable, true)
	}
	go func() { done <- e.apply(order) }()
	if f == faultLostAnswer {
		return engineError(external.KindUnavailable, true)
	}
	select {
	case err := <-done:
		if f == faultNoAnswer && err == nil {
			<-ctx.Done()
			return ctx.Err()
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// delay holds back a late order for a second, or until the sidecar is paused.
func (e *fakeEngine) delay() {
	e.mu.Lock()
	paused := e.paused
	e.mu.Unlock()
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-paused:
	}
}

// pause lets the late orders arrive while the sidecar is stopped.
func (e *fakeEngine) pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.paused)
	e.paused = make(chan struct{})
}

func (e *fakeEngine) apply(order external.Order) error {
	e.mu.Lock()
	if e.fences != nil && order.Epoch < e.fences[order.Model] {
		e.mu.Unlock()
		return engineError(external.KindFenced, false)
	}
	if e.fences != nil {
		e.fences[order.Model] = order.Epoch
	}
	boot := e.boot
	err := e.start(order)
	took := e.loadTime
	e.mu.Unlock()
	if err != nil {
		return err
	}
	if order.Kind != external.OrderLoad {
		took = 10 * time.Millisecond
	}
	time.Sleep(took)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot {
		return engineError(external.KindUnavailable, true)
	}
	e.complete(order)
	return nil
}

// start applies the first half of an order.
func (e *fakeEngine) start(order external.Order) error {
	m := e.models[order.Model]
	switch order.Kind {
	case external.OrderLoad:
		return e.startLoad(order)
	case external.OrderUnload:
		if m == nil {
			return engineError(external.KindNotFound, false)
		}
		if m.running > 0 {
			e.breach("unload of %s with %d requests running", order.Model, m.running)
		}
		m.State = external.ModelUnloading
	case external.OrderLoadAdapter:
		if m == nil {
			return engineError(external.KindNotFound, false)
		}
		m.Adapters = append(m.Adapters, external.EngineAdapter{Adapter: order.Adapter, MemoryMiB: order.MemoryMiB, State: external.ModelLoading})
		e.checkMemory(order)
	}
	return nil
}

func (e *fakeEngine) startLoad(order external.Order) error {
	if e.models[order.Model] != nil {
		e.breach("second load of %s", order.Model)
		return engineError(external.KindInvalid, false)
	}
	e.consult(e.onApply, order)
	e.loads[order.Model]++
	e.models[order.Model] = &fakeModel{EngineModel: external.EngineModel{
		Model: order.Model, Version: order.Version, MemoryMiB: order.MemoryMiB, State: external.ModelLoading,
	}}
	e.checkMemory(order)
	return nil
}

func (e *fakeEngine) consult(check func(external.Order) string, order external.Order) {
	if check == nil {
		return
	}
	if why := check(order); why != "" {
		e.breach("%s", why)
	}
}

func (e *fakeEngine) checkMemory(order external.Order) {
	if used := e.usedMiB(); used > e.totalMiB {
		e.breach("%s of %s: %d MiB used of %d", order.Kind, order.Model, used, e.totalMiB)
	}
}

func (e *fakeEngine) complete(order external.Order) {
	m := e.models[order.Model]
	if m == nil {
		return
	}
	switch order.Kind {
	case external.OrderLoad:
		m.State = external.ModelReady
	case external.OrderUnload:
		delete(e.models, order.Model)
	default:
		e.completeAdapter(m, order)
	}
}

func (e *fakeEngine) completeAdapter(m *fakeModel, order external.Order) {
	var rest []external.EngineAdapter
	for _, a := range m.Adapters {
		if a.Adapter != order.Adapter {
			rest = append(rest, a)
		} else if order.Kind == external.OrderLoadAdapter {
			a.State = external.ModelReady
			rest = append(rest, a)
		}
	}
	m.Adapters = rest
}

// restart loses all models.
func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.models = make(map[string]*fakeModel)
}

func (e *fakeEngine) Inventory(context.Context) (external.Inventory, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	inv := external.Inventory{BootID: fmt.Sprint(e.boot), MemoryTotalMiB: e.totalMiB, Cached: e.cached}
	for _, m := range e.models {
		copied := m.EngineModel
		copied.Adapters = append([]external.EngineAdapter(nil), m.Adapters...)
		inv.Models = append(inv.Models, copied)
	}
	return inv, nil
}

func (e *fakeEngine) Load(context.Context) (external.EngineLoad, error) {
	return external.EngineLoad{}, nil
}

func (e *fakeEngine) CacheEvents(context.Context, int64) ([]external.CacheEvent, error) {
	return nil, nil
}

func (e *fakeEngine) Cancel(context.Context, string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels++
	return nil
}

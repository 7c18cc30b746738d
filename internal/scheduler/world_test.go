package scheduler

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// fakeEngine behaves like a model engine: it carries out one weight order at a
// time, counts accepted orders, refuses old fences, and crashes when it is
// ordered to hold more than it has room for.
type fakeEngine struct {
	up      *fleet.Upstream
	spec    *fleet.EngineSpec
	models  map[string]map[string]bool // adapters by model
	tiers   map[string]tier
	orders  int64
	fence   int64
	busy    *fleet.Order
	running map[string]int // by model
	// coming are adapters on their way: they take a place, but an unload finds
	// nothing to unload.
	coming  map[string]map[string]bool
	crashed bool
	loads   int // from the weight store
}

func newFakeEngine(id string, spec *fleet.EngineSpec, models ...string) *fakeEngine {
	e := &fakeEngine{
		up:      &fleet.Upstream{ID: id, Service: "llm", Addr: "127.0.0.1:1", FailureDomain: "a", Slots: spec.Slots, StartedMs: 1},
		spec:    spec,
		models:  make(map[string]map[string]bool),
		tiers:   make(map[string]tier),
		running: make(map[string]int),
		coming:  make(map[string]map[string]bool),
	}
	for _, m := range models {
		e.models[m] = make(map[string]bool)
		e.tiers[m] = tierDisk
	}
	return e
}

// describe refreshes the engine's entry, as a heartbeat would.
func (e *fakeEngine) describe() *fleet.Upstream {
	up := *e.up
	up.Sequence++
	up.Models = e.held()
	up.OnDisk = nil
	for name, t := range e.tiers {
		if t != tierRemote {
			up.OnDisk = append(up.OnDisk, name)
		}
	}
	sort.Strings(up.OnDisk)
	e.up = &up
	return e.up
}

func (e *fakeEngine) held() []fleet.LoadedModel {
	var held []fleet.LoadedModel
	for name, adapters := range e.models {
		h := fleet.LoadedModel{Name: name, Version: 1}
		for a := range adapters {
			h.Adapters = append(h.Adapters, a)
		}
		sort.Strings(h.Adapters)
		held = append(held, h)
	}
	slices.SortFunc(held, func(a, b fleet.LoadedModel) int { return len(a.Name) - len(b.Name) })
	return held
}

func (e *fakeEngine) inventory() fleet.Inventory {
	up := e.describe()
	inventory := fleet.Inventory{StartedMs: e.up.StartedMs, Models: e.held(), Busy: e.busy != nil, Orders: e.orders, OnDisk: up.OnDisk}
	for model, adapters := range e.coming {
		for name := range adapters {
			inventory.LoadingAdapters = append(inventory.LoadingAdapters, fleet.AdapterRef{Model: model, Adapter: name})
		}
	}
	return inventory
}

// order accepts or refuses an order.
func (e *fakeEngine) order(o fleet.Order) fleet.OrderResult {
	if o.Fence < e.fence {
		return fleet.OrderFenced
	}
	e.fence = o.Fence
	if e.busy != nil && !o.Unload && o.Adapter == "" && e.busy.Model == o.Model && !e.busy.Unload {
		return fleet.OrderAccepted // it is under way already and not counted again
	}
	if e.holds(o) != o.Unload {
		return fleet.OrderSatisfied
	}
	if e.busy != nil || o.ExpectedOrders != nil && *o.ExpectedOrders != e.orders {
		return fleet.OrderConflict
	}
	e.orders++
	if o.Adapter != "" {
		return e.orderAdapter(o)
	}
	e.busy = &o
	if !o.Unload && e.tiers[o.Model] == tierRemote {
		e.loads++
	}
	e.checkRoom()
	return fleet.OrderAccepted
}

func (e *fakeEngine) orderAdapter(o fleet.Order) fleet.OrderResult {
	if o.Unload {
		delete(e.models[o.Model], o.Adapter)
		return fleet.OrderSatisfied
	}
	if e.models[o.Model] == nil {
		e.orders--
		return fleet.OrderInvalid
	}
	if e.coming[o.Model] == nil {
		e.coming[o.Model] = make(map[string]bool)
	}
	e.coming[o.Model][o.Adapter] = true
	e.checkRoom()
	return fleet.OrderAccepted
}

// arrive ends the way of an adapter.
func (e *fakeEngine) arrive(o fleet.Order) {
	if e.models[o.Model] == nil || !e.coming[o.Model][o.Adapter] {
		return
	}
	delete(e.coming[o.Model], o.Adapter)
	e.models[o.Model][o.Adapter] = true
}

func (e *fakeEngine) holds(o fleet.Order) bool {
	adapters, ok := e.models[o.Model]
	if !o.Unload && o.Adapter != "" && e.coming[o.Model][o.Adapter] {
		return true
	}
	return ok && (o.Adapter == "" || adapters[o.Adapter])
}

// checkRoom crashes the engine when it holds or loads more than it can.
func (e *fakeEngine) checkRoom() {
	var memory int64
	slots := 0
	for name, adapters := range e.models {
		memory += e.spec.Models[name].MemoryMB + int64(len(adapters))*e.spec.Models[name].AdapterMB
		slots += len(adapters) + len(e.coming[name])
	}
	if e.busy != nil && !e.busy.Unload && e.models[e.busy.Model] == nil {
		memory += e.spec.Models[e.busy.Model].MemoryMB
	}
	if memory > e.spec.MemoryMB || slots > e.spec.AdapterSlots {
		e.crashed = true
	}
}

// finish ends the order under way, unless an unload waits for running requests.
func (e *fakeEngine) finish() {
	if e.busy == nil || e.busy.Unload && e.running[e.busy.Model] > 0 {
		return
	}
	if e.busy.Unload {
		delete(e.models, e.busy.Model)
		delete(e.coming, e.busy.Model)
	} else {
		e.models[e.busy.Model] = make(map[string]bool)
		e.tiers[e.busy.Model] = tierDisk
	}
	e.busy = nil
}

// duration is how long the order under way takes.
func (e *fakeEngine) duration(o fleet.Order) time.Duration {
	if o.Unload {
		return 50 * time.Millisecond
	}
	if e.tiers[o.Model] == tierRemote {
		return e.spec.Models[o.Model].RemoteLoad
	}
	return e.spec.Models[o.Model].DiskLoad
}

// world runs a cell against fake engines in simulated time.
type world struct {
	now     time.Time
	spec    *fleet.EngineSpec
	cell    *Cell
	engines map[string]*fakeEngine
	events  []event
	grants  []Grant
	refused []Refusal
	orders  int
	// answerDelay is the time from an order to its answer.
	answerDelay time.Duration
	// adapterTime is how long an adapter is on its way.
	adapterTime time.Duration
	nextKey     uint64
	// loseAnswer, if set, tells whether the answer to an order is lost.
	loseAnswer func() bool
	// applyLate, if set, tells how much later an unanswered order is carried out.
	applyLate func() time.Duration
}

type event struct {
	at  time.Time
	seq int
	run func()
}

func testSpec(models int) *fleet.EngineSpec {
	spec := &fleet.EngineSpec{Slots: 64, KVTokens: 100_000, MemoryMB: 250, AdapterSlots: 4, RemoteLoadsPerSecond: 2, Models: make(map[string]fleet.Model)}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		spec.Models[name] = fleet.Model{Name: name, MemoryMB: 100, RemoteLoad: 6 * time.Second, DiskLoad: 800 * time.Millisecond, MemoryLoad: 600 * time.Millisecond, AdapterMB: 1}
	}
	return spec
}

func newWorld(spec *fleet.EngineSpec, engines ...*fakeEngine) *world {
	w := &world{now: time.Unix(1_000_000, 0), spec: spec, engines: make(map[string]*fakeEngine), answerDelay: 2 * time.Millisecond, adapterTime: 14 * time.Millisecond}
	for _, e := range engines {
		w.engines[e.up.ID] = e
	}
	w.startCell(1)
	return w
}

// startCell makes a new holder's cell, which knows only the engines' entries.
func (w *world) startCell(fence int64) {
	w.cell = New(Options{Holder: "router-1", Fence: fence, LoadWindow: 5 * time.Second})
	w.update()
	w.carryOut(w.cell.AllowOrders(w.now))
}

// update shows the engines' entries to the cell as they were last described.
func (w *world) update() {
	var list []*fleet.Upstream
	for _, e := range w.engines {
		list = append(list, e.up)
	}
	w.carryOut(w.cell.Update(w.now, w.spec, list))
}

func (w *world) describeAll() {
	for _, e := range w.engines {
		e.describe()
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.events = append(w.events, event{at: w.now.Add(d), seq: len(w.events), run: run})
}

func (w *world) carryOut(a Actions) {
	w.grants = append(w.grants, a.Grants...)
	w.refused = append(w.refused, a.Refusals...)
	cell := w.cell
	for _, call := range a.Orders {
		w.orders++
		w.after(call.After, func() { w.deliver(cell, call) })
	}
	for _, call := range a.Inspects {
		w.after(call.After+w.answerDelay, func() {
			if cell != w.cell {
				return
			}
			if e := w.engines[call.Upstream.ID]; e != nil {
				w.carryOut(cell.HandleInventory(w.now, call.Upstream.ID, e.inventory(), nil))
			}
		})
	}
}

func (w *world) deliver(cell *Cell, call OrderCall) {
	e := w.engines[call.Upstream.ID]
	if e == nil {
		return
	}
	answer := func(result fleet.OrderResult) {
		w.after(w.answerDelay, func() {
			if cell == w.cell {
				w.carryOut(cell.HandleOrderResult(w.now, call.Upstream.ID, call.Order, result))
			}
		})
	}
	if w.applyLate != nil {
		if late := w.applyLate(); late > 0 {
			w.after(late, func() { w.apply(e, call.Order) })
			answer(fleet.OrderUnknown)
			return
		}
	}
	result := w.apply(e, call.Order)
	if w.loseAnswer != nil && w.loseAnswer() {
		result = fleet.OrderUnknown
	}
	answer(result)
}

func (w *world) apply(e *fakeEngine, o fleet.Order) fleet.OrderResult {
	wasBusy := e.busy
	result := e.order(o)
	if result == fleet.OrderAccepted && o.Adapter != "" && !o.Unload {
		w.after(w.adapterTime, func() { e.arrive(o) })
	}
	if e.busy != nil && e.busy != wasBusy {
		w.finishAfter(e, e.duration(*e.busy), e.busy)
	}
	return result
}

func (w *world) finishAfter(e *fakeEngine, d time.Duration, order *fleet.Order) {
	w.after(d, func() {
		if e.busy != order {
			return
		}
		e.finish()
		if e.busy == order {
			w.finishAfter(e, 20*time.Millisecond, order)
		}
	})
}

// run lets time pass, with a tick each 50 ms.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	nextTick := w.now.Add(50 * time.Millisecond)
	for {
		next := end
		if nextTick.Before(next) {
			next = nextTick
		}
		index := -1
		for i, ev := range w.events {
			if !ev.at.After(next) && (index < 0 || ev.at.Before(w.events[index].at)) {
				index = i
			}
		}
		if index >= 0 {
			ev := w.events[index]
			w.events = slices.Delete(w.events, index, index+1)
			if ev.at.After(w.now) {
				w.now = ev.at
			}
			ev.run()
			continue
		}
		w.now = next
		if !next.Before(end) {
			return
		}
		w.carryOut(w.cell.Tick(w.now))
		nextTick = nextTick.Add(50 * time.Millisecond)
	}
}

// ask submits a request for a model or MODEL/ADAPTER.
// askAgain asks for a request that failed on some engines.
func (w *world) askAgain(model string, mayMove bool, tried ...string) uint64 {
	w.nextKey++
	ask := &Request{Key: w.nextKey, Model: model, PromptTokens: 100, Objective: w.now.Add(time.Second), Deadline: w.now.Add(20 * time.Second), FailureDomain: "a", Tried: tried, MayMove: mayMove}
	w.carryOut(w.cell.Submit(w.now, ask))
	return ask.Key
}

func (w *world) ask(model, adapter string, tokens int64) uint64 {
	w.nextKey++
	w.carryOut(w.cell.Submit(w.now, &Request{
		Key: w.nextKey, RequestID: fmt.Sprint(w.nextKey), Model: model, Adapter: adapter,
		PromptTokens: tokens, OutputTokens: 50, Objective: w.now.Add(time.Second), Deadline: w.now.Add(10 * time.Second), FailureDomain: "a",
	}))
	return w.nextKey
}

// end finishes a granted request.
func (w *world) end(key uint64) {
	w.carryOut(w.cell.Progress(w.now, key, Started))
	w.carryOut(w.cell.Progress(w.now, key, Finished))
}

func (w *world) granted(key uint64) (Grant, bool) {
	for _, g := range w.grants {
		if g.Key == key {
			return g, true
		}
	}
	return Grant{}, false
}

func (w *world) crashed() []string {
	var ids []string
	for id, e := range w.engines {
		if e.crashed {
			ids = append(ids, id)
		}
	}
	return ids
}

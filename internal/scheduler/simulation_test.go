package scheduler

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// fakeEngine simulates a model engine: it carries out one model order at a time,
// counts accepted orders, rejects old fences, and crashes when it is ordered to
// load more than its capacity.
type fakeEngine struct {
	up      *fleet.Upstream
	spec    *fleet.EngineSpec
	models  map[string]map[string]bool // adapters by model
	tiers   map[string]tier
	orders  int64
	fence   int64
	busy    *fleet.Order
	running map[string]int // by model
	// loading are adapters that are still loading: each uses a slot, but an unload
	// has no effect on it.
	loading         map[string]map[string]bool
	crashed         bool
	refuses         bool // connections are refused
	remoteLoadCount int  // loads from the weight store
}

func newFakeEngine(id string, spec *fleet.EngineSpec, models ...string) *fakeEngine {
	e := &fakeEngine{
		up:      &fleet.Upstream{ID: id, Service: "llm", Addr: "127.0.0.1:1", FailureDomain: "a", Slots: spec.Slots, StartedMs: 1},
		spec:    spec,
		models:  make(map[string]map[string]bool),
		tiers:   make(map[string]tier),
		running: make(map[string]int),
		loading: make(map[string]map[string]bool),
	}
	for _, m := range models {
		e.models[m] = make(map[string]bool)
		e.tiers[m] = tierDisk
	}
	return e
}

// heartbeat updates the engine's registration.
func (e *fakeEngine) heartbeat() *fleet.Upstream {
	up := *e.up
	up.Sequence++
	up.Models = e.loadedModels()
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

func (e *fakeEngine) loadedModels() []fleet.LoadedModel {
	var models []fleet.LoadedModel
	for name, adapters := range e.models {
		m := fleet.LoadedModel{Name: name, Version: 1}
		for a := range adapters {
			m.Adapters = append(m.Adapters, a)
		}
		sort.Strings(m.Adapters)
		models = append(models, m)
	}
	slices.SortFunc(models, func(a, b fleet.LoadedModel) int { return len(a.Name) - len(b.Name) })
	return models
}

func (e *fakeEngine) inventory() fleet.Inventory {
	up := e.heartbeat()
	inventory := fleet.Inventory{StartedMs: e.up.StartedMs, Models: e.loadedModels(), Busy: e.busy != nil, Orders: e.orders, OnDisk: up.OnDisk}
	for model, adapters := range e.loading {
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
		return fleet.OrderAccepted // already loading: not counted again
	}
	if e.isLoaded(o) != o.Unload {
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
		e.remoteLoadCount++
	}
	e.checkCapacity()
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
	if e.loading[o.Model] == nil {
		e.loading[o.Model] = make(map[string]bool)
	}
	e.loading[o.Model][o.Adapter] = true
	e.checkCapacity()
	return fleet.OrderAccepted
}

// finishAdapter completes the load of an adapter.
func (e *fakeEngine) finishAdapter(o fleet.Order) {
	if e.models[o.Model] == nil || !e.loading[o.Model][o.Adapter] {
		return
	}
	delete(e.loading[o.Model], o.Adapter)
	e.models[o.Model][o.Adapter] = true
}

func (e *fakeEngine) isLoaded(o fleet.Order) bool {
	adapters, ok := e.models[o.Model]
	if !o.Unload && o.Adapter != "" && e.loading[o.Model][o.Adapter] {
		return true
	}
	return ok && (o.Adapter == "" || adapters[o.Adapter])
}

// checkCapacity crashes the engine when what is loaded or loading exceeds its
// capacity.
func (e *fakeEngine) checkCapacity() {
	var memory int64
	slots := 0
	for name, adapters := range e.models {
		memory += e.spec.Models[name].MemoryMB + int64(len(adapters))*e.spec.Models[name].AdapterMB
		slots += len(adapters) + len(e.loading[name])
	}
	if e.busy != nil && !e.busy.Unload && e.models[e.busy.Model] == nil {
		memory += e.spec.Models[e.busy.Model].MemoryMB
	}
	if memory > e.spec.MemoryMB || slots > e.spec.AdapterSlots {
		e.crashed = true
	}
}

// submitStream submits a request for a stream of model m0 with a maximal gap.
func (sim *simulation) submitStream(tokens int64, maxGap time.Duration) uint64 {
	sim.nextKey++
	sim.carryOut(sim.cell.Submit(sim.now, &Request{
		Key: sim.nextKey, Model: "m0", PromptTokens: tokens, OutputTokens: 100, MaxGap: maxGap,
		Objective: sim.now.Add(5 * time.Second), Deadline: sim.now.Add(20 * time.Second), FailureDomain: "a",
	}))
	return sim.nextKey
}

// finish completes the current order, unless an unload waits for running
// requests.
func (e *fakeEngine) finish() {
	if e.busy == nil || e.busy.Unload && e.running[e.busy.Model] > 0 {
		return
	}
	if e.busy.Unload {
		delete(e.models, e.busy.Model)
		delete(e.loading, e.busy.Model)
	} else {
		e.models[e.busy.Model] = make(map[string]bool)
		e.tiers[e.busy.Model] = tierDisk
	}
	e.busy = nil
}

// duration is how long the current order takes.
func (e *fakeEngine) duration(o fleet.Order) time.Duration {
	if o.Unload {
		return 50 * time.Millisecond
	}
	if e.tiers[o.Model] == tierRemote {
		return e.spec.Models[o.Model].RemoteLoad
	}
	return e.spec.Models[o.Model].DiskLoad
}

// simulation runs a cell against fake engines in simulated time.
type simulation struct {
	now      time.Time
	spec     *fleet.EngineSpec
	cell     *Cell
	engines  map[string]*fakeEngine
	events   []event
	grants   []Grant
	refusals []Refusal
	orders   int
	inspects int
	// replyDelay is the time from an order to its reply.
	replyDelay time.Duration
	// adapterLoadTime is the load time of an adapter.
	adapterLoadTime time.Duration
	nextKey         uint64
	// pace has the limits of engines; nil for none. It is used from the next startCell on.
	pace Pace
	// loseReply, if set, reports whether the reply to an order is lost.
	loseReply func() bool
	// applyDelay, if set, returns how much later an order without reply is carried
	// out.
	applyDelay func() time.Duration
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

func newSimulation(spec *fleet.EngineSpec, engines ...*fakeEngine) *simulation {
	sim := &simulation{now: time.Unix(1_000_000, 0), spec: spec, engines: make(map[string]*fakeEngine), replyDelay: 2 * time.Millisecond, adapterLoadTime: 14 * time.Millisecond}
	for _, e := range engines {
		sim.engines[e.up.ID] = e
	}
	sim.startCell(1)
	return sim
}

// startCell creates the cell of a new holder, which knows only the engines'
// registrations.
func (sim *simulation) startCell(fence int64) {
	sim.cell = New(Options{Holder: "router-1", Fence: fence, LoadWindow: 5 * time.Second, Pace: sim.pace})
	sim.update()
	sim.carryOut(sim.cell.AllowOrders(sim.now))
}

// update passes the engines' last registrations to the cell.
func (sim *simulation) update() {
	var list []*fleet.Upstream
	for _, e := range sim.engines {
		list = append(list, e.up)
	}
	sim.carryOut(sim.cell.Update(sim.now, sim.spec, list))
}

func (sim *simulation) heartbeatAll() {
	for _, e := range sim.engines {
		e.heartbeat()
	}
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.events = append(sim.events, event{at: sim.now.Add(d), seq: len(sim.events), run: run})
}

func (sim *simulation) carryOut(a Actions) {
	sim.grants = append(sim.grants, a.Grants...)
	sim.refusals = append(sim.refusals, a.Refusals...)
	cell := sim.cell
	for _, call := range a.Orders {
		sim.orders++
		sim.schedule(call.After, func() { sim.deliver(cell, call) })
	}
	sim.inspects += len(a.Inspects)
	for _, call := range a.Inspects {
		sim.schedule(call.After+sim.replyDelay, func() {
			if cell != sim.cell {
				return
			}
			e := sim.engines[call.Upstream.ID]
			switch {
			case e != nil && e.refuses:
				sim.carryOut(cell.HandleInventory(sim.now, call.Upstream.ID, fleet.Inventory{}, errRefused))
			case e != nil:
				sim.carryOut(cell.HandleInventory(sim.now, call.Upstream.ID, e.inventory(), nil))
			}
		})
	}
}

func (sim *simulation) deliver(cell *Cell, call OrderCall) {
	e := sim.engines[call.Upstream.ID]
	if e == nil {
		return
	}
	reply := func(result fleet.OrderResult) {
		sim.schedule(sim.replyDelay, func() {
			if cell == sim.cell {
				sim.carryOut(cell.HandleOrderResult(sim.now, call.Upstream.ID, call.Order, result))
			}
		})
	}
	if sim.applyDelay != nil {
		if late := sim.applyDelay(); late > 0 {
			sim.schedule(late, func() { sim.apply(e, call.Order) })
			reply(fleet.OrderUnknown)
			return
		}
	}
	result := sim.apply(e, call.Order)
	if sim.loseReply != nil && sim.loseReply() {
		result = fleet.OrderUnknown
	}
	reply(result)
}

func (sim *simulation) apply(e *fakeEngine, o fleet.Order) fleet.OrderResult {
	wasBusy := e.busy
	result := e.order(o)
	if result == fleet.OrderAccepted && o.Adapter != "" && !o.Unload {
		sim.schedule(sim.adapterLoadTime, func() { e.finishAdapter(o) })
	}
	if e.busy != nil && e.busy != wasBusy {
		sim.finishAfter(e, e.duration(*e.busy), e.busy)
	}
	return result
}

func (sim *simulation) finishAfter(e *fakeEngine, d time.Duration, order *fleet.Order) {
	sim.schedule(d, func() {
		if e.busy != order {
			return
		}
		e.finish()
		if e.busy == order {
			sim.finishAfter(e, 20*time.Millisecond, order)
		}
	})
}

// run advances the time, with a tick every 50 ms.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	nextTick := sim.now.Add(50 * time.Millisecond)
	for {
		next := end
		if nextTick.Before(next) {
			next = nextTick
		}
		index := -1
		for i, ev := range sim.events {
			if !ev.at.After(next) && (index < 0 || ev.at.Before(sim.events[index].at)) {
				index = i
			}
		}
		if index >= 0 {
			ev := sim.events[index]
			sim.events = slices.Delete(sim.events, index, index+1)
			if ev.at.After(sim.now) {
				sim.now = ev.at
			}
			ev.run()
			continue
		}
		sim.now = next
		if !next.Before(end) {
			return
		}
		sim.carryOut(sim.cell.Tick(sim.now))
		nextTick = nextTick.Add(50 * time.Millisecond)
	}
}

// resubmit submits a request that failed on some engines.
func (sim *simulation) resubmit(model string, mayMove bool, tried ...string) uint64 {
	sim.nextKey++
	req := &Request{Key: sim.nextKey, Model: model, PromptTokens: 100, Objective: sim.now.Add(time.Second), Deadline: sim.now.Add(20 * time.Second), FailureDomain: "a", Tried: tried, MayMove: mayMove}
	sim.carryOut(sim.cell.Submit(sim.now, req))
	return req.Key
}

func (sim *simulation) submit(model, adapter string, tokens int64) uint64 {
	sim.nextKey++
	sim.carryOut(sim.cell.Submit(sim.now, &Request{
		Key: sim.nextKey, RequestID: fmt.Sprint(sim.nextKey), Model: model, Adapter: adapter,
		PromptTokens: tokens, OutputTokens: 50, Objective: sim.now.Add(time.Second), Deadline: sim.now.Add(10 * time.Second), FailureDomain: "a",
	}))
	return sim.nextKey
}

// finish completes a granted request.
func (sim *simulation) finish(key uint64) {
	sim.carryOut(sim.cell.Progress(sim.now, key, Started))
	sim.carryOut(sim.cell.Progress(sim.now, key, Finished))
}

func (sim *simulation) granted(key uint64) (Grant, bool) {
	for _, g := range sim.grants {
		if g.Key == key {
			return g, true
		}
	}
	return Grant{}, false
}

func (sim *simulation) crashedEngines() []string {
	var ids []string
	for id, e := range sim.engines {
		if e.crashed {
			ids = append(ids, id)
		}
	}
	return ids
}

package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

func TestLoadedModelIsGrantedAtOnce(t *testing.T) {
	is := is.New(t)
	spec := testSpec(2)
	sim := newSimulation(spec, newFakeEngine("e1", spec, "m0"))
	sim.heartbeatAll()
	sim.startCell(2)
	key := sim.submit("m0", "", 100)
	_, ok := sim.granted(key)
	is.True(ok) // no order is needed
	is.Equal(sim.orders, 0)
}

func TestRareModelIsSwappedInFromDisk(t *testing.T) {
	is := is.New(t)
	spec := testSpec(3)
	e := newFakeEngine("e1", spec, "m0", "m1")
	e.tiers["m2"] = tierDisk
	e.heartbeat()
	sim := newSimulation(spec, e)
	sim.run(100 * time.Millisecond)
	key := sim.submit("m2", "", 100)
	sim.run(1200 * time.Millisecond)
	g, ok := sim.granted(key)
	is.True(ok) // one unload and one load from disk
	is.True(g.Waited < 1200*time.Millisecond)
	is.Equal(sim.crashedEngines(), nil)
	is.Equal(sim.orders, 2) // no order was refused
}

// A burst of first requests for rare models that don't fit into memory together.
func TestBurstOfRareModelsNeverOvercommits(t *testing.T) {
	is := is.New(t)
	spec := testSpec(12)
	var engines []*fakeEngine
	for i := range 3 {
		e := newFakeEngine(fmt.Sprintf("e%d", i), spec, fmt.Sprintf("m%d", 2*i), fmt.Sprintf("m%d", 2*i+1))
		for m := range 12 {
			e.tiers[fmt.Sprintf("m%d", m)] = tierDisk
		}
		e.heartbeat()
		engines = append(engines, e)
	}
	sim := newSimulation(spec, engines...)
	sim.run(100 * time.Millisecond)
	var keys []uint64
	for m := range 12 {
		keys = append(keys, sim.submit(fmt.Sprintf("m%d", m), "", 100))
	}
	for range 60 {
		sim.run(100 * time.Millisecond)
		for _, k := range keys {
			if _, ok := sim.granted(k); ok {
				sim.finish(k)
			}
		}
	}
	is.Equal(sim.crashedEngines(), nil)
	for _, k := range keys {
		_, ok := sim.granted(k)
		is.True(ok) // every model was loaded before the deadline
	}
}

// A new lease holder sees registrations that are older than the previous
// holder's adapter orders.
func TestNewHolderCountsPreviousHoldersAdapters(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e := newFakeEngine("e1", spec, "m0")
	e.heartbeat()
	sim := newSimulation(spec, e)
	for _, name := range []string{"a1", "a2", "a3"} { // not in the registration yet
		e.models["m0"][name] = true
		e.orders++
	}
	sim.startCell(2)
	sim.run(50 * time.Millisecond)
	for i := range 6 {
		key := sim.submit("m0", fmt.Sprintf("b%d", i), 100)
		sim.run(200 * time.Millisecond)
		sim.finish(key)
	}
	is.Equal(sim.crashedEngines(), nil)
}

// A new holder finds an engine that still loads for the previous one.
func TestNewHolderWaitsForTheLoadUnderWay(t *testing.T) {
	is := is.New(t)
	spec := testSpec(4)
	e := newFakeEngine("e1", spec, "m0")
	for m := range 4 {
		e.tiers[fmt.Sprintf("m%d", m)] = tierDisk
	}
	e.heartbeat()
	sim := newSimulation(spec, e)
	sim.run(50 * time.Millisecond)
	sim.submit("m1", "", 100) // the previous holder orders m1 and stops
	sim.run(20 * time.Millisecond)
	is.True(e.busy != nil)
	sim.startCell(2)
	key := sim.submit("m2", "", 100)
	sim.run(3 * time.Second)
	is.Equal(sim.crashedEngines(), nil)
	_, ok := sim.granted(key)
	is.True(ok)
}

// A model is ordered that is loading already: the engine accepts the order
// without counting it.
func TestDuplicateLoadDoesNotStall(t *testing.T) {
	is := is.New(t)
	spec := testSpec(3)
	e := newFakeEngine("e1", spec, "m0")
	e.tiers["m1"] = tierDisk
	e.heartbeat()
	sim := newSimulation(spec, e)
	sim.run(50 * time.Millisecond)
	order := fleet.Order{Model: "m1", Holder: "router-0", Fence: 1}
	expected := int64(0)
	order.ExpectedOrders = &expected
	sim.apply(e, order)
	key := sim.submit("m1", "", 100)
	sim.run(4 * time.Second)
	_, ok := sim.granted(key)
	is.True(ok)
}

// An unused adapter is unloaded at once, and the order is counted.
func TestAdapterSwapMeetsNoConflict(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e := newFakeEngine("e1", spec, "m0")
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		e.models["m0"][name] = true
	}
	e.heartbeat()
	sim := newSimulation(spec, e)
	sim.run(50 * time.Millisecond)
	key := sim.submit("m0", "a9", 100)
	sim.run(100 * time.Millisecond)
	_, ok := sim.granted(key)
	is.True(ok)
	is.Equal(sim.orders, 2) // unload and load, none of them refused
	is.Equal(sim.crashedEngines(), nil)
}

// The only engine with the busiest model is overloaded, and no other host has it
// cached.
func TestBusyModelGetsReplicaFromWeightStore(t *testing.T) {
	is := is.New(t)
	spec := testSpec(3)
	e1 := newFakeEngine("e1", spec, "m0")
	e2 := newFakeEngine("e2", spec, "m1")
	e1.heartbeat()
	e2.heartbeat()
	sim := newSimulation(spec, e1, e2)
	sim.run(50 * time.Millisecond)
	for range 300 {
		key := sim.submit("m0", "", 4000) // 100 ms of prefill each
		sim.run(50 * time.Millisecond)
		_ = key
	}
	is.True(e2.models["m0"] != nil) // a replica was added
	is.Equal(sim.crashedEngines(), nil)
}

// Many callers hold long chats with short prompts: the engine spends its time on the
// streams, of which it can run only so many.
func TestModelWithLongStreamsGetsReplica(t *testing.T) {
	is := is.New(t)
	spec := testSpec(2)
	e1, e2 := newFakeEngine("e1", spec, "m0"), newFakeEngine("e2", spec, "m1")
	e2.tiers["m0"] = tierDisk
	e1.heartbeat()
	e2.heartbeat()
	sim := newSimulation(spec, e1, e2)
	sim.run(60 * time.Millisecond)
	sim.cell.LearnEventInterval(40 * time.Millisecond)
	var running []uint64
	for range 200 {
		key := sim.submitStream(50, 200*time.Millisecond)
		sim.run(60 * time.Millisecond)
		sim.carryOut(sim.cell.Progress(sim.now, key, Started))
		if running = append(running, key); len(running) > 40 { // streams of 2.4 s
			sim.carryOut(sim.cell.Progress(sim.now, running[0], Finished))
			running = running[1:]
		}
	}
	is.True(e2.models["m0"] != nil)
	is.Equal(sim.crashedEngines(), nil)
}

// An engine reports a model missing that the cell counts as loaded.
func TestModelReportedMissingIsCountedUntilInventory(t *testing.T) {
	is := is.New(t)
	spec := testSpec(4)
	e := newFakeEngine("e1", spec, "m0", "m1")
	e.tiers["m2"] = tierDisk
	e.heartbeat()
	sim := newSimulation(spec, e)
	sim.run(50 * time.Millisecond)
	key := sim.submit("m0", "", 100)
	sim.carryOut(sim.cell.Progress(sim.now, key, ModelMissing))
	sim.submit("m2", "", 100)
	sim.run(3 * time.Second)
	is.Equal(sim.crashedEngines(), nil)
}

func TestRequestThatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	spec := testSpec(2)
	e := newFakeEngine("e1", spec, "m0")
	e.heartbeat()
	sim := newSimulation(spec, e)
	sim.run(50 * time.Millisecond)
	sim.nextKey++
	sim.carryOut(sim.cell.Submit(sim.now, &Request{Key: sim.nextKey, Model: "m1", PromptTokens: 10, Objective: sim.now.Add(time.Second), Deadline: sim.now.Add(2 * time.Second)}))
	is.Equal(len(sim.refusals), 1) // the load takes 6 s
	is.True(sim.refusals[0].RetryAfter > 0)
}

func TestPrefixAffinity(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e1 := newFakeEngine("e1", spec, "m0")
	e2 := newFakeEngine("e2", spec, "m0")
	e1.heartbeat()
	e2.heartbeat()
	sim := newSimulation(spec, e1, e2)
	sim.run(50 * time.Millisecond)
	submit := func(own string) string {
		sim.nextKey++
		key := sim.nextKey
		sim.carryOut(sim.cell.Submit(sim.now, &Request{
			Key: key, Model: "m0", PromptTokens: 4500, OutputTokens: 10,
			Parts: []PromptPart{{ID: "shared", Tokens: 4000}, {ID: own, Tokens: 500}}, Objective: sim.now.Add(time.Second), Deadline: sim.now.Add(10 * time.Second),
		}))
		g, ok := sim.granted(key)
		is.True(ok)
		sim.run(200 * time.Millisecond)
		sim.finish(key)
		return g.Upstream.ID
	}
	first := submit("s1")
	is.Equal(submit("s2"), first)
	is.Equal(submit("s3"), first)
}

// The caller whose request triggered an adapter load disconnects before the
// adapter is loaded.
func TestLoadingAdapterIsNotEvicted(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e := newFakeEngine("e1", spec, "m0")
	for _, name := range []string{"a1", "a2", "a3"} {
		e.models["m0"][name] = true
	}
	e.heartbeat()
	sim := newSimulation(spec, e)
	sim.adapterLoadTime = 300 * time.Millisecond
	sim.run(50 * time.Millisecond)
	for _, name := range []string{"a1", "a2", "a3"} { // in use
		sim.submit("m0", name, 100)
	}
	withdrawn := sim.submit("m0", "a4", 100)
	sim.run(10 * time.Millisecond)
	sim.carryOut(sim.cell.Withdraw(sim.now, withdrawn))
	sim.submit("m0", "a5", 100)
	sim.run(2 * time.Second)
	is.Equal(sim.crashedEngines(), nil)
}

// Chat streams exceed their maximal gap when several long prompts are prefilled
// in a row beside them.
func TestLongPromptGoesToEngineWithFewerStreams(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e1 := newFakeEngine("e1", spec, "m0")
	e2 := newFakeEngine("e2", spec, "m0")
	e1.heartbeat()
	e2.heartbeat()
	sim := newSimulation(spec, e1, e2)
	sim.run(50 * time.Millisecond)
	submit := func(tokens int64) Grant {
		sim.nextKey++
		key := sim.nextKey
		sim.carryOut(sim.cell.Submit(sim.now, &Request{
			Key: key, Model: "m0", PromptTokens: tokens, OutputTokens: 100, MaxGap: 600 * time.Millisecond,
			Objective: sim.now.Add(time.Second), Deadline: sim.now.Add(20 * time.Second), FailureDomain: "a",
		}))
		g, ok := sim.granted(key)
		is.True(ok)
		return g
	}
	streams := make(map[string]int)
	for range 9 { // chats; one engine gets more of them
		g := submit(100)
		sim.run(100 * time.Millisecond)
		sim.carryOut(sim.cell.Progress(sim.now, g.Key, Started))
		streams[g.Upstream.ID]++
	}
	lessLoaded := "e1"
	if streams["e2"] < streams["e1"] {
		lessLoaded = "e2"
	}
	is.Equal(submit(16_000).Upstream.ID, lessLoaded) // 400 ms of prefill
}

// An engine fails some of its requests quickly while it appears healthy and idle.
func TestPartlyFailingEngineGetsFewRequests(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	failing := newFakeEngine("e1", spec, "m0")
	healthy := newFakeEngine("e2", spec, "m0")
	failing.heartbeat()
	healthy.heartbeat()
	sim := newSimulation(spec, failing, healthy)
	sim.run(50 * time.Millisecond)
	failed := 0
	for i := range 100 {
		key := sim.submit("m0", "", 100)
		g, ok := sim.granted(key)
		is.True(ok)
		if g.Upstream.ID == "e1" && i%2 == 0 {
			failed++
			sim.carryOut(sim.cell.Progress(sim.now, key, Failed))
		} else {
			sim.run(100 * time.Millisecond) // the healthy engine is always busier
			sim.finish(key)
		}
		sim.run(20 * time.Millisecond)
	}
	is.True(failed < 10)
}

// A request's engine crashed, only its host has the model cached, and the
// request may not return there.
func TestModelIsFetchedWhenItsHostWasTried(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	tried := newFakeEngine("e1", spec)
	tried.tiers["m0"] = tierDisk
	tried.heartbeat()
	other := newFakeEngine("e2", spec)
	sim := newSimulation(spec, tried, other)
	sim.run(50 * time.Millisecond)
	key := sim.resubmit("m0", true, "e1")
	sim.run(7 * time.Second)
	g, ok := sim.granted(key)
	is.True(ok)
	is.Equal(g.Upstream.ID, "e2")
}

// Every engine of a small service has failed a request.
func TestRequestThatEveryEngineFailedIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	sim := newSimulation(spec, newFakeEngine("e1", spec, "m0"))
	sim.heartbeatAll()
	sim.run(50 * time.Millisecond)
	sim.resubmit("m0", true, "e1")
	is.Equal(len(sim.refusals), 1)
	sim.resubmit("m0", false, "gone") // may only return to an engine that was removed
	is.Equal(len(sim.refusals), 2)
}

// Long prompts arrive in a row at an engine with chat streams.
func TestLongPromptsLeaveBreaksForStreams(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e := newFakeEngine("e1", spec, "m0")
	e.heartbeat()
	sim := newSimulation(spec, e)
	sim.run(50 * time.Millisecond)
	submit := func(tokens int64) uint64 { return sim.submitStream(tokens, 600*time.Millisecond) }
	chat := submit(100)
	sim.run(50 * time.Millisecond)
	sim.carryOut(sim.cell.Progress(sim.now, chat, Started))
	began := sim.now
	for range 12 {
		submit(4000) // 100 ms of prefill
	}
	granted := len(sim.grants)
	is.True(granted < 7) // the others wait for a break
	var breaks int
	last := sim.now
	for range 40 {
		sim.run(60 * time.Millisecond) // more than one tick
		if len(sim.grants) > granted {
			if sim.now.Sub(last) > 300*time.Millisecond {
				breaks++
			}
			granted = len(sim.grants)
			last = sim.now
		}
	}
	is.Equal(len(sim.grants), 13) // none is refused
	is.True(breaks >= 2)
	is.True(last.Sub(began) < 1500*time.Millisecond) // breaks add little delay
}

// An event holds several tokens, so that it takes long even on an idle engine. A break
// between prompts must be long enough for one, or streams exceed their maximal gap.
func TestBreakLastsAsLongAsAnEvent(t *testing.T) {
	is := is.New(t)
	const interval, maxGap, tick = 40 * time.Millisecond, 200 * time.Millisecond, 5 * time.Millisecond
	spec := testSpec(1)
	e := newFakeEngine("e1", spec, "m0")
	e.heartbeat()
	sim := newSimulation(spec, e)
	sim.run(60 * time.Millisecond)
	submit := func(tokens int64) uint64 { return sim.submitStream(tokens, maxGap) }
	chat := submit(100)
	sim.run(60 * time.Millisecond)
	sim.carryOut(sim.cell.Progress(sim.now, chat, Started))
	sim.cell.LearnEventInterval(3 * interval) // of a busy engine
	sim.cell.LearnEventInterval(interval)
	for range 20 {
		submit(1000) // 25 ms of prefill
	}
	// prefill is the time until the prompts that were sent are prefilled.
	prefill := func() time.Duration { return max(0, sim.cell.engines["e1"].prefillDoneAt.Sub(sim.now)) }
	idle, breaks := time.Duration(0), 0
	for len(sim.grants) < 21 {
		before := len(sim.grants)
		sim.now = sim.now.Add(tick)
		sim.carryOut(sim.cell.Tick(sim.now))
		switch {
		case len(sim.grants) > before && idle > 0:
			is.True(idle >= interval-tick)
			breaks++
			idle = 0
		case prefill() == 0:
			idle += tick
		}
	}
	is.True(breaks >= 3)
}

// Small prompts keep arriving while a large one waits for a break.
func TestSmallPromptsDoNotOvertakeALargeOne(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e := newFakeEngine("e1", spec, "m0")
	e.heartbeat()
	sim := newSimulation(spec, e)
	sim.run(50 * time.Millisecond)
	submit := func(tokens int64) uint64 { return sim.submitStream(tokens, 600*time.Millisecond) }
	chat := submit(100)
	sim.run(60 * time.Millisecond)
	sim.carryOut(sim.cell.Progress(sim.now, chat, Started))
	submit(8000) // 200 ms of prefill
	large := submit(10_000)
	began := sim.now
	for range 40 {
		submit(1000)
		sim.run(60 * time.Millisecond)
		if _, ok := sim.granted(large); ok {
			break
		}
	}
	is.True(sim.now.Sub(began) < 600*time.Millisecond) // granted at the next break
}

// The only host that has a model cached runs busy models, which are also loaded
// elsewhere.
func TestBusyReplicaIsRetiredForModelWithoutReplica(t *testing.T) {
	is := is.New(t)
	spec := testSpec(3)
	full, other := newFakeEngine("e1", spec, "m1", "m2"), newFakeEngine("e2", spec, "m1", "m2")
	full.tiers["m0"] = tierDisk
	full.heartbeat()
	other.heartbeat()
	sim := newSimulation(spec, full, other)
	sim.run(60 * time.Millisecond)
	var running []uint64
	busy := func() { // keeps each model busy on e1, unless it is retired there
		for _, m := range []string{"m1", "m2", "m2", "m1"} {
			running = append(running, sim.submit(m, "", 100))
		}
		sim.run(100 * time.Millisecond)
		if len(running) > 40 {
			for _, key := range running[:4] {
				sim.finish(key)
			}
			running = running[4:]
		}
	}
	for range 30 {
		busy()
	}
	key := sim.submit("m0", "", 100)
	for range 80 {
		busy()
	}
	g, ok := sim.granted(key)
	is.True(ok)
	is.Equal(g.Upstream.ID, "e1")
	is.Equal(sim.crashedEngines(), nil)
}

// An engine gets far more prompts than it can prefill before the deadlines.
func TestPromptsThatCannotBePrefilledInTimeAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e := newFakeEngine("e1", spec, "m0")
	e.heartbeat()
	sim := newSimulation(spec, e)
	sim.run(50 * time.Millisecond)
	submit := func(tokens int64) uint64 {
		sim.nextKey++
		sim.carryOut(sim.cell.Submit(sim.now, &Request{
			Key: sim.nextKey, Model: "m0", PromptTokens: tokens, OutputTokens: 10, MaxGap: 600 * time.Millisecond,
			Objective: sim.now.Add(time.Second), Deadline: sim.now.Add(2 * time.Second), FailureDomain: "a",
		}))
		return sim.nextKey
	}
	chat := submit(100)
	sim.run(60 * time.Millisecond)
	sim.carryOut(sim.cell.Progress(sim.now, chat, Started))
	for range 20 {
		submit(9000) // 225 ms of prefill each, 4.5 s in all
	}
	sim.run(100 * time.Millisecond)
	is.True(len(sim.refusals) >= 8)
	is.True(sim.refusals[0].RetryAfter > time.Second)
	is.True(len(sim.refusals) <= 14) // the others are prefilled in time
}

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
	w := newWorld(spec, newFakeEngine("e1", spec, "m0"))
	w.describeAll()
	w.startCell(2)
	key := w.ask("m0", "", 100)
	_, ok := w.granted(key)
	is.True(ok) // no order is needed
	is.Equal(w.orders, 0)
}

func TestRareModelIsSwappedInFromDisk(t *testing.T) {
	is := is.New(t)
	spec := testSpec(3)
	e := newFakeEngine("e1", spec, "m0", "m1")
	e.tiers["m2"] = tierDisk
	e.describe()
	w := newWorld(spec, e)
	w.run(100 * time.Millisecond)
	key := w.ask("m2", "", 100)
	w.run(1200 * time.Millisecond)
	g, ok := w.granted(key)
	is.True(ok) // one unload and one load from disk
	is.True(g.Waited < 1200*time.Millisecond)
	is.Equal(w.crashed(), nil)
	is.Equal(w.orders, 2) // no order was refused
}

// Pattern: a burst of first requests for rare models, more than fit.
func TestBurstOfRareModelsNeverOvercommits(t *testing.T) {
	is := is.New(t)
	spec := testSpec(12)
	var engines []*fakeEngine
	for i := range 3 {
		e := newFakeEngine(fmt.Sprintf("e%d", i), spec, fmt.Sprintf("m%d", 2*i), fmt.Sprintf("m%d", 2*i+1))
		for m := range 12 {
			e.tiers[fmt.Sprintf("m%d", m)] = tierDisk
		}
		e.describe()
		engines = append(engines, e)
	}
	w := newWorld(spec, engines...)
	w.run(100 * time.Millisecond)
	var keys []uint64
	for m := range 12 {
		keys = append(keys, w.ask(fmt.Sprintf("m%d", m), "", 100))
	}
	for range 60 {
		w.run(100 * time.Millisecond)
		for _, k := range keys {
			if _, ok := w.granted(k); ok {
				w.end(k)
			}
		}
	}
	is.Equal(w.crashed(), nil)
	for _, k := range keys {
		_, ok := w.granted(k)
		is.True(ok) // every model got its turn before the deadline
	}
}

// Pattern: a new holder of the lease sees entries that are older than the
// former holder's adapter orders.
func TestNewHolderCountsFormerHoldersAdapters(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e := newFakeEngine("e1", spec, "m0")
	e.describe()
	w := newWorld(spec, e)
	for _, name := range []string{"a1", "a2", "a3"} { // not in the entry yet
		e.models["m0"][name] = true
		e.orders++
	}
	w.startCell(2)
	w.run(50 * time.Millisecond)
	for i := range 6 {
		key := w.ask("m0", fmt.Sprintf("b%d", i), 100)
		w.run(200 * time.Millisecond)
		w.end(key)
	}
	is.Equal(w.crashed(), nil)
}

// Pattern: a new holder meets an engine that still loads for the former one.
func TestNewHolderWaitsForTheLoadUnderWay(t *testing.T) {
	is := is.New(t)
	spec := testSpec(4)
	e := newFakeEngine("e1", spec, "m0")
	for m := range 4 {
		e.tiers[fmt.Sprintf("m%d", m)] = tierDisk
	}
	e.describe()
	w := newWorld(spec, e)
	w.run(50 * time.Millisecond)
	w.ask("m1", "", 100) // the former holder orders m1 and is gone
	w.run(20 * time.Millisecond)
	is.True(e.busy != nil)
	w.startCell(2)
	key := w.ask("m2", "", 100)
	w.run(3 * time.Second)
	is.Equal(w.crashed(), nil)
	_, ok := w.granted(key)
	is.True(ok)
}

// Pattern: a model is ordered that loads already, which an engine accepts
// without counting it.
func TestDuplicateLoadDoesNotStall(t *testing.T) {
	is := is.New(t)
	spec := testSpec(3)
	e := newFakeEngine("e1", spec, "m0")
	e.tiers["m1"] = tierDisk
	e.describe()
	w := newWorld(spec, e)
	w.run(50 * time.Millisecond)
	order := fleet.Order{Model: "m1", Holder: "router-0", Fence: 1}
	expected := int64(0)
	order.ExpectedOrders = &expected
	w.apply(e, order)
	key := w.ask("m1", "", 100)
	w.run(4 * time.Second)
	_, ok := w.granted(key)
	is.True(ok)
}

// Pattern: an unused adapter is unloaded at once; that counts as an order.
func TestAdapterSwapMeetsNoConflict(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e := newFakeEngine("e1", spec, "m0")
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		e.models["m0"][name] = true
	}
	e.describe()
	w := newWorld(spec, e)
	w.run(50 * time.Millisecond)
	key := w.ask("m0", "a9", 100)
	w.run(100 * time.Millisecond)
	_, ok := w.granted(key)
	is.True(ok)
	is.Equal(w.orders, 2) // unload and load, none of them refused
	is.Equal(w.crashed(), nil)
}

// Pattern: the only engine with the busiest model is overrun, and no other host
// keeps a copy.
func TestBusyModelGetsReplicaFromWeightStore(t *testing.T) {
	is := is.New(t)
	spec := testSpec(3)
	e1 := newFakeEngine("e1", spec, "m0")
	e2 := newFakeEngine("e2", spec, "m1")
	e1.describe()
	e2.describe()
	w := newWorld(spec, e1, e2)
	w.run(50 * time.Millisecond)
	for range 300 {
		key := w.ask("m0", "", 4000) // 100 ms of prefill each
		w.run(50 * time.Millisecond)
		_ = key
	}
	is.True(e2.models["m0"] != nil) // replicated
	is.Equal(w.crashed(), nil)
}

// Pattern: an engine denies a model that the cell counts.
func TestDeniedModelIsCountedUntilReported(t *testing.T) {
	is := is.New(t)
	spec := testSpec(4)
	e := newFakeEngine("e1", spec, "m0", "m1")
	e.tiers["m2"] = tierDisk
	e.describe()
	w := newWorld(spec, e)
	w.run(50 * time.Millisecond)
	key := w.ask("m0", "", 100)
	w.carryOut(w.cell.Progress(w.now, key, ModelMissing))
	w.ask("m2", "", 100)
	w.run(3 * time.Second)
	is.Equal(w.crashed(), nil)
}

func TestRequestThatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	spec := testSpec(2)
	e := newFakeEngine("e1", spec, "m0")
	e.describe()
	w := newWorld(spec, e)
	w.run(50 * time.Millisecond)
	w.nextKey++
	w.carryOut(w.cell.Submit(w.now, &Request{Key: w.nextKey, Model: "m1", PromptTokens: 10, Objective: w.now.Add(time.Second), Deadline: w.now.Add(2 * time.Second)}))
	is.Equal(len(w.refused), 1) // the load takes 6 s
	is.True(w.refused[0].RetryAfter > 0)
}

func TestPrefixAffinity(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e1 := newFakeEngine("e1", spec, "m0")
	e2 := newFakeEngine("e2", spec, "m0")
	e1.describe()
	e2.describe()
	w := newWorld(spec, e1, e2)
	w.run(50 * time.Millisecond)
	submit := func(own string) string {
		w.nextKey++
		key := w.nextKey
		w.carryOut(w.cell.Submit(w.now, &Request{
			Key: key, Model: "m0", PromptTokens: 4500, OutputTokens: 10,
			Parts: []PromptPart{{ID: "shared", Tokens: 4000}, {ID: own, Tokens: 500}}, Objective: w.now.Add(time.Second), Deadline: w.now.Add(10 * time.Second),
		}))
		g, ok := w.granted(key)
		is.True(ok)
		w.run(200 * time.Millisecond)
		w.end(key)
		return g.Upstream.ID
	}
	first := submit("s1")
	is.Equal(submit("s2"), first)
	is.Equal(submit("s3"), first)
}

// Pattern: the caller that an adapter was loaded for has left before it came.
func TestComingAdapterIsNoVictim(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e := newFakeEngine("e1", spec, "m0")
	for _, name := range []string{"a1", "a2", "a3"} {
		e.models["m0"][name] = true
	}
	e.describe()
	w := newWorld(spec, e)
	w.adapterTime = 300 * time.Millisecond
	w.run(50 * time.Millisecond)
	for _, name := range []string{"a1", "a2", "a3"} { // in use
		w.ask("m0", name, 100)
	}
	left := w.ask("m0", "a4", 100)
	w.run(10 * time.Millisecond)
	w.carryOut(w.cell.Withdraw(w.now, left))
	w.ask("m0", "a5", 100)
	w.run(2 * time.Second)
	is.Equal(w.crashed(), nil)
}

// Pattern: long prompts beside chat streams, which pause too long when several
// are read in a row.
func TestLongPromptsKeepAwayFromRunningStreams(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e1 := newFakeEngine("e1", spec, "m0")
	e2 := newFakeEngine("e2", spec, "m0")
	e1.describe()
	e2.describe()
	w := newWorld(spec, e1, e2)
	w.run(50 * time.Millisecond)
	submit := func(tokens int64) Grant {
		w.nextKey++
		key := w.nextKey
		w.carryOut(w.cell.Submit(w.now, &Request{
			Key: key, Model: "m0", PromptTokens: tokens, OutputTokens: 100, MaxGap: 600 * time.Millisecond,
			Objective: w.now.Add(time.Second), Deadline: w.now.Add(20 * time.Second), FailureDomain: "a",
		}))
		g, ok := w.granted(key)
		is.True(ok)
		return g
	}
	streams := make(map[string]int)
	for range 9 { // chats, of which one engine gets more
		g := submit(100)
		w.run(100 * time.Millisecond)
		w.carryOut(w.cell.Progress(w.now, g.Key, Started))
		streams[g.Upstream.ID]++
	}
	quiet := "e1"
	if streams["e2"] < streams["e1"] {
		quiet = "e2"
	}
	is.Equal(submit(16_000).Upstream.ID, quiet) // 400 ms of reading
}

// Pattern: an engine fails part of its requests at once while it looks sound and
// idle.
func TestGreyEngineGetsFewRequests(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	grey := newFakeEngine("e1", spec, "m0")
	sound := newFakeEngine("e2", spec, "m0")
	grey.describe()
	sound.describe()
	w := newWorld(spec, grey, sound)
	w.run(50 * time.Millisecond)
	failed := 0
	for i := range 100 {
		key := w.ask("m0", "", 100)
		g, ok := w.granted(key)
		is.True(ok)
		if g.Upstream.ID == "e1" && i%2 == 0 {
			failed++
			w.carryOut(w.cell.Progress(w.now, key, Failed))
		} else {
			w.run(100 * time.Millisecond) // the sound one is always busier
			w.end(key)
		}
		w.run(20 * time.Millisecond)
	}
	is.True(failed < 10)
}

// Pattern: a request's engine crashed, and only its host has the model at hand.
// The request may not go back there.
func TestModelIsFetchedWhenItsHostWasTried(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	tried := newFakeEngine("e1", spec)
	tried.tiers["m0"] = tierDisk
	tried.describe()
	other := newFakeEngine("e2", spec)
	w := newWorld(spec, tried, other)
	w.run(50 * time.Millisecond)
	key := w.askAgain("m0", true, "e1")
	w.run(7 * time.Second)
	g, ok := w.granted(key)
	is.True(ok)
	is.Equal(g.Upstream.ID, "e2")
}

// Pattern: every engine of a small service has failed a request.
func TestRequestThatEveryEngineFailedIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	w := newWorld(spec, newFakeEngine("e1", spec, "m0"))
	w.describeAll()
	w.run(50 * time.Millisecond)
	w.askAgain("m0", true, "e1")
	is.Equal(len(w.refused), 1)
	w.askAgain("m0", false, "gone") // may only go back to an engine that has left
	is.Equal(len(w.refused), 2)
}

// Pattern: long prompts one after the other on an engine where chats stream.
func TestLongPromptsLeaveBreaksForStreams(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e := newFakeEngine("e1", spec, "m0")
	e.describe()
	w := newWorld(spec, e)
	w.run(50 * time.Millisecond)
	submit := func(tokens int64) uint64 {
		w.nextKey++
		w.carryOut(w.cell.Submit(w.now, &Request{
			Key: w.nextKey, Model: "m0", PromptTokens: tokens, OutputTokens: 100, MaxGap: 600 * time.Millisecond,
			Objective: w.now.Add(5 * time.Second), Deadline: w.now.Add(20 * time.Second), FailureDomain: "a",
		}))
		return w.nextKey
	}
	chat := submit(100)
	w.run(50 * time.Millisecond)
	w.carryOut(w.cell.Progress(w.now, chat, Started))
	began := w.now
	for range 12 {
		submit(4000) // 100 ms of reading
	}
	granted := len(w.grants)
	is.True(granted < 7) // the rest waits for a break
	var pauses int
	last := w.now
	for range 40 {
		w.run(60 * time.Millisecond) // a tick every 50 ms
		if len(w.grants) > granted {
			if w.now.Sub(last) > 300*time.Millisecond {
				pauses++
			}
			granted = len(w.grants)
			last = w.now
		}
	}
	is.Equal(len(w.grants), 13) // none is given up
	is.True(pauses >= 2)
	is.True(last.Sub(began) < 1500*time.Millisecond) // breaks cost little
}

// Pattern: small prompts keep coming while a large one waits for a break.
func TestSmallPromptsDoNotOvertakeALargeOne(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e := newFakeEngine("e1", spec, "m0")
	e.describe()
	w := newWorld(spec, e)
	w.run(50 * time.Millisecond)
	submit := func(tokens int64) uint64 {
		w.nextKey++
		w.carryOut(w.cell.Submit(w.now, &Request{
			Key: w.nextKey, Model: "m0", PromptTokens: tokens, OutputTokens: 100, MaxGap: 600 * time.Millisecond,
			Objective: w.now.Add(5 * time.Second), Deadline: w.now.Add(20 * time.Second), FailureDomain: "a",
		}))
		return w.nextKey
	}
	chat := submit(100)
	w.run(60 * time.Millisecond)
	w.carryOut(w.cell.Progress(w.now, chat, Started))
	submit(8000) // 200 ms of reading
	large := submit(10_000)
	began := w.now
	for range 40 {
		submit(1000)
		w.run(60 * time.Millisecond)
		if _, ok := w.granted(large); ok {
			break
		}
	}
	is.True(w.now.Sub(began) < 600*time.Millisecond) // the next break
}

// Pattern: the only host with a model at hand holds busy models, which others hold
// too.
func TestBusyCopyMakesRoomForAModelThatIsNowhere(t *testing.T) {
	is := is.New(t)
	spec := testSpec(3)
	full, other := newFakeEngine("e1", spec, "m1", "m2"), newFakeEngine("e2", spec, "m1", "m2")
	full.tiers["m0"] = tierDisk
	full.describe()
	other.describe()
	w := newWorld(spec, full, other)
	w.run(60 * time.Millisecond)
	var running []uint64
	busy := func() { // each model runs somewhere on e1 at any time, unless it retires there
		for _, m := range []string{"m1", "m2", "m2", "m1"} {
			running = append(running, w.ask(m, "", 100))
		}
		w.run(100 * time.Millisecond)
		if len(running) > 40 {
			for _, key := range running[:4] {
				w.end(key)
			}
			running = running[4:]
		}
	}
	for range 30 {
		busy()
	}
	key := w.ask("m0", "", 100)
	for range 80 {
		busy()
	}
	g, ok := w.granted(key)
	is.True(ok)
	is.Equal(g.Upstream.ID, "e1")
	is.Equal(w.crashed(), nil)
}

// Pattern: far more prompts for one engine than it reads before callers leave.
func TestPromptsThatCannotBeReadInTimeAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	e := newFakeEngine("e1", spec, "m0")
	e.describe()
	w := newWorld(spec, e)
	w.run(50 * time.Millisecond)
	submit := func(tokens int64) uint64 {
		w.nextKey++
		w.carryOut(w.cell.Submit(w.now, &Request{
			Key: w.nextKey, Model: "m0", PromptTokens: tokens, OutputTokens: 10, MaxGap: 600 * time.Millisecond,
			Objective: w.now.Add(time.Second), Deadline: w.now.Add(2 * time.Second), FailureDomain: "a",
		}))
		return w.nextKey
	}
	chat := submit(100)
	w.run(60 * time.Millisecond)
	w.carryOut(w.cell.Progress(w.now, chat, Started))
	for range 20 {
		submit(9000) // 225 ms of reading each, 4.5 s in all
	}
	w.run(100 * time.Millisecond)
	is.True(len(w.refused) >= 8)
	is.True(w.refused[0].RetryAfter > time.Second)
	is.True(len(w.refused) <= 14) // the others are read in time
}

package scheduler

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

var errRefused = errors.New("connection refused")

// submitPrompt submits a request for a model whose prompt has the parts.
func (sim *simulation) submitPrompt(model string, parts ...string) uint64 {
	sim.nextKey++
	req := &Request{
		Key: sim.nextKey, RequestID: fmt.Sprint(sim.nextKey), Model: model, PromptTokens: 100, OutputTokens: 50,
		Objective: sim.now.Add(time.Second), Deadline: sim.now.Add(10 * time.Second), FailureDomain: "a",
	}
	for _, id := range parts {
		req.Parts = append(req.Parts, PromptPart{ID: id, Tokens: 10})
	}
	sim.carryOut(sim.cell.Submit(sim.now, req))
	return req.Key
}

// newReadySimulation returns a simulation of n engines with model m0, whose reports the cell has.
func newReadySimulation(spec *fleet.EngineSpec, n int) *simulation {
	var engines []*fakeEngine
	for i := range n {
		engines = append(engines, newFakeEngine(fmt.Sprint("e", i), spec, "m0"))
	}
	sim := newSimulation(spec, engines...)
	sim.heartbeatAll()
	sim.update()
	sim.run(time.Second)
	return sim
}

// crashUnder ends the engine of a granted request; its port refuses connections.
func (sim *simulation) crashUnder(key uint64) string {
	g, ok := sim.granted(key)
	if !ok {
		return ""
	}
	id := g.Upstream.ID
	sim.engines[id].refuses = true
	sim.carryOut(sim.cell.Progress(sim.now, key, EndedByEngine))
	return id
}

// A request breaks off and its engine no longer answers. It is listed for seconds more, and
// must get no request in that time; once it answers again it must.
func TestCrashedEngineGetsNoRequests(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	sim := newSimulation(spec, newFakeEngine("e0", spec, "m0"))
	sim.heartbeatAll()
	sim.update()
	sim.run(time.Second)
	is.Equal(sim.crashUnder(sim.submitPrompt("m0", "common", "own")), "e0")
	sim.run(10 * time.Millisecond)
	var keys []uint64
	for range 50 {
		keys = append(keys, sim.submitPrompt("m0", "common", "own"))
		sim.run(20 * time.Millisecond)
		is.Equal(len(sim.grants), 1)
	}
	sim.engines["e0"].refuses = false
	sim.run(time.Second)
	for _, key := range keys {
		_, ok := sim.granted(key)
		is.True(ok)
	}
}

// A connection breaks, but the engine lives on: no part is suspected for it.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	sim := newSimulation(spec, newFakeEngine("e0", spec, "m0"), newFakeEngine("e1", spec, "m0"))
	sim.heartbeatAll()
	sim.update()
	sim.run(time.Second)
	for range 20 {
		key := sim.submitPrompt("m0", "common", "own")
		_, ok := sim.granted(key)
		is.True(ok)
		sim.carryOut(sim.cell.Progress(sim.now, key, EndedByEngine))
		sim.run(3 * time.Second)
	}
	is.Equal(len(sim.cell.Blocked()), 0)
	is.Equal(len(sim.refusals), 0)
}

// Requests with a part end one engine after the other while others wait. Those that wait with
// the part must be refused as soon as it is blocked, with the time of its trial; a trial
// that is answered lets all in again.
func TestWaitingRequestsWithABlockedPartAreRefused(t *testing.T) {
	is := is.New(t)
	sim := newReadySimulation(testSpec(2), 4)
	keys := []uint64{sim.submitPrompt("m0", "fatal", "1"), sim.submitPrompt("m0", "fatal", "2"), sim.submitPrompt("m0", "fatal", "3")}
	waiting := sim.submitPrompt("m1", "fatal", "5")
	is.Equal(sim.cell.Waiting(), 1)
	for _, key := range keys {
		is.True(sim.crashUnder(key) != "")
		sim.run(sameTimeApart)
	}
	is.Equal(len(sim.cell.Blocked()), 1)
	is.Equal(len(sim.refusals), 1)
	is.Equal(sim.refusals[0].Key, waiting)
	is.True(sim.refusals[0].RetryAfter > 50*time.Second)

	for _, e := range sim.engines {
		e.refuses = false
	}
	sim.run(2 * time.Minute)
	trial := sim.submitPrompt("m0", "fatal", "6")
	g, ok := sim.granted(trial)
	is.True(ok)
	is.True(g.Trial)
	refusals := len(sim.refusals)
	sim.submitPrompt("m0", "fatal", "7")
	is.Equal(len(sim.refusals), refusals+1) // one trial at a time
	sim.finish(trial)
	is.Equal(len(sim.cell.Blocked()), 0)
	g, ok = sim.granted(sim.submitPrompt("m0", "fatal", "8"))
	is.True(ok)
	is.True(!g.Trial)
}

// An engine restarts under its id, or its registration ends, before the holder has read an
// inventory: that is a crash too, but not the end of an engine that was draining.
func TestEngineThatIsReplacedBeforeItIsAskedCrashed(t *testing.T) {
	for name, tc := range map[string]struct {
		crashes int
		change  func(e *fakeEngine, sim *simulation)
	}{
		"restarted": {1, func(e *fakeEngine, _ *simulation) { e.up = &fleet.Upstream{ID: e.up.ID, Service: "llm", StartedMs: 2} }},
		"removed":   {1, func(e *fakeEngine, sim *simulation) { delete(sim.engines, e.up.ID) }},
		"left": {0, func(e *fakeEngine, sim *simulation) {
			e.up = &fleet.Upstream{ID: e.up.ID, Service: "llm", StartedMs: 1, Sequence: 9, Draining: true}
			sim.update()
			delete(sim.engines, e.up.ID)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			spec := testSpec(1)
			e := newFakeEngine("e0", spec, "m0")
			sim := newSimulation(spec, e)
			sim.heartbeatAll()
			sim.update()
			sim.run(time.Second)
			key := sim.submitPrompt("m0", "common", "own")
			sim.cell.Progress(sim.now, key, EndedByEngine) // the inventory that it asks for is late
			tc.change(e, sim)
			var list []*fleet.Upstream
			for _, e := range sim.engines {
				list = append(list, e.up)
			}
			is.Equal(len(sim.cell.Update(sim.now, spec, list).Crashes), tc.crashes)
		})
	}
}

// sameTimeApart is the time between crashes that count each.
const sameTimeApart = 600 * time.Millisecond

// Engines that a request crashes may have sent its first events by then.
func TestRequestThatHasJustBegunIsSuspected(t *testing.T) {
	for _, tc := range []struct {
		name    string
		age     time.Duration
		blocked int
	}{{"just begun", 100 * time.Millisecond, 1}, {"proven", 2 * ProvenTime, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sim := newReadySimulation(testSpec(1), 4)
			for i := range 3 {
				key := sim.submitPrompt("m0", "fatal", fmt.Sprint(i))
				sim.carryOut(sim.cell.Progress(sim.now, key, Started))
				sim.run(tc.age)
				is.True(sim.crashUnder(key) != "")
				sim.run(sameTimeApart)
			}
			is.Equal(len(sim.cell.Blocked()), tc.blocked)
		})
	}
}

// Many engines end in one moment under requests with the same new part. Until one request has
// shown what it is, the others with it are told to come back after that.
func TestSuspendedPartIsTriedByOneRequestAtATime(t *testing.T) {
	is := is.New(t)
	sim := newReadySimulation(testSpec(1), 8)
	var keys []uint64
	for i := range 6 {
		keys = append(keys, sim.submitPrompt("m0", "new", fmt.Sprint(i)))
	}
	for _, key := range keys {
		sim.crashUnder(key)
	}
	sim.run(100 * time.Millisecond)
	for _, e := range sim.engines {
		e.refuses = false
	}
	sim.run(time.Second)
	grants, refusals := len(sim.grants), len(sim.refusals)
	trial := sim.submitPrompt("m0", "new", "7")
	sim.submitPrompt("m0", "new", "8")
	is.Equal(len(sim.grants), grants+1)
	is.True(sim.grants[grants].Trial)
	is.Equal(len(sim.refusals), refusals+1)
	is.True(sim.refusals[refusals].RetryAfter < 3*time.Second)
	sim.finish(trial)
	_, ok := sim.granted(sim.submitPrompt("m0", "new", "9"))
	is.True(ok)
}

// Guards against reports of an engine that are read ever more often while requests break off on
// it: each asked for the next one, and a regular one that was due was asked for again.
func TestRequestsThatBreakOffDontMultiplyReports(t *testing.T) {
	is := is.New(t)
	spec := testSpec(3)
	e := newFakeEngine("e0", spec, "m0")
	e.tiers["m1"], e.tiers["m2"] = tierDisk, tierDisk
	e.heartbeat()
	sim := newSimulation(spec, e)
	sim.replyDelay = 30 * time.Millisecond
	sim.run(time.Second)
	before := sim.inspects
	const rounds, pause = 500, 20 * time.Millisecond
	for i := range rounds {
		if i%50 == 0 {
			sim.submit(fmt.Sprint("m", 1+i/50%2), "", 100) // loads, with regular reports
		}
		key := sim.submitPrompt("m0", "common", fmt.Sprint("own ", i))
		if _, ok := sim.granted(key); ok {
			sim.carryOut(sim.cell.Progress(sim.now, key, EndedByEngine))
		}
		sim.run(pause)
	}
	// Ten a second for the requests, and as many while a load is overdue.
	is.True(sim.inspects-before <= 20*rounds*int(pause)/int(time.Second))
}

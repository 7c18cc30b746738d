package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// benchSimulation is a cell of 56 engines with three of 206 models each.
func benchSimulation() *simulation {
	spec := testSpec(206)
	spec.MemoryMB = 310
	spec.KVTokens = 262_000
	var engines []*fakeEngine
	for i := range 56 {
		e := newFakeEngine(fmt.Sprintf("e%d", i), spec, fmt.Sprintf("m%d", (3*i)%206), fmt.Sprintf("m%d", (3*i+1)%206), "m0")
		for k := range 13 {
			e.tiers[fmt.Sprintf("m%d", (17*i+k)%206)] = tierDisk
		}
		e.heartbeat()
		engines = append(engines, e)
	}
	sim := newSimulation(spec, engines...)
	sim.run(200 * time.Millisecond)
	return sim
}

func benchRequest(sim *simulation, n uint64, model string) *Request {
	return &Request{
		Key: n, Model: model, PromptTokens: 9190, OutputTokens: 52,
		Parts:     []PromptPart{{"a", 2520}, {"b", 3780}, {fmt.Sprint(n), 2890}},
		Objective: sim.now.Add(time.Second), Deadline: sim.now.Add(10 * time.Second), FailureDomain: "a",
	}
}

// BenchmarkGrant measures the placement of a request whose model is loaded on
// every engine.
func BenchmarkGrant(b *testing.B) {
	sim := benchSimulation()
	b.ReportAllocs()
	for n := range b.N {
		key := uint64(n + 1)
		sim.now = sim.now.Add(5 * time.Millisecond)
		sim.cell.Submit(sim.now, benchRequest(sim, key, "m0"))
		sim.cell.Progress(sim.now, key, Started)
		sim.cell.Progress(sim.now, key, Finished)
	}
}

// BenchmarkTickWithWaiters measures a tick while 100 requests wait for models
// that can't be loaded now.
func BenchmarkTickWithWaiters(b *testing.B) {
	sim := benchSimulation()
	for _, e := range sim.cell.engines {
		e.orders = -1 // unknown: no order is possible
	}
	for n := range 100 {
		req := benchRequest(sim, uint64(n+1), fmt.Sprintf("m%d", 170+n%30))
		req.Deadline = sim.now.Add(1000 * time.Hour)
		sim.cell.Submit(sim.now, req)
	}
	if sim.cell.Waiting() < 50 {
		b.Fatalf("only %d requests wait", sim.cell.Waiting())
	}
	b.ReportAllocs()
	for b.Loop() {
		sim.now = sim.now.Add(10 * time.Millisecond)
		sim.cell.Tick(sim.now)
	}
}

// BenchmarkTickWithPrefillWaiters measures a tick while 200 requests with 20
// adapters wait for a prefill slot at two busy engines, or for adapter slots.
func BenchmarkTickWithPrefillWaiters(b *testing.B) {
	sim := benchSimulation()
	for _, e := range sim.cell.engines {
		if e.up.ID != "e0" && e.up.ID != "e1" {
			delete(e.replicas, "m0")
		}
	}
	for n := range 230 {
		req := benchRequest(sim, uint64(n+1), "m0")
		if n%2 == 1 {
			req.Adapter = fmt.Sprintf("a%d", n%20)
		}
		req.MaxGap = 600 * time.Millisecond
		req.Deadline = sim.now.Add(1000 * time.Hour)
		sim.carryOut(sim.cell.Submit(sim.now, req))
		if n < 4 {
			sim.carryOut(sim.cell.Progress(sim.now, uint64(n+1), Started))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		sim.now = sim.now.Add(time.Microsecond)
		sim.cell.Tick(sim.now)
	}
	b.ReportMetric(float64(sim.cell.Waiting()), "waiting")
}

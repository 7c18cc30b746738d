package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// benchWorld is a cell of 56 engines with three of 206 models each.
func benchWorld() *world {
	spec := testSpec(206)
	spec.MemoryMB = 310
	spec.KVTokens = 262_000
	var engines []*fakeEngine
	for i := range 56 {
		e := newFakeEngine(fmt.Sprintf("e%d", i), spec, fmt.Sprintf("m%d", (3*i)%206), fmt.Sprintf("m%d", (3*i+1)%206), "m0")
		for k := range 13 {
			e.tiers[fmt.Sprintf("m%d", (17*i+k)%206)] = tierDisk
		}
		e.describe()
		engines = append(engines, e)
	}
	w := newWorld(spec, engines...)
	w.run(200 * time.Millisecond)
	return w
}

func benchAsk(w *world, n uint64, model string) *Request {
	return &Request{
		Key: n, Model: model, PromptTokens: 9190, OutputTokens: 52,
		Parts:     []PromptPart{{"a", 2520}, {"b", 3780}, {fmt.Sprint(n), 2890}},
		Objective: w.now.Add(time.Second), Deadline: w.now.Add(10 * time.Second), FailureDomain: "a",
	}
}

// BenchmarkGrant measures the decision for a request whose model is loaded on
// every engine.
func BenchmarkGrant(b *testing.B) {
	w := benchWorld()
	b.ReportAllocs()
	for n := range b.N {
		key := uint64(n + 1)
		w.now = w.now.Add(5 * time.Millisecond)
		w.cell.Submit(w.now, benchAsk(w, key, "m0"))
		w.cell.Progress(w.now, key, Started)
		w.cell.Progress(w.now, key, Finished)
	}
}

// BenchmarkTickWithWaiters measures a tick while 100 requests wait for models
// that can't be loaded now.
func BenchmarkTickWithWaiters(b *testing.B) {
	w := benchWorld()
	for _, e := range w.cell.engines {
		e.orders = -1 // unknown: no order is possible
	}
	for n := range 100 {
		ask := benchAsk(w, uint64(n+1), fmt.Sprintf("m%d", 170+n%30))
		ask.Deadline = w.now.Add(1000 * time.Hour)
		w.cell.Submit(w.now, ask)
	}
	if w.cell.Waiting() < 50 {
		b.Fatalf("only %d requests wait", w.cell.Waiting())
	}
	b.ReportAllocs()
	for b.Loop() {
		w.now = w.now.Add(10 * time.Millisecond)
		w.cell.Tick(w.now)
	}
}

// BenchmarkTickWithTurns measures a tick while 200 requests with 20 adapters wait
// for their turn at two busy engines, or for places for their adapters.
func BenchmarkTickWithTurns(b *testing.B) {
	w := benchWorld()
	for _, e := range w.cell.engines {
		if e.up.ID != "e0" && e.up.ID != "e1" {
			delete(e.copies, "m0")
		}
	}
	for n := range 230 {
		ask := benchAsk(w, uint64(n+1), "m0")
		if n%2 == 1 {
			ask.Adapter = fmt.Sprintf("a%d", n%20)
		}
		ask.MaxGap = 600 * time.Millisecond
		ask.Deadline = w.now.Add(1000 * time.Hour)
		w.carryOut(w.cell.Submit(w.now, ask))
		if n < 4 {
			w.carryOut(w.cell.Progress(w.now, uint64(n+1), Started))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		w.now = w.now.Add(time.Microsecond)
		w.cell.Tick(w.now)
	}
	b.ReportMetric(float64(w.cell.Waiting()), "waiting")
}

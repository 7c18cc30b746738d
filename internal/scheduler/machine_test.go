package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCellMachine runs a cell against engines that lose replies, carry out
// orders late and restart, and across changes of the lease holder. It checks
// that no engine is ordered to load more than its capacity.
func TestCellMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := rapid.IntRange(3, 8).Draw(t, "models")
		spec := testSpec(models)
		var engines []*fakeEngine
		for i := range rapid.IntRange(1, 4).Draw(t, "engines") {
			e := newFakeEngine(fmt.Sprintf("e%d", i), spec, fmt.Sprintf("m%d", i%models))
			for m := range models {
				if rapid.Bool().Draw(t, "on disk") {
					e.tiers[fmt.Sprintf("m%d", m)] = tierDisk
				}
			}
			e.heartbeat()
			engines = append(engines, e)
		}
		sim := newSimulation(spec, engines...)
		loss := rapid.IntRange(0, 3).Draw(t, "loss of ten")
		late := rapid.IntRange(0, 3).Draw(t, "late of ten")
		sim.loseReply = func() bool { return rapid.IntRange(0, 9).Draw(t, "lost") < loss }
		sim.applyDelay = func() time.Duration {
			if rapid.IntRange(0, 9).Draw(t, "late") >= late {
				return 0
			}
			return time.Duration(rapid.IntRange(100, 6000).Draw(t, "late ms")) * time.Millisecond
		}
		sim.adapterLoadTime = time.Duration(rapid.IntRange(5, 400).Draw(t, "adapter ms")) * time.Millisecond
		fence := int64(1)
		var open []uint64
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				adapter := ""
				if rapid.Bool().Draw(t, "with adapter") {
					adapter = fmt.Sprintf("a%d", rapid.IntRange(0, 6).Draw(t, "adapter"))
				}
				open = append(open, sim.submit(fmt.Sprintf("m%d", rapid.IntRange(0, models-1).Draw(t, "model")), adapter, 200))
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("nothing is open")
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				outcome := rapid.SampledFrom([]Outcome{Finished, NotRun, ModelMissing, Failed, Cancelled}).Draw(t, "outcome")
				if _, ok := sim.granted(open[i]); ok {
					sim.carryOut(sim.cell.Progress(sim.now, open[i], outcome))
				} else {
					sim.carryOut(sim.cell.Withdraw(sim.now, open[i]))
				}
				open = append(open[:i], open[i+1:]...)
			},
			"wait": func(t *rapid.T) {
				sim.run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"heartbeat": func(t *rapid.T) {
				rapid.SampledFrom(engines).Draw(t, "engine").heartbeat()
				sim.update()
			},
			"new holder": func(t *rapid.T) {
				fence++
				open = nil
				sim.startCell(fence)
			},
			"restart": func(t *rapid.T) {
				e := rapid.SampledFrom(engines).Draw(t, "engine")
				up := *e.up
				up.StartedMs++
				up.Sequence = 0
				e.up = &up
				e.models = make(map[string]map[string]bool)
				e.loading = make(map[string]map[string]bool)
				e.orders = 0
				e.fence = 0
				e.busy = nil
			},
			"": func(t *rapid.T) {
				if ids := sim.crashedEngines(); ids != nil {
					t.Fatalf("engines %v were ordered to load more than their capacity", ids)
				}
			},
		})
	})
}

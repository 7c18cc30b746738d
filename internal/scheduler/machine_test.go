package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCellMachine drives a cell against engines that lose answers, carry orders
// out late, restart and change hands, and checks that no engine is ever ordered
// to hold more than it has room for and that granted requests found their model
// or were told that it is missing.
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
			e.describe()
			engines = append(engines, e)
		}
		w := newWorld(spec, engines...)
		loss := rapid.IntRange(0, 3).Draw(t, "loss of ten")
		late := rapid.IntRange(0, 3).Draw(t, "late of ten")
		w.loseAnswer = func() bool { return rapid.IntRange(0, 9).Draw(t, "lost") < loss }
		w.applyLate = func() time.Duration {
			if rapid.IntRange(0, 9).Draw(t, "late") >= late {
				return 0
			}
			return time.Duration(rapid.IntRange(100, 6000).Draw(t, "late ms")) * time.Millisecond
		}
		w.adapterTime = time.Duration(rapid.IntRange(5, 400).Draw(t, "adapter ms")) * time.Millisecond
		fence := int64(1)
		var open []uint64
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				adapter := ""
				if rapid.Bool().Draw(t, "with adapter") {
					adapter = fmt.Sprintf("a%d", rapid.IntRange(0, 6).Draw(t, "adapter"))
				}
				open = append(open, w.ask(fmt.Sprintf("m%d", rapid.IntRange(0, models-1).Draw(t, "model")), adapter, 200))
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("nothing is open")
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				outcome := rapid.SampledFrom([]Outcome{Finished, NotRun, ModelMissing, Failed, Cancelled}).Draw(t, "outcome")
				if _, ok := w.granted(open[i]); ok {
					w.carryOut(w.cell.Progress(w.now, open[i], outcome))
				} else {
					w.carryOut(w.cell.Withdraw(w.now, open[i]))
				}
				open = append(open[:i], open[i+1:]...)
			},
			"wait": func(t *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"heartbeat": func(t *rapid.T) {
				rapid.SampledFrom(engines).Draw(t, "engine").describe()
				w.update()
			},
			"new holder": func(t *rapid.T) {
				fence++
				open = nil
				w.startCell(fence)
			},
			"restart": func(t *rapid.T) {
				e := rapid.SampledFrom(engines).Draw(t, "engine")
				up := *e.up
				up.StartedMs++
				up.Sequence = 0
				e.up = &up
				e.models = make(map[string]map[string]bool)
				e.coming = make(map[string]map[string]bool)
				e.orders = 0
				e.fence = 0
				e.busy = nil
			},
			"": func(t *rapid.T) {
				if ids := w.crashed(); ids != nil {
					t.Fatalf("engines %v were ordered to hold more than they have room for", ids)
				}
			},
		})
	})
}

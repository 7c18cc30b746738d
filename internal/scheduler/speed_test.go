package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load: engines whose hosts differ in speed, and are slow for a moment. Guards against prompts that
// are spread as if all engines were alike.
func TestPromptsFollowTheSpeedOfEngines(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	sim := newSimulation(spec, newFakeEngine("e1", spec, "m0"), newFakeEngine("e2", spec, "m0"))
	sim.heartbeatAll()
	sim.startCell(2)
	say := func(id string, slowdown float64) { sim.cell.engines[id].speed.Observe(sim.now, slowdown) }
	share := func() int {
		before, all := sim.grantsAt("e2"), len(sim.grants)
		for range 60 {
			say("e1", 2) // equal ones are chosen by their id
			say("e2", 0.5)
			key := sim.submit("m0", "", 2000)
			sim.run(50 * time.Millisecond)
			sim.finish(key)
		}
		is.Equal(len(sim.grants)-all, 60)
		return sim.grantsAt("e2") - before
	}
	is.True(share() >= 45) // it takes a quarter of the time there
}

// What an engine's speed adds to a prompt's time must not be learned as the model's.
func TestPrefillTimeIsThatOfAnEngineOfUsualSpeed(t *testing.T) {
	is := is.New(t)
	learned := func(slowdown float64, took time.Duration) time.Duration {
		spec := testSpec(1)
		sim := newSimulation(spec, newFakeEngine("e1", spec, "m0"))
		sim.heartbeatAll()
		sim.startCell(2)
		for range 50 {
			sim.cell.engines["e1"].speed.Observe(sim.now, slowdown)
			key := sim.submit("m0", "", 4000)
			_, granted := sim.granted(key)
			is.True(granted)
			sim.now = sim.now.Add(took)
			sim.cell.Progress(sim.now, key, Started)
			sim.finish(key)
			sim.now = sim.now.Add(time.Second)
		}
		return sim.cell.modelOf("m0").perToken
	}
	usual, slow := learned(1, 200*time.Millisecond), learned(3, 600*time.Millisecond)
	is.True(slow < usual*5/4)
}

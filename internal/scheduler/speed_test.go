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
	sim.startCell(2)
	say := func(id string, slowdown float64) { sim.cell.engines[id].speed.Observe(sim.now, slowdown) }
	share := func() int {
		before, all := sim.grantsAt("e2"), len(sim.grants)
		for range 60 {
			say("e1", 0.5)
			say("e2", 2)
			key := sim.submit("m0", "", 2000)
			sim.run(50 * time.Millisecond)
			sim.finish(key)
		}
		is.Equal(len(sim.grants)-all, 60)
		return sim.grantsAt("e2") - before
	}
	is.True(share() <= 15) // it takes four times as long there
	sim.run(5 * time.Second)
	slow := sim.cell.engines["e2"].speed
	for range 100 {
		say("e2", 0.5)
	}
	is.True(slow.Slowdown(sim.now) > sim.cell.engines["e2"].speed.Slowdown(sim.now))
}

// What an engine's speed adds to a prompt's time must not be learned as the model's.
func TestPrefillTimeIsThatOfAnEngineOfUsualSpeed(t *testing.T) {
	is := is.New(t)
	learned := func(slowdown float64, took time.Duration) time.Duration {
		spec := testSpec(1)
		sim := newSimulation(spec, newFakeEngine("e1", spec, "m0"))
		sim.startCell(2)
		for range 50 {
			sim.cell.engines["e1"].speed.Observe(sim.now, slowdown)
			key := sim.submit("m0", "", 4000)
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

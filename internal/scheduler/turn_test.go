package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// submitFor submits a request of a workspace whose caller waits for a time.
func (sim *simulation) submitFor(workspace, model string, wait time.Duration) uint64 {
	sim.nextKey++
	sim.carryOut(sim.cell.Submit(sim.now, &Request{
		Key: sim.nextKey, RequestID: fmt.Sprint(sim.nextKey), Model: model, Workspace: workspace, PromptTokens: 100, OutputTokens: 50,
		Objective: sim.now.Add(time.Second), Deadline: sim.now.Add(wait), FailureDomain: "a",
	}))
	return sim.nextKey
}

// Load: one workspace sends twenty requests at once to an engine with two slots, another one two.
// Guards against the second one's requests waiting for all of the first.
func TestWorkspacesTakeTurns(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	spec.Slots = 2
	sim := newSimulation(spec, newFakeEngine("e1", spec, "m0"))
	sim.heartbeatAll()
	sim.startCell(2)
	for range 20 {
		sim.submitFor("hot", "m0", 10*time.Second)
	}
	sim.run(100 * time.Millisecond)
	calm := []uint64{sim.submitFor("calm", "m0", 10*time.Second), sim.submitFor("calm", "m0", 10*time.Second)}
	done := map[uint64]bool{}
	for range 3 {
		for _, g := range sim.grants {
			if !done[g.Key] {
				done[g.Key] = true
				sim.finish(g.Key)
			}
		}
		sim.run(60 * time.Millisecond)
	}
	for _, key := range calm {
		_, granted := sim.granted(key)
		is.True(granted)
	}
	is.True(len(sim.grants) < 12)
}

// Load: first requests for models that no engine has and no host has cached, while the weight store
// allows no further load. Guards against requests that wait until their deadline for a model that can't
// be there by then.
func TestWhatCantBeServedIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	spec := testSpec(6)
	spec.RemoteLoadsPerSecond = 0.01
	sim := newSimulation(spec, newFakeEngine("e1", spec, "m0"), newFakeEngine("e2", spec, "m0"))
	sim.heartbeatAll()
	sim.startCell(2)
	sim.run(time.Second)
	first := sim.submitFor("", "m1", 10*time.Second) // uses the load that is allowed
	_, refused := sim.refused(first)
	is.True(!refused)
	hopeless := sim.submitFor("", "m2", 3*time.Second)
	refusal, refused := sim.refused(hopeless)
	is.True(refused)
	is.True(refusal.RetryAfter >= spec.Models["m2"].RemoteLoad) // it would be refused again before
	patient := sim.submitFor("", "m3", 20*time.Second)
	_, refused = sim.refused(patient)
	is.True(!refused)
}

func (sim *simulation) refused(key uint64) (Refusal, bool) {
	for _, r := range sim.refusals {
		if r.Key == key {
			return r, true
		}
	}
	return Refusal{}, false
}

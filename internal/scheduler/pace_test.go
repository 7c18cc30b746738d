package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/pace"
)

// limitEngine makes an engine of a simulation name a limit.
func (sim *simulation) limitEngine(id string, perSecond float64) {
	holder := pace.NewHolder()
	heard := pace.Statement{Notice: pace.Notice{Kind: pace.Limited, PerSecond: perSecond}, AskedAt: sim.now, HeardAt: sim.now}
	holder.Note(sim.now, pace.Limit{UpstreamID: id, StartedMs: 1, Statement: heard})
	sim.pace = holder
	sim.startCell(2)
}

func (sim *simulation) grantsAt(id string) int {
	n := 0
	for _, g := range sim.grants {
		if g.Upstream.ID == id {
			n++
		}
	}
	return n
}

// Guards against an engine that is granted more than it takes while another could load the model.
func TestOnlyCopyOnALimitedEngineGetsAnother(t *testing.T) {
	is := is.New(t)
	spec := testSpec(2)
	limited, other := newFakeEngine("e1", spec, "m0"), newFakeEngine("e2", spec, "m1")
	other.tiers["m0"] = tierDisk
	sim := newSimulation(spec, limited, other)
	sim.heartbeatAll()
	sim.limitEngine("e1", 1)
	var keys []uint64
	for range 40 {
		keys = append(keys, sim.submit("m0", "", 100))
		sim.run(200 * time.Millisecond)
		for _, key := range keys {
			if _, ok := sim.granted(key); ok {
				sim.finish(key)
			}
		}
	}
	is.Equal(len(sim.grants), len(keys)) // none waits on
	is.True(sim.grantsAt("e1") <= 9)     // in 8 s
	is.True(sim.grantsAt("e2") >= 30)
}

// Guards against requests that wait for a limit in the order of their arrival, and against those
// that wait until their deadline although the limit can't serve them.
func TestUrgentRequestsGoFirstAtALimitedEngine(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	sim := newSimulation(spec, newFakeEngine("e1", spec, "m0"))
	sim.heartbeatAll()
	sim.limitEngine("e1", 1)
	submit := func(key uint64, priority int, deadline time.Duration) {
		sim.carryOut(sim.cell.Submit(sim.now, &Request{Key: key, Model: "m0", PromptTokens: 100, Priority: priority, Objective: sim.now.Add(time.Second), Deadline: sim.now.Add(deadline)}))
	}
	for key := range uint64(5) {
		submit(key+1, 5, 10*time.Second)
	}
	submit(9, 0, 3*time.Second)
	submit(10, 9, 3*time.Second) // behind the others
	sim.run(100 * time.Millisecond)
	is.Equal(len(sim.refusals), 1)
	is.Equal(sim.refusals[0].Key, uint64(10))
	is.True(sim.refusals[0].RetryAfter > 5*time.Second)
	sim.run(2300 * time.Millisecond)
	is.Equal(len(sim.grants), 2)
	is.Equal(sim.grants[0].Key, uint64(9))
	is.Equal(sim.grants[0].Reason, pace.WaitReason)
}

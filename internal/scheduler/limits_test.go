package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Demand for a model with one replica must not load another one, although an
// engine has capacity for it.
func TestReplicasAreBounded(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	m := spec.Models["m0"]
	m.MaxReplicas = 1
	spec.Models["m0"] = m
	a, b := newFakeEngine("e1", spec), newFakeEngine("e2", spec)
	a.tiers["m0"], b.tiers["m0"] = tierDisk, tierDisk
	a.heartbeat()
	b.heartbeat()
	sim := newSimulation(spec, a, b)
	sim.run(100 * time.Millisecond)
	for range 60 {
		sim.submit("m0", "", 20_000) // enough work for two replicas
		sim.run(50 * time.Millisecond)
	}
	is.Equal(len(a.models)+len(b.models), 1)
}

// A new holder does not know yet what one engine has loaded.
func TestEngineWithoutReportCountsAsReplica(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	m := spec.Models["m0"]
	m.MaxReplicas = 1
	spec.Models["m0"] = m
	unresponsive, other := newFakeEngine("e1", spec), newFakeEngine("e2", spec)
	other.tiers["m0"] = tierDisk
	other.heartbeat()
	sim := newSimulation(spec, unresponsive, other)
	delete(sim.engines, "e1") // listed, but does not respond
	sim.run(100 * time.Millisecond)
	sim.submit("m0", "", 100)
	sim.run(unknownTimeout - 300*time.Millisecond)
	is.Equal(sim.orders, 0)
	sim.run(2 * time.Second)
	is.Equal(sim.orders, 1) // assumed to have failed
}

func TestFailureDomainsAreRespected(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	m := spec.Models["m0"]
	m.FailureDomains = []string{"b"}
	spec.Models["m0"] = m
	near, far := newFakeEngine("e1", spec), newFakeEngine("e2", spec)
	far.up.FailureDomain = "b"
	for _, e := range []*fakeEngine{near, far} {
		e.tiers["m0"] = tierDisk
		e.heartbeat()
	}
	sim := newSimulation(spec, near, far)
	sim.run(100 * time.Millisecond)
	key := sim.submit("m0", "", 100)
	sim.run(2 * time.Second)
	g, ok := sim.granted(key)
	is.True(ok)
	is.Equal(g.Upstream.ID, "e2")
}

func TestIdleModelIsUnloadedAfterItsKeepAlive(t *testing.T) {
	is := is.New(t)
	spec := testSpec(2)
	m := spec.Models["m0"]
	m.KeepAlive = 3 * time.Second
	spec.Models["m0"] = m
	spec.KeepAlive = 10 * time.Second
	e := newFakeEngine("e1", spec, "m0", "m1", "old")
	e.heartbeat()
	sim := newSimulation(spec, e)
	key := sim.submit("m0", "", 100)
	sim.run(4 * time.Second)
	is.True(e.models["m0"] != nil) // a request is running
	sim.finish(key)
	sim.run(2 * time.Second)
	is.True(e.models["m0"] != nil)
	sim.run(2 * time.Second)
	is.True(e.models["m0"] == nil)
	is.True(e.models["old"] != nil)
	sim.run(5 * time.Second)
	is.True(e.models["old"] == nil) // no longer configured
	is.True(e.models["m1"] != nil)  // no keep-alive: kept until its memory is needed
}

func TestCordonedEngineUnloadsItsModels(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	m := spec.Models["m0"]
	m.KeepAlive = time.Hour
	m.MaxReplicas = 1
	spec.Models["m0"] = m
	cordoned, other := newFakeEngine("e1", spec, "m0"), newFakeEngine("e2", spec)
	other.tiers["m0"] = tierDisk
	cordoned.heartbeat()
	cordoned.up.Cordoned = true
	other.heartbeat()
	sim := newSimulation(spec, cordoned, other)
	sim.run(time.Second)
	key := sim.submit("m0", "", 100)
	sim.run(2 * time.Second)
	g, ok := sim.granted(key)
	is.True(ok)
	is.Equal(g.Upstream.ID, "e2")
	is.True(cordoned.models["m0"] == nil)
}

func TestFullQueueRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	m := spec.Models["m0"]
	m.MaxQueue = 2
	spec.Models["m0"] = m
	e := newFakeEngine("e1", spec)
	e.tiers["m0"] = tierDisk
	e.heartbeat()
	sim := newSimulation(spec, e)
	sim.run(100 * time.Millisecond)
	for range 5 {
		sim.submit("m0", "", 100)
	}
	is.Equal(len(sim.refusals), 3)
	sim.run(2 * time.Second)
	is.Equal(len(sim.grants), 2)
}

// Urgent requests keep arriving while a routine one waits.
func TestAgeingRaisesRankOfRoutineRequest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	routine := &waiter{req: &Request{Priority: 30, Ageing: time.Second}, since: now}
	urgent := &waiter{req: &Request{Priority: 10, Ageing: time.Second}, since: now.Add(20 * time.Second)}
	is.Equal(routine.rank(now), 30)
	is.True(routine.rank(now.Add(20*time.Second)) <= urgent.rank(now.Add(20*time.Second)))
	is.Equal((&waiter{req: &Request{Priority: 5}, since: now}).rank(now.Add(time.Hour)), 5)
}

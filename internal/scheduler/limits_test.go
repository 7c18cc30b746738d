package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Pattern: first requests for a model with one replica while another engine
// could hold it too.
func TestReplicasAreBounded(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	m := spec.Models["m0"]
	m.MaxReplicas = 1
	spec.Models["m0"] = m
	a, b := newFakeEngine("e1", spec), newFakeEngine("e2", spec)
	a.tiers["m0"], b.tiers["m0"] = tierDisk, tierDisk
	a.describe()
	b.describe()
	w := newWorld(spec, a, b)
	w.run(100 * time.Millisecond)
	for range 60 {
		w.ask("m0", "", 20_000) // enough work for two replicas
		w.run(50 * time.Millisecond)
	}
	is.Equal(len(a.models)+len(b.models), 1)
}

// Pattern: a new holder does not know yet what one engine holds.
func TestEngineWithoutAReportMayHoldTheModel(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	m := spec.Models["m0"]
	m.MaxReplicas = 1
	spec.Models["m0"] = m
	silent, other := newFakeEngine("e1", spec), newFakeEngine("e2", spec)
	other.tiers["m0"] = tierDisk
	other.describe()
	w := newWorld(spec, silent, other)
	delete(w.engines, "e1") // listed, but does not answer
	w.run(100 * time.Millisecond)
	w.ask("m0", "", 100)
	w.run(unknownPatience - 300*time.Millisecond)
	is.Equal(w.orders, 0)
	w.run(2 * time.Second)
	is.Equal(w.orders, 1) // taken as dead
}

func TestFailureDomainsAreKept(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	m := spec.Models["m0"]
	m.FailureDomains = []string{"b"}
	spec.Models["m0"] = m
	near, far := newFakeEngine("e1", spec), newFakeEngine("e2", spec)
	far.up.FailureDomain = "b"
	for _, e := range []*fakeEngine{near, far} {
		e.tiers["m0"] = tierDisk
		e.describe()
	}
	w := newWorld(spec, near, far)
	w.run(100 * time.Millisecond)
	key := w.ask("m0", "", 100)
	w.run(2 * time.Second)
	g, ok := w.granted(key)
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
	e.describe()
	w := newWorld(spec, e)
	key := w.ask("m0", "", 100)
	w.run(4 * time.Second)
	is.True(e.models["m0"] != nil) // a request runs
	w.end(key)
	w.run(2 * time.Second)
	is.True(e.models["m0"] != nil)
	w.run(2 * time.Second)
	is.True(e.models["m0"] == nil)
	is.True(e.models["old"] != nil)
	w.run(5 * time.Second)
	is.True(e.models["old"] == nil) // no longer configured
	is.True(e.models["m1"] != nil)  // no keep-alive: until its memory is needed
}

func TestEngineThatIsSetAsideGivesUpItsModels(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	m := spec.Models["m0"]
	m.KeepAlive = time.Hour
	m.MaxReplicas = 1
	spec.Models["m0"] = m
	aside, other := newFakeEngine("e1", spec, "m0"), newFakeEngine("e2", spec)
	other.tiers["m0"] = tierDisk
	aside.describe()
	aside.up.Cordoned = true
	other.describe()
	w := newWorld(spec, aside, other)
	w.run(time.Second)
	key := w.ask("m0", "", 100)
	w.run(2 * time.Second)
	g, ok := w.granted(key)
	is.True(ok)
	is.Equal(g.Upstream.ID, "e2")
	is.True(aside.models["m0"] == nil)
}

func TestFullQueueRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	spec := testSpec(1)
	m := spec.Models["m0"]
	m.MaxQueue = 2
	spec.Models["m0"] = m
	e := newFakeEngine("e1", spec)
	e.tiers["m0"] = tierDisk
	e.describe()
	w := newWorld(spec, e)
	w.run(100 * time.Millisecond)
	for range 5 {
		w.ask("m0", "", 100)
	}
	is.Equal(len(w.refused), 3)
	w.run(2 * time.Second)
	is.Equal(len(w.grants), 2)
}

// Pattern: urgent requests keep coming while a routine one waits.
func TestAgeingLiftsARoutineRequest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	routine := &waiter{ask: &Request{Priority: 30, Ageing: time.Second}, since: now}
	urgent := &waiter{ask: &Request{Priority: 10, Ageing: time.Second}, since: now.Add(20 * time.Second)}
	is.Equal(routine.rank(now), 30)
	is.True(routine.rank(now.Add(20*time.Second)) <= urgent.rank(now.Add(20*time.Second)))
	is.Equal((&waiter{ask: &Request{Priority: 5}, since: now}).rank(now.Add(time.Hour)), 5)
}

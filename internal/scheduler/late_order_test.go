package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// lateOrders makes the n-th order of a simulation, counted from 0, late by the n-th time;
// orders beyond those are carried out at once.
func lateOrders(sim *simulation, late ...time.Duration) {
	sim.applyDelay = func() time.Duration {
		if len(late) == 0 {
			return 0
		}
		next := late[0]
		late = late[1:]
		return next
	}
}

// Guards against an engine that is ordered to load more than it holds: an order of the former
// holder is carried out late, while one of the next holder has no reply either. It must not be
// taken for that one.
func TestLateOrderOfAFormerHolderIsNotTakenForTheOwn(t *testing.T) {
	spec := testSpec(5)
	for _, tc := range []struct {
		name        string
		former, own func(sim *simulation) uint64
		wanted      fleet.Order
	}{
		{
			name:   "own unload, former adapter load",
			former: func(sim *simulation) uint64 { return sim.submit("m0", "a1", 100) },
			own:    func(sim *simulation) uint64 { return sim.submit("m2", "", 100) },
			wanted: fleet.Order{Model: "m2"},
		},
		{
			name:   "own unload, former model unload",
			former: func(sim *simulation) uint64 { return sim.submit("m3", "", 100) },
			own:    func(sim *simulation) uint64 { return sim.submit("m2", "", 100) },
			wanted: fleet.Order{Model: "m2"},
		},
		{
			name:   "own adapter load, former adapter load",
			former: func(sim *simulation) uint64 { return sim.submit("m0", "a1", 100) },
			own:    func(sim *simulation) uint64 { return sim.submit("m0", "a2", 100) },
			wanted: fleet.Order{Model: "m0", Adapter: "a2"},
		},
		{
			name:   "own adapter load, former model unload",
			former: func(sim *simulation) uint64 { return sim.submit("m3", "", 100) },
			own:    func(sim *simulation) uint64 { return sim.submit("m0", "a2", 100) },
			wanted: fleet.Order{Model: "m0", Adapter: "a2"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			e := newFakeEngine("e1", spec, "m0", "m1")
			for name := range spec.Models {
				e.tiers[name] = tierDisk
			}
			e.heartbeat()
			sim := newSimulation(spec, e)
			sim.run(50 * time.Millisecond)
			lateOrders(sim, 60*time.Millisecond)
			tc.former(sim)
			sim.run(20 * time.Millisecond)
			sim.startCell(2)
			sim.run(50 * time.Millisecond)
			lateOrders(sim, 6*time.Second)
			key := tc.own(sim)
			sim.run(8 * time.Second)
			is.Equal(sim.crashedEngines(), nil)
			grant, ok := sim.granted(key)
			is.True(ok)
			is.True(grant.Waited < 5*time.Second)
			is.True(e.isLoaded(tc.wanted))
		})
	}
}

package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/platform"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

const (
	assigned  = apiv1.SlotState_SLOT_STATE_ASSIGNED
	releasing = apiv1.SlotState_SLOT_STATE_RELEASING
	free      = apiv1.SlotState_SLOT_STATE_FREE
)

var testStart = time.Unix(1_800_000_000, 0)

// fixture is a state with one model "m" of 400 MiB and the hosts a1, a2, b1 and
// b2 of 1000 MiB in the failure domains a and b.
type fixture struct {
	State
	reports map[string]*apiv1.LoadReport
}

func newFixture(least, most uint32) *fixture {
	f := &fixture{reports: make(map[string]*apiv1.LoadReport)}
	f.State = State{
		Slots: make(map[string][]view.Slot), Hosts: make(map[string]platform.Host), HostReads: 1,
		Drains: make(map[string]bool), Silent: make(map[string]bool), Confirmed: make(map[SlotID]bool),
		Report: func(host string) *apiv1.LoadReport { return f.reports[host] },
		Now:    testStart, Memory: NewMemory(), Budget: 10, Timing: DefaultTiming(),
	}
	f.Config = config.NewIndex(1, &apiv1.ObjectSet{
		Models:     []*apiv1.Model{{Name: "m", Version: "v", Placement: "p"}},
		Versions:   []*apiv1.Version{{Name: "v", Model: "m", Checkpoint: "c", MemoryMib: 400}},
		Placements: []*apiv1.Placement{{Name: "p", Pool: "pool", MinReplicas: least, MaxReplicas: most, TargetInFlight: 4}},
	})
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		f.list(platform.Host{
			ID: id, Role: platform.RoleUpstream, Pool: "pool", State: platform.HostLive,
			FailureDomain: id[:1], MemoryMiB: 1000,
		})
	}
	return f
}

// list adds a host to the host list.
func (s *State) list(host platform.Host) {
	s.Listing = append(s.Listing, host)
	s.Hosts[host.ID] = host
}

// slot appends a slot row of a model at generation 3.
func (f *fixture) slot(model string, state apiv1.SlotState, host string) {
	row := &apiv1.SlotRow{Model: model, Slot: uint32(len(f.Slots[model])), Host: host, State: state, Generation: 3}
	f.Slots[model] = append(f.Slots[model], view.Slot{Row: row, Version: 9})
}

// load reports the replica of slot n of "m" on a host.
func (f *fixture) load(host string, n uint32, state apiv1.ReplicaState, inFlight uint32) {
	f.reports[host] = &apiv1.LoadReport{Host: host, Replicas: []*apiv1.ReplicaReport{{
		Model: "m", Slot: n, Generation: 3, State: state, InFlight: inFlight,
	}}}
}

func (f *fixture) cached(host string, tier apiv1.CheckpointTier) {
	f.reports[host] = &apiv1.LoadReport{Host: host, Cached: []*apiv1.CachedCheckpoint{{Checkpoint: "c", Tier: tier}}}
}

// decide observes and decides after a time in which all stayed as it is.
func (f *fixture) decide(after time.Duration) []string {
	for step := time.Duration(0); step <= after; step += time.Second {
		f.Now = testStart.Add(step)
		f.HostReads++
		f.Memory.Observe(f.State)
	}
	var got []string
	for _, o := range Decide(f.State) {
		got = append(got, fmt.Sprintf("%s %s/%d %s g%d: %s", o.Kind, o.Model, o.Slot, o.Host, o.Generation, o.Reason))
	}
	return got
}

const (
	memory = apiv1.CheckpointTier_CHECKPOINT_TIER_MEMORY
	disk   = apiv1.CheckpointTier_CHECKPOINT_TIER_DISK
	ready  = apiv1.ReplicaState_REPLICA_STATE_READY
	cold   = apiv1.ReplicaState_REPLICA_STATE_COLD
)

func TestDecide(t *testing.T) {
	const day = 5 * time.Minute
	cases := []struct {
		name        string
		least, most uint32
		after       time.Duration
		setup       func(*fixture)
		want        []string
	}{
		{"cached in memory comes first", 1, 1, 0, func(f *fixture) {
			f.cached("b1", disk)
			f.cached("b2", memory)
		}, []string{"create m/0 b2 g1: below min_replicas"}},
		{"disk before remote", 1, 1, 0, func(f *fixture) { f.cached("a2", disk) }, []string{"create m/0 a2 g1: below min_replicas"}},
		{"an overcommitted host loses its cache's advantage", 1, 1, 0, func(f *fixture) {
			f.cached("b1", memory)
			f.reports["b1"].MemoryReservedMib = 1700
			f.cached("b2", disk)
		}, []string{"create m/0 b2 g1: below min_replicas"}},
		{"the emptiest host", 1, 1, 0, func(f *fixture) {
			for _, host := range []string{"a1", "a2", "b2"} {
				f.reports[host] = &apiv1.LoadReport{MemoryReservedMib: 100}
			}
		}, []string{"create m/0 b1 g1: below min_replicas"}},
		{"another failure domain, though the checkpoint is cached in the same", 2, 2, 0, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.cached("a2", memory)
			f.cached("b2", disk)
		}, []string{"create m/1 b2 g1: below min_replicas"}},
		{"a free row is used again with a higher generation", 1, 2, 0, func(f *fixture) {
			f.slot("m", free, "")
			f.cached("a1", memory)
		}, []string{"assign m/0 a1 g4: below min_replicas"}},
		{"a model too large for the hosts", 1, 1, 0, func(f *fixture) {
			for i := range f.Listing {
				f.Listing[i].MemoryMiB = 300
			}
		}, nil},
		{"a draining host's slot is replaced first", 1, 2, 0, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.Drains["a1"] = true
			f.cached("b1", memory)
		}, []string{"create m/1 b1 g1: replaces a slot that moves"}},
		{"then released", 1, 2, 0, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.slot("m", assigned, "b1")
			f.Drains["a1"] = true
		}, []string{"release m/0 a1 g3: host draining or leaving"}},
		{"at max_replicas a draining host's slot is released first", 1, 1, 0, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.Drains["a1"] = true
		}, []string{"release m/0 a1 g3: host draining or leaving"}},
		{"one move at a time", 2, 2, 0, func(f *fixture) {
			f.slot("m", releasing, "a1")
			f.slot("m", assigned, "b1")
			f.Drains["a1"], f.Drains["b1"] = true, true
		}, nil},
		{"a stranded release doesn't hold up the other moves", 2, 2, 0, func(f *fixture) {
			f.slot("m", releasing, "a1")
			f.slot("m", assigned, "b1")
			f.Drains["b1"], f.Silent["a1"] = true, true
		}, []string{"release m/1 b1 g3: host draining or leaving"}},
		{"a short silence adds nothing", 1, 2, time.Second, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.Silent["a1"] = true
		}, nil},
		{"silence never frees or releases", 1, 1, day, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.Silent["a1"] = true
		}, nil},
		{"silence is made up for under max_replicas", 1, 2, day, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.Silent["a1"] = true
			f.cached("b1", memory)
		}, []string{"create m/1 b1 g1: host of another slot is silent"}},
		{"stranded slots count against max_replicas", 1, 1, day, func(f *fixture) {
			f.slot("m", releasing, "a1")
			f.Silent["a1"] = true
		}, nil},
		{"a confirmed release is freed", 1, 1, 0, func(f *fixture) {
			f.slot("m", releasing, "a1")
			f.Confirmed[SlotID{"m", 0, 3}] = true
		}, []string{"free m/0 a1 g3: release confirmed"}},
		{"the confirmation of an earlier generation doesn't count", 1, 1, 0, func(f *fixture) {
			f.slot("m", releasing, "a1")
			f.Confirmed[SlotID{"m", 0, 2}] = true
		}, nil},
		{"an unlisted host keeps its slot for a moment", 1, 1, time.Second, func(f *fixture) {
			f.slot("m", assigned, "gone")
		}, nil},
		{"then it is released", 1, 1, 3 * time.Second, func(f *fixture) {
			f.slot("m", assigned, "gone")
		}, []string{"release m/0 gone g3: host not listed"}},
		{"and freed after the grace period", 1, 1, 5 * time.Second, func(f *fixture) {
			f.slot("m", releasing, "gone")
		}, []string{"free m/0 gone g3: host gone"}},
		{"a release is not freed before", 1, 1, 4 * time.Second, func(f *fixture) {
			f.slot("m", releasing, "gone")
		}, nil},
		{"a host outside of the placement", 1, 1, 0, func(f *fixture) {
			f.list(platform.Host{ID: "x", Role: platform.RoleUpstream, Pool: "other", State: platform.HostLive})
			f.slot("m", assigned, "x")
		}, []string{"release m/0 x g3: host not allowed by placement"}},
		{"a model that isn't configured", 1, 1, 0, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.slot("old", assigned, "a1")
			f.slot("old", releasing, "b1")
		}, []string{"release old/0 a1 g3: model not configured"}},
		{"all above max_replicas, the least busy first", 1, 1, 0, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.slot("m", assigned, "a2")
			f.slot("m", assigned, "b1")
			f.load("a2", 1, ready, 3)
		}, []string{"release m/0 a1 g3: above max_replicas", "release m/2 b1 g3: above max_replicas"}},
		{"a short peak adds nothing", 1, 3, time.Second, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.load("a1", 0, ready, 5)
		}, nil},
		{"a lasting load adds a slot where the checkpoint is cached", 1, 3, 20 * time.Second, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.load("a1", 0, ready, 5)
			f.cached("a2", disk)
		}, []string{"create m/1 a2 g1: above target_in_flight"}},
		{"not while another replica is still cold", 1, 3, 20 * time.Second, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.slot("m", assigned, "b1")
			f.load("a1", 0, ready, 9)
			f.load("b1", 1, cold, 0)
		}, nil},
		{"not beyond max_replicas", 1, 1, 20 * time.Second, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.load("a1", 0, ready, 50)
		}, nil},
		{"an idle added slot is taken back", 1, 3, day, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.slot("m", assigned, "b1")
			f.load("a1", 0, ready, 1)
			f.load("b1", 1, ready, 0)
		}, []string{"release m/1 b1 g3: more slots than the load needs"}},
		{"not when the rest would be near the target", 1, 3, day, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.slot("m", assigned, "b1")
			f.load("a1", 0, ready, 2)
			f.load("b1", 1, ready, 1)
		}, nil},
		{"not when a report is missing", 1, 3, day, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.slot("m", assigned, "b1")
			f.load("a1", 0, ready, 0)
		}, nil},
		{"not below min_replicas", 2, 3, day, func(f *fixture) {
			f.slot("m", assigned, "a1")
			f.slot("m", assigned, "b1")
			f.load("a1", 0, ready, 0)
			f.load("b1", 1, ready, 0)
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(c.least, c.most)
			c.setup(f)
			is.Equal(f.decide(c.after), c.want)
		})
	}
}

// A host list that can't be read says nothing about who is gone.
func TestKeptHostListFreesNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.slot("m", releasing, "gone")
	f.Memory.Observe(f.State)
	f.Now = testStart.Add(time.Hour)
	f.Memory.Observe(f.State)
	is.Equal(len(Decide(f.State)), 0)
}

func TestNothingBeforeTheHostListWasRead(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.HostReads = 0
	is.Equal(len(Decide(f.State)), 0)
}

// Under any constant load the slots settle and then stay.
func TestConstantLoadDoesNotThrash(t *testing.T) {
	for inFlight := range uint32(30) {
		is := is.New(t)
		f := newFixture(1, 4)
		changes := 0
		for second := range 1200 {
			f.Now = testStart.Add(time.Duration(second) * time.Second)
			f.HostReads++
			f.share(inFlight)
			f.Memory.Observe(f.State)
			orders := Decide(f.State)
			for _, o := range orders {
				f.apply(o)
			}
			if second > 600 {
				changes += len(orders)
			}
		}
		is.Equal(changes, 0)
		used := uint32(len(f.Slots["m"]))
		is.True(used == 4 || inFlight <= 4*used) // enough slots for the load
		is.True(used == 1 || inFlight > 4*(used-1))
	}
}

// share spreads requests in flight evenly over the model's ready replicas.
func (f *fixture) share(inFlight uint32) {
	clear(f.reports)
	slots := uint32(len(f.Slots["m"]))
	for i, slot := range f.Slots["m"] {
		part := inFlight / slots
		if uint32(i) < inFlight%slots {
			part++
		}
		f.load(slot.Row.GetHost(), slot.Row.GetSlot(), ready, part)
	}
}

// apply carries out an order that adds a slot.
func (f *fixture) apply(o Order) {
	f.slot("m", assigned, o.Host)
}

// A small budget goes to the most urgent orders, and the rest follow.
func TestBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.Budget = 1
	f.slot("m", releasing, "a1")
	f.Confirmed[SlotID{"m", 0, 3}] = true
	f.slot("old", assigned, "a1")
	is.Equal(f.decide(0), []string{"free m/0 a1 g3: release confirmed"})
}

func TestShardOfSpreadsModels(t *testing.T) {
	is := is.New(t)
	const shards, models = 64, 6400
	var counts [shards]int
	for i := range models {
		counts[ShardOf(fmt.Sprintf("model-%d", i), shards)]++
	}
	is.True(slices.Min(counts[:]) > models/shards/2)
	is.Equal(ShardOf("any", 0), uint32(0))
}

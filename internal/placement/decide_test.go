package placement

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
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
		Slots: make(map[string][]view.Slot), Hosts: make(map[string]external.Host), HostReads: 1,
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
		f.list(external.Host{
			ID: id, Role: external.RoleUpstream, Pool: "pool", State: external.HostLive,
			FailureDomain: id[:1], MemoryMiB: 1000,
		})
	}
	return f
}

// list adds a host to the host list.
func (s *State) list(host external.Host) {
	s.Listing = append(s.Listing, host)
	s.Hosts[host.ID] = host
}

// slot appends a slot row of a model at generation 3.
func (f *fixture) slot(model string, state apiv1.SlotState, host string) {
	row := &apiv1.SlotRow{Model: model, Slot: uint32(len(f.Slots[model])), Host: host, State: state, Generation: 3}
	f.Slots[model] = append(f.Slots[model], view.Slot{Row: row, Version: 9})
}

func (f *fixture) report(host string) *apiv1.LoadReport {
	if f.reports[host] == nil {
		f.reports[host] = &apiv1.LoadReport{Host: host}
	}
	return f.reports[host]
}

// load reports the replica of a slot of "m".
func (f *fixture) load(slot uint32, state apiv1.ReplicaState, inFlight uint32) {
	report := f.report(f.Slots["m"][slot].Row.GetHost())
	report.Replicas = append(report.Replicas, &apiv1.ReplicaReport{
		Model: "m", Slot: slot, Generation: 3, State: state, InFlight: inFlight,
	})
}

// set takes words of the form "what:subject=value".
func (f *fixture) set(t *testing.T, words string) {
	for word := range strings.FieldsSeq(words) {
		what, rest, _ := strings.Cut(word, ":")
		subject, text, _ := strings.Cut(rest, "=")
		value, _ := strconv.Atoi(text)
		number, _ := strconv.Atoi(subject)
		switch what {
		case "assigned":
			f.slot(text, apiv1.SlotState_SLOT_STATE_ASSIGNED, subject)
		case "releasing":
			f.slot(text, apiv1.SlotState_SLOT_STATE_RELEASING, subject)
		case "free":
			f.slot(text, apiv1.SlotState_SLOT_STATE_FREE, "")
		case "confirmed":
			f.Confirmed[SlotID{"m", uint32(number), uint64(value)}] = true
		case "drain":
			f.Drains[subject] = true
		case "silent":
			f.Silent[subject] = true
		case "cached":
			tier := apiv1.CheckpointTier(apiv1.CheckpointTier_value["CHECKPOINT_TIER_"+text])
			f.report(subject).Cached = []*apiv1.CachedCheckpoint{{Checkpoint: "c", Tier: tier}}
		case "reserved":
			f.report(subject).MemoryReservedMib = uint32(value)
		case "ready":
			f.load(uint32(number), apiv1.ReplicaState_REPLICA_STATE_READY, uint32(value))
		case "cold":
			f.load(uint32(number), apiv1.ReplicaState_REPLICA_STATE_COLD, 0)
		case "memory":
			for i := range f.Listing {
				f.Listing[i].MemoryMiB = uint32(value)
			}
		case "pool":
			f.list(external.Host{ID: subject, Role: external.RoleUpstream, Pool: text, State: external.HostLive})
		case "service":
			f.list(external.Host{ID: subject, Role: external.RoleUpstream, Pool: text, State: external.HostLive, Service: "bookings"})
		default:
			t.Fatalf("unknown word %q", word)
		}
	}
}

// decide observes and decides after a time in which all stayed as it is.
func (f *fixture) decide(after time.Duration) string {
	for step := time.Duration(0); step <= after; step += time.Second {
		f.Now = testStart.Add(step)
		f.HostReads++
		f.Memory.Observe(f.State)
	}
	var got []string
	for _, o := range Decide(f.State) {
		got = append(got, fmt.Sprintf("%s %s/%d %s g%d: %s", o.Kind, o.Model, o.Slot, o.Host, o.Generation, o.Reason))
	}
	return strings.Join(got, "; ")
}

func TestDecide(t *testing.T) {
	const long = 5 * time.Minute
	cases := []struct {
		name        string
		least, most uint32
		after       time.Duration
		state       string
		want        string
	}{
		{"cached in memory comes first", 1, 1, 0, "cached:b1=DISK cached:b2=MEMORY", "create m/0 b2 g1: below min_replicas"},
		{"disk before remote", 1, 1, 0, "cached:a2=DISK", "create m/0 a2 g1: below min_replicas"},
		{"an overcommitted host's cache doesn't count", 1, 1, 0, "cached:b1=MEMORY reserved:b1=1700 cached:b2=DISK", "create m/0 b2 g1: below min_replicas"},
		{"the emptiest host", 1, 1, 0, "reserved:a1=100 reserved:a2=100 reserved:b2=100", "create m/0 b1 g1: below min_replicas"},
		{"another failure domain before a nearer checkpoint", 2, 2, 0, "assigned:a1=m cached:a2=MEMORY cached:b2=DISK", "create m/1 b2 g1: below min_replicas"},
		{"a free row is used again", 1, 2, 0, "free:=m cached:a1=MEMORY", "assign m/0 a1 g4: below min_replicas"},
		{"a model too large for the hosts", 1, 1, 0, "memory:=300", ""},
		{"a draining host's slot is replaced", 1, 2, 0, "assigned:a1=m drain:a1 cached:b1=MEMORY", "create m/1 b1 g1: replaces a slot that moves"},
		{"and then released", 1, 2, 0, "assigned:a1=m assigned:b1=m drain:a1", "release m/0 a1 g3: host draining or leaving"},
		{"at max_replicas it is released first", 1, 1, 0, "assigned:a1=m drain:a1", "release m/0 a1 g3: host draining or leaving"},
		{"one move at a time", 2, 2, 0, "releasing:a1=m assigned:b1=m drain:a1 drain:b1", ""},
		{"a stranded release holds up no other move", 2, 2, 0, "releasing:a1=m assigned:b1=m drain:b1 silent:a1", "release m/1 b1 g3: host draining or leaving"},
		{"silence never frees or releases", 1, 1, long, "assigned:a1=m silent:a1", ""},
		{"a short silence adds nothing", 1, 2, time.Second, "assigned:a1=m silent:a1", ""},
		{"a long one does under max_replicas", 1, 2, long, "assigned:a1=m silent:a1 cached:b1=MEMORY", "create m/1 b1 g1: host of another slot is silent"},
		{"stranded slots count", 1, 1, long, "releasing:a1=m silent:a1", ""},
		{"a confirmed release is freed", 1, 1, 0, "releasing:a1=m confirmed:0=3", "free m/0 a1 g3: release confirmed"},
		{"an earlier generation's confirmation doesn't count", 1, 1, 0, "releasing:a1=m confirmed:0=2", ""},
		{"an unlisted host keeps its slot for a moment", 1, 1, time.Second, "assigned:gone=m", ""},
		{"and then releases it", 1, 1, 3 * time.Second, "assigned:gone=m", "release m/0 gone g3: host not listed"},
		{"which is freed after the grace period", 1, 1, 5 * time.Second, "releasing:gone=m", "free m/0 gone g3: host gone"},
		{"and not before", 1, 1, 4 * time.Second, "releasing:gone=m", ""},
		{"a host outside of the placement", 1, 1, 0, "pool:x=other assigned:x=m", "release m/0 x g3: host not allowed by placement"},
		{"a model that isn't configured", 1, 1, 0, "assigned:a1=m assigned:a1=old releasing:b1=old", "release old/0 a1 g3: model not configured"},
		{
			"all above max_replicas, the least busy first", 1, 1, 0, "assigned:a1=m assigned:a2=m assigned:b1=m ready:1=3",
			"release m/0 a1 g3: above max_replicas; release m/2 b1 g3: above max_replicas",
		},
		{"a short peak adds nothing", 1, 3, time.Second, "assigned:a1=m ready:0=5", ""},
		{"a lasting load adds a slot near the checkpoint", 1, 3, 20 * time.Second, "assigned:a1=m ready:0=5 cached:a2=DISK", "create m/1 a2 g1: above target_in_flight"},
		{"not while a replica is cold", 1, 3, 20 * time.Second, "assigned:a1=m assigned:b1=m ready:0=9 cold:1", ""},
		{"not beyond max_replicas", 1, 1, 20 * time.Second, "assigned:a1=m ready:0=50", ""},
		{"an idle added slot is taken back", 1, 3, long, "assigned:a1=m assigned:b1=m ready:0=1 ready:1=0", "release m/1 b1 g3: more slots than the load needs"},
		{"not when the rest would be near the target", 1, 3, long, "assigned:a1=m assigned:b1=m ready:0=2 ready:1=1", ""},
		{"not when a report is missing", 1, 3, long, "assigned:a1=m assigned:b1=m ready:0=0", ""},
		{"not below min_replicas", 2, 3, long, "assigned:a1=m assigned:b1=m ready:0=0 ready:1=0", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(c.least, c.most)
			f.set(t, c.state)
			is.New(t).Equal(f.decide(c.after), c.want)
		})
	}
}

func TestHostsOfPlainServicesGetNoSlots(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.set(t, "memory:=100 service:s1=pool") // no engine has room
	is.Equal(f.decide(0), "")
	f = newFixture(1, 1)
	f.set(t, "service:s1=pool assigned:s1=m")
	is.Equal(f.decide(0), "release m/0 s1 g3: host not allowed by placement")
}

// A host list that can't be read says nothing about who is gone.
func TestKeptHostListFreesNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.set(t, "releasing:gone=m")
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
				f.slot("m", apiv1.SlotState_SLOT_STATE_ASSIGNED, o.Host)
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
	for i := range slots {
		f.load(i, apiv1.ReplicaState_REPLICA_STATE_READY, (inFlight+i)/slots)
	}
}

// A small budget goes to the most urgent orders, and the rest follow.
func TestBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1)
	f.Budget = 1
	f.set(t, "releasing:a1=m confirmed:0=3 assigned:a1=old")
	is.Equal(f.decide(0), "free m/0 a1 g3: release confirmed")
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

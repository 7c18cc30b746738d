package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/slots"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/keepalive"
)

const keep = keepalive.Fixed(time.Hour)

func TestOrderIsCheckedRightBeforeItIsSent(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*rig)
		kind   apiv1.RefusalKind
	}{
		{"released", func(r *rig) {
			r.take(r.p.Release(r.now, r.p.NewID(), slots.Key{Model: "m"}, 1, 8))
		}, apiv1.RefusalKind_REFUSAL_KIND_NOT_ASSIGNED},
		{"slot moved", func(r *rig) { r.assign() }, apiv1.RefusalKind_REFUSAL_KIND_NOT_ASSIGNED},
		{"process paused", func(r *rig) {
			r.take(r.p.Tick(r.now))
			r.now = r.now.Add(PauseLimit + 1)
		}, apiv1.RefusalKind_REFUSAL_KIND_STALE},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, keep, onDisk("m"))
			r.assign(spec("m", 1))
			id := r.admit("m", nil)
			is.Equal(len(r.sent), 1)
			tc.change(r)
			_, ok, actions := r.p.Begin(r.now, r.sent[0].Order)
			r.take(actions)
			is.True(!ok)
			is.Equal(r.refused[id].GetKind(), tc.kind)
			is.Equal(r.p.ledger.ReservedMiB(), uint32(0))
		})
	}
}

func TestPauseDropsTheSlotsAndKeepsTheReplica(t *testing.T) {
	is := is.New(t)
	r := newRig(t, keep, onDisk("m"))
	r.assign(spec("m", 1))
	r.load("m")
	before := r.p.BootID()
	r.now = r.now.Add(PauseLimit + 1)
	id := r.admit("m", nil)
	is.Equal(r.refused[id].GetKind(), apiv1.RefusalKind_REFUSAL_KIND_STALE)
	is.True(r.p.BootID() != before)
	is.Equal(r.p.Report(r.now).GetTableRevision(), uint64(0)) // asks for its slots
	r.assign(spec("m", 1))
	id = r.admit("m", nil)
	is.True(!r.granted[id].Cold) // served without a load
	is.Equal(len(r.sent), 0)
}

func TestSlotsAreRefusedBeforeTheInventory(t *testing.T) {
	is := is.New(t)
	p := New(Options{NewBootID: func() string { return "b" }})
	_, err := p.Assign(time.Unix(0, 0), &apiv1.AssignSlots{BootId: "b"})
	is.True(err != nil)
	actions := p.Release(time.Unix(0, 0), 1, slots.Key{Model: "m"}, 1, 1)
	is.True(!actions[0].(Released).Done)
}

func TestModelsOutsideTheSlotsAreUnloadedOnceIdle(t *testing.T) {
	is := is.New(t)
	inv := external.Inventory{Models: []external.EngineModel{{Model: "old", Version: "v1", MemoryMiB: 60, State: external.ModelReady}}}
	r := newRig(t, keep, inv)
	r.pass(time.Minute)
	is.Equal(len(r.sent), 0) // nothing before the first slots
	r.assign(spec("m", 1))
	// The number under which it was loaded is 2; the engine refuses lower ones.
	for want := range uint64(3) {
		var err error
		if want < 2 {
			err = errFenced
		}
		is.Equal(r.engine(time.Millisecond, err).Epoch, want)
	}
	is.Equal(r.p.ledger.ReservedMiB(), uint32(0))
}

func TestReleaseWaitsForRequestsAndTheEngine(t *testing.T) {
	is := is.New(t)
	r := newRig(t, keep, onDisk("m"))
	r.assign(spec("m", 1))
	r.load("m")
	running := r.admit("m", nil)
	release := r.p.NewID()
	r.take(r.p.Release(r.now, release, slots.Key{Model: "m"}, 1, 8))
	r.pass(time.Second)
	is.Equal(len(r.sent), 0) // the request still runs
	refused := r.admit("m", nil)
	is.Equal(r.refused[refused].GetKind(), apiv1.RefusalKind_REFUSAL_KIND_NOT_ASSIGNED)
	r.take(r.p.Finish(r.now, running))
	is.Equal(r.engine(time.Second, errUnknown).Epoch, uint64(8))
	_, answered := r.answers[release]
	is.True(!answered) // the engine has not confirmed
	r.pass(3 * time.Second)
	r.take(r.p.Inventory(r.now, r.p.MarkInventory(r.now), external.Inventory{MemoryTotalMiB: 100}))
	is.True(r.answers[release].Done)
	r.assign(spec("m", 1)) // a late push
	refused = r.admit("m", nil)
	is.Equal(r.refused[refused].GetKind(), apiv1.RefusalKind_REFUSAL_KIND_NOT_ASSIGNED)
}

func TestEngineThatRefusesAnUnloadConfirmsNoRelease(t *testing.T) {
	is := is.New(t)
	r := newRig(t, keep, onDisk("m"))
	r.assign(spec("m", 1))
	r.load("m")
	release := r.p.NewID()
	r.take(r.p.Release(r.now, release, slots.Key{Model: "m"}, 1, 8))
	r.engine(time.Second, errRefused)
	is.True(!r.answers[release].Done && r.answers[release].Reason != "")
	again := r.p.NewID()
	r.take(r.p.Release(r.now, again, slots.Key{Model: "m"}, 1, 8))
	r.pass(2 * time.Second)
	r.engine(time.Second, nil)
	is.True(r.answers[again].Done)
}

func TestVersionChangeWaitsForRunningRequests(t *testing.T) {
	is := is.New(t)
	r := newRig(t, keep, onDisk("m"))
	r.assign(spec("m", 1))
	r.load("m")
	running := r.admit("m", nil)
	next := spec("m", 1)
	next.Version = "v2"
	r.assign(next)
	waiting := r.admit("m", nil)
	is.Equal(len(r.sent), 0)
	r.take(r.p.Finish(r.now, running))
	is.Equal(r.engine(time.Second, nil).Kind, external.OrderUnload)
	is.Equal(r.engine(time.Second, nil).Version, "v2")
	is.True(r.granted[waiting].Cold)
}

func TestFailedLoadIsTriedAgainAfterABackoff(t *testing.T) {
	is := is.New(t)
	r := newRig(t, keep, onDisk("m"))
	r.assign(spec("m", 1))
	first := r.admit("m", nil)
	r.engine(time.Second, errRefused)
	is.Equal(r.refused[first].GetKind(), apiv1.RefusalKind_REFUSAL_KIND_UPSTREAM)
	is.True(!r.refused[first].GetOutcomeUnknown())
	is.True(r.refused[first].GetRetryAfterMs() >= 500)
	second := r.admit("m", nil)
	is.Equal(len(r.sent), 0) // within the back-off
	r.pass(time.Second)
	r.engine(time.Second, nil)
	is.Equal(r.granted[second].Phases[0].GetCause(), "back-off after a failed load")
	is.Equal(r.granted[second].Phases[1].GetCause(), "from local disk")
}

func TestDeadlineIsRefusedAtOnceAndTheAdviceHolds(t *testing.T) {
	is := is.New(t)
	r := newRig(t, keepalive.AtOnce, onDisk("m"))
	r.assign(spec("m", 1))
	first := r.admit("m", nil)
	r.engine(4*time.Second, nil) // teaches the load time
	r.take(r.p.Finish(r.now, first))
	r.pass(time.Second)
	r.engine(time.Millisecond, nil) // unload of the idle model
	soon := func(in *Request) { in.Deadline = r.now.Add(time.Second) }
	late := r.admit("m", soon)
	is.Equal(r.refused[late].GetKind(), apiv1.RefusalKind_REFUSAL_KIND_DEADLINE)
	is.Equal(r.refused[late].GetRetryAfterMs(), uint32(4000))
	r.engine(4*time.Second, nil) // loaded for the caller that retries
	again := r.admit("m", soon)
	_, ok := r.granted[again]
	is.True(ok)
}

// BenchmarkWarmRequest is the cost of admitting and finishing one request on a
// loaded model of a host with ten slots.
func BenchmarkWarmRequest(b *testing.B) {
	r := newRig(&testing.T{}, keep, onDisk("m0"))
	var specs []*apiv1.SlotSpec
	for i := range 10 {
		specs = append(specs, spec(fmt.Sprint("m", i), 1))
	}
	r.assign(specs...)
	r.load("m0")
	b.ReportAllocs()
	for b.Loop() {
		in := Request{ID: r.p.NewID(), Deadline: r.now.Add(time.Minute)}
		in.Slot = slots.Named{Key: slots.Key{Model: "m0"}, Generation: 1}
		r.p.Admit(r.now, in)
		r.p.Finish(r.now, in.ID)
	}
}

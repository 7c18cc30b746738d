package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/keepalive"
)

func TestModelsThatFillTheMemoryDoNotWaitForEachOther(t *testing.T) {
	is := is.New(t)
	r := newRig(t, keep, onDisk("a", "b"))
	half := func(model string) *apiv1.SlotSpec {
		s := spec(model, 1)
		s.MemoryMib = 50
		return s
	}
	r.assign(half("a"), half("b"))
	withAdapter := func(in *Request) { in.Adapter = AdapterSpec{Name: "x", Checkpoint: "x.ckpt", MiB: 10} }
	first := r.admit("a", withAdapter)
	second := r.admit("b", withAdapter)
	r.engine(time.Second, nil)
	r.engine(time.Second, nil)
	r.pass(time.Second)
	var kinds []string
	for range 5 {
		order := r.engine(time.Millisecond, nil)
		kinds = append(kinds, fmt.Sprintf("%s %s", order.Kind, order.Model))
		if _, ok := r.granted[first]; ok {
			r.take(r.p.Finish(r.now, first))
		}
		r.pass(time.Second)
	}
	is.Equal(kinds, []string{"unload b", "load_adapter a", "unload a", "load b", "load_adapter b"})
	_, ok := r.granted[second]
	is.True(ok)
}

func TestEvictionChoosesTheCheapestIdleModels(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(*rig)
		evict string // "" when nothing can go
	}{
		{"longest idle", func(r *rig) { r.load("a"); r.pass(time.Minute); r.load("b") }, "a"},
		{"running never goes", func(r *rig) { r.load("a"); r.load("b"); r.admit("a", nil) }, "b"},
		{"shorter reload", func(r *rig) {
			r.load("b")
			r.admit("a", nil)
			r.engine(30*time.Second, nil)
			for id := range r.granted {
				r.take(r.p.Finish(r.now, id))
			}
		}, "b"},
		{"all run", func(r *rig) { r.load("a"); r.load("b"); r.admit("a", nil); r.admit("b", nil) }, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, keep, onDisk("a", "b", "c"))
			r.assign(spec("a", 1), spec("b", 1), spec("c", 1))
			tc.setup(r)
			id := r.admit("c", func(in *Request) { in.Deadline = r.now.Add(10 * time.Second) })
			if tc.evict == "" {
				is.Equal(len(r.sent), 0)
				r.pass(11 * time.Second)
				is.Equal(r.refused[id].GetKind(), apiv1.RefusalKind_REFUSAL_KIND_NO_MEMORY)
				is.True(r.refused[id].GetRetryAfterMs() > 0)
				return
			}
			order := r.engine(time.Millisecond, nil)
			is.Equal(order.Kind, external.OrderUnload)
			is.Equal(order.Model, tc.evict)
			is.Equal(r.engine(time.Second, nil).Model, "c")
			is.Equal(len(r.sent), 0)
		})
	}
}

func TestPermits(t *testing.T) {
	is := is.New(t)
	r := newRig(t, keep, onDisk("d"))
	r.assign(spec("m", 1), spec("n", 1))
	last := r.admit("m", nil)
	r.admit("n", func(in *Request) { in.Priority = 5 })
	is.Equal(len(r.sent), 0) // both checkpoints are remote
	is.Equal(len(r.asked), 2)
	is.Equal(r.asked[1].Priority, uint32(5))
	r.take(r.p.NoPermit(r.now, r.asked[0].Load))
	r.take(r.p.NoPermit(r.now, r.asked[1].Load))
	r.pass(time.Second)
	is.Equal(len(r.sent), 1) // one load without permit at a time
	is.Equal(r.engine(time.Second, nil).Model, "n")
	is.Equal(len(r.sent), 1)
	is.Equal(r.engine(time.Second, nil).Model, "m")
	is.Equal(r.p.Stats().UnpermittedLoads, uint64(2))
	turn := r.granted[last].Phases[0]
	is.Equal(turn.GetCause(), "one load without permit at a time")
	is.Equal(turn.GetLengthMs(), uint32(2000))
}

func TestPermitTakesThePriorityOfThoseThatJoin(t *testing.T) {
	is := is.New(t)
	r := newRig(t, keep, external.Inventory{})
	r.assign(spec("m", 1))
	priority := func(p uint32) func(*Request) { return func(in *Request) { in.Priority = p } }
	r.admit("m", priority(10))
	r.admit("m", priority(5))
	is.Equal(len(r.asked), 1)
	r.admit("m", priority(30))
	is.Equal(len(r.asked), 2)
	is.Equal(r.asked[1], AskPermit{Load: r.asked[0].Load, Model: "m", Priority: 30})
}

func TestPermitNamesTheLoadsAhead(t *testing.T) {
	is := is.New(t)
	r := newRig(t, keep, external.Inventory{})
	r.assign(spec("m", 1))
	id := r.admit("m", nil)
	r.pass(2 * time.Second)
	r.take(r.p.Permit(r.now, r.asked[0].Load, 2))
	r.engine(time.Second, nil)
	phases := r.granted[id].Phases
	is.Equal(phases[0].GetKind(), apiv1.PhaseKind_PHASE_KIND_PERMIT)
	is.Equal(phases[0].GetLengthMs(), uint32(2000))
	is.Equal(phases[1].GetCause(), "from remote storage behind 2 loads")
	is.Equal(phases[1].GetStartMs(), uint32(2000))
}

func TestIdleReplicaIsUnloadedAfterItsKeepAlive(t *testing.T) {
	for _, tc := range []struct {
		name string
		ms   uint32
		want time.Duration
	}{{"policy", 0, 10 * time.Second}, {"slot", 3000, 3 * time.Second}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, keepalive.Fixed(10*time.Second), onDisk("m"))
			s := spec("m", 1)
			s.KeepAliveMs = tc.ms
			r.assign(s)
			r.load("m")
			r.pass(tc.want - time.Second)
			is.Equal(len(r.sent), 0)
			r.pass(2 * time.Second)
			is.Equal(r.engine(time.Millisecond, nil).Kind, external.OrderUnload)
		})
	}
}

func TestAdapters(t *testing.T) {
	is := is.New(t)
	r := newRig(t, keep, onDisk("m"))
	r.assign(spec("m", 1))
	r.load("m")
	want := func(name string) uint64 {
		return r.admit("m", func(in *Request) { in.Adapter = AdapterSpec{Name: name, Checkpoint: name, MiB: 30} })
	}
	x, x2, y := want("x"), want("x"), want("y")
	is.Equal(len(r.sent), 1) // one load for both requests, and y behind the window
	is.Equal(r.engine(10*time.Millisecond, nil).Adapter, "x")
	is.Equal(len(r.granted), 3) // with that of load
	r.pass(time.Second)         // the window of a new host paces its loads
	is.Equal(r.engine(10*time.Millisecond, nil).Adapter, "y")
	is.Equal(r.p.ledger.FreeMiB(), uint32(0))
	r.take(r.p.Finish(r.now, x))
	r.take(r.p.Finish(r.now, y))
	want("z") // needs room; x2 still runs, y was used last
	r.pass(time.Second)
	order := r.engine(time.Millisecond, nil)
	is.Equal(order.Kind, external.OrderUnloadAdapter)
	is.Equal(order.Adapter, "y")
	is.Equal(r.engine(time.Millisecond, nil).Adapter, "z")
	r.take(r.p.Finish(r.now, x2))
}

package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

func (b *bench) watch(delta uint32) *fakeStream {
	s := b.open(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Watch{Watch: &apiv1.Watch{
		Router: "r", InFlightDelta: delta, RefreshMs: 30_000,
	}}})
	synctest.Wait()
	return s
}

func reports(s *fakeStream) []*apiv1.LoadReport {
	synctest.Wait()
	var all []*apiv1.LoadReport
	for _, frame := range s.frames() {
		if report := frame.GetReport(); report != nil {
			all = append(all, report)
		}
	}
	return all
}

func permitRequests(s *fakeStream) []*apiv1.PermitRequest {
	synctest.Wait()
	var all []*apiv1.PermitRequest
	for _, frame := range s.frames() {
		if permit := frame.GetPermit(); permit != nil {
			all = append(all, permit)
		}
	}
	return all
}

func answerPermit(s *fakeStream, answer *apiv1.LoadPermit) {
	s.in <- &apiv1.RouterFrame{Body: &apiv1.RouterFrame_Permit{Permit: answer}}
	synctest.Wait()
}

func TestReportsFollowChanges(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(newFakeEngine(), nil)
		defer b.close()
		fine, coarse := b.watch(1), b.watch(100)
		is.Equal(len(reports(fine)), 1) // in full at once
		b.assign(slot("m", 1))
		is.Equal(len(reports(fine)), 2)
		states := func(s *fakeStream) []apiv1.ReplicaState {
			var all []apiv1.ReplicaState
			for _, report := range reports(s)[1:] {
				all = append(all, report.GetReplicas()[0].GetState())
			}
			return all
		}
		result(b.generate(request("r", "m", 1)))
		is.Equal(states(coarse), []apiv1.ReplicaState{
			apiv1.ReplicaState_REPLICA_STATE_COLD,
			apiv1.ReplicaState_REPLICA_STATE_LOADING,
			apiv1.ReplicaState_REPLICA_STATE_READY,
		})
		is.True(len(reports(fine)) > len(reports(coarse))) // requests in flight too
		before := len(reports(coarse))
		time.Sleep(35 * time.Second)
		is.Equal(len(reports(coarse)), before+1) // refresh
		last := reports(coarse)[before]
		is.Equal(last.GetSequence(), uint64(before+1))
		is.Equal(last.GetMemoryReservedMib(), uint32(40))
	})
}

func TestSlowWatcherBlocksNobody(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(newFakeEngine(), nil)
		defer b.close()
		slow := b.watch(1)
		slow.mu.Lock()
		slow.stall = make(chan struct{})
		slow.mu.Unlock()
		quick := b.watch(1)
		b.assign(slot("m", 1))
		is.True(result(b.generate(request("r", "m", 1))).end != nil)
		is.True(len(reports(quick)) > 2)
		is.Equal(len(reports(slow)), 1)
		_ = slow.Close()
	})
}

func TestLoadWaitsForThePermit(t *testing.T) {
	const second = uint32(1000)
	for _, tc := range []struct {
		name string
		// answer plays the routers; it is called when they were asked.
		answer  func(a, b *fakeStream, id uint64)
		waitMs  uint32 // length of the PERMIT phase
		without bool   // without permit
	}{
		{"granted", func(a, _ *fakeStream, id uint64) {
			answerPermit(a, &apiv1.LoadPermit{Id: id})
		}, 0, false},
		{"no allocator anywhere", func(a, b *fakeStream, id uint64) {
			answerPermit(a, &apiv1.LoadPermit{Id: id, NoAllocator: true})
			answerPermit(b, &apiv1.LoadPermit{Id: id, NoAllocator: true})
		}, 0, true},
		{"silence", func(*fakeStream, *fakeStream, uint64) {}, 500, true},
		{"queued, then granted", func(a, b *fakeStream, id uint64) {
			answerPermit(a, &apiv1.LoadPermit{Id: id, Queued: true})
			answerPermit(b, &apiv1.LoadPermit{Id: id, NoAllocator: true})
			time.Sleep(10 * time.Second)
			answerPermit(a, &apiv1.LoadPermit{Id: id, Behind: 3})
		}, 10 * second, false},
		{"queued, then the allocator's lease moves", func(a, b *fakeStream, id uint64) {
			answerPermit(a, &apiv1.LoadPermit{Id: id, Queued: true})
			answerPermit(b, &apiv1.LoadPermit{Id: id, NoAllocator: true})
			time.Sleep(permitRepeat + time.Second)
			if len(permitRequests(a)) > 1 { // asked again
				answerPermit(a, &apiv1.LoadPermit{Id: id, NoAllocator: true})
			}
			synctest.Wait()
			if len(permitRequests(b)) > 1 {
				answerPermit(b, &apiv1.LoadPermit{Id: id})
			}
		}, 3 * second, false},
		{"other says no, allocator grants late", func(a, b *fakeStream, id uint64) {
			answerPermit(b, &apiv1.LoadPermit{Id: id, NoAllocator: true})
			time.Sleep(2 * time.Second)
			answerPermit(a, &apiv1.LoadPermit{Id: id})
		}, 2 * second, false},
		{"other says no, allocator cut", func(a, b *fakeStream, id uint64) {
			answerPermit(b, &apiv1.LoadPermit{Id: id, NoAllocator: true})
			time.Sleep(time.Second)
			_ = a.Close()
		}, second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(newFakeEngine(), nil)
				defer b.close()
				first, other := b.watch(1), b.watch(1)
				defer func() { _ = other.Close() }()
				defer func() { _ = first.Close() }()
				b.assign(slot("m", 1))
				s := b.generate(request("r", "m", 1))
				id := permitRequests(first)[0].GetId()
				is.Equal(permitRequests(other)[0].GetId(), id)
				tc.answer(first, other, id)
				got := result(s)
				is.True(got.end != nil)
				waited := uint32(0)
				for _, phase := range got.phases {
					if phase.GetKind() == apiv1.PhaseKind_PHASE_KIND_PERMIT {
						waited += phase.GetLengthMs()
					}
				}
				is.Equal(waited, tc.waitMs)
				is.Equal(b.agent.Stats().Engine.UnpermittedLoads == 1, tc.without)
				all := permitRequests(other)
				is.True(all[len(all)-1].GetDone())
			})
		})
	}
}

func TestLateWatcherIsAskedForAnOpenPermit(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(newFakeEngine(), func(o *Options) { o.PermitTimeout = 5 * time.Second })
		defer b.close()
		silent := b.watch(1)
		defer func() { _ = silent.Close() }()
		b.assign(slot("m", 1))
		s := b.generate(request("r", "m", 1))
		synctest.Wait()
		late := b.watch(1)
		defer func() { _ = late.Close() }()
		answerPermit(late, &apiv1.LoadPermit{Id: permitRequests(late)[0].GetId()})
		is.True(result(s).end != nil)
		is.Equal(b.agent.Stats().Engine.PermittedLoads, uint64(1))
	})
}

package cell

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// relayList sends changes of the upstream list to all routers. A registration in
// which only the sequence number has changed, a mere heartbeat, is not relayed.
func (s *Scheduler) relayList(snapshot *fleet.Snapshot) {
	var changed []*apiv1.ListedUpstream
	for id, up := range snapshot.Upstreams {
		listed := encodeUpstream(up)
		if previous := s.relayed[id]; previous != nil && equalExceptSequence(previous, listed) {
			continue
		}
		s.relayed[id] = listed
		changed = append(changed, listed)
	}
	for id := range s.relayed {
		if snapshot.Upstreams[id] == nil {
			delete(s.relayed, id)
			changed = append(changed, &apiv1.ListedUpstream{Id: id, Removed: true})
		}
	}
	if len(changed) == 0 {
		return
	}
	reply := s.listReply(&apiv1.UpstreamList{Upstreams: changed})
	for _, session := range s.sessions {
		if session.synced {
			session.reply(reply)
		}
	}
}

// relayedList returns all upstreams as they were last relayed.
func (s *Scheduler) relayedList() []*apiv1.ListedUpstream {
	all := make([]*apiv1.ListedUpstream, 0, len(s.relayed))
	for _, listed := range s.relayed {
		all = append(all, listed)
	}
	return all
}

// listReply sets the age of the list.
func (s *Scheduler) listReply(list *apiv1.UpstreamList) *apiv1.SchedulerReply {
	_, age := s.opts.Directory.ReadAges(time.Now())
	list.AgeUs = age.Microseconds()
	return &apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_List{List: list}}
}

func equalExceptSequence(a, b *apiv1.ListedUpstream) bool {
	sequence := b.Sequence
	b.Sequence = a.Sequence
	same := proto.Equal(a, b)
	b.Sequence = sequence
	return same
}

func encodeUpstream(up *fleet.Upstream) *apiv1.ListedUpstream {
	out := &apiv1.ListedUpstream{
		Id:            up.ID,
		Service:       up.Service,
		Address:       up.Addr,
		FailureDomain: up.FailureDomain,
		Slots:         int32(up.Slots),
		Draining:      up.Draining,
		SetAside:      up.Cordoned,
		MemoryMb:      up.MemoryMB,
		LeavesInUs:    up.RemovedIn.Microseconds(),
		Sequence:      up.Sequence,
		StartedMs:     up.StartedMs,
	}
	for _, m := range up.Models {
		out.Models = append(out.Models, &apiv1.ListedModel{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return out
}

// decodeList converts a relayed list to a directory change.
func decodeList(list *apiv1.UpstreamList) fleet.Change {
	change := fleet.Change{Complete: list.GetWhole(), Age: microseconds(list.GetAgeUs())}
	for _, listed := range list.GetUpstreams() {
		change.Registrations = append(change.Registrations, decodeUpstream(listed))
	}
	return change
}

func decodeUpstream(listed *apiv1.ListedUpstream) fleet.Registration {
	if listed.GetRemoved() {
		return fleet.Registration{ID: listed.GetId()}
	}
	up := &fleet.Upstream{
		ID:            listed.GetId(),
		Service:       listed.GetService(),
		Addr:          listed.GetAddress(),
		FailureDomain: listed.GetFailureDomain(),
		Slots:         int(listed.GetSlots()),
		Draining:      listed.GetDraining(),
		Cordoned:      listed.GetSetAside(),
		MemoryMB:      listed.GetMemoryMb(),
		RemovedIn:     time.Duration(listed.GetLeavesInUs()) * time.Microsecond,
		Sequence:      listed.GetSequence(),
		StartedMs:     listed.GetStartedMs(),
	}
	for _, m := range listed.GetModels() {
		up.Models = append(up.Models, fleet.LoadedModel{Name: m.GetName(), Version: m.GetVersion(), Adapters: m.GetAdapters()})
	}
	return fleet.Registration{ID: up.ID, Upstream: up}
}

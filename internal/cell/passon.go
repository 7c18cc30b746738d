package cell

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// passOn sends the changes of the upstream list to all routers. Heartbeats that
// only count on are not passed.
func (s *Scheduler) passOn(snapshot *fleet.Snapshot) {
	var changed []*apiv1.ListedUpstream
	for id, up := range snapshot.Upstreams {
		entry := encodeUpstream(up)
		if before := s.passed[id]; before != nil && sameButSequence(before, entry) {
			continue
		}
		s.passed[id] = entry
		changed = append(changed, entry)
	}
	for id := range s.passed {
		if snapshot.Upstreams[id] == nil {
			delete(s.passed, id)
			changed = append(changed, &apiv1.ListedUpstream{Id: id, Removed: true})
		}
	}
	if len(changed) == 0 {
		return
	}
	reply := listReply(&apiv1.UpstreamList{Upstreams: changed})
	for _, session := range s.sessions {
		if session.greeted {
			session.reply(reply)
		}
	}
}

// listed returns the whole list as it was passed on.
func (s *Scheduler) listed() []*apiv1.ListedUpstream {
	all := make([]*apiv1.ListedUpstream, 0, len(s.passed))
	for _, entry := range s.passed {
		all = append(all, entry)
	}
	return all
}

func listReply(list *apiv1.UpstreamList) *apiv1.SchedulerReply {
	return &apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_List{List: list}}
}

func sameButSequence(a, b *apiv1.ListedUpstream) bool {
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

// decodeList turns a passed list into a change of a directory.
func decodeList(list *apiv1.UpstreamList) fleet.Change {
	change := fleet.Change{Complete: list.GetWhole()}
	for _, entry := range list.GetUpstreams() {
		change.Registrations = append(change.Registrations, decodeListed(entry))
	}
	return change
}

func decodeListed(entry *apiv1.ListedUpstream) fleet.Registration {
	if entry.GetRemoved() {
		return fleet.Registration{ID: entry.GetId()}
	}
	up := &fleet.Upstream{
		ID:            entry.GetId(),
		Service:       entry.GetService(),
		Addr:          entry.GetAddress(),
		FailureDomain: entry.GetFailureDomain(),
		Slots:         int(entry.GetSlots()),
		Draining:      entry.GetDraining(),
		Cordoned:      entry.GetSetAside(),
		MemoryMB:      entry.GetMemoryMb(),
		RemovedIn:     time.Duration(entry.GetLeavesInUs()) * time.Microsecond,
		Sequence:      entry.GetSequence(),
		StartedMs:     entry.GetStartedMs(),
	}
	for _, m := range entry.GetModels() {
		up.Models = append(up.Models, fleet.LoadedModel{Name: m.GetName(), Version: m.GetVersion(), Adapters: m.GetAdapters()})
	}
	return fleet.Registration{ID: up.ID, Upstream: up}
}

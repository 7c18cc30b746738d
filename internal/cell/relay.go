package cell

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// maxListPart is the number of upstreams in one message of a list. Over a slow link the
// messages of a large list keep arriving within the heartbeat timeout.
const maxListPart = 32

// relayedList is an upstream list as it was relayed to the routers.
type relayedList struct {
	upstreams map[string]relayedUpstream // by id
	// version is the version of the list. Changes are known since version since.
	version, since int64
}

// relayedUpstream is a registration as it was last relayed. Removed ones are kept.
type relayedUpstream struct {
	listed *apiv1.ListedUpstream
	// version is that of the list with which the registration changed.
	version int64
}

// relayList sends changes of the upstream list to all routers, and at first in a term
// what their lists lack.
func (s *Scheduler) relayList(snapshot *fleet.Snapshot) {
	first := s.relayed == nil
	if first {
		s.relayed = &relayedList{upstreams: make(map[string]relayedUpstream), since: snapshot.ListVersion}
	}
	changed := s.relayed.update(snapshot)
	if len(changed) == 0 && !first {
		return
	}
	list := &apiv1.UpstreamList{Upstreams: changed}
	for _, session := range s.sessions {
		if !session.synced {
			continue
		}
		if first {
			list = s.relayed.lackedBy(session.listVersion)
		}
		s.sendList(session, list)
	}
}

// sendList sends a list to a router, in parts if the router accepts them.
func (s *Scheduler) sendList(to *session, list *apiv1.UpstreamList) {
	_, age := s.opts.Directory.ReadAges(time.Now())
	rest := list.GetUpstreams()
	for {
		part := &apiv1.UpstreamList{Whole: list.GetWhole(), Upstreams: rest, AgeUs: age.Microseconds(), Version: s.relayed.version}
		if to.acceptsListParts && len(rest) > maxListPart {
			part.Upstreams, rest = slices.Clip(rest[:maxListPart]), rest[maxListPart:]
			part.Continues = true
		}
		to.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_List{List: part}})
		if !part.Continues {
			return
		}
	}
}

// update takes over a list and returns what has changed. A registration in which only
// the sequence number has changed, a mere heartbeat, counts as unchanged.
func (r *relayedList) update(snapshot *fleet.Snapshot) []*apiv1.ListedUpstream {
	var changed []*apiv1.ListedUpstream
	change := func(listed *apiv1.ListedUpstream) {
		r.upstreams[listed.GetId()] = relayedUpstream{listed, snapshot.ListVersion}
		changed = append(changed, listed)
	}
	for id, up := range snapshot.Upstreams {
		listed := encodeUpstream(up)
		if previous, ok := r.upstreams[id]; !ok || !equalExceptSequence(previous.listed, listed) {
			change(listed)
		}
	}
	for id, previous := range r.upstreams {
		if snapshot.Upstreams[id] == nil && !previous.listed.GetRemoved() {
			change(&apiv1.ListedUpstream{Id: id, Removed: true})
		}
	}
	r.version = snapshot.ListVersion
	return changed
}

// lackedBy returns what a router lacks that has a version of the list, 0 for none. The
// full list is large on a large fleet, and all routers connect at once when the holder
// changes.
func (r *relayedList) lackedBy(version int64) *apiv1.UpstreamList {
	list := &apiv1.UpstreamList{Whole: version == 0 || version < r.since}
	for _, relayed := range r.upstreams {
		if list.Whole && !relayed.listed.GetRemoved() || !list.Whole && relayed.version > version {
			list.Upstreams = append(list.Upstreams, relayed.listed)
		}
	}
	return list
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
	change := fleet.Change{Complete: list.GetWhole(), Age: microseconds(list.GetAgeUs()), Version: list.GetVersion()}
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

package placement

import (
	"cmp"
	"slices"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// modelState sorts a model's slot rows by what they are good for.
type modelState struct {
	free []view.Slot
	// releasing slots still count against max_replicas.
	releasing []view.Slot
	// usable slots are assigned to hosts that may keep them. They include those
	// whose host has been silent or unlisted for a moment only.
	usable []view.Slot
	// silent slots are assigned to hosts that don't answer. They are neither
	// used nor released.
	silent []view.Slot
	// leaving slots are assigned to hosts that must give them up.
	leaving []leavingSlot
}

type leavingSlot struct {
	view.Slot
	reason Reason
}

// used is the number of slots that count against max_replicas.
func (m *modelState) used() int {
	return len(m.releasing) + len(m.usable) + len(m.silent) + len(m.leaving)
}

// sortSlots classifies the slots of a model under a placement.
func (s State) sortSlots(name string, p *apiv1.Placement) modelState {
	var m modelState
	hosts := make(map[string]bool)
	for _, slot := range s.Slots[name] {
		switch slot.Row.GetState() {
		case apiv1.SlotState_SLOT_STATE_FREE:
			m.free = append(m.free, slot)
		case apiv1.SlotState_SLOT_STATE_RELEASING:
			m.releasing = append(m.releasing, slot)
		default:
			s.sortAssigned(&m, slot, p, hosts)
		}
	}
	return m
}

func (s State) sortAssigned(m *modelState, slot view.Slot, p *apiv1.Placement, hosts map[string]bool) {
	id := slot.Row.GetHost()
	host, listed := s.Hosts[id]
	repeated := hosts[id]
	hosts[id] = true
	switch {
	case !listed && s.Memory.unlistedFor(id) < s.Timing.UnlistedRelease:
		m.usable = append(m.usable, slot)
	case !listed:
		m.leaving = append(m.leaving, leavingSlot{slot, ReasonUnlisted})
	case repeated || !allowed(&host, p):
		m.leaving = append(m.leaving, leavingSlot{slot, ReasonMisplaced})
	case s.draining(&host):
		m.leaving = append(m.leaving, leavingSlot{slot, ReasonDraining})
	case s.Memory.silentFor(id, s.Now) > s.Timing.SilentAfter:
		m.silent = append(m.silent, slot)
	default:
		m.usable = append(m.usable, slot)
	}
}

// allowed reports whether the host has an engine and a placement names its pool
// and domain.
func allowed(host *external.Host, p *apiv1.Placement) bool {
	if host.Role != external.RoleUpstream || host.Service != "" || host.Pool != p.GetPool() {
		return false
	}
	domains := p.GetFailureDomains()
	return len(domains) == 0 || slices.Contains(domains, host.FailureDomain)
}

// draining reports whether a listed host takes no new work.
func (s State) draining(host *external.Host) bool {
	return host.State != external.HostLive || s.Drains[host.ID] || s.report(host.ID).GetDraining()
}

// modelNeeds returns the wanted changes of a configured model.
func (s State) modelNeeds(name string, p *apiv1.Placement) []need {
	m := s.sortSlots(name, p)
	needs := s.freeNeeds(m)
	least, most := limits(p)
	change := s.Memory.loads[name].change(s.Now, s.Timing)
	want := min(max(len(m.usable)+change, least), most)
	switch {
	case len(m.usable) >= want:
		needs = append(needs, releaseLeaving(m, urgentMove)...)
		needs = append(needs, s.shrinkNeeds(m, len(m.usable)-want, most)...)
	case m.used() < most:
		needs = append(needs, releaseUnlisted(m)...)
		needs = append(needs, s.addNeed(name, m, least))
	default:
		needs = append(needs, s.makeRoom(m)...)
	}
	return needs
}

// limits returns the fewest and the most slots of a model.
func limits(p *apiv1.Placement) (least, most int) {
	most = max(1, int(p.GetMaxReplicas()))
	least = min(max(1, int(p.GetMinReplicas())), most)
	return least, most
}

// ModelsShort counts the models that the caller decides for and that have fewer
// usable slots than min_replicas.
func ModelsShort(s State) int {
	if s.Config == nil {
		return 0
	}
	short := 0
	for _, m := range s.Config.Set.GetModels() {
		p := s.Config.Placement(m.GetPlacement())
		if p == nil || !s.mine(m.GetName()) {
			continue
		}
		sorted := s.sortSlots(m.GetName(), p)
		if least, _ := limits(p); len(sorted.usable) < least {
			short++
		}
	}
	return short
}

// unconfiguredNeeds releases every slot of a model that isn't configured.
func (s State) unconfiguredNeeds(name string) []need {
	var needs []need
	var m modelState
	for _, slot := range s.Slots[name] {
		switch slot.Row.GetState() {
		case apiv1.SlotState_SLOT_STATE_ASSIGNED:
			needs = append(needs, releaseNeed(slot, ReasonUnconfigured, urgentShrink))
		case apiv1.SlotState_SLOT_STATE_RELEASING:
			m.releasing = append(m.releasing, slot)
		}
	}
	return append(needs, s.freeNeeds(m)...)
}

// freeNeeds ends the releases that are confirmed or whose host is gone. No
// length of silence frees a slot.
func (s State) freeNeeds(m modelState) []need {
	var needs []need
	for _, slot := range m.releasing {
		id := IDOf(slot)
		_, listed := s.Hosts[slot.Row.GetHost()]
		switch {
		case s.Confirmed[id]:
			needs = append(needs, slotNeed(slot, Free, ReasonConfirmed, urgentFree))
		case !listed && s.Memory.goneFor(id, slot.Row.GetHost()) >= s.Timing.HostGone:
			needs = append(needs, slotNeed(slot, Free, ReasonHostGone, urgentFree))
		}
	}
	return needs
}

// releaseLeaving releases the slots whose hosts must give them up.
func releaseLeaving(m modelState, u urgency) []need {
	var needs []need
	for _, slot := range m.leaving {
		needs = append(needs, releaseNeed(slot.Slot, slot.reason, u))
	}
	return needs
}

// releaseUnlisted releases the slots of unlisted hosts. They serve nobody, and
// the release starts the time after which they are freed.
func releaseUnlisted(m modelState) []need {
	var needs []need
	for _, slot := range m.leaving {
		if slot.reason == ReasonUnlisted {
			needs = append(needs, releaseNeed(slot.Slot, slot.reason, urgentBelowMin))
		}
	}
	return needs
}

// makeRoom releases slots of a model that is at max_replicas: those of unlisted
// hosts, and one other at a time, so that the rest serve meanwhile.
func (s State) makeRoom(m modelState) []need {
	needs := releaseUnlisted(m)
	for _, slot := range m.releasing {
		_, listed := s.Hosts[slot.Row.GetHost()]
		if listed && !s.Silent[slot.Row.GetHost()] {
			return needs
		}
	}
	for _, slot := range m.leaving {
		if slot.reason != ReasonUnlisted {
			return append(needs, releaseNeed(slot.Slot, slot.reason, urgentBelowMin))
		}
	}
	return needs
}

// shrinkNeeds takes surplus usable slots back, the least busy first: all that
// are above max_replicas, otherwise one.
func (s State) shrinkNeeds(m modelState, surplus, most int) []need {
	if surplus <= 0 {
		return nil
	}
	reason, count := ReasonIdle, 1
	if len(m.usable) > most {
		reason, count = ReasonAboveMax, surplus
	}
	byLoad := slices.Clone(m.usable)
	slices.SortStableFunc(byLoad, func(a, b view.Slot) int {
		return cmp.Or(
			cmp.Compare(s.replica(a).GetInFlight(), s.replica(b).GetInFlight()),
			cmp.Compare(s.replica(a).GetState(), s.replica(b).GetState()),
			cmp.Compare(b.Row.GetSlot(), a.Row.GetSlot()),
		)
	})
	var needs []need
	for _, slot := range byLoad[:count] {
		needs = append(needs, releaseNeed(slot, reason, urgentShrink))
	}
	return needs
}

// addNeed adds one slot: a free row if there is one, otherwise a new row with
// the next number.
func (s State) addNeed(name string, m modelState, least int) need {
	n := need{order: Order{Kind: Create, Model: name, Slot: NextSlot(s.Slots[name]), Generation: 1}}
	if len(m.free) > 0 {
		n = slotNeed(m.free[0], Assign, "", 0)
		n.order.Generation++
	}
	n.order.Reason, n.urgency = addReason(m, least)
	n.spread = n.urgency != urgentLoad
	return n
}

// NextSlot returns the number of the row after a model's last one.
func NextSlot(slots []view.Slot) uint32 {
	if len(slots) == 0 {
		return 0
	}
	return slots[len(slots)-1].Row.GetSlot() + 1
}

func addReason(m modelState, least int) (Reason, urgency) {
	u := urgentBelowMin
	if len(m.usable) == 0 {
		u = urgentUnplaced
	}
	switch {
	case len(m.usable) >= least:
		return ReasonLoad, urgentLoad
	case len(m.leaving) > 0:
		return ReasonMove, u
	case len(m.silent) > 0:
		return ReasonSilent, u
	default:
		return ReasonBelowMin, u
	}
}

func releaseNeed(slot view.Slot, reason Reason, u urgency) need {
	return slotNeed(slot, Release, reason, u)
}

func slotNeed(slot view.Slot, kind OrderKind, reason Reason, u urgency) need {
	return need{
		urgency: u,
		order: Order{
			Kind:       kind,
			Model:      slot.Row.GetModel(),
			Slot:       slot.Row.GetSlot(),
			Host:       slot.Row.GetHost(),
			Generation: slot.Row.GetGeneration(),
			Version:    slot.Version,
			Reason:     reason,
		},
	}
}

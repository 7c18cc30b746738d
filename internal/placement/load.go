package placement

import (
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// loadMemory is what was seen of a model's load.
type loadMemory struct {
	// aboveSince is when the replicas went above target; zero if they aren't.
	aboveSince time.Time
	// belowSince is when fewer slots became enough; zero if they aren't.
	belowSince time.Time
	// changed is when the number of assigned slots changed last.
	changed  time.Time
	assigned int
}

// modelLoad sums up the load reports of a model's assigned slots.
type modelLoad struct {
	assigned int
	ready    int
	// pending counts replicas that are known to be cold or loading.
	pending int
	// unknown counts slots without a report.
	unknown  int
	inFlight uint32
}

// scaleDownShare is the share of the target that the remaining slots may reach
// when one is taken back. It keeps a model from going up and down in turn.
const scaleDownShare = 0.5

// observeLoads updates the load memory of every configured model.
func (m *Memory) observeLoads(s State) {
	if s.Config == nil {
		return
	}
	loads := make(map[string]loadMemory, len(m.loads))
	for _, model := range s.Config.Set.GetModels() {
		name := model.GetName()
		p := s.Config.Placement(model.GetPlacement())
		if p == nil || !s.mine(name) || len(s.Slots[name]) == 0 {
			continue
		}
		loads[name] = m.loads[name].next(s.Now, sumLoad(s, s.Slots[name]), p)
	}
	m.loads = loads
}

func (l loadMemory) next(now time.Time, load modelLoad, p *apiv1.Placement) loadMemory {
	target := float64(p.GetTargetInFlight())
	inFlight := float64(load.inFlight)
	above := target > 0 && load.ready > 0 && load.pending == 0 &&
		inFlight > target*float64(load.ready)
	below := load.unknown == 0 && load.assigned > int(p.GetMinReplicas()) &&
		inFlight <= scaleDownShare*target*float64(load.assigned-1)
	l.aboveSince = since(l.aboveSince, above, now)
	l.belowSince = since(l.belowSince, below, now)
	if load.assigned != l.assigned {
		l.assigned = load.assigned
		l.changed = now
	}
	return l
}

// since returns the start of the span over which a condition holds, or zero.
func since(start time.Time, holds bool, now time.Time) time.Time {
	if !holds {
		return time.Time{}
	}
	if start.IsZero() {
		return now
	}
	return start
}

// sumLoad adds up the reports of a model's assigned slots.
func sumLoad(s State, slots []view.Slot) modelLoad {
	var sum modelLoad
	for _, slot := range slots {
		if slot.Row.GetState() != apiv1.SlotState_SLOT_STATE_ASSIGNED {
			continue
		}
		sum.assigned++
		replica := s.replica(slot)
		if replica == nil {
			sum.unknown++
			continue
		}
		sum.inFlight += replica.GetInFlight()
		if replica.GetState() == apiv1.ReplicaState_REPLICA_STATE_READY {
			sum.ready++
		} else {
			sum.pending++
		}
	}
	return sum
}

// replica returns the report of a slot, or nil.
func (s State) replica(slot view.Slot) *apiv1.ReplicaReport {
	for _, r := range s.report(slot.Row.GetHost()).GetReplicas() {
		if r.GetModel() == slot.Row.GetModel() && r.GetSlot() == slot.Row.GetSlot() && r.GetGeneration() == slot.Row.GetGeneration() {
			return r
		}
	}
	return nil
}

// change returns 1 when the load has called for another slot for long enough,
// -1 when it has for one less, otherwise 0.
func (l loadMemory) change(now time.Time, t Timing) int {
	if now.Sub(l.changed) < t.CoolDown {
		return 0
	}
	if !l.aboveSince.IsZero() && now.Sub(l.aboveSince) >= t.ScaleUp {
		return 1
	}
	if !l.belowSince.IsZero() && now.Sub(l.belowSince) >= t.ScaleDown {
		return -1
	}
	return 0
}

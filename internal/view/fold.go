package view

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// fold applies rows to a snapshot and copies each map once, before its first
// change.
type fold struct {
	next   *Snapshot
	slots  bool
	leases bool
	drains bool
}

func (f *fold) apply(row external.Row) bool {
	switch {
	case row.Key == external.HeadKey:
		return f.applyHead(row)
	case strings.HasPrefix(row.Key, external.SlotPrefix):
		return f.applySlot(row)
	case strings.HasPrefix(row.Key, external.LeasePrefix):
		return f.applyLease(row)
	case strings.HasPrefix(row.Key, external.DrainPrefix):
		return f.applyDrain(row)
	default:
		return true
	}
}

func (f *fold) applyHead(row external.Row) bool {
	head := &apiv1.HeadRow{}
	if proto.Unmarshal(row.Value, head) != nil {
		return false
	}
	if row.Version > f.next.HeadVersion {
		f.next.Head = head
		f.next.HeadVersion = row.Version
	}
	return true
}

func (f *fold) applySlot(row external.Row) bool {
	slot := &apiv1.SlotRow{}
	if proto.Unmarshal(row.Value, slot) != nil {
		return false
	}
	if !f.slots {
		f.next.Slots = maps.Clone(f.next.Slots)
		f.next.slotIndex = &slotIndex{}
		f.slots = true
	}
	f.next.SlotsRevision = max(f.next.SlotsRevision, row.Version)
	f.next.Slots[slot.GetModel()] = withSlot(f.next.Slots[slot.GetModel()], Slot{Row: slot, Version: row.Version})
	return true
}

// withSlot returns a copy of slots with one slot added or replaced.
func withSlot(slots []Slot, slot Slot) []Slot {
	i, found := slices.BinarySearchFunc(slots, slot.Row.GetSlot(), func(s Slot, n uint32) int {
		return int(s.Row.GetSlot()) - int(n)
	})
	if !found {
		return slices.Insert(slices.Clone(slots), i, slot)
	}
	if slots[i].Version >= slot.Version {
		return slots
	}
	next := slices.Clone(slots)
	next[i] = slot
	return next
}

func (f *fold) applyLease(row external.Row) bool {
	lease := &apiv1.LeaseRow{}
	if proto.Unmarshal(row.Value, lease) != nil {
		return false
	}
	if !f.leases {
		f.next.Leases = maps.Clone(f.next.Leases)
		f.leases = true
	}
	name := strings.TrimPrefix(row.Key, external.LeasePrefix)
	if row.Version > f.next.Leases[name].Version {
		f.next.Leases[name] = Lease{Row: lease, Version: row.Version}
	}
	return true
}

func (f *fold) applyDrain(row external.Row) bool {
	drain := &apiv1.DrainRow{}
	if proto.Unmarshal(row.Value, drain) != nil {
		return false
	}
	if !f.drains {
		f.next.Drains = maps.Clone(f.next.Drains)
		f.next.drainVersions = maps.Clone(f.next.drainVersions)
		f.drains = true
	}
	if row.Version > f.next.drainVersions[drain.GetHost()] {
		f.next.Drains[drain.GetHost()] = drain.GetDraining()
		f.next.drainVersions[drain.GetHost()] = row.Version
	}
	return true
}

package upstream

import (
	"cmp"
	"slices"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// assignment lists the slots that the snapshot assigns to a host. Slots whose
// model the configuration does not know are left out.
func assignment(snap *view.Snapshot, host, bootID string) *apiv1.AssignSlots {
	out := &apiv1.AssignSlots{
		BootId:         bootID,
		ConfigRevision: snap.Config.Revision,
		TableRevision:  uint64(snap.TableRevision),
		Deployment:     snap.Config.Set.GetDeployment(),
		Leaving:        snap.ByHost[host].State == external.HostLeaving,
		Draining:       snap.Drains[host],

		HostListRevision: snap.Hosts.Revision,
	}
	for _, slot := range snap.SlotsOn(host) {
		if spec := slotSpec(snap, slot.Row); spec != nil {
			out.Slots = append(out.Slots, spec)
		}
	}
	slices.SortFunc(out.Slots, func(a, b *apiv1.SlotSpec) int {
		return cmp.Or(cmp.Compare(a.GetModel(), b.GetModel()), cmp.Compare(a.GetSlot(), b.GetSlot()))
	})
	return out
}

// closed reports whether a host takes no new work.
func closed(snap *view.Snapshot, host string) bool {
	return snap.ByHost[host].State == external.HostLeaving || snap.Drains[host]
}

func slotSpec(snap *view.Snapshot, row *apiv1.SlotRow) *apiv1.SlotSpec {
	model := snap.Config.Model(row.GetModel())
	version := snap.Config.Version(model.GetVersion())
	if model == nil || version == nil {
		return nil
	}
	return &apiv1.SlotSpec{
		Model:       row.GetModel(),
		Slot:        row.GetSlot(),
		Generation:  row.GetGeneration(),
		Epoch:       row.GetEpoch(),
		Version:     version.GetName(),
		Checkpoint:  version.GetCheckpoint(),
		MemoryMib:   version.GetMemoryMib(),
		KeepAliveMs: model.GetKeepAliveMs(),
	}
}

package planner

import (
	"slices"
	"strings"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/ledger"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// Report describes the engine. The caller fills in what concerns the process.
func (p *Planner) Report(now time.Time) *apiv1.LoadReport {
	report := &apiv1.LoadReport{
		Host:              p.opts.Host,
		BootId:            p.gate.BootID(),
		ConfigRevision:    p.gate.ConfigRevision(),
		TableRevision:     p.heldRevision(),
		MemoryTotalMib:    p.ledger.TotalMiB(),
		MemoryReservedMib: p.ledger.ReservedMiB(),
		Cached:            p.cachedReport(),
	}
	for _, spec := range p.gate.Specs() {
		report.Replicas = append(report.Replicas, p.slotReport(now, spec))
	}
	for _, r := range p.sorted() {
		if r.spec == nil && p.state(r) != ledger.Absent {
			report.Replicas = append(report.Replicas, p.heldReport(now, r))
		}
	}
	return report
}

// heldRevision is the table revision of the slots that are held. After a pause
// none are: 0 makes the routers hand them over again.
func (p *Planner) heldRevision() uint64 {
	if !p.gate.Open() {
		return 0
	}
	return p.gate.TableRevision()
}

func (p *Planner) slotReport(now time.Time, spec *apiv1.SlotSpec) *apiv1.ReplicaReport {
	r := p.replicas[spec.GetModel()]
	if r == nil {
		return &apiv1.ReplicaReport{
			Model: spec.GetModel(), Slot: spec.GetSlot(), Generation: spec.GetGeneration(),
			State: apiv1.ReplicaState_REPLICA_STATE_COLD,
		}
	}
	report := p.heldReport(now, r)
	report.Slot = spec.GetSlot()
	report.Generation = spec.GetGeneration()
	return report
}

func (p *Planner) heldReport(now time.Time, r *replica) *apiv1.ReplicaReport {
	return &apiv1.ReplicaReport{
		Model:      r.model,
		Slot:       r.heldAs.key.Slot,
		Generation: r.heldAs.generation,
		State:      p.replicaState(r),
		InFlight:   uint32(r.running + len(r.waiting)),
		ReadyInMs:  millis(p.modelReadyIn(now, r)),
		Adapters:   p.loadedAdapters(r),
	}
}

func (p *Planner) replicaState(r *replica) apiv1.ReplicaState {
	switch p.state(r) {
	case ledger.Ready:
		if p.mustGo(r) != "" {
			return apiv1.ReplicaState_REPLICA_STATE_UNLOADING
		}
		return apiv1.ReplicaState_REPLICA_STATE_READY
	case ledger.Loading, ledger.Reserved:
		return apiv1.ReplicaState_REPLICA_STATE_LOADING
	case ledger.Unloading:
		return apiv1.ReplicaState_REPLICA_STATE_UNLOADING
	case ledger.Unsettled:
		if r.doomed || r.spec == nil {
			return apiv1.ReplicaState_REPLICA_STATE_UNLOADING
		}
		return apiv1.ReplicaState_REPLICA_STATE_LOADING
	default:
		return apiv1.ReplicaState_REPLICA_STATE_COLD
	}
}

func (p *Planner) loadedAdapters(r *replica) []string {
	var names []string
	for name := range r.adapters {
		if p.ledger.Get(ledger.Key{Model: r.model, Adapter: name}).State == ledger.Ready {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

var wireTiers = map[external.Tier]apiv1.CheckpointTier{
	external.TierMemory: apiv1.CheckpointTier_CHECKPOINT_TIER_MEMORY,
	external.TierDisk:   apiv1.CheckpointTier_CHECKPOINT_TIER_DISK,
	external.TierRemote: apiv1.CheckpointTier_CHECKPOINT_TIER_REMOTE,
}

func (p *Planner) cachedReport() []*apiv1.CachedCheckpoint {
	var all []*apiv1.CachedCheckpoint
	for checkpoint, tier := range p.cached {
		if tier != external.TierRemote {
			all = append(all, &apiv1.CachedCheckpoint{Checkpoint: checkpoint, Tier: wireTiers[tier]})
		}
	}
	slices.SortFunc(all, func(a, b *apiv1.CachedCheckpoint) int {
		return strings.Compare(a.GetCheckpoint(), b.GetCheckpoint())
	})
	return all
}

package placement

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// sizedState returns a state of two slots for each model, with reports that
// name some cached checkpoints.
func sizedState(models, hosts, domains int) State {
	set := &apiv1.ObjectSet{Placements: []*apiv1.Placement{
		{Name: "p", Pool: "pool", MinReplicas: 2, MaxReplicas: 4, TargetInFlight: 8},
	}}
	s := State{
		Slots: make(map[string][]view.Slot), Hosts: make(map[string]external.Host, hosts),
		HostReads: 1, Now: time.Unix(1_800_000_000, 0), Memory: NewMemory(), Budget: 50, Timing: DefaultTiming(),
	}
	reports := make(map[string]*apiv1.LoadReport, hosts)
	for i := range hosts {
		id := fmt.Sprintf("host-%d", i)
		s.list(external.Host{
			ID: id, Role: external.RoleUpstream, Pool: "pool", State: external.HostLive,
			FailureDomain: fmt.Sprintf("domain-%d", i%domains), MemoryMiB: 80_000,
		})
		reports[id] = &apiv1.LoadReport{Host: id, Cached: []*apiv1.CachedCheckpoint{
			{Checkpoint: fmt.Sprintf("model-%d", i%models), Tier: apiv1.CheckpointTier_CHECKPOINT_TIER_DISK},
		}}
	}
	s.Report = func(host string) *apiv1.LoadReport { return reports[host] }
	for i := range models {
		name := fmt.Sprintf("model-%d", i)
		set.Models = append(set.Models, &apiv1.Model{Name: name, Version: name, Placement: "p"})
		set.Versions = append(set.Versions, &apiv1.Version{Name: name, Model: name, Checkpoint: name, MemoryMib: 14_000})
		for slot := range uint32(2) {
			host := fmt.Sprintf("host-%d", (i*2+int(slot))%hosts)
			row := &apiv1.SlotRow{Model: name, Slot: slot, Host: host, State: apiv1.SlotState_SLOT_STATE_ASSIGNED, Generation: 1}
			s.Slots[name] = append(s.Slots[name], view.Slot{Row: row, Version: 1})
		}
	}
	s.Config = config.NewIndex(1, set)
	return s
}

// BenchmarkDecide measures a round that changes nothing and one that assigns a
// slot, for all models of a deployment in one decider.
func BenchmarkDecide(b *testing.B) {
	sizes := []struct{ models, hosts, domains int }{{45, 16, 4}, {650, 11_000, 27}}
	for _, size := range sizes {
		s := sizedState(size.models, size.hosts, size.domains)
		name := fmt.Sprintf("%dmodels/%dhosts", size.models, size.hosts)
		b.Run(name+"/steady", func(b *testing.B) { benchDecide(b, s, 0) })
		s.Slots["model-0"] = s.Slots["model-0"][:1]
		b.Run(name+"/1order", func(b *testing.B) { benchDecide(b, s, 1) })
	}
}

func benchDecide(b *testing.B, s State, orders int) {
	b.ReportAllocs()
	for b.Loop() {
		s.Memory.Observe(s)
		if got := len(Decide(s)); got != orders {
			b.Fatalf("%d orders, want %d", got, orders)
		}
	}
}

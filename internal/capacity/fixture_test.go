package capacity_test

import (
	"fmt"
	"runtime"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/capacity"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
)

// fullSet is an object set of the size that the design is for. Its checkpoints
// carry hashes, which don't compress, as real ones do.
func fullSet() *apiv1.ObjectSet {
	shape := sample.OffcutGiveaway()
	shape.Models = capacity.Models
	shape.Adapters = capacity.Adapters
	set := shape.Set()
	for _, v := range set.GetVersions() {
		v.Checkpoint += fmt.Sprintf("/%016x", xxhash.Sum64String(v.GetCheckpoint()))
	}
	for _, a := range set.GetAdapters() {
		a.Checkpoint += fmt.Sprintf("/%016x", xxhash.Sum64String(a.GetCheckpoint()))
	}
	return set
}

// fullHosts is a host list of the size that the design is for.
func fullHosts() external.HostListing {
	listing := external.HostListing{Revision: 1}
	add := func(role external.HostRole, n int, name string) {
		for i := range n {
			listing.Hosts = append(listing.Hosts, external.Host{
				ID:              fmt.Sprintf("%s-%05d", name, i),
				Role:            role,
				Address:         fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255),
				OperatorAddress: fmt.Sprintf("10.%d.%d.%d:9001", i>>16, i>>8&255, i&255),
				Pool:            "lm-pool",
				FailureDomain:   fmt.Sprintf("domain-%02d", i%capacity.FailureDomains),
				Region:          fmt.Sprintf("region-%02d", i%capacity.Regions),
				State:           external.HostLive,
				MemoryMiB:       160 << 10,
			})
		}
	}
	add(external.RoleRouter, capacity.Routers, "router")
	add(external.RoleUpstream, capacity.Sidecars, "server")
	return listing
}

const slotsPerModel = 2

// fullSlots are the slot rows of the size that the design is for.
func fullSlots() external.Changes {
	var changes external.Changes
	for m := range capacity.Models {
		for n := range slotsPerModel {
			changes.Revision++
			changes.Rows = append(changes.Rows, slotRow(m, n, changes.Revision))
		}
	}
	return changes
}

func slotRow(model, n int, version int64) external.Row {
	name := fmt.Sprintf("model-%03d", model)
	value, err := proto.Marshal(&apiv1.SlotRow{
		Model: name, Slot: uint32(n), Host: fmt.Sprintf("server-%05d", model*slotsPerModel+n),
		Generation: uint64(version), Epoch: 12, Shard: 3, State: apiv1.SlotState_SLOT_STATE_ASSIGNED,
	})
	if err != nil {
		panic(err)
	}
	return external.Row{Key: external.SlotKey(name, uint32(n)), Value: value, Version: version, TxnID: "0123456789abcdef"}
}

// report is a load report of a host with one replica, four adapters and twenty
// cached checkpoints.
func report() *apiv1.LoadReport {
	r := &apiv1.LoadReport{
		Host: "server-00042", BootId: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Sequence: 100_000, ConfigRevision: 90_000,
		TableRevision: 9_000_000, MemoryTotalMib: 160 << 10, MemoryReservedMib: 40 << 10,
		Replicas: []*apiv1.ReplicaReport{{
			Model: "model-042", Generation: 900, State: apiv1.ReplicaState_REPLICA_STATE_READY, InFlight: 7,
			Adapters: []string{"adapter-0001", "adapter-0002", "adapter-0003", "adapter-0004"},
		}},
	}
	for i := range 20 {
		r.Cached = append(r.Cached, &apiv1.CachedCheckpoint{Checkpoint: fmt.Sprintf("checkpoints/model-%03d/v1", i), Tier: apiv1.CheckpointTier_CHECKPOINT_TIER_DISK})
	}
	return r
}

// heapInUse is the memory of live objects and stacks, in bytes.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

package decider

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/lease"
	"github.com/ragwortdoor/ragwortdoor/internal/placement"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// oneLease holds one lease for ever.
type oneLease struct {
	name  string
	guard lease.Guard
}

func (l oneLease) Guard(name string) (lease.Guard, bool) { return l.guard, name == l.name }

// obedient sidecars release at once.
type obedient struct{}

func (obedient) Release(context.Context, string, *apiv1.ReleaseSlot) (*apiv1.ReleaseReply, error) {
	return &apiv1.ReleaseReply{Released: true}, nil
}

// fleet runs one decider for each shard over one view and one table.
type fleet struct {
	now      time.Time
	table    *tabletest.Table
	view     *view.Store
	deciders []*Decider
	listing  external.HostListing
	// busiest is the greatest number of writes in a second of the last run.
	busiest int
}

func newFleet(models, hosts, domains, shards int) *fleet {
	f := &fleet{now: time.Unix(1_800_000_000, 0), table: tabletest.New(), view: view.NewStore()}
	set := &apiv1.ObjectSet{Placements: []*apiv1.Placement{{Name: "p", Pool: "pool", MinReplicas: 2, MaxReplicas: 2, TargetInFlight: 8}}}
	for i := range models {
		name := fmt.Sprintf("model-%d", i)
		set.Models = append(set.Models, &apiv1.Model{Name: name, Version: name, Placement: "p"})
		set.Versions = append(set.Versions, &apiv1.Version{Name: name, Model: name, Checkpoint: name, MemoryMib: 14_000})
	}
	f.view.SetConfig(config.NewIndex(1, set))
	for i := range hosts {
		f.listing.Hosts = append(f.listing.Hosts, external.Host{
			ID: fmt.Sprintf("host-%d", i), Role: external.RoleUpstream, Pool: "pool", State: external.HostLive,
			FailureDomain: fmt.Sprintf("domain-%d", i%domains), MemoryMiB: 80_000,
		})
	}
	for shard := range uint32(shards) {
		d := New(Options{
			Table: f.table, View: f.view, Leases: oneLease{name: external.ShardLease(shard)}, Shards: uint32(shards),
			Sidecars: obedient{}, Seed: uint64(shard) + 1, Now: func() time.Time { return f.now },
		})
		d.releases.spawn = func(call func()) { call() }
		f.deciders = append(f.deciders, d)
	}
	return f
}

// loseDomain drops the hosts of a failure domain from the list.
func (f *fleet) loseDomain(domain string) {
	var kept []external.Host
	for _, host := range f.listing.Hosts {
		if host.FailureDomain != domain {
			kept = append(kept, host)
		}
	}
	f.listing = external.HostListing{Hosts: kept, Revision: f.listing.Revision + 1}
}

// runUntilPlaced runs rounds until every model has its slots on listed hosts,
// and returns how long that took and the writes.
func (f *fleet) runUntilPlaced(models int, limit time.Duration) (time.Duration, int) {
	start, before := f.now, f.table.Commits()
	f.busiest = 0
	f.view.SetHosts(f.listing)
	second := before
	for f.now.Sub(start) < limit {
		if f.now.UnixMilli()%1000 == 0 {
			f.view.SetHosts(f.listing) // counts as one more read
			second = f.table.Commits()
		}
		for _, d := range f.deciders {
			d.round(context.Background())
		}
		f.busiest = max(f.busiest, f.table.Commits()-second)
		f.now = f.now.Add(DefaultRound)
		if f.placed() == models*2 {
			break
		}
	}
	return f.now.Sub(start), f.table.Commits() - before
}

func (f *fleet) placed() int {
	snapshot := f.view.Load()
	placed := 0
	for _, slots := range snapshot.Slots {
		for _, slot := range slots {
			_, listed := snapshot.ByHost[slot.Row.GetHost()]
			if listed && slot.Row.GetState() == apiv1.SlotState_SLOT_STATE_ASSIGNED {
				placed++
			}
		}
	}
	return placed
}

// A lost failure domain is made up for within the budget of writes.
func TestLostDomainStaysInBudget(t *testing.T) {
	is := is.New(t)
	const models, shards = 60, 4
	f := newFleet(models, 60, 3, shards)
	f.runUntilPlaced(models, time.Minute)
	is.Equal(f.placed(), models*2)
	f.loseDomain("domain-0")
	f.runUntilPlaced(models, time.Minute)
	is.Equal(f.placed(), models*2)
	burst := 2 * DefaultRound.Seconds() * DefaultOrdersPerSecond
	is.True(float64(f.busiest) <= DefaultOrdersPerSecond+burst+shards)
}

// BenchmarkLostDomain plays the letter's size on a clock of its own.
func BenchmarkLostDomain(b *testing.B) {
	const models, hosts, domains, shards = 650, 11_000, 27, 64
	for b.Loop() {
		f := newFleet(models, hosts, domains, shards)
		took, writes := f.runUntilPlaced(models, 5*time.Minute)
		b.ReportMetric(took.Seconds(), "start-s")
		b.ReportMetric(float64(writes), "start-writes")
		b.ReportMetric(float64(f.busiest), "start-peak-writes/s")
		f.loseDomain("domain-0")
		took, writes = f.runUntilPlaced(models, 5*time.Minute)
		b.ReportMetric(took.Seconds(), "lost-s")
		b.ReportMetric(float64(writes), "lost-writes")
		b.ReportMetric(float64(f.busiest), "lost-peak-writes/s")
	}
}

// The loop ends with its context, and its calls of sidecars with it.
func TestRunEnds(t *testing.T) {
	is := is.New(t)
	d := New(Options{
		Table: tabletest.New(), View: view.NewStore(), Leases: oneLease{name: external.ShardLease(0)},
		Sidecars: obedient{}, Round: time.Millisecond, Timing: placement.DefaultTiming(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- d.Run(ctx) }()
	for d.Stats().Rounds < 3 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.NoErr(<-done)
}

// frozen sidecars leave every call open until its context ends.
type frozen struct{ calls chan string }

func (f frozen) Release(ctx context.Context, host string, _ *apiv1.ReleaseSlot) (*apiv1.ReleaseReply, error) {
	f.calls <- host
	<-ctx.Done()
	return nil, ctx.Err()
}

// A host that doesn't answer holds up no round, is silent once its call has
// failed, and then gets one call at a time.
func TestFrozenSidecarHoldsUpNoRound(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	sidecars := frozen{make(chan string, 8)}
	r := newReleaser(sidecars, &counters{}, func() time.Time { return now })
	hosts := map[string]external.Host{"host": {}}
	var releasing []view.Slot
	for slot := range uint32(3) {
		row := &apiv1.SlotRow{Model: "m", Slot: slot, Host: "host", Generation: 1, State: apiv1.SlotState_SLOT_STATE_RELEASING}
		releasing = append(releasing, view.Slot{Row: row})
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.ask(ctx, releasing, hosts)
	r.ask(ctx, releasing, hosts) // each slot is asked for once
	cancel()
	r.wait()
	is.Equal(len(sidecars.calls), 3)
	is.True(r.silentHosts()["host"])
	is.Equal(len(r.confirmedSlots()), 0)

	now = now.Add(time.Minute)
	ctx, cancel = context.WithCancel(context.Background())
	r.ask(ctx, releasing, hosts)
	cancel()
	r.wait()
	is.Equal(len(sidecars.calls), 4)
}

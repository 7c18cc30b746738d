package lease

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/rendezvous"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// fleet runs many managers over one table on one clock.
type fleet struct {
	now      time.Time
	table    *tabletest.Table
	names    []string
	managers []*Manager
	peers    []string
}

func newFleet(routers, shards int) *fleet {
	f := &fleet{now: time.Unix(1_800_000_000, 0), table: tabletest.New()}
	f.names = []string{external.PermitLease}
	for shard := range uint32(shards) {
		f.names = append(f.names, external.ShardLease(shard))
	}
	for i := range routers {
		f.add(fmt.Sprintf("router-%d", i))
	}
	return f
}

func (f *fleet) add(id string) {
	f.peers = append(f.peers, id)
	f.managers = append(f.managers, New(Options{
		Table: f.table, View: view.NewStore(), Holder: id, Names: f.names,
		Now: func() time.Time { return f.now }, Seed: uint64(len(f.peers)),
		Peers: func() []string { return f.peers },
	}))
}

// run steps every manager for a time; they poll the table once a second.
func (f *fleet) run(length time.Duration) {
	tick := timing{ttl: DefaultTTL}.tick()
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(tick) {
		polls := f.now.UnixMilli()%1000 < tick.Milliseconds()
		for _, m := range f.managers {
			if polls {
				changes, _ := f.table.Changes(context.Background(), "live/", m.opts.View.Load().TableRevision)
				if len(changes.Rows) > 0 {
					m.opts.View.ApplyRows(changes)
				}
			}
			m.step(context.Background())
		}
	}
}

// holders returns the holder of each held lease.
func (f *fleet) holders() map[string]string {
	holders := make(map[string]string)
	for _, m := range f.managers {
		for _, name := range f.names {
			if _, ok := m.Guard(name); ok {
				holders[name] = m.opts.Holder
			}
		}
	}
	return holders
}

func (f *fleet) handovers() uint64 {
	sum := uint64(0)
	for _, m := range f.managers {
		sum += m.Stats().Handovers
	}
	return sum
}

func (f *fleet) preferred(name string) string {
	for _, peer := range f.peers {
		if rendezvous.Rank(name, peer, f.peers) == 0 {
			return peer
		}
	}
	return ""
}

// Leases come to the routers that should hold them, also after one more has
// come, and each handover moves one lease once.
func TestLeasesSpreadOverRouters(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 16)
	f.run(10 * time.Second)
	is.Equal(len(f.holders()), len(f.names)) // a lone router holds all
	f.add("router-1")
	f.add("router-2")
	f.run(3 * time.Minute)
	moved := uint64(0)
	for name, holder := range f.holders() {
		is.Equal(holder, f.preferred(name))
		if holder != "router-0" {
			moved++
		}
	}
	is.Equal(f.handovers(), moved)
	f.run(10 * time.Minute)
	is.Equal(f.handovers(), moved) // nothing moves without a cause
}

// A router that is preferred but takes nothing up is offered a lease ever more
// rarely.
func TestHandoversToAnIdleRouterBackOff(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1)
	f.peers = append(f.peers, "idle-1", "idle-2", "idle-3")
	f.run(time.Hour)
	is.True(f.handovers() >= 2)
	is.True(f.handovers() <= 2*(maxHandoverDoublings+4))
}

// Releasing on a planned stop lets others take over at once.
func TestStopHandsOverAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 4)
	f.run(time.Minute)
	f.managers[0].releaseAll(context.Background())
	f.managers = f.managers[1:]
	f.peers = f.peers[1:]
	f.run(2 * time.Second)
	is.Equal(len(f.holders()), len(f.names))
}

// Run releases what it holds when its context ends.
func TestRunReleasesAtTheEnd(t *testing.T) {
	is := is.New(t)
	table := tabletest.New()
	m := New(Options{Table: table, View: view.NewStore(), Holder: "router", Names: []string{"a"}, TTL: 200 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- m.Run(ctx) }()
	for held := false; !held; {
		_, held = m.Guard("a")
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.NoErr(<-done)
	_, held := m.Guard("a")
	is.True(!held)
	changes, err := table.Changes(context.Background(), external.LeasePrefix, 0)
	is.NoErr(err)
	f := view.NewStore()
	f.ApplyRows(changes)
	is.Equal(f.Load().Leases["a"].Row.GetHolder(), "")
}

// BenchmarkFleet plays the letter's size on a clock of its own: 390 routers, 64
// shards and the permit lease.
func BenchmarkFleet(b *testing.B) {
	const routers, shards, lost = 390, 64, 15
	for b.Loop() {
		f := newFleet(routers, shards)
		f.run(10 * time.Second)
		b.ReportMetric(float64(f.table.Commits())/10, "start-commits/s")
		f.run(2 * time.Minute)
		before := f.table.Commits()
		f.run(time.Minute)
		b.ReportMetric(float64(f.table.Commits()-before)/60, "steady-commits/s")
		f.table.SetFault(tabletest.Down)
		before = f.table.Commits()
		f.run(time.Minute)
		b.ReportMetric(float64(f.table.Commits()-before)/60, "outage-commits/s")
		f.table.SetFault(tabletest.None)
		before = f.table.Commits()
		f.run(10 * time.Second)
		b.ReportMetric(float64(f.table.Commits()-before)/10, "after-commits/s")
		f.run(time.Minute)
		f.managers = f.managers[lost:] // they die without a release
		before = f.table.Commits()
		start := f.now
		for len(f.holders()) < len(f.names) || f.now.Equal(start) {
			f.run(time.Second)
		}
		took := f.now.Sub(start).Seconds()
		b.ReportMetric(took, "takeover-s")
		b.ReportMetric(float64(f.table.Commits()-before)/took, "takeover-commits/s")
	}
}

package view

import (
	"context"
	"errors"
	"flag"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

func slotRow(model string, slot uint32, generation uint64, version int64) external.Row {
	value, err := proto.Marshal(&apiv1.SlotRow{
		Model: model, Slot: slot, Generation: generation, Host: "h",
		State: apiv1.SlotState_SLOT_STATE_ASSIGNED,
	})
	if err != nil {
		panic(err)
	}
	return external.Row{Key: external.SlotKey(model, slot), Value: value, Version: version}
}

// Rows that arrive late or twice never bring an older slot back, and a router
// that takes over another's rows ends with the same slots.
func TestSnapshotHoldsLatestRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore()
		latest := map[string]int64{}
		var seen []external.Row
		version := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				version++
				row := slotRow(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model"), rapid.Uint32Range(0, 3).Draw(t, "slot"), uint64(version), version)
				seen = append(seen, row)
				latest[row.Key] = version
				store.ApplyRows(external.Changes{Rows: []external.Row{row}, Revision: version})
			},
			"repeat": func(t *rapid.T) {
				if len(seen) == 0 {
					t.Skip("no rows")
				}
				row := rapid.SampledFrom(seen).Draw(t, "row")
				store.ApplyRows(external.Changes{Rows: []external.Row{row}, Revision: row.Version})
			},
			"take over": func(t *rapid.T) {
				changes, err := store.Load().Rows()
				if err != nil {
					t.Fatal(err)
				}
				store = NewStore()
				store.ApplyRows(changes)
			},
			"": func(t *rapid.T) {
				snap := store.Load()
				held := 0
				for _, slots := range snap.Slots {
					for _, slot := range slots {
						held++
						key := external.SlotKey(slot.Row.GetModel(), slot.Row.GetSlot())
						if slot.Version != latest[key] {
							t.Fatalf("%s has version %d, the latest is %d", key, slot.Version, latest[key])
						}
					}
				}
				if held != len(latest) || held != len(snap.SlotsOn("h")) {
					t.Fatalf("%d slots held, %d on the host, %d written", held, len(snap.SlotsOn("h")), len(latest))
				}
				if snap.TableRevision != version || snap.SlotsRevision != version {
					t.Fatalf("revisions %d and %d, want %d", snap.TableRevision, snap.SlotsRevision, version)
				}
			},
		})
	})
}

func TestConfigNeverReverts(t *testing.T) {
	is := is.New(t)
	store := NewStore()
	is.True(store.SetConfig(config.NewIndex(2, &apiv1.ObjectSet{})))
	is.True(!store.SetConfig(config.NewIndex(1, &apiv1.ObjectSet{})))
	is.True(!store.SetConfig(config.NewIndex(2, &apiv1.ObjectSet{})))
	is.Equal(store.Load().Config.Revision, uint64(2))
}

func drainRow(t *testing.T, draining bool, version int64) external.Row {
	t.Helper()
	value, err := proto.Marshal(&apiv1.DrainRow{Host: "h", Draining: draining})
	if err != nil {
		t.Fatal(err)
	}
	return external.Row{Key: external.DrainKey("h"), Value: value, Version: version}
}

// A router that takes over a peer's rows knows its drains, and an older peer
// does not bring a drain back that was taken back.
func TestDrainsAreTakenOver(t *testing.T) {
	is := is.New(t)
	peer := NewStore()
	peer.ApplyRows(external.Changes{Rows: []external.Row{drainRow(t, true, 1)}, Revision: 1})
	old, err := peer.Load().Rows()
	is.NoErr(err)
	store := NewStore()
	store.ApplyRows(old)
	is.True(store.Load().Drains["h"])

	store.ApplyRows(external.Changes{Rows: []external.Row{drainRow(t, false, 2)}, Revision: 2})
	store.ApplyRows(old)
	is.True(!store.Load().Drains["h"])
}

func TestAdoptedHostsAreNoRead(t *testing.T) {
	is := is.New(t)
	listing := func(revision int64, hosts ...string) external.HostListing {
		l := external.HostListing{Revision: revision, Hosts: []external.Host{}}
		for _, id := range hosts {
			l.Hosts = append(l.Hosts, external.Host{ID: id})
		}
		return l
	}
	store := NewStore()
	store.AdoptHosts(external.HostListing{}) // of a peer that has none
	is.True(store.Load().Hosts.Hosts == nil)
	store.AdoptHosts(listing(3, "a"))
	store.AdoptHosts(listing(4, "b")) // only the first one is taken
	is.Equal(len(store.Load().ByHost), 1)
	is.Equal(store.Load().ByHost["a"].ID, "a")
	is.Equal(store.Load().HostReads, uint64(0))
	store.SetHosts(listing(3, "a"))
	is.Equal(store.Load().HostReads, uint64(1))
}

func TestUnreadableRowIsReportedAndSkipped(t *testing.T) {
	is := is.New(t)
	store := NewStore()
	bad := external.Row{Key: external.SlotKey("a", 0), Value: []byte{0xff}, Version: 1}
	got := store.ApplyRows(external.Changes{Rows: []external.Row{bad, slotRow("a", 1, 1, 2)}, Revision: 2})
	is.Equal(len(got), 1)
	is.Equal(len(store.Load().Slots["a"]), 1)
}

// countingTable counts reads that started and holds each until let go.
type countingTable struct {
	external.TableService
	started atomic.Int64
	gate    chan struct{}
}

func (c *countingTable) Changes(context.Context, string, int64) (external.Changes, error) {
	revision := c.started.Add(1)
	<-c.gate
	return external.Changes{Revision: revision}, nil
}

// Each caller of Refresh sees a read that started after its call, and callers
// that come during a read share the next one.
func TestRefreshReadsAfterTheCall(t *testing.T) {
	is := is.New(t)
	table := &countingTable{gate: make(chan struct{})}
	store := NewStore()
	poller := NewPoller(PollerOptions{Store: store, Table: table, Log: log.New(io.Discard)})
	var wg sync.WaitGroup
	wg.Go(func() { _ = poller.Refresh(context.Background()) })
	for table.started.Load() < 1 {
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(poller.Refresh(ctx), context.Canceled)) // joins the next read and leaves
	seen := make(chan int64, 10)
	for range cap(seen) {
		wg.Go(func() {
			_ = poller.Refresh(context.Background())
			seen <- store.Load().TableRevision
		})
	}
	table.gate <- struct{}{}
	close(table.gate)
	wg.Wait()
	close(seen)
	for revision := range seen {
		is.True(revision >= 2) // the first read began before the call
	}
}

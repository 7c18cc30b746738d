package decider

import (
	"context"
	"fmt"
	"time"

	"pgregory.net/rapid"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/lease"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// hello is what a router knows of a sidecar's boot.
type hello struct {
	boot string
	// read is true once the table was read after the boot was learned.
	read bool
}

// router decides under the guards that it was given, however old they are.
type router struct {
	id      string
	view    *view.Store
	decider *Decider
	guards  map[string]lease.Guard
	hellos  map[string]hello
	busy    bool
}

// Guard implements Leases.
func (r *router) Guard(name string) (lease.Guard, bool) {
	guard, ok := r.guards[name]
	return guard, ok
}

func (m *machine) newRouter(i int) *router {
	r := &router{
		id: fmt.Sprintf("router-%d", i), view: view.NewStore(),
		guards: make(map[string]lease.Guard), hellos: make(map[string]hello),
	}
	r.decider = New(Options{
		Table: m.table, View: r.view, Leases: r, Shards: testShards, Sidecars: m, Seed: uint64(i + 1),
		Now: func() time.Time { return m.now },
		Commit: func(ctx context.Context, table external.TableService, txn external.Txn) (external.TxnResult, error) {
			m.sent[txn.ID] = sentTxn{r.view.Load().Config, map[string]lease.Guard{}}
			for name, guard := range r.guards {
				m.sent[txn.ID].guards[name] = guard
			}
			m.pause()
			defer m.pause()
			m.faultOnce()
			defer m.table.SetFault(m.fault)
			return table.Commit(ctx, txn)
		},
	})
	r.decider.releases.spawn = func(f func()) { f() }
	return r
}

func (m *machine) drawRouter() *router { return rapid.SampledFrom(m.routers).Draw(m.t, "router") }

func (m *machine) poll(r *router) {
	if !m.listDown {
		r.view.SetHosts(m.readList())
	}
	r.view.SetConfig(m.configs[len(m.configs)-1])
	changes, err := m.table.Changes(context.Background(), "live/", r.view.Load().TableRevision)
	if err != nil {
		return
	}
	r.view.ApplyRows(changes)
	for host, h := range r.hellos {
		r.hellos[host] = hello{boot: h.boot, read: true}
	}
}

func (m *machine) round(r *router) {
	if r.busy {
		return
	}
	r.busy = true
	r.decider.round(context.Background())
	r.busy = false
}

// takeover gives a shard's lease to a router. The former holder keeps its guard,
// as a paused process would.
func (m *machine) takeover() {
	r := m.drawRouter()
	name := external.ShardLease(uint32(rapid.IntRange(0, testShards-1).Draw(m.t, "shard")))
	m.give(r, name)
}

func (m *machine) give(r *router, name string) {
	row, err := m.table.Get(context.Background(), external.EpochKey(name))
	if err != nil {
		return
	}
	check := external.Check{Key: row.Key, Version: row.Version}
	result, err := m.table.Commit(context.Background(), external.Txn{Checks: []external.Check{check}, Puts: []external.Put{{Key: row.Key}}})
	if err != nil {
		return
	}
	check.Version = result.Version
	r.guards[name] = lease.Guard{Epoch: m.epochs[name], Check: check}
}

// giveAll shares the shards among the routers.
func (m *machine) giveAll() {
	for shard := range uint32(testShards) {
		m.give(m.routers[shard%2], external.ShardLease(shard))
	}
}

// greet learns a sidecar's boot, push hands it the slots of the view.
func (m *machine) greet(r *router, s *sidecar) {
	_, listed := r.view.Load().ByHost[s.host]
	if listed && s.answers() && r.hellos[s.host].boot != s.gate.BootID() {
		r.hellos[s.host] = hello{boot: s.gate.BootID()}
	}
}

func (m *machine) push(r *router, s *sidecar) {
	h := r.hellos[s.host]
	if !h.read {
		return
	}
	snapshot := r.view.Load()
	list := &apiv1.AssignSlots{
		BootId:         h.boot,
		ConfigRevision: snapshot.Config.Revision,
		TableRevision:  uint64(snapshot.TableRevision),
	}
	for _, slot := range snapshot.SlotsOn(s.host) {
		list.Slots = append(list.Slots, &apiv1.SlotSpec{
			Model: slot.Row.GetModel(), Slot: slot.Row.GetSlot(), Generation: slot.Row.GetGeneration(),
		})
	}
	m.pushes = append(m.pushes, push{s, list})
}

// deliver lets one push arrive; pushes overtake each other.
func (m *machine) deliver() {
	if len(m.pushes) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.pushes)-1).Draw(m.t, "push")
	p := m.pushes[i]
	m.pushes = append(m.pushes[:i], m.pushes[i+1:]...)
	p.to.assign(p.list)
}

// contact is a router's whole exchange with one sidecar.
func (m *machine) contact() {
	r, s := m.drawRouter(), m.drawSidecar()
	m.greet(r, s)
	m.poll(r)
	m.push(r, s)
	m.deliver()
	s.load()
}

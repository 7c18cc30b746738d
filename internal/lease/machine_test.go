package lease

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

const testTTL = 4 * time.Second

var leaseNames = []string{"shard-0", "shard-1", external.PermitLease}

// node is one router of the machine.
type node struct {
	manager *Manager
	view    *view.Store
	id      string
	// busy is true inside a step, so that a pause in it can step the others.
	busy bool
}

// decision is a transaction made ready under a guard and sent some time later.
type decision struct {
	// process is the id prefix of the process that made it.
	process string
	name    string
	guard   Guard
}

// machine runs several managers over one table. The oracle is told of each
// transaction that took effect, in order.
type machine struct {
	t     *rapid.T
	now   time.Time
	table *tabletest.Table
	nodes []*node
	ready []decision
	sent  map[string]decision
	// calm is true while there are no pauses.
	calm bool

	// epochs and takers are the oracle's state by lease: the epoch in force and
	// the process that took it.
	epochs map[string]uint64
	takers map[string]string
	boots  uint64
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		t:      t,
		now:    time.Unix(1_800_000_000, 0),
		table:  tabletest.New(),
		sent:   make(map[string]decision),
		epochs: make(map[string]uint64),
		takers: make(map[string]string),
	}
	m.table.OnApplied(m.applied)
	for i := range 3 {
		m.nodes = append(m.nodes, &node{id: fmt.Sprintf("router-%d", i)})
		m.boot(m.nodes[i])
	}
	return m
}

// boot starts a node's process anew: all it knew is lost.
func (m *machine) boot(n *node) {
	m.boots++
	n.view = view.NewStore()
	n.manager = New(Options{
		Table: m.table, View: n.view, Holder: n.id, Names: leaseNames, TTL: testTTL,
		Now: func() time.Time { return m.now }, Seed: m.boots, Peers: m.peers,
		Commit: func(ctx context.Context, table external.TableService, txn external.Txn) (external.TxnResult, error) {
			m.pause("before commit")
			defer m.pause("after commit")
			return table.Commit(ctx, txn)
		},
	})
}

func (m *machine) peers() []string {
	var ids []string
	for _, n := range m.nodes {
		ids = append(ids, n.id)
	}
	return ids
}

// pause freezes the running process for a while in which the others go on.
func (m *machine) pause(label string) {
	if m.calm || rapid.IntRange(0, 9).Draw(m.t, label) != 0 {
		return
	}
	for range rapid.IntRange(1, 3).Draw(m.t, "rounds") {
		m.advance()
		for _, n := range m.nodes {
			m.poll(n)
			m.step(n)
		}
	}
}

func (m *machine) advance() {
	ms := rapid.IntRange(1, int(2*testTTL/time.Millisecond)).Draw(m.t, "ms")
	m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
}

func (m *machine) poll(n *node) {
	changes, err := m.table.Changes(context.Background(), "live/", n.view.Load().TableRevision)
	if err == nil {
		n.view.ApplyRows(changes)
	}
}

func (m *machine) step(n *node) {
	if n.busy {
		return
	}
	n.busy = true
	n.manager.step(context.Background())
	n.busy = false
}

// applied is the oracle.
func (m *machine) applied(txn external.Txn, _ int64) {
	for _, put := range txn.Puts {
		name, isEpoch := strings.CutPrefix(put.Key, external.EpochPrefix)
		if !isEpoch {
			continue
		}
		row := &apiv1.LeaseRow{}
		if err := proto.Unmarshal(put.Value, row); err != nil {
			m.t.Fatal(err)
		}
		if row.GetEpoch() != m.epochs[name]+1 {
			m.t.Fatalf("%s: epoch %d follows %d", name, row.GetEpoch(), m.epochs[name])
		}
		m.epochs[name] = row.GetEpoch()
		m.takers[name] = txn.ID[:strings.LastIndex(txn.ID, "-")+1]
	}
	d, isDecision := m.sent[txn.ID]
	if !isDecision {
		return
	}
	if d.guard.Epoch != m.epochs[d.name] {
		m.t.Fatalf("%s: decision of epoch %d landed in epoch %d", d.name, d.guard.Epoch, m.epochs[d.name])
	}
	if !strings.HasPrefix(txn.ID, "decision-"+m.takers[d.name]) {
		m.t.Fatalf("%s: decision %s landed, but %s took epoch %d", d.name, txn.ID, m.takers[d.name], d.guard.Epoch)
	}
}

func (m *machine) drawNode() *node { return rapid.SampledFrom(m.nodes).Draw(m.t, "node") }

// prepare makes a decision ready while the guard holds.
func (m *machine) prepare() {
	n := m.drawNode()
	name := rapid.SampledFrom(leaseNames).Draw(m.t, "lease")
	if guard, ok := n.manager.Guard(name); ok {
		m.ready = append(m.ready, decision{n.manager.ids.prefix, name, guard})
	}
}

// send commits a decision, however long ago it was made ready.
func (m *machine) send() {
	if len(m.ready) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.ready)-1).Draw(m.t, "decision")
	d := m.ready[i]
	m.ready = append(m.ready[:i], m.ready[i+1:]...)
	txn := external.Txn{
		ID:     fmt.Sprintf("decision-%s%d", d.process, len(m.sent)),
		Checks: []external.Check{d.guard.Check},
		Puts:   []external.Put{{Key: "live/decided/" + d.name}},
	}
	m.sent[txn.ID] = d
	_, _ = m.table.Commit(context.Background(), txn)
}

// stop releases a node's leases; the answer may be lost.
func (m *machine) stop() {
	m.table.SetFault(rapid.SampledFrom([]tabletest.Fault{tabletest.None, tabletest.LostAnswer}).Draw(m.t, "stop fault"))
	n := m.drawNode()
	n.busy = true // one goroutine runs a manager's steps and its stop
	n.manager.releaseAll(context.Background())
	n.busy = false
	m.table.SetFault(tabletest.None)
}

// check is the invariant that no two processes rely on one lease.
func (m *machine) check() {
	for _, name := range leaseNames {
		holders := 0
		for _, n := range m.nodes {
			if _, ok := n.manager.Guard(name); ok {
				holders++
			}
		}
		if holders > 1 {
			m.t.Fatalf("%s: %d holders", name, holders)
		}
	}
}

// settle ends all faults and demands that every lease is held soon.
func (m *machine) settle() {
	m.table.SetFault(tabletest.None)
	m.table.Land(m.shuffle)
	m.calm = true
	defer func() { m.calm = false }()
	for range 200 {
		m.now = m.now.Add(testTTL / 20)
		for _, n := range m.nodes {
			m.poll(n)
			m.step(n)
		}
	}
	for _, name := range leaseNames {
		held := false
		for _, n := range m.nodes {
			_, ok := n.manager.Guard(name)
			held = held || ok
		}
		if !held {
			m.t.Fatalf("%s: no holder after the faults", name)
		}
	}
}

func (m *machine) shuffle(n int) []int {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	return rapid.Permutation(order).Draw(m.t, "order")
}

func TestLeaseMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		faults := []tabletest.Fault{tabletest.None, tabletest.None, tabletest.Down, tabletest.LostAnswer, tabletest.Delayed}
		act := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) { m.t = t; f() }
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": act(m.advance),
			"poll":    act(func() { m.poll(m.drawNode()) }),
			"step":    act(func() { m.step(m.drawNode()) }),
			"run":     act(func() { n := m.drawNode(); m.poll(n); m.step(n) }),
			"prepare": act(m.prepare),
			"send":    act(m.send),
			"land":    act(func() { m.table.Land(m.shuffle) }),
			"fault":   act(func() { m.table.SetFault(rapid.SampledFrom(faults).Draw(m.t, "fault")) }),
			"reboot":  act(func() { m.boot(m.drawNode()) }),
			"stop":    act(m.stop),
			"settle": act(func() {
				if rapid.IntRange(0, 9).Draw(m.t, "settle") == 0 {
					m.settle()
				}
			}),
			"": act(m.check),
		})
		m.settle()
	})
}

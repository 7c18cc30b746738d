package decider

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/slots"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/lease"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
)

const testShards = 2

var (
	modelNames = []string{"model-a", "model-b", "model-c"}
	hostNames  = []string{"a1", "a2", "b1", "b2", "c1"}
)

// sentTxn is what a router went by when it sent a transaction.
type sentTxn struct {
	config *config.Index
	guards map[string]lease.Guard
}

// machine is the state machine of deciders and sidecars over one table. The
// oracle is told of each transaction that took effect, in order.
type machine struct {
	t        *rapid.T
	now      time.Time
	table    *tabletest.Table
	routers  []*router
	sidecars map[string]*sidecar
	lists    []listed
	configs  []*config.Index
	pushes   []push
	calm     bool
	// fault is Down during an outage of the table.
	fault tabletest.Fault
	// listDown is true while the host list can't be read.
	listDown bool

	// rows and epochs are the oracle's copy of the table.
	rows   map[slots.Key]*apiv1.SlotRow
	epochs map[string]uint64
	sent   map[string]sentTxn
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		t: t, now: time.Unix(1_800_000_000, 0), table: tabletest.New(),
		sidecars: make(map[string]*sidecar),
		rows:     make(map[slots.Key]*apiv1.SlotRow), epochs: make(map[string]uint64),
		sent: make(map[string]sentTxn),
	}
	m.table.OnApplied(m.applied)
	for _, host := range hostNames {
		s := &sidecar{host: host, alive: true, loaded: make(map[slots.Key]uint64)}
		s.reset()
		m.sidecars[host] = s
	}
	m.relist()
	m.publish()
	for i := range 2 {
		m.routers = append(m.routers, m.newRouter(i))
	}
	m.giveAll()
	return m
}

// pause freezes the running router for a while in which the others go on.
func (m *machine) pause() {
	if m.calm || rapid.IntRange(0, 14).Draw(m.t, "pause") != 0 {
		return
	}
	m.advance()
	m.takeover()
	for _, r := range m.routers {
		m.poll(r)
		m.round(r)
	}
}

func (m *machine) advance() {
	most := rapid.SampledFrom([]int{300, 1200, 4000}).Draw(m.t, "most")
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, most).Draw(m.t, "ms")) * time.Millisecond)
}

// faultOnce lets the next commit lose its answer, unless the table is down.
func (m *machine) faultOnce() {
	if m.calm || m.fault != tabletest.None {
		return
	}
	faults := []tabletest.Fault{tabletest.None, tabletest.None, tabletest.None, tabletest.LostAnswer, tabletest.Delayed}
	m.table.SetFault(rapid.SampledFrom(faults).Draw(m.t, "commit fault"))
}

// outage starts or ends an outage of the table.
func (m *machine) outage() {
	if m.fault == tabletest.None && rapid.IntRange(0, 3).Draw(m.t, "outage") != 0 {
		return
	}
	m.fault = tabletest.Down - m.fault
	m.table.SetFault(m.fault)
}

// publish puts a random configuration in force; routers see it when they poll.
func (m *machine) publish() {
	set := &apiv1.ObjectSet{}
	for _, name := range modelNames {
		if len(m.configs) > 0 && rapid.IntRange(0, 4).Draw(m.t, "drop "+name) == 0 {
			continue
		}
		least := rapid.IntRange(1, 2).Draw(m.t, "min")
		most := rapid.IntRange(least, 3).Draw(m.t, "max")
		set.Models = append(set.Models, &apiv1.Model{Name: name, Version: name, Placement: name})
		set.Versions = append(set.Versions, &apiv1.Version{Name: name, Model: name, Checkpoint: name, MemoryMib: 300})
		set.Placements = append(set.Placements, &apiv1.Placement{
			Name: name, Pool: "pool", MinReplicas: uint32(least), MaxReplicas: uint32(most), TargetInFlight: 4,
		})
	}
	m.configs = append(m.configs, config.NewIndex(uint64(len(m.configs)+1), set))
}

// shuffle draws the order in which delayed commits land.
func (m *machine) shuffle(n int) []int {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	return rapid.Permutation(order).Draw(m.t, "order")
}

func TestDeciderMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		act := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) { m.t = t; f() }
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance":  act(m.advance),
			"poll":     act(func() { m.poll(m.drawRouter()) }),
			"round":    act(func() { m.round(m.drawRouter()) }),
			"run":      act(func() { m.decideFor(m.drawRouter()) }),
			"takeover": act(m.takeover),
			"contact":  act(m.contact),
			"greet":    act(func() { m.greet(m.drawRouter(), m.drawSidecar()) }),
			"push":     act(func() { m.push(m.drawRouter(), m.drawSidecar()) }),
			"deliver":  act(m.deliver),
			"load":     act(func() { m.drawSidecar().load() }),
			"kill":     act(func() { m.kill(m.drawSidecar()) }),
			"revive":   act(func() { m.revive(m.drawSidecar()) }),
			"flap":     act(m.flap),
			"restart":  act(m.restart),
			"freeze":   act(m.freeze),
			"drain":    act(m.drain),
			"publish":  act(m.publish),
			"outage":   act(m.outage),
			"listDown": act(func() { m.listDown = !m.listDown }),
			"land":     act(func() { m.table.Land(m.shuffle) }),
			"":         act(m.check),
		})
		m.settle()
	})
}

// applied is the oracle of the table: which writes may take effect.
func (m *machine) applied(txn external.Txn, _ int64) {
	for _, put := range txn.Puts {
		if name, ok := strings.CutPrefix(put.Key, external.EpochPrefix); ok {
			m.epochs[name]++
			continue
		}
		next := &apiv1.SlotRow{}
		if err := proto.Unmarshal(put.Value, next); err != nil {
			m.t.Fatal(err)
		}
		m.checkWrite(m.sent[txn.ID], next)
		m.rows[slots.Key{Model: next.GetModel(), Slot: next.GetSlot()}] = next
		m.checkRows(m.sent[txn.ID], next)
	}
}

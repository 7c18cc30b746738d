package decider

import (
	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/slots"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/placement"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
)

const (
	assigned  = apiv1.SlotState_SLOT_STATE_ASSIGNED
	releasing = apiv1.SlotState_SLOT_STATE_RELEASING
	free      = apiv1.SlotState_SLOT_STATE_FREE
)

// checkWrite demands that a row changes only as its life allows, under the
// epoch in force.
func (m *machine) checkWrite(sent sentTxn, next *apiv1.SlotRow) {
	name := external.ShardLease(placement.ShardOf(next.GetModel(), testShards))
	if sent.guards[name].Epoch != m.epochs[name] {
		m.t.Fatalf("%v written under epoch %d in epoch %d", next, sent.guards[name].Epoch, m.epochs[name])
	}
	old := m.rows[slots.Key{Model: next.GetModel(), Slot: next.GetSlot()}]
	grown := next.GetGeneration() == old.GetGeneration()+1
	same := next.GetGeneration() == old.GetGeneration()
	sameHost := next.GetHost() == old.GetHost()
	legal := false
	switch next.GetState() {
	case assigned:
		legal = grown && (old == nil || old.GetState() == free)
	case releasing:
		legal = same && sameHost && old.GetState() == assigned
	case free:
		legal = same && old.GetState() == releasing
	}
	if !legal || next.GetEpoch() < old.GetEpoch() {
		m.t.Fatalf("row %v follows %v", next, old)
	}
}

// checkRows demands that a new assignment keeps within max_replicas of the
// configuration that its decider had, one slot of a model for each host.
func (m *machine) checkRows(sent sentTxn, next *apiv1.SlotRow) {
	if next.GetState() != assigned {
		return
	}
	used, sameHost := 0, 0
	for key, row := range m.rows {
		if key.Model != next.GetModel() || row.GetState() == free {
			continue
		}
		used++
		if row.GetHost() == next.GetHost() {
			sameHost++
		}
	}
	most := int(sent.config.Placement(next.GetModel()).GetMaxReplicas())
	if used > most || sameHost > 1 {
		m.t.Fatalf("%v: %d slots in use, max_replicas %d, %d on its host", next, used, most, sameHost)
	}
}

// check demands that whatever is loaded is decided: a row in use names this
// host and this generation. So no more replicas are loaded than decided.
func (m *machine) check() {
	for _, host := range hostNames {
		for key, generation := range m.sidecars[host].loaded {
			row := m.rows[key]
			if row.GetState() == free || row.GetHost() != host || row.GetGeneration() != generation {
				m.t.Fatalf("%s has generation %d of %v loaded; the row is %v", host, generation, key, row)
			}
		}
	}
}

// settleRounds is how many rounds bring everything in order after the faults.
const settleRounds = 150

// settle ends the faults, but leaves killed hosts dead where enough are left,
// and demands that every model has its slots on live hosts.
func (m *machine) settle() {
	m.calm, m.listDown, m.fault = true, false, tabletest.None
	m.table.SetFault(tabletest.None)
	m.table.Land(m.shuffle)
	live := 0
	for i, host := range hostNames {
		s := m.sidecars[host]
		s.frozen, s.draining = false, false
		if !s.alive && live+len(hostNames)-i <= 3 {
			s.alive = true
			s.reset()
		}
		if s.alive {
			live++
		}
	}
	m.relist()
	m.giveAll()
	for range settleRounds {
		m.now = m.now.Add(DefaultRound)
		for _, r := range m.routers {
			m.poll(r)
			m.round(r)
			m.check()
		}
	}
	m.checkSettled()
}

func (m *machine) checkSettled() {
	now := m.configs[len(m.configs)-1]
	usable, used := make(map[string]int), make(map[string]int)
	for key, row := range m.rows {
		if row.GetState() != free {
			used[key.Model]++
		}
		if row.GetState() == assigned && m.sidecars[row.GetHost()].alive {
			usable[key.Model]++
		}
	}
	for _, model := range modelNames {
		p := now.Placement(model)
		if usable[model] < int(p.GetMinReplicas()) || used[model] > int(p.GetMaxReplicas()) {
			m.t.Fatalf("%s: %d usable of %d slots, want %v", model, usable[model], used[model], p)
		}
	}
}

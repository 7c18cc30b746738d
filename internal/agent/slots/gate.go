// Package slots decides which slots a sidecar may load and serve. It holds the
// last accepted list of slots, and the generations that were released. The
// package does no I/O and has no clock.
package slots

import (
	"fmt"
	"slices"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Key names a slot.
type Key struct {
	Model string
	Slot  uint32
}

// Verdict is the answer to a request that names a slot.
type Verdict int

// Verdicts.
const (
	// Admitted means that the slot is assigned with the named generation.
	Admitted Verdict = iota + 1
	// Stale means that this gate has no list, or an older one than the request.
	Stale
	// NotAssigned means that the slot is not this host's.
	NotAssigned
)

// Named is a slot as a request names it.
type Named struct {
	Key        Key
	Generation uint64
	// ConfigRevision and TableRevision are those of the router's picture.
	ConfigRevision uint64
	TableRevision  uint64
}

// RejectedError says why a list of slots was not accepted.
type RejectedError struct {
	Reason string
}

// Error implements error.
func (e *RejectedError) Error() string { return "slots rejected: " + e.Reason }

// Gate holds the accepted slots of one boot id. It is not safe for concurrent
// use.
type Gate struct {
	bootID         string
	open           bool
	configRevision uint64
	tableRevision  uint64
	slots          map[Key]*apiv1.SlotSpec
	// released holds the highest released generation of each slot. It outlives
	// Restart.
	released map[Key]uint64
}

// New makes a gate that admits nothing until a list is accepted.
func New(bootID string) *Gate {
	return &Gate{
		bootID:   bootID,
		slots:    make(map[Key]*apiv1.SlotSpec),
		released: make(map[Key]uint64),
	}
}

// BootID is what a router must have learned before it read the slots.
func (g *Gate) BootID() string { return g.bootID }

// Open reports whether a list was accepted under the present boot id.
func (g *Gate) Open() bool { return g.open }

// ConfigRevision is that of the last accepted list.
func (g *Gate) ConfigRevision() uint64 { return g.configRevision }

// TableRevision is that of the last accepted list.
func (g *Gate) TableRevision() uint64 { return g.tableRevision }

// Assign replaces the whole list, or returns a *RejectedError.
func (g *Gate) Assign(list *apiv1.AssignSlots) error {
	switch {
	case list.GetBootId() != g.bootID:
		return rejected("boot id is %q, not %q: read the slots again after hello", g.bootID, list.GetBootId())
	case list.GetTableRevision() < g.tableRevision:
		return rejected("table revision %d is lower than %d: read the slots again", list.GetTableRevision(), g.tableRevision)
	case list.GetConfigRevision() < g.configRevision:
		return rejected("configuration revision %d is lower than %d: read the head again", list.GetConfigRevision(), g.configRevision)
	}
	g.open = true
	g.tableRevision = list.GetTableRevision()
	g.configRevision = list.GetConfigRevision()
	g.slots = make(map[Key]*apiv1.SlotSpec, len(list.GetSlots()))
	for _, spec := range list.GetSlots() {
		g.add(spec)
	}
	return nil
}

// add keeps the highest generation of a slot that was not released.
func (g *Gate) add(spec *apiv1.SlotSpec) {
	key := KeyOf(spec)
	if g.Released(key, spec.GetGeneration()) {
		return
	}
	if old := g.slots[key]; old != nil && old.GetGeneration() > spec.GetGeneration() {
		return
	}
	g.slots[key] = spec
}

func rejected(format string, args ...any) error {
	return &RejectedError{Reason: fmt.Sprintf(format, args...)}
}

// KeyOf returns the slot that spec describes.
func KeyOf(spec *apiv1.SlotSpec) Key {
	return Key{Model: spec.GetModel(), Slot: spec.GetSlot()}
}

// Release bars a generation of a slot, and all lower ones, for good.
func (g *Gate) Release(key Key, generation uint64) {
	if old, ok := g.released[key]; !ok || old < generation {
		g.released[key] = generation
	}
	if spec := g.slots[key]; spec != nil && spec.GetGeneration() <= generation {
		delete(g.slots, key)
	}
}

// Released reports whether the generation of the slot was released.
func (g *Gate) Released(key Key, generation uint64) bool {
	highest, ok := g.released[key]
	return ok && generation <= highest
}

// Restart drops the list and demands one that was read after a router learned
// the new boot id. Revisions stay the lowest that are accepted.
func (g *Gate) Restart(bootID string) {
	g.bootID = bootID
	g.open = false
	g.slots = make(map[Key]*apiv1.SlotSpec)
}

// Check answers a request that names a slot.
func (g *Gate) Check(named Named) (*apiv1.SlotSpec, Verdict) {
	if !g.open {
		return nil, Stale
	}
	if spec := g.Spec(named.Key, named.Generation); spec != nil {
		return spec, Admitted
	}
	if g.Released(named.Key, named.Generation) {
		return nil, NotAssigned
	}
	if named.TableRevision > g.tableRevision || named.ConfigRevision > g.configRevision {
		return nil, Stale
	}
	return nil, NotAssigned
}

// Spec returns the slot if it is assigned with this generation, or nil.
func (g *Gate) Spec(key Key, generation uint64) *apiv1.SlotSpec {
	spec := g.slots[key]
	if spec == nil || spec.GetGeneration() != generation {
		return nil
	}
	return spec
}

// Slot returns the assigned slot with this key, or nil.
func (g *Gate) Slot(key Key) *apiv1.SlotSpec { return g.slots[key] }

// ForModel returns the model's slot with the lowest number, or nil.
func (g *Gate) ForModel(model string) *apiv1.SlotSpec {
	var found *apiv1.SlotSpec
	for key, spec := range g.slots {
		if key.Model == model && (found == nil || key.Slot < found.GetSlot()) {
			found = spec
		}
	}
	return found
}

// Specs returns all assigned slots, ordered by model and slot number.
func (g *Gate) Specs() []*apiv1.SlotSpec {
	specs := make([]*apiv1.SlotSpec, 0, len(g.slots))
	for _, spec := range g.slots {
		specs = append(specs, spec)
	}
	slices.SortFunc(specs, compareSpecs)
	return specs
}

func compareSpecs(a, b *apiv1.SlotSpec) int {
	if a.GetModel() != b.GetModel() {
		if a.GetModel() < b.GetModel() {
			return -1
		}
		return 1
	}
	return int(a.GetSlot()) - int(b.GetSlot())
}

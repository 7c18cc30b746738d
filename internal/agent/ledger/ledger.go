// Package ledger accounts for the accelerator memory of one engine. Memory is
// reserved before a load is ordered, and freed only when the engine has
// confirmed the unload or its inventory shows that nothing is left. The package
// does no I/O and has no clock.
package ledger

import (
	"errors"
	"fmt"
	"maps"
	"time"
)

// Key names a holder of accelerator memory: a model, or an adapter on it.
type Key struct {
	Model string
	// Adapter is empty for the model itself.
	Adapter string
}

// State is where a holder is in its life.
type State int

// States of a holder. Absent has no entry in the ledger.
const (
	Absent State = iota
	// Reserved has memory but no order was given yet.
	Reserved
	// Loading has a load order in flight.
	Loading
	// Ready is loaded.
	Ready
	// Unloading has an unload order in flight.
	Unloading
	// Unsettled has no order in flight and an unknown state at the engine.
	Unsettled
)

var stateNames = [...]string{"absent", "reserved", "loading", "ready", "unloading", "unsettled"}

// String names the state.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state %d", int(s))
	}
	return stateNames[s]
}

// Outcome is how an order ended.
type Outcome int

// Outcomes of an order.
const (
	// Done means that the engine confirmed the order.
	Done Outcome = iota + 1
	// NotDone means that the engine certainly did not apply the order.
	NotDone
	// Unknown means that the order may have taken effect, or may do so yet.
	Unknown
)

// Errors of the ledger.
var (
	ErrNoRoom = errors.New("no accelerator memory left: unload an idle model first")
	ErrHeld   = errors.New("memory is already reserved: wait for the present order to end")
	ErrBusy   = errors.New("not in a state that allows the order: wait for the present order to end")
)

// Entry is what one holder has.
type Entry struct {
	MiB   uint32
	State State
	// Version is the checkpoint version of a model; empty for an adapter.
	Version string
	// since is when the outcome became unknown.
	since time.Time
	// changed is the sequence number of the entry's last change.
	changed uint64
	// unloadLost is true while the answer to an unload is missing.
	unloadLost bool
}

// Ledger is the account of one engine. It is not safe for concurrent use.
type Ledger struct {
	totalMiB    uint32
	reservedMiB uint32
	entries     map[Key]Entry
	// dropped holds the sequence number at which a key was freed, until an
	// inventory that was asked for later has arrived.
	dropped  map[Key]uint64
	sequence uint64
}

// New makes an empty ledger without memory; Settle learns the total.
func New() *Ledger {
	return &Ledger{entries: make(map[Key]Entry), dropped: make(map[Key]uint64)}
}

// TotalMiB is the engine's accelerator memory.
func (l *Ledger) TotalMiB() uint32 { return l.totalMiB }

// ReservedMiB is the sum of all reservations.
func (l *Ledger) ReservedMiB() uint32 { return l.reservedMiB }

// FreeMiB is the memory that is not reserved.
func (l *Ledger) FreeMiB() uint32 {
	if l.reservedMiB >= l.totalMiB {
		return 0
	}
	return l.totalMiB - l.reservedMiB
}

// Get returns the entry of key; an absent one has State Absent.
func (l *Ledger) Get(key Key) Entry { return l.entries[key] }

// Entries returns a copy of all entries.
func (l *Ledger) Entries() map[Key]Entry { return maps.Clone(l.entries) }

// Reserve sets memory aside for a load that is to be ordered.
func (l *Ledger) Reserve(key Key, mib uint32, version string) error {
	if l.entries[key].State != Absent {
		return fmt.Errorf("reserve %v: %w", key, ErrHeld)
	}
	if mib > l.FreeMiB() {
		return fmt.Errorf("reserve %d MiB for %v: %w", mib, key, ErrNoRoom)
	}
	l.put(key, Entry{MiB: mib, State: Reserved, Version: version})
	return nil
}

// Cancel gives back a reservation for which no order was given.
func (l *Ledger) Cancel(key Key) {
	if l.entries[key].State == Reserved {
		l.drop(key)
	}
}

// BeginLoad marks the load order of a reserved key as in flight.
func (l *Ledger) BeginLoad(key Key) error { return l.begin(key, Reserved, Loading) }

// BeginUnload marks the unload order of a loaded key as in flight. A model
// can't be unloaded while an order of one of its adapters is open.
func (l *Ledger) BeginUnload(key Key) error {
	if key.Adapter == "" && l.adapterOpen(key.Model) {
		return fmt.Errorf("unload %v: adapter: %w", key, ErrBusy)
	}
	return l.begin(key, Ready, Unloading)
}

func (l *Ledger) begin(key Key, from, to State) error {
	entry := l.entries[key]
	if entry.State != from {
		return fmt.Errorf("%v is %v, not %v: %w", key, entry.State, from, ErrBusy)
	}
	entry.State = to
	l.put(key, entry)
	return nil
}

func (l *Ledger) adapterOpen(model string) bool {
	for key, entry := range l.entries {
		if key.Model == model && key.Adapter != "" && entry.State != Ready {
			return true
		}
	}
	return false
}

// EndLoad records how a load order ended.
func (l *Ledger) EndLoad(key Key, outcome Outcome, now time.Time) {
	l.end(key, Loading, outcome, now, Ready, Absent)
}

// EndUnload records how an unload order ended.
func (l *Ledger) EndUnload(key Key, outcome Outcome, now time.Time) {
	l.end(key, Unloading, outcome, now, Absent, Ready)
}

func (l *Ledger) end(key Key, from State, outcome Outcome, now time.Time, done, notDone State) {
	entry := l.entries[key]
	if entry.State != from {
		return
	}
	switch outcome {
	case Done:
		l.move(key, entry, done)
	case NotDone:
		l.move(key, entry, notDone)
	case Unknown:
		entry.since = now
		entry.unloadLost = from == Unloading
		l.move(key, entry, Unsettled)
	}
}

func (l *Ledger) move(key Key, entry Entry, to State) {
	if to == Absent {
		l.drop(key)
		return
	}
	entry.State = to
	l.put(key, entry)
}

func (l *Ledger) put(key Key, entry Entry) {
	l.sequence++
	entry.changed = l.sequence
	l.reservedMiB += entry.MiB - l.entries[key].MiB
	l.entries[key] = entry
}

// drop frees a key; a model takes its adapters along.
func (l *Ledger) drop(key Key) {
	l.sequence++
	for other, entry := range l.entries {
		if other == key || (key.Adapter == "" && other.Model == key.Model) {
			l.reservedMiB -= entry.MiB
			delete(l.entries, other)
			l.dropped[other] = l.sequence
		}
	}
}

package ledger

import (
	"maps"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// SettleDelay is how long an order whose answer was lost may still reach the
// engine. An inventory that was read earlier can't show that it had no effect.
const SettleDelay = 2 * time.Second

// Mark is the moment before an inventory was read.
type Mark struct {
	at       time.Time
	sequence uint64
}

// At is when the mark was taken.
func (m Mark) At() time.Time { return m.at }

// Mark is taken right before the engine is asked for its inventory.
func (l *Ledger) Mark(now time.Time) Mark { return Mark{at: now, sequence: l.sequence} }

// Settle takes over an inventory that was asked for after mark. Holders with an
// order in flight, or changed since mark, stay as they are, and so do the
// adapters of such a model.
func (l *Ledger) Settle(mark Mark, inv external.Inventory) {
	l.totalMiB = inv.MemoryTotalMiB
	shown := shownEntries(inv, mark)
	for key, seen := range l.settleable(shown, mark) {
		entry, known := l.entries[key]
		switch {
		case seen.State == Absent:
			l.settleAbsent(key, entry, mark)
		case known:
			l.settlePresent(key, entry, seen, mark)
		default:
			l.put(key, seen)
		}
	}
	maps.DeleteFunc(l.dropped, func(_ Key, at uint64) bool { return at <= mark.sequence })
}

func shownEntries(inv external.Inventory, mark Mark) map[Key]Entry {
	shown := make(map[Key]Entry)
	for _, model := range inv.Models {
		key := Key{Model: model.Model}
		shown[key] = shownEntry(model.MemoryMiB, model.Version, model.State, mark)
		for _, adapter := range model.Adapters {
			key.Adapter = adapter.Adapter
			shown[key] = shownEntry(adapter.MemoryMiB, "", adapter.State, mark)
		}
	}
	return shown
}

func shownEntry(mib uint32, version string, state external.ModelState, mark Mark) Entry {
	entry := Entry{MiB: mib, Version: version, State: Ready}
	if state != external.ModelReady {
		entry.State = Unsettled
		entry.since = mark.at
	}
	return entry
}

// settleable returns what the inventory says of each key that it can speak for;
// Absent for a key that it does not show.
func (l *Ledger) settleable(shown map[Key]Entry, mark Mark) map[Key]Entry {
	all := make(map[Key]Entry, len(shown)+len(l.entries))
	for key := range l.entries {
		all[key] = Entry{}
	}
	maps.Copy(all, shown)
	maps.DeleteFunc(all, func(key Key, _ Entry) bool {
		return l.open(key, mark) || l.open(Key{Model: key.Model}, mark)
	})
	return all
}

// open reports whether an order for key is in flight, or ended after mark.
func (l *Ledger) open(key Key, mark Mark) bool {
	if l.dropped[key] > mark.sequence {
		return true
	}
	entry := l.entries[key]
	switch entry.State {
	case Reserved, Loading, Unloading:
		return true
	default:
		return entry.changed > mark.sequence
	}
}

func (l *Ledger) settlePresent(key Key, entry, seen Entry, mark Mark) {
	if entry.State == Unsettled && (seen.State == Unsettled || entry.unloadMayArrive(mark)) {
		return
	}
	l.put(key, seen)
}

// unloadMayArrive reports whether a lost unload order may still take effect.
func (e Entry) unloadMayArrive(mark Mark) bool {
	return e.unloadLost && mark.at.Sub(e.since) < SettleDelay
}

func (l *Ledger) settleAbsent(key Key, entry Entry, mark Mark) {
	if entry.State == Unsettled && mark.at.Sub(entry.since) < SettleDelay {
		return
	}
	if key.Adapter == "" && l.adapterInFlight(key.Model) {
		l.doubt(key, entry, mark)
		return
	}
	l.drop(key)
}

// doubt keeps the memory of a model that is gone while an order for one of its
// adapters is in flight. Nothing may start on it.
func (l *Ledger) doubt(key Key, entry Entry, mark Mark) {
	if entry.State != Ready {
		return
	}
	entry.State = Unsettled
	entry.since = mark.at
	l.put(key, entry)
}

func (l *Ledger) adapterInFlight(model string) bool {
	for key, entry := range l.entries {
		inFlight := entry.State == Reserved || entry.State == Loading || entry.State == Unloading
		if key.Model == model && key.Adapter != "" && inFlight {
			return true
		}
	}
	return false
}

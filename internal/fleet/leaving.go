package fleet

import (
	"maps"
	"time"
)

// leavingMark is an incarnation that said in a response that it leaves.
type leavingMark struct {
	// startedMs is its start time, 0 if it was not listed when it said so, at heardAt.
	startedMs int64
	heardAt   time.Time
}

// leavingTTL is how long after it said so an incarnation that is not listed is remembered.
const leavingTTL = 10 * time.Minute

// MarkLeaving marks an upstream as draining because it said so itself; startedMs is its
// incarnation, 0 for the one that is known. It returns the upstream, nil if it is unknown,
// and whether anything changed.
func (d *Directory) MarkLeaving(now time.Time, id string, startedMs int64) (*Upstream, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetLeft(now)
	old := d.upstreams.Load()
	up := old.byID[id]
	if up == nil {
		return nil, d.markUnlisted(now, old, id, startedMs)
	}
	if startedMs != 0 && up.StartedMs != startedMs {
		return up, false
	}
	d.leaving[id] = leavingMark{startedMs: up.StartedMs, heardAt: now}
	if up.Draining {
		return up, false
	}
	leaving := *up
	leaving.Draining = true
	next := maps.Clone(old.byID)
	next[id] = &leaving
	d.replace(old, next, old.removed)
	return &leaving, true
}

// markUnlisted marks an upstream that is not listed: the scheduler may have granted it
// before this router learned of it.
func (d *Directory) markUnlisted(now time.Time, old *upstreamSet, id string, startedMs int64) bool {
	if _, known := d.leaving[id]; known {
		return false
	}
	d.leaving[id] = leavingMark{startedMs: startedMs, heardAt: now}
	removed := maps.Clone(old.removed)
	if removed == nil {
		removed = make(map[string]removal)
	}
	if _, known := removed[id]; !known {
		removed[id] = removal{at: now, startedMs: startedMs}
	}
	d.replace(old, old.byID, removed)
	return true
}

// replace stores a set that differs from the old one in its upstreams or removals.
func (d *Directory) replace(old *upstreamSet, byID map[string]*Upstream, removed map[string]removal) {
	set := newUpstreamSet(byID)
	set.listKnown, set.version, set.removed = old.listKnown, old.version, removed
	d.upstreams.Store(set)
}

// saidItLeaves reports whether the incarnation of a registration said that it leaves. One
// that was not listed then is taken for the first that is, unless that started later.
func (d *Directory) saidItLeaves(received *Upstream) bool {
	mark, ok := d.leaving[received.ID]
	if !ok {
		return false
	}
	if mark.startedMs == 0 && received.StartedMs <= mark.heardAt.UnixMilli() {
		mark.startedMs = received.StartedMs
		d.leaving[received.ID] = mark
	}
	return mark.startedMs == received.StartedMs
}

// forgetLeft drops the marks of incarnations that have left long ago.
func (d *Directory) forgetLeft(now time.Time) {
	for id, mark := range d.leaving {
		if now.Sub(mark.heardAt) > leavingTTL {
			delete(d.leaving, id)
		}
	}
}

// isDraining reports whether the incarnation of a registration is known to be draining.
func isDraining(current, received *Upstream) bool {
	return current != nil && current.Draining && current.StartedMs == received.StartedMs
}

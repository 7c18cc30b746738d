package fleet

import (
	"maps"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/era"
)

// quarantineTime is how long a removed incarnation that a restored list names again is not
// used, unless it is heard of. Registrations without heartbeats have expired by then.
const quarantineTime = 5 * time.Second

// quarantine is a removed incarnation that a list may name again because the platform was
// restored from a copy that is older than the removal.
type quarantine struct {
	startedMs int64
	until     time.Time
	// listed is its registration since the restore; nil if it is not listed.
	listed *Upstream
}

// isRestored reports whether a change is the first one since the platform's list was
// restored from an older copy.
func isRestored(old *upstreamSet, change Change) bool {
	return old.version > 0 && change.Version > 0 && era.Of(change.Version) > era.Of(old.version)
}

func (d *Directory) quarantine(now time.Time, removed map[string]removal) {
	for id, r := range removed {
		d.quarantined[id] = &quarantine{startedMs: r.startedMs, until: now.Add(quarantineTime)}
	}
}

// holdBack reports whether a registration is not to be applied because its incarnation is
// in quarantine. It ends the quarantine of one that is heard of again.
func (d *Directory) holdBack(registration Registration) bool {
	q := d.quarantined[registration.ID]
	if q == nil {
		return false
	}
	up := registration.Upstream
	if up == nil {
		q.listed = nil
		return false
	}
	isNewer := up.StartedMs > q.startedMs
	sentHeartbeat := up.StartedMs == q.startedMs && q.listed != nil && up.Sequence > q.listed.Sequence
	if isNewer || sentHeartbeat || up.Draining {
		delete(d.quarantined, registration.ID)
		return false
	}
	if up.StartedMs == q.startedMs {
		q.listed = up
	}
	return true
}

// forgetUnlisted drops the registrations in quarantine that a complete list lacks.
func (d *Directory) forgetUnlisted(listed map[string]bool) {
	for id, q := range d.quarantined {
		if !listed[id] {
			q.listed = nil
		}
	}
}

// ReleaseQuarantined ends the quarantines that are over and returns the ids of the
// upstreams that are usable again.
func (d *Directory) ReleaseQuarantined(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.quarantined) == 0 {
		return nil
	}
	old := d.upstreams.Load()
	next := maps.Clone(old.byID)
	released := d.releaseQuarantined(now, next)
	if len(released) > 0 {
		d.replace(old, next, recentRemovals(now, old, next))
	}
	return released
}

// releaseQuarantined ends the quarantines that are over and returns the ids of the
// upstreams that are still listed.
func (d *Directory) releaseQuarantined(now time.Time, next map[string]*Upstream) []string {
	var released []string
	for id, q := range d.quarantined {
		if now.Before(q.until) {
			continue
		}
		delete(d.quarantined, id)
		if q.listed != nil && next[id] == nil {
			next[id] = q.listed
			released = append(released, id)
		}
	}
	return released
}

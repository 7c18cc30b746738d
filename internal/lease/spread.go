package lease

import (
	"slices"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/rendezvous"
)

// rankPeers finds this router's place in each lease's order of preference
// (rendezvous hashing). It does nothing while the peers stay the same.
func (m *Manager) rankPeers() {
	var peers []string
	if m.opts.Peers != nil {
		peers = m.opts.Peers()
	}
	if m.peers != nil && slices.Equal(peers, m.peers) {
		return
	}
	m.peers = append([]string{}, peers...)
	for _, e := range m.entries {
		e.rank = rendezvous.Rank(e.name, m.opts.Holder, peers)
	}
}

// dueHandover returns a held lease that another router should hold for long
// enough, or nil. It returns at most one for each handoverEvery.
func (m *Manager) dueHandover(now time.Time) *entry {
	var due *entry
	for _, e := range m.entries {
		if !m.isMisplaced(e, now) || due != nil {
			continue
		}
		due = e
	}
	if due == nil || now.Before(m.nextHandover) {
		return nil
	}
	m.nextHandover = now.Add(m.timing.handoverEvery())
	due.returned++
	m.stats.handovers.Add(1)
	return due
}

// isMisplaced keeps count of the time for which another router is preferred
// and reports whether it is long enough for a handover.
func (m *Manager) isMisplaced(e *entry, now time.Time) bool {
	if e.rank == 0 {
		e.misplacedSince = time.Time{}
		e.returned = 0
		return false
	}
	if !e.held {
		return false
	}
	if e.misplacedSince.IsZero() {
		e.misplacedSince = now
	}
	return now.Sub(e.misplacedSince) >= m.timing.handoverAfter(e.returned, e.jitter)
}

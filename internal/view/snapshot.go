// Package view keeps a router's picture of the table, the host list and the
// load reports. Readers take a Snapshot with one atomic load; writers replace
// it (read-copy-update).
package view

import (
	"sync"
	"sync/atomic"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// Slot is a slot row with the table version at which it was read.
type Slot struct {
	Row     *apiv1.SlotRow
	Version int64
}

// Lease is a lease row with the table version at which it was read.
type Lease struct {
	Row     *apiv1.LeaseRow
	Version int64
}

// Snapshot is immutable. Nothing reached from it may be changed.
type Snapshot struct {
	// TableRevision is the revision up to which the table was read; 0 means
	// that it was never read.
	TableRevision int64
	// Head is nil until a configuration was published.
	Head *apiv1.HeadRow
	// HeadVersion is the table version of the head row.
	HeadVersion int64
	// Config is the highest configuration whose body has arrived, or nil.
	Config *config.Index
	// Slots holds the slots of each model, ordered by slot number.
	Slots map[string][]Slot
	// SlotsRevision is the highest table version of a slot row.
	SlotsRevision int64
	// Leases holds the leases by the part of their key after LeasePrefix.
	Leases map[string]Lease
	// Drains holds the hosts that an operator drains.
	Drains map[string]bool
	// Hosts is the last host list.
	Hosts external.HostListing
	// ByHost indexes Hosts by id.
	ByHost map[string]external.Host
	// HostReads counts the reads of the host list that were not older than the
	// present one, so that a list that was read again can be told from one that
	// was only kept.
	HostReads uint64

	slotIndex     *slotIndex       // replaced whenever Slots is
	drainVersions map[string]int64 // table versions of the rows behind Drains
}

// slotIndex finds the assigned slots of a host. It is built by the first
// reader; sync.Once makes it safe for the others.
type slotIndex struct {
	once   sync.Once
	byHost map[string][]Slot
}

func (x *slotIndex) build(slots map[string][]Slot) {
	x.byHost = make(map[string][]Slot)
	for _, ofModel := range slots {
		for _, slot := range ofModel {
			if slot.Row.GetState() != apiv1.SlotState_SLOT_STATE_ASSIGNED {
				continue
			}
			x.byHost[slot.Row.GetHost()] = append(x.byHost[slot.Row.GetHost()], slot)
		}
	}
}

func emptySnapshot() *Snapshot {
	return &Snapshot{
		Slots:  make(map[string][]Slot),
		Leases: make(map[string]Lease),
		Drains: make(map[string]bool),
		ByHost: make(map[string]external.Host),

		slotIndex:     &slotIndex{},
		drainVersions: make(map[string]int64),
	}
}

// SlotsOn returns the assigned slots of a host, in no particular order.
func (s *Snapshot) SlotsOn(host string) []Slot {
	s.slotIndex.once.Do(func() { s.slotIndex.build(s.Slots) })
	return s.slotIndex.byHost[host]
}

// Store holds the current Snapshot and the latest load report of each host.
type Store struct {
	current atomic.Pointer[Snapshot]
	write   sync.Mutex // serializes writers; readers never take it

	reports sync.Map // host id -> *apiv1.LoadReport
}

// NewStore makes a store with an empty snapshot.
func NewStore() *Store {
	s := &Store{}
	s.current.Store(emptySnapshot())
	return s
}

// Load returns the current snapshot.
func (s *Store) Load() *Snapshot { return s.current.Load() }

// Report returns the latest load report of a host, or nil.
func (s *Store) Report(host string) *apiv1.LoadReport {
	v, ok := s.reports.Load(host)
	if !ok {
		return nil
	}
	return v.(*apiv1.LoadReport)
}

// SetReport stores a host's load report. It must not change afterwards.
func (s *Store) SetReport(r *apiv1.LoadReport) { s.reports.Store(r.GetHost(), r) }

// DropReport forgets the report of a host whose session has ended.
func (s *Store) DropReport(host string) { s.reports.Delete(host) }

// update replaces the snapshot by a changed shallow copy.
func (s *Store) update(change func(next *Snapshot)) {
	s.write.Lock()
	defer s.write.Unlock()
	next := *s.current.Load()
	change(&next)
	s.current.Store(&next)
}

// SetHosts stores a host list, unless the present one is as new.
func (s *Store) SetHosts(listing external.HostListing) {
	s.update(func(next *Snapshot) {
		if next.Hosts.Hosts != nil && listing.Revision < next.Hosts.Revision {
			return
		}
		next.HostReads++
		if next.Hosts.Hosts != nil && listing.Revision == next.Hosts.Revision {
			return
		}
		next.setHosts(listing)
	})
}

// AdoptHosts takes over the host list of a peer while this router has none. It
// is no read of the list, so that nothing is decided by it.
func (s *Store) AdoptHosts(listing external.HostListing) {
	s.update(func(next *Snapshot) {
		if next.Hosts.Hosts == nil && listing.Hosts != nil {
			next.setHosts(listing)
		}
	})
}

func (s *Snapshot) setHosts(listing external.HostListing) {
	s.Hosts = listing
	s.ByHost = make(map[string]external.Host, len(listing.Hosts))
	for _, h := range listing.Hosts {
		s.ByHost[h.ID] = h
	}
}

// SetConfig puts a configuration in force, unless a higher or equal revision
// already is. It reports whether it did.
func (s *Store) SetConfig(index *config.Index) bool {
	applied := false
	s.update(func(next *Snapshot) {
		if next.Config != nil && index.Revision <= next.Config.Revision {
			return
		}
		next.Config = index
		applied = true
	})
	return applied
}

// ApplyRows folds rows read from the table into the snapshot. Rows that are
// older than what is held are skipped. It returns the rows that can't be read.
func (s *Store) ApplyRows(changes external.Changes) []external.Row {
	var bad []external.Row
	s.update(func(next *Snapshot) {
		next.TableRevision = max(next.TableRevision, changes.Revision)
		f := fold{next: next}
		for _, row := range changes.Rows {
			if !f.apply(row) {
				bad = append(bad, row)
			}
		}
	})
	return bad
}

package lease

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// grant is a guard with the time until which it may be relied on.
type grant struct {
	guard      Guard
	validUntil time.Time
}

// entry is one lease as this router knows it.
type entry struct {
	name string
	// row is the latest row seen, nil when there is none.
	row     *apiv1.LeaseRow
	version int64
	// watchedSince is when this version was first seen.
	watchedSince time.Time
	// jitter in [0, 1) is drawn anew for each version.
	jitter float64
	// rank is this router's place in the order of preference; 0 is first.
	rank int

	// held is true from the takeover until another holder is seen.
	held bool
	// guard is set while held.
	guard Guard
	// foreign is set when the row names this host but another process wrote it.
	foreign bool
	// misplacedSince is when another router became preferred; zero if none is.
	misplacedSince time.Time
	// returned counts handovers after which the lease came back.
	returned int

	// grant is read by Guard from any goroutine; the loop replaces it whole.
	grant atomic.Pointer[grant]
}

// watch starts to measure how long the present version stays.
func (m *Manager) watch(e *entry, now time.Time) {
	e.watchedSince = now
	e.jitter = m.random.Float64()
}

// observe takes over the rows that the router has polled.
func (m *Manager) observe() {
	snapshot := m.opts.View.Load()
	if snapshot == m.snapshot {
		return
	}
	m.snapshot = snapshot
	now := m.opts.Now()
	for _, e := range m.entries {
		if seen, ok := snapshot.Leases[e.name]; ok {
			m.see(e, seen.Row, seen.Version, now)
		}
	}
}

// see takes over a row that is newer than the known one.
func (m *Manager) see(e *entry, row *apiv1.LeaseRow, version int64, now time.Time) {
	if version <= e.version {
		return
	}
	e.row = row
	e.version = version
	e.foreign = false
	m.watch(e, now)
	if e.held && !m.isOwn(e) {
		m.lose(e)
	}
}

// seeConflict takes over the state of a row whose check failed.
func (m *Manager) seeConflict(e *entry, conflict external.Row, now time.Time) {
	if conflict.Version == 0 {
		e.row, e.version = nil, 0
		m.watch(e, now)
		if e.held {
			m.lose(e)
		}
		return
	}
	row := &apiv1.LeaseRow{}
	if err := proto.Unmarshal(conflict.Value, row); err != nil {
		m.warn("lease row can't be read: delete it in the table", "lease", e.name, "err", err)
		return
	}
	m.see(e, row, conflict.Version, now)
}

// isOwn reports whether the row was written under the held epoch. An epoch is
// given out by one takeover only, so no other process can have written it.
func (m *Manager) isOwn(e *entry) bool {
	return e.row.GetHolder() == m.opts.Holder && e.row.GetEpoch() == e.guard.Epoch
}

// lose forgets a held lease.
func (m *Manager) lose(e *entry) {
	e.held = false
	e.grant.Store(nil)
	m.stats.lost.Add(1)
	m.info("lease lost", "lease", e.name, "epoch", e.guard.Epoch, "holder", e.row.GetHolder())
}

// claimOwn settles takeovers whose answer was lost: the row names this host
// and the epoch row tells whether this process wrote it.
func (m *Manager) claimOwn(ctx context.Context) {
	for _, e := range m.entries {
		if e.held || e.foreign || e.row.GetHolder() != m.opts.Holder {
			continue
		}
		m.claim(ctx, e)
	}
}

func (m *Manager) claim(ctx context.Context, e *entry) {
	ctx, cancel := context.WithTimeout(ctx, m.timing.callTimeout())
	defer cancel()
	row, err := m.opts.Table.Get(ctx, external.EpochKey(e.name))
	if err != nil {
		m.stats.failures.Add(1)
		return
	}
	epoch := &apiv1.LeaseRow{}
	if !m.ids.isOwn(row.TxnID) || proto.Unmarshal(row.Value, epoch) != nil || epoch.GetEpoch() != e.row.GetEpoch() {
		e.foreign = true
		return
	}
	// The guard is granted by the next renewal, which is due at once.
	m.hold(e, e.row.GetEpoch(), row.Version)
	m.nextRenewal = time.Time{}
}

// hold notes a takeover; it grants nothing yet.
func (m *Manager) hold(e *entry, epoch uint64, epochVersion int64) {
	e.held = true
	e.guard = Guard{
		Epoch: epoch,
		Check: external.Check{Key: external.EpochKey(e.name), Version: epochVersion},
	}
	e.misplacedSince = time.Time{}
	m.stats.takeovers.Add(1)
	m.info("lease taken", "lease", e.name, "epoch", epoch, "rank", e.rank)
}

// extend grants the guard on the strength of a commit that was sent at sent.
func (m *Manager) extend(e *entry, sent time.Time) {
	e.grant.Store(&grant{guard: e.guard, validUntil: sent.Add(m.timing.validFor())})
}

func (m *Manager) info(msg string, keyvals ...any) {
	if m.opts.Log != nil {
		m.opts.Log.Info(msg, keyvals...)
	}
}

func (m *Manager) warn(msg string, keyvals ...any) {
	if m.opts.Log != nil {
		m.opts.Log.Warn(msg, keyvals...)
	}
}

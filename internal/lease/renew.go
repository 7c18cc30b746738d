package lease

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// renew renews every held lease in one commit, once it is due. One of them may
// be handed over in the same commit.
func (m *Manager) renew(ctx context.Context) {
	now := m.opts.Now()
	if now.Before(m.nextRenewal) {
		return
	}
	handover := m.dueHandover(now)
	var batch []change
	for _, e := range m.entries {
		if e.held && e != handover {
			batch = append(batch, m.renewal(e))
		}
	}
	if handover != nil {
		batch = append(batch, m.release(handover))
	}
	if len(batch) == 0 {
		return
	}
	done, sent, err := m.commit(ctx, batch, m.renewalAgain)
	m.scheduleRenewal(err == nil)
	if len(done) > 0 {
		m.stats.renewals.Add(1)
	}
	for _, c := range done {
		if c.row.GetHolder() == "" {
			m.released(c.entry)
			continue
		}
		m.extend(c.entry, sent)
	}
}

// scheduleRenewal sets the time of the next renewal. The first failure is
// retried sooner.
func (m *Manager) scheduleRenewal(ok bool) {
	wait := m.timing.renewEvery()
	if ok {
		m.renewFailures = 0
	} else {
		m.renewFailures++
	}
	if m.renewFailures == 1 {
		wait /= 2
	}
	m.nextRenewal = m.opts.Now().Add(spread(wait, m.random))
}

func (m *Manager) renewal(e *entry) change {
	row := proto.CloneOf(e.row)
	row.Renewals++
	row.Address = m.opts.Address
	row.TtlMs = uint32(m.opts.TTL / time.Millisecond)
	return change{entry: e, row: row}
}

// renewalAgain makes the renewal anew when the conflicting write was this
// process's own, whose answer had been lost.
func (m *Manager) renewalAgain(e *entry) (change, bool) {
	if !e.held {
		return change{}, false
	}
	return m.renewal(e), true
}

// release keeps the epoch, so that the next takeover counts on. The guard ends
// before the row is sent.
func (m *Manager) release(e *entry) change {
	e.grant.Store(nil)
	row := proto.CloneOf(e.row)
	row.Holder = ""
	row.Address = ""
	return change{entry: e, row: row}
}

// released notes that a lease was given up.
func (m *Manager) released(e *entry) {
	e.held = false
	m.info("lease released", "lease", e.name, "epoch", e.guard.Epoch)
}

// releaseAll gives up every held lease.
func (m *Manager) releaseAll(ctx context.Context) {
	var batch []change
	for _, e := range m.entries {
		if e.held {
			batch = append(batch, m.release(e))
		}
	}
	done, _, err := m.commit(ctx, batch, m.releaseAgain)
	if err != nil {
		m.warn("leases not released: others take them over after their time to live", "err", err)
	}
	for _, c := range done {
		m.released(c.entry)
	}
}

func (m *Manager) releaseAgain(e *entry) (change, bool) {
	if !e.held {
		return change{}, false
	}
	return m.release(e), true
}

// contend takes over the leases that have no holder or a silent one.
func (m *Manager) contend(ctx context.Context) {
	now := m.opts.Now()
	if now.Before(m.nextTake) {
		return
	}
	var batch []change
	for _, e := range m.entries {
		if m.mayTake(e, now) {
			batch = append(batch, m.takeover(e))
		}
	}
	if len(batch) == 0 {
		return
	}
	none := func(*entry) (change, bool) { return change{}, false }
	done, sent, err := m.commit(ctx, batch, none)
	if err != nil {
		m.postponeTakeovers(batch)
		return
	}
	m.takeFailures = 0
	for _, c := range done {
		m.hold(c.entry, c.row.GetEpoch(), c.entry.version)
		m.extend(c.entry, sent)
	}
}

// postponeTakeovers follows takeovers without an answer. The holders could not
// renew either, so they get their whole time anew.
func (m *Manager) postponeTakeovers(batch []change) {
	now := m.opts.Now()
	for _, c := range batch {
		m.watch(c.entry, now)
	}
	m.nextTake = now.Add(spread(m.timing.retryAfter(m.takeFailures), m.random))
	m.takeFailures++
}

// mayTake reports whether a lease was watched without a change for long enough.
func (m *Manager) mayTake(e *entry, now time.Time) bool {
	if e.held {
		return false
	}
	watched := now.Sub(e.watchedSince)
	if e.row.GetHolder() == "" {
		return watched >= m.timing.freeAfter(e.rank, e.jitter)
	}
	rowTTL := time.Duration(e.row.GetTtlMs()) * time.Millisecond
	return watched >= m.timing.staleAfter(rowTTL, e.rank, e.jitter)
}

func (m *Manager) takeover(e *entry) change {
	row := &apiv1.LeaseRow{
		Holder:  m.opts.Holder,
		Address: m.opts.Address,
		Epoch:   e.row.GetEpoch() + 1,
		TtlMs:   uint32(m.opts.TTL / time.Millisecond),
	}
	return change{entry: e, row: row, newEpoch: true}
}

package cell

import (
	"context"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Handover is what a holder passes to its successor, so that a planned change
// needs no store.
type Handover struct {
	Fence int64
	// Version and BootID are those of the lease's row as the holder wrote it last.
	Version int64
	BootID  string
	// WaitLeaseTime is set when the former holder goes on running. Orders of two live
	// holders must be the lease time apart.
	WaitLeaseTime bool
}

// Accept takes a lease over that its holder hands to this router.
func (e *Election) Accept(offer Handover) {
	e.offered.Store(&offer)
	e.wake()
}

// ReportSuperseded tells that the router at address has taken the lease over.
func (e *Election) ReportSuperseded(address string) { e.superseded.Store(&address) }

// LeaseVersion is the version of the lease's row that this router's tenure goes
// on from.
func (e *Election) LeaseVersion() int64 { return e.leaseVersion.Load() }

// wake ends a call to the store that is under way, so that the next step comes
// at once. Its outcome stays unknown and is settled like that of a lost answer.
func (e *Election) wake() {
	if cancel := e.interrupt.Load(); cancel != nil {
		(*cancel)()
	}
}

// ReportFenced tells that an engine refused an order for its fence: another router
// has taken the lease over.
func (e *Election) ReportFenced() { e.fenced.Store(true) }

// RenewedAgo is the time since the last renewal that succeeded was sent.
func (e *Election) RenewedAgo() time.Duration {
	return e.opts.Now().Sub(e.began) - time.Duration(e.renewed.Load())
}

// Resign gives a held lease up and takes none any more. Run goes on to find the
// scheduler among other routers.
func (e *Election) Resign() {
	e.resigned.Store(true)
	e.wake()
}

// shouldYield reports whether a much stronger host should schedule.
func (e *Election) shouldYield(now time.Time) bool {
	if e.opts.StrongestPeerCores == nil || e.opts.Cores <= 0 || e.storeFails.Load() {
		return false
	}
	return now.Sub(e.electedAt) > yieldAfter && e.opts.StrongestPeerCores() >= strongerBy*e.opts.Cores
}

// handOver gives a held lease to a connected router, if there is one.
func (e *Election) handOver(reason string, wait bool) bool {
	if e.opts.HandOver == nil {
		return false
	}
	if !e.opts.HandOver(Handover{Fence: e.fence + 1, Version: e.version, BootID: e.opts.BootID, WaitLeaseTime: wait}) {
		return false
	}
	e.fence = 0
	e.opts.OnLost(reason)
	return true
}

// release gives a held lease up.
func (e *Election) release(ctx context.Context, reason string) {
	if e.fence == 0 || e.handOver(reason, false) {
		return
	}
	e.fence = 0
	e.opts.OnLost(reason)
	result, err := e.commit(ctx, &apiv1.SchedulerLease{})
	if err != nil {
		e.opts.Observer.LeaseFailed("release", err)
		return
	}
	if result.Committed {
		e.version = result.Version
	}
}

// succeed begins a tenure that the former holder has handed over.
func (e *Election) succeed(offer Handover, now time.Time) {
	e.row = &apiv1.SchedulerLease{Holder: e.opts.Host, BootId: e.opts.BootID, Address: e.opts.Address}
	e.predecessor = offer.BootID
	e.begin(offer.Version, offer.Fence, now, offer.WaitLeaseTime)
	e.nextRenewal = now
}

// begin starts a tenure. wait keeps orders back for the lease time, which is also
// due where engines don't check fences.
func (e *Election) begin(version, fence int64, sent time.Time, wait bool) {
	e.version = version
	e.leaseVersion.Store(version)
	e.fence = fence
	e.electedAt = e.opts.Now()
	e.setRenewed(sent)
	e.nextRenewal = sent.Add(renewEvery)
	tenure := LeaseTerm{Fence: fence, OrdersAllowedFrom: e.opts.Now()}
	if wait || !e.opts.EnginesCheckFence {
		tenure.OrdersAllowedFrom = tenure.OrdersAllowedFrom.Add(e.opts.LeaseTime + orderMargin)
	}
	e.opts.OnElected(tenure)
}

package cell

import (
	"context"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/era"
)

// Handover is what a holder sends to its successor, so that a planned change of
// the holder does not depend on the store.
type Handover struct {
	// Fence is the fencing token of the successor.
	Fence int64
	// Version and BootID are from the lease row as the holder last wrote it.
	Version int64
	BootID  string
	// WaitLeaseTime is set if the previous holder keeps running: the orders of two
	// running holders must be the lease time apart.
	WaitLeaseTime bool
}

// Accept takes over the lease that its holder hands over to this router. It
// returns before the lease term begins.
func (e *Election) Accept(offer Handover) {
	e.offeredLease.Store(&offer)
	e.interruptStoreCall()
}

// successor is a router that has taken over the lease.
type successor struct {
	address      string
	leaseVersion int64
}

// ReportSuperseded reports that a version of the lease row names the router at address
// as the holder. A row that is not newer than this router's term proves nothing: after
// a handover it still names the previous holder.
func (e *Election) ReportSuperseded(address string, leaseVersion int64) {
	if leaseVersion > e.leaseVersion.Load() {
		e.supersededBy.Store(&successor{address, leaseVersion})
	}
}

// LeaseVersion returns the version of the lease row on which this router's term is
// based.
func (e *Election) LeaseVersion() int64 { return e.leaseVersion.Load() }

// interruptStoreCall cancels a store call in progress, so that the next step
// follows at once. The call's outcome is unknown and resolved as after a lost reply.
func (e *Election) interruptStoreCall() {
	if cancel := e.cancelStoreCall.Load(); cancel != nil {
		(*cancel)()
	}
}

// ReportFenced reports that an engine rejected an order because it has seen a
// higher fence: another router has taken over the lease.
func (e *Election) ReportFenced() { e.fenced.Store(true) }

// RenewedAgo returns the time since the last successful renewal was sent. It is
// safe for concurrent use.
func (e *Election) RenewedAgo() time.Duration {
	return e.opts.Now().Sub(e.startedAt) - time.Duration(e.lastRenewal.Load())
}

// Resign gives up the lease, if this router holds it, and prevents later takeovers.
// Run continues to watch for the holder among the other routers.
func (e *Election) Resign() {
	e.resigned.Store(true)
	e.interruptStoreCall()
}

// shouldYield reports whether the lease should go to a much stronger host.
func (e *Election) shouldYield(now time.Time) bool {
	if e.opts.StrongestPeerCores == nil || e.opts.Cores <= 0 || e.storeFailing.Load() {
		return false
	}
	return now.Sub(e.electedAt) > minTermBeforeYield && e.opts.StrongestPeerCores() >= yieldCoresFactor*e.opts.Cores
}

// handOver gives the lease to a connected router and reports whether there is one.
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

// release ends this router's term, if any: it hands the lease over or, without a
// connected router, marks it as vacant in the store.
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

// acceptHandover begins a lease term that the previous holder has handed over.
func (e *Election) acceptHandover(offer Handover, now time.Time) {
	e.row = &apiv1.SchedulerLease{Holder: e.opts.Host, BootId: e.opts.BootID, Address: e.opts.Address}
	e.previousBootID = offer.BootID
	e.beginTerm(offer.Version, offer.Fence, now, e.handoverOrdersFrom(offer.WaitLeaseTime))
	e.nextRenewal = now
}

// declineHandover marks a lease that was handed over to this stopping router as vacant,
// so that another one takes it at once.
func (e *Election) declineHandover(ctx context.Context, offer Handover) {
	e.version = offer.Version
	result, err := e.commit(ctx, &apiv1.SchedulerLease{})
	if err != nil {
		e.opts.Observer.LeaseFailed("decline", err)
		return
	}
	if result.Committed {
		e.version = result.Version
	}
}

// handoverOrdersFrom returns the time of the first order in a term that begins while the
// previous holder may still have sent orders a moment ago. Where engines don't check
// fences, or if the previous holder keeps running, the lease time must pass.
func (e *Election) handoverOrdersFrom(wait bool) time.Time {
	if wait || !e.opts.EnginesCheckFence {
		return e.opts.Now().Add(e.opts.LeaseTime + orderMargin)
	}
	return e.opts.Now()
}

// beginTerm begins a lease term that may send orders from ordersFrom.
func (e *Election) beginTerm(version, fence int64, sent, ordersFrom time.Time) {
	e.version = version
	e.era = era.Of(version)
	e.fence = fence
	now := e.opts.Now()
	e.electedAt = now
	e.recordRenewal(sent)
	e.leaseVersion.Store(version)
	e.nextRenewal = sent.Add(renewInterval)
	e.opts.OnElected(LeaseTerm{Fence: fence, OrdersHeldBack: max(0, ordersFrom.Sub(now))})
}

package cell

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// watchLease reads the lease row while no active scheduler is connected. It takes
// the lease over when it is vacant or its holder stops renewing it.
func (e *Election) watchLease(ctx context.Context, now time.Time) {
	if e.opts.HasActiveScheduler() {
		e.checkStore(ctx, now)
		return
	}
	if now.Before(e.nextRead) {
		return
	}
	e.nextRead = now.Add(leaseReadInterval/2 + rand.N(leaseReadInterval))
	callCtx, cancel := e.callContext(ctx)
	defer cancel()
	row, err := e.opts.Table.Get(callCtx, leaseKey)
	e.storeFailing.Store(err != nil)
	if err != nil {
		e.opts.Observer.LeaseFailed("read", err)
		// The holder may have been unable to renew as well, so the wait starts over.
		e.unchangedSince = e.opts.Now()
		e.silentAt = e.unchangedSince.Add(renewalTimeout + e.takeoverDelay())
		return
	}
	lease, err := decodeLease(row)
	if err != nil {
		e.opts.Observer.LeaseFailed("decode", err)
		return
	}
	e.era = row.Era
	e.observeRow(lease, row.Version)
	if lease.GetHolder() == "" && !e.isFromOlderCopy() {
		e.nextRead = e.earliestTakeover
	}
	if lease.GetBootId() == e.opts.BootID && !e.isFromOlderCopy() && lease.GetHolder() != "" && !e.resigned.Load() && !now.Before(e.noTakeoverUntil) {
		// A takeover of this router was committed, but its reply was lost.
		e.elected(row.Version, now, e.handoverOrdersFrom(false))
		return
	}
	if e.mayTakeOver(e.opts.Now()) {
		e.takeOver(ctx)
		return
	}
	if due := e.silentAt; due.After(now) && due.Before(e.nextRead) {
		e.nextRead = due
	}
}

// checkStore reads the lease row if this host is strong enough to replace the
// scheduler's. A running holder hands the lease over only to a router that
// reaches the store: any other could not renew it.
func (e *Election) checkStore(ctx context.Context, now time.Time) {
	if e.opts.SchedulerCores == nil || e.resigned.Load() || now.Before(e.nextStoreCheck) {
		return
	}
	cores := e.opts.SchedulerCores()
	if cores <= 0 || e.opts.Cores < yieldCoresFactor*cores {
		return
	}
	e.nextStoreCheck = now.Add(storeCheckInterval/2 + rand.N(storeCheckInterval))
	callCtx, cancel := e.callContext(ctx)
	defer cancel()
	if _, err := e.opts.Table.Get(callCtx, leaseKey); err != nil {
		e.opts.Observer.LeaseFailed("prove", err)
		return
	}
	e.opts.OnStoreReachable()
}

// observeRow records the current lease row if its version is new.
func (e *Election) observeRow(row *apiv1.SchedulerLease, version int64) {
	if version == e.version && !e.unchangedSince.IsZero() {
		return
	}
	now := e.opts.Now()
	e.row = row
	e.version = version
	e.unchangedSince = now
	if e.opts.SchedulerRenewal != nil {
		if renewed, age := e.opts.SchedulerRenewal(); renewed == version {
			e.unchangedSince = now.Add(-age) // the scheduler reported this renewal itself
		}
	}
	delay := e.takeoverDelay() + rand.N(takeoverJitter)
	e.earliestTakeover = now.Add(delay)
	e.silentAt = e.unchangedSince.Add(renewalTimeout + delay)
	e.opts.Observer.LeaseRead(row.GetHolder(), version)
	e.reportHolder()
}

// takeoverDelay is shorter on stronger hosts.
func (e *Election) takeoverDelay() time.Duration {
	if e.opts.Cores <= 0 {
		return baseTakeoverDelay
	}
	return min(maxTakeoverDelay, time.Duration(float64(baseTakeoverDelay)/math.Pow(e.opts.Cores, takeoverDelayExponent)))
}

func (e *Election) reportHolder() {
	if e.isFromOlderCopy() {
		return // the routers stay with the scheduler that they have
	}
	if e.opts.SchedulerLeaseVersion != nil && e.version <= e.opts.SchedulerLeaseVersion() {
		return // the row is not newer than the connected scheduler's term
	}
	if e.row.GetHolder() != "" && e.row.GetBootId() != e.opts.BootID {
		e.opts.OnHolder(e.row.GetHolder(), e.row.GetAddress(), e.version)
	}
}

func (e *Election) mayTakeOver(now time.Time) bool {
	if now.Before(e.earliestTakeover) || now.Before(e.noTakeoverUntil) || e.resigned.Load() {
		return false
	}
	if e.isFromOlderCopy() {
		return !now.Before(e.silentAt) // the holder may be alive and renew
	}
	if e.row.GetHolder() == "" {
		return true
	}
	if e.row.GetHolder() == e.opts.Host && e.row.GetBootId() != e.opts.BootID {
		return true // the holder was an earlier process on this host
	}
	return !now.Before(e.silentAt)
}

func (e *Election) takeOver(ctx context.Context) {
	now := e.opts.Now()
	ordersFrom := e.ordersAllowedFrom(now)
	era := e.era
	row := &apiv1.SchedulerLease{Holder: e.opts.Host, BootId: e.opts.BootID, Address: e.opts.Address}
	result, err := e.commit(ctx, row)
	if err != nil {
		e.opts.Observer.LeaseFailed("take", err)
		e.unchangedSince = e.opts.Now()
		e.earliestTakeover = e.unchangedSince.Add(renewRetryDelay)
		e.silentAt = e.unchangedSince.Add(renewalTimeout)
		return
	}
	if !result.Committed {
		e.observeRow(e.conflictingRow(result))
		return
	}
	if e.era != era && !e.opts.EnginesCheckFence {
		ordersFrom = e.afterRunningHolder(now) // the row that was replaced may have been renewed
	}
	e.row = row
	e.elected(result.Version, now, ordersFrom)
}

// ordersAllowedFrom returns the time from which this router may send orders if it takes
// the lease over now. Where engines don't check fences, orders of two hosts must be the
// lease time apart.
func (e *Election) ordersAllowedFrom(now time.Time) time.Time {
	apart := e.opts.LeaseTime + orderMargin
	switch {
	case e.opts.EnginesCheckFence || e.version == 0 && e.era == 0:
		return now // version 0: there was no holder yet
	case e.isFromOlderCopy():
		return e.afterRunningHolder(e.unchangedSince) // a holder that the copy does not name may run
	case e.row.GetHolder() == "":
		return e.unchangedSince.Add(apart)
	case e.row.GetHolder() == e.opts.Host && time.Duration(e.row.GetRenewals())*renewInterval > ownTermFactor*e.opts.LeaseTime:
		return now // the orders of other hosts ended before this host's previous term
	}
	return e.afterRunningHolder(e.unchangedSince)
}

// afterRunningHolder returns the time from which orders may be sent if another holder's
// last renewal was before a time, where engines don't check fences.
func (e *Election) afterRunningHolder(renewedBefore time.Time) time.Time {
	return renewedBefore.Add(unfencedOrderWindow + engineTimeout + e.opts.LeaseTime + orderMargin)
}

// elected begins the term of a takeover that was committed as version.
func (e *Election) elected(version int64, sent, ordersFrom time.Time) {
	e.previousBootID = ""
	e.beginTerm(version, fenceOf(version), sent, ordersFrom)
}

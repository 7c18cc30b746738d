// Package cell runs the engine scheduler on one router of the fleet and connects
// all routers to it.
//
// A cell is the engines of one service together with their requests. The routers
// elect one of themselves, the holder of a lease row in the platform's store, to
// run the cells of all services. For each placement request of a router, the
// scheduler replies with a grant (the engine to use) or a refusal. It sends engines
// orders to load and unload models, and reads their inventories: the models,
// requests and orders that an engine reports.
//
// Each order carries a fence (fencing token), so that engines can reject orders of
// previous holders. It is derived from the version of the lease row at the takeover
// and rises with each change of the holder.
package cell

import (
	"context"
	crand "crypto/rand"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

const (
	// leaseKey is the lease row in the store, as TABLE/KEY.
	leaseKey = "ragwortdoor-lease/scheduler"

	electionTickInterval = 50 * time.Millisecond
	renewInterval        = 500 * time.Millisecond
	renewRetryDelay      = 150 * time.Millisecond
	storeCallTimeout     = 600 * time.Millisecond
	// leaseReadInterval applies to routers that are not connected to an active
	// scheduler. Each wait is randomized by ±50%.
	leaseReadInterval = 300 * time.Millisecond
	// Routers delay a takeover so that they don't all try at once and strong hosts
	// go first: baseTakeoverDelay / cores^takeoverDelayExponent, at most
	// maxTakeoverDelay, plus a random share of takeoverJitter.
	takeoverJitter        = 100 * time.Millisecond
	baseTakeoverDelay     = 25 * time.Millisecond
	maxTakeoverDelay      = 600 * time.Millisecond
	takeoverDelayExponent = 1.5
	// A holder hands the lease over to a connected router that has at least
	// yieldCoresFactor times its cores, but not within minTermBeforeYield, and
	// takes no lease for yieldCooldown afterwards.
	yieldCoresFactor   = 2
	minTermBeforeYield = 2 * time.Second
	yieldCooldown      = 2 * time.Second
	// storeCheckInterval is the average time between the store checks of a router
	// that could replace a weaker holder. A check counts for storeCheckTTL.
	storeCheckInterval = time.Second
	storeCheckTTL      = 2500 * time.Millisecond
	// renewalTimeout is how long the row must be unchanged before a takeover.
	renewalTimeout = 3 * renewInterval
	// Where engines check fences, a holder that can't renew stops ordering
	// fencedOrderMargin before the lease time ends; elsewhere unfencedOrderWindow
	// after its last renewal, so that its successor may order soon.
	fencedOrderMargin   = 500 * time.Millisecond
	unfencedOrderWindow = 1200 * time.Millisecond
	// ownTermFactor is how many lease times the previous term of this host must have
	// lasted for orders right after a restart. Renewals that got no reply are counted
	// too, so that the term may have been shorter than its renewals suggest.
	ownTermFactor = 3
	// orderMargin is added to the lease time before a new holder's first order, for
	// orders of the previous holder that are still in flight.
	orderMargin = 200 * time.Millisecond
	// suspendThreshold is the time between two ticks from which the process is
	// taken to have been suspended.
	suspendThreshold = 700 * time.Millisecond
)

// LeaseTerm is a period in which this router holds the lease.
type LeaseTerm struct {
	// Fence is the fencing token of the term's orders.
	Fence int64
	// OrdersHeldBack is the time from the beginning of the term until orders may be
	// sent, because those of the previous holder can no longer take effect.
	OrdersHeldBack time.Duration
}

// ElectionOptions configure an Election.
type ElectionOptions struct {
	Table   external.TableService
	Host    string
	BootID  string
	Address string
	// Cores is the processor share of this host, in cores. Strong hosts take the
	// lease first.
	Cores float64
	// StrongestPeerCores is the processor share of the strongest router that is
	// connected to this router's scheduler and reaches the store, 0 without one. May
	// be nil.
	StrongestPeerCores func() float64
	// LeaseTime is the minimum time between the orders of two holders where
	// engines don't check fences.
	LeaseTime         time.Duration
	EnginesCheckFence bool
	// HasActiveScheduler reports whether this router is connected to a scheduler
	// that renews its lease.
	HasActiveScheduler func() bool
	// SchedulerLeaseVersion is the version of the lease row on which the connected
	// scheduler's term is based, 0 without one. Only newer rows replace that
	// scheduler. May be nil.
	SchedulerLeaseVersion func() int64
	// SchedulerRenewal returns the version of the last renewal that a connected
	// scheduler reported, and its age. The link may be lost by now. May be nil.
	SchedulerRenewal func() (version int64, age time.Duration)
	// SchedulerCores is the processor share of the connected scheduler's host, 0
	// without one. If this host is strong enough to replace it, OnStoreReachable
	// is called after each successful store check. Both may be nil.
	SchedulerCores   func() float64
	OnStoreReachable func()
	// OnElected and OnLost are called at the beginning and the end of a lease term,
	// OnHolder when another holder is known, with the version of the lease row that
	// names it; its host may be empty.
	OnElected func(LeaseTerm)
	OnLost    func(reason string)
	OnHolder  func(host, address string, leaseVersion int64)
	// HandOver offers the lease to a connected router and reports whether there
	// is one. May be nil.
	HandOver func(offer Handover) bool
	Observer Observer
	// Now returns the time on a clock that also runs while the host is suspended; nil
	// means the clock of the kernel.
	Now func() time.Time
}

// Observer logs events of an election.
type Observer interface {
	// LeaseRead is called for each new version of the lease row.
	LeaseRead(holder string, version int64)
	// LeaseFailed is called when the call op to the store failed, or the row could
	// not be decoded.
	LeaseFailed(op string, err error)
}

// Election competes for the lease. Except for the atomic ones, its fields are
// accessed only by the goroutine of Run.
type Election struct {
	opts ElectionOptions

	fence   int64 // 0 while this router is not the holder
	row     *apiv1.SchedulerLease
	version int64
	// era is the store's, as of the last call.
	era int64
	// unchangedSince is when the current version was first seen.
	unchangedSince   time.Time
	nextRead         time.Time
	nextRenewal      time.Time
	earliestTakeover time.Time
	// silentAt is when the holder counts as unable to renew, if the row does not change.
	silentAt        time.Time
	nextStoreCheck  time.Time
	noTakeoverUntil time.Time
	lastTick        time.Time
	electedAt       time.Time
	// storeFailing is set if the last read or commit failed.
	storeFailing atomic.Bool
	// lastRenewal is when the last successful renewal was sent, in nanoseconds of
	// the monotonic clock since startedAt.
	lastRenewal atomic.Int64
	startedAt   time.Time
	// mustRenew is set after the process was suspended, until the next renewal.
	mustRenew atomic.Bool
	// fenced is set when an engine rejected an order because it has seen a higher
	// fence.
	fenced atomic.Bool
	// supersededBy is a new holder, as reported by a router.
	supersededBy atomic.Pointer[successor]
	// leaseVersion is the version of the row that this router's term is based on.
	leaseVersion atomic.Int64
	// cancelStoreCall cancels the store call in progress.
	cancelStoreCall atomic.Pointer[context.CancelFunc]
	// resigned is set by Resign; the router then takes no lease any more.
	resigned atomic.Bool
	// offeredLease is a lease that its holder hands over to this router.
	offeredLease atomic.Pointer[Handover]
	// previousBootID is the boot id of the holder that handed the lease over. It
	// is cleared by this router's first renewal.
	previousBootID string
}

// NewElection returns an election that does nothing until Run is called.
func NewElection(opts ElectionOptions) *Election {
	if opts.Now == nil {
		opts.Now = newBootClock()
	}
	now := opts.Now()
	return &Election{opts: opts, row: &apiv1.SchedulerLease{}, startedAt: now, lastTick: now}
}

// Run competes for the lease until ctx ends, then hands it over or releases it.
func (e *Election) Run(ctx context.Context) {
	ticker := time.NewTicker(electionTickInterval)
	defer ticker.Stop()
	e.lastTick = e.opts.Now()
	e.step(ctx)
	for {
		select {
		case <-ctx.Done():
			e.release(context.WithoutCancel(ctx), "stopping")
			return
		case <-ticker.C:
			e.step(ctx)
		}
	}
}

func (e *Election) step(ctx context.Context) {
	now := e.opts.Now()
	if now.Sub(e.lastTick) > suspendThreshold {
		e.mustRenew.Store(true)
		e.nextRenewal = now
		e.unchangedSince = now
		e.silentAt = now.Add(renewalTimeout)
	}
	e.lastTick = now
	if e.fenced.Swap(false) && e.fence != 0 {
		e.lose("an engine has seen a higher fence")
	}
	if next := e.supersededBy.Swap(nil); next != nil && e.fence != 0 {
		e.lose("a router follows another holder")
		e.opts.OnHolder("", next.address, next.leaseVersion)
	}
	offer := e.offeredLease.Swap(nil)
	switch {
	case e.fence == 0 && offer != nil && e.resigned.Load():
		e.declineHandover(ctx, *offer)
	case e.fence == 0 && offer != nil:
		e.acceptHandover(*offer, now)
	case e.fence == 0:
		e.watchLease(ctx, now)
	case e.resigned.Load():
		e.release(ctx, "stopping")
	case e.shouldYield(now) && e.handOver("a stronger host is there", true):
		e.noTakeoverUntil = now.Add(yieldCooldown)
	default:
		e.renew(ctx, now)
	}
	// A slow store call must not be mistaken for a suspension of the process.
	e.lastTick = e.opts.Now()
}

// callContext returns the context of a store call, which interruptStoreCall
// cancels.
func (e *Election) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	e.cancelStoreCall.Store(&cancel)
	return ctx, cancel
}

// MayOrder reports whether the holder may send an order now. It is safe for
// concurrent use. A process that was suspended must renew the lease first. Where
// engines check fences, orders may continue while the store is unreachable, since
// a successor's orders have a higher fence.
func (e *Election) MayOrder() bool {
	if e.mustRenew.Load() || e.fenced.Load() || e.supersededBy.Load() != nil {
		return false
	}
	if !e.opts.EnginesCheckFence {
		return e.RenewedAgo() < unfencedOrderWindow
	}
	return e.RenewedAgo() < e.opts.LeaseTime-fencedOrderMargin || e.storeFailing.Load()
}

// LeaseFresh reports whether the lease was renewed so lately that no other router can have taken
// it over.
func (e *Election) LeaseFresh() bool {
	return !e.fenced.Load() && e.supersededBy.Load() == nil && e.RenewedAgo() < renewalTimeout
}

func (e *Election) recordRenewal(sent time.Time) {
	e.lastRenewal.Store(int64(sent.Sub(e.startedAt)))
	e.mustRenew.Store(false)
}

func (e *Election) renew(ctx context.Context, now time.Time) {
	if now.Before(e.nextRenewal) {
		return
	}
	row := proto.CloneOf(e.row)
	row.Renewals++
	era := e.era
	result, err := e.commit(ctx, row)
	if err != nil {
		e.opts.Observer.LeaseFailed("renew", err)
		e.nextRenewal = e.opts.Now().Add(renewRetryDelay)
		return
	}
	restored := e.era != era
	if result.Committed && restored {
		// The row that was replaced may have been another router's: its version was given
		// out again.
		e.observeRow(row, result.Version)
		e.lose("the store was restored during a renewal")
		return
	}
	if result.Committed {
		e.row = row
		e.version = result.Version
		e.previousBootID = ""
		e.recordRenewal(now)
		e.leaseVersion.Store(result.Version) // after the renewal: readers pair the two
		e.nextRenewal = now.Add(renewInterval)
		return
	}
	present, version := e.conflictingRow(result)
	isPreviousHolder := e.previousBootID != "" && present.GetBootId() == e.previousBootID
	if restored && e.mayContinueOver(present) {
		e.continueOver(present, version, now)
		return
	}
	if restored || present.GetBootId() != e.opts.BootID && !isPreviousHolder || present.GetHolder() == "" {
		e.observeRow(present, version)
		e.lose("lease taken over by " + present.GetHolder())
		return
	}
	// The conflict is with an earlier renewal of this router whose reply was lost,
	// or with a late one of the previous holder.
	e.row.Renewals = present.GetRenewals()
	e.version = version
	e.nextRenewal = now
}

func (e *Election) lose(reason string) {
	e.fence = 0
	e.opts.OnLost(reason)
	e.reportHolder()
}

func (e *Election) commit(ctx context.Context, row *apiv1.SchedulerLease) (external.TxnResult, error) {
	row.Era = e.era
	value, err := proto.Marshal(row)
	if err != nil {
		return external.TxnResult{}, err
	}
	ctx, cancel := e.callContext(ctx)
	defer cancel()
	result, err := e.opts.Table.Commit(ctx, external.Txn{
		ID:     crand.Text(),
		Checks: []external.Check{{Key: leaseKey, Version: e.version}},
		Puts:   []external.Put{{Key: leaseKey, Value: value}},
	})
	e.storeFailing.Store(err != nil)
	if err == nil {
		e.era = result.Era
	}
	return result, err
}

func decodeLease(row external.Row) (*apiv1.SchedulerLease, error) {
	lease := &apiv1.SchedulerLease{}
	if row.Version == 0 {
		return lease, nil
	}
	return lease, proto.Unmarshal(row.Value, lease)
}

// conflictingRow returns the lease row that made a commit fail.
func (e *Election) conflictingRow(result external.TxnResult) (*apiv1.SchedulerLease, int64) {
	if len(result.Conflicts) == 0 {
		return &apiv1.SchedulerLease{}, 0
	}
	row := result.Conflicts[0] // commits check only the lease row
	lease, err := decodeLease(row)
	if err != nil {
		e.opts.Observer.LeaseFailed("decode", err)
	}
	return lease, row.Version
}

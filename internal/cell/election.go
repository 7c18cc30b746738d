// Package cell runs the scheduler of the engines on one router of the fleet and
// connects all routers with it. The router that schedules is the holder of a
// lease in the platform's store; the version of the row at its takeover is the
// fencing number of its orders.
package cell

import (
	"context"
	crand "crypto/rand"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

const (
	// leaseKey is the row of the lease, TABLE/KEY.
	leaseKey = "ragwortdoor-lease/scheduler"

	electionTick = 50 * time.Millisecond
	// renewEvery is the pace of renewals, renewRetry that after a failure.
	renewEvery   = 500 * time.Millisecond
	renewRetry   = 150 * time.Millisecond
	leaseTimeout = 600 * time.Millisecond // of one call to the store
	// readEvery is the pace at which a router without a scheduler reads the row.
	readEvery = 300 * time.Millisecond
	// contendJitter spreads the routers that find the lease vacant, beside a
	// delay that is longer on weaker hosts: contendDelay for a whole core.
	contendJitter   = 100 * time.Millisecond
	contendDelay    = 25 * time.Millisecond
	maxContendDelay = 600 * time.Millisecond
	contendPower    = 1.5
	// handoverBits are left below the version of the row in a fencing number, to
	// count the handovers since the takeover.
	handoverBits = 10
	// strongerBy is how much stronger than the holder a connected router must be
	// for the lease to be given up to it, after yieldAfter; the former holder
	// takes no lease for yieldFor.
	strongerBy = 2
	yieldAfter = 2 * time.Second
	yieldFor   = 2 * time.Second
	// proofEvery is the pace at which a much stronger host shows that it reaches
	// the store, standingAge how long that counts.
	proofEvery  = time.Second
	standingAge = 2500 * time.Millisecond
	// fencedPatience is how long a row must be unchanged before it is taken over
	// where engines refuse orders of former holders: three renewals.
	fencedPatience = 3 * renewEvery
	// takeoverMargin is added to the lease time where they don't.
	takeoverMargin = 500 * time.Millisecond
	// orderMargin is added to the lease time before a new holder's first order, for
	// orders of the former one that were on their way.
	orderMargin = 200 * time.Millisecond
	// pauseGap is the time between two ticks that shows that the process was
	// stopped meanwhile.
	pauseGap = 700 * time.Millisecond
)

// LeaseTerm is the time in which this router schedules.
type LeaseTerm struct {
	// Fence is the fencing number.
	Fence int64
	// OrdersAllowedFrom is when the former holder's orders are out of the way.
	OrdersAllowedFrom time.Time
}

// ElectionOptions configure an Election.
type ElectionOptions struct {
	Table   external.TableService
	Host    string
	BootID  string
	Address string
	// Cores is the processor share of this host; strong hosts go first.
	Cores float64
	// StrongestPeerCores is the processor share of the strongest router that is
	// connected to this one's scheduler; nil means that there is none.
	StrongestPeerCores func() float64
	// LeaseTime is how long two holders must not order within, where engines
	// don't check fences.
	LeaseTime         time.Duration
	EnginesCheckFence bool
	// HasActiveScheduler reports whether a scheduler that renews its lease is connected.
	HasActiveScheduler func() bool
	// SchedulerLeaseVersion is the version of the lease's row that the connected scheduler
	// goes on from, 0 without one. Rows that are not newer don't replace it.
	SchedulerLeaseVersion func() int64
	// SchedulerCores is the processor share of the connected scheduler's host, 0
	// without one; OnStanding is called when this host, much stronger than that,
	// has reached the store. Both may be nil.
	SchedulerCores   func() float64
	OnStoreReachable func()
	// OnElected and OnLost tell the beginning and the end of a tenure; OnHolder
	// tells the address of another holder.
	OnElected func(LeaseTerm)
	OnLost    func(reason string)
	OnHolder  func(host, address string)
	// HandOver gives the lease to a connected router and reports whether there
	// is one; nil means that there is none.
	HandOver func(offer Handover) bool
	Observer Observer
	// Now tells the time with a monotonic reading; nil means time.Now.
	Now func() time.Time
}

// Observer is told what an election learns, for logs.
type Observer interface {
	LeaseRead(holder string, version int64)
	LeaseFailed(op string, err error)
}

// Election competes for the lease. Its fields belong to the goroutine of Run
// but for the atomic ones.
type Election struct {
	opts ElectionOptions

	fence   int64 // 0 while another router schedules
	row     *apiv1.SchedulerLease
	version int64
	// watchedSince is when the present version was first seen.
	watchedSince time.Time
	nextRead     time.Time
	nextRenewal  time.Time
	nextTake     time.Time
	nextProof    time.Time
	yieldUntil   time.Time
	lastTick     time.Time
	electedAt    time.Time
	// storeFails is set while the last call to the store failed.
	storeFails atomic.Bool
	// renewed is when the last successful renewal was sent, in nanoseconds of
	// the monotonic clock since began.
	renewed atomic.Int64
	began   time.Time
	// resumed is set after a pause until the next renewal.
	resumed atomic.Bool
	// fenced is set when an engine has seen a higher fence.
	fenced atomic.Bool
	// superseded is the address of a new holder that a router told of.
	superseded atomic.Pointer[string]
	// leaseVersion is the row's version while this router schedules.
	leaseVersion atomic.Int64
	// interrupt ends a call to the store that is under way.
	interrupt atomic.Pointer[context.CancelFunc]
	// resigned is set once this router takes no lease any more.
	resigned atomic.Bool
	// offered is a lease that its holder hands to this router.
	offered atomic.Pointer[Handover]
	// predecessor is the boot id of the holder that handed the lease over, until
	// this router's first renewal.
	predecessor string
}

// NewElection makes an election; call Run.
func NewElection(opts ElectionOptions) *Election {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	now := opts.Now()
	return &Election{opts: opts, row: &apiv1.SchedulerLease{}, began: now, lastTick: now}
}

// Run competes until ctx ends, then releases a held lease.
func (e *Election) Run(ctx context.Context) {
	ticker := time.NewTicker(electionTick)
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
	if now.Sub(e.lastTick) > pauseGap {
		e.resumed.Store(true)
		e.nextRenewal = now
		e.watchedSince = now
	}
	e.lastTick = now
	if e.fenced.Swap(false) && e.fence != 0 {
		e.lose("an engine has seen a higher fence")
	}
	if address := e.superseded.Swap(nil); address != nil && e.fence != 0 {
		e.lose("a router follows another holder")
		e.opts.OnHolder("", *address)
	}
	offer := e.offered.Swap(nil)
	switch {
	case e.fence == 0 && offer != nil && !e.resigned.Load():
		e.succeed(*offer, now)
	case e.fence == 0:
		e.follow(ctx, now)
	case e.resigned.Load():
		e.release(ctx, "stopping")
	case e.shouldYield(now) && e.handOver("a stronger host is there", true):
		e.yieldUntil = now.Add(yieldFor)
	default:
		e.renew(ctx, now)
	}
	// A call to the store may take long; that is no pause of the process.
	e.lastTick = e.opts.Now()
}

// callContext bounds a call to the store; wake ends it.
func (e *Election) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	e.interrupt.Store(&cancel)
	return ctx, cancel
}

// MayOrder reports whether the holder may send an order now. After a pause it
// must renew first. Where engines check fences it goes on while the store can't
// be reached, since a successor's orders have a higher fence.
func (e *Election) MayOrder() bool {
	if e.resumed.Load() || e.fenced.Load() || e.superseded.Load() != nil {
		return false
	}
	if e.RenewedAgo() < e.opts.LeaseTime-takeoverMargin {
		return true
	}
	return e.opts.EnginesCheckFence && e.storeFails.Load()
}

func (e *Election) setRenewed(sent time.Time) {
	e.renewed.Store(int64(sent.Sub(e.began)))
	e.resumed.Store(false)
}

func (e *Election) renew(ctx context.Context, now time.Time) {
	if now.Before(e.nextRenewal) {
		return
	}
	row := proto.CloneOf(e.row)
	row.Renewals++
	result, err := e.commit(ctx, row)
	if err != nil {
		e.opts.Observer.LeaseFailed("renew", err)
		e.nextRenewal = e.opts.Now().Add(renewRetry)
		return
	}
	if result.Committed {
		e.row = row
		e.version = result.Version
		e.leaseVersion.Store(result.Version)
		e.predecessor = ""
		e.setRenewed(now)
		e.nextRenewal = now.Add(renewEvery)
		return
	}
	present, version := e.conflict(result)
	isPredecessor := e.predecessor != "" && present.GetBootId() == e.predecessor
	if present.GetBootId() != e.opts.BootID && !isPredecessor || present.GetHolder() == "" {
		e.see(present, version)
		e.lose("lease taken over by " + present.GetHolder())
		return
	}
	// An own renewal whose answer was lost came through, or the predecessor's.
	e.row.Renewals = present.GetRenewals()
	e.version = version
	e.nextRenewal = now
}

func (e *Election) lose(reason string) {
	e.fence = 0
	e.opts.OnLost(reason)
	e.announce()
}

// follow watches the lease of another router while no scheduler is connected.
func (e *Election) follow(ctx context.Context, now time.Time) {
	if e.opts.HasActiveScheduler() {
		e.prove(ctx, now)
		return
	}
	if now.Before(e.nextRead) {
		return
	}
	e.nextRead = now.Add(readEvery/2 + rand.N(readEvery))
	callCtx, cancel := e.callContext(ctx)
	defer cancel()
	row, err := e.opts.Table.Get(callCtx, leaseKey)
	e.storeFails.Store(err != nil)
	if err != nil {
		e.opts.Observer.LeaseFailed("read", err)
		// The holder could not renew either.
		e.watchedSince = e.opts.Now()
		return
	}
	lease, err := decodeLease(row)
	if err != nil {
		e.opts.Observer.LeaseFailed("decode", err)
		return
	}
	e.see(lease, row.Version)
	if lease.GetHolder() == "" {
		e.nextRead = e.nextTake
	}
	if lease.GetBootId() == e.opts.BootID && lease.GetHolder() != "" && !e.resigned.Load() && !now.Before(e.yieldUntil) {
		// An own takeover whose answer was lost came through.
		e.elected(row.Version, now)
		return
	}
	if e.mayTake(e.opts.Now()) {
		e.take(ctx)
	}
}

// prove reads the lease where this host is much stronger than the scheduler's. A
// lease is only given up to a host that reaches the store: one that it turns away
// could not keep it.
func (e *Election) prove(ctx context.Context, now time.Time) {
	if e.opts.SchedulerCores == nil || e.resigned.Load() || now.Before(e.nextProof) {
		return
	}
	cores := e.opts.SchedulerCores()
	if cores <= 0 || e.opts.Cores < strongerBy*cores {
		return
	}
	e.nextProof = now.Add(proofEvery/2 + rand.N(proofEvery))
	callCtx, cancel := e.callContext(ctx)
	defer cancel()
	if _, err := e.opts.Table.Get(callCtx, leaseKey); err != nil {
		e.opts.Observer.LeaseFailed("prove", err)
		return
	}
	e.opts.OnStoreReachable()
}

func decodeLease(row external.Row) (*apiv1.SchedulerLease, error) {
	lease := &apiv1.SchedulerLease{}
	if row.Version == 0 {
		return lease, nil
	}
	return lease, proto.Unmarshal(row.Value, lease)
}

// see takes over the present row.
func (e *Election) see(row *apiv1.SchedulerLease, version int64) {
	if version == e.version && !e.watchedSince.IsZero() {
		return
	}
	e.row = row
	e.version = version
	e.watchedSince = e.opts.Now()
	e.nextTake = e.watchedSince.Add(e.delay() + rand.N(contendJitter))
	e.opts.Observer.LeaseRead(row.GetHolder(), version)
	e.announce()
}

// delay makes strong hosts contend first.
func (e *Election) delay() time.Duration {
	if e.opts.Cores <= 0 {
		return contendDelay
	}
	return min(maxContendDelay, time.Duration(float64(contendDelay)/math.Pow(e.opts.Cores, contendPower)))
}

func (e *Election) announce() {
	if e.opts.SchedulerLeaseVersion != nil && e.version <= e.opts.SchedulerLeaseVersion() {
		return // it names a predecessor of the connected scheduler
	}
	if e.row.GetHolder() != "" && e.row.GetBootId() != e.opts.BootID {
		e.opts.OnHolder(e.row.GetHolder(), e.row.GetAddress())
	}
}

func (e *Election) mayTake(now time.Time) bool {
	if now.Before(e.nextTake) || now.Before(e.yieldUntil) || e.resigned.Load() {
		return false
	}
	if e.row.GetHolder() == "" {
		return true
	}
	if e.row.GetHolder() == e.opts.Host && e.row.GetBootId() != e.opts.BootID {
		return true // this host's own former process has ended
	}
	return now.Sub(e.watchedSince) >= e.patience()
}

func (e *Election) patience() time.Duration {
	if e.opts.EnginesCheckFence {
		return fencedPatience
	}
	return e.opts.LeaseTime + takeoverMargin
}

func (e *Election) take(ctx context.Context) {
	now := e.opts.Now()
	row := &apiv1.SchedulerLease{Holder: e.opts.Host, BootId: e.opts.BootID, Address: e.opts.Address}
	result, err := e.commit(ctx, row)
	if err != nil {
		e.opts.Observer.LeaseFailed("take", err)
		e.watchedSince = e.opts.Now()
		e.nextTake = e.watchedSince.Add(renewRetry)
		return
	}
	if !result.Committed {
		e.see(e.conflict(result))
		return
	}
	e.row = row
	e.elected(result.Version, now)
}

func (e *Election) elected(version int64, sent time.Time) {
	e.predecessor = ""
	e.begin(version, version<<handoverBits, sent, false)
}

func (e *Election) commit(ctx context.Context, row *apiv1.SchedulerLease) (external.TxnResult, error) {
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
	e.storeFails.Store(err != nil)
	return result, err
}

// conflict returns the row that a failed commit met.
func (e *Election) conflict(result external.TxnResult) (*apiv1.SchedulerLease, int64) {
	if len(result.Conflicts) == 0 {
		return &apiv1.SchedulerLease{}, 0
	}
	row := result.Conflicts[0] // one row is checked
	lease, err := decodeLease(row)
	if err != nil {
		e.opts.Observer.LeaseFailed("decode", err)
	}
	return lease, row.Version
}

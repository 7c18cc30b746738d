package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minBurstTime is the time whose amount a quota with a smaller burst allows at once.
	minBurstTime = 250 * time.Millisecond
	// allowanceTTL is how long a router may spend what it was dealt.
	allowanceTTL = 500 * time.Millisecond
	// spareLevel is the part of its burst that a quota must have left for routers to be dealt
	// more than they need now, spareShare the part of the rest that one of them gets.
	spareLevel = 0.5
	spareShare = 0.25
	// aloneShare is the part of its share of a quota that a router spends without a dealer. Where
	// routers are cut off, their callers are too; where they are gone, others have their callers.
	aloneShare = 0.75
	// lightReserve is the part of the burst that only light requests may use. Without it, a few
	// requests that cost much crowd out many that cost little.
	lightReserve = 0.1
	// unknownRetry is after what time a request may come back whose workspace the dealer does
	// not know yet.
	unknownRetry = 300 * time.Millisecond
)

// Quota bounds the requests of a workspace, over all routers: an amount per second, and one at
// once. Requests have costs, in the unit of the quota. A rate of 0 is no bound.
type Quota struct{ PerSecond, Burst float64 }

// capacity is what the quota allows at once.
func (q Quota) capacity() float64 {
	return max(1, q.Burst, q.PerSecond*minBurstTime.Seconds())
}

// QuotaAsk asks for a part of a quota.
type QuotaAsk struct {
	// From is the router's connection.
	From      uint64
	Workspace string
	// First is the cost of the request that waits first, All that of all that wait, Spare what
	// the router is likely to need besides until it asks next.
	First, All, Spare float64
	// Until is how long the first request can wait.
	Until time.Time
	// Light is set for requests that cost less than is usual in the workspace.
	Light bool
}

// QuotaGrant answers a QuotaAsk.
type QuotaGrant struct {
	To        uint64
	Workspace string
	// Amount may be spent within allowanceTTL; 0 for a refusal.
	Amount float64
	// RetryAfter is when the refused request may come back.
	RetryAfter time.Duration
	// Light is that of the ask.
	Light bool
}

// Dealer deals the quotas of workspaces to the routers, in amounts that expire. Its buckets are
// empty at first, since a predecessor may have dealt all that there was. It is not safe for
// concurrent use.
type Dealer struct {
	part     float64
	accounts map[string]*dealtQuota
	// unlimited are the workspaces without a quota.
	unlimited map[string]bool
}

type dealtQuota struct {
	quota   Quota
	bucket  bucket
	returns returns
	waiting []*QuotaAsk
	// dealt is what was dealt so far, refused the number of asks that were refused.
	dealt   float64
	refused int64
}

// NewDealer returns a dealer that knows of no quota.
func NewDealer() *Dealer {
	return &Dealer{part: 1, accounts: make(map[string]*dealtQuota), unlimited: make(map[string]bool)}
}

// SetQuotas replaces the quotas, by workspace. What was dealt of a quota stays dealt.
func (d *Dealer) SetQuotas(now time.Time, quotas map[string]Quota) {
	clear(d.unlimited)
	for name, quota := range quotas {
		if quota.PerSecond <= 0 {
			d.unlimited[name] = true
			continue
		}
		if d.accounts[name] == nil {
			d.accounts[name] = &dealtQuota{}
		}
		d.accounts[name].quota = quota
		d.accounts[name].adapt(now, d.part)
	}
	for name := range d.accounts {
		if quotas[name].PerSecond <= 0 {
			delete(d.accounts, name)
		}
	}
}

// SetPart sets the part of the quotas that is dealt here; other routers may spend the rest.
func (d *Dealer) SetPart(now time.Time, part float64) {
	if part == d.part {
		return
	}
	d.part = part
	for _, account := range d.accounts {
		account.adapt(now, part)
	}
}

// Reset empties the buckets, after a time in which another router may have dealt.
func (d *Dealer) Reset(now time.Time) {
	for _, account := range d.accounts {
		account.bucket.advance(now)
		account.bucket.level = min(0, account.bucket.level)
	}
}

func (a *dealtQuota) adapt(now time.Time, part float64) {
	a.bucket.set(now, a.quota.PerSecond*part, a.quota.capacity()*part)
}

// Ask decides about an ask, or queues it. The grants may be about earlier ones.
func (d *Dealer) Ask(now time.Time, ask *QuotaAsk) []QuotaGrant {
	account := d.accounts[ask.Workspace]
	if account == nil {
		if d.unlimited[ask.Workspace] {
			return []QuotaGrant{{To: ask.From, Workspace: ask.Workspace, Amount: ask.All + ask.Spare, Light: ask.Light}}
		}
		return []QuotaGrant{{To: ask.From, Workspace: ask.Workspace, RetryAfter: unknownRetry, Light: ask.Light}}
	}
	account.waiting = append(account.waiting, ask)
	return account.serve(now, nil)
}

// Return takes back what a router has not spent.
func (d *Dealer) Return(now time.Time, workspace string, amount float64) {
	if account := d.accounts[workspace]; account != nil && amount > 0 {
		account.bucket.put(now, amount)
		account.dealt -= amount
	}
}

// Withdraw removes the asks of a router.
func (d *Dealer) Withdraw(from uint64) {
	for _, account := range d.accounts {
		account.waiting = slices.DeleteFunc(account.waiting, func(a *QuotaAsk) bool { return a.From == from })
	}
}

// Tick decides about asks that wait.
func (d *Dealer) Tick(now time.Time) []QuotaGrant {
	var grants []QuotaGrant
	for _, account := range d.accounts {
		if len(account.waiting) > 0 {
			grants = account.serve(now, grants)
		}
	}
	return grants
}

// serve decides about the asks of a workspace: light ones, then the others, in the order of their
// arrival.
func (a *dealtQuota) serve(now time.Time, grants []QuotaGrant) []QuotaGrant {
	slices.SortStableFunc(a.waiting, func(x, y *QuotaAsk) int { return cmp.Compare(x.reserve(), y.reserve()) })
	kept := a.waiting[:0]
	ahead := 0.0
	for _, ask := range a.waiting {
		wait := a.bucket.until(now, ahead, ask.First, ask.reserve()*a.bucket.capacity)
		switch {
		case ahead == 0 && wait == 0:
			grants = append(grants, QuotaGrant{To: ask.From, Workspace: ask.Workspace, Amount: a.deal(now, ask), Light: ask.Light})
		case now.Add(wait).After(ask.Until):
			a.refused++
			retryAfter := a.returns.next(now, wait, timeFor(ask.All, a.bucket.rate))
			grants = append(grants, QuotaGrant{To: ask.From, Workspace: ask.Workspace, RetryAfter: retryAfter, Light: ask.Light})
		default:
			ahead += ask.First
			kept = append(kept, ask)
		}
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
	return grants
}

// reserve is the part of the burst that the ask leaves.
func (a *QuotaAsk) reserve() float64 {
	if a.Light {
		return 0
	}
	return lightReserve
}

// deal takes what an ask gets: at least the cost of its first request.
func (a *dealtQuota) deal(now time.Time, ask *QuotaAsk) float64 {
	a.bucket.take(now, ask.First)
	more := min(max(0, ask.All-ask.First), max(0, a.bucket.available(now)-ask.reserve()*a.bucket.capacity))
	if left := a.bucket.available(now) - more; left > spareLevel*a.bucket.capacity {
		more += min(ask.Spare, spareShare*left)
	}
	more = math.Floor(more) // messages have whole amounts
	a.bucket.take(now, more)
	a.dealt += ask.First + more
	return ask.First + more
}

// QuotaState is how a quota stands at the dealer.
type QuotaState struct {
	Quota
	// Left is what could be dealt now, Dealt what was dealt so far in this term.
	Left, Dealt float64
	// Refused is the number of asks that were refused.
	Refused int64
}

// States returns how the quotas stand, by workspace.
func (d *Dealer) States(now time.Time) map[string]QuotaState {
	states := make(map[string]QuotaState, len(d.accounts))
	for name, a := range d.accounts {
		states[name] = QuotaState{Quota: a.quota, Left: a.bucket.available(now), Dealt: a.dealt, Refused: a.refused}
	}
	return states
}

// PartInputs say what a dealer knows about the routers.
type PartInputs struct {
	// Connected is the number of routers that are connected. Known is the number of those that
	// there may be; of them, Unseen were never connected in this dealer's term.
	Connected, Known, Unseen int
	// LeaseFresh is false if another router may have taken the lease meanwhile.
	LeaseFresh bool
}

// Part returns the part of the quotas that a dealer may deal, so that all parts together are at
// most one. A router that is not connected to any dealer spends aloneShare of its own. Routers that a
// dealer has never seen may belong to an earlier one, which still has a majority of them.
func Part(in PartInputs) float64 {
	known := max(in.Known, in.Connected, 1)
	each := 1 / float64(known)
	if in.LeaseFresh {
		part := 1 - aloneShare*float64(known-in.Connected)*each
		if 2*in.Unseen >= known {
			part -= (1 - aloneShare) * float64(in.Unseen) * each
		}
		return part
	}
	switch {
	case in.Connected >= known:
		return 1
	case 2*in.Connected > known:
		return float64(in.Connected) * each
	}
	return aloneShare * float64(in.Connected) * each
}

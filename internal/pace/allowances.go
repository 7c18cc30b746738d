package pace

import (
	"sync"
	"time"
)

const (
	// slotTime is the time for which a router estimates what it is likely to need.
	slotTime = 250 * time.Millisecond
	// refusedTime is how long a router refuses by itself after the dealer did.
	refusedTime = 50 * time.Millisecond
	// usualCostWeight is the weight of a request in the usual cost.
	usualCostWeight = 0.05
	// toleranceShare is the part of the tolerance of a quota that routers without a dealer use
	// up for small requests, and again for large ones.
	toleranceShare = 0.25
)

// Tolerance is what may pass beyond a quota.
type Tolerance struct {
	// Window is the time in which amounts are counted, Share what may pass beyond a quota as a
	// fraction of what it allows in that time, Slack as an amount.
	Window       time.Duration
	Share, Slack float64
}

// of returns the tolerance of a quota in a window.
func (t Tolerance) of(q Quota) float64 {
	return t.Share*(q.PerSecond*t.Window.Seconds()+q.Burst) + t.Slack
}

// Allowances are what this router may spend of the quotas of workspaces. A dealer deals them; while
// none is connected, the router spends aloneShare of its part of each quota. It is safe for
// concurrent use.
type Allowances struct {
	host      string
	tolerance Tolerance

	mu       sync.Mutex
	accounts map[string]*allowance
	// routers is the number of routers that the last dealer knew, 0 before the first one.
	routers int
}

// allowance is what the router may spend of one quota.
type allowance struct {
	quota     Quota
	left      float64
	expiresAt time.Time
	// fence is that of the dealer who dealt it.
	fence int64
	// slotAt is when the current slot began, spent what was spent in it and spentBefore in the
	// one before.
	slotAt             time.Time
	spent, spentBefore float64
	// usualCost is a moving average of the costs of requests.
	usualCost float64
	// Until refusedUntil requests that cost refusedCost or more are refused without the dealer.
	refusedUntil time.Time
	refusedCost  float64
	returns      returns
	// alone is this router's own part, without a dealer.
	alone bucket
}

// NewAllowances returns allowances of no quota.
func NewAllowances(host string, tolerance Tolerance) *Allowances {
	return &Allowances{host: host, tolerance: tolerance, accounts: make(map[string]*allowance)}
}

// SetQuotas replaces the quotas, by workspace. What was spent of a quota stays spent.
func (a *Allowances) SetQuotas(now time.Time, quotas map[string]Quota) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, quota := range quotas {
		if quota.PerSecond > 0 {
			account := a.account(name)
			account.quota = quota
			a.adaptAlone(now, account)
		}
	}
	for name := range a.accounts {
		if quotas[name].PerSecond <= 0 {
			delete(a.accounts, name)
		}
	}
}

// SetRouters takes in the number of routers that a dealer knows.
func (a *Allowances) SetRouters(now time.Time, routers int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if routers <= 0 || routers == a.routers {
		return
	}
	a.routers = routers
	for _, account := range a.accounts {
		a.adaptAlone(now, account)
	}
}

func (a *Allowances) account(name string) *allowance {
	account := a.accounts[name]
	if account == nil {
		account = &allowance{}
		a.accounts[name] = account
	}
	return account
}

// adaptAlone sets what the router may spend without a dealer. The first time, it may spend its
// part of the tolerance at once. A router that no dealer has told how many there are spends
// nothing: many may start together.
func (a *Allowances) adaptAlone(now time.Time, account *allowance) {
	if a.routers == 0 {
		return
	}
	first := account.alone.at.IsZero()
	capacity := a.aloneBurst(account.quota) / float64(a.routers)
	account.alone.set(now, aloneShare*account.quota.PerSecond/float64(a.routers), capacity)
	if first {
		account.alone.level = capacity
	}
}

// aloneBurst is what all routers without a dealer may spend at once.
func (a *Allowances) aloneBurst(quota Quota) float64 {
	return toleranceShare*a.tolerance.of(quota) + aloneShare*quota.Burst
}

// Take spends a cost and reports whether the allowance had it.
func (a *Allowances) Take(now time.Time, workspace string, cost float64) (SpentFrom, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.accounts[workspace]
	if account == nil || account.left < cost || now.After(account.expiresAt) {
		return SpentFrom{}, false
	}
	account.left -= cost
	account.note(now, cost)
	return SpentFrom{Fence: account.fence}, true
}

// note counts what is spent, for Spare.
func (a *allowance) note(now time.Time, cost float64) {
	if passed := now.Sub(a.slotAt); passed >= slotTime {
		a.spentBefore = 0
		if passed < 2*slotTime {
			a.spentBefore = a.spent
		}
		a.slotAt, a.spent = now, 0
	}
	a.spent += cost
}

// IsLight reports whether a request costs less than is usual in its workspace, and takes its cost
// in.
func (a *Allowances) IsLight(workspace string, cost float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.accounts[workspace]
	if account == nil {
		return false
	}
	if account.usualCost == 0 {
		account.usualCost = cost
	}
	light := cost < account.usualCost
	account.usualCost += usualCostWeight * (cost - account.usualCost)
	return light
}

// Spare returns what the router is likely to need until it asks next.
func (a *Allowances) Spare(now time.Time, workspace string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.accounts[workspace]
	if account == nil || now.Sub(account.slotAt) >= 2*slotTime {
		return 0
	}
	return max(account.spent, account.spentBefore)
}

// Grant adds what a dealer dealt.
func (a *Allowances) Grant(now time.Time, workspace string, amount float64, fence int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.account(workspace)
	if account.fence != fence || now.After(account.expiresAt) {
		account.left, account.fence = 0, fence
	}
	account.left += amount
	account.expiresAt = now.Add(allowanceTTL)
	account.refusedUntil = time.Time{}
}

// Refuse takes in that the dealer refused a request of a cost, and returns when it may come back.
// Requests that follow it and cost as much are refused without the dealer for a moment.
func (a *Allowances) Refuse(now time.Time, workspace string, cost float64, retryAfter time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.account(workspace)
	if now.After(account.refusedUntil) || cost < account.refusedCost {
		account.refusedCost = cost
	}
	account.refusedUntil = now.Add(min(refusedTime, retryAfter))
	return account.comeBack(now, cost, retryAfter)
}

// RefusedFor returns after what time a request may come back that follows others which the dealer
// has just refused; 0 if the dealer has to be asked.
func (a *Allowances) RefusedFor(now time.Time, workspace string, cost float64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.accounts[workspace]
	if account == nil || !now.Before(account.refusedUntil) || cost < account.refusedCost {
		return 0
	}
	return account.comeBack(now, cost, account.refusedUntil.Sub(now))
}

func (a *allowance) comeBack(now time.Time, cost float64, wait time.Duration) time.Duration {
	return a.returns.next(now, wait, timeFor(cost, a.quota.PerSecond))
}

// TakeAlone spends a cost without a dealer and reports whether this router's own part had it. A
// request that is larger than that part passes on few routers only.
func (a *Allowances) TakeAlone(now time.Time, workspace string, cost float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.accounts[workspace]
	if account == nil || account.quota.PerSecond <= 0 || a.routers == 0 {
		return false
	}
	if cost > account.alone.capacity && !isAmong(a.aloneBurst(account.quota)/cost, float64(a.routers), workspace, a.host) {
		return false
	}
	return account.alone.take(now, cost)
}

// Refund gives back what was spent on a request that has not run.
func (a *Allowances) Refund(now time.Time, workspace string, cost float64, spent SpentFrom) {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.accounts[workspace]
	switch {
	case account == nil:
	case spent.Alone:
		account.alone.put(now, cost)
	case account.fence == spent.Fence:
		account.left += cost
	}
}

// SpentFrom says from what the cost of a request was taken.
type SpentFrom struct {
	// Alone is set for this router's own part; else Fence is that of the dealer.
	Alone bool
	Fence int64
}

// Unspent is what is left of an allowance that has expired.
type Unspent struct {
	Workspace string
	Amount    float64
	Fence     int64
}

// TakeExpired returns what is left of the allowances that have expired, which belongs to the
// dealer.
func (a *Allowances) TakeExpired(now time.Time) []Unspent {
	a.mu.Lock()
	defer a.mu.Unlock()
	var expired []Unspent
	for name, account := range a.accounts {
		if account.left > 0 && now.After(account.expiresAt) {
			expired = append(expired, Unspent{name, account.left, account.fence})
			account.left = 0
		}
	}
	return expired
}

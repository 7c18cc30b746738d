package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	fleetStep   = 10 * time.Millisecond
	fleetWindow = 8 * time.Second
	fleetLink   = 800 * time.Millisecond // until a router notices that its dealer is gone
	fleetLease  = 1500 * time.Millisecond
)

var fleetTolerance = Tolerance{Window: fleetWindow, Share: 0.1, Slack: 4000}

// quotaFleet is routers and dealers without a network. Requests of one workspace arrive at its
// routers; what they spend is what upstreams receive.
type quotaFleet struct {
	now     time.Time
	rng     *rand.Rand
	quota   Quota
	routers []*quotaRouter
	// leaders are the dealers that live; the last one holds the lease.
	leaders []*quotaLeader
	fence   int64
	// electAt is when the next dealer is elected, zero if none is due.
	electAt  time.Time
	cutOff   map[*quotaRouter]bool // from the last leader's side
	spent    []float64             // by step
	messages int
}

type quotaRouter struct {
	allowances *Allowances
	leader     *quotaLeader
	waits      float64 // cost of the request that waits for a grant, 0 for none
}

type quotaLeader struct {
	dealer  *Dealer
	fence   int64
	lostAt  time.Time // when its lease was renewed last; zero while it can renew
	frozen  bool
	own     *quotaRouter
	told    int
	beganAt time.Time
	seen    map[*quotaRouter]bool
}

func newQuotaFleet(seed uint64, routers int, quota Quota) *quotaFleet {
	f := &quotaFleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), quota: quota, cutOff: map[*quotaRouter]bool{}}
	for i := range routers {
		r := &quotaRouter{allowances: NewAllowances(fmt.Sprint("r", i), fleetTolerance)}
		r.allowances.SetQuotas(f.now, f.quotas())
		f.routers = append(f.routers, r)
	}
	f.elect()
	return f
}

func (f *quotaFleet) quotas() map[string]Quota { return map[string]Quota{"w": f.quota} }

func (f *quotaFleet) setQuota(quota Quota) {
	f.quota = quota
	for _, r := range f.routers {
		r.allowances.SetQuotas(f.now, f.quotas())
	}
	for _, l := range f.leaders {
		l.dealer.SetQuotas(f.now, f.quotas())
	}
}

// elect gives the lease to a router that is not cut off and has no leader.
func (f *quotaFleet) elect() {
	f.electAt = time.Time{}
	f.fence++
	l := &quotaLeader{dealer: NewDealer(), fence: f.fence, beganAt: f.now, seen: map[*quotaRouter]bool{}}
	l.dealer.SetQuotas(f.now, f.quotas())
	for _, r := range f.routers {
		if r.leader == nil && !f.cutOff[r] {
			l.told = max(l.told, r.allowances.routers)
			r.leader = l
			l.own = r
		}
	}
	if l.own == nil {
		f.electAt = f.now.Add(300 * time.Millisecond)
		return
	}
	f.leaders = append(f.leaders, l)
}

func (f *quotaFleet) leader() *quotaLeader {
	if len(f.leaders) == 0 {
		return nil
	}
	return f.leaders[len(f.leaders)-1]
}

// lose ends the links of the routers that match; they notice it after a while.
func (f *quotaFleet) lose(matches func(*quotaRouter) bool) {
	for _, r := range f.routers {
		if matches(r) {
			r.leader, r.waits = nil, 0
		}
	}
}

func (f *quotaFleet) kill() {
	l := f.leader()
	f.leaders = f.leaders[:len(f.leaders)-1]
	f.lose(func(r *quotaRouter) bool { return r.leader == l })
	f.electAt = f.now.Add(fleetLease + time.Duration(f.rng.IntN(2000))*time.Millisecond)
}

// freeze stops the leader for 5 s; it then deals for its own router until it learns of its
// successor.
func (f *quotaFleet) freeze() {
	l := f.leader()
	l.frozen = true
	f.lose(func(r *quotaRouter) bool { return r.leader == l })
	f.electAt = f.now.Add(fleetLease)
	f.run(5*time.Second, 0, 0)
	l.frozen = false
	l.lostAt = f.now.Add(-5 * time.Second)
	l.dealer.Reset(f.now)
	former := l.own.leader
	l.own.leader, l.own.waits = l, 0
	f.run(300*time.Millisecond, 0, 0)
	l.own.leader, l.own.waits = former, 0
	f.drop(l)
}

func (f *quotaFleet) drop(l *quotaLeader) {
	for i, other := range f.leaders {
		if other == l {
			f.leaders = append(f.leaders[:i], f.leaders[i+1:]...)
		}
	}
	f.lose(func(r *quotaRouter) bool { return r.leader == l })
}

// cut parts the leader and a share of the routers from the others and the store for a time.
func (f *quotaFleet) cut(share float64, length time.Duration, demand float64) {
	l := f.leader()
	l.lostAt = f.now
	f.lose(func(r *quotaRouter) bool { return r != l.own && f.rng.Float64() >= share })
	for _, r := range f.routers {
		f.cutOff[r] = r.leader == l
	}
	f.electAt = f.now.Add(fleetLease)
	f.run(length, demand, 0)
	clear(f.cutOff)
	if f.leader() != l {
		f.drop(l)
	} else {
		f.electAt = time.Time{} // it keeps its lease
	}
	l.lostAt = time.Time{}
}

// restart replaces a share of the routers by new processes.
func (f *quotaFleet) restart(share float64) {
	for i, r := range f.routers {
		if f.rng.Float64() < share && (f.leader() == nil || f.leader().own != r) {
			r.allowances = NewAllowances(fmt.Sprint("r", i), fleetTolerance)
			r.allowances.SetQuotas(f.now, f.quotas())
			r.leader, r.waits = nil, 0
		}
	}
}

// run lets time pass in which requests cost demand per second. at is the router that gets all of
// them, from 1; 0 spreads them.
func (f *quotaFleet) run(length time.Duration, demand float64, at int) {
	const cost = 90
	due := 0.0
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		f.spent = append(f.spent, 0)
		if !f.electAt.IsZero() && !f.now.Before(f.electAt) {
			f.elect()
		}
		f.tickLeaders()
		due += demand * fleetStep.Seconds()
		for ; due >= cost; due -= cost {
			r := f.routers[f.rng.IntN(len(f.routers))]
			if at > 0 {
				r = f.routers[at-1]
			}
			f.request(r, cost)
		}
	}
}

func (f *quotaFleet) tickLeaders() {
	for _, l := range f.leaders {
		if l.frozen {
			continue
		}
		connected := 0
		for _, r := range f.routers {
			if r.leader == nil && l == f.leader() && f.cutOff[r] == f.cutOff[l.own] && f.rng.Float64() < 0.1 {
				r.leader = l
			}
			if r.leader == l {
				connected++
				l.seen[r] = true
				r.allowances.SetRouters(f.now, len(f.routers))
			}
		}
		in := PartInputs{Connected: connected, Known: max(len(l.seen), l.told), LeaseFresh: l.lostAt.IsZero() || f.now.Sub(l.lostAt) < fleetLease}
		in.Unseen = in.Known - len(l.seen)
		l.dealer.SetPart(f.now, Part(in))
		for _, grant := range l.dealer.Tick(f.now) {
			f.deliver(l, grant)
		}
	}
	for _, r := range f.routers {
		for _, u := range r.allowances.TakeExpired(f.now) {
			if r.leader != nil && r.leader.fence == u.Fence {
				f.messages++
				r.leader.dealer.Return(f.now, u.Workspace, u.Amount)
			}
		}
	}
}

func (f *quotaFleet) deliver(l *quotaLeader, grant QuotaGrant) {
	r := f.routers[grant.To]
	if r.leader != l {
		return
	}
	waited := r.waits
	r.waits = 0
	if grant.Amount <= 0 {
		r.allowances.Refuse(f.now, "w", waited, grant.RetryAfter)
		return
	}
	r.allowances.Grant(f.now, "w", grant.Amount, l.fence)
	if waited > 0 {
		f.request(r, waited)
	}
}

func (f *quotaFleet) request(r *quotaRouter, cost float64) {
	if _, ok := r.allowances.Take(f.now, "w", cost); ok {
		f.spent[len(f.spent)-1] += cost
		return
	}
	if r.leader == nil {
		if r.allowances.TakeAlone(f.now, "w", cost) {
			f.spent[len(f.spent)-1] += cost
		}
		return
	}
	if r.waits > 0 || r.leader.frozen || r.allowances.RefusedFor(f.now, "w", cost) > 0 {
		return
	}
	r.waits = cost
	f.messages++
	index := uint64(0)
	for i, other := range f.routers {
		if other == r {
			index = uint64(i)
		}
	}
	ask := &QuotaAsk{From: index, Workspace: "w", First: cost, All: cost, Spare: r.allowances.Spare(f.now, "w"), Until: f.now.Add(100 * time.Millisecond)}
	for _, grant := range r.leader.dealer.Ask(f.now, ask) {
		f.deliver(r.leader, grant)
	}
}

// total returns what was spent in the last steps of a time.
func (f *quotaFleet) total(last time.Duration) float64 {
	sum := 0.0
	for _, s := range f.spent[max(0, len(f.spent)-int(last/fleetStep)):] {
		sum += s
	}
	return sum
}

// worst returns the most that was spent in any window since step from.
func (f *quotaFleet) worst(from int) float64 {
	worst, sum := 0.0, 0.0
	steps := int(fleetWindow / fleetStep)
	for i := from; i < len(f.spent); i++ {
		sum += f.spent[i]
		if i-from >= steps {
			sum -= f.spent[i-steps]
		}
		worst = max(worst, sum)
	}
	return worst
}

// In each window no more is spent than the quota and its tolerance, whatever happens to dealers and
// routers; and after a while of calm, nine tenths of the quota are used if more is asked for.
func TestQuotaHoldsOverDrawnFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := Quota{PerSecond: rapid.Float64Range(500, 20000).Draw(t, "rate")}
		quota.Burst = quota.PerSecond * rapid.Float64Range(0, 2).Draw(t, "burst")
		f := newQuotaFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 40).Draw(t, "routers"), quota)
		from := 0
		for range rapid.IntRange(2, 6).Draw(t, "faults") {
			demand := f.quota.PerSecond * rapid.Float64Range(0.2, 5).Draw(t, "demand")
			length := time.Duration(rapid.IntRange(500, 12000).Draw(t, "ms")) * time.Millisecond
			at := rapid.IntRange(0, len(f.routers)).Draw(t, "at")
			fault := rapid.SampledFrom([]string{"none", "kill", "freeze", "cut", "restart", "down", "up"}).Draw(t, "fault")
			if f.leader() == nil || f.leader().beganAt.Add(3*time.Second).After(f.now) {
				fault = "none"
			}
			if fault == "down" && f.quota.PerSecond < 2000 {
				fault = "none" // what is used could not be told from the cost of a request
			}
			switch fault {
			case "kill":
				f.kill()
			case "freeze":
				f.freeze()
			case "cut":
				f.cut(rapid.Float64Range(0, 1).Draw(t, "share"), length, demand)
			case "restart":
				f.restart(rapid.Float64Range(0, 1).Draw(t, "share"))
			case "down":
				f.check(t, from)
				f.setQuota(Quota{f.quota.PerSecond / 4, f.quota.Burst / 4})
				f.run(allowanceTTL, demand, at)
				from = len(f.spent)
			case "up":
				f.check(t, from)
				from = len(f.spent)
				f.setQuota(Quota{f.quota.PerSecond * 2, f.quota.Burst * 2})
			}
			f.run(length, demand, at)
			f.check(t, from)
		}
		f.run(12*time.Second, 0, 0) // all are connected, and routers that were lost are found again
		at := rapid.IntRange(0, len(f.routers)).Draw(t, "at")
		f.run(fleetWindow, 3*f.quota.PerSecond, at)
		if used := f.total(fleetWindow); used < 0.9*f.quota.PerSecond*fleetWindow.Seconds() {
			t.Fatalf("of a quota of %+v %g was used in %v", f.quota, used, fleetWindow)
		}
		f.check(t, from)
	})
}

func (f *quotaFleet) check(t *rapid.T, from int) {
	t.Helper()
	allowed := f.quota.PerSecond*fleetWindow.Seconds() + f.quota.Burst
	if worst := f.worst(from); worst > allowed+fleetTolerance.of(f.quota) {
		t.Fatalf("%g was spent in %v, %g are allowed (quota %+v, %d routers)", worst, fleetWindow, allowed+fleetTolerance.of(f.quota), f.quota, len(f.routers))
	}
}

// In calm no request below the quota is refused, wherever it arrives, and the messages grow no
// faster than the routers.
func TestQuotaInCalm(t *testing.T) {
	perRouter := map[int]float64{}
	for _, routers := range []int{30, 300} {
		f := newQuotaFleet(1, routers, Quota{PerSecond: 90 * 10 * float64(routers), Burst: 90 * 10 * float64(routers)})
		f.run(3*time.Second, 0, 0)
		for _, at := range []int{0, 1, 2, 0} {
			demand := 0.8 * f.quota.PerSecond
			before := f.messages
			f.run(4*time.Second, demand, at)
			if used := f.total(4 * time.Second); used < 0.98*4*demand {
				t.Errorf("%d routers, requests at %d: %g of %g were served", routers, at, used, 4*demand)
			}
			perSecond := float64(f.messages-before) / 4
			t.Logf("%d routers, requests at %d: %.0f messages a second", routers, at, perSecond)
			if at == 0 {
				perRouter[routers] = perSecond / float64(routers)
			}
		}
	}
	if perRouter[300] > 1.2*perRouter[30] {
		t.Errorf("messages a second and router: %v", perRouter)
	}
}

func BenchmarkQuotaCheck(b *testing.B) {
	now := time.Unix(1000, 0)
	a := NewAllowances("r", Tolerance{})
	for i := range 100 {
		a.Grant(now, fmt.Sprint("w", i), 1e18, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := a.Take(now, "w7", 90); !ok {
			b.Fatal("the allowance does not suffice")
		}
	}
}

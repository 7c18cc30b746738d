package pace

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

const (
	simLength = 40 * time.Second
	simNamed  = time.Second // when the upstream first names its limit
	simWindow = 4 * time.Second
	// A router is bound by the rule from simTold after its first response that names the
	// limit, the upstream's count from simGrace after the first of all.
	simTold  = 500 * time.Millisecond
	simGrace = 3 * time.Second
	// simSettled is the time after a change of the holder from which enough must be used.
	simSettled  = 2 * time.Second
	simUpstream = "u"
)

// simFleet plays routers, a holder and one upstream with a limit in simulated time. Its routers
// ask the holder as those of package entry do.
type simFleet struct {
	random   *rand.Rand
	now      time.Time
	start    time.Time
	events   simEvents
	routers  []*simRouter
	holder   *Holder
	holderAt *simRouter
	// limit is what the upstream names, 0 for nothing.
	limit    float64
	arrivals []simArrival
	changes  []time.Time // of the holder
	// disconnected is set once a router was cut off or restarted.
	disconnected bool
	lastKey      uint64
	asks         map[uint64]*simAsk
}

type simRouter struct {
	*Router
	host string
	// linked is set while the router is connected to the holder, cut while it can't be.
	linked, cut bool
	toldAt      time.Time // of the first response with the limit; zero before
	excused     time.Time // until then nothing it sends counts
	lag         time.Duration
}

type simAsk struct {
	router   *simRouter
	deadline time.Time
}

type simArrival struct {
	at      time.Time
	counted bool
}

type simEvent struct {
	at time.Time
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *simFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, simEvent{f.now.Add(d), do})
}

func (f *simFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d)))
}

func newSimFleet(seed uint64, limit float64) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_000_000, 0), asks: make(map[uint64]*simAsk)}
	f.now = f.start
	for i := range []int{1, 3, 4, 30, 300}[f.random.IntN(5)] {
		host := fmt.Sprint("r", i)
		f.routers = append(f.routers, &simRouter{Router: NewRouter(host), host: host, lag: time.Millisecond + f.upTo(20*time.Millisecond)})
	}
	f.elect()
	f.after(simNamed, func() { f.limit = limit })
	return f
}

// elect makes a router the holder. The others connect within a second.
func (f *simFleet) elect() {
	f.holderAt = f.routers[f.random.IntN(len(f.routers))]
	f.holder = NewHolder()
	holder := f.holder
	for _, r := range f.routers {
		f.after(f.upTo(time.Second), func() { f.link(r, holder) })
	}
	f.after(0, func() { f.tick(holder) })
}

func (f *simFleet) link(r *simRouter, holder *Holder) {
	if holder == nil || f.holder != holder || r.cut {
		return
	}
	r.linked = true
	for _, limit := range r.Limits() {
		f.after(r.lag, func() { f.report(holder, limit) })
	}
	f.after(r.lag, func() { f.relay(holder) })
}

func (f *simFleet) tick(holder *Holder) {
	if f.holder != holder {
		return
	}
	f.decide(holder.Tick(f.now))
	f.after(10*time.Millisecond, func() { f.tick(holder) })
}

func (f *simFleet) report(holder *Holder, limit Limit) {
	if f.holder == holder && holder.Note(f.now, limit) {
		f.relay(holder)
	}
}

// relay tells all connected routers the limits and their shares.
func (f *simFleet) relay(holder *Holder) {
	if f.holder != holder {
		return
	}
	var hosts []string
	for _, r := range f.routers {
		if r.linked {
			hosts = append(hosts, r.host)
		}
	}
	for _, limit := range holder.Limits() {
		shares := Shares(limit.UpstreamID, limit.PerSecond, hosts)
		for _, r := range f.routers {
			if r.linked {
				share := shares[r.host]
				f.after(r.lag, func() {
					r.Note(f.now, limit)
					r.SetShares(f.now, len(hosts), map[string]float64{limit.UpstreamID: share})
				})
			}
		}
	}
}

// lose ends the holder; the routers notice within its heartbeat timeout. Another one follows.
func (f *simFleet) lose() {
	f.holder = nil
	f.changes = append(f.changes, f.now)
	for _, r := range f.routers {
		f.after(f.upTo(800*time.Millisecond), func() {
			if f.holder == nil {
				r.linked = false
			}
		})
	}
	f.after(1500*time.Millisecond+f.upTo(1500*time.Millisecond), func() {
		for _, r := range f.routers {
			r.linked = false
		}
		f.changes = append(f.changes, f.now)
		f.elect()
	})
}

// cutOff cuts a router off for a while.
func (f *simFleet) cutOff(r *simRouter) {
	r.cut, r.linked = true, false
	length := f.upTo(5 * time.Second)
	r.excused = f.now.Add(length + simGrace)
	f.after(length, func() {
		r.cut = false
		f.link(r, f.holder)
	})
}

// restart makes a router forget all.
func (f *simFleet) restart(r *simRouter) {
	r.Router, r.toldAt, r.linked = NewRouter(r.host), time.Time{}, false
	f.after(f.upTo(500*time.Millisecond), func() { f.link(r, f.holder) })
}

// request is one request of a caller at a router.
func (f *simFleet) request(r *simRouter, deadline time.Time) {
	switch {
	case !r.IsLimited(simUpstream):
		f.send(r)
	case r.linked && f.holder != nil:
		f.lastKey++
		key, holder := f.lastKey, f.holder
		f.asks[key] = &simAsk{r, deadline}
		ask := &Ask{Key: key, Upstreams: []string{simUpstream}, Deadline: deadline, MayWait: true}
		f.after(r.lag, func() {
			if f.holder == holder {
				f.decide(holder.Submit(f.now, ask))
			}
		})
	case r.TakeAlone(f.now, simUpstream):
		f.send(r)
	case f.now.Before(deadline):
		f.after(20*time.Millisecond, func() { f.request(r, deadline) })
	}
}

func (f *simFleet) decide(decisions []Decision) {
	for _, d := range decisions {
		if ask := f.asks[d.Ask.Key]; d.UpstreamID != "" && ask != nil {
			f.after(ask.router.lag, func() { f.send(ask.router) })
		}
		delete(f.asks, d.Ask.Key)
	}
}

func (f *simFleet) send(r *simRouter) {
	asked, incarnation := f.now, r.Router
	f.after(r.lag, func() {
		counted := !r.toldAt.IsZero() && f.now.Sub(r.toldAt) >= simTold && !f.now.Before(r.excused)
		f.arrivals = append(f.arrivals, simArrival{f.now, counted})
		notice := Notice{}
		if f.limit > 0 {
			notice = Notice{Limited, f.limit}
		}
		f.after(f.upTo(300*time.Millisecond), func() {
			if r.Router != incarnation {
				return
			}
			if notice.Kind == Limited && r.toldAt.IsZero() {
				r.toldAt = f.now
			}
			limit := Limit{UpstreamID: simUpstream, StartedMs: 1, Statement: Statement{Notice: notice, AskedAt: asked, HeardAt: f.now}}
			if holder := f.holder; r.Note(f.now, limit) && r.linked && holder != nil {
				f.after(r.lag, func() { f.report(holder, limit) })
			}
		})
	})
}

// demandAt sends requests at a rate, at one router or at all.
func (f *simFleet) demandAt(perSecond float64, routers []*simRouter) {
	f.request(routers[f.random.IntN(len(routers))], f.now.Add(time.Second))
	f.after(time.Duration((0.5+f.random.Float64())*float64(time.Second)/perSecond), func() { f.demandAt(perSecond, routers) })
}

func (f *simFleet) run() {
	for end := f.start.Add(simLength); len(f.events) > 0 && f.now.Before(end); {
		event := heap.Pop(&f.events).(simEvent)
		f.now = event.at
		event.do()
	}
}

// most returns the most counted arrivals in a window.
func (f *simFleet) most() int {
	most, from := 0, 0
	counted := slices.DeleteFunc(slices.Clone(f.arrivals), func(a simArrival) bool {
		return !a.counted || a.at.Sub(f.start) < simNamed+simGrace
	})
	for i, a := range counted {
		for a.at.Sub(counted[from].at) >= simWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// leastUse returns the least part of a limit that was served in a window without a change of the
// holder.
func (f *simFleet) leastUse(limit float64) float64 {
	least := 1.0
	window := max(simWindow, time.Duration(8/limit*float64(time.Second)))
	for from := f.start.Add(simNamed + simGrace); from.Add(window).Before(f.start.Add(simLength)); from = from.Add(time.Second) {
		changed := slices.ContainsFunc(f.changes, func(at time.Time) bool { return at.After(from.Add(-simSettled)) && at.Before(from.Add(window)) })
		if changed {
			continue
		}
		n := 0
		for _, a := range f.arrivals {
			if !a.at.Before(from) && a.at.Before(from.Add(window)) {
				n++
			}
		}
		least = min(least, float64(n+1)/(limit*window.Seconds()))
	}
	return least
}

// Guards against shares of a limit that add up to more than it, and against unused ones.
func TestFleetKeepsToALimitAndUsesIt(t *testing.T) {
	seeds := 30
	if n, err := strconv.Atoi(os.Getenv("STEPS")); err == nil {
		seeds = n / 200
	}
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 2))
		limit := []float64{0.5, 1, 4, 25, 60}[random.IntN(5)]
		f := newSimFleet(seed, limit)
		name := fmt.Sprintf("seed %d, %d routers, limit %g", seed, len(f.routers), limit)
		at := f.routers
		if random.IntN(2) == 0 {
			at = f.routers[:1]
		}
		f.demandAt(10*limit, at)
		if random.IntN(3) > 0 {
			f.disturb(random)
		}
		f.run()
		if most, allowed := f.most(), int(1.5*limit*simWindow.Seconds()+5); most > allowed {
			t.Errorf("%s: %d requests in %v, allowed %d", name, most, simWindow, allowed)
		}
		if use := f.leastUse(limit); !f.disconnected && use < 0.75 {
			t.Errorf("%s: %.2f of the limit used", name, use)
		}
	}
}

// disturb draws changes of the holder, cuts and restarts.
func (f *simFleet) disturb(random *rand.Rand) {
	for range 1 + random.IntN(5) {
		at := simNamed + time.Duration(random.Int64N(int64(simLength-simNamed)))
		r := f.routers[random.IntN(len(f.routers))]
		kind := random.IntN(4)
		f.disconnected = f.disconnected || kind <= 1
		f.after(at, func() {
			switch {
			case kind == 0:
				f.cutOff(r)
			case kind == 1:
				f.restart(r)
			case f.holder != nil:
				f.lose()
			}
		})
	}
}

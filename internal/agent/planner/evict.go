package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/agent/ledger"
	"github.com/ragwortdoor/ragwortdoor/internal/keepalive"
)

const (
	// assumedLoad stands in for the load time of a model that was never loaded.
	assumedLoad = 5 * time.Second
	// assumedAdapterLoad does so for an adapter.
	assumedAdapterLoad = 10 * time.Millisecond
	minNextUse         = time.Second
)

// victim is something idle that may be unloaded to make room.
type victim struct {
	replica *replica
	adapter string // empty for the whole model
	mib     uint32
	// cost is the expected delay that the unload causes for each second gained.
	cost float64
}

// makeRoom orders unloads so that need MiB become free for a load of wanted. It
// reports false, and orders nothing, when that is impossible now.
func (p *Planner) makeRoom(now time.Time, need uint32, wanted *replica) bool {
	free := p.ledger.FreeMiB() + p.comingMiB()
	if free >= need {
		return true
	}
	chosen, ok := choose(p.victims(now, wanted), need-free)
	if !ok {
		return false
	}
	for _, v := range chosen {
		p.evict(now, v, wanted)
	}
	return true
}

// comingMiB is the memory that unloads in flight will free.
func (p *Planner) comingMiB() uint32 {
	entries := p.ledger.Entries()
	var mib uint32
	for key, entry := range entries {
		model := entries[ledger.Key{Model: key.Model}]
		if entry.State == ledger.Unloading || model.State == ledger.Unloading {
			mib += entry.MiB
		}
	}
	return mib
}

// choose takes the cheapest victims until need MiB are covered, and then gives
// back those that turned out to be needless, dearest first.
func choose(victims []victim, need uint32) ([]victim, bool) {
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	var chosen []victim
	var sum uint32
	for _, v := range victims {
		if sum >= need {
			break
		}
		chosen = append(chosen, v)
		sum += v.mib
	}
	if sum < need {
		return nil, false
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		if sum-chosen[i].mib >= need {
			sum -= chosen[i].mib
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen, true
}

// victims lists the idle models, and the idle adapters of busy ones.
func (p *Planner) victims(now time.Time, wanted *replica) []victim {
	var all []victim
	for _, r := range p.sorted() {
		switch {
		case p.state(r) != ledger.Ready || now.Before(r.unloadAt):
		case p.stuckBehind(r, wanted):
			all = append(all, p.modelVictim(now, r))
		case r.busy():
			all = append(all, p.idleAdapters(now, r)...)
		case r != wanted && !now.Before(r.wantedUntil) && !p.adapterOpen(r):
			all = append(all, p.modelVictim(now, r))
		}
	}
	return all
}

// stuckBehind reports whether a loaded model runs nothing, has all its requests
// waiting for adapters that don't fit, and would go on after wanted. Without
// this rule two models that fill the memory wait for each other's.
func (p *Planner) stuckBehind(r, wanted *replica) bool {
	if r == wanted || r.running > 0 || len(r.waiting) == 0 || len(wanted.waiting) == 0 || p.adapterOpen(r) {
		return false
	}
	blocked := func(q *request) bool { return q.Adapter.Name != "" && r.adapter(q.Adapter.Name).blocked }
	return compareRequests(wanted.waiting[0], r.waiting[0]) < 0 &&
		!slices.ContainsFunc(r.waiting, func(q *request) bool { return !blocked(q) })
}

func (p *Planner) modelVictim(now time.Time, r *replica) victim {
	v := victim{replica: r}
	for key, entry := range p.ledger.Entries() {
		if key.Model == r.model {
			v.mib += entry.MiB
		}
	}
	nextUse := minNextUse
	if !r.busy() {
		nextUse = max(p.policy.NextUse(r.model, now.Sub(r.idleSince)), minNextUse)
	}
	v.cost = p.loadTimeOr(r, assumedLoad).Seconds() / nextUse.Seconds()
	return v
}

// idleAdapters lists the adapters of a busy model that no request uses; the
// least recently used is the cheapest.
func (p *Planner) idleAdapters(now time.Time, r *replica) []victim {
	var all []victim
	for name, a := range r.adapters {
		entry := p.ledger.Get(ledger.Key{Model: r.model, Adapter: name})
		if entry.State != ledger.Ready || a.running > 0 || r.wants(name) {
			continue
		}
		nextUse := max(now.Sub(a.lastUsed), minNextUse)
		reload := cmp.Or(p.estimates.adapter.get(), assumedAdapterLoad)
		all = append(all, victim{replica: r, adapter: name, mib: entry.MiB, cost: reload.Seconds() / nextUse.Seconds()})
	}
	slices.SortFunc(all, func(a, b victim) int { return cmp.Compare(a.adapter, b.adapter) })
	return all
}

func (p *Planner) evict(now time.Time, v victim, wanted *replica) {
	reason := fmt.Sprintf("evicted for %s", wanted.model)
	if v.adapter != "" {
		if p.unloadAdapter(v.replica, v.adapter, reason) {
			p.stats.AdapterEvictions++
		}
		return
	}
	if p.unloadIdle(now, v.replica, reason) {
		p.stats.Evictions++
	}
}

// reclaimIdle unloads the models whose keep-alive has passed.
func (p *Planner) reclaimIdle(now time.Time) {
	for _, r := range p.sorted() {
		if p.state(r) != ledger.Ready || r.busy() || r.spec == nil || now.Before(r.wantedUntil) {
			continue
		}
		keep := p.keepAlive(r)
		if now.Sub(r.idleSince) < keep {
			continue
		}
		if p.unloadIdle(now, r, fmt.Sprintf("idle for %v", keep)) {
			p.stats.IdleUnloads++
		}
	}
}

func (p *Planner) keepAlive(r *replica) time.Duration {
	if ms := r.spec.GetKeepAliveMs(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	cost := keepalive.Cost{
		ColdStart: p.deployment.GetColdStartWeight(),
		Idle:      p.deployment.GetIdleWeight(),
		Load:      p.loadTimeOr(r, assumedLoad),
	}
	if cost.ColdStart == 0 && cost.Idle == 0 {
		cost.ColdStart, cost.Idle = 1, 1
	}
	return p.policy.KeepAlive(r.model, cost)
}

// markIdle notes the moment at which a model has no more requests.
func (p *Planner) markIdle(now time.Time, r *replica) {
	if !r.busy() {
		r.idleSince = now
	}
}

package planner

import (
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// fallbackJitter spreads the loads of hosts that lost the permit allocator.
const fallbackJitter = 200 * time.Millisecond

// permitState is where a load stands with the allocator of the weight store.
type permitState int

const (
	permitNone permitState = iota
	permitAsked
	permitGranted
	// permitFallback means that no allocator answered: one such load runs at a time.
	permitFallback
)

// askPermit asks for a permit, and again when a more urgent request has joined
// the load since.
func (p *Planner) askPermit(now time.Time, r *replica) {
	l := r.load
	switch {
	case l.tier != external.TierRemote:
		return
	case l.permit == permitNone:
		l.permit = permitAsked
		l.asked.begin = now
	case l.permit != permitAsked || r.urgency() <= l.askedPriority:
		return
	}
	l.askedPriority = r.urgency()
	p.emit(AskPermit{Load: l.id, Model: r.model, Priority: l.askedPriority})
}

func (p *Planner) permitted(now time.Time, l *load) bool {
	switch {
	case l.tier != external.TierRemote || l.permit == permitGranted:
		return true
	case l.permit != permitFallback || p.unpermitted != 0:
		return false
	case now.Before(l.fallbackAt):
		p.emit(WakeAt{l.fallbackAt})
		return false
	default:
		return true
	}
}

// Permit grants a load that AskPermit asked for.
func (p *Planner) Permit(now time.Time, id uint64, behind uint32) []Action {
	p.observe(now)
	if l := p.asking(id); l != nil {
		l.permit = permitGranted
		l.behind = behind
		l.asked.end = now
		p.estimates.permit.add(now.Sub(l.asked.begin))
	}
	return p.flush(now)
}

// NoPermit tells that no allocator answers for a load.
func (p *Planner) NoPermit(now time.Time, id uint64) []Action {
	p.observe(now)
	if l := p.asking(id); l != nil {
		l.permit = permitFallback
		l.asked.end = now
		l.asked.cause = "no permit allocator answered"
		l.fallbackAt = now.Add(time.Duration(p.opts.Rand.Int64N(int64(fallbackJitter))))
	}
	return p.flush(now)
}

func (p *Planner) asking(id uint64) *load {
	for _, r := range p.replicas {
		if r.load != nil && r.load.id == id && r.load.permit == permitAsked {
			return r.load
		}
	}
	return nil
}

// dropPermit tells the allocator that a load needs its permit no longer.
func (p *Planner) dropPermit(model string, l *load) {
	if p.unpermitted == l.id {
		p.unpermitted = 0
	}
	if l.permit != permitNone {
		p.emit(DropPermit{Load: l.id, Model: model})
	}
	l.permit = permitNone
}

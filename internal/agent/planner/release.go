package planner

import (
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/slots"
)

// Release gives up a generation of a slot, and all lower ones, for good. A
// Released with the id follows once the engine has confirmed the unload, unless
// EndRelease comes first. The id comes from NewID.
func (p *Planner) Release(now time.Time, id uint64, key slots.Key, generation, epoch uint64) []Action {
	p.observe(now)
	p.gate.Release(key, generation)
	r := p.replicas[key.Model]
	switch {
	case !p.settled:
		p.emit(Released{Release: id, Reason: "the sidecar has just started and does not know yet what the engine holds: release again later"})
	case r == nil:
		p.emit(Released{Release: id, Done: true})
	default:
		p.release(r, id, key, generation, epoch)
	}
	return p.flush(now)
}

func (p *Planner) release(r *replica, id uint64, key slots.Key, generation, epoch uint64) {
	r.epoch = max(r.epoch, epoch)
	p.refuseWaiting(r,
		func(q *request) bool { return q.Slot.Key == key && q.Slot.Generation <= generation },
		refusal(apiv1.RefusalKind_REFUSAL_KIND_NOT_ASSIGNED, 0, "the slot was released: read the table again"))
	if p.resident(r) && r.heldUnder(key, generation) {
		r.doomed = true
		r.spec = nil
		r.releases = append(r.releases, id)
		p.releases[id] = r
		return
	}
	if r.spec != nil && p.gate.Released(slots.KeyOf(r.spec), r.spec.GetGeneration()) {
		r.spec = p.gate.ForModel(r.model)
	}
	p.emit(Released{Release: id, Done: true})
}

// EndRelease forgets a release whose stream has ended. The unload goes on.
func (p *Planner) EndRelease(id uint64) {
	r := p.releases[id]
	if r == nil {
		return
	}
	delete(p.releases, id)
	r.releases = without(r.releases, id)
}

func without(ids []uint64, id uint64) []uint64 {
	var rest []uint64
	for _, other := range ids {
		if other != id {
			rest = append(rest, other)
		}
	}
	return rest
}

// confirmReleases answers the releases of a model that the engine no longer
// holds.
func (p *Planner) confirmReleases(r *replica) {
	r.heldAs = held{}
	if !r.doomed {
		return
	}
	r.doomed = false
	r.spec = p.gate.ForModel(r.model)
	p.answerReleases(r, true, "")
}

func (p *Planner) failReleases(r *replica, reason string) { p.answerReleases(r, false, reason) }

func (p *Planner) answerReleases(r *replica, done bool, reason string) {
	for _, id := range r.releases {
		delete(p.releases, id)
		p.emit(Released{Release: id, Done: done, Reason: reason})
	}
	r.releases = nil
}

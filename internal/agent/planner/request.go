package planner

import (
	"fmt"
	"slices"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/ledger"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/slots"
)

// retrySoon is the advice to a caller whose refusal a router can mend at once.
const retrySoon = 200 * time.Millisecond

// AdapterSpec is the adapter that a request needs; the zero value is none.
type AdapterSpec struct {
	Name       string
	Checkpoint string
	MiB        uint32
}

// Request is one generation that asks for a replica.
type Request struct {
	// ID comes from NewID.
	ID       uint64
	Slot     slots.Named
	Adapter  AdapterSpec
	Priority uint32
	Deadline time.Time
}

type request struct {
	Request
	arrived time.Time
	running bool
}

func (q *request) model() string { return q.Slot.Key.Model }

// Admit takes a request. A Grant or a Refuse of its ID follows in this or a
// later result, unless Leave ends it.
func (p *Planner) Admit(now time.Time, in Request) []Action {
	p.observe(now)
	q := &request{Request: in, arrived: now}
	if p.admissible(now, q) {
		p.admit(now, q)
	}
	return p.flush(now)
}

// admissible refuses a request that can't be served.
func (p *Planner) admissible(now time.Time, q *request) bool {
	spec, verdict := p.gate.Check(q.Slot)
	switch verdict {
	case slots.Stale:
		p.refuse(q, refusal(apiv1.RefusalKind_REFUSAL_KIND_STALE, retrySoon, "the sidecar lacks these slots: assign them"))
		return false
	case slots.NotAssigned:
		p.refuse(q, refusal(apiv1.RefusalKind_REFUSAL_KIND_NOT_ASSIGNED, 0, "the slot is not this host's: read the table again"))
		return false
	}
	if need := spec.GetMemoryMib() + q.Adapter.MiB; need > p.ledger.TotalMiB() {
		p.refuse(q, refusal(apiv1.RefusalKind_REFUSAL_KIND_NO_MEMORY, 0,
			fmt.Sprintf("needs %d MiB, the accelerator has %d: assign a larger host", need, p.ledger.TotalMiB())))
		return false
	}
	r := p.replica(spec.GetModel())
	return p.inTime(now, r, q)
}

// inTime refuses a request whose deadline is earlier than the expected start.
// The model is loaded nevertheless, for the caller that retries.
func (p *Planner) inTime(now time.Time, r *replica, q *request) bool {
	wait := p.readyIn(now, r, q.Adapter)
	if !now.Add(wait).After(q.Deadline) {
		return true
	}
	if wait > 0 {
		r.wantedUntil = now.Add(2*wait + returnGrace)
	}
	p.refuse(q, p.lateRefusal(now, r, q))
	return false
}

// lateRefusal tells why a request can't start before its deadline.
func (p *Planner) lateRefusal(now time.Time, r *replica, q *request) *apiv1.Refusal {
	wait := max(p.readyIn(now, r, q.Adapter), retrySoon)
	if r.blocked(q.Adapter.Name) {
		wait += p.estimates.run.get()
		return refusal(apiv1.RefusalKind_REFUSAL_KIND_NO_MEMORY, wait, "no idle model to unload: retry later")
	}
	return refusal(apiv1.RefusalKind_REFUSAL_KIND_DEADLINE, wait,
		fmt.Sprintf("ready in about %d ms, after the deadline: retry then", millis(wait)))
}

// blocked reports whether the model or the adapter waits for memory that no
// unload can free.
func (r *replica) blocked(adapterName string) bool {
	if a := r.adapters[adapterName]; a != nil && a.blocked {
		return true
	}
	return r.load != nil && r.load.blocked
}

// returnGrace is how long a model is kept for callers that were told to retry.
const returnGrace = 5 * time.Second

func (p *Planner) admit(now time.Time, q *request) {
	r := p.replica(q.model())
	if !r.busy() && !r.idleSince.IsZero() {
		p.policy.Observe(r.model, now.Sub(r.idleSince))
	}
	p.requests[q.ID] = q
	at, _ := slices.BinarySearchFunc(r.waiting, q, compareRequests)
	r.waiting = slices.Insert(r.waiting, at, q)
}

// compareRequests orders by priority, highest first, then by arrival.
func compareRequests(a, b *request) int {
	if a.Priority != b.Priority {
		return int(b.Priority) - int(a.Priority)
	}
	if a.ID < b.ID {
		return -1
	}
	if a.ID > b.ID {
		return 1
	}
	return 0
}

// serve grants the waiting requests of a ready replica whose adapter is ready.
func (p *Planner) serve(now time.Time, r *replica) {
	if !p.gate.Open() {
		return
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(q *request) bool {
		if !p.adapterReady(r, q) {
			return false
		}
		p.grant(now, r, q)
		return true
	})
}

func (p *Planner) grant(now time.Time, r *replica, q *request) {
	q.running = true
	r.running++
	if q.Adapter.Name != "" {
		r.adapters[q.Adapter.Name].running++
	}
	p.stats.Granted++
	phases, cold := p.phases(now, r, q)
	p.emit(Grant{Request: q.ID, Phases: phases, Cold: cold})
}

// Finish ends a granted request.
func (p *Planner) Finish(now time.Time, id uint64) []Action {
	p.observe(now)
	q := p.requests[id]
	if q == nil || !q.running {
		return p.flush(now)
	}
	delete(p.requests, id)
	r := p.replica(q.model())
	r.running--
	if a := r.adapters[q.Adapter.Name]; a != nil {
		a.running--
		a.lastUsed = now
	}
	p.markIdle(now, r)
	return p.flush(now)
}

// ObserveRun records how long a granted request ran.
func (p *Planner) ObserveRun(took time.Duration) { p.estimates.run.add(took) }

// Leave ends a waiting request whose caller has gone. A load goes on for the
// others that wait for it.
func (p *Planner) Leave(now time.Time, id uint64) []Action {
	p.observe(now)
	if q := p.requests[id]; q != nil && !q.running {
		p.dequeue(now, q)
	}
	return p.flush(now)
}

// Expire refuses a waiting request whose deadline has come.
func (p *Planner) Expire(now time.Time, id uint64) []Action {
	p.observe(now)
	if q := p.requests[id]; q != nil && !q.running {
		p.refuse(q, p.lateRefusal(now, p.replica(q.model()), q))
		p.dequeue(now, q)
	}
	return p.flush(now)
}

func (p *Planner) dequeue(now time.Time, q *request) {
	delete(p.requests, q.ID)
	r := p.replica(q.model())
	r.waiting = slices.DeleteFunc(r.waiting, func(other *request) bool { return other == q })
	p.markIdle(now, r)
}

func (p *Planner) refuse(q *request, why *apiv1.Refusal) {
	p.stats.Refused++
	p.emit(Refuse{Request: q.ID, Refusal: why})
}

// refuseWaiting refuses the waiting requests that match.
func (p *Planner) refuseWaiting(r *replica, match func(*request) bool, why *apiv1.Refusal) {
	r.waiting = slices.DeleteFunc(r.waiting, func(q *request) bool {
		if !match(q) {
			return false
		}
		delete(p.requests, q.ID)
		p.refuse(q, why)
		return true
	})
}

// refuseLate refuses waiting requests whose deadline can't be met any more.
func (p *Planner) refuseLate(now time.Time) {
	for _, r := range p.sorted() {
		var late []*request
		for _, q := range r.waiting {
			if now.Add(p.readyIn(now, r, q.Adapter)).After(q.Deadline) {
				late = append(late, q)
			}
		}
		for _, q := range late {
			p.refuse(q, p.lateRefusal(now, r, q))
			p.dequeue(now, q)
		}
	}
}

// readyIn estimates when a request of the replica could start; 0 when it could
// at once or nothing is known.
func (p *Planner) readyIn(now time.Time, r *replica, a AdapterSpec) time.Duration {
	wait := p.modelReadyIn(now, r)
	if a.Name != "" && p.ledger.Get(ledger.Key{Model: r.model, Adapter: a.Name}).State != ledger.Ready {
		wait += p.estimates.adapter.get()
	}
	return wait
}

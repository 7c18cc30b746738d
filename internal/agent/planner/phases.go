package planner

import (
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// phases tells what a request waited for until now, and whether it waited for a
// load of the model.
func (p *Planner) phases(now time.Time, r *replica, q *request) ([]*apiv1.Phase, bool) {
	w := waitLog{host: p.opts.Host, from: q.arrived, to: now}
	cold := false
	w.add(apiv1.PhaseKind_PHASE_KIND_EVICT, r.unload)
	if l := r.last; l != nil {
		w.add(apiv1.PhaseKind_PHASE_KIND_RETRY, l.delay)
		w.add(apiv1.PhaseKind_PHASE_KIND_EVICT, l.memory)
		w.add(apiv1.PhaseKind_PHASE_KIND_PERMIT, l.permitSpan())
		w.add(apiv1.PhaseKind_PHASE_KIND_QUEUE, l.turn)
		cold = w.add(apiv1.PhaseKind_PHASE_KIND_LOAD, l.run)
	}
	if a := r.adapters[q.Adapter.Name]; a != nil {
		w.add(apiv1.PhaseKind_PHASE_KIND_ADAPTER, a.load)
	}
	return w.phases, cold
}

func (l *load) permitSpan() span {
	s := l.asked
	if s.cause == "" {
		s.cause = l.source()
	}
	return s
}

// waitLog collects the spans that overlap a wait.
type waitLog struct {
	host     string
	from, to time.Time
	phases   []*apiv1.Phase
}

// add reports whether the span overlaps the wait.
func (w *waitLog) add(kind apiv1.PhaseKind, s span) bool {
	if s.begin.IsZero() {
		return false
	}
	begin, end := s.begin, s.end
	if end.IsZero() || end.After(w.to) {
		end = w.to
	}
	if begin.Before(w.from) {
		begin = w.from
	}
	if !end.After(begin) {
		return false
	}
	w.phases = append(w.phases, &apiv1.Phase{
		Kind:     kind,
		StartMs:  millis(begin.Sub(w.from)),
		LengthMs: millis(end.Sub(begin)),
		Cause:    s.cause,
		Host:     w.host,
	})
	return true
}

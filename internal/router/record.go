package router

import (
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// maxPhases bounds the wait record of one request.
const maxPhases = 64

func (x *exchange) sinceArrival(t time.Time) uint32 {
	return uint32(max(t.Sub(x.arrived), 0).Milliseconds())
}

// phase adds a span of the wait that ends now. Spans below a millisecond are
// left out.
func (x *exchange) phase(kind apiv1.PhaseKind, start time.Time, cause, host string) {
	length := x.r.opts.Now().Sub(start)
	if length < time.Millisecond {
		return
	}
	x.addPhase(&apiv1.Phase{
		Kind:     kind,
		StartMs:  x.sinceArrival(start),
		LengthMs: uint32(length.Milliseconds()),
		Cause:    cause,
		Host:     host,
	})
}

// upstreamPhase adds a span that a sidecar has measured since it was asked.
func (x *exchange) upstreamPhase(p *apiv1.Phase, asked time.Time, host string) {
	p.StartMs += x.sinceArrival(asked)
	if p.GetHost() == "" {
		p.Host = host
	}
	if p.GetKind() == apiv1.PhaseKind_PHASE_KIND_LOAD {
		x.record.ColdStart = true
	}
	x.addPhase(p)
}

func (x *exchange) addPhase(p *apiv1.Phase) {
	if len(x.record.Phases) < maxPhases {
		x.record.Phases = append(x.record.Phases, p)
	}
}

// firstByte notes when the caller got the first part of its answer.
func (x *exchange) firstByte() {
	if x.record.GetFirstTokenMs() == 0 {
		x.record.FirstTokenMs = max(x.sinceArrival(x.r.opts.Now()), 1)
	}
}

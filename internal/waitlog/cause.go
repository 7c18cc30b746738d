package waitlog

import (
	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Cause names what a request waited for.
type Cause string

// Causes of a wait, as reports show them.
const (
	CauseQueue   Cause = "router queue"
	CausePermit  Cause = "weight store permit"
	CauseEvict   Cause = "eviction of another model"
	CauseLoad    Cause = "model load"
	CauseAdapter Cause = "adapter load"
	CauseEngine  Cause = "engine queue"
	CauseStream  Cause = "token stream"
	CauseRetry   Cause = "retry after a failure"
	CauseClaim   Cause = "idempotency claim"
	CauseCall    Cause = "service call"
	// CauseRefused is that of a request that was refused without a wait.
	CauseRefused Cause = "refused at once"
	// CauseNone is that of a record without phases.
	CauseNone Cause = "no phase recorded"
)

var causes = map[apiv1.PhaseKind]Cause{
	apiv1.PhaseKind_PHASE_KIND_QUEUE:   CauseQueue,
	apiv1.PhaseKind_PHASE_KIND_PERMIT:  CausePermit,
	apiv1.PhaseKind_PHASE_KIND_EVICT:   CauseEvict,
	apiv1.PhaseKind_PHASE_KIND_LOAD:    CauseLoad,
	apiv1.PhaseKind_PHASE_KIND_ADAPTER: CauseAdapter,
	apiv1.PhaseKind_PHASE_KIND_ENGINE:  CauseEngine,
	apiv1.PhaseKind_PHASE_KIND_STREAM:  CauseStream,
	apiv1.PhaseKind_PHASE_KIND_RETRY:   CauseRetry,
	apiv1.PhaseKind_PHASE_KIND_CLAIM:   CauseClaim,
	apiv1.PhaseKind_PHASE_KIND_CALL:    CauseCall,
}

// CauseOf names the kind of a phase.
func CauseOf(kind apiv1.PhaseKind) Cause {
	if cause, known := causes[kind]; known {
		return cause
	}
	return CauseNone
}

// MainCause is the kind of phase that took most of a request's wait. The
// stream counts only for a request that was not served, since it comes after
// the first token.
func MainCause(r *apiv1.WaitRecord) Cause {
	totals := causeTotals(r.GetPhases())
	if r.GetOutcome() == apiv1.Outcome_OUTCOME_SERVED {
		delete(totals, CauseStream)
	}
	main := CauseNone
	for cause, total := range totals {
		longer := total > totals[main]
		tie := total == totals[main] && cause < main // independent of the map's order
		if total > 0 && (longer || tie) {
			main = cause
		}
	}
	if main == CauseNone && r.GetOutcome() == apiv1.Outcome_OUTCOME_NOT_RUN {
		return CauseRefused
	}
	return main
}

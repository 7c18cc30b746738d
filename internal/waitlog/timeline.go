package waitlog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// waitedFor phrases a phase for a reader who does not know the system.
var waitedFor = map[apiv1.PhaseKind]string{
	apiv1.PhaseKind_PHASE_KIND_QUEUE:   "waited %s in the router's queue",
	apiv1.PhaseKind_PHASE_KIND_PERMIT:  "waited %s for the weight store",
	apiv1.PhaseKind_PHASE_KIND_EVICT:   "waited %s for accelerator memory",
	apiv1.PhaseKind_PHASE_KIND_LOAD:    "waited %s for the model to load",
	apiv1.PhaseKind_PHASE_KIND_ADAPTER: "waited %s for the adapter to load",
	apiv1.PhaseKind_PHASE_KIND_ENGINE:  "waited %s for the engine",
	apiv1.PhaseKind_PHASE_KIND_STREAM:  "answered for %s",
	apiv1.PhaseKind_PHASE_KIND_RETRY:   "lost %s on a try that failed",
	apiv1.PhaseKind_PHASE_KIND_CLAIM:   "waited %s for the idempotency claim",
	apiv1.PhaseKind_PHASE_KIND_CALL:    "waited %s for the service",
}

// Timeline tells in plain sentences why a request waited: who asked for what,
// one line for each phase, the outcome and the totals.
func Timeline(r *apiv1.WaitRecord) []string {
	lines := []string{heading(r)}
	phases := slices.Clone(r.GetPhases())
	slices.SortStableFunc(phases, func(a, b *apiv1.Phase) int {
		return cmp.Compare(a.GetStartMs(), b.GetStartMs())
	})
	firstToken := r.GetFirstTokenMs() > 0
	for _, phase := range phases {
		if firstToken && phase.GetStartMs() >= r.GetFirstTokenMs() {
			lines = append(lines, firstTokenLine(r))
			firstToken = false
		}
		lines = append(lines, at(phase.GetStartMs())+phaseText(phase))
	}
	if firstToken {
		lines = append(lines, firstTokenLine(r))
	}
	return append(lines, at(r.GetTotalMs())+outcomeText(r), totalsText(r))
}

func heading(r *apiv1.WaitRecord) string {
	target := r.GetTarget()
	if r.GetAdapter() != "" {
		target += ":" + r.GetAdapter()
	}
	arrived := time.UnixMilli(r.GetArrivedUnixMs()).UTC().Format("2006-01-02 15:04:05.000 UTC")
	return fmt.Sprintf("%s for %s, class %s, arrived %s, deadline %s",
		r.GetRequestId(), target, orNone(r.GetPriorityClass()), arrived, seconds(r.GetDeadlineMs()))
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// at starts a line with the time since the arrival.
func at(ms uint32) string { return fmt.Sprintf("%+9.3f s  ", float64(ms)/1000) }

func seconds(ms uint32) string {
	if ms < 1000 {
		return fmt.Sprintf("%d ms", ms)
	}
	return fmt.Sprintf("%.1f s", float64(ms)/1000)
}

func phaseText(p *apiv1.Phase) string {
	format, known := waitedFor[p.GetKind()]
	if !known {
		format = "spent %s"
	}
	text := fmt.Sprintf(format, seconds(p.GetLengthMs())) + causeText(p)
	if p.GetHost() != "" {
		text += ", host " + p.GetHost()
	}
	return text
}

// causeText adds the cause so that the sentence stays readable.
func causeText(p *apiv1.Phase) string {
	cause := p.GetCause()
	if p.GetKind() == apiv1.PhaseKind_PHASE_KIND_PERMIT {
		// A permit is only needed for remote storage.
		cause = strings.TrimSpace(strings.TrimPrefix(cause, "from remote storage"))
	}
	switch {
	case cause == "":
		return ""
	case strings.HasPrefix(cause, "behind "), strings.HasPrefix(cause, "from "):
		return " " + cause
	default:
		return " (" + cause + ")"
	}
}

func firstTokenLine(r *apiv1.WaitRecord) string {
	text := at(r.GetFirstTokenMs()) + "first part of the answer"
	if r.GetColdStart() {
		text += " after a cold start"
	}
	return text
}

func outcomeText(r *apiv1.WaitRecord) string {
	var text string
	switch r.GetOutcome() {
	case apiv1.Outcome_OUTCOME_SERVED:
		text = "served"
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		text = "refused, not run"
	default:
		text = "failed, outcome unknown"
	}
	if r.GetHost() != "" {
		text += " by host " + r.GetHost()
	}
	if r.GetAttempts() > 1 {
		text += fmt.Sprintf(" in %d tries", r.GetAttempts())
	}
	if r.GetError() != "" {
		text += ": " + r.GetError()
	}
	if r.GetRetryAfterMs() > 0 {
		text += fmt.Sprintf(" (told to try again after %s)", seconds(r.GetRetryAfterMs()))
	}
	return text
}

// totalsText sums up the phases by cause, the longest first.
func totalsText(r *apiv1.WaitRecord) string {
	parts := []string{fmt.Sprintf("totals: %s in all", seconds(r.GetTotalMs()))}
	totals := causeTotals(r.GetPhases())
	causes := make([]Cause, 0, len(totals))
	for cause := range totals {
		causes = append(causes, cause)
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(totals[b], totals[a]), cmp.Compare(a, b))
	})
	for _, cause := range causes {
		parts = append(parts, fmt.Sprintf("%s %s", cause, seconds(totals[cause])))
	}
	return strings.Join(parts, ", ")
}

func causeTotals(phases []*apiv1.Phase) map[Cause]uint32 {
	totals := make(map[Cause]uint32)
	for _, phase := range phases {
		totals[CauseOf(phase.GetKind())] += phase.GetLengthMs()
	}
	return totals
}

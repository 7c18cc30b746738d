package router

import (
	"fmt"
	"net/http"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// endKind is how one try of a generation ended.
type endKind int

// Ends of a try.
const (
	endServed endKind = iota + 1
	// endNotOpened means that nothing was sent.
	endNotOpened
	// endCut means that the stream ended without a whole answer.
	endCut
	// endRefused means that the sidecar sent a Refusal.
	endRefused
	// endExpired means that the caller has gone or that the deadline passed.
	endExpired
	// endCaller means that the caller can't be written to.
	endCaller
)

// ending is how one try ended.
type ending struct {
	kind    endKind
	refusal *apiv1.Refusal // for endRefused
	cause   error          // for the log and the wait record
}

// mayHaveRun reports whether the try may have run.
func (e ending) mayHaveRun() bool {
	switch e.kind {
	case endNotOpened:
		return false
	case endRefused:
		return e.refusal.GetOutcomeUnknown()
	default:
		return true
	}
}

// failed reports whether the upstream began and did not finish.
func (e ending) failed() bool {
	switch e.refusal.GetKind() {
	case apiv1.RefusalKind_REFUSAL_KIND_UPSTREAM, apiv1.RefusalKind_REFUSAL_KIND_NO_STREAM:
		return true
	default:
		return e.kind == endCut
	}
}

func (e ending) String() string {
	switch e.kind {
	case endServed:
		return "served"
	case endNotOpened:
		return fmt.Sprintf("the host could not be reached: %v", e.cause)
	case endCut:
		return fmt.Sprintf("the stream was cut: %v", e.cause)
	case endRefused:
		return fmt.Sprintf("the host refused: %s", e.refusal.GetMessage())
	case endCaller:
		return "the caller has gone"
	default:
		return "the deadline passed or the caller has gone"
	}
}

// progress is what is known of a generation after a try.
type progress struct {
	// delivered is true when a token may have reached the caller.
	delivered bool
	// triesOnHost counts the tries in a row on the host of the last one.
	triesOnHost int
	// failures counts the tries that an upstream began and did not finish.
	failures int
}

// retryTarget tells where the next try may go.
type retryTarget int

// Targets of the next try.
const (
	// targetNone means that there is no next try.
	targetNone retryTarget = iota
	// targetAny takes the place in the queue again.
	targetAny
	// targetOther avoids the last host if there is another.
	targetOther
	// targetSame prefers the last host.
	targetSame
	// targetOnlySame allows no other host.
	targetOnlySame
)

// plan is what follows from an ending.
type plan struct {
	target retryTarget
	// budgeted is true when the retry must be paid from the budget.
	budgeted bool
	// restart drops the received tokens and starts at offset 0.
	restart bool
	// refresh asks for the host's slots to be handed over again.
	refresh bool
	// unreachable and draining keep the host from new work for a while.
	unreachable bool
	draining    bool
	// pause keeps the replica from new work for a while.
	pause bool
	// refused and retryAfter describe the final Error when target is targetNone.
	refused    Kind
	retryAfter time.Duration
}

// planRetry decides how a generation goes on after a try that did not serve it.
func planRetry(e ending, p progress) plan {
	switch e.kind {
	case endNotOpened:
		return planNotOpened(p)
	case endCut:
		return planAgain(p, KindCut)
	case endRefused:
		return planRefused(e.refusal, p)
	case endCaller:
		return plan{refused: KindCallerGone}
	default:
		return plan{refused: KindDeadline}
	}
}

// maxTriesOnHost bounds the tries to reach the host that has the stream of a
// half-delivered answer.
const maxTriesOnHost = 5

func planNotOpened(p progress) plan {
	switch {
	case !p.delivered:
		return plan{target: targetAny, restart: true, unreachable: true, refused: KindNoHost}
	case p.triesOnHost < maxTriesOnHost:
		return plan{target: targetOnlySame, budgeted: true, refused: KindCut}
	default:
		return plan{unreachable: true, refused: KindCut}
	}
}

// moved is the target of work that must stay on its host once the caller has
// seen a part of the answer.
func moved(p progress, target retryTarget) retryTarget {
	if p.delivered {
		return targetOnlySame
	}
	return target
}

// maxFailures bounds the tries that upstreams began.
const maxFailures = 4

// planAgain tries the same host once more and then another one. The caller of a
// half-delivered answer can only be served by the host that has its stream.
func planAgain(p progress, kind Kind) plan {
	switch {
	case p.failures >= maxFailures:
		return plan{refused: kind}
	case p.triesOnHost < 2:
		return plan{target: moved(p, targetSame), budgeted: true, refused: kind}
	case p.delivered:
		return plan{refused: kind}
	default:
		return plan{target: targetOther, budgeted: true, restart: true, refused: kind}
	}
}

func planRefused(refusal *apiv1.Refusal, p progress) plan {
	after := time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond
	switch refusal.GetKind() {
	case apiv1.RefusalKind_REFUSAL_KIND_NOT_ASSIGNED, apiv1.RefusalKind_REFUSAL_KIND_STALE:
		return plan{target: moved(p, targetAny), budgeted: p.delivered, restart: !p.delivered, refresh: true, pause: true, refused: KindNoHost}
	case apiv1.RefusalKind_REFUSAL_KIND_DRAINING:
		if p.delivered {
			return plan{draining: true, refused: KindCut}
		}
		return plan{target: targetAny, restart: true, draining: true, refused: KindNoHost}
	case apiv1.RefusalKind_REFUSAL_KIND_DEADLINE:
		return plan{refused: KindDeadline, retryAfter: after}
	case apiv1.RefusalKind_REFUSAL_KIND_NO_MEMORY:
		return plan{refused: KindNoMemory, retryAfter: max(after, time.Second)}
	case apiv1.RefusalKind_REFUSAL_KIND_NO_STREAM:
		if p.delivered {
			return plan{refused: KindCut}
		}
		return plan{target: targetSame, budgeted: true, restart: true, refused: KindCut}
	default:
		again := planAgain(p, KindUpstream)
		again.retryAfter = after
		return again
	}
}

// final makes the Error of a generation that is not tried again.
func (p plan) final(e ending, mayHaveRun bool) *Error {
	status := http.StatusServiceUnavailable
	remedy := remedyRetry
	if mayHaveRun {
		status = http.StatusBadGateway
	}
	switch p.refused {
	case KindDeadline:
		remedy = remedyDeadline
	case KindCut, KindUpstream:
		remedy = remedyAgain
	}
	err := notRun(p.refused, status, remedy, "%s", e).unknownIf(mayHaveRun)
	if p.retryAfter == 0 && p.refused != KindDeadline {
		return err.after(time.Second)
	}
	return err.after(p.retryAfter)
}

package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

func httpStatus(status int) string { return strconv.Itoa(status) }

// servePlain serves a request to a plain service.
func (cr *callerRequest) servePlain() {
	for {
		if cr.mayNotContinue() {
			return
		}
		up, err := cr.choosePlain()
		if err != nil {
			cr.failPlacement(err)
			return
		}
		check := func() error { return cr.checkChoice(up.ID) }
		answered, err := cr.handler.pauses.ramps.await(cr.ctx, up.ID, check)
		if isChoiceVoid(err) {
			continue
		}
		if err != nil {
			cr.refuse(attemptRetryDelay, "the upstreams recover from a pause: "+err.Error())
			return
		}
		if cr.sendPlain(up, check, answered) {
			return
		}
	}
}

// sendPlain sends the request to an upstream. It reports false if another one may be
// tried.
func (cr *callerRequest) sendPlain(up *fleet.Upstream, check func() error, answered func(bool)) bool {
	done := cr.handler.balancer.begin(up.ID)
	defer done()
	cr.recordAttempt(up.ID)
	ctx, cancel := cr.attemptContext()
	defer cancel()
	began := time.Now()
	resp, info, err := cr.send(ctx, up.ID, up.Addr, noPriority, check, answered)
	if err != nil {
		return cr.handlePlainError(up, err)
	}
	defer resp.Close()
	cr.handler.balancer.updateLoad(up.ID, info.Load)
	switch {
	case info.NotRun:
		switch {
		case info.WrongUpstream:
			cr.handler.balancer.recordMisdirected(up)
		case info.Pause == 0:
			cr.handler.balancer.recordRefusal(up.ID)
		}
		resp.Discard()
		return cr.retryOrRefuse("the upstream refused the request")
	case !info.Signed || impliesNotRun(resp.Status):
		cr.handler.balancer.recordFailure(up.ID)
		return cr.retryOrRefuse("the upstream's answer is not valid")
	case resp.Status >= http.StatusInternalServerError && cr.acquireRetry():
		cr.handler.balancer.recordFailure(up.ID)
		resp.Discard()
		return false
	}
	if err := cr.relayPlain(resp); err != nil {
		cr.handler.balancer.recordFailure(up.ID)
		return cr.retryOrRefuse("answer broke off: " + err.Error())
	}
	cr.handler.balancer.recordSuccess(up.ID, time.Since(began))
	cr.record.Outcome = OutcomeServed
	if resp.Status >= http.StatusBadRequest {
		cr.record.Outcome = OutcomeRelayedFailure
	}
	return true
}

// attemptContext returns the context of an attempt. If the request may be retried, it
// has a timeout that leaves time for the retry.
func (cr *callerRequest) attemptContext() (context.Context, context.CancelFunc) {
	if !cr.repeatable || len(cr.tried) >= cr.route.Attempts {
		return context.WithCancel(cr.ctx)
	}
	return context.WithTimeout(cr.ctx, min(cr.timeLeft()/2, cr.handler.balancer.attemptTimeout()))
}

func (cr *callerRequest) handlePlainError(up *fleet.Upstream, err error) bool {
	if cr.callerDisconnected() {
		cr.fail("the caller left")
		return true
	}
	if isChoiceVoid(err) {
		cr.undoAttempt()
		return false
	}
	cr.handler.balancer.recordFailure(up.ID)
	return cr.retryOrRefuse(err.Error())
}

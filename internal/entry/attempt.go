package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
)

// noPriority is the Attempt.Priority of a request without a rank at the upstream.
const noPriority = -1

// recordAttempt counts an attempt at an upstream.
func (cr *callerRequest) recordAttempt(upstreamID string) {
	cr.attempts++
	if !slices.Contains(cr.tried, upstreamID) {
		cr.tried = append(cr.tried, upstreamID)
	}
	cr.record.Upstream = upstreamID
	cr.record.Attempts = cr.attempts
}

// undoAttempt takes back an attempt of which nothing was sent.
func (cr *callerRequest) undoAttempt() {
	cr.attempts--
	cr.record.Attempts = cr.attempts
}

// send sends the request to an upstream and reads the head of the response. It logs a line
// before the first byte is sent, so that a request leaves a trace if the process is killed,
// and one with the result. check is called right before that byte, answered with whether the
// upstream answered the request.
func (cr *callerRequest) send(ctx context.Context, upstreamID, addr string, priority int, check func() error, answered func(bool)) (*exchange.Response, ResponseInfo, error) {
	request := cr.upstreamRequest(upstreamID, priority)
	request.Confirm = check
	attempt := AttemptRecord{ID: cr.call.ID, Number: cr.attempts, Upstream: upstreamID, Address: addr, Repeatable: cr.repeatable}
	cr.handler.log.AttemptStarted(&attempt)
	began := time.Now()
	resp, err := cr.handler.pool.Send(ctx, addr, request)
	attempt.Took = time.Since(began)
	var info ResponseInfo
	var failure *exchange.Error
	switch {
	case err == nil:
		info = cr.handler.dialect.ReadResponse(resp.Status, resp.Header)
		info.NotRun = info.NotRun && resp.Status >= http.StatusBadRequest // a success has run
		attempt.Status = resp.Status
		attempt.Trace = resp.Trace
		attempt.Result = ResultAnswered
		if info.NotRun {
			attempt.Result = ResultRefused
		}
		cr.handler.notices.take(upstreamID, cr.call.ID, began, info)
	case errors.As(err, &failure):
		attempt.Err = err
		attempt.Trace = failure.Trace
		attempt.Result = ResultUnknown
		if !failure.Sent {
			attempt.Result = ResultUnsent
		}
	}
	answered(attempt.Result == ResultAnswered)
	if !attempt.Result.provesNotRun() {
		cr.record.MayHaveRun = true
	}
	cr.handler.log.AttemptEnded(&attempt)
	return resp, info, err
}

// retryOrRefuse is called after an attempt without a response for the caller. It reports
// false if the request may be sent to another upstream; otherwise it responds to the caller
// with an error.
func (cr *callerRequest) retryOrRefuse(reason string) bool {
	cr.record.Reason = reason
	if cr.acquireRetry() {
		return false
	}
	cr.refuse(attemptRetryDelay, reason)
	return true
}

// acquireRetry takes a retry out of the budget and reports true if the request may be sent
// to another upstream: it is repeatable, or certainly did not run in any attempt so far.
func (cr *callerRequest) acquireRetry() bool {
	mayRun := cr.repeatable || !cr.record.MayHaveRun
	return mayRun && len(cr.tried) < cr.route.Attempts && cr.ctx.Err() == nil && cr.budget.AllowRetry()
}

package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
)

// noPriority leaves the rank at the upstream open.
const noPriority = -1

// noteSending counts a sending to an upstream.
func (j *job) noteSending(upstreamID string) {
	j.sends++
	if !slices.Contains(j.tried, upstreamID) {
		j.tried = append(j.tried, upstreamID)
	}
	j.record.Upstream = upstreamID
	j.record.Sends = j.sends
}

// send sends the request to an upstream and reads the head of the answer. A line
// is logged before the first byte goes out, so that one is left of a request whose
// process ends, and one with the result.
func (j *job) send(ctx context.Context, upstreamID, addr string, priority int) (*exchange.Response, ResponseInfo, error) {
	request := j.request(upstreamID, priority)
	sending := Sending{ID: j.call.ID, Number: j.sends, Upstream: upstreamID, Address: addr, Repeatable: j.repeatable}
	j.front.log.SendingBegins(&sending)
	began := time.Now()
	resp, err := j.front.pool.Send(ctx, addr, request)
	sending.Took = time.Since(began)
	var answer ResponseInfo
	var failure *exchange.Error
	switch {
	case err == nil:
		answer = j.front.dialect.ReadResponse(resp.Status, resp.Header)
		sending.Status = resp.Status
		sending.Trace = resp.Trace
		sending.Result = ResultAnswered
		if answer.NotRun {
			sending.Result = ResultRefused
		}
	case errors.As(err, &failure):
		sending.Err = err
		sending.Trace = failure.Trace
		sending.Result = ResultUnknown
		if !failure.Sent {
			sending.Result = ResultUnsent
		}
	}
	if !sending.Result.provesNotRun() {
		j.record.MayHaveRun = true
	}
	j.front.log.SendingEnded(&sending)
	return resp, answer, err
}

// again follows a sending that brought no answer for the caller. It reports false if
// the request may be sent to another upstream; otherwise it answers the caller.
func (j *job) again(reason string) bool {
	j.record.Reason = reason
	if j.mayMoveOn() {
		return false
	}
	j.refuse(againPause, reason)
	return true
}

// mayMoveOn takes a retry out of the budget if the request may be sent to another
// upstream: no sending before may have run, or it may run again.
func (j *job) mayMoveOn() bool {
	mayRun := j.repeatable || !j.record.MayHaveRun
	return mayRun && len(j.tried) < j.route.Attempts && j.ctx.Err() == nil && j.front.budget.AllowRetry()
}

package entry

import (
	"errors"
	"io"
	"syscall"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/blocklist"
	"github.com/ragwortdoor/ragwortdoor/internal/cell"
	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
)

// blocklistRetryDelay is the Retry-After of a request with a blocked part if no
// scheduler says when the part is tried again.
const blocklistRetryDelay = time.Minute

// checkBlocklist returns a *cell.RefusedError if a part of the prompt is blocked.
func (cr *callerRequest) checkBlocklist() error {
	if len(cr.handler.blocklist.Load()) == 0 {
		return nil
	}
	shared := blocklist.SharedParts(cr.call.Parts, func(p PromptPart) string { return p.ID })
	entry, found := cr.handler.blocklist.Match(cr.service.Name, shared)
	if !found {
		return nil
	}
	return &cell.RefusedError{RetryAfter: blocklistRetryDelay, Reason: entry.Reason()}
}

// reportFailure reports a failed attempt to the scheduler, and whether the engine ended
// the connection.
func (cr *callerRequest) reportFailure(err error, placement cell.Placement) {
	if !endedByUpstream(err) {
		cr.handler.scheduler.ReportOutcome(placement.Number, apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FAILED, 0)
		return
	}
	cr.record.BrokenOff = cr.record.BrokenOff[:0] // of an earlier attempt
	for _, part := range cr.call.Parts {
		cr.record.BrokenOff = append(cr.record.BrokenOff, part.ID)
	}
	var startedMs int64
	if up := cr.handler.directory.Load().Upstreams[placement.UpstreamID]; up != nil {
		startedMs = up.StartedMs
	}
	cr.handler.scheduler.ReportBrokenOff(placement.Number, startedMs)
}

// endedByUpstream reports whether an attempt failed by the end of its connection, after the
// request was sent.
func endedByUpstream(err error) bool {
	var failure *exchange.Error
	if errors.As(err, &failure) && !failure.Sent {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, errTruncated, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

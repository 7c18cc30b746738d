package entry

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/cell"
	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/memory"
)

const (
	// maxAdapterAttempts limits the attempts of a request that upstreams refuse
	// because its adapter is not loaded yet.
	maxAdapterAttempts = 3
	// maxModelNameBytes limits the names of a model and of its adapter together.
	maxModelNameBytes = 512
	// maxPlacements limits the placements of one request.
	maxPlacements = 6
)

// serveModel serves a request for a model.
func (cr *callerRequest) serveModel() {
	if len(cr.call.Model)+len(cr.call.Adapter) > maxModelNameBytes {
		cr.refuse(attemptRetryDelay, "no model or adapter has so long a name")
		return
	}
	for range maxPlacements {
		if cr.mayNotContinue() {
			return
		}
		placement, err := cr.acquirePlacement()
		if err != nil {
			cr.failPlacement(err)
			return
		}
		if err := cr.checkBlocklist(); err != nil && !placement.Trial {
			cr.handler.scheduler.ReportOutcome(placement.Number, apiv1.PlacementOutcome_PLACEMENT_OUTCOME_CANCELLED, 0)
			cr.failPlacement(err)
			return
		}
		if cr.isUnwanted(placement) {
			cr.handler.scheduler.ReportOutcome(placement.Number, apiv1.PlacementOutcome_PLACEMENT_OUTCOME_CANCELLED, 0)
			continue
		}
		if cr.sendTo(placement) {
			return
		}
	}
	cr.refuse(attemptRetryDelay, "upstreams refused the request")
}

// isUnwanted reports whether the scheduler granted an upstream that takes no requests from
// this router, which it does not know yet.
func (cr *callerRequest) isUnwanted(placement cell.Placement) bool {
	snapshot := cr.handler.directory.Load()
	if snapshot.KnownUnusable(placement.UpstreamID) {
		cr.tried = append(cr.tried, placement.UpstreamID)
		if up := snapshot.Upstreams[placement.UpstreamID]; up != nil && up.Draining {
			cr.handler.scheduler.ReportUpstreamLeaving(up.ID, up.StartedMs)
		}
		return true
	}
	return cr.handler.pauses.left(placement.UpstreamID) > 0 // the next placement request names it
}

// waitContext returns the context in which a request waits to be sent.
func (cr *callerRequest) waitContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(cr.ctx, cr.callerWaitsUntil())
	remove := cr.handler.keyWaits.add(cr, cancel)
	if cr.record.MayHaveRun {
		return ctx, func() { remove(); cancel() }
	}
	stop := context.AfterFunc(cr.handler.lateCtx, cancel)
	return ctx, func() { stop(); remove(); cancel() }
}

func (cr *callerRequest) failPlacement(err error) {
	if cr.mayNotContinue() {
		return
	}
	var refused *cell.RefusedError
	if errors.As(err, &refused) {
		cr.refuse(cr.retryDelay(refused.RetryAfter), refused.Reason)
		return
	}
	if errors.Is(err, errNoUpstream) {
		cr.refuse(cr.retryDelay(attemptRetryDelay), err.Error())
		return
	}
	cr.refuse(cr.retryDelay(attemptRetryDelay), "no place: "+err.Error())
}

// acquirePlacement gets a placement from the scheduler; while none is connected, this
// router chooses the upstream by itself.
func (cr *callerRequest) acquirePlacement() (cell.Placement, error) {
	began := time.Now()
	defer func() { cr.record.Waited += time.Since(began) }()
	ctx, cancel := cr.waitContext()
	defer cancel()
	for {
		placement, err := cr.handler.scheduler.Place(ctx, cr.placementRequest())
		if !errors.Is(err, cell.ErrNoScheduler) {
			cr.record.WaitedFor = placement.Reason
			return placement, err
		}
		cr.record.WithoutScheduler = true
		if err := cr.checkBlocklist(); err != nil {
			return cell.Placement{}, err
		}
		if placement, ok := cr.placeWithoutScheduler(); ok {
			return placement, nil
		}
		if cr.handler.isCutOff() {
			return cell.Placement{}, &cell.RefusedError{RetryAfter: cr.handler.unlinkedRetryDelay(), Reason: "no scheduler is connected, and no engine that this router knows has the model loaded"}
		}
		if err := cr.handler.scheduler.WaitLinked(ctx); err != nil {
			return cell.Placement{}, err
		}
	}
}

// callerEventTimeoutShare is the fraction of the route's CallerEventTimeout for which a
// request waits for a placement, so that a refusal reaches the caller before it
// disconnects.
const callerEventTimeoutShare = 0.9

// refusalLead is how much earlier the placement request expires at the scheduler than
// here, so that the scheduler's reason and Retry-After reach the caller.
const refusalLead = 50 * time.Millisecond

// callerWaitsUntil returns until when the caller is expected to wait for the next event.
func (cr *callerRequest) callerWaitsUntil() time.Time {
	if cr.route.CallerEventTimeout <= 0 {
		return cr.deadline
	}
	since := cr.arrivedAt
	if !cr.lastEventAt.IsZero() {
		since = cr.lastEventAt
	}
	until := since.Add(time.Duration(callerEventTimeoutShare * float64(cr.route.CallerEventTimeout)))
	if until.Before(cr.deadline) {
		return until
	}
	return cr.deadline
}

func (cr *callerRequest) placementRequest() *apiv1.PlacementAsk {
	req := &apiv1.PlacementAsk{
		RequestId:     memory.Key(cr.call.ID),
		Service:       cr.service.Name,
		Model:         cr.call.Model,
		Adapter:       cr.call.Adapter,
		PromptTokens:  cr.call.PromptTokens,
		OutputTokens:  cr.call.MaxOutputTokens,
		Priority:      int32(min(math.MaxInt32, cr.rank.Priority)),
		ObjectiveUs:   time.Until(cr.objective).Microseconds(),
		GiveUpUs:      (time.Until(cr.callerWaitsUntil()) - refusalLead).Microseconds(),
		FailureDomain: cr.handler.settings.FailureDomain,
		Tried:         slices.Clone(cr.tried),
		Avoid:         cr.handler.pauses.ids(),
		MayMove:       cr.mayTryAnother(),
		MaxGapUs:      cr.route.MaxGap.Microseconds(),
		AgeingUs:      cr.rank.Ageing.Microseconds(),
	}
	for _, p := range cr.call.Parts {
		req.Parts = append(req.Parts, &apiv1.PromptPart{Id: p.ID, Tokens: p.Tokens})
	}
	return cr.claimFor(req)
}

// mayTryAnother reports whether an upstream that did not get the request yet may get it.
func (cr *callerRequest) mayTryAnother() bool {
	return cr.attempts == 0 || len(cr.tried) < cr.route.Attempts
}

// placeWithoutScheduler chooses the least loaded upstream, as far as this router knows,
// among those that have the model and the adapter loaded.
func (cr *callerRequest) placeWithoutScheduler() (cell.Placement, bool) {
	snapshot := cr.handler.directory.Load()
	var candidates []*fleet.Upstream
	for _, up := range snapshot.ByService[cr.service.Name] {
		if !up.TakesWork() || cr.handler.pauses.left(up.ID) > 0 || !hasLoaded(up, cr.call) || cr.handler.balancer.isReportedMissing(up.ID, cr.call.Model) {
			continue
		}
		if cr.mayTryAnother() != slices.Contains(cr.tried, up.ID) {
			candidates = append(candidates, up)
		}
	}
	up := cr.handler.balancer.pick(candidates)
	for up != nil && !cr.handler.notices.limits.TakeAlone(time.Now(), up.ID) {
		candidates = slices.DeleteFunc(candidates, func(other *fleet.Upstream) bool { return other == up })
		up = cr.handler.balancer.pick(candidates)
	}
	if up == nil {
		return cell.Placement{}, false
	}
	number := cr.handler.scheduler.Adopt(cr.placementRequest(), up.ID)
	return cell.Placement{Number: number, UpstreamID: up.ID, Address: up.Addr, Reason: "no scheduler"}, true
}

func hasLoaded(up *fleet.Upstream, call Call) bool {
	for _, loaded := range up.Models {
		if loaded.Name == call.Model {
			return call.Adapter == "" || slices.Contains(loaded.Adapters, call.Adapter)
		}
	}
	return false
}

// sendTo sends the request to the engine of a placement. It reports false if another
// placement may be tried.
func (cr *callerRequest) sendTo(placement cell.Placement) bool {
	report := func(outcome apiv1.PlacementOutcome) {
		cr.handler.scheduler.ReportOutcome(placement.Number, outcome, cr.eventInterval())
	}
	check := func() error { return cr.checkPlacement(placement) }
	answered, err := cr.handler.pauses.ramps.await(cr.ctx, placement.UpstreamID, check)
	if isChoiceVoid(err) {
		return cr.handleVoidChoice(err, report)
	}
	if err != nil {
		report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_CANCELLED)
		cr.refuse(attemptRetryDelay, "the engine recovers from a pause: "+err.Error())
		return true
	}
	release := cr.handler.balancer.begin(placement.UpstreamID)
	defer release()
	cr.recordAttempt(placement.UpstreamID)
	ctx, cancel := context.WithCancelCause(cr.ctx)
	defer cancel(nil)
	cr.stall = cr.watchStalls(placement.Expected, cancel)
	defer cr.stall.stop()
	sentAt := time.Now()
	resp, info, err := cr.send(ctx, placement.UpstreamID, placement.Address, cr.rank.Priority, check, answered)
	if err != nil {
		return cr.handleSendError(err, placement, report)
	}
	defer resp.Close()
	cr.slowdown = 0
	if info.Load != nil {
		cr.slowdown = info.Load.Slowdown
	}
	switch {
	case info.NotRun:
		resp.Discard()
		return cr.handleNotRun(info, report)
	case resp.Status < 300 && info.Signed && cr.call.NonStreaming:
		return cr.handleNonStreaming(resp, sentAt, placement, report)
	case resp.Status < 300 && info.Signed:
		return cr.handleStream(resp, sentAt, placement, report)
	case info.Signed && !impliesNotRun(resp.Status):
		return cr.relayFailure(resp, report)
	}
	report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FAILED)
	return cr.retryOrRefuse("the upstream's answer is not valid")
}

func (cr *callerRequest) handleSendError(err error, placement cell.Placement, report func(apiv1.PlacementOutcome)) bool {
	if cr.ctx.Err() != nil {
		report(cr.cancelledOutcome())
		cr.refuse(attemptRetryDelay, "no answer in time: "+err.Error())
		return true
	}
	if isChoiceVoid(err) {
		cr.undoAttempt()
		return cr.handleVoidChoice(err, report)
	}
	cr.reportFailure(err, placement)
	cr.handler.balancer.recordFailure(cr.record.Upstream)
	return cr.retryOrRefuse(err.Error())
}

func (cr *callerRequest) handleNotRun(info ResponseInfo, report func(apiv1.PlacementOutcome)) bool {
	switch {
	case info.WrongUpstream:
		report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_MODEL_MISSING)
		cr.handler.balancer.reportMissing(cr.record.Upstream, cr.call.Model)
	case info.Pause > 0:
		// The engine may be full for this router only.
		report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_CANCELLED)
	default:
		report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_NOT_RUN)
		cr.handler.balancer.recordRefusal(cr.record.Upstream)
	}
	if cr.call.Adapter != "" && cr.attempts < maxAdapterAttempts && cr.budget.AllowRetry() {
		return false
	}
	return cr.retryOrRefuse("the upstream refused the request")
}

// handleNonStreaming relays a response that is not an event stream.
func (cr *callerRequest) handleNonStreaming(resp *exchange.Response, sentAt time.Time, placement cell.Placement, report func(apiv1.PlacementOutcome)) bool {
	if err := cr.relayPlain(resp); err != nil {
		cr.reportFailure(err, placement)
		return cr.retryOrRefuse("the answer broke off: " + err.Error())
	}
	cr.record.FirstEvent = time.Since(sentAt)
	cr.handler.balancer.resetFailures(cr.record.Upstream)
	report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FINISHED)
	cr.record.Outcome = OutcomeServed
	return true
}

// cancelledOutcome returns the outcome of an attempt whose caller disconnected or whose
// deadline passed. If the upstream sent nothing for long before, that is its failure.
func (cr *callerRequest) cancelledOutcome() apiv1.PlacementOutcome {
	if cr.stall.stalled.Load() {
		return apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FAILED
	}
	return apiv1.PlacementOutcome_PLACEMENT_OUTCOME_CANCELLED
}

// handleStream relays an event stream.
func (cr *callerRequest) handleStream(resp *exchange.Response, sentAt time.Time, placement cell.Placement, report func(apiv1.PlacementOutcome)) bool {
	err := cr.relayStream(resp, func() {
		cr.record.FirstEvent = time.Since(sentAt)
		cr.handler.scheduler.ReportStarted(placement.Number, cr.slowdown)
	})
	if err == nil {
		cr.handler.balancer.resetFailures(cr.record.Upstream)
		report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FINISHED)
		cr.record.Outcome = OutcomeServed
		return true
	}
	if cr.ctx.Err() != nil {
		report(cr.cancelledOutcome())
		cr.fail("stopped: " + cr.ctx.Err().Error())
		return true
	}
	cr.reportFailure(err, placement)
	if cr.responseStarted && (!cr.route.Resumable || cr.lastEventID == "") {
		cr.fail("the stream broke off: " + err.Error())
		return true
	}
	return cr.retryOrRefuse("the stream broke off: " + err.Error())
}

// relayFailure relays an error response of the upstream, or reports false if the request
// may be retried.
func (cr *callerRequest) relayFailure(resp *exchange.Response, report func(apiv1.PlacementOutcome)) bool {
	report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FAILED)
	if cr.responseStarted {
		cr.fail("the upstream failed with status " + httpStatus(resp.Status))
		return true
	}
	if resp.Status >= http.StatusInternalServerError && cr.acquireRetry() {
		return false
	}
	if err := cr.relayPlain(resp); err != nil {
		return cr.retryOrRefuse(err.Error())
	}
	cr.record.Outcome = OutcomeRelayedFailure
	return true
}

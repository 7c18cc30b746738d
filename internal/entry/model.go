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
)

const (
	// maxSameSends bounds the sendings to one upstream that refuses a request
	// because an adapter is not there yet.
	maxSameSends = 3
	// maxPlacements bounds the places that one request asks for.
	maxPlacements = 6
)

// serveModel serves a request to a model engine.
func (j *job) serveModel() {
	for range maxPlacements {
		place, err := j.place()
		if err != nil {
			j.failPlacement(err)
			return
		}
		if j.front.directory.Load().KnownUnusable(place.UpstreamID) {
			// The scheduler has not heard yet that the upstream leaves or is gone.
			j.front.scheduler.ReportOutcome(place.Number, apiv1.PlacementOutcome_PLACEMENT_OUTCOME_CANCELLED)
			j.tried = append(j.tried, place.UpstreamID)
			continue
		}
		if j.sendTo(place) {
			return
		}
	}
	j.refuse(againPause, "upstreams refused the request")
}

func (j *job) failPlacement(err error) {
	var refused *cell.RefusedError
	if errors.As(err, &refused) {
		j.refuse(refused.RetryAfter, refused.Reason)
		return
	}
	j.refuse(againPause, "no place: "+err.Error())
}

// place asks the scheduler, or chooses alone while there is none.
func (j *job) place() (cell.Placement, error) {
	began := time.Now()
	defer func() { j.record.Waited += time.Since(began) }()
	ctx, cancel := context.WithDeadline(j.ctx, j.callerStays())
	defer cancel()
	for {
		place, err := j.front.scheduler.Place(ctx, j.ask())
		if !errors.Is(err, cell.ErrNoScheduler) {
			j.record.WaitedFor = place.Reason
			return place, err
		}
		j.record.Alone = true
		if place, ok := j.placeAlone(); ok {
			return place, nil
		}
		if err := j.front.scheduler.WaitLinked(ctx); err != nil {
			return cell.Placement{}, err
		}
	}
}

// silenceShare is the part of the time that callers stay silent streams for which a
// place is waited, so that a refusal still reaches them.
const silenceShare = 0.9

// refusalLead is how much earlier the scheduler gives an ask up than the router, so
// that its reason and Retry-After reach the caller.
const refusalLead = 50 * time.Millisecond

// callerStays is until when the caller is expected to wait for the next event.
func (j *job) callerStays() time.Time {
	if j.route.CallerEventTimeout <= 0 {
		return j.giveUp
	}
	since := j.arrived
	if !j.lastEventAt.IsZero() {
		since = j.lastEventAt
	}
	leaves := since.Add(time.Duration(silenceShare * float64(j.route.CallerEventTimeout)))
	if leaves.Before(j.giveUp) {
		return leaves
	}
	return j.giveUp
}

func (j *job) ask() *apiv1.PlacementAsk {
	ask := &apiv1.PlacementAsk{
		RequestId:     j.call.ID,
		Service:       j.service.Name,
		Model:         j.call.Model,
		Adapter:       j.call.Adapter,
		PromptTokens:  j.call.PromptTokens,
		OutputTokens:  j.call.MaxOutputTokens,
		Priority:      int32(min(math.MaxInt32, j.rank.Priority)),
		ObjectiveUs:   time.Until(j.objective).Microseconds(),
		GiveUpUs:      (time.Until(j.callerStays()) - refusalLead).Microseconds(),
		FailureDomain: j.front.settings.FailureDomain,
		Tried:         slices.Clone(j.tried),
		MayMove:       j.mayMove(),
		MaxGapUs:      j.route.MaxGap.Microseconds(),
		AgeingUs:      j.rank.Ageing.Microseconds(),
	}
	for _, p := range j.call.Parts {
		ask.Parts = append(ask.Parts, &apiv1.PromptPart{Id: p.ID, Tokens: p.Tokens})
	}
	return ask
}

// mayMove reports whether one more upstream may get the request.
func (j *job) mayMove() bool { return j.sends == 0 || len(j.tried) < j.route.Attempts }

// placeAlone chooses an upstream that holds the model by what this router knows.
func (j *job) placeAlone() (cell.Placement, bool) {
	snapshot := j.front.directory.Load()
	var candidates []*fleet.Upstream
	for _, up := range snapshot.ByService[j.service.Name] {
		if !up.TakesWork() || !holdsModel(up, j.call) || j.front.balancer.isDenied(up.ID, j.call.Model) {
			continue
		}
		if j.mayMove() != slices.Contains(j.tried, up.ID) {
			candidates = append(candidates, up)
		}
	}
	up := j.front.balancer.pick(candidates)
	if up == nil {
		return cell.Placement{}, false
	}
	number := j.front.scheduler.Adopt(j.ask(), up.ID)
	return cell.Placement{Number: number, UpstreamID: up.ID, Address: up.Addr, Reason: "no scheduler"}, true
}

func holdsModel(up *fleet.Upstream, call Call) bool {
	for _, held := range up.Models {
		if held.Name == call.Model {
			return call.Adapter == "" || slices.Contains(held.Adapters, call.Adapter)
		}
	}
	return false
}

// sendTo sends the request to a placed engine. It reports false if the request
// may be placed once more.
func (j *job) sendTo(place cell.Placement) bool {
	report := func(outcome apiv1.PlacementOutcome) { j.front.scheduler.ReportOutcome(place.Number, outcome) }
	release := j.front.balancer.begin(place.UpstreamID)
	defer release()
	j.noteSending(place.UpstreamID)
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	sentAt := time.Now()
	resp, answer, err := j.send(ctx, place.UpstreamID, place.Address, j.rank.Priority)
	if err != nil {
		return j.sendFailed(err, report)
	}
	defer resp.Close()
	switch {
	case answer.NotRun:
		resp.Discard()
		return j.notRun(answer, report)
	case resp.Status < 300 && answer.Signed && j.call.NonStreaming:
		return j.wholeAnswer(resp, sentAt, report)
	case resp.Status < 300 && answer.Signed:
		return j.stream(resp, sentAt, report)
	case answer.Signed && !isPromise(resp.Status):
		return j.relayFailure(resp, report)
	}
	report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FAILED)
	return j.again("the upstream's answer is not valid")
}

func (j *job) sendFailed(err error, report func(apiv1.PlacementOutcome)) bool {
	if j.ctx.Err() != nil {
		report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_CANCELLED)
		j.refuse(againPause, "no answer in time: "+err.Error())
		return true
	}
	report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FAILED)
	j.front.balancer.failed(j.record.Upstream)
	return j.again(err.Error())
}

func (j *job) notRun(answer ResponseInfo, report func(apiv1.PlacementOutcome)) bool {
	if answer.WrongUpstream {
		report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_MODEL_MISSING)
		j.front.balancer.deny(j.record.Upstream, j.call.Model)
	} else {
		report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_NOT_RUN)
		j.front.balancer.refused(j.record.Upstream)
	}
	if j.call.Adapter != "" && j.sends < maxSameSends && j.front.budget.AllowRetry() {
		return false
	}
	return j.again("the upstream refused the request")
}

// wholeAnswer passes an answer that is no stream on.
func (j *job) wholeAnswer(resp *exchange.Response, sentAt time.Time, report func(apiv1.PlacementOutcome)) bool {
	if err := j.relayPlain(resp); err != nil {
		report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FAILED)
		return j.again("the answer broke off: " + err.Error())
	}
	j.record.FirstEvent = time.Since(sentAt)
	j.front.balancer.recovered(j.record.Upstream)
	report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FINISHED)
	j.record.Outcome = OutcomeServed
	return true
}

// stream passes the answer on.
func (j *job) stream(resp *exchange.Response, sentAt time.Time, report func(apiv1.PlacementOutcome)) bool {
	err := j.relayStream(resp, func() {
		j.record.FirstEvent = time.Since(sentAt)
		report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_STARTED)
	})
	if err == nil {
		j.front.balancer.recovered(j.record.Upstream)
		report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FINISHED)
		j.record.Outcome = OutcomeServed
		return true
	}
	if j.ctx.Err() != nil {
		report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_CANCELLED)
		j.fail("stopped: " + j.ctx.Err().Error())
		return true
	}
	report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FAILED)
	if j.begun && (!j.route.Resumable || j.lastEvent == "") {
		j.fail("the stream broke off: " + err.Error())
		return true
	}
	return j.again("the stream broke off: " + err.Error())
}

// relayFailure passes an upstream's own failure on.
func (j *job) relayFailure(resp *exchange.Response, report func(apiv1.PlacementOutcome)) bool {
	report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FAILED)
	if j.begun {
		j.fail("the upstream failed with status " + httpStatus(resp.Status))
		return true
	}
	if resp.Status >= http.StatusInternalServerError && j.mayMoveOn() {
		return false
	}
	if err := j.relayPlain(resp); err != nil {
		return j.again(err.Error())
	}
	j.record.Outcome = OutcomeRelayed
	return true
}

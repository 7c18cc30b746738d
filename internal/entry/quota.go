package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/cell"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
)

const (
	// A request waits for the quota of its workspace for quotaWaitShare of the time until its
	// objective, at most maxQuotaWait. That is less than a refusal and a new attempt cost its
	// caller.
	quotaWaitShare = 0.25
	maxQuotaWait   = 250 * time.Millisecond
	// unlinkedQuotaShare is the part of the time until its deadline for which a request waits for
	// a scheduler that deals quotas, at most unlinkedWait.
	unlinkedQuotaShare = 0.25
	// quotaReturnInterval is how often routers give back what they did not spend.
	quotaReturnInterval = 250 * time.Millisecond
	// cutOffRetryDelay is the Retry-After of a router without a scheduler, while others have one.
	cutOffRetryDelay = 50 * time.Millisecond
)

// errNoQuota means that no scheduler is connected to deal the quota of a workspace.
var errNoQuota = errors.New("no scheduler deals the workspace's quota: another router takes over within seconds")

// acquireQuota spends the cost of the request from the quota of its workspace, once for all
// attempts. If the quota has no room for it, it writes the error response and reports false.
func (cr *callerRequest) acquireQuota() bool {
	if cr.workspace == nil || !cr.workspace.Quota.IsLimited() {
		return true
	}
	cost := cr.workspace.Quota.Cost(cr.call.PromptTokens+cr.call.MaxOutputTokens, cr.call.TokensTold)
	began := time.Now()
	spent, err := cr.spendQuota(cost)
	cr.record.QuotaWaited = time.Since(began)
	if err == nil {
		cr.quotaCost, cr.quotaSpent = cost, spent
		return true
	}
	cr.answerBeforeBody()
	var refused *cell.RefusedError
	switch {
	case errors.As(err, &refused):
		cr.refuseOverQuota(refused)
	case cr.callerDisconnected():
		cr.fail("the caller left")
	default:
		cr.refuse(cr.handler.unlinkedRetryDelay(), err.Error())
	}
	return false
}

// isCutOff reports whether this router has had no scheduler for longer than a change of the
// scheduler takes. Other routers are likely to have one.
func (h *Handler) isCutOff() bool { return h.scheduler.UnlinkedFor() > unlinkedWait }

// unlinkedRetryDelay is the Retry-After of a request that needs a scheduler.
func (h *Handler) unlinkedRetryDelay() time.Duration {
	if h.isCutOff() {
		return cutOffRetryDelay // another router takes it
	}
	return unlinkedRetryDelay + rand.N(unlinkedRetryDelay/2)
}

// spendQuota asks the scheduler; while none is connected, it uses this router's own part.
func (cr *callerRequest) spendQuota(cost int64) (pace.SpentFrom, error) {
	name, began := cr.workspace.Name, time.Now()
	wait := min(maxQuotaWait, time.Duration(quotaWaitShare*float64(time.Until(cr.objective))))
	giveUp := began.Add(min(unlinkedWait, time.Duration(unlinkedQuotaShare*float64(time.Until(cr.deadline)))))
	ctx, cancel := context.WithDeadline(cr.r.Context(), cr.deadline)
	defer cancel()
	for {
		spent, err := cr.handler.scheduler.AcquireQuota(ctx, name, cost, max(0, wait))
		if !errors.Is(err, cell.ErrNoScheduler) {
			return spent, err
		}
		if cr.handler.quotas.TakeAlone(time.Now(), name, float64(cost)) {
			return pace.SpentFrom{Alone: true}, nil
		}
		if ctx.Err() != nil || time.Now().After(giveUp) || cr.isTooLateToSend() || cr.handler.isCutOff() {
			return spent, errNoQuota
		}
		cr.awaitScheduler(ctx, unlinkedPoll)
	}
}

// refuseOverQuota responds with 429: the quota has no room for the request.
func (cr *callerRequest) refuseOverQuota(refused *cell.RefusedError) {
	retryAfter := max(refused.RetryAfter, minRetryDelay)
	cr.record.Outcome = OutcomeOverQuota
	cr.record.Reason = refused.Reason
	cr.record.RetryAfter = retryAfter
	cr.writeError(ErrorResponse{Status: http.StatusTooManyRequests, Kind: "over_quota", Text: refused.Reason, RetryAfter: retryAfter})
}

// settleQuota records what the request cost, and gives it back if the request has not run.
func (cr *callerRequest) settleQuota() {
	if cr.record.MayHaveRun {
		cr.record.QuotaCost = cr.quotaCost
	} else if cr.quotaCost > 0 {
		cr.handler.quotas.Refund(time.Now(), cr.workspace.Name, float64(cr.quotaCost), cr.quotaSpent)
	}
}

// returnQuotas gives back what was dealt and not spent, until ctx is done.
func (p *Process) returnQuotas(ctx context.Context) {
	every(ctx, quotaReturnInterval, func() { p.client.ReturnUnspentQuotas(time.Now()) })
}

package router

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/claim"
)

const maxKeyBytes = 255

// serveKeyed runs a call under an idempotency key: the first request claims the
// key before the call is sent, and the others get its outcome.
func (r *Router) serveKeyed(ctx context.Context, c *serviceCall, key string) *Error {
	if err := checkKey(key); err != nil {
		return err
	}
	for try := 1; ; try++ {
		res, err := r.claim(ctx, c, key, try)
		if err != nil {
			return err
		}
		if res.Claimed != nil {
			return r.runClaimed(ctx, c, res.Claimed)
		}
		row, err := r.awaitOutcome(ctx, c, key, res.Existing)
		if err != nil {
			return err
		}
		if row.GetState() != apiv1.ClaimState_CLAIM_STATE_NOT_RUN {
			return r.replay(c.x, row)
		}
		if ctx.Err() != nil {
			return c.x.expired(false)
		}
	}
}

// checkKey refuses keys that can't be part of a row's key.
func checkKey(key string) *Error {
	if len(key) > maxKeyBytes {
		return badRequest("send a key of at most 255 bytes", "%s is too long", HeaderIdempotencyKey)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return badRequest("send a key of printable ASCII without spaces", "%s has other characters", HeaderIdempotencyKey)
		}
	}
	return nil
}

// claim asks for the right to send the call. Each try has an id of its own, by
// which a claim is told from an earlier one of the same request.
func (r *Router) claim(ctx context.Context, c *serviceCall, key string, try int) (claim.Result, *Error) {
	if r.opts.Claims == nil {
		return claim.Result{}, claimsUnavailable(time.Second, errors.New("this router keeps no claims"))
	}
	start := r.opts.Now()
	id := c.x.id + "/" + strconv.Itoa(try)
	res, err := r.opts.Claims.Claim(ctx, c.service.GetName(), key, id, c.fingerprint())
	c.x.phase(apiv1.PhaseKind_PHASE_KIND_CLAIM, start, "write of the claim", "")
	var claimErr *claim.Error
	switch {
	case errors.As(err, &claimErr):
		return res, claimsUnavailable(claimErr.RetryAfter, err)
	case err != nil:
		return res, claimsUnavailable(time.Second, err)
	default:
		return res, nil
	}
}

func claimsUnavailable(after time.Duration, err error) *Error {
	return notRun(KindClaims, http.StatusServiceUnavailable, remedyRetry,
		"the call was not sent, since its claim could not be written: %v", err).after(max(after, time.Millisecond))
}

// runClaimed sends the call and stores its outcome before the caller learns it.
func (r *Router) runClaimed(ctx context.Context, c *serviceCall, claimed *claim.Claimed) *Error {
	a, err := r.call(ctx, c)
	finishCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.x.deadline)
	defer cancel()
	start := r.opts.Now()
	if finishErr := r.opts.Claims.Finish(finishCtx, claimed, outcomeOf(a, err)); finishErr != nil {
		r.counters.claimsNotStored.Add(1)
		r.opts.Log.Warn("outcome answered before it was stored", "request_id", c.x.id, "err", finishErr)
	}
	c.x.phase(apiv1.PhaseKind_PHASE_KIND_CLAIM, start, "write of the outcome", "")
	if err != nil {
		return err
	}
	return a.write(c.x)
}

func outcomeOf(a *answer, err *Error) claim.Outcome {
	switch {
	case err == nil:
		return claim.Outcome{State: apiv1.ClaimState_CLAIM_STATE_DONE, Status: a.status, Headers: a.headers, Body: a.body, BodyCut: a.passing}
	case err.Outcome == apiv1.Outcome_OUTCOME_NOT_RUN:
		return claim.Outcome{State: apiv1.ClaimState_CLAIM_STATE_NOT_RUN}
	default:
		return claim.Outcome{State: apiv1.ClaimState_CLAIM_STATE_UNKNOWN}
	}
}

// awaitOutcome waits for the outcome of the request that holds the key.
func (r *Router) awaitOutcome(ctx context.Context, c *serviceCall, key string, row *apiv1.ClaimRow) (*apiv1.ClaimRow, *Error) {
	if row.GetFingerprint() != c.fingerprint() && row.GetRequestId() != "" {
		return nil, notRun(KindKeyReused, http.StatusUnprocessableEntity,
			"use a new key for each call, and the same method, path and body for a repeat",
			"%s was used for another call", HeaderIdempotencyKey)
	}
	start := r.opts.Now()
	row = r.opts.Claims.Await(ctx, c.service.GetName(), key, row)
	c.x.phase(apiv1.PhaseKind_PHASE_KIND_CLAIM, start, "an earlier call with the same key was running", "")
	return row, nil
}

// replay answers with the stored outcome of an earlier call.
func (r *Router) replay(x *exchange, row *apiv1.ClaimRow) *Error {
	r.counters.replayed.Add(1)
	x.w.Header().Set(HeaderReplayed, "true")
	switch {
	case row.GetState() == apiv1.ClaimState_CLAIM_STATE_CLAIMED:
		return unknown(KindClaimOpen, http.StatusGatewayTimeout, "repeat the call with the same key to learn its outcome, or check whether it took effect",
			"an earlier call with the same key has no outcome yet").after(time.Second)
	case row.GetState() != apiv1.ClaimState_CLAIM_STATE_DONE:
		return unknown(KindUpstream, http.StatusConflict, remedyCheck, "the outcome of the earlier call with the same key is unknown")
	case row.GetBodyOmitted():
		return unknown(KindBodyOmitted, http.StatusConflict, "read the result from the service",
			"the earlier call with the same key was answered with status %d and a body that is too long to be stored", row.GetStatus())
	}
	a := &answer{status: row.GetStatus(), headers: row.GetHeaders(), body: row.GetBody()}
	return a.write(x)
}

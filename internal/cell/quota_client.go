package cell

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
)

// quotaAnswerTimeout is after what time the scheduler is asked again for a quota. It answers earlier
// unless it has lost the question.
const quotaAnswerTimeout = time.Second

// quotaRefusal is why a request was refused that its workspace's quota has no room for.
const quotaRefusal = "the workspace's quota has no room for the request"

// quotaKey names the light requests of a workspace, or the others.
type quotaKey struct {
	workspace string
	light     bool
}

// quotaWait are the requests of one key that wait for a grant, in the order of their arrival.
type quotaWait struct {
	requests []*quotaRequest
	// askedAt is when the scheduler was last asked.
	askedAt time.Time
}

// quotaRequest is a request that waits for its workspace's quota.
type quotaRequest struct {
	cost    float64
	until   time.Time
	decided chan quotaDecision
}

type quotaDecision struct {
	spent pace.SpentFrom
	err   error
}

// AcquireQuota spends the cost of a request from its workspace's quota. It asks the scheduler if
// this router's allowance does not suffice, and waits for the quota up to maxWait. The error is
// ErrNoScheduler, a *RefusedError or that of ctx.
func (c *Client) AcquireQuota(ctx context.Context, workspace string, cost int64, maxWait time.Duration) (pace.SpentFrom, error) {
	now := time.Now()
	if spent, ok := c.opts.Quotas.Take(now, workspace, float64(cost)); ok {
		return spent, nil
	}
	request := &quotaRequest{cost: float64(cost), until: now.Add(maxWait), decided: make(chan quotaDecision, 1)}
	key := quotaKey{workspace, c.opts.Quotas.IsLight(workspace, request.cost)}
	if err := c.enqueueQuota(now, key, request); err != nil {
		return pace.SpentFrom{}, err
	}
	timer := time.NewTimer(maxWait + confirmTimeout)
	defer timer.Stop()
	err := ErrNoScheduler
	select {
	case decision := <-request.decided:
		return decision.spent, decision.err
	case <-timer.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if c.dequeueQuota(key, request) {
		return pace.SpentFrom{}, err
	}
	decision := <-request.decided // it was decided meanwhile
	return decision.spent, decision.err
}

func (c *Client) enqueueQuota(now time.Time, key quotaKey, request *quotaRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected {
		return ErrNoScheduler
	}
	if delay := c.opts.Quotas.RefusedFor(now, key.workspace, request.cost); delay > 0 {
		return &RefusedError{RetryAfter: delay, Reason: quotaRefusal}
	}
	wait := c.quotaWaits[key]
	if wait == nil {
		wait = &quotaWait{}
		c.quotaWaits[key] = wait
	}
	wait.requests = append(wait.requests, request)
	if len(wait.requests) == 1 || now.Sub(wait.askedAt) > quotaAnswerTimeout {
		c.askQuotaLocked(now, key, wait)
	}
	return nil
}

// dequeueQuota removes a request that gives up. It reports false if the request was decided.
func (c *Client) dequeueQuota(key quotaKey, request *quotaRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := c.quotaWaits[key]
	if wait == nil {
		return false
	}
	i := slices.Index(wait.requests, request)
	if i < 0 {
		return false
	}
	wait.requests = slices.Delete(wait.requests, i, i+1)
	if len(wait.requests) == 0 {
		delete(c.quotaWaits, key)
	}
	return true
}

// askQuotaLocked asks the scheduler for what the requests of a workspace need.
func (c *Client) askQuotaLocked(now time.Time, key quotaKey, wait *quotaWait) {
	wait.askedAt = now
	all := 0.0
	for _, request := range wait.requests {
		all += request.cost
	}
	c.sendLocked(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_QuotaAsk{QuotaAsk: &apiv1.QuotaAsk{
		Workspace: key.workspace,
		Light:     key.light,
		First:     int64(wait.requests[0].cost),
		All:       int64(all),
		Spare:     int64(c.opts.Quotas.Spare(now, key.workspace)),
		WaitUs:    max(0, wait.requests[0].until.Sub(now)).Microseconds(),
	}}})
}

// takeQuotaGrantLocked takes in an answer of the scheduler. The requests that it does not suffice
// for ask again; after a refusal all of them are refused.
func (c *Client) takeQuotaGrantLocked(grant *apiv1.QuotaGrant) {
	now := time.Now()
	name := grant.GetWorkspace()
	if grant.GetAmount() > 0 {
		c.opts.Quotas.Grant(now, name, float64(grant.GetAmount()), grant.GetFence())
	}
	key := quotaKey{name, grant.GetLight()}
	wait := c.quotaWaits[key]
	if wait == nil {
		return
	}
	for len(wait.requests) > 0 {
		request := wait.requests[0]
		decision := quotaDecision{}
		if grant.GetAmount() > 0 {
			spent, ok := c.opts.Quotas.Take(now, name, request.cost)
			if !ok {
				c.askQuotaLocked(now, key, wait)
				return
			}
			decision.spent = spent
		} else {
			delay := c.opts.Quotas.Refuse(now, name, request.cost, microseconds(grant.GetRetryAfterUs()))
			decision.err = &RefusedError{RetryAfter: delay, Reason: quotaRefusal}
		}
		request.decided <- decision
		wait.requests = wait.requests[1:]
	}
	delete(c.quotaWaits, key)
}

// failQuotaWaitsLocked ends all waits when the link to the scheduler is lost.
func (c *Client) failQuotaWaitsLocked() {
	for key, wait := range c.quotaWaits {
		for _, request := range wait.requests {
			request.decided <- quotaDecision{err: ErrNoScheduler}
		}
		delete(c.quotaWaits, key)
	}
}

// ReturnUnspentQuotas gives back what is left of the allowances that have expired.
func (c *Client) ReturnUnspentQuotas(now time.Time) {
	unspent := c.opts.Quotas.TakeExpired(now)
	if len(unspent) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range unspent {
		c.sendLocked(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_QuotaReturn{QuotaReturn: &apiv1.QuotaReturn{
			Workspace: u.Workspace, Amount: int64(u.Amount), Fence: u.Fence,
		}}})
	}
}

package cell

import (
	"context"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Placement is the engine that a request was given.
type Placement struct {
	// Number identifies the placement in ReportOutcome.
	Number     uint64
	UpstreamID string
	// Address is the upstream's address.
	Address string
	// Expected is the estimated time to the first event.
	Expected time.Duration
	// Reason is what the request waited for; empty if it did not wait.
	Reason string
	// Trial is set if the request tries a blocked part of its prompt.
	Trial bool
}

// RefusedError means that the scheduler can't place a request in time.
type RefusedError struct {
	RetryAfter time.Duration
	Reason     string
}

// pendingRequest is a placement request without a decision.
type pendingRequest struct {
	// decision receives a grant or a refusal. It is closed when the link ends.
	decision chan *apiv1.SchedulerReply
	// confirmed is set when the scheduler has queued the request.
	confirmed bool
}

// Place sends a placement request and waits for the decision. It sets the request's
// number. The error is ErrNoScheduler, a *RefusedError or the error of ctx.
func (c *Client) Place(ctx context.Context, req *apiv1.PlacementAsk) (Placement, error) {
	req.Number = c.lastNumber.Add(1)
	pending := &pendingRequest{decision: make(chan *apiv1.SchedulerReply, 1)}
	c.mu.Lock()
	if !c.connected {
		c.mu.Unlock()
		return Placement{}, ErrNoScheduler
	}
	c.pending[req.GetNumber()] = pending
	c.sendLocked(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Ask{Ask: req}})
	c.mu.Unlock()
	confirmTimer := time.NewTimer(confirmTimeout)
	defer confirmTimer.Stop()
	for {
		select {
		case reply, ok := <-pending.decision:
			if !ok {
				return Placement{}, ErrNoScheduler
			}
			return c.applyDecision(req, reply)
		case <-confirmTimer.C:
			if !c.isConfirmed(req.GetNumber(), pending) {
				c.withdraw(req.GetNumber())
				return Placement{}, ErrNoScheduler
			}
		case <-ctx.Done():
			c.withdraw(req.GetNumber())
			return Placement{}, ctx.Err()
		}
	}
}

// isConfirmed reports whether the scheduler has confirmed or decided a placement
// request. Otherwise the request is withdrawn and the router chooses an engine
// itself: the scheduler may be overloaded, suspended or unreachable.
func (c *Client) isConfirmed(number uint64, req *pendingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return req.confirmed || c.pending[number] != req
}

func (c *Client) applyDecision(req *apiv1.PlacementAsk, reply *apiv1.SchedulerReply) (Placement, error) {
	if refusal := reply.GetRefusal(); refusal != nil {
		return Placement{}, &RefusedError{RetryAfter: microseconds(refusal.GetRetryAfterUs()), Reason: refusal.GetReason()}
	}
	grant := reply.GetGrant()
	if len(req.GetLimited()) == 0 {
		c.mu.Lock()
		c.running[req.GetNumber()] = &apiv1.RunningRequest{Ask: req, UpstreamId: grant.GetUpstreamId()}
		c.mu.Unlock()
	}
	return Placement{
		Number:     req.GetNumber(),
		UpstreamID: grant.GetUpstreamId(),
		Address:    grant.GetAddress(),
		Expected:   microseconds(grant.GetExpectedUs()),
		Reason:     grant.GetReason(),
		Trial:      grant.GetTrial(),
	}, nil
}

func (c *Client) withdraw(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
	c.sendLocked(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Withdrawal{Withdrawal: &apiv1.PlacementWithdrawal{Number: number}}})
}

// Adopt registers a request that this router placed without the scheduler and
// returns its number for ReportOutcome.
func (c *Client) Adopt(req *apiv1.PlacementAsk, upstreamID string) uint64 {
	req.Number = c.lastNumber.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[req.GetNumber()] = &apiv1.RunningRequest{Ask: req, UpstreamId: upstreamID}
	return req.GetNumber()
}

// ReportOutcome reports the progress of a placed request to the scheduler. Each
// outcome but STARTED ends the request. eventInterval is the mean time between the
// events of a finished stream, 0 if unknown.
func (c *Client) ReportOutcome(number uint64, outcome apiv1.PlacementOutcome, eventInterval time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome == apiv1.PlacementOutcome_PLACEMENT_OUTCOME_STARTED {
		c.noteStartedLocked(number)
	} else {
		delete(c.running, number)
		delete(c.startedAt, number)
	}
	c.sendLocked(progressCall(number, outcome, eventInterval))
}

// ReportStarted is ReportOutcome for the first event of a response that said how long work takes at
// the engine, as a multiple of the usual time; 0 if it did not.
func (c *Client) ReportStarted(number uint64, slowdown float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteStartedLocked(number)
	call := progressCall(number, apiv1.PlacementOutcome_PLACEMENT_OUTCOME_STARTED, 0)
	call.GetProgress().Slowdown = slowdown
	c.sendLocked(call)
}

func (c *Client) noteStartedLocked(number uint64) {
	if r := c.running[number]; r != nil {
		r.Started = true
		c.startedAt[number] = time.Now()
	}
}

func progressCall(number uint64, outcome apiv1.PlacementOutcome, eventInterval time.Duration) *apiv1.SchedulerCall {
	progress := &apiv1.PlacementProgress{Number: number, Outcome: outcome, EventIntervalUs: eventInterval.Microseconds()}
	return &apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Progress{Progress: progress}}
}

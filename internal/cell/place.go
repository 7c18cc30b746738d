package cell

import (
	"context"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Placement is a place on an engine.
type Placement struct {
	// Number names the placement in Report.
	Number     uint64
	UpstreamID string
	Address    string
	Expected   time.Duration
	Reason     string
}

// RefusedError means that the scheduler can't serve a request in time.
type RefusedError struct {
	RetryAfter time.Duration
	Reason     string
}

// waitingAsk is an ask without a decision.
type waitingAsk struct {
	// answer gets the decision; it is closed when the link ends.
	answer chan *apiv1.SchedulerReply
	// queued is set once the scheduler has confirmed the ask.
	queued bool
}

// Place asks for a place and waits for it. The error is ErrNoScheduler, a
// *RefusedError or that of ctx.
func (c *Client) Place(ctx context.Context, ask *apiv1.PlacementAsk) (Placement, error) {
	ask.Number = c.numbers.Add(1)
	waiting := &waitingAsk{answer: make(chan *apiv1.SchedulerReply, 1)}
	c.mu.Lock()
	if !c.alive {
		c.mu.Unlock()
		return Placement{}, ErrNoScheduler
	}
	c.waiting[ask.GetNumber()] = waiting
	c.sendLocked(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Ask{Ask: ask}})
	c.mu.Unlock()
	confirm := time.NewTimer(askTimeout)
	defer confirm.Stop()
	for {
		select {
		case reply, ok := <-waiting.answer:
			if !ok {
				return Placement{}, ErrNoScheduler
			}
			return c.decide(ask, reply)
		case <-confirm.C:
			if !c.isQueued(ask.GetNumber(), waiting) {
				c.withdraw(ask.GetNumber())
				return Placement{}, ErrNoScheduler
			}
		case <-ctx.Done():
			c.withdraw(ask.GetNumber())
			return Placement{}, ctx.Err()
		}
	}
}

// isQueued reports whether the scheduler has confirmed or decided an ask. One
// that it has not is taken back: the scheduler may be overloaded, frozen or cut
// off, and the router chooses alone.
func (c *Client) isQueued(number uint64, ask *waitingAsk) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ask.queued || c.waiting[number] != ask
}

func (c *Client) decide(ask *apiv1.PlacementAsk, reply *apiv1.SchedulerReply) (Placement, error) {
	if refusal := reply.GetRefusal(); refusal != nil {
		return Placement{}, &RefusedError{RetryAfter: microseconds(refusal.GetRetryAfterUs()), Reason: refusal.GetReason()}
	}
	grant := reply.GetGrant()
	c.mu.Lock()
	c.running[ask.GetNumber()] = &apiv1.RunningRequest{Ask: ask, UpstreamId: grant.GetUpstreamId()}
	c.mu.Unlock()
	return Placement{
		Number:     ask.GetNumber(),
		UpstreamID: grant.GetUpstreamId(),
		Address:    grant.GetAddress(),
		Expected:   microseconds(grant.GetExpectedUs()),
		Reason:     grant.GetReason(),
	}, nil
}

func (c *Client) withdraw(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, number)
	c.sendLocked(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Withdrawal{Withdrawal: &apiv1.PlacementWithdrawal{Number: number}}})
}

// Adopt notes a request that this router placed by itself and returns its
// number for Report.
func (c *Client) Adopt(ask *apiv1.PlacementAsk, upstreamID string) uint64 {
	ask.Number = c.numbers.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[ask.GetNumber()] = &apiv1.RunningRequest{Ask: ask, UpstreamId: upstreamID}
	return ask.GetNumber()
}

// ReportOutcome tells how a placed request went on.
func (c *Client) ReportOutcome(number uint64, outcome apiv1.PlacementOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome == apiv1.PlacementOutcome_PLACEMENT_OUTCOME_STARTED {
		if r := c.running[number]; r != nil {
			r.Started = true
		}
	} else {
		delete(c.running, number)
	}
	c.sendLocked(progress(number, outcome))
}

func progress(number uint64, outcome apiv1.PlacementOutcome) *apiv1.SchedulerCall {
	return &apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Progress{Progress: &apiv1.PlacementProgress{Number: number, Outcome: outcome}}}
}

package entry

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/cell"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
)

const (
	// detourTimeout bounds the question for an upstream with a limit of a request that can be
	// served elsewhere.
	detourTimeout = 50 * time.Millisecond
	// unlinkedWait is how long a request waits for a scheduler, or for this router's share of a
	// limit; unlinkedPoll is how often it looks at the share.
	unlinkedWait = 2 * time.Second
	unlinkedPoll = 20 * time.Millisecond
	// unlinkedRetryDelay is the least Retry-After of a request that had to do without both. Half
	// of it is added at random.
	unlinkedRetryDelay = time.Second
	// holdSpread is the fraction by which the time until an upstream is asked for again is
	// extended at random, so that routers don't ask together.
	holdSpread = 1.0
)

var errNoUpstream = errors.New("no upstream is known, or all of them asked for a pause")

// choosePlain returns the upstream for the next attempt. An upstream with a limit is used when
// the limit allows a request now; if there are no others, the request waits for it. The error is
// errNoUpstream, a *cell.RefusedError or that of the request's context.
func (cr *callerRequest) choosePlain() (*fleet.Upstream, error) {
	limits := cr.handler.notices.limits
	for {
		free, limited := cr.plainCandidates()
		if len(free)+len(limited) == 0 {
			return nil, errNoUpstream
		}
		if len(free) == 0 {
			return cr.awaitLimit(limited)
		}
		limited = slices.DeleteFunc(limited, func(up *fleet.Upstream) bool { return limits.IsHeld(time.Now(), up.ID) })
		up := cr.handler.balancer.pick(append(free, limited...))
		if !slices.Contains(limited, up) {
			return up, nil
		}
		hold, err := cr.tryLimit(up)
		if err == nil {
			return up, nil
		}
		if cr.ctx.Err() != nil {
			return nil, cr.ctx.Err()
		}
		limits.Hold(time.Now(), up.ID, hold+time.Duration(rand.Float64()*holdSpread*float64(hold)))
	}
}

// plainCandidates returns the upstreams that may get the request, those with a limit apart.
func (cr *callerRequest) plainCandidates() (free, limited []*fleet.Upstream) {
	var candidates, recovering []*fleet.Upstream
	for _, up := range cr.handler.directory.Load().ByService[cr.service.Name] {
		if up.TakesWork() && !slices.Contains(cr.tried, up.ID) && cr.handler.pauses.left(up.ID) == 0 && !cr.handler.balancer.isMisdirected(up) {
			if cr.handler.pauses.ramps.isFull(up.ID) {
				recovering = append(recovering, up)
				continue
			}
			candidates = append(candidates, up)
		}
	}
	if len(candidates) == 0 {
		candidates = recovering
	}
	for _, up := range candidates {
		if cr.handler.notices.limits.IsLimited(up.ID) {
			limited = append(limited, up)
		} else {
			free = append(free, up)
		}
	}
	return free, limited
}

// tryLimit asks whether an upstream with a limit takes the request now. If not, it returns after
// what time another request may ask.
func (cr *callerRequest) tryLimit(up *fleet.Upstream) (hold time.Duration, err error) {
	ctx, cancel := context.WithTimeout(cr.ctx, detourTimeout)
	defer cancel()
	_, err = cr.handler.scheduler.Place(ctx, cr.limitedRequest([]*fleet.Upstream{up}, false))
	if errors.Is(err, cell.ErrNoScheduler) && cr.handler.notices.limits.TakeAlone(time.Now(), up.ID) {
		cr.record.WithoutScheduler = true
		return 0, nil
	}
	var refused *cell.RefusedError
	if errors.As(err, &refused) {
		return refused.RetryAfter, err
	}
	return detourTimeout, err
}

// awaitLimit waits until one of some upstreams with a limit takes the request.
func (cr *callerRequest) awaitLimit(limited []*fleet.Upstream) (*fleet.Upstream, error) {
	began := time.Now()
	defer func() { cr.record.Waited += time.Since(began) }()
	limited = cr.handler.balancer.sound(limited)
	ctx, cancel := cr.waitContext()
	defer cancel()
	for {
		placement, err := cr.handler.scheduler.Place(ctx, cr.limitedRequest(limited, true))
		if err == nil {
			cr.record.WaitedFor = placement.Reason
			if i := slices.IndexFunc(limited, func(up *fleet.Upstream) bool { return up.ID == placement.UpstreamID }); i >= 0 {
				return limited[i], nil
			}
			return nil, errNoUpstream
		}
		if !errors.Is(err, cell.ErrNoScheduler) {
			return nil, err
		}
		cr.record.WithoutScheduler = true
		if up := cr.takeAlone(limited); up != nil {
			return up, nil
		}
		cr.record.WaitedFor = pace.WaitReason
		if time.Since(began) > unlinkedWait {
			return nil, &cell.RefusedError{RetryAfter: cr.handler.unlinkedRetryDelay(), Reason: pace.RefusalReason}
		}
		cr.awaitScheduler(ctx, unlinkedPoll)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// takeAlone returns one of some upstreams at which this router's share of the limit allows a
// request; nil if none does.
func (cr *callerRequest) takeAlone(limited []*fleet.Upstream) *fleet.Upstream {
	for _, up := range limited {
		if cr.handler.notices.limits.TakeAlone(time.Now(), up.ID) {
			return up
		}
	}
	return nil
}

// awaitScheduler waits until a scheduler is connected, at most for a time.
func (cr *callerRequest) awaitScheduler(ctx context.Context, atMost time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, atMost)
	defer cancel()
	_ = cr.handler.scheduler.WaitLinked(ctx) // the caller asks again in any case
}

func (cr *callerRequest) limitedRequest(limited []*fleet.Upstream, mayWait bool) *apiv1.PlacementAsk {
	sendBy := cr.callerWaitsUntil().Add(-cr.handler.balancer.averageLatency())
	ask := &apiv1.PlacementAsk{
		RequestId: cr.call.ID,
		Service:   cr.service.Name,
		Priority:  int32(min(math.MaxInt32, cr.rank.Priority)),
		AgeingUs:  cr.rank.Ageing.Microseconds(),
		GiveUpUs:  (time.Until(sendBy) - refusalLead).Microseconds(),
		MayWait:   mayWait,
	}
	for _, up := range limited {
		ask.Limited = append(ask.Limited, up.ID)
	}
	return cr.claimFor(ask)
}

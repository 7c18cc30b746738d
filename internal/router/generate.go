package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

const (
	retryMin = 20 * time.Millisecond // between two tries of one request
	retryMax = 500 * time.Millisecond

	// samePoll is how often a host that can't be reached is looked at for the
	// rest of its answer.
	samePoll = 100 * time.Millisecond
	// assignPause keeps work from a replica whose sidecar does not know it yet.
	assignPause = 60 * time.Millisecond
)

// generation is one request for tokens over all of its tries.
type generation struct {
	x          *exchange
	target     config.Target
	request    *apiv1.GenerateRequest
	ticket     *ticket
	answer     assembly
	sink       sink
	mayHaveRun bool // an earlier try may have run
	failures   int  // tries that an upstream began and did not finish
	onHost     int  // tries in a row on lastHost
	lastHost   string
	backOff    *backoff.ExponentialBackOff // nil before the first retry
}

func newGeneration(x *exchange, target config.Target, chat *chatRequest, maxTokens uint32) *generation {
	text := prompt(chat.Messages)
	g := &generation{
		x:      x,
		target: target,
		request: &apiv1.GenerateRequest{
			RequestId:         x.id,
			Model:             target.Model.GetName(),
			Adapter:           target.Adapter.GetName(),
			AdapterCheckpoint: target.Adapter.GetCheckpoint(),
			AdapterMemoryMib:  target.Adapter.GetMemoryMib(),
			Priority:          x.class.Priority,
			PriorityClass:     x.class.Name,
			MaxTokens:         maxTokens,
			Prompt:            text,
		},
		ticket: &ticket{x: x, adapter: target.Adapter.GetName(), admitted: make(chan admission, 1)},
	}
	g.ticket.wish.Key = affinity(target, text)
	if x.r.opts.NoAffinity {
		g.ticket.wish.Key = rand.Uint64()
		g.ticket.wish.LoadOnly = true
	}
	created := x.arrived.Unix()
	if chat.Stream {
		g.sink = &eventSink{x: x, head: appendHead(nil, "chat.completion.chunk", x.id, chat.Model, created)}
	} else {
		g.sink = &wholeSink{x: x, head: appendHead(nil, "chat.completion", x.id, chat.Model, created)}
	}
	return g
}

// generate runs a generation to its end.
func (r *Router) generate(ctx context.Context, g *generation) *Error {
	r.budget.request()
	m := r.model(g.target.Model.GetName())
	for {
		g.ticket.attempt++
		granted, err := r.acquireNext(ctx, m, g)
		if err != nil {
			return g.fail(err.unknownIf(g.mayHaveRun))
		}
		e, err := r.try(ctx, g, granted)
		if e.kind == endServed {
			return nil
		}
		if err == nil {
			err = g.pause(ctx, e, granted.host)
		}
		if err != nil {
			return g.fail(err)
		}
	}
}

// fail tells the caller of a half-delivered answer that it is not whole.
func (g *generation) fail(err *Error) *Error {
	if g.sink.delivered() && err.Kind != KindCallerGone {
		g.sink.fail(err)
	}
	return err
}

// acquireNext finds a replica for the next try.
func (r *Router) acquireNext(ctx context.Context, m *model, g *generation) (*grant, *Error) {
	if g.ticket.wish.Prefer == "" {
		return r.acquire(ctx, m, g.ticket)
	}
	if g.ticket.wish.Only {
		return r.acquireSame(ctx, m, g.ticket)
	}
	if granted := r.pickNow(m, g.ticket); granted != nil {
		return granted, nil
	}
	g.restart()
	g.ticket.wish.Prefer = ""
	return r.acquire(ctx, m, g.ticket)
}

// acquireSame takes the host that has the stream of a half-delivered answer. It
// waits while the host can't be reached, as long as the host keeps its slot.
func (r *Router) acquireSame(ctx context.Context, m *model, t *ticket) (*grant, *Error) {
	host := t.wish.Prefer
	for {
		if granted := r.pickNow(m, t); granted != nil {
			return granted, nil
		}
		if !holdsSlot(r.opts.View.Load(), m.name, host) {
			return nil, unknown(KindCut, statusBadGateway, remedyAgain, "host %s, which has the stream, has left", host)
		}
		timer := time.NewTimer(samePoll)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, t.x.expired(true)
		}
	}
}

// holdsSlot reports whether a live host is assigned a slot of a model.
func holdsSlot(snap *view.Snapshot, model, host string) bool {
	if !takesWork(snap, host) {
		return false
	}
	return slices.ContainsFunc(snap.Slots[model], func(s view.Slot) bool {
		return s.Row.GetHost() == host && s.Row.GetState() == apiv1.SlotState_SLOT_STATE_ASSIGNED
	})
}

// pickNow takes a replica without a place in the queue, for a try on the same
// host, whose place the request had before.
func (r *Router) pickNow(m *model, t *ticket) *grant {
	m.mu.Lock()
	granted := r.pick(m, r.opts.View.Load(), t, r.opts.Now())
	m.mu.Unlock()
	if granted != nil {
		r.logRoute(t, granted)
	}
	return granted
}

func (g *generation) restart() {
	if g.answer.next > 0 {
		g.answer.next = 0
		g.sink.restart()
	}
}

// try sends a generation to a replica and prepares the next try if it fails.
// The Error is set when there is none. The replica's place is given back after
// a failed replica was paused, so that no other request takes it too soon.
func (r *Router) try(ctx context.Context, g *generation, granted *grant) (ending, *Error) {
	defer r.release(granted)
	if granted.host != g.lastHost {
		g.lastHost = granted.host
		g.onHost = 0
	}
	g.onHost++
	g.x.record.Host = granted.host
	g.x.record.Attempts = g.ticket.attempt
	g.x.record.ColdStart = g.x.record.GetColdStart() || granted.cold
	e, err := r.attempt(ctx, g, granted)
	g.mayHaveRun = g.mayHaveRun || e.mayHaveRun()
	switch {
	case e.kind == endServed:
		return e, nil
	case err != nil:
		return e, err.unknownIf(g.mayHaveRun)
	case ctx.Err() != nil:
		return e, g.x.expired(g.mayHaveRun)
	default:
		return e, r.prepareRetry(g, granted, e)
	}
}

// prepareRetry acts on the end of a try. It returns an Error when there is no
// other one.
func (r *Router) prepareRetry(g *generation, granted *grant, e ending) *Error {
	if e.failed() {
		g.failures++
	}
	p := planRetry(e, progress{delivered: g.sink.delivered(), triesOnHost: g.onHost, failures: g.failures})
	r.suspend(granted, p)
	if e.kind == endCut {
		r.counters.cuts.Add(1)
	}
	if p.target == targetNone {
		return p.final(e, g.mayHaveRun)
	}
	if p.budgeted && !r.budget.retry() {
		r.counters.retriesDenied.Add(1)
		return p.final(e, g.mayHaveRun)
	}
	r.counters.retries.Add(1)
	r.opts.Log.Info("retry", "request_id", g.x.id, "model", g.target.Model.GetName(), "host", granted.host, "attempt", g.ticket.attempt, "cause", e.String())
	if p.restart {
		g.restart()
	}
	if g.answer.next > 0 {
		r.counters.resumed.Add(1)
	}
	g.ticket.setTarget(p.target, granted.host)
	return nil
}

// suspend keeps work from the host or the replica of a failed try.
func (r *Router) suspend(granted *grant, p plan) {
	now := r.opts.Now()
	if p.unreachable {
		r.hosts.unreachable(granted.host, now)
	}
	if p.draining {
		r.hosts.draining(granted.host, now)
	}
	if p.refresh {
		r.opts.Refresh(granted.host)
	}
	if p.pause {
		granted.model.mu.Lock()
		granted.replica.pause(now.Add(assignPause))
		granted.model.mu.Unlock()
	}
}

// setTarget narrows the choice of the next try.
func (t *ticket) setTarget(target retryTarget, host string) {
	t.wish.Prefer = ""
	t.wish.Only = false
	t.wish.Avoid = ""
	switch target {
	case targetSame:
		t.wish.Prefer = host
	case targetOnlySame:
		t.wish.Prefer = host
		t.wish.Only = true
	case targetOther:
		t.wish.Avoid = host
	}
}

// pause waits before a retry, longer each time.
func (g *generation) pause(ctx context.Context, e ending, host string) *Error {
	if g.backOff == nil {
		g.backOff = backoff.NewExponentialBackOff()
		g.backOff.InitialInterval = retryMin
		g.backOff.MaxInterval = retryMax
	}
	start := g.x.r.opts.Now()
	timer := time.NewTimer(g.backOff.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return g.x.expired(g.mayHaveRun)
	}
	g.x.phase(apiv1.PhaseKind_PHASE_KIND_RETRY, start, e.String(), host)
	return nil
}

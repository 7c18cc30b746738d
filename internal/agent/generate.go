package agent

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/planner"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/slots"
)

// cancelTimeout bounds the order that ends a stream at the engine.
const cancelTimeout = 2 * time.Second

// maxReloads is how often a request waits for a model that the engine has lost.
const maxReloads = 1

// generation is one GenerateRequest from its arrival to its last frame.
type generation struct {
	agent   *Agent
	stream  frameStream
	request *apiv1.GenerateRequest
	arrived time.Time
	// next is the offset of the next token to forward.
	next uint32
	// sent is true once a byte may have reached the engine.
	sent bool
	// modelGone is true when the engine does not hold the model any more.
	modelGone bool
}

// generate serves one request. The stream ends in exactly one StreamEnd or
// Refusal.
func (a *Agent) generate(ctx context.Context, s frameStream, in *apiv1.GenerateRequest) {
	if a.opts.Engine == nil {
		sendRefusal(s, &apiv1.Refusal{
			Kind:    apiv1.RefusalKind_REFUSAL_KIND_NOT_ASSIGNED,
			Message: "the host runs no model engine: read the host list again",
		})
		return
	}
	if !a.begin() {
		sendRefusal(s, drainRefusal())
		return
	}
	defer a.end()
	deadline := time.Duration(in.GetDeadlineMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	wait := receive(s, cancel, func(*apiv1.RouterFrame) {})
	defer wait()
	g := &generation{agent: a, stream: s, request: in, arrived: a.opts.Clock.Now(), next: in.GetOffset()}
	if refusal := a.runGeneration(ctx, g, deadline); refusal != nil {
		a.logRefusal(in, refusal)
		sendRefusal(s, refusal)
	}
}

// runGeneration returns nil after the StreamEnd was sent, and the refusal to
// send otherwise. A model that the engine turns out to have lost, as after a
// restart, is loaded again within the deadline.
func (a *Agent) runGeneration(ctx context.Context, g *generation, deadline time.Duration) *apiv1.Refusal {
	for reloads := 0; ; reloads++ {
		g.modelGone = false
		refusal := a.admitAndRun(ctx, g, deadline)
		if refusal == nil || !g.modelGone || reloads == maxReloads || ctx.Err() != nil {
			return refusal
		}
		a.counters.reloads.Add(1)
		a.inventorySince(ctx, a.opts.Clock.Now())
	}
}

func (a *Agent) admitAndRun(ctx context.Context, g *generation, deadline time.Duration) *apiv1.Refusal {
	admitted := a.opts.Clock.Now()
	id, verdict := a.admit(ctx, g.request, deadline-admitted.Sub(g.arrived))
	if verdict.refusal != nil {
		refusal := proto.CloneOf(verdict.refusal) // shared with other requests
		refusal.OutcomeUnknown = g.sent
		return refusal
	}
	defer a.finish(id, a.opts.Clock.Now())
	return g.run(ctx, verdict.grant, admitted)
}

func (a *Agent) logRefusal(in *apiv1.GenerateRequest, why *apiv1.Refusal) {
	a.counters.refusals.Add(1)
	a.opts.Log.Info("refused", "host", a.opts.Host, "request", in.GetRequestId(), "model", in.GetModel(),
		"kind", why.GetKind(), "unknown", why.GetOutcomeUnknown(), "retry_after_ms", why.GetRetryAfterMs(),
		"reason", why.GetMessage())
}

// admit waits for the planner's decision on a request.
func (a *Agent) admit(ctx context.Context, in *apiv1.GenerateRequest, deadline time.Duration) (uint64, decision) {
	answer := make(chan decision, 1)
	var id uint64
	a.do(func(now time.Time) []planner.Action {
		id = a.planner.NewID()
		a.requests[id] = answer
		return a.planner.Admit(now, planRequest(id, in, now.Add(deadline)))
	})
	select {
	case d := <-answer:
		return id, d
	case <-ctx.Done():
	}
	a.do(func(now time.Time) []planner.Action { return a.planner.Expire(now, id) })
	// Expire refuses the request, unless it was granted a moment before. Either
	// way the answer is there.
	return id, <-answer
}

func planRequest(id uint64, in *apiv1.GenerateRequest, deadline time.Time) planner.Request {
	return planner.Request{
		ID: id,
		Slot: slots.Named{
			Key:            slots.Key{Model: in.GetModel(), Slot: in.GetSlot()},
			Generation:     in.GetGeneration(),
			ConfigRevision: in.GetConfigRevision(),
			TableRevision:  in.GetTableRevision(),
		},
		Adapter: planner.AdapterSpec{
			Name:       in.GetAdapter(),
			Checkpoint: in.GetAdapterCheckpoint(),
			MiB:        in.GetAdapterMemoryMib(),
		},
		Priority: in.GetPriority(),
		Deadline: deadline,
	}
}

func (a *Agent) finish(id uint64, started time.Time) {
	a.do(func(now time.Time) []planner.Action {
		a.planner.ObserveRun(now.Sub(started))
		return a.planner.Finish(now, id)
	})
}

func drainRefusal() *apiv1.Refusal {
	return &apiv1.Refusal{
		Kind:         apiv1.RefusalKind_REFUSAL_KIND_DRAINING,
		Message:      "the host takes no new work: use another",
		RetryAfterMs: drainRetryMs,
	}
}

// drainRetryMs is when a caller that finds no other host may retry.
const drainRetryMs = 1000

func sendRefusal(s frameStream, why *apiv1.Refusal) {
	_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Refusal{Refusal: why}})
}

func (g *generation) sendPhase(phase *apiv1.Phase) error {
	return g.stream.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Phase{Phase: phase}})
}

// enginePhase is the time from the first order to the engine to its first token.
func (g *generation) enginePhase(from time.Time) *apiv1.Phase {
	now := g.agent.opts.Clock.Now()
	return &apiv1.Phase{
		Kind:     apiv1.PhaseKind_PHASE_KIND_ENGINE,
		StartMs:  uint32(from.Sub(g.arrived).Milliseconds()),
		LengthMs: uint32(now.Sub(from).Milliseconds()),
		Cause:    "engine queue and prompt",
		Host:     g.agent.opts.Host,
	}
}

package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

const (
	chunkBytes  = 64 << 10
	maxCallHops = 8 // hosts that are tried for one call
)

var (
	errNoResponse = errors.New("a body came before its response")
	errBadStatus  = errors.New("the response has no valid status")
)

// call sends a call until it is answered or must not be sent again.
func (r *Router) call(ctx context.Context, c *serviceCall) (*answer, *Error) {
	mayHaveRun := false
	var tried []string
	for {
		host, ok := r.pickServiceHost(c, tried)
		if !ok {
			return nil, noServiceHost(c).unknownIf(mayHaveRun)
		}
		tried = append(tried, host.ID)
		c.x.record.Host = host.ID
		c.x.record.Attempts++
		start := r.opts.Now()
		a, e, err := r.callOnce(ctx, c, host)
		c.x.phase(apiv1.PhaseKind_PHASE_KIND_CALL, start, e.String(), host.ID)
		switch {
		case err != nil:
			return nil, err
		case e.kind == endServed:
			return a, nil
		}
		mayHaveRun = mayHaveRun || e.mayHaveRun()
		if err := r.afterCall(ctx, c, e, host.ID, mayHaveRun, len(tried)); err != nil {
			return nil, err
		}
	}
}

func noServiceHost(c *serviceCall) *Error {
	return notRun(KindNoHost, http.StatusServiceUnavailable, remedyRetry,
		"no live host runs service %s", c.service.GetName()).after(time.Second)
}

// callPlan is what follows from the end of one sending of a call.
type callPlan struct {
	// again is true when the call may be sent to another host.
	again bool
	// budgeted is true when that must be paid from the retry budget.
	budgeted bool
}

// planCall decides whether a call may be sent again. A call that is not
// repeatable is sent again only if the last sending certainly did not run.
func planCall(e ending, repeatable bool) callPlan {
	switch {
	case e.kind == endNotOpened:
		return callPlan{again: true}
	case e.kind == endRefused && !e.refusal.GetOutcomeUnknown():
		kind := e.refusal.GetKind()
		final := kind == apiv1.RefusalKind_REFUSAL_KIND_DEADLINE || kind == apiv1.RefusalKind_REFUSAL_KIND_NO_MEMORY
		return callPlan{again: !final, budgeted: kind == apiv1.RefusalKind_REFUSAL_KIND_UPSTREAM}
	case e.kind == endCut || e.kind == endRefused:
		return callPlan{again: repeatable, budgeted: true}
	default:
		return callPlan{}
	}
}

// afterCall acts on a failed sending. It returns an Error when the call is not
// sent again.
func (r *Router) afterCall(ctx context.Context, c *serviceCall, e ending, host string, mayHaveRun bool, tries int) *Error {
	now := r.opts.Now()
	switch {
	case e.kind == endNotOpened:
		r.hosts.unreachable(host, now)
	case e.kind == endRefused && e.refusal.GetKind() == apiv1.RefusalKind_REFUSAL_KIND_DRAINING:
		r.hosts.draining(host, now)
	case e.kind == endCut:
		r.counters.cuts.Add(1)
	}
	if ctx.Err() != nil {
		return c.x.expired(mayHaveRun)
	}
	p := planCall(e, c.repeatable)
	if !p.again || tries >= maxCallHops {
		return callFailed(e, mayHaveRun)
	}
	if p.budgeted && !r.budget.retry() {
		r.counters.retriesDenied.Add(1)
		return callFailed(e, mayHaveRun)
	}
	r.counters.retries.Add(1)
	r.opts.Log.Info("retry", "request_id", c.x.id, "service", c.service.GetName(), "host", host, "attempt", tries, "cause", e.String())
	return nil
}

func callFailed(e ending, mayHaveRun bool) *Error {
	after := time.Duration(e.refusal.GetRetryAfterMs()) * time.Millisecond
	if mayHaveRun {
		return unknown(KindUpstream, http.StatusBadGateway, remedyCheck, "%s", e)
	}
	kind := KindUpstream
	if e.refusal.GetKind() == apiv1.RefusalKind_REFUSAL_KIND_DEADLINE {
		kind = KindDeadline
	}
	return notRun(kind, http.StatusServiceUnavailable, remedyRetry, "%s", e).after(max(after, time.Second))
}

// callOnce sends a call to one host.
func (r *Router) callOnce(ctx context.Context, c *serviceCall, host serviceHost) (*answer, ending, *Error) {
	host.inFlight.Add(1)
	defer host.inFlight.Add(-1)
	stream, err := r.open(ctx, host.ID, host.Address)
	if err != nil {
		return nil, ending{kind: endNotOpened, cause: err}, nil
	}
	done := r.guard(ctx, stream)
	defer done()
	asked := r.opts.Now()
	if err := stream.Send(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Call{Call: c.request()}}); err != nil {
		return nil, ending{kind: endCut, cause: err}, nil
	}
	r.cleanup.Go(func() { sendBody(stream, c.body) })
	in := &callStream{r: r, c: c, host: host.ID, stream: stream, asked: asked}
	in.activity = r.stalls.begin(host.ID, host.Address, asked)
	defer r.stalls.end(in.activity)
	return in.receive(ctx)
}

func (c *serviceCall) request() *apiv1.CallRequest {
	return &apiv1.CallRequest{
		RequestId:  c.x.id,
		Service:    c.service.GetName(),
		Method:     c.x.req.Method,
		Path:       c.path,
		Headers:    c.headers,
		DeadlineMs: c.x.upstreamDeadlineMs(),
	}
}

// sendBody sends a body in chunks. It runs beside the receiver, so that a
// refusal is seen while the body waits for room. A failure shows at the
// receiver as a cut.
func sendBody(stream *transport.Stream, body []byte) {
	for {
		n := min(len(body), chunkBytes)
		chunk := &apiv1.BodyChunk{Data: body[:n], Last: n == len(body)}
		err := stream.Send(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Chunk{Chunk: chunk}})
		if err != nil || chunk.GetLast() {
			return
		}
		body = body[n:]
	}
}

// callStream receives the frames that answer one sending.
type callStream struct {
	r      *Router
	c      *serviceCall
	host   string
	stream *transport.Stream
	asked  time.Time
	answer *answer // nil before the response

	activity *activity
}

func (s *callStream) receive(ctx context.Context) (*answer, ending, *Error) {
	for {
		frame := &apiv1.SidecarFrame{}
		if err := s.stream.Recv(frame); err != nil {
			return s.lost(ctx, err)
		}
		s.activity.touch(s.r.opts.Now())
		done, e, err := s.handle(frame)
		switch {
		case err != nil:
			return nil, ending{kind: endCaller}, s.abort(err)
		case e.kind != 0 && s.passing():
			return nil, e, s.abort(callFailed(e, true))
		case e.kind != 0:
			return nil, e, nil
		case done:
			return s.answer, ending{kind: endServed}, nil
		}
	}
}

func (s *callStream) lost(ctx context.Context, err error) (*answer, ending, *Error) {
	e := ending{kind: endCut, cause: err}
	if ctx.Err() != nil {
		e.kind = endExpired
	}
	if s.passing() {
		return nil, e, s.abort(callFailed(e, true))
	}
	return nil, e, nil
}

func (s *callStream) passing() bool { return s.answer != nil && s.answer.passing }

// abort makes the caller see that the answer is not whole.
func (s *callStream) abort(err *Error) *Error {
	s.c.x.truncated = s.passing()
	return err
}

// handle takes one frame; done is true after the last one.
func (s *callStream) handle(frame *apiv1.SidecarFrame) (done bool, e ending, err *Error) {
	switch body := frame.GetBody().(type) {
	case *apiv1.SidecarFrame_Phase:
		s.c.x.upstreamPhase(body.Phase, s.asked, s.host)
	case *apiv1.SidecarFrame_Refusal:
		return false, s.refused(body.Refusal), nil
	case *apiv1.SidecarFrame_Call:
		return false, s.response(body.Call), nil
	case *apiv1.SidecarFrame_Chunk:
		if s.answer == nil {
			return false, ending{kind: endCut, cause: errNoResponse}, nil
		}
		return body.Chunk.GetLast(), ending{}, s.answer.add(s.c.x, body.Chunk.GetData())
	}
	return false, ending{}, nil
}

// refused takes a refusal. One that comes after the response can't be true when
// it says that the call did not run.
func (s *callStream) refused(refusal *apiv1.Refusal) ending {
	if s.answer != nil && !refusal.GetOutcomeUnknown() {
		return ending{kind: endCut, cause: errors.New(refusal.GetMessage())}
	}
	return ending{kind: endRefused, refusal: refusal}
}

// response takes the start of an answer, unless it is another call's.
func (s *callStream) response(resp *apiv1.CallResponse) ending {
	switch {
	case resp.GetRequestId() != s.c.x.id:
		s.r.counters.crossed.Add(1)
		s.r.opts.Log.Warn("discarded the answer to another call", "request_id", s.c.x.id, "found", resp.GetRequestId(), "host", s.host)
		s.answer = nil
	case resp.GetStatus() < http.StatusOK || resp.GetStatus() > 999:
		return ending{kind: endCut, cause: errBadStatus}
	default:
		s.answer = &answer{status: resp.GetStatus(), headers: resp.GetHeaders()}
	}
	return ending{}
}

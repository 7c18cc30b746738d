package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

const (
	statusBadGateway = http.StatusBadGateway

	// cancelTimeout bounds the sending of a Cancel frame.
	cancelTimeout = time.Second
)

var (
	errShort = errors.New("the end mark names another number of tokens than arrived")
	errGap   = errors.New("tokens are missing")
)

// aLongTimeAgo is a deadline that unblocks a receiver at once.
var aLongTimeAgo = time.Unix(1, 0)

// attempt sends a generation to a replica and passes its tokens on until the
// answer is whole or the stream ends. The Error is set when the caller can't be
// answered any more.
func (r *Router) attempt(ctx context.Context, g *generation, granted *grant) (ending, *Error) {
	stream, err := r.open(ctx, granted.host, granted.address)
	if err != nil {
		return ending{kind: endNotOpened, cause: err}, nil
	}
	closeStream := r.guard(ctx, stream)
	defer closeStream()
	if err := stream.Send(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Generate{Generate: g.next(granted)}}); err != nil {
		return ending{kind: endCut, cause: err}, nil
	}
	t := &tryStream{r: r, g: g, granted: granted, stream: stream, asked: r.opts.Now()}
	t.activity = r.stalls.begin(granted.host, granted.address, t.asked)
	defer r.stalls.end(t.activity)
	return t.receive(ctx)
}

// open opens a stream to a host within ctx.
func (r *Router) open(ctx context.Context, host, address string) (*transport.Stream, error) {
	stream, err := r.opts.Pool.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	r.hosts.reached(host)
	return stream, nil
}

// guard unblocks the receiver of a stream when ctx ends and then cancels the
// work of the sidecar. The returned function must be called when nothing is
// received any more; it closes the stream.
func (r *Router) guard(ctx context.Context, stream *transport.Stream) func() {
	left := make(chan struct{})
	r.cleanup.Add(1)
	stop := context.AfterFunc(ctx, func() {
		defer r.cleanup.Done()
		_ = stream.SetDeadline(aLongTimeAgo)
		<-left
		_ = stream.SetDeadline(time.Now().Add(cancelTimeout))
		_ = stream.Send(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Cancel{Cancel: &apiv1.Cancel{}}})
		_ = stream.Close()
	})
	return func() {
		close(left)
		if stop() {
			_ = stream.Close()
			r.cleanup.Done()
		}
	}
}

// next makes the request of the next try.
func (g *generation) next(granted *grant) *apiv1.GenerateRequest {
	snap := g.x.r.opts.View.Load()
	req := proto.CloneOf(g.request)
	req.Attempt = g.ticket.attempt
	req.Slot = granted.slot.Row.GetSlot()
	req.Generation = granted.slot.Row.GetGeneration()
	req.ConfigRevision = snap.Config.Revision
	// The sidecar needs slots as new as the row that this choice rests on.
	req.TableRevision = uint64(granted.slot.Version)
	req.DeadlineMs = g.x.upstreamDeadlineMs()
	req.Offset = g.answer.next
	return req
}

// tryStream receives the frames of one try.
type tryStream struct {
	r        *Router
	g        *generation
	granted  *grant
	stream   *transport.Stream
	asked    time.Time
	activity *activity
	first    time.Time // of the first token of this try
}

func (t *tryStream) receive(ctx context.Context) (ending, *Error) {
	frame := &apiv1.SidecarFrame{}
	for {
		if err := t.stream.Recv(frame); err != nil {
			if ctx.Err() != nil {
				return ending{kind: endExpired, cause: ctx.Err()}, nil
			}
			return ending{kind: endCut, cause: err}, nil
		}
		t.activity.touch(t.r.opts.Now())
		e, err := t.handle(frame)
		if err != nil {
			return ending{kind: endCaller}, err
		}
		if e.kind != 0 {
			return e, nil
		}
	}
}

// handle takes one frame. The ending is empty while the stream goes on.
func (t *tryStream) handle(frame *apiv1.SidecarFrame) (ending, *Error) {
	switch body := frame.GetBody().(type) {
	case *apiv1.SidecarFrame_Phase:
		t.accepted()
		t.g.x.upstreamPhase(body.Phase, t.asked, t.granted.host)
	case *apiv1.SidecarFrame_Tokens:
		return t.tokens(body.Tokens)
	case *apiv1.SidecarFrame_End:
		return t.end(body.End)
	case *apiv1.SidecarFrame_Refusal:
		return ending{kind: endRefused, refusal: body.Refusal}, nil
	}
	return ending{}, nil
}

func (t *tryStream) tokens(frame *apiv1.Tokens) (ending, *Error) {
	if !t.own(frame.GetRequestId()) {
		return ending{}, nil
	}
	answer := &t.g.answer
	before := answer.duplicates
	fresh, ok := answer.take(frame.GetOffset(), frame.GetText())
	t.r.counters.duplicateTokens.Add(answer.duplicates - before)
	if !ok {
		return ending{kind: endCut, cause: errGap}, nil
	}
	if len(fresh) == 0 {
		return ending{}, nil
	}
	t.noteFirst()
	return ending{}, t.g.sink.tokens(fresh)
}

// noteFirst notes the first token of this try.
func (t *tryStream) noteFirst() {
	if !t.first.IsZero() {
		return
	}
	t.first = t.r.opts.Now()
	t.g.x.firstByte()
	t.accepted()
}

// accepted notes that the replica takes work.
func (t *tryStream) accepted() {
	t.granted.model.mu.Lock()
	defer t.granted.model.mu.Unlock()
	t.granted.replica.answered()
}

func (t *tryStream) end(frame *apiv1.StreamEnd) (ending, *Error) {
	if !t.own(frame.GetRequestId()) {
		return ending{}, nil
	}
	if !t.g.answer.whole(frame.GetTotalTokens()) {
		return ending{kind: endCut, cause: errShort}, nil
	}
	t.noteFirst()
	if err := t.g.sink.end(frame.GetFinishReason(), frame.GetTotalTokens()); err != nil {
		return ending{}, err
	}
	now := t.r.opts.Now()
	t.g.x.phase(apiv1.PhaseKind_PHASE_KIND_STREAM, t.first, "", t.granted.host)
	t.r.served(t.granted, t.first, now)
	return ending{kind: endServed}, nil
}

// own discards frames of other requests.
func (t *tryStream) own(requestID string) bool {
	if requestID == t.g.x.id {
		return true
	}
	t.r.counters.crossed.Add(1)
	t.r.opts.Log.Warn("discarded the frame of another request", "request_id", t.g.x.id,
		"found", requestID, "host", t.granted.host)
	return false
}

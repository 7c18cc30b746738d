package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/planner"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

const (
	// maxResumes is how often a stream that the engine cut is taken up again.
	maxResumes  = 2
	resumePause = 50 * time.Millisecond
	// maxBatch bounds the tokens of one frame.
	maxBatch = 64
)

// errRouterGone means that the router's stream does not take frames any more.
var errRouterGone = errors.New("the router has closed the stream")

// errCut means that the engine's stream ended before its last event.
var errCut = errors.New("the engine cut the stream")

// run forwards the engine's tokens to a request that waited from admitted. It
// returns nil after it has sent the StreamEnd, and the refusal to send otherwise.
func (g *generation) run(ctx context.Context, grant *planner.Grant, admitted time.Time) *apiv1.Refusal {
	for _, phase := range grant.Phases {
		phase.StartMs += uint32(admitted.Sub(g.arrived).Milliseconds())
		if err := g.sendPhase(phase); err != nil {
			return g.refusal(ctx, errRouterGone)
		}
	}
	started := g.agent.opts.Clock.Now()
	var err error
	for try := 0; try <= maxResumes; try++ {
		if try > 0 && !retry.Sleep(ctx, resumePause) {
			break
		}
		if err = g.attempt(ctx, started); err == nil {
			g.agent.counters.served.Add(1)
			return nil
		}
		if ctx.Err() != nil || errors.Is(err, errRouterGone) || !resumable(err) {
			break
		}
		g.agent.counters.resumes.Add(1)
	}
	g.cancelAtEngine()
	return g.refusal(ctx, err)
}

// resumable reports whether another try can mend the failure.
func resumable(err error) bool {
	if errors.Is(err, errCut) {
		return true
	}
	kind := external.KindOf(err)
	return kind == external.KindUnavailable || kind == external.KindOverloaded
}

// attempt runs one stream of the engine from the next offset to its end.
func (g *generation) attempt(ctx context.Context, started time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tokens, err := g.agent.opts.Engine.Generate(ctx, external.Generation{
		RequestID: g.request.GetRequestId(),
		Model:     g.request.GetModel(),
		Adapter:   g.request.GetAdapter(),
		Prompt:    g.request.GetPrompt(),
		MaxTokens: int(g.request.GetMaxTokens()),
		Offset:    int(g.next),
		Priority:  int(g.request.GetPriority()),
	})
	if err != nil {
		g.sent = g.sent || external.OutcomeUnknown(err)
		g.modelGone = external.KindOf(err) == external.KindNotFound
		return err
	}
	g.sent = true
	events, wait := pump(ctx, tokens)
	defer wait()
	defer cancel()
	return g.forward(ctx, events, started)
}

// item is one result of TokenStream.Next.
type item struct {
	event external.TokenEvent
	err   error
}

// pump reads a token stream ahead of its consumer, so that tokens that are
// there at once go into one frame. The channel is closed after an error.
func pump(ctx context.Context, tokens external.TokenStream) (events <-chan item, wait func()) {
	ch := make(chan item, maxBatch)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer close(ch)
		for {
			event, err := tokens.Next()
			select {
			case ch <- item{event: event, err: err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return ch, func() {
		_ = tokens.Close()
		<-done
	}
}

// forward sends the events of one stream of the engine to the router.
func (g *generation) forward(ctx context.Context, events <-chan item, started time.Time) error {
	b := &batch{g: g, started: started}
	for {
		it, err := nextItem(ctx, events, b)
		if err != nil {
			return err
		}
		done, err := b.take(it)
		if flushErr := b.flushIf(done || err != nil); flushErr != nil {
			return flushErr
		}
		if err != nil {
			return err
		}
		if done {
			return g.sendEnd(it.event)
		}
	}
}

// nextItem returns the next item. It sends the batch before it has to wait.
func nextItem(ctx context.Context, events <-chan item, b *batch) (item, error) {
	select {
	case it, ok := <-events:
		return openItem(it, ok)
	default:
	}
	if err := b.flushIf(true); err != nil {
		return item{}, err
	}
	select {
	case it, ok := <-events:
		return openItem(it, ok)
	case <-ctx.Done():
		return item{}, ctx.Err()
	}
}

// openItem reports a channel that pump closed without an error item: its
// context has ended.
func openItem(it item, ok bool) (item, error) {
	if !ok {
		return item{}, errCut
	}
	return it, nil
}

func (g *generation) sendEnd(event external.TokenEvent) error {
	end := &apiv1.StreamEnd{
		RequestId:    g.request.GetRequestId(),
		TotalTokens:  g.next,
		FinishReason: event.FinishReason,
	}
	if err := g.stream.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_End{End: end}}); err != nil {
		return errRouterGone
	}
	return nil
}

// batch gathers consecutive tokens into one frame.
type batch struct {
	g       *generation
	started time.Time
	offset  uint32
	text    []string
}

// take checks one item and adds its token. It reports true for the event that
// ends a whole answer.
func (b *batch) take(it item) (bool, error) {
	g := b.g
	event := it.event
	switch {
	case errors.Is(it.err, io.EOF):
		return false, fmt.Errorf("%w: no end mark", errCut)
	case it.err != nil:
		return false, fmt.Errorf("%w: %w", errCut, it.err)
	case event.RequestID != g.request.GetRequestId():
		g.agent.counters.strayEvents.Add(1)
		return false, nil
	case event.Error != "":
		return false, fmt.Errorf("%w: %s", errCut, event.Error)
	case event.Offset == int(g.next) && event.Done:
		return true, nil
	case event.Offset == int(g.next):
		b.add(event.Text)
		return false, b.flushIf(len(b.text) >= maxBatch)
	case event.Offset < int(g.next) && !event.Done:
		g.agent.counters.duplicateTokens.Add(1)
		return false, nil
	default:
		g.agent.counters.tokenGaps.Add(1)
		return false, fmt.Errorf("%w: offset %d instead of %d", errCut, event.Offset, g.next)
	}
}

func (b *batch) add(text string) {
	if len(b.text) == 0 {
		b.offset = b.g.next
	}
	b.text = append(b.text, text)
	b.g.next++
}

func (b *batch) flushIf(due bool) error {
	if !due || len(b.text) == 0 {
		return nil
	}
	g := b.g
	if b.offset == g.request.GetOffset() {
		if err := g.sendPhase(g.enginePhase(b.started)); err != nil {
			return errRouterGone
		}
	}
	tokens := &apiv1.Tokens{RequestId: g.request.GetRequestId(), Offset: b.offset, Text: b.text}
	b.text = nil
	if err := g.stream.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Tokens{Tokens: tokens}}); err != nil {
		return errRouterGone
	}
	return nil
}

// cancelAtEngine ends the stream at the engine when it may run there.
func (g *generation) cancelAtEngine() {
	if !g.sent {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := g.agent.opts.Engine.Cancel(ctx, g.request.GetRequestId()); err != nil {
		g.agent.opts.Log.Warn("cancel failed", "host", g.agent.opts.Host, "request", g.request.GetRequestId(), "err", err)
	}
}

// refusal tells the router why the answer is not whole.
func (g *generation) refusal(ctx context.Context, err error) *apiv1.Refusal {
	r := &apiv1.Refusal{
		Kind:           apiv1.RefusalKind_REFUSAL_KIND_UPSTREAM,
		Message:        fmt.Sprintf("generation failed at token %d: %v", g.next, err),
		OutcomeUnknown: g.sent,
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Kind = apiv1.RefusalKind_REFUSAL_KIND_DEADLINE
		r.Message = fmt.Sprintf("deadline passed at token %d: ask for fewer tokens or a later deadline", g.next)
	case ctx.Err() != nil:
		r.Message = "the router cancelled the request"
	case g.request.GetOffset() > 0 && external.KindOf(err) == external.KindNotFound:
		r.Kind = apiv1.RefusalKind_REFUSAL_KIND_NO_STREAM
	}
	return r
}

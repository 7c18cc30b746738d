package agent

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

func (e *fakeEngine) Generate(ctx context.Context, gen external.Generation) (external.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.models[gen.Model]
	if m == nil || m.State != external.ModelReady {
		return nil, engineError(external.KindNotFound, false)
	}
	events := wholeAnswer(gen.RequestID, gen.Offset, gen.MaxTokens)
	if len(e.script) > 0 {
		events = e.script[0]
		e.script = e.script[1:]
	}
	m.running++
	return &fakeTokens{ctx: ctx, engine: e, model: m, events: events}, nil
}

// tokenText is token i of the answer to a request; no other answer has it.
func tokenText(id string, i int) string { return fmt.Sprint(id, "/", i) }

func wholeAnswer(id string, from, tokens int) []external.TokenEvent {
	var events []external.TokenEvent
	for i := from; i < tokens; i++ {
		events = append(events, external.TokenEvent{RequestID: id, Offset: i, Text: tokenText(id, i)})
	}
	return append(events, external.TokenEvent{RequestID: id, Offset: tokens, Done: true, FinishReason: "stop"})
}

type fakeTokens struct {
	ctx    context.Context
	engine *fakeEngine
	model  *fakeModel
	events []external.TokenEvent
	once   sync.Once
}

func (t *fakeTokens) Next() (external.TokenEvent, error) {
	timer := time.NewTimer(t.engine.tokenTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.ctx.Done():
		return external.TokenEvent{}, t.ctx.Err()
	}
	t.engine.mu.Lock()
	cut := t.engine.models[t.model.Model] != t.model // the engine has restarted
	t.engine.mu.Unlock()
	if len(t.events) == 0 || cut {
		return external.TokenEvent{}, io.ErrUnexpectedEOF
	}
	event := t.events[0]
	t.events = t.events[1:]
	return event, nil
}

func (t *fakeTokens) Close() error {
	t.once.Do(func() {
		t.engine.mu.Lock()
		defer t.engine.mu.Unlock()
		t.model.running--
	})
	return nil
}

package agent

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/platform"
)

func (e *fakeEngine) Generate(ctx context.Context, gen platform.Generation) (platform.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.models[gen.Model]
	if m == nil || m.State != platform.ModelReady {
		return nil, engineError(platform.KindNotFound, false)
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

func wholeAnswer(id string, from, tokens int) []platform.TokenEvent {
	var events []platform.TokenEvent
	for i := from; i < tokens; i++ {
		events = append(events, platform.TokenEvent{RequestID: id, Offset: i, Text: tokenText(id, i)})
	}
	return append(events, platform.TokenEvent{RequestID: id, Offset: tokens, Done: true, FinishReason: "stop"})
}

type fakeTokens struct {
	ctx    context.Context
	engine *fakeEngine
	model  *fakeModel
	events []platform.TokenEvent
	once   sync.Once
}

func (t *fakeTokens) Next() (platform.TokenEvent, error) {
	timer := time.NewTimer(t.engine.tokenTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.ctx.Done():
		return platform.TokenEvent{}, t.ctx.Err()
	}
	t.engine.mu.Lock()
	cut := t.engine.models[t.model.Model] != t.model // the engine has restarted
	t.engine.mu.Unlock()
	if len(t.events) == 0 || cut {
		return platform.TokenEvent{}, io.ErrUnexpectedEOF
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

package standin

import (
	"encoding/json"
	"net/http"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

// strayID is the request id of events that belong to no request.
const strayID = "stray-request"

// eventWriter writes one event a line.
type eventWriter struct {
	w     http.ResponseWriter
	flush *http.ResponseController
}

func (o *eventWriter) sendHeader() { _ = o.flush.Flush() }

func (o *eventWriter) send(event external.TokenEvent) bool {
	if json.NewEncoder(o.w).Encode(event) != nil {
		return false
	}
	return o.flush.Flush() == nil
}

// produce writes the tokens of an admitted stream and its end. It reports false
// when the stream was cut.
func (e *Engine) produce(out *eventWriter, s *stream) bool {
	knobs := e.Knobs()
	if !retry.Sleep(s.ctx, milliseconds(firstTokenMS(knobs, s))) {
		return false
	}
	if s.stray && !out.send(external.TokenEvent{RequestID: strayID, Offset: s.gen.Offset, Text: "stray "}) {
		return false
	}
	for i := s.gen.Offset; i < s.total; i++ {
		if i-s.gen.Offset == s.cutAfter {
			e.countCut()
			return false
		}
		if i > s.gen.Offset && !retry.Sleep(s.ctx, milliseconds(knobs.TokenMS)) {
			return false
		}
		if s.ctx.Err() != nil || !out.send(s.token(i)) {
			return false
		}
		e.countToken()
	}
	return out.send(s.end())
}

func firstTokenMS(knobs EngineKnobs, s *stream) int {
	switch {
	case s.resumed:
		return 0
	case s.prefixHit:
		return knobs.CachedFirstTokenMS
	default:
		return knobs.FirstTokenMS
	}
}

func (s *stream) token(i int) external.TokenEvent {
	if s.crossed {
		return external.TokenEvent{RequestID: strayID, Offset: i, Text: Token(s.gen.Model, "", strayID, i)}
	}
	text := Token(s.gen.Model, s.gen.Adapter, s.gen.Prompt, i)
	return external.TokenEvent{RequestID: s.gen.RequestID, Offset: i, Text: text}
}

func (s *stream) end() external.TokenEvent {
	id := s.gen.RequestID
	if s.crossed {
		id = strayID
	}
	return external.TokenEvent{RequestID: id, Offset: s.total, Done: true, FinishReason: "length"}
}

func (e *Engine) countToken() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Tokens++
}

func (e *Engine) countCut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.StreamsCut++
}

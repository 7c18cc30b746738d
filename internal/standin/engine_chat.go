package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

// defaultMaxTokens is the length of an answer whose request sets none.
const defaultMaxTokens = 16

// generation is one request. Engine.mu guards the fields after prompt.
type generation struct {
	id             string
	model, adapter string
	asked          string // the model as the caller named it
	prompt         string
	first, total   int // tokens
	rank           int
	ctx            context.Context
	cancel         context.CancelFunc
	admitted       chan struct{} // closed when it joins the batch
	// cutAfter is the number of tokens after which the stream is cut; -1 never.
	cutAfter int
}

type chatBody struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// Prompt is the text that a conversation of one user message makes.
func Prompt(message string) string { return "user: " + message + "\n" }

func (b chatBody) prompt() string {
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return text.String()
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	var body chatBody
	if !readJSON(w, r, &body) {
		return
	}
	b, g, status := e.begin(r, body)
	if g == nil {
		refuse(w, status, "the engine does not hold the model or the adapter")
		return
	}
	defer e.end(b, g)
	w.Header().Set(external.HeaderRequestID, e.answerID(g))
	select {
	case <-g.admitted:
	case <-g.ctx.Done():
		hangUp()
	}
	if !body.Stream {
		e.answerWhole(w, g)
		return
	}
	e.answerStream(w, g)
}

// begin puts a generation into the batch or its queue.
func (e *Engine) begin(r *http.Request, body chatBody) (*boot, *generation, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	name := r.Header.Get(external.HeaderModel)
	if name == "" {
		name = body.Model
	}
	model, adapter, _ := strings.Cut(name, ":")
	held := b.models[model]
	if held == nil || !held.ready {
		return b, nil, http.StatusMisdirectedRequest
	}
	if a := held.adapters[adapter]; adapter != "" && (a == nil || !a.ready) {
		return b, nil, http.StatusServiceUnavailable
	}
	g := &generation{id: r.Header.Get(external.HeaderRequestID), model: model, adapter: adapter, asked: body.Model, prompt: body.prompt(), total: body.MaxTokens, cutAfter: -1, admitted: make(chan struct{})}
	if g.total <= 0 {
		g.total = defaultMaxTokens
	}
	if last, err := strconv.Atoi(r.Header.Get(external.HeaderLastEvent)); err == nil {
		g.first = last + 1
		e.counts.Resumed++
	}
	g.rank, _ = strconv.Atoi(r.Header.Get(external.HeaderRank)) // 0 without one
	g.ctx, g.cancel = context.WithCancel(r.Context())
	context.AfterFunc(b.ctx, g.cancel)
	if e.knobs.AbortStreams > 0 {
		e.knobs.AbortStreams--
		g.cutAfter = e.knobs.AbortAfterTokens
	}
	e.counts.Generations++
	b.enqueue(g)
	e.admit(b)
	return b, g, 0
}

// enqueue adds a generation behind those of its rank or a better one.
func (b *boot) enqueue(g *generation) {
	i := slices.IndexFunc(b.waiting, func(other *generation) bool { return other.rank > g.rank })
	if i < 0 {
		i = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, i, g)
}

// admit fills the batch from the queue.
func (e *Engine) admit(b *boot) {
	for len(b.waiting) > 0 && b.running < e.knobs.MaxBatch {
		g := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.running++
		b.batch[g] = true
		close(g.admitted)
	}
	e.counts.PeakRunning = max(e.counts.PeakRunning, int64(b.running))
}

// end takes a generation out of the batch or the queue.
func (e *Engine) end(b *boot, g *generation) {
	g.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.batch[g] {
		delete(b.batch, g)
		b.running--
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(other *generation) bool { return other == g })
	e.admit(b)
}

// cutStreams ends the generations of a model.
func (e *Engine) cutStreams(b *boot, model string) {
	for g := range b.batch {
		if g.model == model {
			e.counts.StreamsAborted++
			g.cancel()
		}
	}
}

// answerID is the id on an answer: another request's if the engine is told to
// cross its answers.
func (e *Engine) answerID(g *generation) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.knobs.MismatchedResponses > 0 {
		e.knobs.MismatchedResponses--
		return "another-request"
	}
	return g.id
}

func (e *Engine) answerWhole(w http.ResponseWriter, g *generation) {
	knobs := e.Config()
	if !retry.Sleep(g.ctx, milliseconds(knobs.FirstTokenMS+g.total*knobs.TokenMS)) {
		hangUp()
	}
	message := map[string]any{"role": "assistant", "content": Completion(g.model, g.adapter, g.prompt, g.total)}
	answer := g.describe("chat.completion", map[string]any{"index": 0, "message": message, "finish_reason": "length"})
	answer["usage"] = map[string]any{"completion_tokens": g.total}
	if g.cutAfter >= 0 {
		e.count(func(c *EngineCounts) { c.StreamsAborted++ })
		writeHalf(w, answer)
	}
	writeJSON(w, answer)
}

func (g *generation) describe(object string, choice map[string]any) map[string]any {
	return map[string]any{"id": g.id, "object": object, "created": time.Now().Unix(), "model": g.asked, "choices": []any{choice}}
}

func (e *Engine) answerStream(w http.ResponseWriter, g *generation) {
	knobs := e.Config()
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	if !retry.Sleep(g.ctx, milliseconds(knobs.FirstTokenMS)) {
		hangUp()
	}
	for i := g.first; i < g.total; i++ {
		if i-g.first == g.cutAfter {
			e.count(func(c *EngineCounts) { c.StreamsAborted++ })
			hangUp()
		}
		if i > g.first && !retry.Sleep(g.ctx, milliseconds(knobs.TokenMS)) || g.ctx.Err() != nil {
			hangUp()
		}
		delta := map[string]any{"content": Token(g.model, g.adapter, g.prompt, i)}
		event := g.describe("chat.completion.chunk", map[string]any{"index": 0, "delta": delta, "finish_reason": nil})
		data, _ := json.Marshal(event)                         // maps of plain values
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data) // Flush reports a caller that left
		if flush.Flush() != nil {
			hangUp()
		}
		e.count(func(c *EngineCounts) { c.Tokens++ })
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", g.total) // a caller that left gets nothing
}

func (e *Engine) count(change func(*EngineCounts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.counts)
}

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

// defaultMaxTokens is the length of a completion whose request sets no max_tokens.
const defaultMaxTokens = 16

// generation is one chat request that waits or runs.
type generation struct {
	id             string
	model, adapter string
	requestedModel string // the model name in the caller's body
	prompt         string
	first, total   int // tokens
	rank           int
	ctx            context.Context
	cancel         context.CancelFunc
	admitted       chan struct{} // closed when the generation joins the batch
	// abortAfter is the number of tokens after which the response is aborted; -1 never.
	abortAfter int
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

// Prompt returns the prompt of a conversation with a single user message.
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
	nameLimit(w, e.Config().LimitPerSecond)
	b, g, status := e.begin(r, body)
	if g == nil {
		refuse(w, status, "the engine does not hold the model or the adapter")
		return
	}
	defer e.end(b, g)
	w.Header().Set(external.HeaderRequestID, e.responseID(g))
	select {
	case <-g.admitted:
	case <-g.ctx.Done():
		abortConnection()
	}
	if !body.Stream {
		e.writeCompletion(w, g)
		return
	}
	e.streamCompletion(w, g)
}

// begin queues a new generation and admits it if the batch has a free slot. It
// returns no generation but a status if the model or the adapter is not loaded.
func (e *Engine) begin(r *http.Request, body chatBody) (*boot, *generation, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	name := r.Header.Get(external.HeaderModel)
	if name == "" {
		name = body.Model
	}
	model, adapter, _ := strings.Cut(name, ":")
	loaded := b.models[model]
	if loaded == nil || !loaded.ready {
		return b, nil, http.StatusMisdirectedRequest
	}
	if a := loaded.adapters[adapter]; adapter != "" && (a == nil || !a.ready) {
		return b, nil, http.StatusServiceUnavailable
	}
	g := &generation{id: r.Header.Get(external.HeaderRequestID), model: model, adapter: adapter, requestedModel: body.Model, prompt: body.prompt(), total: body.MaxTokens, abortAfter: -1, admitted: make(chan struct{})}
	if g.total <= 0 {
		g.total = defaultMaxTokens
	}
	if last, err := strconv.Atoi(r.Header.Get(external.HeaderLastEvent)); err == nil {
		g.first = last + 1
		e.counts.Resumed++
	}
	g.rank, _ = strconv.Atoi(r.Header.Get(external.HeaderRank)) // 0 if absent or malformed
	g.ctx, g.cancel = context.WithCancel(r.Context())
	context.AfterFunc(b.ctx, g.cancel)
	if e.config.AbortStreams > 0 {
		e.config.AbortStreams--
		g.abortAfter = e.config.AbortAfterTokens
	}
	e.counts.Generations++
	b.enqueue(g)
	e.admit(b)
	return b, g, 0
}

// enqueue adds a generation behind those of the same or a lower rank number.
func (b *boot) enqueue(g *generation) {
	i := slices.IndexFunc(b.waiting, func(other *generation) bool { return other.rank > g.rank })
	if i < 0 {
		i = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, i, g)
}

// admit moves generations from the queue to the batch while it has free slots. The
// caller holds Engine.mu.
func (e *Engine) admit(b *boot) {
	for len(b.waiting) > 0 && b.running < e.config.MaxBatch {
		g := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.running++
		b.batch[g] = true
		close(g.admitted)
	}
	e.counts.PeakRunning = max(e.counts.PeakRunning, int64(b.running))
}

// end removes a generation from the batch or the queue.
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

// abortStreams aborts the running generations of a model.
func (e *Engine) abortStreams(b *boot, model string) {
	for g := range b.batch {
		if g.model == model {
			e.counts.StreamsAborted++
			g.cancel()
		}
	}
}

// responseID returns the request id of a response: a wrong one while
// MismatchedResponses is above 0.
func (e *Engine) responseID(g *generation) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.MismatchedResponses > 0 {
		e.config.MismatchedResponses--
		return "another-request"
	}
	return g.id
}

func (e *Engine) writeCompletion(w http.ResponseWriter, g *generation) {
	cfg := e.Config()
	if !retry.Sleep(g.ctx, milliseconds(cfg.FirstTokenMS+g.total*cfg.TokenMS)) {
		abortConnection()
	}
	message := map[string]any{"role": "assistant", "content": Completion(g.model, g.adapter, g.prompt, g.total)}
	response := g.responseObject("chat.completion", map[string]any{"index": 0, "message": message, "finish_reason": "length"})
	response["usage"] = map[string]any{"completion_tokens": g.total}
	if g.abortAfter >= 0 {
		e.count(func(c *EngineCounts) { c.StreamsAborted++ })
		writeTruncated(w, response)
	}
	writeJSON(w, response)
}

func (g *generation) responseObject(object string, choice map[string]any) map[string]any {
	return map[string]any{"id": g.id, "object": object, "created": time.Now().Unix(), "model": g.requestedModel, "choices": []any{choice}}
}

func (e *Engine) streamCompletion(w http.ResponseWriter, g *generation) {
	cfg := e.Config()
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	if !retry.Sleep(g.ctx, milliseconds(cfg.FirstTokenMS)) {
		abortConnection()
	}
	for i := g.first; i < g.total; i++ {
		if i-g.first == g.abortAfter {
			e.count(func(c *EngineCounts) { c.StreamsAborted++ })
			abortConnection()
		}
		if i > g.first && !retry.Sleep(g.ctx, milliseconds(cfg.TokenMS)) || g.ctx.Err() != nil {
			abortConnection()
		}
		delta := map[string]any{"content": Token(g.model, g.adapter, g.prompt, i)}
		event := g.responseObject("chat.completion.chunk", map[string]any{"index": 0, "delta": delta, "finish_reason": nil})
		data, _ := json.Marshal(event)                         // maps of plain values always encode
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data) // Flush reports a disconnected caller
		if flush.Flush() != nil {
			abortConnection()
		}
		e.count(func(c *EngineCounts) { c.Tokens++ })
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", g.total) // the caller may have disconnected
}

func (e *Engine) count(change func(*EngineCounts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.counts)
}

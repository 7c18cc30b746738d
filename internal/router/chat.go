package router

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/route"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

const defaultMaxTokens = 256

// chatRequest is the part of a chat completion request that is used; other
// fields are ignored.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int64        `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens *int64 `json:"max_completion_tokens"`
	Stream              bool   `json:"stream"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is text, or a list of parts of which the text is used.
type chatContent string

type chatPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(raw []byte) error {
	if bytes.HasPrefix(raw, []byte("[")) {
		var parts []chatPart
		if err := json.Unmarshal(raw, &parts); err != nil {
			return err
		}
		var text strings.Builder
		for _, p := range parts {
			text.WriteString(p.Text)
		}
		*c = chatContent(text.String())
		return nil
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	*c = chatContent(text)
	return nil
}

// serveChat serves POST /v1/chat/completions.
func (r *Router) serveChat(x *exchange) *Error {
	if err := x.allow(http.MethodPost); err != nil {
		return err
	}
	body, err := x.readBody()
	if err != nil {
		return err
	}
	chat, maxTokens, err := parseChat(body)
	if err != nil {
		return err
	}
	snap := r.opts.View.Load()
	target, known := snap.Config.Resolve(chat.Model)
	if !known {
		return notRun(KindUnknownModel, http.StatusNotFound,
			"name a published model as MODEL or MODEL:ADAPTER; GET "+pathModels+" lists them", "no model %q", chat.Model)
	}
	x.record.Target = target.Model.GetName()
	x.record.Adapter = target.Adapter.GetName()
	if err := x.setClassAndDeadline(snap.Config, target.Model.GetPriorityClass(), 0); err != nil {
		return err
	}
	g := newGeneration(x, target, chat, maxTokens)
	if len(g.request.GetPrompt()) > maxPromptBytes {
		return notRun(KindBodyTooLarge, http.StatusRequestEntityTooLarge, "send shorter messages",
			"the prompt is longer than %d bytes", maxPromptBytes)
	}
	ctx, cancel := x.context()
	defer cancel()
	return r.generate(ctx, g)
}

// maxPromptBytes lets a request fit into one frame with its other fields.
const maxPromptBytes = transport.MaxFrameBytes - 64<<10

func parseChat(body []byte) (*chatRequest, uint32, *Error) {
	chat := &chatRequest{}
	if err := json.Unmarshal(body, chat); err != nil {
		return nil, 0, badRequest("send a JSON object with model and messages", "the body is not valid: %v", err)
	}
	if chat.Model == "" {
		return nil, 0, badRequest("set \"model\" to MODEL or MODEL:ADAPTER", "the body names no model")
	}
	if len(chat.Messages) == 0 {
		return nil, 0, badRequest("send at least one message", "the body has no messages")
	}
	maxTokens := int64(defaultMaxTokens)
	for _, given := range []*int64{chat.MaxTokens, chat.MaxCompletionTokens} {
		if given != nil {
			maxTokens = *given
		}
	}
	if maxTokens <= 0 || maxTokens > maxMaxTokens {
		return nil, 0, badRequest("set \"max_tokens\" to a number from 1 to 1000000", "max_tokens is %d", maxTokens)
	}
	return chat, uint32(maxTokens), nil
}

const maxMaxTokens = 1_000_000

// prompt joins messages into the prompt of an engine.
func prompt(messages []chatMessage) string {
	var b strings.Builder
	for i, m := range messages {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
	}
	return b.String()
}

func affinity(target config.Target, prompt string) uint64 {
	return route.AffinityKey(target.Model.GetName(), target.Adapter.GetName(), prompt)
}

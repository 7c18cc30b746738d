package native

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortdoor/ragwortdoor/internal/entry"
)

// chatBody is the part of a chat request that routers read.
type chatBody struct {
	Model     string   `json:"model"`
	Stream    bool     `json:"stream"`
	MaxTokens int64    `json:"max_tokens"`
	Messages  messages `json:"messages"`
}

// messages are those of a chat request, each of which is a part of the prompt. They are read one by
// one: parsed together, small ones take a hundred times what they take in the body.
type messages struct {
	parts  []entry.PromptPart
	tokens int64
}

// errNoMessages means that a chat request has something else in place of its messages.
var errNoMessages = errors.New("messages must be a list of objects")

// UnmarshalJSON implements json.Unmarshaler.
func (m *messages) UnmarshalJSON(data []byte) error {
	*m = messages{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	start, err := decoder.Token()
	if err != nil || start == nil { // null is no message
		return err
	}
	if start != json.Delim('[') {
		return errNoMessages
	}
	for decoder.More() {
		var message struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		}
		if err := decoder.Decode(&message); err != nil {
			return err
		}
		m.add(message.Content)
	}
	return nil
}

func (m *messages) add(content []byte) {
	tokens := int64(len(content)+bytesPerToken-1) / bytesPerToken
	m.tokens += tokens
	if len(m.parts) < entry.MaxPromptParts {
		m.parts = append(m.parts, entry.PromptPart{ID: strconv.FormatUint(xxhash.Sum64(content), 16), Tokens: tokens})
	}
}

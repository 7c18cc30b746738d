package external

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// call is one HTTP call of the platform.
type call struct {
	op     string
	method string
	// path includes the query.
	path string
	body []byte
	// etag makes a read conditional: the answer is 304 without a body when the
	// entity still has this tag.
	etag string
}

// send sends a call once. The caller closes the answer's body. A failure after
// which no byte was or will be sent has a known outcome.
func (c *client) send(ctx context.Context, k call) (*http.Response, error) {
	tracker := &sendTracker{}
	req, err := http.NewRequestWithContext(tracker.withTrace(ctx), k.method, c.base+k.path, oneShot(k.body))
	if err != nil {
		return nil, c.invalid(k.op, err)
	}
	if k.body != nil {
		req.ContentLength = int64(len(k.body))
		req.Header.Set("Content-Type", "application/json")
	}
	if k.etag != "" {
		req.Header.Set("If-None-Match", k.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, c.unavailable(k.op, tracker.maybeSent(), err)
	}
	if k.etag != "" && resp.StatusCode == http.StatusNotModified {
		return resp, nil
	}
	if resp.StatusCode/100 != 2 {
		defer func() { _ = resp.Body.Close() }() // it has been read
		return nil, c.refused(k.op, readRefusal(resp))
	}
	return resp, nil
}

// oneShot returns a body that net/http can't rewind, so that it never repeats
// the call on another connection by itself.
func oneShot(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// raw sends a call and reads the whole answer.
func (c *client) raw(ctx context.Context, k call) ([]byte, error) {
	resp, err := c.send(ctx, k)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBody))
	if err != nil {
		return nil, c.unavailable(k.op, true, fmt.Errorf("answer cut: %w", err))
	}
	return answer, nil
}

// json sends a call and decodes the answer into out, if there is one.
func (c *client) json(ctx context.Context, k call, out any) error {
	answer, err := c.raw(ctx, k)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return c.unavailable(k.op, true, fmt.Errorf("answer is no JSON of the protocol: %w", err))
	}
	return nil
}

// readJSON gets a path with retries.
func (c *client) readJSON(ctx context.Context, op, path string, out any) error {
	return c.read(ctx, func(ctx context.Context) error {
		return c.json(ctx, call{op: op, method: http.MethodGet, path: path}, out)
	})
}

// writeJSON sends in once, within the call timeout.
func (c *client) writeJSON(ctx context.Context, op, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return c.invalid(op, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.json(ctx, call{op: op, method: http.MethodPost, path: path, body: body}, out)
}

func (c *client) unavailable(op string, outcomeUnknown bool, err error) *Error {
	remedy := fmt.Sprintf("check that the %s at %s is up and reachable from this host", c.name, c.base)
	if outcomeUnknown {
		remedy += "; the call may have taken effect: read back before repeating it"
	}
	return &Error{Kind: KindUnavailable, Op: op, OutcomeUnknown: outcomeUnknown, Remedy: remedy, Err: err}
}

func (c *client) invalid(op string, err error) *Error {
	remedy := fmt.Sprintf("correct the call or the URL of the %s in the settings", c.name)
	return &Error{Kind: KindInvalid, Op: op, Remedy: remedy, Err: err}
}

func (c *client) refused(op string, r refusal) *Error {
	return &Error{Kind: r.kind, Op: op, OutcomeUnknown: r.outcomeUnknown, Remedy: c.remedy(r.kind), Err: r.err}
}

func (c *client) remedy(kind Kind) string {
	switch kind {
	case KindNotFound:
		return "check the name; it may have been removed"
	case KindFenced:
		return "stop giving orders under this epoch: another holder has a higher one"
	case KindNoMemory:
		return "unload a model first, or place the model on a host with more memory"
	case KindInvalid:
		return fmt.Sprintf("correct the call; the %s refused it as wrong", c.name)
	case KindOverloaded:
		return fmt.Sprintf("repeat later; the %s is overloaded", c.name)
	default:
		return fmt.Sprintf("see the log of the %s at %s", c.name, c.base)
	}
}

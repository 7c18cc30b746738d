package external

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/ragwortdoor/ragwortdoor/internal/progress"
)

// call is one HTTP request to a platform service.
type call struct {
	op     string
	method string
	// path includes the query.
	path string
	body []byte
	// etag is sent as If-None-Match. The server responds 304 without a body when
	// the entity still has this tag.
	etag string
}

// send sends a call once. The caller closes the response body. A failure counts
// as having no effect when no byte of the request was or will be written.
func (c *client) send(ctx context.Context, k call) (*http.Response, error) {
	tracker := &sendTracker{}
	req, err := http.NewRequestWithContext(tracker.withTrace(ctx), k.method, c.base+k.path, requestBody(ctx, k.body))
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
		defer func() { _ = resp.Body.Close() }() // the body has been read
		return nil, c.rejected(k.op, readResponseError(resp))
	}
	return resp, nil
}

// requestBody returns a body that net/http can't rewind, which prevents its automatic
// retry on another connection.
func requestBody(ctx context.Context, body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return struct{ io.Reader }{progress.Reader(ctx, bytes.NewReader(body))}
}

// fetchBody sends a call and reads the complete response body.
func (c *client) fetchBody(ctx context.Context, k call) ([]byte, error) {
	resp, err := c.send(ctx, k)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	body, err := io.ReadAll(io.LimitReader(progress.Reader(ctx, resp.Body), maxResponseBytes))
	if err != nil {
		return nil, c.unavailable(k.op, true, fmt.Errorf("response truncated: %w", err))
	}
	return body, nil
}

// fetchJSON sends a call and decodes the response body into out unless out is nil.
func (c *client) fetchJSON(ctx context.Context, k call, out any) error {
	body, err := c.fetchBody(ctx, k)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return c.unavailable(k.op, true, fmt.Errorf("response is not valid JSON of the protocol: %w", err))
	}
	return nil
}

// readJSON fetches a path with retries.
func (c *client) readJSON(ctx context.Context, op, path string, out any) error {
	return c.read(ctx, func(ctx context.Context) error {
		return c.fetchJSON(ctx, call{op: op, method: http.MethodGet, path: path}, out)
	})
}

// writeJSON posts in once, without retries and within the call timeout.
func (c *client) writeJSON(ctx context.Context, op, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return c.invalid(op, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.fetchJSON(ctx, call{op: op, method: http.MethodPost, path: path, body: body}, out)
}

func (c *client) unavailable(op string, outcomeUnknown bool, err error) *Error {
	remedy := fmt.Sprintf("check that the %s at %s is up and reachable from this host", c.name, c.base)
	if outcomeUnknown {
		remedy += "; the call may have taken effect: read the state back before repeating it"
	}
	return &Error{Kind: KindUnavailable, Op: op, OutcomeUnknown: outcomeUnknown, Remedy: remedy, Err: err}
}

func (c *client) invalid(op string, err error) *Error {
	remedy := fmt.Sprintf("correct the call or the URL of the %s in the settings", c.name)
	return &Error{Kind: KindInvalid, Op: op, Remedy: remedy, Err: err}
}

func (c *client) rejected(op string, r responseError) *Error {
	return &Error{Kind: r.kind, Op: op, OutcomeUnknown: r.outcomeUnknown, Remedy: c.remedy(r.kind), Err: r.err}
}

func (c *client) remedy(kind Kind) string {
	switch kind {
	case KindNotFound:
		return "check the name; it may have been removed"
	case KindFenced:
		return "stop sending orders with this fencing token: another holder has a higher one"
	case KindNoMemory:
		return "unload a model first, or place the model on a host with more memory"
	case KindInvalid:
		return fmt.Sprintf("correct the call; the %s rejected it as invalid", c.name)
	case KindOverloaded:
		return fmt.Sprintf("retry later; the %s is overloaded", c.name)
	default:
		return fmt.Sprintf("see the log of the %s at %s", c.name, c.base)
	}
}

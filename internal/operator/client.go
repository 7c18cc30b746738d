package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// defaultCallTimeout limits a single attempt at one server.
const defaultCallTimeout = 30 * time.Second

// ClientOptions configure a Client.
type ClientOptions struct {
	// Servers are the base URLs of operator APIs, tried in order.
	Servers []string
	// Token is the bearer token; nil sends none.
	Token []byte
	// HTTP defaults to a client with a timeout of 30 seconds.
	HTTP *http.Client
}

// Client calls the operator API. It is safe for concurrent use. Its methods
// return errors of type *Error.
type Client struct {
	options ClientOptions
}

func NewClient(options ClientOptions) *Client {
	if options.HTTP == nil {
		options.HTTP = &http.Client{Timeout: defaultCallTimeout}
	}
	return &Client{options: options}
}

// Validate checks a JSON object set without publishing it.
func (c *Client) Validate(ctx context.Context, set []byte) (*ValidateReply, error) {
	return call[ValidateReply](ctx, c, request{method: http.MethodPost, path: "/v1/validate", body: set})
}

// Apply publishes an object set. Attempts at several servers publish it at most
// once: the expected revision and the transaction id, which Apply fills in when
// absent, make them idempotent.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (*ApplyReply, error) {
	if req.TxnID == "" {
		req.TxnID = "apply-" + rand.Text()
	}
	if req.ExpectRevision == nil {
		current, err := c.currentRevision(ctx)
		if err != nil {
			return nil, err
		}
		req.ExpectRevision = &current
	}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, badRequestError("the object set is not valid JSON: "+err.Error(), "fix the file")
	}
	return call[ApplyReply](ctx, c, request{method: http.MethodPost, path: "/v1/apply", body: body})
}

// currentRevision returns the revision in force, or 0 before the first one.
func (c *Client) currentRevision(ctx context.Context) (uint64, error) {
	history, err := c.History(ctx, 1)
	if err != nil || len(history.Revisions) == 0 {
		return 0, err
	}
	return history.Revisions[0].Revision, nil
}

// Objects returns the object set of a revision; 0 means the one in force.
func (c *Client) Objects(ctx context.Context, revision uint64) (*ObjectsReply, error) {
	query := url.Values{"revision": {formatRevision(revision)}}
	return call[ObjectsReply](ctx, c, request{method: http.MethodGet, path: "/v1/objects", query: query})
}

// History returns up to limit revisions, newest first.
func (c *Client) History(ctx context.Context, limit int) (*HistoryReply, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	return call[HistoryReply](ctx, c, request{method: http.MethodGet, path: "/v1/history", query: query})
}

// Diff compares two published revisions; 0 means the one in force.
func (c *Client) Diff(ctx context.Context, from, to uint64) (*DiffReply, error) {
	query := url.Values{"from": {formatRevision(from)}, "to": {formatRevision(to)}}
	return call[DiffReply](ctx, c, request{method: http.MethodGet, path: "/v1/diff", query: query})
}

// DiffSet compares a published revision with a JSON object set; 0 means the
// revision in force.
func (c *Client) DiffSet(ctx context.Context, from uint64, set []byte) (*DiffReply, error) {
	query := url.Values{"from": {formatRevision(from)}}
	return call[DiffReply](ctx, c, request{method: http.MethodPost, path: "/v1/diff", query: query, body: set})
}

// Self returns the state of the router that responds.
func (c *Client) Self(ctx context.Context) (*NodeStatus, error) {
	return call[NodeStatus](ctx, c, request{method: http.MethodGet, path: "/v1/self"})
}

// Drain starts draining a host, or ends it when draining is false. The author is
// recorded with the change.
func (c *Client) Drain(ctx context.Context, host, author string, draining bool) (*DrainReply, error) {
	method := http.MethodPost
	if !draining {
		method = http.MethodDelete
	}
	return call[DrainReply](ctx, c, request{method: method, path: "/v1/drain/" + url.PathEscape(host), author: author})
}

func formatRevision(n uint64) string { return strconv.FormatUint(n, 10) }

// request is an API call, independent of the server.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	author string
}

// call tries the servers in order until one responds. It returns the last error
// if none does; OutcomeUnknown is then true if it was for any attempt.
func call[T any](ctx context.Context, c *Client, req request) (*T, error) {
	var lastErr error
	outcomeUnknown := false
	for _, server := range c.options.Servers {
		reply := new(T)
		err := c.callServer(ctx, server, req, reply)
		if err == nil {
			return reply, nil
		}
		apiErr := toError(err)
		if apiErr.Kind != KindUnavailable {
			return nil, apiErr
		}
		outcomeUnknown = outcomeUnknown || apiErr.OutcomeUnknown
		apiErr.OutcomeUnknown = outcomeUnknown
		lastErr = apiErr
	}
	if lastErr == nil {
		lastErr = noServerError()
	}
	return nil, lastErr
}

func noServerError() *Error {
	return badRequestError("no server given", "pass --server http://IP:PORT")
}

func (c *Client) callServer(ctx context.Context, server string, req request, reply any) error {
	target := strings.TrimRight(server, "/") + req.path
	if len(req.query) > 0 {
		target += "?" + req.query.Encode()
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.method, target, bytes.NewReader(req.body))
	if err != nil {
		return badRequestError(err.Error(), "write --server as http://IP:PORT")
	}
	if len(c.options.Token) > 0 {
		httpReq.Header.Set("Authorization", "Bearer "+string(c.options.Token))
	}
	if req.author != "" {
		httpReq.Header.Set(authorHeader, req.author)
	}
	httpResp, err := c.options.HTTP.Do(httpReq)
	if err != nil {
		return unavailableError(req, err)
	}
	defer httpResp.Body.Close()
	return decodeReply(req, httpResp, reply)
}

func decodeReply(req request, httpResp *http.Response, reply any) error {
	data, err := io.ReadAll(httpResp.Body)
	if err != nil {
		return unavailableError(req, err)
	}
	if httpResp.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, reply)
	} else {
		var errReply errorReply
		err = json.Unmarshal(data, &errReply)
		if err == nil && errReply.Error != nil {
			return errReply.Error
		}
	}
	if err != nil || httpResp.StatusCode != http.StatusOK {
		return &Error{
			Kind:    KindInternal,
			Message: fmt.Sprintf("%s returned status %d without a JSON body of the operator API", req.path, httpResp.StatusCode),
			Remedy:  "point --server at the operator_listen address of a router",
		}
	}
	return nil
}

// unavailableError is returned when a server gave no complete response. Calls
// that change something may then have taken effect.
func unavailableError(req request, err error) *Error {
	return &Error{
		Kind:           KindUnavailable,
		Message:        err.Error(),
		Remedy:         "pass --server with the operator address of a live router",
		OutcomeUnknown: req.method != http.MethodGet,
	}
}

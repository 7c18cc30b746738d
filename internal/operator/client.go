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

// defaultCallTimeout bounds one try of a call at one server.
const defaultCallTimeout = 30 * time.Second

// ClientOptions configure a Client.
type ClientOptions struct {
	// Servers are the base URLs of operator APIs, tried in turn.
	Servers []string
	// Token is the bearer token; nil sends none.
	Token []byte
	// HTTP is a client with a timeout of 30 seconds by default.
	HTTP *http.Client
}

// Client calls the operators' API. It is safe for concurrent use. Its methods
// return *Error.
type Client struct {
	options ClientOptions
}

// NewClient makes a client.
func NewClient(options ClientOptions) *Client {
	if options.HTTP == nil {
		options.HTTP = &http.Client{Timeout: defaultCallTimeout}
	}
	return &Client{options: options}
}

// Validate checks a set, given as JSON, without publishing it.
func (c *Client) Validate(ctx context.Context, set []byte) (*ValidateReply, error) {
	return call[ValidateReply](ctx, c, request{method: http.MethodPost, path: "/v1/validate", body: set})
}

// Apply publishes a set. It is safe to try at several servers: the expected
// revision and the transaction id, which it fills in when they are absent, make
// the repetition idempotent.
func (c *Client) Apply(ctx context.Context, apply ApplyRequest) (*ApplyReply, error) {
	if apply.TxnID == "" {
		apply.TxnID = "apply-" + rand.Text()
	}
	if apply.ExpectRevision == nil {
		current, err := c.revision(ctx)
		if err != nil {
			return nil, err
		}
		apply.ExpectRevision = &current
	}
	body, err := json.Marshal(apply)
	if err != nil {
		return nil, badRequest("the object set is no valid JSON: "+err.Error(), "mend the file")
	}
	return call[ApplyReply](ctx, c, request{method: http.MethodPost, path: "/v1/apply", body: body})
}

// revision is the number of the revision in force, 0 before the first.
func (c *Client) revision(ctx context.Context) (uint64, error) {
	history, err := c.History(ctx, 1)
	if err != nil || len(history.Revisions) == 0 {
		return 0, err
	}
	return history.Revisions[0].Revision, nil
}

// Objects returns the set of a revision; 0 means the one in force.
func (c *Client) Objects(ctx context.Context, revision uint64) (*ObjectsReply, error) {
	query := url.Values{"revision": {formatNumber(revision)}}
	return call[ObjectsReply](ctx, c, request{method: http.MethodGet, path: "/v1/objects", query: query})
}

// History returns up to limit revisions, the newest first.
func (c *Client) History(ctx context.Context, limit int) (*HistoryReply, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	return call[HistoryReply](ctx, c, request{method: http.MethodGet, path: "/v1/history", query: query})
}

// Diff compares two published revisions; 0 means the one in force.
func (c *Client) Diff(ctx context.Context, from, to uint64) (*DiffReply, error) {
	query := url.Values{"from": {formatNumber(from)}, "to": {formatNumber(to)}}
	return call[DiffReply](ctx, c, request{method: http.MethodGet, path: "/v1/diff", query: query})
}

// DiffSet compares a published revision with a set, given as JSON; 0 means the
// revision in force.
func (c *Client) DiffSet(ctx context.Context, from uint64, set []byte) (*DiffReply, error) {
	query := url.Values{"from": {formatNumber(from)}}
	return call[DiffReply](ctx, c, request{method: http.MethodPost, path: "/v1/diff", query: query, body: set})
}

// Self returns the state of the router that answers.
func (c *Client) Self(ctx context.Context) (*NodeStatus, error) {
	return call[NodeStatus](ctx, c, request{method: http.MethodGet, path: "/v1/self"})
}

// Drain tells a host to take no new work, or takes that back.
func (c *Client) Drain(ctx context.Context, host, author string, draining bool) (*DrainReply, error) {
	method := http.MethodPost
	if !draining {
		method = http.MethodDelete
	}
	return call[DrainReply](ctx, c, request{method: method, path: "/v1/drain/" + url.PathEscape(host), author: author})
}

func formatNumber(n uint64) string { return strconv.FormatUint(n, 10) }

// request is one call, the same at every server.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	author string
}

// call tries the servers in turn until one answers.
func call[T any](ctx context.Context, c *Client, req request) (*T, error) {
	var last error
	outcomeUnknown := false
	for _, server := range c.options.Servers {
		reply := new(T)
		err := c.try(ctx, server, req, reply)
		if err == nil {
			return reply, nil
		}
		failure := toError(err)
		if failure.Kind != KindUnavailable {
			return nil, failure
		}
		outcomeUnknown = outcomeUnknown || failure.OutcomeUnknown
		failure.OutcomeUnknown = outcomeUnknown
		last = failure
	}
	if last == nil {
		last = errNoServer()
	}
	return nil, last
}

func errNoServer() *Error {
	return badRequest("no server is named", "pass --server http://IP:PORT")
}

// try calls one server.
func (c *Client) try(ctx context.Context, server string, req request, reply any) error {
	target := strings.TrimRight(server, "/") + req.path
	if len(req.query) > 0 {
		target += "?" + req.query.Encode()
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.method, target, bytes.NewReader(req.body))
	if err != nil {
		return badRequest(err.Error(), "write --server as http://IP:PORT")
	}
	if len(c.options.Token) > 0 {
		httpReq.Header.Set("Authorization", "Bearer "+string(c.options.Token))
	}
	if req.author != "" {
		httpReq.Header.Set(authorHeader, req.author)
	}
	httpReply, err := c.options.HTTP.Do(httpReq)
	if err != nil {
		return unreachable(req, err)
	}
	defer httpReply.Body.Close()
	return decodeReply(req, httpReply, reply)
}

func decodeReply(req request, httpReply *http.Response, reply any) error {
	data, err := io.ReadAll(httpReply.Body)
	if err != nil {
		return unreachable(req, err)
	}
	if httpReply.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, reply)
	} else {
		var failure errorReply
		err = json.Unmarshal(data, &failure)
		if err == nil && failure.Error != nil {
			return failure.Error
		}
	}
	if err != nil || httpReply.StatusCode != http.StatusOK {
		return &Error{
			Kind:    KindInternal,
			Message: fmt.Sprintf("%s answered with status %d and no JSON of the operators' API", req.path, httpReply.StatusCode),
			Remedy:  "point --server at the operator_listen address of a router",
		}
	}
	return nil
}

// unreachable is the error of a server that gave no whole answer. A change may
// then have taken effect.
func unreachable(req request, err error) *Error {
	return &Error{
		Kind:           KindUnavailable,
		Message:        err.Error(),
		Remedy:         "pass --server with the operator address of a live router",
		OutcomeUnknown: req.method != http.MethodGet,
	}
}

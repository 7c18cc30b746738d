package exchange

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxFetchBytes limits a response body that is read into memory.
const maxFetchBytes = 1 << 20

type observerKey struct{}

// WithObserver returns a context in which Fetch and FetchJSON call observe with the head of
// each response, before they read its body.
func WithObserver(ctx context.Context, observe func(status int, header http.Header)) context.Context {
	return context.WithValue(ctx, observerKey{}, observe)
}

// NewJSON returns a POST request with a JSON body. It modifies header.
func NewJSON(path string, header http.Header, body any) (*Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode body of %s: %w", path, err)
	}
	header.Set("Content-Type", "application/json")
	return &Request{Method: http.MethodPost, URI: path, Header: header, Body: encoded}, nil
}

// Fetch sends one of the router's own requests that change state, and reads the
// response body, up to maxFetchBytes.
func (p *Pool) Fetch(ctx context.Context, addr string, req *Request) (status int, body []byte, err error) {
	return p.fetch(ctx, addr, req, purposeChange)
}

// fetch sends a request with a new ID and reads the response body.
func (p *Pool) fetch(ctx context.Context, addr string, req *Request, purpose purpose) (status int, body []byte, err error) {
	req.Host = addr
	req.ID = rand.Text()
	req.Header.Set(p.opts.IDHeader, req.ID)
	req.purpose = purpose
	resp, err := p.Send(ctx, addr, req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Close()
	if observe, ok := ctx.Value(observerKey{}).(func(status int, header http.Header)); ok {
		observe(resp.Status, resp.Header)
	}
	body, err = io.ReadAll(io.LimitReader(resp, maxFetchBytes))
	if err != nil {
		return 0, nil, err
	}
	return resp.Status, body, nil
}

// FetchJSON sends one of the router's own requests that only read state, and decodes
// the JSON body into dest. The response must have status 200 and state the age of its
// data by itself, because it may lack the request ID.
func (p *Pool) FetchJSON(ctx context.Context, addr string, req *Request, dest any) error {
	status, body, err := p.fetch(ctx, addr, req, purposeStateRead)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s answered with status %d", req.URI, status)
	}
	if err := json.Unmarshal(body, dest); err != nil {
		return fmt.Errorf("decode response of %s: %w", req.URI, err)
	}
	return nil
}

package exchange

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxFetchBytes bounds a body that is read whole.
const maxFetchBytes = 1 << 20

// NewJSON makes a POST of a JSON body.
func NewJSON(path string, header http.Header, body any) (*Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode body of %s: %w", path, err)
	}
	header.Set("Content-Type", "application/json")
	return &Request{Method: http.MethodPost, URI: path, Header: header, Body: encoded}, nil
}

// Fetch sends a request of the router's own that changes something, and reads the
// whole answer.
func (p *Pool) Fetch(ctx context.Context, addr string, req *Request) (status int, body []byte, err error) {
	return p.fetch(ctx, addr, req, forChange)
}

// fetch sends a request under a new id.
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
	body, err = io.ReadAll(io.LimitReader(resp, maxFetchBytes))
	if err != nil {
		return 0, nil, err
	}
	return resp.Status, body, nil
}

// FetchJSON sends a request of the router's own that reads a state which tells its
// own age. The answer has status 200 and a JSON body.
func (p *Pool) FetchJSON(ctx context.Context, addr string, req *Request, into any) error {
	status, body, err := p.fetch(ctx, addr, req, forState)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s answered with status %d", req.URI, status)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("answer of %s can't be read: %w", req.URI, err)
	}
	return nil
}

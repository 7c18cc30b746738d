package exchange

import (
	"context"
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

// Fetch sends a request without an id and reads the whole answer.
func (p *Pool) Fetch(ctx context.Context, addr string, req *Request) (status int, body []byte, err error) {
	req.Host = addr
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

// FetchJSON is Fetch for an answer with status 200 and a JSON body.
func (p *Pool) FetchJSON(ctx context.Context, addr string, req *Request, into any) error {
	status, body, err := p.Fetch(ctx, addr, req)
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

package external

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
)

type hostListClient struct {
	*client
	known atomic.Pointer[taggedListing]
}

// taggedListing is a list with the entity tag under which it was read.
type taggedListing struct {
	etag    string
	listing HostListing
}

// NewHostListClient makes a client of the platform's host list. It reads the
// list only when its entity tag has changed.
func NewHostListClient(o ClientOptions) HostList {
	h := &hostListClient{client: newClient("host list", o)}
	h.known.Store(&taggedListing{})
	return h
}

// Hosts implements HostList. The listing must not be changed.
func (h *hostListClient) Hosts(ctx context.Context) (HostListing, error) {
	var listing HostListing
	err := h.read(ctx, func(ctx context.Context) error {
		var err error
		listing, err = h.readHosts(ctx)
		return err
	})
	return listing, err
}

func (h *hostListClient) readHosts(ctx context.Context) (HostListing, error) {
	const op = "host list"
	known := h.known.Load()
	resp, err := h.send(ctx, call{op: op, method: http.MethodGet, path: "/v1/hosts", etag: known.etag})
	if err != nil {
		return HostListing{}, err
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	if resp.StatusCode == http.StatusNotModified {
		return known.listing, nil
	}
	next := &taggedListing{etag: resp.Header.Get("ETag")}
	if err := json.NewDecoder(resp.Body).Decode(&next.listing); err != nil {
		return HostListing{}, h.unavailable(op, true, fmt.Errorf("answer cut or no JSON of the protocol: %w", err))
	}
	h.known.Store(next)
	return next.listing, nil
}

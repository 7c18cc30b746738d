package external

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/ragwortdoor/ragwortdoor/internal/progress"
)

type hostListClient struct {
	*client
	known atomic.Pointer[cachedListing]
}

// cachedListing is the last listing and its entity tag.
type cachedListing struct {
	etag    string
	listing HostListing
}

// NewHostListClient returns a client of the platform's host list. It transfers
// the list only when its entity tag has changed.
func NewHostListClient(o ClientOptions) HostList {
	h := &hostListClient{client: newClient("host list", o)}
	h.known.Store(&cachedListing{})
	return h
}

// Hosts implements HostList. The listing is shared and must not be modified.
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
	defer func() { _ = resp.Body.Close() }() // the body has been read
	if resp.StatusCode == http.StatusNotModified {
		return known.listing, nil
	}
	next := &cachedListing{etag: resp.Header.Get("ETag")}
	if err := json.NewDecoder(progress.Reader(ctx, resp.Body)).Decode(&next.listing); err != nil {
		return HostListing{}, h.unavailable(op, true, fmt.Errorf("response truncated or not valid JSON of the protocol: %w", err))
	}
	h.known.Store(next)
	return next.listing, nil
}

package platform

import (
	"context"
	"net/url"
)

type weightClient struct{ *client }

// NewWeightClient makes a client of the weight store.
func NewWeightClient(o ClientOptions) WeightStore {
	return &weightClient{newClient("weight store", o)}
}

// Stat implements WeightStore.
func (w *weightClient) Stat(ctx context.Context, checkpoint string) (CheckpointInfo, error) {
	var info CheckpointInfo
	err := w.readJSON(ctx, "weight stat", "/v1/checkpoints/"+url.PathEscape(checkpoint), &info)
	return info, err
}

type hostListClient struct{ *client }

// NewHostListClient makes a client of the platform's host list.
func NewHostListClient(o ClientOptions) HostList {
	return &hostListClient{newClient("host list", o)}
}

// Hosts implements HostList.
func (h *hostListClient) Hosts(ctx context.Context) (HostListing, error) {
	var listing HostListing
	err := h.readJSON(ctx, "host list", "/v1/hosts", &listing)
	return listing, err
}

package external

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
)

type engineClient struct{ *client }

// NewEngineClient makes a client of a model engine. Orders are sent once;
// inventory, load report, cache events and cancellations are repeated.
func NewEngineClient(o ClientOptions) Engine {
	return &engineClient{newClient("engine", o)}
}

// Do implements Engine. Its only limit is ctx.
func (e *engineClient) Do(ctx context.Context, order Order) error {
	const op = "engine order"
	body, err := json.Marshal(order)
	if err != nil {
		return e.invalid(op, err)
	}
	return e.json(ctx, call{op: op, method: http.MethodPost, path: "/v1/orders", body: body}, nil)
}

// Inventory implements Engine.
func (e *engineClient) Inventory(ctx context.Context) (Inventory, error) {
	var inventory Inventory
	err := e.readJSON(ctx, "engine inventory", "/v1/inventory", &inventory)
	return inventory, err
}

// Load implements Engine.
func (e *engineClient) Load(ctx context.Context) (EngineLoad, error) {
	var load EngineLoad
	err := e.readJSON(ctx, "engine load", "/v1/load", &load)
	return load, err
}

// Generate implements Engine. The stream ends with ctx.
func (e *engineClient) Generate(ctx context.Context, gen Generation) (TokenStream, error) {
	const op = "engine generate"
	body, err := json.Marshal(gen)
	if err != nil {
		return nil, e.invalid(op, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	resp, err := e.send(ctx, call{op: op, method: http.MethodPost, path: "/v1/generate", body: body})
	if err != nil {
		cancel()
		return nil, err
	}
	return newTokenStream(e.client, resp.Body, cancel), nil
}

// Cancel implements Engine.
func (e *engineClient) Cancel(ctx context.Context, requestID string) error {
	err := e.idempotentWrite(ctx, call{
		op:     "engine cancel",
		method: http.MethodDelete,
		path:   "/v1/generate/" + url.PathEscape(requestID),
	})
	if err != nil && KindOf(err) == KindNotFound {
		return nil
	}
	return err
}

// CacheEvents implements Engine.
func (e *engineClient) CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := e.readJSON(ctx, "engine cache events", "/v1/events?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

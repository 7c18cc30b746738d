package external

import (
	"context"
	"net/http"
	"net/url"
)

type objectClient struct{ *client }

// NewObjectClient returns a client of the object store. Bodies are immutable, so
// Put is idempotent and is retried like a read.
func NewObjectClient(o ClientOptions) ObjectStore {
	return &objectClient{newClient("object store", o)}
}

// objectPath escapes a key but keeps its slashes.
func objectPath(key string) string {
	return (&url.URL{Path: "/v1/objects/" + key}).EscapedPath()
}

// Put implements ObjectStore.
func (o *objectClient) Put(ctx context.Context, key string, body []byte) error {
	if body == nil {
		body = []byte{}
	}
	return o.idempotentWrite(ctx, call{op: "object put", method: http.MethodPut, path: objectPath(key), body: body})
}

// Get implements ObjectStore.
func (o *objectClient) Get(ctx context.Context, key string) ([]byte, error) {
	var body []byte
	err := o.read(ctx, func(ctx context.Context) error {
		var err error
		body, err = o.fetchBody(ctx, call{op: "object get", method: http.MethodGet, path: objectPath(key)})
		return err
	})
	return body, err
}

// List implements ObjectStore.
func (o *objectClient) List(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	err := o.readJSON(ctx, "object list", "/v1/objects?prefix="+url.QueryEscape(prefix), &keys)
	return keys, err
}

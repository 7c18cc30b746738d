package router

import (
	"context"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

const defaultCallDeadline = 30 * time.Second

// serviceCall is one call of a plain service over all of its tries.
type serviceCall struct {
	x       *exchange
	service *apiv1.Service
	path    string // with the query, below /services/NAME
	headers []*apiv1.Header
	body    []byte
	// repeatable is true when the call may be sent again after a failure.
	repeatable bool
}

// serveService serves /services/NAME/... .
func (r *Router) serveService(x *exchange) *Error {
	c, err := r.newCall(x)
	if err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	r.budget.request()
	key := x.req.Header.Get(HeaderIdempotencyKey)
	if key != "" && !c.repeatable {
		return r.serveKeyed(ctx, c, key)
	}
	a, err := r.call(ctx, c)
	if err != nil {
		return err
	}
	return a.write(x)
}

func (r *Router) newCall(x *exchange) (*serviceCall, *Error) {
	name, path := splitServicePath(x.req)
	index := r.opts.View.Load().Config
	service := index.Service(name)
	if service == nil {
		return nil, notRun(KindUnknownService, http.StatusNotFound, "name a published service as "+pathServices+"NAME/...", "no service %q", name)
	}
	x.record.Target = "services/" + name
	fallback := time.Duration(service.GetDefaultDeadlineMs()) * time.Millisecond
	if fallback == 0 {
		fallback = defaultCallDeadline
	}
	if err := x.setClassAndDeadline(index, "", fallback); err != nil {
		return nil, err
	}
	headers, err := callHeaders(x.req.Header)
	if err != nil {
		return nil, err
	}
	if !utf8.ValidString(path) {
		return nil, badRequest("percent-encode the path and the query", "the path is not UTF-8")
	}
	body, err := x.readBody()
	if err != nil {
		return nil, err
	}
	return &serviceCall{
		x:          x,
		service:    service,
		path:       path,
		headers:    headers,
		body:       body,
		repeatable: repeatable(service, x.req.Method, path),
	}, nil
}

// splitServicePath returns NAME and the rest of /services/NAME/rest?query.
func splitServicePath(req *http.Request) (name, path string) {
	below := strings.TrimPrefix(req.URL.EscapedPath(), pathServices)
	name, rest, _ := strings.Cut(below, "/")
	path = "/" + rest
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	return name, path
}

func repeatable(service *apiv1.Service, method, path string) bool {
	return slices.ContainsFunc(service.GetRepeatable(), func(c *apiv1.RepeatableCall) bool {
		return c.GetMethod() == method && underPrefix(path, c.GetPathPrefix())
	})
}

// underPrefix reports whether a path is prefix or below it: "/list" covers
// "/list", "/list/7" and "/list?x=1", not "/listing". A path with dot segments
// or encoded bytes is covered by no prefix but "/", since the service may
// resolve it to another path.
func underPrefix(path, prefix string) bool {
	plain, _, _ := strings.Cut(path, "?")
	if !strings.HasPrefix(plain, prefix) {
		return false
	}
	if prefix != "/" && (strings.Contains(plain, "/.") || strings.ContainsAny(plain, "%\\") || strings.Contains(plain, "//")) {
		return false
	}
	rest := plain[len(prefix):]
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// context ends shortly before the deadline. A call that may not be repeated
// runs on after its caller has gone, since its outcome is still worth storing
// and giving it up would not undo it.
func (c *serviceCall) context() (context.Context, context.CancelFunc) {
	if c.repeatable {
		return c.x.context()
	}
	margin := min(answerMargin, c.x.deadline.Sub(c.x.arrived)/2)
	return context.WithDeadline(context.WithoutCancel(c.x.req.Context()), c.x.deadline.Add(-margin))
}

// fingerprint tells calls apart that use the same idempotency key.
func (c *serviceCall) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.x.req.Method)
	_, _ = h.WriteString("\x00" + c.path + "\x00")
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

const ownHeaderPrefix = "Ragwortdoor-"

// callHeaders lists the headers of a caller that are passed on.
func callHeaders(h http.Header) ([]*apiv1.Header, *Error) {
	drop := connectionHeaders(h)
	var out []*apiv1.Header
	for name, values := range h {
		if slices.Contains(drop, name) {
			continue
		}
		for _, value := range values {
			if !utf8.ValidString(value) {
				return nil, badRequest("encode header values as UTF-8", "header %s is not UTF-8", name)
			}
			out = append(out, &apiv1.Header{Name: name, Value: value})
		}
	}
	slices.SortFunc(out, func(a, b *apiv1.Header) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out, nil
}

// connectionHeaders lists the headers that belong to the caller's connection.
func connectionHeaders(h http.Header) []string {
	drop := slices.Clone(hopHeaders)
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			drop = append(drop, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return drop
}

// setAnswerHeaders copies the headers of an upstream's answer.
func setAnswerHeaders(dst http.Header, headers []*apiv1.Header) {
	for _, h := range headers {
		name := textproto.CanonicalMIMEHeaderKey(h.GetName())
		if slices.Contains(hopHeaders, name) || strings.HasPrefix(name, ownHeaderPrefix) {
			continue
		}
		dst.Add(name, h.GetValue())
	}
}

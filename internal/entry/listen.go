package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// ReadyHandler returns the handler of the readiness check: 200 if ready, 503 if not.
func (p *Process) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !p.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// serveReadyAndMetrics starts to serve readiness and metrics on their own addresses, if
// the settings name them. The servers run in group until ctx is cancelled.
func (p *Process) serveReadyAndMetrics(ctx context.Context, group *errgroup.Group) error {
	if p.settings.ReadyAddr != "" {
		l, err := listen(p.settings.ReadyAddr)
		if err != nil {
			return err
		}
		group.Go(func() error { return servePattern(ctx, l, "GET "+p.deps.Dialect.ReadyPath(), p.ReadyHandler()) })
	}
	if p.settings.MetricsAddr == "" {
		return nil
	}
	l, err := listen(p.settings.MetricsAddr)
	if err != nil {
		p.deps.Log.Warn("metrics are not served", "err", err)
		return nil
	}
	group.Go(func() error { return servePattern(ctx, l, "GET /metrics", p.metrics) })
	return nil
}

// servePattern serves one pattern until ctx is cancelled.
func servePattern(ctx context.Context, l net.Listener, pattern string, handler http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle(pattern, handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // ends Serve
	defer stop()
	return serveHTTP(server, l)
}

func listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w (stop the process that holds the port)", addr, err)
	}
	return l, nil
}

func serveHTTP(server *http.Server, l net.Listener) error {
	serve := server.Serve
	if server.TLSConfig != nil {
		serve = func(l net.Listener) error { return server.ServeTLS(l, "", "") }
	}
	if err := serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

package entry

import (
	"context"
	"net/http"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortdoor/ragwortdoor/internal/listener"
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
		l, err := listener.Listen(p.settings.ReadyAddr, p.memory, nil)
		if err != nil {
			return err
		}
		group.Go(func() error { return servePattern(ctx, l, "GET "+p.deps.Dialect.ReadyPath(), p.ReadyHandler()) })
	}
	if p.settings.MetricsAddr == "" {
		return nil
	}
	l, err := listener.Listen(p.settings.MetricsAddr, p.memory, nil)
	if err != nil {
		p.deps.Log.Warn("metrics are not served", "err", err)
		return nil
	}
	group.Go(func() error { return servePattern(ctx, l, "GET /metrics", p.metrics) })
	return nil
}

// servePattern serves one pattern until ctx is cancelled.
func servePattern(ctx context.Context, l *listener.Listener, pattern string, handler http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle(pattern, handler)
	server := listener.NewServer(l, mux, nil)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // ends Serve
	defer stop()
	return server.Serve()
}

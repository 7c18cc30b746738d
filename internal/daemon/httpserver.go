package daemon

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/listener"
	"github.com/ragwortdoor/ragwortdoor/internal/memory"
	"github.com/ragwortdoor/ragwortdoor/internal/settings"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

const shutdownTimeout = 5 * time.Second

// httpServer is a bound HTTP listener with its server.
type httpServer struct{ *listener.Server }

// listenHTTP binds addr, "IP:PORT", for whose connections budget accounts; the server uses TLS if creds
// has a certificate.
func listenHTTP(addr string, creds transport.Credentials, budget *memory.Budget, handler http.Handler) (*httpServer, error) {
	l, err := listener.Listen(addr, budget, settings.ListenerTLS(creds))
	if err != nil {
		return nil, err
	}
	return &httpServer{listener.NewServer(l, handler, nil)}, nil
}

// run serves until ctx is done, then gives running requests shutdownTimeout to finish.
func (s *httpServer) run(ctx context.Context) error {
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		stopped <- s.Shutdown(shutdownCtx)
	})
	defer stop()
	if err := s.Serve(); err != nil {
		return fmt.Errorf("serve on %s: %w", s.Addr(), err)
	}
	return <-stopped
}

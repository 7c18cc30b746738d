package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/settings"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	shutdownTimeout   = 5 * time.Second
)

// httpServer is a bound HTTP listener with its server.
type httpServer struct {
	listener net.Listener
	server   *http.Server
}

// listenHTTP binds addr, "IP:PORT"; the server uses TLS if creds has a certificate.
func listenHTTP(addr string, creds transport.Credentials, handler http.Handler) (*httpServer, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w (stop the process that holds the port, or change the address in the settings)", addr, err)
	}
	return &httpServer{
		listener: listener,
		server: &http.Server{
			Handler:           handler,
			TLSConfig:         settings.ListenerTLS(creds),
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
		},
	}, nil
}

// run serves until ctx is done, then gives running requests shutdownTimeout to finish.
func (s *httpServer) run(ctx context.Context) error {
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		stopped <- s.server.Shutdown(shutdownCtx)
	})
	defer stop()
	err := s.serve()
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", s.listener.Addr(), err)
	}
	return <-stopped
}

func (s *httpServer) serve() error {
	if s.server.TLSConfig != nil {
		return s.server.ServeTLS(s.listener, "", "")
	}
	return s.server.Serve(s.listener)
}

package daemon

import (
	"context"
	"fmt"
	"net/http"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/operator"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
	"github.com/ragwortdoor/ragwortdoor/internal/settings"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

// Sidecar is the process beside one engine or plain service.
type Sidecar struct {
	cfg      *apiv1.SidecarSettings
	log      *log.Logger
	agent    *agent.Agent
	server   *transport.Server
	operator *httpServer
}

// NewSidecar binds the sidecar's addresses. The routers' address stays bound
// for the life of the process, so that two sidecars never run on one host.
func NewSidecar(cfg *apiv1.SidecarSettings, logger *log.Logger) (*Sidecar, error) {
	return newSidecar(cfg, logger, Policies{})
}

func newSidecar(cfg *apiv1.SidecarSettings, logger *log.Logger, policies Policies) (*Sidecar, error) {
	creds, err := settings.Credentials(cfg.GetSecurity())
	if err != nil {
		return nil, err
	}
	s := &Sidecar{cfg: cfg, log: logger, agent: newAgent(cfg, logger, policies)}
	s.server, err = transport.Listen(cfg.GetListen(), creds, s.agent.Handle)
	if err != nil {
		return nil, err
	}
	s.operator, err = listenHTTP(cfg.GetOperatorListen(), creds, s.operatorHandler(creds.Token))
	if err != nil {
		_ = s.server.Close()
		return nil, err
	}
	return s, nil
}

func newAgent(cfg *apiv1.SidecarSettings, logger *log.Logger, policies Policies) *agent.Agent {
	opts := agent.Options{
		Host:          cfg.GetHost(),
		EngineFences:  cfg.GetEngineFences(),
		PermitTimeout: milliseconds(cfg.GetPermitTimeoutMs()),
		Log:           logger,
	}
	if policies.KeepAlive != nil {
		opts.KeepAlive = policies.KeepAlive()
	}
	if cfg.GetEngineUrl() != "" {
		opts.Engine = external.NewEngineClient(external.ClientOptions{
			BaseURL: cfg.GetEngineUrl(),
			Budget:  retry.NewBudget(retry.DefaultShare, retry.DefaultFloor),
		})
	}
	if cfg.GetServiceUrl() != "" {
		opts.ServiceName = cfg.GetServiceName()
		opts.Service = external.NewServiceClient(external.ClientOptions{BaseURL: cfg.GetServiceUrl()})
	}
	return agent.New(opts)
}

func (s *Sidecar) operatorHandler(token []byte) http.Handler {
	v := &vars{}
	v.publish("sidecar", func() any { return s.agent.Stats() })
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", operator.Authorize(token, v))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	return mux
}

// Address is where routers reach the sidecar.
func (s *Sidecar) Address() string { return s.server.Addr() }

// Run serves until ctx is done, then takes no new work, lets running requests
// end and returns.
func (s *Sidecar) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return s.agent.Run(work) })
	g.Go(func() error { return s.server.Serve(work) })
	g.Go(func() error { return s.operator.run(work) })
	g.Go(func() error {
		defer stop()
		return drainOnStop(ctx, work, milliseconds(s.cfg.GetStopTimeoutMs()), s.agent)
	})
	s.log.Info("sidecar runs", "host", s.cfg.GetHost(), "listen", s.Address())
	return g.Wait()
}

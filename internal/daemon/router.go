// Package daemon wires the processes of the product's own interface together:
// the router, and the dev mode that runs it with stand-ins.
package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/decisionlog"
	"github.com/ragwortdoor/ragwortdoor/internal/entry"
	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/native"
	"github.com/ragwortdoor/ragwortdoor/internal/operator"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
	"github.com/ragwortdoor/ragwortdoor/internal/settings"
)

const (
	// retryFloor is the retries a second that calls of the platform may always use.
	retryFloor = 1
	// loadWindow is the time over which the weight store's rate is kept.
	loadWindow = 2 * time.Second
)

// Router is the process on an entry host.
type Router struct {
	cfg        *apiv1.RouterSettings
	log        *decisionlog.Logger
	process    *entry.Process
	deployment *native.Deployment
	operator   *httpServer
}

// clients are the router's clients of the services that it relies on.
type clients struct {
	table   external.TableService
	objects external.ObjectStore
	hosts   external.HostList
}

func newClients(cfg *apiv1.PlatformSettings) clients {
	at := func(url string) external.ClientOptions {
		return external.ClientOptions{
			BaseURL:     url,
			CallTimeout: milliseconds(cfg.GetCallTimeoutMs()),
			Budget:      retry.NewBudget(cfg.GetRetryBudget(), retryFloor),
		}
	}
	return clients{
		table:   external.NewTableClient(at(cfg.GetTableUrl())),
		objects: external.NewObjectClient(at(cfg.GetObjectUrl())),
		hosts:   external.NewHostListClient(at(cfg.GetHostListUrl())),
	}
}

// NewRouter wires a router and binds its operators' address.
func NewRouter(cfg *apiv1.RouterSettings, logger *decisionlog.Logger) (*Router, error) {
	creds, err := settings.Credentials(cfg.GetSecurity())
	if err != nil {
		return nil, err
	}
	c := newClients(cfg.GetPlatform())
	pool := exchange.NewPool(exchange.Options{IDHeader: external.HeaderRequestID})
	r := &Router{cfg: cfg, log: logger}
	r.deployment = native.NewDeployment(native.Options{
		Table:        c.table,
		Objects:      c.objects,
		Hosts:        c.hosts,
		Pool:         pool,
		PollInterval: milliseconds(cfg.GetTablePollMs()),
		MaxBodyBytes: int64(cfg.GetMaxBodyBytes()),
	})
	r.process = entry.New(coreSettings(cfg), entry.Deps{
		Dialect:          native.Dialect{Host: cfg.GetHost(), Deployment: r.deployment, MaxBodyBytes: int64(cfg.GetMaxBodyBytes())},
		Table:            c.table,
		Source:           r.deployment,
		Engines:          r.deployment,
		Pool:             pool,
		Log:              logger,
		Credentials:      creds,
		CallerTLS:        settings.ListenerTLS(creds),
		CallerMiddleware: r.callers,
	})
	peers := &http.Client{Transport: &http.Transport{TLSClientConfig: creds.Client}}
	scheme := "http"
	if creds.Client != nil {
		scheme = "https"
	}
	r.operator, err = listenHTTP(cfg.GetOperatorListen(), creds, operator.NewServer(operator.ServerOptions{
		Publisher:  config.NewPublisher(c.table, c.objects, config.PublisherOptions{Fleet: r.fleet(c.hosts), Log: logger}),
		Table:      c.table,
		Hosts:      c.hosts,
		Drained:    r.deployment.Drained,
		Self:       r.self,
		PeerHTTP:   peers,
		PeerScheme: scheme,
		Token:      creds.Token,
		Metrics:    r.process.Metrics(),
		Log:        logger,
	}))
	return r, err
}

func coreSettings(cfg *apiv1.RouterSettings) entry.Settings {
	return entry.Settings{
		Host:              cfg.GetHost(),
		FailureDomain:     cfg.GetFailureDomain(),
		CallerAddr:        cfg.GetListen(),
		PeerAddr:          cfg.GetPeerListen(),
		Cores:             cfg.GetCores(),
		StopGrace:         milliseconds(cfg.GetStopTimeoutMs()),
		DrainDelay:        milliseconds(cfg.GetStopLingerMs()),
		LeaseTime:         milliseconds(cfg.GetLeaseTtlMs()),
		EnginesCheckFence: cfg.GetEnginesCheckFences(),
		RetryShare:        cfg.GetRetryBudget(),
		LoadWindow:        loadWindow,
	}
}

// fleet is what published sets are checked against.
func (r *Router) fleet(hosts external.HostList) func() config.Fleet {
	return func() config.Fleet {
		ctx, cancel := context.WithTimeout(context.Background(), milliseconds(r.cfg.GetPlatform().GetCallTimeoutMs()))
		defer cancel()
		listing, err := hosts.Hosts(ctx)
		if err != nil {
			r.log.Warn("object set is checked without the host list", "err", err)
			return config.Fleet{}
		}
		return config.FleetOf(listing)
	}
}

// callers adds what is no request for an upstream to the callers' side.
func (r *Router) callers(front http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", front)
	mux.HandleFunc("GET /v1/models", r.models)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("GET /readyz", r.process.ReadyHandler())
	return mux
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// models lists what callers may name.
func (r *Router) models(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	if index := r.deployment.Index(); index != nil {
		for _, m := range index.Set.GetModels() {
			list.Data = append(list.Data, modelItem{ID: m.GetName(), Object: "model"})
		}
		for _, a := range index.Set.GetAdapters() {
			list.Data = append(list.Data, modelItem{ID: a.GetModel() + ":" + a.GetName(), Object: "model"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // a caller that left gets nothing
}

// self is this router's state for operators.
func (r *Router) self() operator.NodeStatus {
	return operator.NodeStatus{
		Host:           r.cfg.GetHost(),
		Role:           string(external.RoleRouter),
		FailureDomain:  r.cfg.GetFailureDomain(),
		Address:        r.cfg.GetPeerListen(),
		ConfigRevision: uint64(r.process.ConfigVersion()),
		Draining:       r.process.IsStopping(),
		Scheduler:      r.process.IsScheduling(),
	}
}

// Run serves until ctx is done, then stops gracefully.
func (r *Router) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return r.operator.run(work) })
	group.Go(func() error {
		defer stop()
		return r.process.Run(endsWith(ctx, work))
	})
	return group.Wait()
}

// endsWith returns a context that ends with either.
func endsWith(a, b context.Context) context.Context {
	ctx, cancel := context.WithCancel(a)
	context.AfterFunc(b, cancel)
	return ctx
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

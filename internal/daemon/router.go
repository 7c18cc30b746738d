// Package daemon has the command line of ragwortdoord and assembles its processes: the
// router with the native interface, and dev mode, which runs a router together with
// stand-ins for the platform and the upstreams.
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
	// minRetriesPerSecond of platform calls are allowed whatever the retry budget.
	minRetriesPerSecond = 1
	// loadWindow is the sliding window in which the weight store's load rate is bounded.
	loadWindow = 2 * time.Second
)

// Router is the router process of an entry host.
type Router struct {
	cfg        *apiv1.RouterSettings
	log        *decisionlog.Logger
	process    *entry.Process
	deployment *native.Deployment
	operator   *httpServer
}

// platformClients holds the router's clients of the platform's services.
type platformClients struct {
	table   external.TableService
	objects external.ObjectStore
	hosts   external.HostList
}

func newPlatformClients(cfg *apiv1.PlatformSettings) platformClients {
	options := func(url string) external.ClientOptions {
		return external.ClientOptions{
			BaseURL:     url,
			CallTimeout: milliseconds(cfg.GetCallTimeoutMs()),
			Budget:      retry.NewBudget(cfg.GetRetryBudget(), minRetriesPerSecond),
		}
	}
	return platformClients{
		table:   external.NewTableClient(options(cfg.GetTableUrl())),
		objects: external.NewObjectClient(options(cfg.GetObjectUrl())),
		hosts:   external.NewHostListClient(options(cfg.GetHostListUrl())),
	}
}

// NewRouter assembles a router and binds the address of its operator API; Run binds the
// others.
func NewRouter(cfg *apiv1.RouterSettings, logger *decisionlog.Logger) (*Router, error) {
	creds, err := settings.Credentials(cfg.GetSecurity())
	if err != nil {
		return nil, err
	}
	c := newPlatformClients(cfg.GetPlatform())
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
	r.process = entry.New(entrySettings(cfg), entry.Deps{
		Dialect:          native.Dialect{Host: cfg.GetHost(), Deployment: r.deployment, MaxBodyBytes: int64(cfg.GetMaxBodyBytes())},
		Table:            c.table,
		Source:           r.deployment,
		Engines:          r.deployment,
		Pool:             pool,
		Log:              logger,
		Credentials:      creds,
		CallerTLS:        settings.ListenerTLS(creds),
		CallerMiddleware: r.callerMiddleware,
	})
	peerHTTP := &http.Client{Transport: &http.Transport{TLSClientConfig: creds.Client}}
	scheme := "http"
	if creds.Client != nil {
		scheme = "https"
	}
	r.operator, err = listenHTTP(cfg.GetOperatorListen(), creds, r.process.Memory(), operator.NewServer(operator.ServerOptions{
		Publisher:  config.NewPublisher(c.table, c.objects, config.PublisherOptions{Fleet: r.fleet(c.hosts), Log: logger}),
		Table:      c.table,
		Hosts:      c.hosts,
		Drained:    r.deployment.Drained,
		Self:       r.status,
		PeerHTTP:   peerHTTP,
		PeerScheme: scheme,
		Token:      creds.Token,
		Metrics:    r.process.Metrics(),
		Log:        logger,
	}))
	return r, err
}

// entrySettings returns the part of cfg that configures package entry.
func entrySettings(cfg *apiv1.RouterSettings) entry.Settings {
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
		MemoryBytes:       int64(cfg.GetMemoryMb()) << 20,
		MaxDescriptors:    int(cfg.GetMaxDescriptors()),
	}
}

// fleet returns the function that reads the hosts against which published object sets
// are checked.
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

// callerMiddleware serves the model list, liveness and readiness on the callers'
// address and passes all other requests to next.
func (r *Router) callerMiddleware(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("GET /v1/models", r.listModels)
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

// listModels writes the models and adapters that callers may request.
func (r *Router) listModels(w http.ResponseWriter, _ *http.Request) {
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
	_ = json.NewEncoder(w).Encode(list) // fails only if the caller disconnected
}

// status returns this router's status for the operator API.
func (r *Router) status() operator.NodeStatus {
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

// Run serves until ctx is done, then stops gracefully. The operator API is served until
// the process has stopped.
func (r *Router) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serveCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error { return r.operator.run(serveCtx) })
	group.Go(func() error {
		defer stop()
		return r.process.Run(withCancelOf(ctx, serveCtx))
	})
	return group.Wait()
}

// withCancelOf returns a child of parent that is also cancelled when other is done.
func withCancelOf(parent, other context.Context) context.Context {
	ctx, cancel := context.WithCancel(parent)
	context.AfterFunc(other, cancel)
	return ctx
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

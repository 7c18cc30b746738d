// Package daemon wires the parts of each process together: router, sidecar and
// the dev mode that runs all of them with stand-ins for the platform.
package daemon

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/claim"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/decider"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/gossip"
	"github.com/ragwortdoor/ragwortdoor/internal/lease"
	"github.com/ragwortdoor/ragwortdoor/internal/operator"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
	"github.com/ragwortdoor/ragwortdoor/internal/router"
	"github.com/ragwortdoor/ragwortdoor/internal/settings"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
	"github.com/ragwortdoor/ragwortdoor/internal/upstream"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
	"github.com/ragwortdoor/ragwortdoor/internal/waitlog"
)

const (
	sessionIdle     = time.Minute
	idleSweepPeriod = 10 * time.Second
	reportPeriod    = 30 * time.Second
	inFlightDelta   = 2  // requests
	inFlightPercent = 25 // of the requests last reported
	gossipPeriod    = time.Second
	gossipFanout    = 3 // peers
	peerMemory      = 10 * time.Minute
	maxWatchedHosts = 600
	recordFlush     = 20 * time.Second
)

// Router is the process on an entry host.
type Router struct {
	cfg   *apiv1.RouterSettings
	log   *log.Logger
	creds transport.Credentials
	// policies replaces parts of the policy in load tests.
	policies Policies
	// bootID tells peers this process from earlier ones on the same host.
	bootID string

	store    *view.Store
	poller   *view.Poller
	pool     *transport.Pool
	claims   *claim.Store
	sweeper  *claim.Sweeper
	records  *waitlog.Writer
	loader   *config.Loader
	leases   *lease.Manager
	decider  *decider.Decider
	permits  *permitServer
	sidecars *upstream.Manager
	gossip   *gossip.Node
	front    *router.Router
	callers  *httpServer
	operator *httpServer
}

// clients are the router's clients of the platform.
type clients struct {
	table   external.TableService
	objects external.ObjectStore
	hosts   external.HostList
}

func newClients(cfg *apiv1.PlatformSettings) clients {
	share := cfg.GetRetryBudget()
	if share == 0 {
		share = retry.DefaultShare
	}
	at := func(url string) external.ClientOptions {
		return external.ClientOptions{
			BaseURL:     url,
			CallTimeout: milliseconds(cfg.GetCallTimeoutMs()),
			Budget:      retry.NewBudget(share, retry.DefaultFloor),
		}
	}
	return clients{
		table:   external.NewTableClient(at(cfg.GetTableUrl())),
		objects: external.NewObjectClient(at(cfg.GetObjectUrl())),
		hosts:   external.NewHostListClient(at(cfg.GetHostListUrl())),
	}
}

// NewRouter binds the router's addresses and wires its parts.
func NewRouter(cfg *apiv1.RouterSettings, logger *log.Logger) (*Router, error) {
	return newRouter(cfg, logger, Policies{})
}

func newRouter(cfg *apiv1.RouterSettings, logger *log.Logger, policies Policies) (*Router, error) {
	creds, err := settings.Credentials(cfg.GetSecurity())
	if err != nil {
		return nil, err
	}
	r := &Router{cfg: cfg, log: logger, creds: creds, policies: policies.withDefaults(), bootID: rand.Text(), store: view.NewStore()}
	platformClients := newClients(cfg.GetPlatform())
	r.wireState(platformClients)
	r.wireDecisions(platformClients)
	r.wireFront(platformClients)
	return r, r.listen(platformClients)
}

func (r *Router) wireState(c clients) {
	r.pool = transport.NewPool(r.creds, sessionIdle)
	r.loader = config.NewLoader(c.objects)
	r.poller = view.NewPoller(view.PollerOptions{
		Store:       r.store,
		Table:       c.table,
		Hosts:       c.hosts,
		LoadConfig:  r.loader.Load,
		TablePeriod: milliseconds(r.cfg.GetTablePollMs()),
		HostPeriod:  milliseconds(r.cfg.GetHostPollMs()),
		Log:         r.log,
	})
	r.records = waitlog.NewWriter(waitlog.WriterOptions{
		Objects:    c.objects,
		Router:     r.cfg.GetHost(),
		Buffer:     int(r.cfg.GetRecordBuffer()),
		LateMs:     r.cfg.GetLateMs(),
		Sample:     r.cfg.GetRecordSample(),
		FlushEvery: recordFlush,
		Log:        r.log,
	})
}

func (r *Router) wireDecisions(c clients) {
	r.leases = lease.New(lease.Options{
		Table:   c.table,
		View:    r.store,
		Holder:  r.cfg.GetHost(),
		Address: r.cfg.GetOperatorListen(),
		Names:   leaseNames(r.cfg.GetDecisionShards()),
		TTL:     milliseconds(r.cfg.GetLeaseTtlMs()),
		Log:     r.log,
		Peers:   r.liveRouters,
		Commit:  external.CommitSettled,
	})
	r.permits = &permitServer{
		leases: r.leases,
		view:   r.store,
		limits: r.policies.PermitLimits,
		log:    r.log,
		wake:   make(chan struct{}, 1),
	}
	r.sidecars = upstream.NewManager(upstream.Options{
		Router:          r.cfg.GetHost(),
		View:            r.store,
		Pool:            r.pool,
		Refresh:         r.poller.Refresh,
		Watches:         r.watches,
		Peers:           r.watchers,
		InFlightDelta:   r.policies.InFlightDelta,
		InFlightPercent: inFlightPercent,
		ReportPeriod:    r.policies.ReportPeriod,
		Permits:         r.permits,
		Log:             r.log,
	})
	r.permits.grant = r.sidecars.Grant
	r.decider = decider.New(decider.Options{
		Table:    c.table,
		View:     r.store,
		Leases:   r.leases,
		Shards:   r.cfg.GetDecisionShards(),
		Sidecars: r.sidecars,
		Silent:   r.sidecars.Silent,
		Commit:   external.CommitSettled,
		Log:      r.log,
	})
}

func leaseNames(shards uint32) []string {
	names := []string{external.PermitLease, claim.SweepLease}
	for shard := range shards {
		names = append(names, external.ShardLease(shard))
	}
	return names
}

func (r *Router) wireFront(c clients) {
	r.claims = claim.New(claim.Options{Table: c.table, Router: r.cfg.GetHost(), Log: r.log})
	r.sweeper = claim.NewSweeper(claim.SweeperOptions{Table: c.table, Leases: r.leases, Log: r.log})
	r.front = router.New(router.Options{
		Host:          r.cfg.GetHost(),
		FailureDomain: r.cfg.GetFailureDomain(),
		View:          r.store,
		Pool:          r.pool,
		Claims:        r.claims,
		Records:       r.policies.recorder(r.records),
		NoAffinity:    r.policies.NoAffinity,
		Refresh:       r.sidecars.Refresh,
		MaxBodyBytes:  int64(r.cfg.GetMaxBodyBytes()),
		RetryBudget:   r.cfg.GetRetryBudget(),
		Log:           r.log,
	})
	r.gossip = gossip.NewNode(gossip.Options{
		Listen:  r.cfg.GetGossipListen(),
		Token:   r.creds.Token,
		Period:  gossipPeriod,
		Fanout:  gossipFanout,
		Targets: r.gossipTargets,
		Message: r.gossipMessage,
		Heard:   r.heard,
		Log:     r.log,
	})
}

func (r *Router) listen(c clients) error {
	var err error
	r.callers, err = listenHTTP(r.cfg.GetListen(), r.creds, r.front.Handler())
	if err != nil {
		return err
	}
	r.operator, err = listenHTTP(r.cfg.GetOperatorListen(), r.creds, r.operatorHandler(c))
	if err != nil {
		_ = r.callers.listener.Close()
	}
	return err
}

func (r *Router) operatorHandler(c clients) http.Handler {
	return operator.NewServer(operator.ServerOptions{
		Publisher: config.NewPublisher(c.table, c.objects, config.PublisherOptions{
			Fleet:  func() config.Fleet { return config.FleetOf(r.store.Load().Hosts) },
			Commit: external.CommitSettled,
			Log:    r.log,
		}),
		Reader: waitlog.NewReader(c.objects),
		Writer: r.records,
		View:   r.store,
		Status: r,
		Table:  c.table,
		Token:  r.creds.Token,
		Log:    r.log,
		Vars:   r.vars(),
	})
}

func (r *Router) vars() http.Handler {
	v := &vars{}
	v.publish("router", func() any { return r.front.Stats() })
	v.publish("decider", func() any { return r.decider.Stats() })
	v.publish("leases", func() any { return r.leases.Stats() })
	v.publish("silent_hosts", func() any { return len(r.sidecars.Silent()) })
	v.publish("gossip", func() any { return r.gossip.Stats() })
	v.publish("config", func() any { return r.loader.Stats() })
	v.publish("records", func() any { return r.records.Stats() })
	v.publish("sessions", func() any { return r.pool.Size() })
	return v
}

// Address is where callers reach the router.
func (r *Router) Address() string { return r.callers.listener.Addr().String() }

// OperatorAddress is where operators reach the router.
func (r *Router) OperatorAddress() string { return r.operator.listener.Addr().String() }

// Run serves until ctx is done, then takes no new work, lets running requests
// end, gives its leases back and returns.
func (r *Router) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer r.pool.Close()
	g, work := errgroup.WithContext(work)
	parts := []func(context.Context) error{
		r.poller.Run, r.sidecars.Run, r.leases.Run, r.decider.Run, r.permits.run,
		r.claims.Run, r.sweeper.Run, r.writeRecords, r.front.Run, r.gossip.Run,
		r.callers.run, r.operator.run, r.sweep, r.bootstrap,
	}
	for _, run := range parts {
		g.Go(func() error { return run(work) })
	}
	g.Go(func() error {
		defer stop()
		return drainOnStop(ctx, work, milliseconds(r.cfg.GetStopTimeoutMs()), r.front)
	})
	r.log.Info("router runs", "host", r.cfg.GetHost(), "listen", r.Address(), "operator_listen", r.OperatorAddress())
	return g.Wait()
}

func (r *Router) writeRecords(ctx context.Context) error {
	r.records.Run(ctx)
	return nil
}

// sweep closes idle sessions and forgets silent peers.
func (r *Router) sweep(ctx context.Context) error {
	ticker := time.NewTicker(idleSweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			r.pool.CloseIdle(now)
			r.gossip.Peers().Forget(now.Add(-peerMemory))
		}
	}
}

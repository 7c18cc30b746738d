package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortdoor/ragwortdoor/internal/cell"
	"github.com/ragwortdoor/ragwortdoor/internal/decisionlog"
	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

const (
	sweepEvery = time.Second
	// callerIdle is how long a caller's connection may stay unused.
	callerIdle = 2 * time.Minute
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 10 * time.Second
	// stopMargin is what is left of the grace when the process ends by itself.
	stopMargin = 300 * time.Millisecond
	// stopLingerShare is the part of the grace in which a stopping process still
	// takes requests: the balancer needs some seconds to send no more.
	stopLingerShare = 0.35
	// stopQuiet is how long it goes on after that without requests.
	stopQuiet = 500 * time.Millisecond
	stopPoll  = 50 * time.Millisecond
)

// Deps are the parts that reach the platform.
type Deps struct {
	Dialect Dialect
	Table   external.TableService
	Source  fleet.Source
	Engines fleet.Engines
	Pool    *exchange.Pool
	Log     *decisionlog.Logger
	// Credentials protect the links between routers, CallerTLS the callers' side;
	// the zero values are for trusted networks.
	Credentials transport.Credentials
	CallerTLS   *tls.Config
	// CallerMiddleware wraps the handler of callers' requests; nil leaves it alone.
	CallerMiddleware func(front http.Handler) http.Handler
}

// Process is an entry process.
type Process struct {
	settings  Settings
	deps      Deps
	metrics   *Metrics
	log       *Log
	directory *fleet.Directory
	front     *Front
	scheduler *cell.Scheduler
	client    *cell.Client
	election  *cell.Election
	follower  *fleet.Follower

	seenMu sync.Mutex
	seen   map[string]string // upstream states that were logged
}

// New wires an entry process.
func New(settings Settings, deps Deps) *Process {
	p := &Process{settings: settings, deps: deps, metrics: NewMetrics(), directory: fleet.NewDirectory(), seen: make(map[string]string)}
	p.log = NewLog(deps.Log, p.metrics)
	bootID := rand.Text()
	p.scheduler = cell.NewScheduler(cell.SchedulerOptions{
		Directory:    p.directory,
		Engines:      deps.Engines,
		Host:         settings.Host,
		Cores:        settings.Cores,
		LoadWindow:   settings.LoadWindow,
		MayOrder:     func() bool { return p.election.MayOrder() },
		RenewedAgo:   func() time.Duration { return p.election.RenewedAgo() },
		LeaseVersion: func() int64 { return p.election.LeaseVersion() },
		OnFenced:     func() { p.election.ReportFenced() },
		OnSuperseded: func(address string) { p.election.ReportSuperseded(address) },
		Log:          p.log,
	})
	p.client = cell.NewClient(cell.ClientOptions{
		Host:           settings.Host,
		BootID:         bootID,
		Address:        settings.PeerAddr,
		Cores:          settings.Cores,
		Credentials:    deps.Credentials,
		Local:          p.scheduler,
		Observer:       p.log,
		OnUpstreamList: p.told,
		OnHandover:     func(offer cell.Handover) { p.election.Accept(offer) },
	})
	p.election = cell.NewElection(cell.ElectionOptions{
		Table:                 deps.Table,
		Host:                  settings.Host,
		BootID:                bootID,
		Address:               settings.PeerAddr,
		Cores:                 settings.Cores,
		LeaseTime:             settings.LeaseTime,
		EnginesCheckFence:     settings.EnginesCheckFence,
		HasActiveScheduler:    p.client.HasActiveScheduler,
		SchedulerLeaseVersion: p.client.SchedulerLeaseVersion,
		SchedulerCores:        p.client.SchedulerCores,
		OnStoreReachable:      p.client.ReportStoreReachable,
		StrongestPeerCores:    p.scheduler.StrongestPeerCores,
		HandOver:              p.scheduler.HandOver,
		OnElected:             p.elected,
		OnLost:                p.lost,
		OnHolder:              func(_, address string) { p.client.Follow(address) },
		Observer:              p.log,
	})
	p.follower = fleet.NewFollower(fleet.FollowerOptions{Source: deps.Source, Directory: p.directory, OnChange: p.changed, Observer: p.log, Peer: p.client})
	p.front = NewFront(FrontOptions{Settings: settings, Dialect: deps.Dialect, Directory: p.directory, Pool: deps.Pool, Scheduler: p.client, Log: p.log})
	return p
}

func (p *Process) elected(tenure cell.LeaseTerm) {
	p.log.Tenure(true, tenure.Fence, "lease taken")
	p.scheduler.Start(tenure)
	p.client.FollowLocal()
}

func (p *Process) lost(reason string) {
	p.log.Tenure(false, 0, reason)
	p.scheduler.Stop()
	p.client.UnfollowLocal()
}

// changed follows a change of the directory.
func (p *Process) changed() {
	p.scheduler.Refresh()
	p.logUpstreams(p.directory.Load())
}

// told takes over a list of upstreams that the scheduler has passed on. What it
// holds on to of lapsed entries is decided there.
func (p *Process) told(change fleet.Change) {
	p.directory.Merge(time.Now(), change)
	p.logUpstreams(p.directory.Load())
}

// logUpstreams logs the upstreams that came, began to leave or went.
func (p *Process) logUpstreams(snapshot *fleet.Snapshot) {
	p.seenMu.Lock()
	defer p.seenMu.Unlock()
	for id, up := range snapshot.Upstreams {
		state := "ready"
		switch {
		case up.Draining:
			state = "leaving"
		case up.Cordoned:
			state = "set aside"
		}
		if p.seen[id] != state {
			p.seen[id] = state
			p.log.UpstreamState(up, state)
		}
	}
	for id := range p.seen {
		if snapshot.Upstreams[id] == nil {
			delete(p.seen, id)
			p.log.UpstreamState(&fleet.Upstream{ID: id}, "gone")
		}
	}
}

// Run serves until ctx ends, then stops gracefully.
func (p *Process) Run(ctx context.Context) error {
	p.deps.Log.Info("start", "host", p.settings.Host, "domain", p.settings.FailureDomain, "callers", p.settings.CallerAddr, "peers", p.settings.PeerAddr)
	callers, err := listen(p.settings.CallerAddr)
	if err != nil {
		return err
	}
	peers, err := transport.Listen(p.settings.PeerAddr, p.deps.Credentials, p.scheduler.Serve)
	if err != nil {
		return err
	}
	// Background work outlives ctx: requests under way still need it.
	background, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, background := errgroup.WithContext(background)
	callerServer := &http.Server{Handler: p.callers(), TLSConfig: p.deps.CallerTLS, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle}
	group.Go(func() error { return serveHTTP(callerServer, callers) })
	group.Go(func() error { return peers.Serve(background) })
	for _, run := range []func(context.Context){p.follower.RunConfig, p.follower.RunUpstreams, p.scheduler.Run, p.client.Run, p.election.Run, p.sweep} {
		group.Go(func() error { run(background); return nil })
	}
	if err := p.serveAside(background, group); err != nil {
		end()
		return errors.Join(err, callerServer.Close(), group.Wait())
	}
	select {
	case <-ctx.Done():
		p.drain()
	case <-background.Done():
	}
	err = callerServer.Close()
	end()
	err = errors.Join(err, group.Wait())
	p.deps.Log.Info("stop", "host", p.settings.Host)
	return err
}

// drain says that the process is not ready, gives the lease up and waits for
// the requests under way. Those that are left at the end are answered: what was
// not sent is refused, of the rest nobody knows.
func (p *Process) drain() {
	began := time.Now()
	p.deps.Log.Info("stopping", "in_flight", p.front.inFlight.Load())
	p.front.stop()
	p.client.ReportDraining()
	p.election.Resign()
	deadline := began.Add(p.front.live.Load().stopGrace - stopMargin)
	quietSince := time.Now()
	for time.Now().Before(deadline) {
		time.Sleep(stopPoll)
		if p.front.inFlight.Load() > 0 {
			quietSince = time.Now()
		}
		if time.Since(began) > p.front.stopLinger() && time.Since(quietSince) > stopQuiet {
			return
		}
	}
	p.deps.Log.Warn("stopping with requests under way", "in_flight", p.front.inFlight.Load())
	p.front.end()
	time.Sleep(stopPoll)
}

func (p *Process) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.deps.Pool.Sweep()
			p.front.balancer.forget(p.directory.Load().Upstreams)
		}
	}
}

// callers is the handler of callers' requests.
func (p *Process) callers() http.Handler {
	if p.deps.CallerMiddleware == nil {
		return p.front
	}
	return p.deps.CallerMiddleware(p.front)
}

// IsReady reports whether the balancer should send requests.
func (p *Process) IsReady() bool {
	snapshot := p.directory.Load()
	return !p.front.isStopping() && snapshot.Config != nil && snapshot.UpstreamListKnown
}

// ConfigVersion is that of the configuration in force, 0 without one.
func (p *Process) ConfigVersion() int64 {
	config := p.directory.Load().Config
	if config == nil {
		return 0
	}
	return config.Version
}

// IsScheduling reports whether this router holds the scheduler's lease.
func (p *Process) IsScheduling() bool { return p.election.MayOrder() }

// IsStopping reports whether a planned stop has begun.
func (p *Process) IsStopping() bool { return p.front.isStopping() }

// Metrics serves the counters and histograms.
func (p *Process) Metrics() http.Handler { return p.metrics }

// ReadyHandler answers whether the process is ready.
func (p *Process) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !p.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// serveAside serves readiness and metrics on addresses of their own, where the
// settings name them, until ctx ends.
func (p *Process) serveAside(ctx context.Context, group *errgroup.Group) error {
	if p.settings.ReadyAddr != "" {
		l, err := listen(p.settings.ReadyAddr)
		if err != nil {
			return err
		}
		group.Go(func() error { return serveOne(ctx, l, "GET "+p.deps.Dialect.ReadyPath(), p.ReadyHandler()) })
	}
	if p.settings.MetricsAddr == "" {
		return nil
	}
	l, err := listen(p.settings.MetricsAddr)
	if err != nil {
		p.deps.Log.Warn("metrics are not served", "err", err)
		return nil
	}
	group.Go(func() error { return serveOne(ctx, l, "GET /metrics", p.metrics) })
	return nil
}

// serveOne serves one pattern until ctx ends.
func serveOne(ctx context.Context, l net.Listener, pattern string, handler http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle(pattern, handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
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
	if err := serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

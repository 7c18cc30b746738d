package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortdoor/ragwortdoor/internal/blocklist"
	"github.com/ragwortdoor/ragwortdoor/internal/cell"
	"github.com/ragwortdoor/ragwortdoor/internal/decisionlog"
	"github.com/ragwortdoor/ragwortdoor/internal/era"
	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/listener"
	"github.com/ragwortdoor/ragwortdoor/internal/memory"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
	"github.com/ragwortdoor/ragwortdoor/internal/workspace"
)

const (
	sweepInterval = time.Second
	// stopMargin is how long before the end of StopGrace the process exits by itself.
	stopMargin = 300 * time.Millisecond
	// drainDelayShare is the drain delay as a fraction of StopGrace if the settings give
	// none: the load balancer takes some seconds to stop sending requests.
	drainDelayShare = 0.35
	// drainQuietPeriod is how long, after the drain delay, no request must be in flight
	// before the process exits.
	drainQuietPeriod  = 500 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
)

// Deps are the dependencies of a Process, most of them specific to a platform.
type Deps struct {
	Dialect Dialect
	Table   external.TableService
	Source  fleet.Source
	Engines fleet.Engines
	Pool    *exchange.Pool
	Log     *decisionlog.Logger
	// Memory bounds what others make the process hold; nil for bounds by the settings.
	Memory *memory.Budget
	// Credentials secure the connections between routers, CallerTLS those of callers;
	// the zero values mean no TLS, for trusted networks.
	Credentials transport.Credentials
	CallerTLS   *tls.Config
	// CallerMiddleware wraps the handler of callers' requests; nil for none.
	CallerMiddleware func(handler http.Handler) http.Handler
}

// Process is a router process. Its exported methods are safe for concurrent use.
type Process struct {
	settings Settings
	deps     Deps
	metrics  *Metrics
	memory   *memory.Budget
	// descriptors is how many the process may have open, 0 if that is not known.
	descriptors int
	log         *Log
	directory   *fleet.Directory
	handler     *Handler
	scheduler   *cell.Scheduler
	client      *cell.Client
	election    *cell.Election
	follower    *fleet.Follower
	// blocklist has the prompt parts that crash engines, blocklistStore keeps them in
	// the platform's store.
	blocklist      *blocklist.List
	blocklistStore *cell.BlocklistStore

	loggedMu sync.Mutex
	logged   map[string]string // last logged state of each upstream
}

// New returns a process; call Run to serve.
func New(settings Settings, deps Deps) *Process {
	p := &Process{settings: settings, deps: deps, metrics: NewMetrics(), directory: fleet.NewDirectory(), logged: make(map[string]string), blocklist: &blocklist.List{}, descriptors: maxDescriptors(settings)}
	p.log = NewLog(deps.Log, p.metrics)
	hostBytes := hostMemory(settings)
	setMemoryLimit(hostBytes)
	if p.memory = deps.Memory; p.memory == nil {
		p.memory = newMemoryBudget(hostBytes, p.descriptors)
	}
	deps.Pool.SetMaxIdle(p.maxIdle)
	bootID := rand.Text()
	quotas := pace.NewAllowances(settings.Host, settings.QuotaTolerance)
	notices := &notices{pauses: &pauses{}, limits: pace.NewRouter(settings.Host), startedMs: p.startedMs, onLeaving: p.onLeaving, onLimit: func(limit pace.Limit) { p.client.ReportLimit(limit) }, log: p.log}
	p.scheduler = cell.NewScheduler(cell.SchedulerOptions{
		Directory:    p.directory,
		Engines:      considerateEngines{deps.Engines, deps.Dialect, notices},
		Host:         settings.Host,
		Cores:        settings.Cores,
		LoadWindow:   settings.LoadWindow,
		MayOrder:     func() bool { return p.election.MayOrder() },
		RenewedAgo:   func() time.Duration { return p.election.RenewedAgo() },
		LeaseVersion: func() int64 { return p.election.LeaseVersion() },
		OnFenced:     func() { p.election.ReportFenced() },
		OnSuperseded: func(address string, leaseVersion int64) { p.election.ReportSuperseded(address, leaseVersion) },
		LeaseFresh:   func() bool { return p.election.LeaseFresh() },
		OnWorkspaces: p.onRelayedWorkspaces,
		Blocklist:    p.blocklist,
		Log:          p.log,
	})
	p.metrics.quotas = p.scheduler.QuotaStates
	p.metrics.memory = p.memory.Use
	p.client = cell.NewClient(cell.ClientOptions{
		Host:           settings.Host,
		BootID:         bootID,
		Address:        settings.PeerAddr,
		Cores:          settings.Cores,
		Credentials:    deps.Credentials,
		Local:          p.scheduler,
		Observer:       p.log,
		ListVersion:    func() int64 { return p.directory.Load().ListVersion },
		OnUpstreamList: p.onRelayedUpstreams,
		Workspaces:     func() *workspace.Set { return p.directory.Load().Workspaces },
		OnWorkspaces:   p.onRelayedWorkspaces,
		OnHandover:     func(offer cell.Handover) { p.election.Accept(offer) },
		Blocklist:      p.blocklist,
		Limits:         notices.limits,
		Quotas:         quotas,
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
		SchedulerRenewal:      p.client.SchedulerRenewal,
		SchedulerCores:        p.client.SchedulerCores,
		OnStoreReachable:      p.client.ReportStoreReachable,
		StrongestPeerCores:    p.scheduler.StrongestPeerCores,
		HandOver:              p.scheduler.HandOver,
		OnElected:             p.onElected,
		OnLost:                p.onLost,
		OnHolder:              func(_, address string, leaseVersion int64) { p.client.Follow(address, leaseVersion) },
		Observer:              p.log,
	})
	p.follower = fleet.NewFollower(fleet.FollowerOptions{Source: deps.Source, Directory: p.directory, OnChange: p.onDirectoryChange, Observer: p.log, Peer: p.client})
	p.blocklistStore = cell.NewBlocklistStore(cell.BlocklistStoreOptions{
		Table:              deps.Table,
		List:               p.blocklist,
		Fence:              p.scheduler.Fence,
		HasActiveScheduler: p.client.HasActiveScheduler,
		StoreEra:           func() int64 { return era.Of(p.election.LeaseVersion()) },
		OnRead:             p.onBlocklistRead,
		OnFailed:           p.log.BlocklistCallFailed,
	})
	p.handler = NewHandler(HandlerOptions{Settings: settings, Dialect: deps.Dialect, Directory: p.directory, Pool: deps.Pool, Scheduler: p.client, Notices: notices, Quotas: quotas, Blocklist: p.blocklist, Log: p.log})
	return p
}

func (p *Process) onElected(term cell.LeaseTerm) {
	p.log.SchedulingChanged(true, term.Fence, "lease taken")
	p.scheduler.Start(term)
	p.client.FollowLocal(p.election.LeaseVersion())
}

func (p *Process) onLost(reason string) {
	p.log.SchedulingChanged(false, 0, reason)
	p.scheduler.Stop()
	p.client.UnfollowLocal()
}

// onBlocklistRead adds the blocked prompts that the store has.
func (p *Process) onBlocklistRead(entries map[string][]blocklist.Entry) {
	p.blocklist.Merge(entries)
	p.scheduler.AdoptBlocked(entries)
}

// onDirectoryChange is called after the follower changed the directory.
func (p *Process) onDirectoryChange() {
	p.scheduler.Refresh()
	p.onWorkspaces()
	p.logUpstreams(p.directory.Load())
}

// onRelayedWorkspaces takes in the workspaces that another router has read.
func (p *Process) onRelayedWorkspaces(set *workspace.Set) {
	if !p.directory.SetWorkspaces(set) {
		return
	}
	p.log.WorkspacesRelayed(set.Version, len(set.All()))
	p.onWorkspaces()
	p.scheduler.Refresh()
}

// onWorkspaces is called after the workspaces of the directory may have changed.
func (p *Process) onWorkspaces() {
	p.handler.keyWaits.recheck()
	p.handler.quotas.SetQuotas(time.Now(), cell.Quotas(p.directory.Load().Workspaces))
}

// onRelayedUpstreams merges the upstream list that the scheduler relayed. The scheduler
// decides which expired registrations are retained.
func (p *Process) onRelayedUpstreams(change fleet.Change) {
	p.directory.Merge(time.Now(), change)
	p.logUpstreams(p.directory.Load())
}

// startedMs returns the start time of an upstream's incarnation, 0 if it is not known.
func (p *Process) startedMs(upstreamID string) int64 {
	if up := p.directory.Load().Upstreams[upstreamID]; up != nil {
		return up.StartedMs
	}
	return 0
}

// onLeaving is called when an upstream says in a response that it is about to leave. The
// platform's list may not tell for seconds.
func (p *Process) onLeaving(upstreamID, requestID string) {
	up, changed := p.directory.MarkLeaving(time.Now(), upstreamID, 0)
	if !changed {
		return
	}
	p.log.UpstreamLeaving(upstreamID, requestID)
	p.onDirectoryChange()
	var startedMs int64
	if up != nil {
		startedMs = up.StartedMs
	}
	p.client.ReportUpstreamLeaving(upstreamID, startedMs)
}

// logUpstreams logs the upstreams whose state changed since the last call.
func (p *Process) logUpstreams(snapshot *fleet.Snapshot) {
	p.loggedMu.Lock()
	defer p.loggedMu.Unlock()
	for id, up := range snapshot.Upstreams {
		state := "ready"
		switch {
		case up.Draining:
			state = "leaving"
		case up.Cordoned:
			state = "set aside"
		}
		if p.logged[id] != state {
			p.logged[id] = state
			p.log.UpstreamState(up, state)
		}
	}
	for id := range p.logged {
		if snapshot.Upstreams[id] == nil {
			delete(p.logged, id)
			p.log.UpstreamState(&fleet.Upstream{ID: id}, "gone")
		}
	}
}

// Run serves until ctx is cancelled, then drains and returns. It returns an error if an
// address can't be used or a server fails.
func (p *Process) Run(ctx context.Context) error {
	p.deps.Log.Info("start", "host", p.settings.Host, "domain", p.settings.FailureDomain, "callers", p.settings.CallerAddr, "peers", p.settings.PeerAddr)
	callers, err := listener.Listen(p.settings.CallerAddr, p.memory, p.deps.CallerTLS)
	if err != nil {
		return err
	}
	refusal, err := headRefusal(p.deps.Dialect)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	peers, err := transport.Listen(p.settings.PeerAddr, p.deps.Credentials, p.memory, p.scheduler.Serve)
	if err != nil {
		return err
	}
	// Background work continues after ctx is cancelled: requests in flight need it.
	background, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, background := errgroup.WithContext(background)
	callerServer := newCallerServer(callers, p.callerHandler(), refusal)
	group.Go(callerServer.Serve)
	group.Go(func() error { return peers.Serve(background) })
	for _, run := range []func(context.Context){p.follower.RunConfig, p.follower.RunUpstreams, p.scheduler.Run, p.client.Run, p.election.Run, p.blocklistStore.Run, p.sweep, p.returnQuotas} {
		group.Go(func() error { run(background); return nil })
	}
	if err := p.serveReadyAndMetrics(background, group); err != nil {
		end()
		return errors.Join(err, callerServer.close(time.Now()), group.Wait())
	}
	select {
	case <-ctx.Done():
		p.drain()
	case <-background.Done():
	}
	err = callerServer.close(p.closeDeadline())
	end()
	err = errors.Join(err, group.Wait())
	p.deps.Log.Info("stop", "host", p.settings.Host)
	return err
}

// drain makes the process unready, resigns from the lease and waits for the requests in
// flight. Those that are left at the end get an error response: they are refused if they
// were not sent; for the others it is unknown whether they ran.
func (p *Process) drain() {
	began := time.Now()
	p.deps.Log.Info("stopping", "in_flight", p.handler.inFlight.Load())
	p.handler.stop()
	p.client.ReportDraining()
	p.election.Resign()
	quietSince := time.Now()
	for time.Since(began) < p.handler.reloadable.Load().stopGrace-stopMargin {
		time.Sleep(drainPollInterval)
		if p.handler.inFlight.Load() > 0 {
			quietSince = time.Now()
		}
		if time.Since(began) > p.handler.drainDelay() && time.Since(quietSince) > drainQuietPeriod {
			return
		}
	}
	p.deps.Log.Warn("stopping with requests under way", "in_flight", p.handler.inFlight.Load())
	p.handler.abort()
	time.Sleep(drainPollInterval)
}

func (p *Process) sweep(ctx context.Context) {
	var logged memory.Use
	every(ctx, sweepInterval, func() {
		if use := p.memory.Use(); use.Evicted != logged.Evicted || use.Refused != logged.Refused {
			p.log.MadeRoom(use.Evicted-logged.Evicted, use.Refused-logged.Refused, use)
			logged = use
		}
		p.deps.Pool.Sweep()
		p.handler.pauses.prune()
		p.handler.budgets.setRouters(p.client.Routers())
		p.handler.notices.limits.Prune(time.Now())
		p.handler.balancer.prune(p.directory.Load().Upstreams)
	})
}

// every calls a function at intervals until ctx is done.
func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// callerHandler returns the handler of callers' requests.
func (p *Process) callerHandler() http.Handler {
	if p.deps.CallerMiddleware == nil {
		return p.handler
	}
	return p.deps.CallerMiddleware(p.handler)
}

// IsReady reports whether the load balancer should send requests.
func (p *Process) IsReady() bool {
	snapshot := p.directory.Load()
	return !p.handler.isStopping() && snapshot.Config != nil && snapshot.UpstreamListKnown
}

// ConfigVersion returns the version of the configuration in force, 0 without one.
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
func (p *Process) IsStopping() bool { return p.handler.isStopping() }

// Memory returns what accounts for what others make the process hold.
func (p *Process) Memory() *memory.Budget { return p.memory }

// Metrics returns the handler that serves the counters and histograms.
func (p *Process) Metrics() http.Handler { return p.metrics }

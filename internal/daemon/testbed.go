package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/permit"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

const (
	loadTestRouters = 2
	stopLimit       = 10 * time.Second
	settlePoll      = 50 * time.Millisecond
	settleLimit     = 30 * time.Second
	// settledFor is how long the slots must be complete before the load starts.
	// A new permit allocator reaches its full limit within it.
	settledFor = permit.DefaultHandover + time.Second
)

// testbed is a deployment with several routers in one process, on free ports of
// the loopback interface.
type testbed struct {
	shape    sample.Shape
	policies Policies
	log      *log.Logger
	cluster  *standin.Cluster
	hosts    []external.Host
	routers  []*Router
	sidecars map[string]*Sidecar // by host
	running  sync.WaitGroup
	// stops ends each process, by host.
	stops map[string]context.CancelFunc
	fail  context.CancelCauseFunc

	mu      sync.Mutex
	records map[string]*apiv1.WaitRecord // by request id
}

// startTestbed runs a deployment until stop is called. The returned context
// ends when one of its processes fails.
func startTestbed(ctx context.Context, shape sample.Shape, policies Policies, knobs standin.EngineKnobs, logger *log.Logger) (*testbed, context.Context, error) {
	b := &testbed{
		shape:    shape,
		policies: policies,
		log:      logger,
		sidecars: make(map[string]*Sidecar),
		stops:    make(map[string]context.CancelFunc),
		records:  make(map[string]*apiv1.WaitRecord),
	}
	b.policies.Record = b.record
	ctx, b.fail = context.WithCancelCause(ctx)
	if err := b.startStandins(knobs); err != nil {
		return nil, ctx, err
	}
	if err := b.startProcesses(ctx); err != nil {
		b.stop()
		return nil, ctx, err
	}
	// The set comes last, so that slots are decided with knowledge of what the
	// hosts have cached.
	if err := b.await(ctx, 0, b.reported); err != nil {
		return b, ctx, err
	}
	if err := publishSample(ctx, b.cluster, shape); err != nil {
		return b, ctx, err
	}
	return b, ctx, b.await(ctx, settledFor, b.assigned)
}

func (b *testbed) startStandins(knobs standin.EngineKnobs) error {
	opts := clusterOptions(b.shape, 0)
	opts.TableAddress, opts.ObjectAddress, opts.WeightAddress, opts.HostListAddress = "", "", "", ""
	for i := range opts.Engines {
		opts.Engines[i].Address = ""
		opts.Engines[i].Knobs = knobs
		opts.Engines[i].Cached = cachedAt(b.shape, i)
	}
	for i := range opts.Services {
		opts.Services[i].Address = ""
	}
	var err error
	b.cluster, err = standin.Start(context.Background(), opts)
	return err
}

// cachedAt gives a third of the models a checkpoint in the memory of one host,
// a third one on its disk, and leaves the others to the weight store.
func cachedAt(shape sample.Shape, engine int) []external.CachedCheckpoint {
	var cached []external.CachedCheckpoint
	for i, v := range shape.Set().GetVersions() {
		if i%shape.Engines != engine {
			continue
		}
		switch i % 3 {
		case 1:
			cached = append(cached, external.CachedCheckpoint{Checkpoint: v.GetCheckpoint(), Tier: external.TierDisk})
		case 2:
			cached = append(cached, external.CachedCheckpoint{Checkpoint: v.GetCheckpoint(), Tier: external.TierMemory})
		}
	}
	return cached
}

// startProcesses adds the hosts to the list and runs their processes.
func (b *testbed) startProcesses(ctx context.Context) error {
	b.hosts = devHosts(b.shape, 0)
	for i := 1; i < loadTestRouters; i++ {
		router := b.hosts[0]
		router.ID = fmt.Sprintf("router-%d", i+1)
		b.hosts = append(b.hosts, router)
	}
	ports, err := freePorts(2 * len(b.hosts))
	if err != nil {
		return err
	}
	for i := range b.hosts {
		b.hosts[i].Address = loopback(ports[2*i])
		b.hosts[i].OperatorAddress = loopback(ports[2*i+1])
		b.cluster.Hosts.Add(b.hosts[i])
	}
	upstreams := 0
	for _, h := range b.hosts {
		if h.Role == external.RoleRouter {
			err = b.startRouter(h)
		} else {
			err = b.startSidecar(h, upstreams)
			upstreams++
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (b *testbed) startRouter(h external.Host) error {
	callers, err := freePorts(1)
	if err != nil {
		return err
	}
	cfg, err := devRouterSettings(b.cluster, h, loopback(callers[0]))
	if err != nil {
		return err
	}
	router, err := newRouter(cfg, b.log.With("process", h.ID), b.policies)
	if err != nil {
		return err
	}
	b.routers = append(b.routers, router)
	b.run(h.ID, router.Run)
	return nil
}

func (b *testbed) startSidecar(h external.Host, i int) error {
	cfg, err := devSidecarSettings(b.cluster, h, i)
	if err != nil {
		return err
	}
	sidecar, err := newSidecar(cfg, b.log.With("process", h.ID), b.policies)
	if err != nil {
		return err
	}
	b.sidecars[h.ID] = sidecar
	b.run(h.ID, sidecar.Run)
	return nil
}

func (b *testbed) run(host string, process func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	b.stops[host] = stop
	b.running.Go(func() {
		if err := process(ctx); err != nil && ctx.Err() == nil {
			b.fail(fmt.Errorf("%s: %w", host, err))
		}
	})
}

// await waits until ready has been true for some time.
func (b *testbed) await(ctx context.Context, lasting time.Duration, ready func() bool) error {
	deadline := time.Now().Add(settleLimit)
	since := time.Time{}
	for time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case now := <-time.After(settlePoll):
			switch {
			case !ready():
				since = time.Time{}
				continue
			case since.IsZero():
				since = now
			}
			if now.Sub(since) >= lasting {
				return nil
			}
		}
	}
	return fmt.Errorf("deployment %s is not ready after %v (run it with --log-level info)", b.shape.Name, settleLimit)
}

// reported tells whether each router has a load report of each upstream host.
func (b *testbed) reported() bool {
	for _, r := range b.routers {
		for _, h := range b.hosts {
			if h.Role == external.RoleUpstream && r.store.Report(h.ID) == nil {
				return false
			}
		}
	}
	return true
}

// assigned tells whether each router knows a slot of each model.
func (b *testbed) assigned() bool {
	for _, r := range b.routers {
		snap := r.store.Load()
		if snap.Config == nil {
			return false
		}
		for _, m := range snap.Config.Set.GetModels() {
			if len(snap.Slots[m.GetName()]) == 0 {
				return false
			}
		}
	}
	return true
}

// stop ends the routers, then the sidecars, then the stand-ins.
func (b *testbed) stop() {
	for _, r := range b.routers {
		b.stops[r.cfg.GetHost()]()
	}
	for _, stop := range b.stops {
		stop()
	}
	done := make(chan struct{})
	go func() {
		b.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(stopLimit):
		b.log.Warn("processes still run", "after", stopLimit)
	}
	b.cluster.Close()
}

func (b *testbed) routerURLs() []string {
	var urls []string
	for _, r := range b.routers {
		urls = append(urls, "http://"+r.Address())
	}
	return urls
}

func (b *testbed) record(record *apiv1.WaitRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records[record.GetRequestId()] = record
}

func (b *testbed) cold(requestID string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.records[requestID].GetColdStart()
}

// killEngineHost ends an engine, its sidecar and its entry in the host list,
// all at once and without a drain.
func (b *testbed) killEngineHost(i int) {
	host := b.cluster.Engines[i].Host()
	b.cluster.Engines[i].Close()
	_ = b.sidecars[host].server.Close()
	b.stops[host]()
	b.cluster.Hosts.Drop(host)
}

// freePorts returns ports of the loopback interface that were free.
func freePorts(n int) ([]int, error) {
	ports := make([]int, n)
	for i := range ports {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer func() { _ = listener.Close() }()
		_, port, _ := net.SplitHostPort(listener.Addr().String())
		ports[i], err = strconv.Atoi(port)
		if err != nil {
			return nil, fmt.Errorf("port of %s: %w", listener.Addr(), err)
		}
	}
	return ports, nil
}

// newLoadClient makes a client that opens as many connections as it needs.
func newLoadClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
}

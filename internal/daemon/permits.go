package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/lease"
	"github.com/ragwortdoor/ragwortdoor/internal/permit"
	"github.com/ragwortdoor/ragwortdoor/internal/platform"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

const (
	permitTick       = 20 * time.Millisecond  // while requests wait
	permitIdleTick   = 500 * time.Millisecond // to notice that the lease came or went
	permitAgeStep    = 2 * time.Second
	permitExpiry     = 2 * time.Minute
	permitLostExpiry = 30 * time.Second
	permitHandover   = 5 * time.Second

	defaultParallelLoads  = 4
	defaultLoadsPerSecond = 2.0
)

// permitDesk runs the weight store's permit keeper while this router holds its
// lease. It implements upstream.Permits.
type permitDesk struct {
	leases *lease.Manager
	view   *view.Store
	// limits replaces those of the deployment unless nil.
	limits *permit.Limits
	grant  func(host string, permit *apiv1.LoadPermit)
	log    *log.Logger
	wake   chan struct{} // a request came or a load ended

	mu     sync.Mutex
	keeper *permit.Keeper // nil while another router keeps; guarded by mu
}

// Request implements upstream.Permits.
func (d *permitDesk) Request(host string, req *apiv1.PermitRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.keeper == nil {
		return false
	}
	defer d.wakeUp()
	now := time.Now()
	if req.GetDone() {
		d.keeper.Done(host, req.GetId())
		return true
	}
	d.keeper.Request(now, permit.Request{Host: host, ID: req.GetId(), Model: req.GetModel(), Priority: req.GetPriority()})
	return true
}

// Lost implements upstream.Permits.
func (d *permitDesk) Lost(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.keeper != nil {
		d.keeper.Lost(time.Now(), host)
	}
}

func (d *permitDesk) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run grants permits until ctx is done.
func (d *permitDesk) run(ctx context.Context) error {
	timer := time.NewTimer(permitIdleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
		case <-timer.C:
		}
		grants, waiting := d.tick(time.Now())
		for _, g := range grants {
			d.log.Info("weight-store permit granted", "host", g.Host, "id", g.ID, "behind", g.Behind)
			d.grant(g.Host, &apiv1.LoadPermit{Id: g.ID, Behind: g.Behind})
		}
		timer.Reset(nextTick(waiting))
	}
}

func nextTick(waiting bool) time.Duration {
	if waiting {
		return permitTick
	}
	return permitIdleTick
}

// tick starts or stops keeping with the lease. It returns the grants that are
// due and whether further requests wait.
func (d *permitDesk) tick(now time.Time) (grants []permit.Grant, waiting bool) {
	_, held := d.leases.Guard(platform.PermitLease)
	limits := permitLimits(d.view.Load())
	if d.limits != nil {
		limits = *d.limits
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !held {
		d.keeper = nil
		return nil, false
	}
	if d.keeper == nil {
		d.keeper = permit.NewKeeper(now, permit.Options{
			Limits:     limits,
			AgeStep:    permitAgeStep,
			Expiry:     permitExpiry,
			LostExpiry: permitLostExpiry,
			Handover:   permitHandover,
		})
	}
	d.keeper.SetLimits(now, limits)
	grants = d.keeper.Tick(now)
	return grants, d.keeper.Waiting() > 0
}

func permitLimits(snap *view.Snapshot) permit.Limits {
	limits := permit.Limits{Parallel: defaultParallelLoads, PerSecond: defaultLoadsPerSecond}
	if snap.Config == nil {
		return limits
	}
	deployment := snap.Config.Set.GetDeployment()
	if n := deployment.GetWeightStoreParallelLoads(); n > 0 {
		limits.Parallel = int(n)
	}
	if rate := deployment.GetWeightStoreLoadsPerSecond(); rate > 0 {
		limits.PerSecond = rate
	}
	return limits
}

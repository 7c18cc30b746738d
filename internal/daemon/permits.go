package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/lease"
	"github.com/ragwortdoor/ragwortdoor/internal/permit"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

const (
	permitTick     = 20 * time.Millisecond  // while requests wait
	permitIdleTick = 500 * time.Millisecond // to notice that the lease came or went

	defaultParallelLoads  = 4
	defaultLoadsPerSecond = 2.0
)

// permitServer runs the weight store's permit allocator while this router holds its
// lease. It implements upstream.Permits.
type permitServer struct {
	leases *lease.Manager
	view   *view.Store
	// limits replaces those of the deployment unless nil.
	limits *permit.Limits
	grant  func(host string, permit *apiv1.LoadPermit)
	log    *log.Logger
	wake   chan struct{} // a request came or a load ended

	mu        sync.Mutex
	allocator *permit.Allocator // nil while another router allocates; guarded by mu
}

// Request implements upstream.Permits.
func (s *permitServer) Request(host string, req *apiv1.PermitRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator == nil {
		return false
	}
	defer s.wakeUp()
	now := time.Now()
	if req.GetDone() {
		s.allocator.Done(host, req.GetId())
		return true
	}
	s.allocator.Request(now, permit.Request{Host: host, ID: req.GetId(), Model: req.GetModel(), Priority: req.GetPriority()})
	return true
}

// Lost implements upstream.Permits.
func (s *permitServer) Lost(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator != nil {
		s.allocator.Lost(time.Now(), host)
	}
}

func (s *permitServer) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run grants permits until ctx is done.
func (s *permitServer) run(ctx context.Context) error {
	timer := time.NewTimer(permitIdleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-timer.C:
		}
		grants, waiting := s.tick(time.Now())
		for _, g := range grants {
			s.log.Info("weight-store permit granted", "host", g.Host, "id", g.ID, "behind", g.Behind)
			s.grant(g.Host, &apiv1.LoadPermit{Id: g.ID, Behind: g.Behind})
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

// tick starts or stops allocating with the lease. It returns the grants that are
// due and whether further requests wait.
func (s *permitServer) tick(now time.Time) (grants []permit.Grant, waiting bool) {
	_, held := s.leases.Guard(external.PermitLease)
	limits := permitLimits(s.view.Load())
	if s.limits != nil {
		limits = *s.limits
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !held {
		s.allocator = nil
		return nil, false
	}
	if s.allocator == nil {
		s.allocator = permit.NewAllocator(now, permit.DefaultOptions(limits))
	}
	s.allocator.SetLimits(now, limits)
	grants = s.allocator.Tick(now)
	return grants, s.allocator.Waiting() > 0
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

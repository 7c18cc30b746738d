package planner

import (
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/ledger"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// newShare is the weight of the newest value in a moving average.
const newShare = 0.3

// average is an exponentially weighted moving average of durations.
type average struct {
	value time.Duration
	known bool
}

func (a *average) add(d time.Duration) {
	if !a.known {
		a.value = d
		a.known = true
		return
	}
	a.value += time.Duration(newShare * float64(d-a.value))
}

// get returns 0 while nothing is known.
func (a *average) get() time.Duration { return a.value }

// source is a model read from one tier.
type source struct {
	model string
	tier  external.Tier
}

// estimates are learned from the host's own orders.
type estimates struct {
	// loads holds the load time of each model from each tier.
	loads map[source]*average
	// perMiB holds the load time for each MiB from each tier, for models that
	// were not loaded from it yet.
	perMiB  map[external.Tier]*average
	adapter average
	permit  average
	unload  average
	run     average
}

func newEstimates() estimates {
	return estimates{
		loads:  make(map[source]*average),
		perMiB: make(map[external.Tier]*average),
	}
}

func (e *estimates) addLoad(model string, tier external.Tier, mib uint32, took time.Duration) {
	from := source{model: model, tier: tier}
	if e.loads[from] == nil {
		e.loads[from] = &average{}
	}
	e.loads[from].add(took)
	if mib == 0 {
		return
	}
	if e.perMiB[tier] == nil {
		e.perMiB[tier] = &average{}
	}
	e.perMiB[tier].add(took / time.Duration(mib))
}

// load returns 0 while nothing was loaded from the tier.
func (e *estimates) load(model string, tier external.Tier, mib uint32) time.Duration {
	if known := e.loads[source{model: model, tier: tier}]; known != nil {
		return known.get()
	}
	if rate := e.perMiB[tier]; rate != nil {
		return rate.get() * time.Duration(mib)
	}
	return 0
}

func (p *Planner) tierOf(checkpoint string) external.Tier {
	if tier, ok := p.cached[checkpoint]; ok {
		return tier
	}
	return external.TierRemote
}

// loadTime estimates a load of the replica's slot; 0 when nothing is known.
func (p *Planner) loadTime(r *replica) time.Duration {
	spec := p.specToLoad(r)
	if spec == nil {
		return 0
	}
	return p.estimates.load(r.model, p.tierOf(spec.GetCheckpoint()), spec.GetMemoryMib())
}

func (p *Planner) loadTimeOr(r *replica, fallback time.Duration) time.Duration {
	if known := p.loadTime(r); known > 0 {
		return known
	}
	return fallback
}

func (p *Planner) specToLoad(r *replica) *apiv1.SlotSpec {
	if r.spec != nil {
		return r.spec
	}
	return p.gate.ForModel(r.model)
}

// modelReadyIn estimates when the replica could serve; 0 when it could at once
// or nothing is known.
func (p *Planner) modelReadyIn(now time.Time, r *replica) time.Duration {
	switch p.state(r) {
	case ledger.Ready:
		if p.mustGo(r) == "" {
			return 0
		}
		return p.estimates.unload.get() + p.loadTime(r)
	case ledger.Loading:
		return p.remainingLoad(now, r)
	case ledger.Unsettled:
		return 0
	default:
		return p.pendingLoad(now, r)
	}
}

func (p *Planner) remainingLoad(now time.Time, r *replica) time.Duration {
	if r.load == nil {
		return 0
	}
	whole := p.estimates.load(r.model, r.load.tier, r.load.spec.GetMemoryMib())
	return max(0, whole-now.Sub(r.load.run.begin))
}

func (p *Planner) pendingLoad(now time.Time, r *replica) time.Duration {
	wait := p.loadTime(r) + max(0, r.retryAt.Sub(now))
	spec := p.specToLoad(r)
	remote := spec != nil && p.tierOf(spec.GetCheckpoint()) == external.TierRemote
	if remote && (r.load == nil || r.load.permit != permitGranted) {
		wait += p.estimates.permit.get()
	}
	return wait
}

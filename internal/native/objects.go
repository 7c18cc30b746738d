package native

import (
	"math"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

const (
	// Speeds of loads in MiB/s, for estimates: an accelerator's link, a local
	// disk and a shared store.
	memorySpeed = 8 << 10
	diskSpeed   = 2 << 10
	remoteSpeed = 1 << 10
	// lookEvery is the pace of looking at a load, whose time is such an estimate.
	lookEvery = 150 * time.Millisecond
	// idleKeepAlive is the keep-alive of a model while a cold start and an idle
	// accelerator weigh the same; letters/1.md has gaps of minutes.
	idleKeepAlive = time.Minute
	minKeepAlive  = 5 * time.Second
	maxKeepAlive  = time.Hour
	// kvTokens is a guess of the prompt tokens that an engine keeps; affinity
	// rests on it.
	kvTokens = 1 << 20
	// attempts bounds the upstreams that one request is sent to.
	attempts = 3
	// maxPriority is the highest priority of a class.
	maxPriority = 1000
)

// coreConfig translates an object set.
func coreConfig(index *config.Index, maxBodyBytes int64) *fleet.Config {
	services := make(map[string]fleet.Service)
	var routes []fleet.Route
	for _, pool := range pools(index.Set) {
		name := enginePool(pool)
		services[name] = fleet.Service{Name: name, Engine: engineSpec(index, pool)}
		routes = append(routes, fleet.Route{
			Name:      name,
			Prefix:    poolPath(pool),
			Repeat:    fleet.Repeatable,
			Stream:    true,
			Resumable: true,
			Attempts:  attempts,
			Targets:   []fleet.Target{{Service: name, Weight: 1}},
		})
	}
	for _, service := range index.Set.GetServices() {
		name := plainService(service.GetName())
		services[name] = fleet.Service{Name: name}
		routes = append(routes, fleet.Route{
			Name:     name,
			Prefix:   servicePath(service.GetName()),
			Attempts: attempts,
			Targets:  []fleet.Target{{Service: name, Weight: 1}},
		})
	}
	return fleet.NewConfig(int64(index.Revision), routes, services, fleet.Limits{BodyBytes: maxBodyBytes})
}

// poolPath and servicePath are where the core looks routes up.
func poolPath(pool string) string { return "/pools/" + pool + "/" }

func servicePath(name string) string { return pathServices + name + "/" }

func pools(set *apiv1.ObjectSet) []string {
	var names []string
	seen := make(map[string]bool)
	for _, p := range set.GetPlacements() {
		if !seen[p.GetPool()] {
			seen[p.GetPool()] = true
			names = append(names, p.GetPool())
		}
	}
	return names
}

// engineSpec describes the engines of a pool and the models that they may hold.
// A version of a model is a model of the core, so that two versions can be held
// side by side while one replaces the other.
func engineSpec(index *config.Index, pool string) *fleet.EngineSpec {
	deployment := index.Set.GetDeployment()
	spec := &fleet.EngineSpec{
		MemoryMB:             math.MaxInt32, // each host tells its own
		AdapterSlots:         math.MaxInt32,
		KVTokens:             kvTokens,
		RemoteLoadsPerSecond: deployment.GetWeightStoreLoadsPerSecond(),
		ParallelRemoteLoads:  int(deployment.GetWeightStoreParallelLoads()),
		ParallelAdapterLoads: int(deployment.GetAdapterParallelLoads()),
		KeepAlive:            keepAlive(deployment),
		LoadPollInterval:     lookEvery,
		Models:               make(map[string]fleet.Model),
	}
	for _, model := range index.Set.GetModels() {
		placement := index.Placement(model.GetPlacement())
		if placement.GetPool() != pool {
			continue
		}
		spec.Slots = max(spec.Slots, int(placement.GetEngineSlots()))
		entry := modelSpec(index.Version(model.GetVersion()), placement)
		entry.MaxQueue = int(model.GetMaxQueue())
		entry.AdapterMB = largestAdapter(index.Set, model.GetName())
		entry.KeepAlive = spec.KeepAlive
		if ms := model.GetKeepAliveMs(); ms > 0 {
			entry.KeepAlive = milliseconds(ms)
		}
		spec.Models[entry.Name] = entry
	}
	return spec
}

func modelSpec(version *apiv1.Version, placement *apiv1.Placement) fleet.Model {
	size := version.GetMemoryMib()
	return fleet.Model{
		Name:           version.GetName(),
		MemoryMB:       int64(size),
		RemoteLoad:     loadTime(size, remoteSpeed),
		DiskLoad:       loadTime(size, diskSpeed),
		MemoryLoad:     loadTime(size, memorySpeed),
		MaxReplicas:    int(placement.GetMaxReplicas()),
		FailureDomains: placement.GetFailureDomains(),
	}
}

func loadTime(sizeMiB uint32, speed float64) time.Duration {
	return time.Duration(float64(sizeMiB) / speed * float64(time.Second))
}

// largestAdapter is what one adapter of a model takes at most, in MiB.
func largestAdapter(set *apiv1.ObjectSet, model string) int64 {
	var largest int64
	for _, adapter := range set.GetAdapters() {
		if adapter.GetModel() == model {
			largest = max(largest, int64(adapter.GetMemoryMib()))
		}
	}
	return largest
}

// keepAlive weighs a cold start against an idle accelerator.
func keepAlive(deployment *apiv1.Deployment) time.Duration {
	cold, idle := deployment.GetColdStartWeight(), deployment.GetIdleWeight()
	switch {
	case idle <= 0:
		return maxKeepAlive
	case cold <= 0:
		return minKeepAlive
	}
	return min(maxKeepAlive, max(minKeepAlive, time.Duration(cold/idle*float64(idleKeepAlive))))
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

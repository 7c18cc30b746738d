package native

import (
	"math"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

const (
	// Load speeds for estimates: over the accelerator's link from memory, from
	// the local disk and from the shared weight store.
	memoryLoadMiBPerSecond = 8 << 10
	diskLoadMiBPerSecond   = 2 << 10
	remoteLoadMiBPerSecond = 1 << 10
	// loadPollInterval is the interval between polls of a load, whose duration is only
	// estimated.
	loadPollInterval = 150 * time.Millisecond
	// balancedKeepAlive is the keep-alive of a model when the weights of a cold
	// start and of an idle accelerator are equal. Requests for one model can be
	// minutes apart.
	balancedKeepAlive = time.Minute
	minKeepAlive      = 5 * time.Second
	maxKeepAlive      = time.Hour
	// kvCacheTokens is a rough estimate of the prompt tokens that an engine caches;
	// the prefix affinity of placements depends on it.
	kvCacheTokens = 1 << 20
	// maxAttempts limits the number of upstreams that one request is sent to.
	maxAttempts = 3
	// maxPriority is the highest priority of a class.
	maxPriority = 1000
)

// fleetConfig translates an object set into the configuration of the core.
func fleetConfig(index *config.Index, maxBodyBytes int64) *fleet.Config {
	services := make(map[string]fleet.Service)
	var routes []fleet.Route
	for _, pool := range poolNames(index.Set) {
		name := enginePoolName(pool)
		services[name] = fleet.Service{Name: name, Engine: engineSpec(index, pool)}
		routes = append(routes, fleet.Route{
			Name:      name,
			Prefix:    poolPath(pool),
			Repeat:    fleet.Repeatable,
			Stream:    true,
			Resumable: true,
			Attempts:  maxAttempts,
			Targets:   []fleet.Target{{Service: name, Weight: 1}},
		})
	}
	for _, service := range index.Set.GetServices() {
		name := plainServiceName(service.GetName())
		services[name] = fleet.Service{Name: name}
		routes = append(routes, fleet.Route{
			Name:     name,
			Prefix:   servicePath(service.GetName()),
			Attempts: maxAttempts,
			Targets:  []fleet.Target{{Service: name, Weight: 1}},
		})
	}
	return fleet.NewConfig(int64(index.Revision), routes, services, fleet.Limits{BodyBytes: maxBodyBytes})
}

// poolPath and servicePath are the path prefixes under which the core finds routes.
func poolPath(pool string) string { return "/pools/" + pool + "/" }

func servicePath(name string) string { return pathServices + name + "/" }

func poolNames(set *apiv1.ObjectSet) []string {
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

// engineSpec describes the engines of a pool and the models that they may load.
// Each version of a model is a separate model of the core, so that two versions
// can be loaded side by side while one replaces the other.
func engineSpec(index *config.Index, pool string) *fleet.EngineSpec {
	deployment := index.Set.GetDeployment()
	spec := &fleet.EngineSpec{
		MemoryMB:             math.MaxInt32, // no limit here: the host list has the memory of each host
		AdapterSlots:         math.MaxInt32,
		KVTokens:             kvCacheTokens,
		RemoteLoadsPerSecond: deployment.GetWeightStoreLoadsPerSecond(),
		ParallelRemoteLoads:  int(deployment.GetWeightStoreParallelLoads()),
		ParallelAdapterLoads: int(deployment.GetAdapterParallelLoads()),
		KeepAlive:            keepAlive(deployment),
		LoadPollInterval:     loadPollInterval,
		Models:               make(map[string]fleet.Model),
	}
	for _, model := range index.Set.GetModels() {
		placement := index.Placement(model.GetPlacement())
		if placement.GetPool() != pool {
			continue
		}
		spec.Slots = max(spec.Slots, int(placement.GetEngineSlots()))
		coreModel := modelSpec(index.Version(model.GetVersion()), placement)
		coreModel.MaxQueue = int(model.GetMaxQueue())
		coreModel.AdapterMB = largestAdapter(index.Set, model.GetName())
		coreModel.KeepAlive = spec.KeepAlive
		if ms := model.GetKeepAliveMs(); ms > 0 {
			coreModel.KeepAlive = milliseconds(ms)
		}
		spec.Models[coreModel.Name] = coreModel
	}
	return spec
}

func modelSpec(version *apiv1.Version, placement *apiv1.Placement) fleet.Model {
	size := version.GetMemoryMib()
	return fleet.Model{
		Name:           version.GetName(),
		MemoryMB:       int64(size),
		RemoteLoad:     estimateLoadTime(size, remoteLoadMiBPerSecond),
		DiskLoad:       estimateLoadTime(size, diskLoadMiBPerSecond),
		MemoryLoad:     estimateLoadTime(size, memoryLoadMiBPerSecond),
		MaxReplicas:    int(placement.GetMaxReplicas()),
		FailureDomains: placement.GetFailureDomains(),
	}
}

func estimateLoadTime(sizeMiB uint32, speed float64) time.Duration {
	return time.Duration(float64(sizeMiB) / speed * float64(time.Second))
}

// largestAdapter returns the memory of the largest adapter of a model, in MiB.
func largestAdapter(set *apiv1.ObjectSet, model string) int64 {
	var largest int64
	for _, adapter := range set.GetAdapters() {
		if adapter.GetModel() == model {
			largest = max(largest, int64(adapter.GetMemoryMib()))
		}
	}
	return largest
}

// keepAlive scales balancedKeepAlive by the ratio of the weight of a cold start to
// the weight of an idle accelerator.
func keepAlive(deployment *apiv1.Deployment) time.Duration {
	cold, idle := deployment.GetColdStartWeight(), deployment.GetIdleWeight()
	switch {
	case idle <= 0:
		return maxKeepAlive
	case cold <= 0:
		return minKeepAlive
	}
	return min(maxKeepAlive, max(minKeepAlive, time.Duration(cold/idle*float64(balancedKeepAlive))))
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

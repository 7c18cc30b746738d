package config

import (
	"fmt"
	"strings"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

func (c *checker) deployment(d *apiv1.Deployment) {
	o := object{c, KindDeployment}
	if d == nil {
		o.add("", "missing", "add a deployment with its name, weights and weight-store limits")
		return
	}
	o.required("name", d.GetName(), "name the deployment")
	o.weight("cold_start_weight", d.GetColdStartWeight())
	o.weight("idle_weight", d.GetIdleWeight())
	rate := d.GetWeightStoreLoadsPerSecond()
	if !(rate > 0 && rate <= maxLoadsPerSecond) {
		o.add("weight_store_loads_per_second", fmt.Sprintf("%g is out of range", rate), "set the loads per second that the weight store takes, above 0")
	}
	o.within("weight_store_parallel_loads", d.GetWeightStoreParallelLoads(), 1, maxParallelLoads)
	o.within("adapter_parallel_loads", d.GetAdapterParallelLoads(), 1, maxParallelLoads)
}

func (c *checker) model(i int, m *apiv1.Model) {
	o := c.named(KindModels, "", m.GetName(), i)
	version := c.index.Version(m.GetVersion())
	o.refers("version", KindVersions, m.GetVersion(), version != nil)
	if version != nil && version.GetModel() != m.GetName() {
		o.add("version", fmt.Sprintf("%q belongs to model %q", m.GetVersion(), version.GetModel()), "name a version of this model")
	}
	placement := c.index.Placement(m.GetPlacement())
	o.refers("placement", KindPlacements, m.GetPlacement(), placement != nil)
	o.refers("priority_class", KindPriorityClasses, m.GetPriorityClass(), c.index.PriorityClass(m.GetPriorityClass()) != nil)
	o.within("max_queue", m.GetMaxQueue(), 1, maxQueue)
	o.within("keep_alive_ms", m.GetKeepAliveMs(), 0, maxKeepAliveMs)
	if version != nil && placement != nil {
		o.fits("version", placement.GetPool(), uint64(version.GetMemoryMib()), "the version")
	}
}

// fits checks that memory fits the largest host of a pool, if it is known.
func (o object) fits(field, poolName string, memoryMiB uint64, what string) {
	pool, known := o.c.fleet.Pools[poolName]
	if !known || pool.MaxMemoryMiB == 0 || memoryMiB <= uint64(pool.MaxMemoryMiB) {
		return
	}
	o.add(field, fmt.Sprintf("%s takes %d MiB, but the largest host of pool %q has %d MiB", what, memoryMiB, poolName, pool.MaxMemoryMiB),
		"choose a smaller one or a pool with larger hosts")
}

func (c *checker) version(i int, v *apiv1.Version) {
	o := c.named(KindVersions, "", v.GetName(), i)
	o.refers("model", KindModels, v.GetModel(), c.known.has(KindModels, v.GetModel()))
	o.required("checkpoint", v.GetCheckpoint(), "name its key in the weight store")
	o.within("memory_mib", v.GetMemoryMib(), 1, maxMemoryMiB)
}

// maxMemoryMiB keeps sums of memory far from an overflow of uint32.
const maxMemoryMiB = 1 << 30

func (c *checker) adapter(i int, a *apiv1.Adapter) {
	o := c.named(KindAdapters, a.GetModel(), a.GetName(), i)
	o.refers("model", KindModels, a.GetModel(), c.known.has(KindModels, a.GetModel()))
	o.required("checkpoint", a.GetCheckpoint(), "name its key in the weight store")
	o.within("memory_mib", a.GetMemoryMib(), 1, maxMemoryMiB)
	model := c.index.Model(a.GetModel())
	version := c.index.Version(model.GetVersion())
	placement := c.index.Placement(model.GetPlacement())
	if version != nil && placement != nil {
		memory := uint64(version.GetMemoryMib()) + uint64(a.GetMemoryMib())
		o.fits("memory_mib", placement.GetPool(), memory, "the adapter with its model")
	}
}

func (c *checker) placement(i int, p *apiv1.Placement) {
	o := c.named(KindPlacements, "", p.GetName(), i)
	o.required("pool", p.GetPool(), "name a pool of upstream hosts")
	o.within("max_replicas", p.GetMaxReplicas(), 1, maxReplicas)
	o.within("engine_slots", p.GetEngineSlots(), 1, maxEngineSlots)
	seen := make(map[string]bool)
	for _, domain := range p.GetFailureDomains() {
		o.required("failure_domains", domain, "remove the empty entry")
		if seen[domain] {
			o.add("failure_domains", fmt.Sprintf("%q is listed twice", domain), "keep one of the two")
		}
		seen[domain] = true
	}
}

func (c *checker) priorityClass(i int, p *apiv1.PriorityClass) {
	o := c.named(KindPriorityClasses, "", p.GetName(), i)
	o.within("priority", p.GetPriority(), 0, maxPriority)
	o.within("default_deadline_ms", p.GetDefaultDeadlineMs(), 1, maxDeadlineMs)
	o.within("ageing_ms", p.GetAgeingMs(), 1, maxAgeingMs)
}

// methods are the HTTP methods that a repeatable call may name.
var methods = []string{"GET", "HEAD", "PUT", "POST", "PATCH", "DELETE", "OPTIONS"}

func (c *checker) service(i int, s *apiv1.Service) {
	o := c.named(KindServices, "", s.GetName(), i)
	o.required("pool", s.GetPool(), "name a pool of upstream hosts")
	o.within("default_deadline_ms", s.GetDefaultDeadlineMs(), 1, maxDeadlineMs)
	seen := make(map[string]bool)
	for j, call := range s.GetRepeatable() {
		field := fmt.Sprintf("repeatable[%d]", j)
		o.repeatable(field, call)
		key := call.GetMethod() + " " + call.GetPathPrefix()
		if seen[key] {
			o.add(field, fmt.Sprintf("%q is listed twice", key), "keep one of the two")
		}
		seen[key] = true
	}
}

func (o object) repeatable(field string, call *apiv1.RepeatableCall) {
	method, path := call.GetMethod(), call.GetPathPrefix()
	known := false
	for _, m := range methods {
		known = known || m == method
	}
	if !known {
		o.add(field+".method", fmt.Sprintf("%q is no method", method), "choose one of "+strings.Join(methods, ", "))
	}
	if !strings.HasPrefix(path, "/") {
		o.add(field+".path_prefix", fmt.Sprintf("%q does not start with /", path), "write the path below /services/NAME, for example \"/lists\"")
	}
	if strings.ContainsAny(path, "?#") || strings.Contains(path, "..") {
		o.add(field+".path_prefix", fmt.Sprintf("%q holds a query, a fragment or \"..\"", path), "write a plain path")
	}
}

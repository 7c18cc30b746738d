package config

import (
	"fmt"
	"strings"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

func (c *checker) checkDeployment(d *apiv1.Deployment) {
	o := objectChecker{c, KindDeployment}
	if d == nil {
		o.add("", "missing", "add a deployment with its name, weights and weight-store limits")
		return
	}
	o.checkRequired("name", d.GetName(), "name the deployment")
	o.checkWeight("cold_start_weight", d.GetColdStartWeight())
	o.checkWeight("idle_weight", d.GetIdleWeight())
	rate := d.GetWeightStoreLoadsPerSecond()
	if !(rate > 0 && rate <= maxLoadsPerSecond) {
		o.add("weight_store_loads_per_second", fmt.Sprintf("%g is out of range", rate), "set the loads per second that the weight store supports, above 0")
	}
	o.checkRange("weight_store_parallel_loads", d.GetWeightStoreParallelLoads(), 1, maxParallelLoads)
	o.checkRange("adapter_parallel_loads", d.GetAdapterParallelLoads(), 1, maxParallelLoads)
}

func (c *checker) checkModel(i int, m *apiv1.Model) {
	o := c.checkName(KindModels, "", m.GetName(), i)
	version := c.index.Version(m.GetVersion())
	o.checkReference("version", KindVersions, m.GetVersion(), version != nil)
	if version != nil && version.GetModel() != m.GetName() {
		o.add("version", fmt.Sprintf("%q belongs to model %q", m.GetVersion(), version.GetModel()), "name a version of this model")
	}
	placement := c.index.Placement(m.GetPlacement())
	o.checkReference("placement", KindPlacements, m.GetPlacement(), placement != nil)
	o.checkReference("priority_class", KindPriorityClasses, m.GetPriorityClass(), c.index.PriorityClass(m.GetPriorityClass()) != nil)
	o.checkRange("max_queue", m.GetMaxQueue(), 1, maxQueue)
	o.checkRange("keep_alive_ms", m.GetKeepAliveMs(), 0, maxKeepAliveMs)
	if version != nil && placement != nil {
		o.checkMemory("version", placement.GetPool(), uint64(version.GetMemoryMib()), "the version")
	}
}

// checkMemory checks that memoryMiB fits on the largest host of a pool. It passes
// if the size of that host is unknown.
func (o objectChecker) checkMemory(field, poolName string, memoryMiB uint64, subject string) {
	pool, known := o.c.fleet.Pools[poolName]
	if !known || pool.MaxMemoryMiB == 0 || memoryMiB <= uint64(pool.MaxMemoryMiB) {
		return
	}
	o.add(field, fmt.Sprintf("%s takes %d MiB, but the largest host of pool %q has %d MiB", subject, memoryMiB, poolName, pool.MaxMemoryMiB),
		"choose a smaller one or a pool with larger hosts")
}

func (c *checker) checkVersion(i int, v *apiv1.Version) {
	o := c.checkName(KindVersions, "", v.GetName(), i)
	o.checkReference("model", KindModels, v.GetModel(), c.known.has(KindModels, v.GetModel()))
	o.checkRequired("checkpoint", v.GetCheckpoint(), "name its key in the weight store")
	o.checkRange("memory_mib", v.GetMemoryMib(), 1, maxMemoryMiB)
}

// maxMemoryMiB limits each memory size so that sums do not overflow uint32.
const maxMemoryMiB = 1 << 30

func (c *checker) checkAdapter(i int, a *apiv1.Adapter) {
	o := c.checkName(KindAdapters, a.GetModel(), a.GetName(), i)
	o.checkReference("model", KindModels, a.GetModel(), c.known.has(KindModels, a.GetModel()))
	o.checkRequired("checkpoint", a.GetCheckpoint(), "name its key in the weight store")
	o.checkRange("memory_mib", a.GetMemoryMib(), 1, maxMemoryMiB)
	model := c.index.Model(a.GetModel())
	version := c.index.Version(model.GetVersion())
	placement := c.index.Placement(model.GetPlacement())
	if version != nil && placement != nil {
		memory := uint64(version.GetMemoryMib()) + uint64(a.GetMemoryMib())
		o.checkMemory("memory_mib", placement.GetPool(), memory, "the adapter with its model")
	}
}

func (c *checker) checkPlacement(i int, p *apiv1.Placement) {
	o := c.checkName(KindPlacements, "", p.GetName(), i)
	o.checkRequired("pool", p.GetPool(), "name a pool of upstream hosts")
	o.checkRange("max_replicas", p.GetMaxReplicas(), 1, maxReplicas)
	o.checkRange("engine_slots", p.GetEngineSlots(), 1, maxEngineSlots)
	seen := make(map[string]bool)
	for _, domain := range p.GetFailureDomains() {
		o.checkRequired("failure_domains", domain, "remove the empty entry")
		if seen[domain] {
			o.add("failure_domains", fmt.Sprintf("%q is listed twice", domain), "keep one of the two")
		}
		seen[domain] = true
	}
}

func (c *checker) checkPriorityClass(i int, p *apiv1.PriorityClass) {
	o := c.checkName(KindPriorityClasses, "", p.GetName(), i)
	o.checkRange("priority", p.GetPriority(), 0, maxPriority)
	o.checkRange("default_deadline_ms", p.GetDefaultDeadlineMs(), 1, maxDeadlineMs)
	o.checkRange("ageing_ms", p.GetAgeingMs(), 1, maxAgeingMs)
}

// httpMethods lists the methods that a repeatable call may have.
var httpMethods = []string{"GET", "HEAD", "PUT", "POST", "PATCH", "DELETE", "OPTIONS"}

func (c *checker) checkService(i int, s *apiv1.Service) {
	o := c.checkName(KindServices, "", s.GetName(), i)
	o.checkRequired("pool", s.GetPool(), "name a pool of upstream hosts")
	o.checkRange("default_deadline_ms", s.GetDefaultDeadlineMs(), 1, maxDeadlineMs)
	seen := make(map[string]bool)
	for j, call := range s.GetRepeatable() {
		field := fmt.Sprintf("repeatable[%d]", j)
		o.checkRepeatable(field, call)
		key := call.GetMethod() + " " + call.GetPathPrefix()
		if seen[key] {
			o.add(field, fmt.Sprintf("%q is listed twice", key), "keep one of the two")
		}
		seen[key] = true
	}
}

func (o objectChecker) checkRepeatable(field string, call *apiv1.RepeatableCall) {
	method, path := call.GetMethod(), call.GetPathPrefix()
	known := false
	for _, m := range httpMethods {
		known = known || m == method
	}
	if !known {
		o.add(field+".method", fmt.Sprintf("%q is not a supported method", method), "choose one of "+strings.Join(httpMethods, ", "))
	}
	if !strings.HasPrefix(path, "/") {
		o.add(field+".path_prefix", fmt.Sprintf("%q does not start with /", path), "write the path below /services/NAME, for example \"/lists\"")
	}
	if strings.ContainsAny(path, "?#") || strings.Contains(path, "..") {
		o.add(field+".path_prefix", fmt.Sprintf("%q contains a query, a fragment or \"..\"", path), "write a plain path")
	}
}

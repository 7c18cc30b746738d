package config

import (
	"fmt"
	"slices"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Warnings returns problems that do not prevent publication but that an operator
// should know about.
func Warnings(set *apiv1.ObjectSet, fleet Fleet) Problems {
	c := newChecker(set, fleet)
	used := make(map[string]bool)
	for _, m := range set.GetModels() {
		used[m.GetVersion()] = true
	}
	for i, p := range set.GetPlacements() {
		c.warnPlacement(i, p)
	}
	for i, v := range set.GetVersions() {
		if !used[v.GetName()] {
			o := objectChecker{c, objectLabel(KindVersions, v.GetName(), i)}
			o.add("", "no model serves this version", "name it in its model, or remove it")
		}
	}
	for i, s := range set.GetServices() {
		o := objectChecker{c, objectLabel(KindServices, s.GetName(), i)}
		o.warnPool(s.GetPool())
	}
	return c.problems
}

func (c *checker) warnPlacement(i int, p *apiv1.Placement) {
	o := objectChecker{c, objectLabel(KindPlacements, p.GetName(), i)}
	if p.GetMaxReplicas() == 1 {
		o.add("max_replicas", "the model is unavailable while the only engine that has it loaded accepts no new requests or does not respond",
			"set max_replicas to 2 or more if that is not acceptable")
	}
	if !o.warnPool(p.GetPool()) {
		return
	}
	for _, domain := range p.GetFailureDomains() {
		if !slices.Contains(c.fleet.Pools[p.GetPool()].FailureDomains, domain) {
			o.add("failure_domains", fmt.Sprintf("the host list names no host of pool %q in %q", p.GetPool(), domain),
				"check the spelling, or add hosts there")
		}
	}
}

// warnPool reports whether the host list contains the pool. If not, it adds a
// warning, unless the host list is missing or empty.
func (o objectChecker) warnPool(pool string) bool {
	if _, known := o.c.fleet.Pools[pool]; known {
		return true
	}
	if len(o.c.fleet.Pools) > 0 {
		o.add("pool", fmt.Sprintf("the host list names no host of pool %q", pool), "check the spelling, or add hosts")
	}
	return false
}

package config

import (
	"fmt"
	"math"
	"regexp"
	"strings"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Bounds of the limits that are checked.
const (
	maxQueue          = 1_000_000
	maxReplicas       = 1024
	maxEngineSlots    = 100_000
	maxPriority       = 1000
	maxKeepAliveMs    = 7 * 24 * 3_600_000
	maxDeadlineMs     = 24 * 3_600_000
	maxAgeingMs       = 3_600_000
	maxParallelLoads  = 100_000
	maxLoadsPerSecond = 100_000
)

// objectName is what names may look like: they become parts of row keys, of
// paths and of "MODEL:ADAPTER".
var objectName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

const nameRemedy = "use up to 128 letters, digits, dots, dashes and underscores, without \":\" or \"/\""

// Check returns all faults of a set. Without any, the set can be published.
func Check(set *apiv1.ObjectSet, fleet Fleet) Problems {
	c := newChecker(set, fleet)
	c.deployment(set.GetDeployment())
	for i, m := range set.GetModels() {
		c.model(i, m)
	}
	c.aliases(set)
	for i, v := range set.GetVersions() {
		c.version(i, v)
	}
	for i, a := range set.GetAdapters() {
		c.adapter(i, a)
	}
	for i, p := range set.GetPlacements() {
		c.placement(i, p)
	}
	for i, p := range set.GetPriorityClasses() {
		c.priorityClass(i, p)
	}
	for i, s := range set.GetServices() {
		c.service(i, s)
	}
	return c.faults
}

// checker collects the faults of one set.
type checker struct {
	fleet  Fleet
	index  *Index
	names  map[nameKey]bool
	known  knownNames
	faults Problems
}

// nameKey is a name that must be unique. The scope of an adapter is its model.
type nameKey struct{ kind, scope, name string }

func newChecker(set *apiv1.ObjectSet, fleet Fleet) *checker {
	return &checker{
		fleet: fleet,
		index: indexFirst(set),
		names: make(map[nameKey]bool),
		known: newKnownNames(set),
	}
}

// object adds the faults of one object.
type object struct {
	c     *checker
	label string
}

func (o object) add(field, problem, remedy string) {
	o.c.faults = append(o.c.faults, Problem{Object: o.label, Field: field, Problem: problem, Remedy: remedy})
}

// named starts the check of an object and checks its name.
func (c *checker) named(kind, scope, name string, index int) object {
	label := name
	if scope != "" && name != "" {
		label = scope + ":" + name
	}
	o := object{c, objectLabel(kind, label, index)}
	key := nameKey{kind, scope, name}
	switch {
	case name == "":
		o.add("name", "missing", "give the object a name")
	case !objectName.MatchString(name):
		o.add("name", fmt.Sprintf("%q is no valid name", name), nameRemedy)
	case c.names[key]:
		o.add("name", "given to two objects", "rename or remove one of them")
	}
	c.names[key] = true
	return o
}

// required checks that a text is set.
func (o object) required(field, value, remedy string) {
	if strings.TrimSpace(value) == "" {
		o.add(field, "missing", remedy)
	}
}

// within checks the bounds of a whole number.
func (o object) within(field string, value, low, high uint32) {
	if value < low || value > high {
		o.add(field, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("choose a number from %d to %d", low, high))
	}
}

// refers checks that a name resolves.
func (o object) refers(field, kind, name string, found bool) {
	if found {
		return
	}
	if name == "" {
		o.add(field, "missing", "name one of the set's "+kind)
		return
	}
	remedy := fmt.Sprintf("add it to %s or name another", kind)
	if near := o.c.known.nearest(kind, name); near != "" {
		remedy = fmt.Sprintf("did you mean %q? Otherwise %s", near, remedy)
	}
	o.add(field, fmt.Sprintf("%q is not in the set's %s", name, kind), remedy)
}

// weight checks a weight of a trade-off.
func (o object) weight(field string, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		o.add(field, fmt.Sprintf("%g is no weight", value), "choose a number of at least 0")
	}
}

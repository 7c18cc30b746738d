package config

import (
	"fmt"
	"math"
	"regexp"
	"strings"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Upper bounds of the numbers in an object set; the lower bounds stand at the checks.
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

// objectNamePattern matches valid object names. Names become parts of row keys,
// of URL paths and of "MODEL:ADAPTER", so they contain neither ":" nor "/".
var objectNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

const nameRemedy = "use up to 128 letters, digits, dots, dashes and underscores, without \":\" or \"/\""

// Check returns all problems of a set. A set without problems can be published.
func Check(set *apiv1.ObjectSet, fleet Fleet) Problems {
	c := newChecker(set, fleet)
	c.checkDeployment(set.GetDeployment())
	for i, m := range set.GetModels() {
		c.checkModel(i, m)
	}
	c.checkAliases(set)
	for i, v := range set.GetVersions() {
		c.checkVersion(i, v)
	}
	for i, a := range set.GetAdapters() {
		c.checkAdapter(i, a)
	}
	for i, p := range set.GetPlacements() {
		c.checkPlacement(i, p)
	}
	for i, p := range set.GetPriorityClasses() {
		c.checkPriorityClass(i, p)
	}
	for i, s := range set.GetServices() {
		c.checkService(i, s)
	}
	return c.problems
}

// checker collects the problems of one set.
type checker struct {
	fleet     Fleet
	index     *Index
	seenNames map[nameKey]bool
	known     knownNames
	problems  Problems
}

// nameKey identifies an object; two objects must not share one. The scope of an
// adapter is its model and is empty for the other kinds.
type nameKey struct{ kind, scope, name string }

func newChecker(set *apiv1.ObjectSet, fleet Fleet) *checker {
	return &checker{
		fleet:     fleet,
		index:     indexWithoutAliases(set),
		seenNames: make(map[nameKey]bool),
		known:     newKnownNames(set),
	}
}

// objectChecker reports the problems of one object.
type objectChecker struct {
	c     *checker
	label string
}

func (o objectChecker) add(field, problem, remedy string) {
	o.c.problems = append(o.c.problems, Problem{Object: o.label, Field: field, Problem: problem, Remedy: remedy})
}

// checkName checks the name of an object and returns the checker of its other
// fields.
func (c *checker) checkName(kind, scope, name string, index int) objectChecker {
	label := name
	if scope != "" && name != "" {
		label = scope + ":" + name
	}
	o := objectChecker{c, objectLabel(kind, label, index)}
	key := nameKey{kind, scope, name}
	switch {
	case name == "":
		o.add("name", "missing", "give the object a name")
	case !objectNamePattern.MatchString(name):
		o.add("name", fmt.Sprintf("%q is not a valid name", name), nameRemedy)
	case c.seenNames[key]:
		o.add("name", "given to two objects", "rename or remove one of them")
	}
	c.seenNames[key] = true
	return o
}

// checkRequired checks that value is not blank.
func (o objectChecker) checkRequired(field, value, remedy string) {
	if strings.TrimSpace(value) == "" {
		o.add(field, "missing", remedy)
	}
}

// checkRange checks that low <= value <= high.
func (o objectChecker) checkRange(field string, value, low, high uint32) {
	if value < low || value > high {
		o.add(field, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("choose a number from %d to %d", low, high))
	}
}

// checkReference reports a reference that found no object. Kind and name are those
// of the referenced object.
func (o objectChecker) checkReference(field, kind, name string, found bool) {
	if found {
		return
	}
	if name == "" {
		o.add(field, "missing", "name one of the set's "+kind)
		return
	}
	remedy := fmt.Sprintf("add it to %s or name another", kind)
	if suggestion := o.c.known.nearest(kind, name); suggestion != "" {
		remedy = fmt.Sprintf("did you mean %q? Otherwise %s", suggestion, remedy)
	}
	o.add(field, fmt.Sprintf("%q is not in the set's %s", name, kind), remedy)
}

// checkWeight checks that a cost weight is finite and not negative.
func (o objectChecker) checkWeight(field string, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		o.add(field, fmt.Sprintf("%g is not a valid weight", value), "choose a number of at least 0")
	}
}

package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/strictjson"
)

// knownNames holds the names of the objects in a set, without aliases.
type knownNames struct {
	byKind map[string]map[string]bool
	// suggestions caches the results of nearest: many objects may name the same
	// missing one.
	suggestions map[nameKey]string
}

func newKnownNames(set *apiv1.ObjectSet) knownNames {
	known := knownNames{byKind: make(map[string]map[string]bool), suggestions: make(map[nameKey]string)}
	for _, o := range Objects(set) {
		if known.byKind[o.Kind] == nil {
			known.byKind[o.Kind] = make(map[string]bool)
		}
		known.byKind[o.Kind][o.Name] = true
	}
	return known
}

func (k knownNames) has(kind, name string) bool { return name != "" && k.byKind[kind][name] }

// nearest returns the known name most similar to an unknown one, or "".
func (k knownNames) nearest(kind, name string) string {
	key := nameKey{kind: kind, name: name}
	suggestion, cached := k.suggestions[key]
	if !cached {
		suggestion = strictjson.Nearest(name, slices.Sorted(maps.Keys(k.byKind[kind])))
		k.suggestions[key] = suggestion
	}
	return suggestion
}

// indexWithoutAliases indexes a set without its aliases. An alias equal to the
// name of a model would otherwise hide that model from the checks.
func indexWithoutAliases(set *apiv1.ObjectSet) *Index {
	withoutAliases := &apiv1.ObjectSet{
		Versions:        set.GetVersions(),
		Adapters:        set.GetAdapters(),
		Placements:      set.GetPlacements(),
		PriorityClasses: set.GetPriorityClasses(),
		Services:        set.GetServices(),
	}
	for _, m := range set.GetModels() {
		withoutAliases.Models = append(withoutAliases.Models, &apiv1.Model{
			Name:      m.GetName(),
			Version:   m.GetVersion(),
			Placement: m.GetPlacement(),
		})
	}
	return NewIndex(0, withoutAliases)
}

// checkAliases checks that each alias belongs to one model and is not itself the
// name of a model.
func (c *checker) checkAliases(set *apiv1.ObjectSet) {
	graph := newAliasGraph(set)
	for i, m := range set.GetModels() {
		o := objectChecker{c, objectLabel(KindModels, m.GetName(), i)}
		seen := make(map[string]bool)
		for _, alias := range m.GetAliases() {
			o.checkAlias(m.GetName(), alias, graph, seen[alias])
			seen[alias] = true
		}
	}
}

// aliasGraph relates models and aliases, also invalid ones.
type aliasGraph struct {
	// owners maps an alias to the models that list it, in the order of the set.
	owners map[string][]string
	// aliasesOf maps the name of a model to its aliases.
	aliasesOf map[string][]string
}

func newAliasGraph(set *apiv1.ObjectSet) aliasGraph {
	g := aliasGraph{owners: make(map[string][]string), aliasesOf: make(map[string][]string)}
	for _, m := range set.GetModels() {
		for _, alias := range m.GetAliases() {
			g.aliasesOf[m.GetName()] = append(g.aliasesOf[m.GetName()], alias)
			if !slices.Contains(g.owners[alias], m.GetName()) {
				g.owners[alias] = append(g.owners[alias], m.GetName())
			}
		}
	}
	return g
}

// cycle follows an alias of a model to the models that have it as their name, and
// on to their aliases. It returns the path back to the model, or nil.
func (g aliasGraph) cycle(model, alias string) []string {
	return findPath(alias, model, g.aliasesOf, []string{model}, make(map[string]bool))
}

func (o objectChecker) checkAlias(model, alias string, graph aliasGraph, repeated bool) {
	const field = "aliases"
	owners := graph.owners[alias]
	switch {
	case !objectNamePattern.MatchString(alias):
		o.add(field, fmt.Sprintf("%q is not a valid name", alias), nameRemedy)
	case repeated:
		o.add(field, fmt.Sprintf("%q is listed twice", alias), "keep one of the two")
	case alias == model:
		o.add(field, fmt.Sprintf("%q is the model's own name", alias), "remove the alias")
	case graph.cycle(model, alias) != nil:
		o.add(field, "cycle of aliases: "+strings.Join(graph.cycle(model, alias), " -> "), "remove one alias of the cycle")
	case o.c.known.has(KindModels, alias):
		o.add(field, fmt.Sprintf("%q is the name of another model", alias), "remove the alias or rename that model")
	case len(owners) > 1:
		o.add(field, fmt.Sprintf("%q is an alias of %s", alias, strings.Join(owners, " and ")), "keep it at one model")
	}
}

// findPath searches depth-first for a path from one name to another along aliases.
// It returns path with the names found appended, or nil.
func findPath(from, to string, aliasesOf map[string][]string, path []string, seen map[string]bool) []string {
	path = append(slices.Clone(path), from)
	if from == to {
		return path
	}
	if seen[from] {
		return nil
	}
	seen[from] = true
	for _, next := range aliasesOf[from] {
		if found := findPath(next, to, aliasesOf, path, seen); found != nil {
			return found
		}
	}
	return nil
}

package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/strictjson"
)

// knownNames holds the names of each kind, without aliases.
type knownNames struct {
	byKind map[string]map[string]bool
	// suggestions caches the nearest names: many objects may share one mistake.
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

// nearest returns the known name that a wrong one probably means, or "".
func (k knownNames) nearest(kind, name string) string {
	key := nameKey{kind: kind, name: name}
	near, cached := k.suggestions[key]
	if !cached {
		near = strictjson.Nearest(name, slices.Sorted(maps.Keys(k.byKind[kind])))
		k.suggestions[key] = near
	}
	return near
}

// indexFirst indexes a set without its aliases, so that an alias that hides a
// model doesn't spoil the checks of the model.
func indexFirst(set *apiv1.ObjectSet) *Index {
	plain := &apiv1.ObjectSet{
		Versions:        set.GetVersions(),
		Adapters:        set.GetAdapters(),
		Placements:      set.GetPlacements(),
		PriorityClasses: set.GetPriorityClasses(),
		Services:        set.GetServices(),
	}
	for _, m := range set.GetModels() {
		plain.Models = append(plain.Models, &apiv1.Model{
			Name:      m.GetName(),
			Version:   m.GetVersion(),
			Placement: m.GetPlacement(),
		})
	}
	return NewIndex(0, plain)
}

// aliases checks that each alias names one model, and no model itself.
func (c *checker) aliases(set *apiv1.ObjectSet) {
	graph := newAliasGraph(set)
	for i, m := range set.GetModels() {
		o := object{c, objectLabel(KindModels, m.GetName(), i)}
		seen := make(map[string]bool)
		for _, alias := range m.GetAliases() {
			o.alias(m.GetName(), alias, graph, seen[alias])
			seen[alias] = true
		}
	}
}

// aliasGraph holds which model gives which alias.
type aliasGraph struct {
	// owners maps an alias to the models that give it, in order.
	owners map[string][]string
	// given maps a model to its aliases.
	given map[string][]string
}

func newAliasGraph(set *apiv1.ObjectSet) aliasGraph {
	g := aliasGraph{owners: make(map[string][]string), given: make(map[string][]string)}
	for _, m := range set.GetModels() {
		for _, alias := range m.GetAliases() {
			g.given[m.GetName()] = append(g.given[m.GetName()], alias)
			if !slices.Contains(g.owners[alias], m.GetName()) {
				g.owners[alias] = append(g.owners[alias], m.GetName())
			}
		}
	}
	return g
}

// cycle follows an alias of a model to models of that name until it leads back.
// It returns the names on the way, or nil.
func (g aliasGraph) cycle(model, alias string) []string {
	return findPath(alias, model, g.given, []string{model}, make(map[string]bool))
}

func (o object) alias(model, alias string, graph aliasGraph, repeated bool) {
	const field = "aliases"
	owners := graph.owners[alias]
	switch {
	case !objectName.MatchString(alias):
		o.add(field, fmt.Sprintf("%q is no valid name", alias), nameRemedy)
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

// findPath searches a way from one model to another along aliases.
func findPath(from, to string, givers map[string][]string, path []string, seen map[string]bool) []string {
	path = append(slices.Clone(path), from)
	if from == to {
		return path
	}
	if seen[from] {
		return nil
	}
	seen[from] = true
	for _, next := range givers[from] {
		if found := findPath(next, to, givers, path, seen); found != nil {
			return found
		}
	}
	return nil
}

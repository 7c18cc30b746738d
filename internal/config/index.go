// Package config checks, publishes, loads and indexes the object sets that
// operators configure the routers with.
//
// An object set is one complete configuration. Publishing it creates the next
// revision: its body, the compressed set, goes into the object store under the
// hash of its bytes, and one transaction on the table service writes the head row,
// which names the revision in force, and a history row for the revision. A history
// row is written once, so it shows which of several concurrent publications made
// the revision. A delta, which turns the previous body into the new one, is stored
// as well, so that routers that have the previous body read less.
package config

import (
	"strings"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Index is an immutable view of one published object set, safe for concurrent
// use. Its lookup methods return nil for unknown names.
type Index struct {
	// Revision is the revision of the set.
	Revision uint64
	Set      *apiv1.ObjectSet

	models     map[string]*apiv1.Model
	versions   map[string]*apiv1.Version
	adapters   map[adapterName]*apiv1.Adapter
	placements map[string]*apiv1.Placement
	classes    map[string]*apiv1.PriorityClass
	services   map[string]*apiv1.Service
}

type adapterName struct{ model, adapter string }

// NewIndex indexes a valid object set. The set must not change afterwards.
func NewIndex(revision uint64, set *apiv1.ObjectSet) *Index {
	x := &Index{
		Revision:   revision,
		Set:        set,
		models:     make(map[string]*apiv1.Model),
		versions:   make(map[string]*apiv1.Version),
		adapters:   make(map[adapterName]*apiv1.Adapter),
		placements: make(map[string]*apiv1.Placement),
		classes:    make(map[string]*apiv1.PriorityClass),
		services:   make(map[string]*apiv1.Service),
	}
	for _, m := range set.GetModels() {
		x.models[m.GetName()] = m
		for _, alias := range m.GetAliases() {
			x.models[alias] = m
		}
	}
	for _, v := range set.GetVersions() {
		x.versions[v.GetName()] = v
	}
	for _, a := range set.GetAdapters() {
		x.adapters[adapterName{a.GetModel(), a.GetName()}] = a
	}
	for _, p := range set.GetPlacements() {
		x.placements[p.GetName()] = p
	}
	for _, c := range set.GetPriorityClasses() {
		x.classes[c.GetName()] = c
	}
	for _, s := range set.GetServices() {
		x.services[s.GetName()] = s
	}
	return x
}

// Model returns a model by its name or an alias.
func (x *Index) Model(name string) *apiv1.Model { return x.models[name] }

// Version returns a version by name.
func (x *Index) Version(name string) *apiv1.Version { return x.versions[name] }

// Adapter returns an adapter of a model.
func (x *Index) Adapter(model, name string) *apiv1.Adapter {
	return x.adapters[adapterName{model, name}]
}

// Placement returns a placement by name.
func (x *Index) Placement(name string) *apiv1.Placement { return x.placements[name] }

// PriorityClass returns a priority class by name.
func (x *Index) PriorityClass(name string) *apiv1.PriorityClass { return x.classes[name] }

// Service returns a plain service by name.
func (x *Index) Service(name string) *apiv1.Service { return x.services[name] }

// Target is the model, and adapter if any, that a caller names in the "model"
// field of a request.
type Target struct {
	Model *apiv1.Model
	// Adapter is nil when the caller named only the model.
	Adapter *apiv1.Adapter
}

// Resolve finds the target of "MODEL" or "MODEL:ADAPTER"; MODEL may be an alias. It
// reports false if the model or the adapter is unknown.
func (x *Index) Resolve(name string) (Target, bool) {
	model, adapter, hasAdapter := strings.Cut(name, ":")
	m := x.Model(model)
	if m == nil {
		return Target{}, false
	}
	if !hasAdapter {
		return Target{Model: m}, true
	}
	a := x.Adapter(m.GetName(), adapter)
	return Target{Model: m, Adapter: a}, a != nil
}

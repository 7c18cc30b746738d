package workspace

import (
	"fmt"
	"slices"
)

// Set is the workspaces of one version of the configuration. It is immutable. A nil Set, and one
// that is Open, ask callers for no key.
type Set struct {
	// Version is the version of the configuration that the set is from.
	Version int64
	// Open is set where the configuration has no workspaces.
	Open bool

	list  []*Workspace
	byKey map[Key]*Workspace
}

// NewSet returns the set of some workspaces. One that has the name or a key of an earlier one is
// left out; errs says so.
func NewSet(version int64, workspaces []Workspace) (s *Set, errs []error) {
	s = &Set{Version: version, byKey: make(map[Key]*Workspace)}
	names := make(map[string]bool)
	for i := range workspaces {
		w := &workspaces[i]
		if names[w.Name] {
			errs = append(errs, fmt.Errorf("workspace %q is listed twice: the second one is left out", w.Name))
			continue
		}
		if other := s.holderOfAny(w.Keys); other != nil {
			errs = append(errs, fmt.Errorf("workspace %q is left out: it has a key of workspace %q", w.Name, other.Name))
			continue
		}
		names[w.Name] = true
		s.list = append(s.list, w)
		for _, key := range w.Keys {
			s.byKey[key] = w
		}
	}
	return s, errs
}

// OpenSet returns the set of a configuration without workspaces.
func OpenSet(version int64) *Set { return &Set{Version: version, Open: true} }

func (s *Set) holderOfAny(keys []Key) *Workspace {
	for _, key := range keys {
		if w := s.byKey[key]; w != nil {
			return w
		}
	}
	return nil
}

// Holder returns the workspace that holds a key, nil if none does. Keys are looked up by their
// digest, so the time that it takes says nothing about other keys.
func (s *Set) Holder(key Key) *Workspace { return s.byKey[key] }

// AsksForKeys reports whether callers need a key.
func (s *Set) AsksForKeys() bool { return s != nil && !s.Open }

// All returns the workspaces in the order of the configuration. It must not be changed.
func (s *Set) All() []*Workspace {
	if s == nil {
		return nil
	}
	return s.list
}

// Newer returns the set of the newer configuration.
func Newer(a, b *Set) *Set {
	if a == nil || b != nil && b.Version > a.Version {
		return b
	}
	return a
}

// Equal reports whether two sets have the same content, whatever their versions.
func (s *Set) Equal(other *Set) bool {
	if s == nil || other == nil {
		return s == other
	}
	return s.Open == other.Open && slices.EqualFunc(s.list, other.list, func(a, b *Workspace) bool {
		samePriority := (a.Priority == nil) == (b.Priority == nil) && (a.Priority == nil || *a.Priority == *b.Priority)
		return a.Name == b.Name && samePriority && a.Quota == b.Quota && slices.Equal(a.Keys, b.Keys)
	})
}

// Package store holds the configuration at a revision, applies changes in
// order, and writes new ones to the platform's table.
package store

import (
	"maps"
	"slices"
	"strings"

	"shallotcourse/pkg/resrc"
)

type (
	// Snapshot is the configuration at one revision. Values are immutable.
	Snapshot struct {
		// Revision is the revision of the last change contained; 0 when empty.
		Revision uint64
		// kinds is never changed after the snapshot is published; snapshots
		// share the kinds that a change did not touch.
		kinds map[resrc.Kind]kindIndex
	}

	// kindIndex holds the resources of one kind, each both by name and in
	// order of their names.
	kindIndex struct {
		byName map[string]resrc.Resource
		sorted []resrc.Resource
	}
)

// NewSnapshot returns a snapshot of the given resources at a revision.
func NewSnapshot(revision uint64, resources []resrc.Resource) Snapshot {
	byKind := map[resrc.Kind]map[string]resrc.Resource{}
	for _, r := range resources {
		if byKind[r.Kind] == nil {
			byKind[r.Kind] = map[string]resrc.Resource{}
		}
		byKind[r.Kind][r.Name] = r
	}
	s := Snapshot{Revision: revision, kinds: map[resrc.Kind]kindIndex{}}
	for kind, byName := range byKind {
		s.kinds[kind] = indexOf(byName)
	}
	return s
}

// Get returns a resource by kind and name.
func (s Snapshot) Get(kind resrc.Kind, name string) (resrc.Resource, bool) {
	r, ok := s.kinds[kind].byName[name]
	return r, ok
}

// List returns the resources of a kind in order of their names. The slice is
// shared by all callers, which must not change it.
func (s Snapshot) List(kind resrc.Kind) []resrc.Resource { return s.kinds[kind].sorted }

// Spec returns the spec of a resource with its own type.
func Spec[T resrc.Spec](s Snapshot, name string) (T, bool) {
	var zero T
	r, ok := s.Get(zero.Kind(), name)
	if !ok {
		return zero, false
	}
	spec, ok := r.Spec.(T)
	return spec, ok
}

// WithChange returns the snapshot after the next change, or false when the
// change is not the next one or does not decode.
func (s Snapshot) WithChange(c resrc.Change) (Snapshot, bool) {
	if c.Revision != s.Revision+1 {
		return s, false
	}
	byName := maps.Clone(s.kinds[c.Kind].byName)
	switch c.Operation {
	case resrc.OperationDelete:
		delete(byName, c.Name)
	case resrc.OperationPut:
		spec, err := resrc.DecodeSpec(c.Kind, c.Body)
		if err != nil {
			return s, false
		}
		if byName == nil {
			byName = map[string]resrc.Resource{}
		}
		byName[c.Name] = resrc.Resource{Kind: c.Kind, Name: c.Name, Revision: c.Revision, Spec: spec}
	default:
		return s, false
	}
	kinds := maps.Clone(s.kinds)
	if kinds == nil {
		kinds = map[resrc.Kind]kindIndex{}
	}
	kinds[c.Kind] = indexOf(byName)
	return Snapshot{Revision: c.Revision, kinds: kinds}, true
}

func indexOf(byName map[string]resrc.Resource) kindIndex {
	sorted := slices.SortedFunc(maps.Values(byName), func(a, b resrc.Resource) int { return strings.Compare(a.Name, b.Name) })
	return kindIndex{byName: byName, sorted: slices.Clip(sorted)}
}

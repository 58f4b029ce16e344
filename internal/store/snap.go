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
		// resources is never changed after the snapshot is published.
		resources map[ref]resrc.Resource
	}

	ref struct {
		kind resrc.Kind
		name string
	}
)

// NewSnapshot returns a snapshot of the given resources at a revision.
func NewSnapshot(revision uint64, resources []resrc.Resource) Snapshot {
	m := make(map[ref]resrc.Resource, len(resources))
	for _, r := range resources {
		m[ref{r.Kind, r.Name}] = r
	}
	return Snapshot{Revision: revision, resources: m}
}

// Get returns a resource by kind and name.
func (s Snapshot) Get(kind resrc.Kind, name string) (resrc.Resource, bool) {
	r, ok := s.resources[ref{kind, name}]
	return r, ok
}

// List returns the resources of a kind in order of their names.
func (s Snapshot) List(kind resrc.Kind) []resrc.Resource {
	var out []resrc.Resource
	for k, r := range s.resources {
		if k.kind == kind {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b resrc.Resource) int { return strings.Compare(a.Name, b.Name) })
	return out
}

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
	m := maps.Clone(s.resources)
	if m == nil {
		m = make(map[ref]resrc.Resource)
	}
	key := ref{c.Kind, c.Name}
	switch c.Operation {
	case resrc.OperationDelete:
		delete(m, key)
	case resrc.OperationPut:
		spec, err := resrc.DecodeSpec(c.Kind, c.Body)
		if err != nil {
			return s, false
		}
		m[key] = resrc.Resource{Kind: c.Kind, Name: c.Name, Revision: c.Revision, Spec: spec}
	default:
		return s, false
	}
	return Snapshot{Revision: c.Revision, resources: m}, true
}

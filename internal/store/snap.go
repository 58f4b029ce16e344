// Package store replicates the configuration: it keeps the latest revision
// that this process knows, applies changes in order of their revisions, and
// writes new changes to the platform's table.
package store

import (
	"maps"
	"slices"
	"strings"

	"shallotcourse/pkg/resrc"
)

type (
	// Snapshot is the configuration at one revision. It is immutable.
	Snapshot struct {
		// Revision is the revision of the last change that the snapshot
		// contains; 0 when it is empty.
		Revision uint64
		// kinds holds the resources of each kind, sorted by name. Neither the
		// map nor its slices are modified after the snapshot is built, since
		// successive snapshots share the slices of unchanged kinds.
		kinds map[resrc.Kind][]resrc.Resource
	}
)

// NewSnapshot returns a snapshot of the given resources at a revision.
func NewSnapshot(revision uint64, resources []resrc.Resource) Snapshot {
	s := Snapshot{Revision: revision, kinds: map[resrc.Kind][]resrc.Resource{}}
	for _, r := range resources {
		s.kinds[r.Kind] = append(s.kinds[r.Kind], r)
	}
	for _, list := range s.kinds {
		slices.SortFunc(list, func(a, b resrc.Resource) int { return strings.Compare(a.Name, b.Name) })
	}
	return s
}

// Get returns a resource by kind and name.
func (s Snapshot) Get(kind resrc.Kind, name string) (resrc.Resource, bool) {
	list := s.kinds[kind]
	at, ok := find(list, name)
	if !ok {
		return resrc.Resource{}, false
	}
	return list[at], true
}

// List returns the resources of a kind, sorted by name. All callers share the
// slice and must not modify it.
func (s Snapshot) List(kind resrc.Kind) []resrc.Resource { return slices.Clip(s.kinds[kind]) }

// Spec returns the spec of the resource with the given name and the kind of T.
func Spec[T resrc.Spec](s Snapshot, name string) (T, bool) {
	var zero T
	r, ok := s.Get(zero.Kind(), name)
	if !ok {
		return zero, false
	}
	spec, ok := r.Spec.(T)
	return spec, ok
}

// WithChange returns the snapshot with one more change applied. It returns
// false when the change's revision is not the next one, or when the change
// cannot be decoded.
func (s Snapshot) WithChange(c resrc.Change) (Snapshot, bool) {
	if c.Revision != s.Revision+1 {
		return s, false
	}
	list := slices.Clone(s.kinds[c.Kind])
	at, found := find(list, c.Name)
	switch c.Operation {
	case resrc.OperationDelete:
		if found {
			list = slices.Delete(list, at, at+1)
		}
	case resrc.OperationPut:
		spec, err := resrc.DecodeSpec(c.Kind, c.Body)
		if err != nil {
			return s, false
		}
		r := resrc.Resource{Kind: c.Kind, Name: c.Name, Revision: c.Revision, Spec: spec}
		if !found {
			list = slices.Insert(list, at, r)
		}
		list[at] = r
	default:
		return s, false
	}
	kinds := maps.Clone(s.kinds)
	if kinds == nil {
		kinds = map[resrc.Kind][]resrc.Resource{}
	}
	kinds[c.Kind] = list
	return Snapshot{Revision: c.Revision, kinds: kinds}, true
}

func find(list []resrc.Resource, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(r resrc.Resource, name string) int { return strings.Compare(r.Name, name) })
}

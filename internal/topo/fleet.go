package topo

import (
	"maps"
	"slices"
	"strings"
)

// Fleet is what is known of all targets. It is immutable.
type Fleet struct {
	// Version is the version of the list that it was read from.
	Version uint64
	targets map[string]Target
	byName  map[string][]Target
}

// NewFleet returns a fleet of targets.
func NewFleet(version uint64, targets []Target) Fleet {
	f := Fleet{Version: version, targets: map[string]Target{}}
	for _, t := range targets {
		f.targets[t.ID] = t
	}
	return f.indexed()
}

func (f Fleet) indexed() Fleet {
	f.byName = map[string][]Target{}
	for _, t := range f.targets {
		f.byName[t.Service] = append(f.byName[t.Service], t)
	}
	for _, ts := range f.byName {
		slices.SortFunc(ts, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return f
}

// Target returns a target by its ID.
func (f Fleet) Target(id string) (Target, bool) {
	t, ok := f.targets[id]
	return t, ok
}

// Of returns the targets of a service in the order of their IDs. Callers must
// not change it.
func (f Fleet) Of(service string) []Target { return f.byName[service] }

// All returns all targets in the order of their IDs.
func (f Fleet) All() []Target {
	out := slices.Collect(maps.Values(f.targets))
	slices.SortFunc(out, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Len returns the number of targets.
func (f Fleet) Len() int { return len(f.targets) }

package topo

import (
	"maps"
	"slices"
	"strings"
)

// Fleet is the set of all known targets. It is immutable.
type Fleet struct {
	// Version is the version of the target list that the fleet was read from.
	Version Version
	// targets holds the targets by ID.
	targets map[string]Target
	// byService holds the targets of each service in the order of their IDs.
	byService map[string][]Target
}

// NewFleet returns a fleet of the given targets.
func NewFleet(version Version, targets []Target) Fleet {
	f := Fleet{Version: version, targets: map[string]Target{}}
	for _, t := range targets {
		f.targets[t.ID] = t
	}
	return f.indexed()
}

func (f Fleet) indexed() Fleet {
	f.byService = map[string][]Target{}
	for _, t := range f.targets {
		f.byService[t.Service] = append(f.byService[t.Service], t)
	}
	for _, ts := range f.byService {
		slices.SortFunc(ts, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return f
}

// Target returns a target by its ID.
func (f Fleet) Target(id string) (Target, bool) {
	t, ok := f.targets[id]
	return t, ok
}

// ServiceTargets returns the targets of a service in the order of their IDs.
// Callers must not modify the slice.
func (f Fleet) ServiceTargets(service string) []Target { return f.byService[service] }

// All returns all targets in the order of their IDs.
func (f Fleet) All() []Target {
	out := slices.Collect(maps.Values(f.targets))
	slices.SortFunc(out, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Len returns the number of targets.
func (f Fleet) Len() int { return len(f.targets) }

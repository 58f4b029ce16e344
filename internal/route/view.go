// Package route chooses the chain of targets that serves a request. It is
// pure: the view, the entry's own work and the random source are arguments.
package route

import (
	"iter"
	"slices"
	"strings"
	"time"

	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

// defaultStep is assumed per target until its agent reports a step time.
const defaultStep = 10 * time.Millisecond

type (
	// Target is what an entry knows of one target.
	Target struct {
		Name string
		// Spec is the declared target.
		Spec resrc.Target
		// Load is the last report; its zero value is not ready.
		Load wire.Load
		// OwnAtReport is the entry's own open work when Load arrived, which
		// Load.Open contains already.
		OwnAtReport int
	}

	// View is an immutable set of targets in order of their names.
	// The targets are pointed to, so that a view after one report shares all
	// others with the one before.
	View struct {
		targets []*Target
	}
)

// NewView returns a view of the given targets.
func NewView(targets []Target) View {
	t := make([]*Target, len(targets))
	for i := range targets {
		c := targets[i]
		t[i] = &c
	}
	slices.SortFunc(t, func(a, b *Target) int { return strings.Compare(a.Name, b.Name) })
	return View{targets: t}
}

// All iterates over the targets in order of their names.
func (v View) All() iter.Seq[Target] {
	return func(yield func(Target) bool) {
		for _, t := range v.targets {
			if !yield(*t) {
				return
			}
		}
	}
}

// Targets returns a copy of the targets in order of their names.
func (v View) Targets() []Target { return slices.Collect(v.All()) }

// Get returns a target by name.
func (v View) Get(name string) (Target, bool) {
	i, ok := v.find(name)
	if !ok {
		return Target{}, false
	}
	return *v.targets[i], true
}

// WithLoad returns the view after a load report. Reports of targets that are
// not in the view are ignored.
func (v View) WithLoad(l wire.Load, own int) View {
	return v.with(l.Target, func(t *Target) { t.Load, t.OwnAtReport = l, own })
}

// WithoutLoad returns the view after the link to a target was lost.
func (v View) WithoutLoad(name string) View {
	return v.with(name, func(t *Target) { t.Load, t.OwnAtReport = wire.Load{}, 0 })
}

// WithLeaving returns the view after a target announced that it leaves.
func (v View) WithLeaving(name string) View {
	return v.with(name, func(t *Target) { t.Load.Leaving = true })
}

// WithSpecs returns the view for new resources; reports are kept.
func (v View) WithSpecs(resources []resrc.Resource) View {
	targets := make([]Target, 0, len(resources))
	for _, r := range resources {
		spec, ok := r.Spec.(resrc.Target)
		if !ok {
			continue
		}
		t, _ := v.Get(r.Name)
		t.Name, t.Spec = r.Name, spec
		targets = append(targets, t)
	}
	return NewView(targets)
}

// Admits reports whether the target takes new work as far as is known.
func (t Target) Admits() bool {
	return t.Load.Ready && !t.Load.Leaving && !t.Spec.Draining
}

// Stage returns the target as a stage of a chain.
func (t Target) Stage() wire.Stage {
	return wire.Stage{Target: t.Name, Address: t.Spec.Agent, Layers: t.Load.Layers}
}

// Busy returns the open work at the target: the report, corrected by what the
// entry has opened and closed since.
func (t Target) Busy(own int) int {
	return max(0, t.Load.Open+own-t.OwnAtReport)
}

// Full reports whether the corrected open work reaches the target's limit.
func (t Target) Full(own int) bool {
	return t.Load.Limit > 0 && t.Busy(own) >= t.Load.Limit
}

// delay estimates the time of one step at the target.
func (t Target) delay(own int) time.Duration {
	step := t.Load.StepTime
	if step <= 0 {
		step = defaultStep
	}
	busy, limit := t.Busy(own), max(t.Load.Limit, 1)
	d := step + t.Load.QueueDelay
	// A batch grows with its sessions; beyond the limit sessions wait for
	// their turn, so each further batch costs a full step.
	d += step * time.Duration(busy) / time.Duration(limit)
	if over := busy - limit; over >= 0 {
		d += step * time.Duration(4*(over+1))
	}
	return d
}

func (v View) find(name string) (int, bool) {
	return slices.BinarySearchFunc(v.targets, name, func(t *Target, n string) int { return strings.Compare(t.Name, n) })
}

func (v View) with(name string, change func(*Target)) View {
	i, ok := v.find(name)
	if !ok {
		return v
	}
	changed := *v.targets[i]
	change(&changed)
	t := slices.Clone(v.targets)
	t[i] = &changed
	return View{targets: t}
}

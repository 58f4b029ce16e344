// Package route chooses the chain of targets that serves a request. It does no
// I/O and keeps no global state: the view of the targets, the entry's own open work
// and the random source are arguments.
package route

import (
	"iter"
	"slices"
	"strings"
	"time"

	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

// defaultStepTime is the step time of a target whose agent has not reported one yet.
const defaultStepTime = 10 * time.Millisecond

type (
	// Target is what an entry knows about one target.
	Target struct {
		Name string
		// Spec is the configured resource.
		Spec resrc.Target
		// Load is the last load report; the zero value means not ready.
		Load wire.Load
		// OwnAtReport is the entry's own open work when Load was received. It is
		// already included in Load.Open.
		OwnAtReport int
	}

	// View is an immutable set of targets, sorted by name.
	View struct {
		// targets holds pointers, so that a view that differs in one target
		// shares all others with the previous view.
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

// All iterates over the targets, sorted by name.
func (v View) All() iter.Seq[Target] {
	return func(yield func(Target) bool) {
		for _, t := range v.targets {
			if !yield(*t) {
				return
			}
		}
	}
}

// Targets returns a copy of the targets, sorted by name.
func (v View) Targets() []Target { return slices.Collect(v.All()) }

// Get returns a target by name.
func (v View) Get(name string) (Target, bool) {
	i, ok := v.find(name)
	if !ok {
		return Target{}, false
	}
	return *v.targets[i], true
}

// WithLoad returns the view with a new load report; own is the entry's own open
// work at the target. Reports of targets that are not in the view are ignored.
func (v View) WithLoad(l wire.Load, own int) View {
	return v.with(l.Target, func(t *Target) { t.Load, t.OwnAtReport = l, own })
}

// WithoutLoad returns the view without the load report of a target, whose link was
// lost.
func (v View) WithoutLoad(name string) View {
	return v.with(name, func(t *Target) { t.Load, t.OwnAtReport = wire.Load{}, 0 })
}

// WithLeaving returns the view with a target marked as leaving.
func (v View) WithLeaving(name string) View {
	return v.with(name, func(t *Target) { t.Load.Leaving = true })
}

// WithSpecs returns the view with exactly the targets among the resources. Load
// reports of targets that remain are kept.
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

// Admits reports whether the target accepts new work, by the last load report and
// the configuration.
func (t Target) Admits() bool {
	return t.Load.Ready && !t.Load.Leaving && !t.Spec.Draining
}

// Stage returns the target as a stage of a chain.
func (t Target) Stage() wire.Stage {
	return wire.Stage{Target: t.Name, Address: t.Spec.Agent, Layers: t.Load.Layers}
}

// EstimatedOpen estimates the open work at the target: the last load report,
// corrected by what the entry has opened and closed since. The argument is the
// entry's own open work now.
func (t Target) EstimatedOpen(own int) int {
	return max(0, t.Load.Open+own-t.OwnAtReport)
}

// Full reports whether the estimated open work has reached the target's limit.
func (t Target) Full(own int) bool {
	return t.Load.Limit > 0 && t.EstimatedOpen(own) >= t.Load.Limit
}

// stepDelay estimates the time of one step at the target, including the wait for
// its turn.
func (t Target) stepDelay(own int) time.Duration {
	step := t.Load.StepTime
	if step <= 0 {
		step = defaultStepTime
	}
	busy, limit := t.EstimatedOpen(own), max(t.Load.Limit, 1)
	d := step + t.Load.QueueDelay
	// Up to the limit all sessions share one batch, whose step time grows with
	// their number. Beyond it sessions wait for their turn, and each further
	// batch costs a full step.
	d += step * time.Duration(busy) / time.Duration(limit)
	if excess := busy - limit; excess >= 0 {
		d += step * time.Duration(4*(excess+1))
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

package order

import (
	"shallotcourse/internal/store"
	"shallotcourse/pkg/resrc"
)

// DesiredState returns the state that the configuration declares for a target.
// It returns false if the target is not declared, serves a service instead of a
// model, or refers to an unknown version.
func DesiredState(s store.Snapshot, target string) (Desired, bool) {
	t, ok := store.Spec[resrc.Target](s, target)
	if !ok || t.Version == "" {
		return Desired{}, false
	}
	v, ok := store.Spec[resrc.ModelVersion](s, t.Version)
	if !ok {
		return Desired{}, false
	}
	d := Desired{Version: t.Version, Layers: t.Layers, Weights: v.Weights, Role: t.Role}
	d.Bytes = v.WeightBytes / int64(v.Layers) * int64(t.Layers.To-t.Layers.From)
	for _, name := range t.Adapters {
		// An adapter without a resource of its own is skipped until that is
		// declared.
		if a, ok := store.Spec[resrc.Adapter](s, name); ok && a.Version == t.Version {
			d.Adapters = append(d.Adapters, Adapter{Name: name, Weights: a.Weights, Bytes: a.WeightBytes})
		}
	}
	return d, true
}

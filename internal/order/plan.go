package order

import (
	"slices"

	"shallotcourse/pkg/resrc"
)

const (
	// KindLoad loads layers of a version.
	KindLoad Kind = "Load"
	// KindLoadAdapter loads an adapter.
	KindLoadAdapter Kind = "LoadAdapter"
	// KindUnloadAdapter drops an adapter.
	KindUnloadAdapter Kind = "UnloadAdapter"
	// KindRole changes the engine's role.
	KindRole Kind = "Role"
)

type (
	// Kind names an order.
	Kind string

	// Order is one order to an engine.
	Order struct {
		Kind    Kind
		Version string
		Layers  resrc.LayerRange
		Adapter string
		Role    string
		// Weights is the object that the engine reads, and Bytes the size of
		// what it reads of it.
		Weights string
		Bytes   int64
	}

	// Adapter is an adapter with its weights.
	Adapter struct {
		Name    string
		Weights string
		Bytes   int64
	}

	// Desired is what the resources declare for a target.
	Desired struct {
		Version  string
		Layers   resrc.LayerRange
		Weights  string
		Bytes    int64
		Adapters []Adapter
		Role     string
	}

	// Observed is what the engine holds.
	Observed struct {
		Version  string
		Layers   resrc.LayerRange
		Adapters []string
		Role     string
		Loading  bool
	}

	// Plan tells how to get from the observed to the desired state.
	Plan struct {
		// Ready says that the engine holds the version and the layers, and
		// that none of the orders would break a session.
		Ready bool
		// Orders are to be sent one after another.
		Orders []Order
	}
)

// Make returns the plan for a target with open sessions. Orders that would
// break sessions are left out until none is open; new ones are not admitted
// meanwhile, since Ready is false.
func Make(d Desired, o Observed, open int) Plan {
	if d.Version == "" {
		return Plan{}
	}
	if o.Loading {
		return Plan{Ready: holds(d, o)}
	}
	if !holds(d, o) {
		if open > 0 && o.Version != "" {
			return Plan{}
		}
		orders := []Order{{Kind: KindLoad, Version: d.Version, Layers: d.Layers, Weights: d.Weights, Bytes: d.Bytes}}
		o.Adapters = nil
		return Plan{Orders: append(orders, rest(d, o)...)}
	}
	drops := dropped(d, o)
	p := Plan{Ready: len(drops) == 0, Orders: rest(d, o)}
	if open == 0 {
		p.Orders = append(p.Orders, drops...)
	}
	return p
}

func holds(d Desired, o Observed) bool { return o.Version == d.Version && o.Layers == d.Layers }

// rest returns the orders that break no session.
func rest(d Desired, o Observed) []Order {
	var out []Order
	for _, a := range d.Adapters {
		if !slices.Contains(o.Adapters, a.Name) {
			out = append(out, Order{Kind: KindLoadAdapter, Version: d.Version, Adapter: a.Name, Weights: a.Weights, Bytes: a.Bytes})
		}
	}
	if d.Role != "" && d.Role != o.Role {
		out = append(out, Order{Kind: KindRole, Role: d.Role})
	}
	return out
}

func dropped(d Desired, o Observed) []Order {
	var out []Order
	for _, name := range o.Adapters {
		if !slices.ContainsFunc(d.Adapters, func(a Adapter) bool { return a.Name == name }) {
			out = append(out, Order{Kind: KindUnloadAdapter, Version: d.Version, Adapter: name})
		}
	}
	return out
}

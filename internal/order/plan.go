package order

import (
	"slices"

	"shallotcourse/pkg/resrc"
)

const (
	// KindLoad loads a range of layers of a model version.
	KindLoad Kind = "Load"
	// KindLoadAdapter loads an adapter.
	KindLoadAdapter Kind = "LoadAdapter"
	// KindUnloadAdapter unloads an adapter.
	KindUnloadAdapter Kind = "UnloadAdapter"
	// KindRole changes the engine's role.
	KindRole Kind = "Role"
)

type (
	// Kind is the type of an order.
	Kind string

	// Order is one order to an engine.
	Order struct {
		Kind    Kind
		Version string
		Layers  resrc.LayerRange
		Adapter string
		Role    string
		// Weights is the object in the weight store that the engine reads, and
		// Bytes the number of bytes that it reads from it.
		Weights string
		Bytes   int64
	}

	// Adapter is an adapter that a target has to load.
	Adapter struct {
		Name    string
		Weights string
		Bytes   int64
	}

	// Desired is the state that the configuration declares for a target.
	Desired struct {
		Version  string
		Layers   resrc.LayerRange
		Weights  string
		Bytes    int64
		Adapters []Adapter
		Role     string
	}

	// Observed is the state that the engine reports.
	Observed struct {
		Version  string
		Layers   resrc.LayerRange
		Adapters []string
		Role     string
		Loading  bool
	}

	// Plan leads from the observed to the desired state.
	Plan struct {
		// Ready is true if new sessions may be admitted: the engine has loaded
		// the version and the layers, and no order that is still needed breaks
		// open sessions.
		Ready bool
		// Orders must be sent one after another, in this order.
		Orders []Order
	}
)

// MakePlan returns the plan for a target with the given number of open
// sessions. Orders that would break sessions are left out until none is open.
// Meanwhile Ready is false, so that no new sessions are admitted.
func MakePlan(d Desired, o Observed, open int) Plan {
	if d.Version == "" {
		return Plan{}
	}
	if o.Loading {
		return Plan{Ready: isLoaded(d, o)}
	}
	if !isLoaded(d, o) {
		if open > 0 && o.Version != "" {
			return Plan{}
		}
		orders := []Order{{Kind: KindLoad, Version: d.Version, Layers: d.Layers, Weights: d.Weights, Bytes: d.Bytes}}
		o.Adapters = nil
		return Plan{Orders: append(orders, nonDisruptiveOrders(d, o)...)}
	}
	drops := adapterUnloads(d, o)
	p := Plan{Ready: len(drops) == 0, Orders: nonDisruptiveOrders(d, o)}
	if open == 0 {
		p.Orders = append(p.Orders, drops...)
	}
	return p
}

func isLoaded(d Desired, o Observed) bool { return o.Version == d.Version && o.Layers == d.Layers }

// nonDisruptiveOrders returns the orders that break no open session.
func nonDisruptiveOrders(d Desired, o Observed) []Order {
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

func adapterUnloads(d Desired, o Observed) []Order {
	var out []Order
	for _, name := range o.Adapters {
		if !slices.ContainsFunc(d.Adapters, func(a Adapter) bool { return a.Name == name }) {
			out = append(out, Order{Kind: KindUnloadAdapter, Version: d.Version, Adapter: name})
		}
	}
	return out
}

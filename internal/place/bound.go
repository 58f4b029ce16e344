package place

import (
	"cmp"
	"slices"

	"shallotcourse/internal/topo"
)

const (
	// boundSteps is the number of bisection steps for the number of requests.
	boundSteps = 24
	// boundRounding is the number of requests that rounding may take from a
	// layer.
	boundRounding = 1e-6
)

type (
	// Bound is the number of requests of usual size that the memory of a group
	// of targets holds at once.
	Bound struct {
		// DataCentres holds the names of the group's data centres, in order.
		DataCentres []string
		// Requests is the bound with the layers that the targets hold. It is 0 if
		// a layer has no holder.
		Requests float64
		// Binding is the range of layers whose holders are full first.
		Binding topo.Layers
		// Best is the bound with the same cards if each layer had only one holder
		// and the same memory for requests; no placement holds more.
		Best float64
	}

	// supply is the memory of a target for requests while a bound is computed.
	supply struct {
		held topo.Layers
		// left is the memory that is not yet assigned, in requests times layers.
		left float64
		// lowest is the lowest layer that the target has given memory to.
		lowest int
	}
)

// Bounds returns the bound of each group of data centres that plans together.
func Bounds(m *topo.Model, targets []Target) []Bound {
	var out []Bound
	for _, g := range split(m, targets) {
		out = append(out, g.bound())
	}
	return out
}

func (g group) bound() Bound {
	perLayer := g.model.UsualMegabytes()
	b := Bound{Best: max(0, (totalMegabytes(g.model, g.targets)-g.model.LayerMegabytes*float64(g.model.Layers))/float64(g.model.Layers)/perLayer)}
	for _, t := range g.targets {
		b.DataCentres = append(b.DataCentres, t.DataCentre)
	}
	slices.Sort(b.DataCentres)
	b.DataCentres = slices.Compact(b.DataCentres)
	high := b.Best
	b.Binding, _ = g.fits(max(1, high), perLayer)
	for range boundSteps {
		middle := (b.Requests + high) / 2
		binding, fits := g.fits(middle, perLayer)
		if fits {
			b.Requests = middle
			continue
		}
		high, b.Binding = middle, binding
	}
	return b
}

// fits reports whether all layers can hold some number of requests at once, and
// otherwise the layers that lack memory. It assigns memory layer by layer and
// takes it first from the target whose range ends first, since the others can
// still give theirs to later layers.
func (g group) fits(requests, perLayer float64) (topo.Layers, bool) {
	supplies := make([]supply, 0, len(g.targets))
	for _, t := range g.targets {
		if t.Held.Len() > 0 {
			free := max(0, g.model.FreeMegabytes(t.Card, t.Held.Len()))
			supplies = append(supplies, supply{held: t.Held, left: free / perLayer, lowest: g.model.Layers})
		}
	}
	slices.SortStableFunc(supplies, func(a, b supply) int { return cmp.Compare(a.held.To, b.held.To) })
	for l := range g.model.Layers {
		need := requests
		for i := range supplies {
			s := &supplies[i]
			if need <= 0 || s.held.From > l || s.held.To <= l || s.left <= 0 {
				continue
			}
			given := min(need, s.left)
			need, s.left, s.lowest = need-given, s.left-given, min(s.lowest, l)
		}
		if need > boundRounding {
			return shortOfMemory(supplies, l), false
		}
	}
	return topo.Layers{}, true
}

// shortOfMemory returns the layers that share the memory of the holders of a
// layer that lacks some.
func shortOfMemory(supplies []supply, layer int) topo.Layers {
	out := topo.Layers{From: layer, To: layer + 1}
	for grown := true; grown; {
		grown = false
		for _, s := range supplies {
			if s.held.From < out.To && s.held.To > out.From && s.lowest < out.From {
				out.From, grown = s.lowest, true
			}
		}
	}
	return out
}

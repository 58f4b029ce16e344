package route

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"shallotcourse/internal/wire"
)

type (
	// Policy chooses chains. Cheapest is the one in use; the others are baselines
	// to compare it with.
	Policy interface {
		Choose(v View, q Query, random *rand.Rand) ([]wire.Stage, bool)
		policy()
	}

	// Cheapest chooses at random among the chains whose cost is within Tolerance
	// of the lowest, as the function Choose does.
	Cheapest struct{}

	// RoundRobin takes the targets of each layer range in turn, regardless of
	// their load. It is not safe for concurrent use.
	RoundRobin struct {
		calls int
	}

	// LeastLoaded takes the target with the least open work in the last load
	// report, without correction by the entry's own work and without a random
	// choice.
	LeastLoaded struct{}
)

var (
	_ Policy = Cheapest{}
	_ Policy = (*RoundRobin)(nil)
	_ Policy = LeastLoaded{}
)

// Choose implements Policy.
func (Cheapest) Choose(v View, q Query, random *rand.Rand) ([]wire.Stage, bool) {
	return Choose(v, q, random)
}

// Choose implements Policy.
func (r *RoundRobin) Choose(v View, q Query, _ *rand.Rand) ([]wire.Stage, bool) {
	r.calls++
	return newSearch(v, q).greedy(func(nodes []node) node { return nodes[r.calls%len(nodes)] })
}

// Choose implements Policy.
func (LeastLoaded) Choose(v View, q Query, _ *rand.Rand) ([]wire.Stage, bool) {
	return newSearch(v, q).greedy(func(nodes []node) node {
		return slices.MinFunc(nodes, func(a, b node) int {
			return cmp.Compare(a.open, b.open)
		})
	})
}

// greedy builds a chain stage by stage. At each layer, pick chooses among the nodes
// from which the last layer can be reached.
func (s *search) greedy(pick func([]node) node) ([]wire.Stage, bool) {
	s.computeCosts(0)
	var chain []wire.Stage
	for layer := 0; layer < s.query.Layers; {
		var reachable []node
		for _, n := range s.nodesFrom(layer) {
			if n.costToEnd < unreachable {
				reachable = append(reachable, n)
			}
		}
		if len(reachable) == 0 {
			return nil, false
		}
		n := pick(reachable)
		chain = append(chain, n.stage)
		layer = n.stage.Layers.To
	}
	return chain, len(chain) > 0
}

func (Cheapest) policy()    {}
func (*RoundRobin) policy() {}
func (LeastLoaded) policy() {}

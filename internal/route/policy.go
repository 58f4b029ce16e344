package route

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"shallotcourse/internal/wire"
)

type (
	// Policy chooses chains. Besides Cheapest there are the baselines that
	// it is measured against.
	Policy interface {
		Choose(v View, q Query, random *rand.Rand) ([]wire.Stage, bool)
		policy()
	}

	// Cheapest is the policy in use; see Choose.
	Cheapest struct{}

	// RoundRobin takes the targets of each range in turn, whatever their
	// load. Not safe for concurrent use.
	RoundRobin struct {
		turn int
	}

	// LeastLoaded takes the target with the least reported load, without
	// correction by the entry's own work and without random choice.
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
	r.turn++
	return newSearch(v, q).greedy(func(nodes []node) node { return nodes[r.turn%len(nodes)] })
}

// Choose implements Policy.
func (LeastLoaded) Choose(v View, q Query, _ *rand.Rand) ([]wire.Stage, bool) {
	return newSearch(v, q).greedy(func(nodes []node) node {
		return slices.MinFunc(nodes, func(a, b node) int {
			return cmp.Compare(a.open, b.open)
		})
	})
}

// greedy picks range by range among the nodes from which the end can be
// reached.
func (s *search) greedy(pick func([]node) node) ([]wire.Stage, bool) {
	s.run(0)
	var chain []wire.Stage
	for layer := 0; layer < s.query.Layers; {
		var open []node
		for _, n := range s.from(layer) {
			if n.rest < unreachable {
				open = append(open, n)
			}
		}
		if len(open) == 0 {
			return nil, false
		}
		n := pick(open)
		chain = append(chain, n.stage)
		layer = n.stage.Layers.To
	}
	return chain, len(chain) > 0
}

func (Cheapest) policy()    {}
func (*RoundRobin) policy() {}
func (LeastLoaded) policy() {}

package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"shallotcourse/internal/wire"
)

const (
	// localHop, regionHop and farHop are assumed one-way delays within a data
	// centre, within a region and between regions.
	localHop  = 100 * time.Microsecond
	regionHop = 500 * time.Microsecond
	farHop    = 20 * time.Millisecond

	// Tolerance is the share of the best cost within which paths count as
	// equal. Load reports lag by up to 200 ms, so smaller differences say
	// nothing.
	Tolerance = 0.05

	// affinityGain is the share of a step that a likely prefix hit saves.
	affinityGain = 0.25

	unreachable = time.Duration(1) << 60
)

type (
	// Query describes the chain that is wanted.
	Query struct {
		Version string
		Adapter string
		// Layers is the number of layers of the version.
		Layers int
		// DataCentre and Region are where the entry runs.
		DataCentre string
		Region     string
		// Prefix is a hash of the start of the prompt; 0 for no affinity.
		Prefix uint64
		// Keep holds stages that stay in the chain; no other chosen stage
		// overlaps them.
		Keep []wire.Stage
		// Exclude holds names of targets that must not be chosen.
		Exclude map[string]bool
		// Own returns the entry's own open work at a target; nil for none.
		Own func(target string) int
	}

	// place is where a target runs.
	place struct{ dataCentre, region string }

	node struct {
		stage wire.Stage
		step  time.Duration
		// at is the index of the place.
		at   int
		cost time.Duration
		// rest is the cost from this node to the end of the chain, itself
		// included, for the loop end of the current search.
		rest time.Duration
		open int
	}

	search struct {
		query  Query
		places []place
		// hops holds the delay from place to place.
		hops [][]time.Duration
		// nodes is ordered by the first layer, highest first, so that a
		// node's successors come before it.
		nodes []node
		// starts maps a first layer to its nodes [from, to).
		starts map[int][2]int
		// best holds the least rest by first layer and place.
		best  map[int][]time.Duration
		slack time.Duration
	}
)

// Choose returns a cheap chain over layers [0, Layers): stages in adjoining
// ranges. Paths within Tolerance of the best are equally likely. It returns
// false when no chain covers the layers.
func Choose(v View, q Query, random *rand.Rand) ([]wire.Stage, bool) {
	s := newSearch(v, q)
	here, best := s.at(place{q.DataCentre, q.Region}), unreachable
	costs := make([]time.Duration, len(s.places))
	for loop := range s.places {
		costs[loop] = s.run(loop) + s.hops[here][loop]
		best = min(best, costs[loop])
	}
	if best >= unreachable {
		return nil, false
	}
	s.slack = time.Duration(float64(best) * Tolerance)
	// Places of the first stage are drawn in proportion to their targets,
	// otherwise a small data centre would get an equal share.
	var near []int
	for _, n := range s.from(0) {
		if costs[n.at] <= best+s.slack {
			near = append(near, n.at)
		}
	}
	loop := near[random.IntN(len(near))]
	s.run(loop)
	s.slack -= costs[loop] - best
	return s.walk(loop, random), true
}

// newSearch collects the usable targets of the query.
func newSearch(v View, q Query) *search {
	s := &search{query: q, starts: map[int][2]int{}, best: map[int][]time.Duration{}}
	s.at(place{q.DataCentre, q.Region})
	kept := map[string]bool{}
	for _, st := range q.Keep {
		kept[st.Target] = true
		t, _ := v.Get(st.Target)
		s.add(t, st)
	}
	for _, t := range v.targets {
		if kept[t.Name] || !usable(*t, q) {
			continue
		}
		s.add(*t, t.Stage())
	}
	s.addAffinity()
	slices.SortStableFunc(s.nodes, func(a, b node) int {
		return cmp.Compare(b.stage.Layers.From, a.stage.Layers.From)
	})
	for i, n := range s.nodes {
		r, ok := s.starts[n.stage.Layers.From]
		if !ok {
			r[0] = i
		}
		r[1] = i + 1
		s.starts[n.stage.Layers.From] = r
	}
	for layer := range s.starts {
		s.best[layer] = make([]time.Duration, len(s.places))
	}
	return s
}

func usable(t Target, q Query) bool {
	l := t.Load.Layers
	if !t.Admits() || t.Load.Version != q.Version || q.Exclude[t.Name] || l.From < 0 || l.To <= l.From {
		return false
	}
	if q.Adapter != "" && !slices.Contains(t.Spec.Adapters, q.Adapter) {
		return false
	}
	for _, k := range q.Keep {
		if l.From < k.Layers.To && k.Layers.From < l.To {
			return false
		}
	}
	return true
}

func (s *search) add(t Target, st wire.Stage) {
	own := 0
	if s.query.Own != nil {
		own = s.query.Own(st.Target)
	}
	s.nodes = append(s.nodes, node{
		stage: st, step: t.Load.StepTime, at: s.at(place{t.Spec.DataCentre, t.Spec.Region}), cost: t.delay(own), open: t.Load.Open,
	})
}

// at returns the index of a place, and adds a new one.
func (s *search) at(p place) int {
	if i := slices.Index(s.places, p); i >= 0 {
		return i
	}
	s.places = append(s.places, p)
	for i := range s.hops {
		s.hops[i] = append(s.hops[i], hop(s.places[i], p))
	}
	var row []time.Duration
	for _, other := range s.places {
		row = append(row, hop(p, other))
	}
	s.hops = append(s.hops, row)
	return len(s.places) - 1
}

// addAffinity lowers the cost of the target that ranks first for the prefix
// among those with the same layers: every entry prefers the same target, so
// its cache is likely to hold the prefix.
func (s *search) addAffinity() {
	if s.query.Prefix == 0 {
		return
	}
	first := map[[2]int]int{}
	highest := map[[2]int]uint64{}
	for i := range s.nodes {
		st := &s.nodes[i].stage
		key, r := [2]int{st.Layers.From, st.Layers.To}, rank(s.query.Prefix, st.Target)
		if _, ok := first[key]; !ok || r > highest[key] {
			first[key], highest[key] = i, r
		}
	}
	for _, i := range first {
		n := &s.nodes[i]
		step := max(n.step, defaultStep/10)
		n.cost -= min(time.Duration(float64(step)*affinityGain), n.cost/2)
	}
}

// from returns the nodes whose first layer is the given one.
func (s *search) from(layer int) []node {
	r := s.starts[layer]
	return s.nodes[r[0]:r[1]]
}

// run fills in rest for chains whose first stage is at the loop end, where each
// token returns to from the last stage, and returns the lowest cost.
func (s *search) run(loop int) time.Duration {
	for _, best := range s.best {
		for i := range best {
			best[i] = unreachable
		}
	}
	for i := range s.nodes {
		n := &s.nodes[i]
		hops := s.hops[n.at]
		n.rest = unreachable
		if n.stage.Layers.To == s.query.Layers {
			n.rest = n.cost + hops[loop]
		} else {
			for p, rest := range s.best[n.stage.Layers.To] {
				n.rest = min(n.rest, n.cost+hops[p]+rest)
			}
		}
		best := s.best[n.stage.Layers.From]
		best[n.at] = min(best[n.at], n.rest)
	}
	if best := s.best[0]; best != nil {
		return best[loop]
	}
	return unreachable
}

// walk draws a path whose cost is within the remaining slack of the best.
func (s *search) walk(loop int, random *rand.Rand) []wire.Stage {
	var (
		chain []wire.Stage
		from  = loop
	)
	for layer := 0; layer < s.query.Layers; {
		nodes := s.from(layer)
		cost := func(n *node) time.Duration {
			if layer == 0 && n.at != loop {
				return unreachable
			}
			return s.hops[from][n.at] + n.rest
		}
		best := unreachable
		for i := range nodes {
			best = min(best, cost(&nodes[i]))
		}
		var near []*node
		for i := range nodes {
			if c := cost(&nodes[i]); c < unreachable && c <= best+s.slack {
				near = append(near, &nodes[i])
			}
		}
		n := near[random.IntN(len(near))]
		s.slack -= cost(n) - best
		chain = append(chain, n.stage)
		layer, from = n.stage.Layers.To, n.at
	}
	return chain
}

func hop(a, b place) time.Duration {
	switch {
	case a.dataCentre == b.dataCentre:
		return localHop
	case a.region == b.region:
		return regionHop
	}
	return farHop
}

// Replace returns the chain with its dead stages replaced. Survivors keep
// their layers; targets in the query's Exclude are not chosen.
func Replace(v View, q Query, chain []wire.Stage, dead map[string]bool, random *rand.Rand) ([]wire.Stage, bool) {
	q.Keep = nil
	exclude := map[string]bool{}
	for name := range q.Exclude {
		exclude[name] = true
	}
	for _, st := range chain {
		if dead[st.Target] {
			exclude[st.Target] = true
			continue
		}
		q.Keep = append(q.Keep, st)
	}
	q.Exclude = exclude
	return Choose(v, q, random)
}

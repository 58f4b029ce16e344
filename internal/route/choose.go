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
		target Target
		stage  wire.Stage
		place  place
		cost   time.Duration
		// rest is the cost from this node to the end of the chain, itself
		// included, for the loop end of the current search.
		rest time.Duration
	}

	search struct {
		query Query
		// nodes is ordered by the first layer, highest first, so that a
		// node's successors come before it.
		nodes []node
		// starts maps a first layer to its nodes [from, to).
		starts map[int][2]int
		slack  time.Duration
	}
)

// Choose returns a cheap chain over layers [0, Layers): stages in adjoining
// ranges. Paths within Tolerance of the best are equally likely. It returns
// false when no chain covers the layers.
func Choose(v View, q Query, random *rand.Rand) ([]wire.Stage, bool) {
	s := newSearch(v, q)
	here := place{q.DataCentre, q.Region}
	best, loops := unreachable, s.loopEnds()
	costs := make([]time.Duration, len(loops))
	for i, loop := range loops {
		costs[i] = s.run(loop) + hop(here, loop)
		best = min(best, costs[i])
	}
	if best >= unreachable {
		return nil, false
	}
	s.slack = time.Duration(float64(best) * Tolerance)
	// Data centres of the first stage are drawn in proportion to their
	// targets, otherwise a small data centre would get an equal share.
	var near []place
	for i, loop := range loops {
		if costs[i] > best+s.slack {
			continue
		}
		for _, n := range s.at(0) {
			if n.place == loop {
				near = append(near, loop)
			}
		}
	}
	loop := near[random.IntN(len(near))]
	s.slack -= s.run(loop) + hop(here, loop) - best
	return s.walk(loop, random), true
}

// newSearch collects the usable targets of the query.
func newSearch(v View, q Query) *search {
	s := &search{query: q, starts: map[int][2]int{}}
	kept := map[string]bool{}
	for _, st := range q.Keep {
		kept[st.Target] = true
		t, _ := v.Get(st.Target)
		s.nodes = append(s.nodes, s.node(t, st))
	}
	for _, t := range v.targets {
		if kept[t.Name] || !usable(t, q) {
			continue
		}
		s.nodes = append(s.nodes, s.node(t, t.Stage()))
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

func (s *search) node(t Target, st wire.Stage) node {
	own := 0
	if s.query.Own != nil {
		own = s.query.Own(st.Target)
	}
	return node{target: t, stage: st, place: place{t.Spec.DataCentre, t.Spec.Region}, cost: t.delay(own)}
}

// addAffinity lowers the cost of the target that ranks first for the prefix
// among those with the same layers: every entry prefers the same target, so
// its cache is likely to hold the prefix.
func (s *search) addAffinity() {
	if s.query.Prefix == 0 {
		return
	}
	first := map[[2]int]int{}
	for i, n := range s.nodes {
		key := [2]int{n.stage.Layers.From, n.stage.Layers.To}
		j, ok := first[key]
		if !ok || rank(s.query.Prefix, n.stage.Target) > rank(s.query.Prefix, s.nodes[j].stage.Target) {
			first[key] = i
		}
	}
	for _, i := range first {
		n := &s.nodes[i]
		step := max(n.target.Load.StepTime, defaultStep/10)
		n.cost -= min(time.Duration(float64(step)*affinityGain), n.cost/2)
	}
}

// loopEnds returns the places of possible first stages: each token returns
// from the last stage to the first.
func (s *search) loopEnds() []place {
	var out []place
	for _, n := range s.at(0) {
		if !slices.Contains(out, n.place) {
			out = append(out, n.place)
		}
	}
	return out
}

// at returns the nodes whose first layer is the given one.
func (s *search) at(layer int) []node {
	r := s.starts[layer]
	return s.nodes[r[0]:r[1]]
}

// run fills in rest for chains whose first stage is at loop and returns the
// lowest cost.
func (s *search) run(loop place) time.Duration {
	for i := range s.nodes {
		n := &s.nodes[i]
		n.rest = unreachable
		if n.stage.Layers.To == s.query.Layers {
			n.rest = n.cost + hop(n.place, loop)
			continue
		}
		for _, next := range s.at(n.stage.Layers.To) {
			n.rest = min(n.rest, n.cost+hop(n.place, next.place)+next.rest)
		}
	}
	best := unreachable
	for _, n := range s.at(0) {
		if n.place == loop {
			best = min(best, n.rest)
		}
	}
	return best
}

// walk draws a path whose cost is within the remaining slack of the best.
func (s *search) walk(loop place, random *rand.Rand) []wire.Stage {
	var (
		chain []wire.Stage
		from  = loop
	)
	for layer := 0; layer < s.query.Layers; {
		nodes := s.at(layer)
		cost := func(n node) time.Duration {
			if layer == 0 && n.place != loop {
				return unreachable
			}
			return hop(from, n.place) + n.rest
		}
		best := unreachable
		for _, n := range nodes {
			best = min(best, cost(n))
		}
		var near []node
		for _, n := range nodes {
			if c := cost(n); c < unreachable && c <= best+s.slack {
				near = append(near, n)
			}
		}
		n := near[random.IntN(len(near))]
		s.slack -= cost(n) - best
		chain = append(chain, n.stage)
		layer, from = n.stage.Layers.To, n.place
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

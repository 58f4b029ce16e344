package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"shallotcourse/internal/wire"
)

const (
	// localHopDelay, regionHopDelay and farHopDelay are the assumed one-way delays
	// within a data centre, within a region and between regions.
	localHopDelay  = 100 * time.Microsecond
	regionHopDelay = 500 * time.Microsecond
	farHopDelay    = 20 * time.Millisecond

	// Tolerance is the relative cost difference up to which paths count as equal.
	// Load reports lag by up to 200 ms, so smaller differences are not
	// significant.
	Tolerance = 0.05

	// affinityGain is the share of a step time that a likely prefix cache hit saves.
	affinityGain = 0.25

	// unreachable is the cost of a path that does not exist.
	unreachable = time.Duration(1) << 60
)

type (
	// Query describes the requested chain.
	Query struct {
		Version string
		Adapter string
		// Layers is the number of layers of the model version.
		Layers int
		// DataCentre and Region are those of the entry.
		DataCentre string
		Region     string
		// Prefix is the hash of the start of the prompt, see PrefixHash;
		// 0 for no cache affinity.
		Prefix uint64
		// Keep holds stages that must stay in the chain. No other chosen stage
		// overlaps their layers.
		Keep []wire.Stage
		// Exclude holds the names of targets that must not be chosen.
		Exclude map[string]bool
		// Own returns the entry's own open work at a target; nil means none.
		Own func(target string) int
	}

	// location is where a target or an entry runs.
	location struct{ dataCentre, region string }

	// node is a target that can serve a stage of the chain.
	node struct {
		stage    wire.Stage
		stepTime time.Duration
		// location is an index of search.locations.
		location int
		cost     time.Duration
		// costToEnd is the lowest cost from this node, itself included, to the end
		// of the chain and back to the origin that computeCosts was called with.
		costToEnd time.Duration
		open      int
	}

	// search finds cheap paths through the nodes, from the first layer to the last.
	search struct {
		query     Query
		locations []location
		// hopDelays holds the delay of a hop by the indexes of both locations.
		hopDelays [][]time.Duration
		// nodes is sorted by the first layer, highest first, so that a node's
		// successors precede it.
		nodes []node
		// nodesByStart maps a first layer to the range [from, to) of its nodes.
		nodesByStart map[int][2]int
		// bestToEnd holds the lowest costToEnd by first layer and location.
		bestToEnd map[int][]time.Duration
		// slack is the cost above the lowest that the rest of the path may use.
		slack time.Duration
	}
)

// Choose returns a cheap chain of stages with adjoining ranges that together cover
// the layers [0, Layers). It draws at random among the paths within Tolerance of the
// best, so that entries with the same view do not all choose the same targets. It
// returns false if no chain covers the layers.
func Choose(v View, q Query, random *rand.Rand) ([]wire.Stage, bool) {
	s := newSearch(v, q)
	entry, best := s.locationIndex(location{q.DataCentre, q.Region}), unreachable
	costs := make([]time.Duration, len(s.locations))
	for origin := range s.locations {
		costs[origin] = s.computeCosts(origin) + s.hopDelays[entry][origin]
		best = min(best, costs[origin])
	}
	if best >= unreachable {
		return nil, false
	}
	s.slack = time.Duration(float64(best) * Tolerance)
	// The location of the first stage is drawn in proportion to the number of its
	// targets; otherwise a small data centre would get as many requests as a large
	// one.
	var candidates []int
	for _, n := range s.nodesFrom(0) {
		if costs[n.location] <= best+s.slack {
			candidates = append(candidates, n.location)
		}
	}
	origin := candidates[random.IntN(len(candidates))]
	s.computeCosts(origin)
	s.slack -= costs[origin] - best
	return s.drawChain(origin, random), true
}

// newSearch returns a search over the targets that the query may use.
func newSearch(v View, q Query) *search {
	s := &search{query: q, nodesByStart: map[int][2]int{}, bestToEnd: map[int][]time.Duration{}}
	s.locationIndex(location{q.DataCentre, q.Region})
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
		r, ok := s.nodesByStart[n.stage.Layers.From]
		if !ok {
			r[0] = i
		}
		r[1] = i + 1
		s.nodesByStart[n.stage.Layers.From] = r
	}
	for layer := range s.nodesByStart {
		s.bestToEnd[layer] = make([]time.Duration, len(s.locations))
	}
	return s
}

// usable reports whether the query may choose the target for a new stage.
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

// add adds a node for a stage at the target.
func (s *search) add(t Target, st wire.Stage) {
	own := 0
	if s.query.Own != nil {
		own = s.query.Own(st.Target)
	}
	s.nodes = append(s.nodes, node{
		stage: st, stepTime: t.Load.StepTime, location: s.locationIndex(location{t.Spec.DataCentre, t.Spec.Region}),
		cost: t.stepDelay(own), open: t.Load.Open,
	})
}

// locationIndex returns the index of a location, and adds it if it is new.
func (s *search) locationIndex(l location) int {
	if i := slices.Index(s.locations, l); i >= 0 {
		return i
	}
	s.locations = append(s.locations, l)
	for i := range s.hopDelays {
		s.hopDelays[i] = append(s.hopDelays[i], hopDelay(s.locations[i], l))
	}
	var row []time.Duration
	for _, other := range s.locations {
		row = append(row, hopDelay(l, other))
	}
	s.hopDelays = append(s.hopDelays, row)
	return len(s.locations) - 1
}

// addAffinity lowers the cost of the target that ranks first for the prefix among
// those with the same layers. All entries thus prefer the same target, whose cache
// is likely to hold the prefix.
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
		step := max(n.stepTime, defaultStepTime/10)
		n.cost -= min(time.Duration(float64(step)*affinityGain), n.cost/2)
	}
}

// nodesFrom returns the nodes that start at the given layer.
func (s *search) nodesFrom(layer int) []node {
	r := s.nodesByStart[layer]
	return s.nodes[r[0]:r[1]]
}

// computeCosts sets costToEnd and bestToEnd for chains whose first stage is at
// origin, and returns the lowest cost of such a chain. The cost includes the hop from
// the last stage back to origin, which each token takes. The nodes must be sorted by
// first layer, highest first, so that the costs of later stages are known.
func (s *search) computeCosts(origin int) time.Duration {
	for _, best := range s.bestToEnd {
		for i := range best {
			best[i] = unreachable
		}
	}
	for i := range s.nodes {
		n := &s.nodes[i]
		hops := s.hopDelays[n.location]
		n.costToEnd = unreachable
		if n.stage.Layers.To == s.query.Layers {
			n.costToEnd = n.cost + hops[origin]
		} else {
			for next, rest := range s.bestToEnd[n.stage.Layers.To] {
				n.costToEnd = min(n.costToEnd, n.cost+hops[next]+rest)
			}
		}
		best := s.bestToEnd[n.stage.Layers.From]
		best[n.location] = min(best[n.location], n.costToEnd)
	}
	if best := s.bestToEnd[0]; best != nil {
		return best[origin]
	}
	return unreachable
}

// drawChain draws a path whose first stage is at origin and whose cost exceeds the
// lowest by at most the remaining slack. It must follow computeCosts for that origin.
func (s *search) drawChain(origin int, random *rand.Rand) []wire.Stage {
	var (
		chain []wire.Stage
		from  = origin
	)
	for layer := 0; layer < s.query.Layers; {
		nodes := s.nodesFrom(layer)
		cost := func(n *node) time.Duration {
			if layer == 0 && n.location != origin {
				return unreachable
			}
			return s.hopDelays[from][n.location] + n.costToEnd
		}
		best := unreachable
		for i := range nodes {
			best = min(best, cost(&nodes[i]))
		}
		var candidates []*node
		for i := range nodes {
			if c := cost(&nodes[i]); c < unreachable && c <= best+s.slack {
				candidates = append(candidates, &nodes[i])
			}
		}
		n := candidates[random.IntN(len(candidates))]
		s.slack -= cost(n) - best
		chain = append(chain, n.stage)
		layer, from = n.stage.Layers.To, n.location
	}
	return chain
}

func hopDelay(a, b location) time.Duration {
	switch {
	case a.dataCentre == b.dataCentre:
		return localHopDelay
	case a.region == b.region:
		return regionHopDelay
	}
	return farHopDelay
}

// Replace returns the chain with the stages of failed targets replaced. The other
// stages stay as they are. Targets in the query's Exclude are not chosen.
func Replace(v View, q Query, chain []wire.Stage, failed map[string]bool, random *rand.Rand) ([]wire.Stage, bool) {
	q.Keep = nil
	exclude := map[string]bool{}
	for name := range q.Exclude {
		exclude[name] = true
	}
	for _, st := range chain {
		if failed[st.Target] {
			exclude[st.Target] = true
			continue
		}
		q.Keep = append(q.Keep, st)
	}
	q.Exclude = exclude
	return Choose(v, q, random)
}

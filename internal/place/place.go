// Package place decides which layers of a model each target holds. It keeps no
// state between calls: the same targets always give the same orders.
package place

import (
	"cmp"
	"slices"

	"shallotcourse/internal/topo"
)

const (
	// minCopiesPerGroup is the memory, in copies of the model, from which a data
	// centre keeps a copy of its own; with less, too little memory would be left
	// for requests.
	minCopiesPerGroup = 1.3
	// minFreeShare is the share of a card's memory that stays free for requests
	// when a target takes on layers beyond its fair share.
	minFreeShare = 0.25
	// standbyFreeShare is the share that stays free on a target that only holds
	// layers as a standby, or so that another target can move.
	standbyFreeShare = 0.4
	// minPartLayers is the smallest part, in layers, into which a hole is divided
	// between several targets.
	minPartLayers = 3
)

type (
	// Target is a target as the planner sees it.
	Target struct {
		topo.Target
		// Next is the range that the target will hold; it differs from Held only
		// while an order is in progress.
		Next topo.Layers
		// Busy says that an order is in progress; the target gets no other one.
		Busy bool
		// UsedMegabytes is the memory in use by requests.
		UsedMegabytes float64
	}

	// Order makes a target hold a range of layers.
	Order struct {
		Target topo.Target
		Layers topo.Layers
		// Why is the reason, as shown to operators:
		//   - "hole": an empty target loads layers that no target holds.
		//   - "takeover": a neighbour of a hole extends its range over it.
		//   - "move": a redundant target moves to a hole.
		//   - "release": a neighbour takes over layers so that their holder can
		//     move.
		//   - "spare": an empty target loads layers as a standby.
		//   - "widen": a target changes its layers so that the group can serve
		//     more requests.
		Why string
	}

	// group is a set of targets that together hold one or more copies of the
	// model.
	group struct {
		model   *topo.Model
		targets []Target
		memo    *memo
		// freeLoads says that loads cost nothing, since no request has arrived.
		freeLoads bool
	}
)

// Pressed reports, for each group of data centres, whether some layers are so
// full that the group widens its bottlenecks.
func Pressed(m *topo.Model, targets []Target) []bool {
	var out []bool
	for _, g := range split(m, targets) {
		out = append(out, g.pressed())
	}
	return out
}

// Plan returns the orders that bring each group of data centres closer to a
// complete copy of the model, the most urgent first: those for the copy that
// misses the fewest layers, then those for the other copies, then standbys, then
// those that widen bottlenecks. While loads are free, layouts change for small
// gains too. All given targets must be ready and responsive.
func Plan(m *topo.Model, targets []Target, freeLoads bool) []Order {
	groups := split(m, targets)
	for i := range groups {
		groups[i].freeLoads = freeLoads
	}
	slices.SortStableFunc(groups, func(a, b group) int { return cmp.Compare(a.missingLayers(), b.missingLayers()) })
	var out []Order
	for _, g := range groups {
		out = append(out, g.plan()...)
	}
	slices.SortStableFunc(out, func(a, b Order) int { return cmp.Compare(a.urgency(), b.urgency()) })
	return out
}

// urgency is the sort key of orders, the most urgent lowest.
func (o Order) urgency() int {
	switch o.Why {
	case "spare":
		return 1
	case "widen":
		return 2
	}
	return 0
}

// split groups targets by data centre. Data centres with too little memory
// for a copy of their own form one group; if that has too little as well, it
// joins the smallest other group. Targets with an invalid range are left out.
func split(m *topo.Model, targets []Target) []group {
	byDC := map[string][]Target{}
	for _, t := range targets {
		if m.Runs(t.Target) && m.Contains(t.Next) && m.MaxLayers(t.Card) > 0 {
			byDC[t.DataCentre] = append(byDC[t.DataCentre], t)
		}
	}
	var names []string
	for dc := range byDC {
		names = append(names, dc)
	}
	slices.Sort(names)
	shared := &memo{chains: map[string]layout{}, divisions: map[string]division{}}
	var groups []group
	var rest []Target
	for _, dc := range names {
		if totalMegabytes(m, byDC[dc]) >= minCopiesPerGroup*float64(m.Layers)*m.LayerMegabytes {
			groups = append(groups, group{model: m, targets: sorted(byDC[dc]), memo: shared})
		} else {
			rest = append(rest, byDC[dc]...)
		}
	}
	if len(rest) == 0 {
		return groups
	}
	if len(groups) > 0 && totalMegabytes(m, rest) < minCopiesPerGroup*float64(m.Layers)*m.LayerMegabytes {
		smallest := slices.MinFunc(groups, func(a, b group) int { return cmp.Compare(totalMegabytes(m, a.targets), totalMegabytes(m, b.targets)) })
		for i := range groups {
			if groups[i].targets[0].ID == smallest.targets[0].ID {
				groups[i].targets = sorted(append(groups[i].targets, rest...))
			}
		}
		return groups
	}
	return append(groups, group{model: m, targets: sorted(rest), memo: shared})
}

// sorted returns targets sorted by card and ID, so that the plan does not depend
// on the order of the input.
func sorted(ts []Target) []Target {
	out := slices.Clone(ts)
	slices.SortFunc(out, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Card, b.Card), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func totalMegabytes(m *topo.Model, ts []Target) float64 {
	sum := 0.0
	for _, t := range ts {
		sum += m.Cards[t.Card].Megabytes
	}
	return sum
}

// missingLayers counts the layers that no target holds or is about to hold.
func (g group) missingLayers() int {
	n := 0
	for _, h := range holes(g.holderCounts()) {
		n += h.Len()
	}
	return n
}

// holderCounts counts, for each layer, the targets that will hold it once all
// orders are done.
func (g group) holderCounts() []int {
	count := make([]int, g.model.Layers)
	for _, t := range g.targets {
		for i := max(0, t.Next.From); i < min(g.model.Layers, t.Next.To); i++ {
			count[i]++
		}
	}
	return count
}

// stableHolderCounts counts, for each layer, the targets that hold it now and
// will still hold it once all orders are done.
func (g group) stableHolderCounts() []int {
	count := make([]int, g.model.Layers)
	for _, t := range g.targets {
		for i := max(0, t.Next.From, t.Held.From); i < min(g.model.Layers, t.Next.To, t.Held.To); i++ {
			count[i]++
		}
	}
	return count
}

// holes returns the ranges of layers with no holder.
func holes(holders []int) []topo.Layers {
	var out []topo.Layers
	for i := 0; i < len(holders); i++ {
		if holders[i] > 0 {
			continue
		}
		from := i
		for i < len(holders) && holders[i] == 0 {
			i++
		}
		out = append(out, topo.Layers{From: from, To: i})
	}
	return out
}

// fairShare is the number of layers of a target in proportion to its memory, so
// that each layer has the same memory for requests.
func (g group) fairShare(t Target) int {
	n := int(float64(g.model.Layers)*g.model.Cards[t.Card].Megabytes/totalMegabytes(g.model, g.targets) + 0.5)
	return max(1, min(n, g.maxLayers(t, minFreeShare)))
}

// maxLayers is the largest number of layers of a target that leaves the given
// share of its card free.
func (g group) maxLayers(t Target, free float64) int {
	return int(float64(g.model.MaxLayers(t.Card)) * (1 - free))
}

func (g group) plan() []Order {
	var out []Order
	open := holes(g.holderCounts())
	if len(open) > 0 {
		out = append(out, g.fillHoles(open)...)
	}
	if len(holes(g.holderCounts())) > 0 {
		return append(out, g.closeHoles()...)
	}
	out = append(out, g.placeStandbys()...)
	if g.freeLoads {
		return append(out, g.widen(minFreeGain, maxWidened)...)
	}
	if len(out) == 0 && !g.loading() && g.pressed() {
		return g.widen(minGain, 1)
	}
	return out
}

// clone returns a copy of the group with its own targets, to try orders on.
func (g group) clone() group {
	g.targets = slices.Clone(g.targets)
	return g
}

// loading reports whether a target of the group carries out an order.
func (g group) loading() bool {
	return slices.ContainsFunc(g.targets, func(t Target) bool { return t.Busy })
}

// order returns an order for target i and records it in the group.
func (g group) order(i int, l topo.Layers, why string) Order {
	t := &g.targets[i]
	t.Next, t.Busy = l, true
	return Order{Target: t.Target, Layers: l, Why: why}
}

// freePerLayer is the memory for requests, in megabytes per layer, of target i
// if it holds n layers.
func (g group) freePerLayer(i, n int) float64 {
	return g.model.FreeMegabytes(g.targets[i].Card, n) / float64(n)
}

// minLayerCapacity is the smallest capacity of all layers that have a holder.
func (g group) minLayerCapacity() float64 {
	capacity, holders := g.layerCapacity(), g.holderCounts()
	least := capacity[0]
	for i, r := range capacity {
		if holders[i] > 0 && (r < least || least == 0) {
			least = r
		}
	}
	return least
}

// layerCapacity is the memory for requests, in megabytes, of each layer over
// all its holders.
func (g group) layerCapacity() []float64 {
	capacity := make([]float64, g.model.Layers)
	for k, t := range g.targets {
		for l := t.Next.From; l < t.Next.To; l++ {
			capacity[l] += g.freePerLayer(k, t.Next.Len())
		}
	}
	return capacity
}

// placeStandbys gives targets that hold no layers the range that raises the rate
// of requests most. It waits while there are holes, which these targets may have
// to close.
func (g group) placeStandbys() []Order {
	if len(holes(g.holderCounts())) > 0 {
		return nil
	}
	var out []Order
	for i, t := range g.targets {
		if t.Busy || t.Next.Len() > 0 {
			continue
		}
		out = append(out, g.order(i, g.bestRange(g.spread(), i, topo.Layers{}).layers, "spare"))
	}
	return out
}

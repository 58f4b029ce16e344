// Package place decides which layers each target holds. It is pure: the same
// view gives the same orders.
package place

import (
	"cmp"
	"slices"

	"shallotcourse/internal/topo"
)

const (
	// groupFactor is the memory, in copies of the model, from which a data
	// centre keeps a copy of its own; below it, requests would have no room.
	groupFactor = 1.3
	// keepRoom is the share of a card's memory that stays free for requests
	// when a target takes over more layers than its share.
	keepRoom = 0.25
	// easyRoom is the share that stays free when a target takes over layers so
	// that another can move.
	easyRoom = 0.4
	// leastPart is the number of layers from which a hole is shared.
	leastPart = 3
	// trimAbove is the fill of the fullest layer from which targets give up
	// layers that others hold too.
	trimAbove = 0.7
	// leastTrim is the number of layers from which a trimming is worth an
	// order.
	leastTrim = 2
)

type (
	// Target is a target as the planner sees it.
	Target struct {
		topo.Target
		// Next is what the target will hold; it differs from Held only while
		// an order is in progress.
		Next topo.Layers
		// Busy targets take no order.
		Busy bool
		// UsedMegabytes is the memory that requests take.
		UsedMegabytes float64
	}

	// Order tells a target to hold a range of layers.
	Order struct {
		Target topo.Target
		Layers topo.Layers
		// Why is one of "hole", "takeover", "move", "release", "spare" and
		// "trim".
		Why string
	}

	// group is the targets that together keep one copy or more.
	group struct {
		m       *topo.Model
		targets []Target
		memo    *memo
	}
)

// Plan returns the orders that bring the targets closer to a whole copy of the
// model in each group of data centres, the most urgent first: the copy that is
// nearest to whole, then the others, then what stands in. Targets must be ready
// and alive.
func Plan(m *topo.Model, targets []Target) []Order {
	groups := split(m, targets)
	slices.SortStableFunc(groups, func(a, b group) int { return cmp.Compare(a.missing(), b.missing()) })
	var out []Order
	for _, g := range groups {
		out = append(out, g.plan()...)
	}
	slices.SortStableFunc(out, func(a, b Order) int { return cmp.Compare(a.urgency(), b.urgency()) })
	return out
}

// urgency is lower for orders that close a hole.
func (o Order) urgency() int {
	switch o.Why {
	case "spare":
		return 1
	case "trim":
		return 2
	}
	return 0
}

// split groups targets by data centre. Data centres with too little memory
// for a copy of their own share one.
func split(m *topo.Model, targets []Target) []group {
	byDC := map[string][]Target{}
	for _, t := range targets {
		valid := t.Next.From >= 0 && t.Next.From <= t.Next.To && t.Next.To <= m.Layers
		if valid && m.MaxLayers(t.Card) > 0 {
			byDC[t.DataCentre] = append(byDC[t.DataCentre], t)
		}
	}
	var names []string
	for dc := range byDC {
		names = append(names, dc)
	}
	slices.Sort(names)
	shared := &memo{single: map[string]layout{}, best: map[string]division{}}
	var groups []group
	var rest []Target
	for _, dc := range names {
		if memory(m, byDC[dc]) >= groupFactor*float64(m.Layers)*m.LayerMegabytes {
			groups = append(groups, group{m, ordered(byDC[dc]), shared})
		} else {
			rest = append(rest, byDC[dc]...)
		}
	}
	if len(rest) == 0 {
		return groups
	}
	if len(groups) > 0 && memory(m, rest) < groupFactor*float64(m.Layers)*m.LayerMegabytes {
		smallest := slices.MinFunc(groups, func(a, b group) int { return cmp.Compare(memory(m, a.targets), memory(m, b.targets)) })
		for i := range groups {
			if groups[i].targets[0].ID == smallest.targets[0].ID {
				groups[i].targets = ordered(append(groups[i].targets, rest...))
			}
		}
		return groups
	}
	return append(groups, group{m, ordered(rest), shared})
}

// ordered sorts targets by card and ID, largest memory first, so that equal
// inputs in another order give the same plan.
func ordered(ts []Target) []Target {
	out := slices.Clone(ts)
	slices.SortFunc(out, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Card, b.Card), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func memory(m *topo.Model, ts []Target) float64 {
	sum := 0.0
	for _, t := range ts {
		sum += m.Cards[t.Card].Megabytes
	}
	return sum
}

// missing counts the layers that no target holds.
func (g group) missing() int {
	n := 0
	for _, h := range holes(g.cover()) {
		n += h.Len()
	}
	return n
}

// cover counts the targets that hold each layer, or are about to.
func (g group) cover() []int {
	count := make([]int, g.m.Layers)
	for _, t := range g.targets {
		for i := max(0, t.Next.From); i < min(g.m.Layers, t.Next.To); i++ {
			count[i]++
		}
	}
	return count
}

// solid counts the targets that hold each layer now and go on doing so.
func (g group) solid() []int {
	count := make([]int, g.m.Layers)
	for _, t := range g.targets {
		for i := max(0, t.Next.From, t.Held.From); i < min(g.m.Layers, t.Next.To, t.Held.To); i++ {
			count[i]++
		}
	}
	return count
}

func holes(cover []int) []topo.Layers {
	var out []topo.Layers
	for i := 0; i < len(cover); i++ {
		if cover[i] > 0 {
			continue
		}
		from := i
		for i < len(cover) && cover[i] == 0 {
			i++
		}
		out = append(out, topo.Layers{From: from, To: i})
	}
	return out
}

// fair is the number of layers of a target in proportion to its memory, so
// that each layer has the same room for requests.
func (g group) fair(t Target) int {
	n := int(float64(g.m.Layers)*g.m.Cards[t.Card].Megabytes/memory(g.m, g.targets) + 0.5)
	return max(1, min(n, g.mostOf(t, keepRoom)))
}

// mostOf is the number of layers that leaves the given share of a card free.
func (g group) mostOf(t Target, free float64) int {
	return int(float64(g.m.MaxLayers(t.Card)) * (1 - free))
}

func (g group) plan() []Order {
	var out []Order
	hs := holes(g.cover())
	if len(hs) > 0 {
		out = append(out, g.fill(hs)...)
	}
	if len(holes(g.cover())) > 0 {
		return append(out, g.takeOver()...)
	}
	out = append(out, g.spare()...)
	if g.fullest() > trimAbove {
		out = append(out, g.trim()...)
	}
	return out
}

// order records an order in the group's view.
func (g group) order(i int, l topo.Layers, why string) Order {
	t := &g.targets[i]
	t.Next, t.Busy = l, true
	return Order{Target: t.Target, Layers: l, Why: why}
}

// density is the room for requests per layer of a target with n layers.
func (g group) density(i, n int) float64 {
	return g.m.FreeMegabytes(g.targets[i].Card, n) / float64(n)
}

// leastRoom is the room for requests of the layer that has least of it.
func (g group) leastRoom() float64 {
	room, cover := g.roomOf(), g.cover()
	least := room[0]
	for i, r := range room {
		if cover[i] > 0 && (r < least || least == 0) {
			least = r
		}
	}
	return least
}

// roomOf is the room for requests of each layer.
func (g group) roomOf() []float64 {
	room := make([]float64, g.m.Layers)
	for k, t := range g.targets {
		for l := t.Next.From; l < t.Next.To; l++ {
			room[l] += g.density(k, t.Next.Len())
		}
	}
	return room
}

// spare gives targets that still hold nothing the layers with the least room
// for requests. It waits while there are holes that a load will close.
func (g group) spare() []Order {
	if len(holes(g.cover())) > 0 {
		return nil
	}
	var out []Order
	for i, t := range g.targets {
		if t.Busy || t.Next.Len() > 0 {
			continue
		}
		out = append(out, g.order(i, poorest(g.need(t), min(g.spareLayers(t), g.m.Layers)), "spare"))
	}
	return out
}

// poorest returns the n layers with the least room together.
func poorest(room []float64, n int) topo.Layers {
	sum := 0.0
	for _, r := range room[:n] {
		sum += r
	}
	least, at := sum, 0
	for i := n; i < len(room); i++ {
		sum += room[i] - room[i-n]
		if sum < least-1e-6 {
			least, at = sum, i-n+1
		}
	}
	return topo.Layers{From: at, To: at + n}
}

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
		if valid && m.MostLayers(t.Card) > 0 {
			byDC[t.DataCentre] = append(byDC[t.DataCentre], t)
		}
	}
	var names []string
	for dc := range byDC {
		names = append(names, dc)
	}
	slices.Sort(names)
	var groups []group
	var rest []Target
	for _, dc := range names {
		if memory(m, byDC[dc]) >= groupFactor*float64(m.Layers)*m.LayerMegabytes {
			groups = append(groups, group{m, ordered(byDC[dc])})
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
	return append(groups, group{m, ordered(rest)})
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
	return int(float64(g.m.MostLayers(t.Card)) * (1 - free))
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

// fill gives holes to targets that hold nothing.
func (g group) fill(hs []topo.Layers) []Order {
	if g.missing() == g.m.Layers {
		return g.first()
	}
	var empty []int
	for i, t := range g.targets {
		if !t.Busy && t.Next.Len() == 0 {
			empty = append(empty, i)
		}
	}
	missing := 0
	for _, h := range hs {
		missing += h.Len()
	}
	chosen, counts := g.counts(empty, missing)
	return g.assign(hs, chosen, counts)
}

// assign gives the chosen targets their counts of layers, one after another.
func (g group) assign(hs []topo.Layers, chosen, counts []int) []Order {
	var out []Order
	next := 0
	for _, h := range hs {
		for h.Len() > 0 && next < len(chosen) {
			n := min(counts[next], h.Len())
			if n > 0 {
				out = append(out, g.order(chosen[next], topo.Layers{From: h.From, To: h.From + n}, "hole"))
			}
			h.From += n
			next++
		}
	}
	return out
}

// counts chooses among empty targets and says how many layers each takes, so
// that together they take all that is missing if their memory allows it.
func (g group) counts(empty []int, missing int) (chosen, counts []int) {
	slices.SortStableFunc(empty, func(a, b int) int { return cmp.Compare(g.fair(g.targets[b]), g.fair(g.targets[a])) })
	sum := 0
	for _, i := range empty {
		if sum >= missing {
			break
		}
		n := g.fair(g.targets[i])
		chosen, counts = append(chosen, i), append(counts, n)
		sum += n
	}
	for sum != missing {
		best := -1
		for k, i := range chosen {
			switch {
			case sum < missing && counts[k] >= g.mostOf(g.targets[i], keepRoom), sum > missing && counts[k] <= 1:
				continue
			case best < 0, sum < missing && g.density(i, counts[k]+1) > g.density(chosen[best], counts[best]+1),
				sum > missing && g.density(i, counts[k]) < g.density(chosen[best], counts[best]):
				best = k
			}
		}
		if best < 0 {
			return chosen, counts
		}
		step := 1
		if sum > missing {
			step = -1
		}
		counts[best] += step
		sum += step
	}
	return chosen, counts
}

// density is the room for requests per layer of a target with n layers.
func (g group) density(i, n int) float64 {
	return g.m.RoomMegabytes(g.targets[i].Card, n) / float64(n)
}

// takeOver closes holes with targets that hold layers already: those whose
// range ends at the hole hold more, or a target that others stand in for
// moves there. If there is none, the neighbours of a target take its layers
// over first, so that it can move.
func (g group) takeOver() []Order {
	var out []Order
	for _, h := range holes(g.cover()) {
		if grown := g.grow(h, keepRoom); grown != nil {
			out = append(out, grown...)
			continue
		}
		if moved := g.move(h); moved != nil {
			out = append(out, moved...)
			continue
		}
		if g.releasing() {
			continue
		}
		out = append(out, g.release(h)...)
	}
	return out
}

// releasing reports whether neighbours are taking over the layers of a target
// that can move then.
func (g group) releasing() bool {
	cover, solid := g.cover(), g.solid()
	for _, t := range g.targets {
		if !t.Busy && t.Next.Len() > 0 && slices.Min(cover[t.Next.From:t.Next.To]) > 1 && slices.Min(solid[t.Next.From:t.Next.To]) < 2 {
			return true
		}
	}
	return false
}

// release lets the neighbours of one target take over its layers. It picks the
// target that can take most of the hole and leaves its neighbours most room.
func (g group) release(h topo.Layers) []Order {
	best, bestTakes, bestRoom := -1, 0, 0.0
	for i, t := range g.targets {
		takes := min(h.Len(), g.mostOf(t, easyRoom))
		if t.Busy || t.Next.Len() == 0 || takes < bestTakes {
			continue
		}
		trial := group{g.m, slices.Clone(g.targets)}
		trial.targets[i].Next, trial.targets[i].Busy = topo.Layers{}, true
		grown := trial.grow(t.Next, easyRoom)
		if grown == nil {
			continue
		}
		room := trial.leastRoom()
		if takes > bestTakes || room > bestRoom {
			best, bestTakes, bestRoom = i, takes, room
		}
	}
	if best < 0 {
		return nil
	}
	// The target keeps its layers until the neighbours hold them.
	old := g.targets[best]
	g.targets[best].Next, g.targets[best].Busy = topo.Layers{}, true
	out := g.grow(old.Next, easyRoom)
	g.targets[best].Next = old.Next
	for i := range out {
		out[i].Why = "release"
	}
	return out
}

// leastRoom is the room for requests of the layer that has least of it.
func (g group) leastRoom() float64 {
	room := g.roomOf()
	least := room[0]
	for i, r := range room {
		if g.cover()[i] > 0 && (r < least || least == 0) {
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

// grow lets the targets on both sides of a hole take it over layer by layer,
// each time the one with more room left. It returns nil if they can't close
// the hole.
func (g group) grow(h topo.Layers, free float64) []Order {
	left, right := g.neighbours(h)
	grownLeft, grownRight := topo.Layers{}, topo.Layers{}
	if left >= 0 {
		grownLeft = g.targets[left].Next
		grownLeft.To = h.From
	}
	if right >= 0 {
		grownRight = g.targets[right].Next
		grownRight.From = h.To
	}
	for from, to := h.From, h.To; from < to; {
		canLeft := left >= 0 && grownLeft.Len() < g.mostOf(g.targets[left], free)
		canRight := right >= 0 && grownRight.Len() < g.mostOf(g.targets[right], free)
		switch {
		case !canLeft && !canRight:
			return nil
		case canLeft && (!canRight || g.density(left, grownLeft.Len()+1) >= g.density(right, grownRight.Len()+1)):
			grownLeft.To++
			from++
		default:
			grownRight.From--
			to--
		}
	}
	var out []Order
	if left >= 0 && grownLeft.To > h.From {
		out = append(out, g.order(left, grownLeft, "takeover"))
	}
	if right >= 0 && grownRight.From < h.To {
		out = append(out, g.order(right, grownRight, "takeover"))
	}
	return out
}

// neighbours returns the targets with the most room whose ranges reach the
// two ends of a hole, or -1.
func (g group) neighbours(h topo.Layers) (left, right int) {
	left, right = -1, -1
	for i, t := range g.targets {
		if t.Busy || t.Next.Len() == 0 {
			continue
		}
		if t.Next.To == h.From && (left < 0 || g.density(i, t.Next.Len()) > g.density(left, g.targets[left].Next.Len())) {
			left = i
		}
		if t.Next.From == h.To && (right < 0 || g.density(i, t.Next.Len()) > g.density(right, g.targets[right].Next.Len())) {
			right = i
		}
	}
	return left, right
}

// move sends targets whose layers others hold too to a hole. Slow ones go
// first, since chains hardly pass through them, and share the hole, so that
// none becomes the slowest stage of all.
func (g group) move(h topo.Layers) []Order {
	var out []Order
	parts := max(1, h.Len()/leastPart)
	for h.Len() > 0 {
		i, equals := g.redundant()
		if i < 0 {
			return out
		}
		share := (h.Len() + min(parts, equals) - 1) / min(parts, equals)
		n := min(h.Len(), share, g.mostOf(g.targets[i], keepRoom))
		if n <= 0 {
			return out
		}
		out = append(out, g.order(i, topo.Layers{From: h.From, To: h.From + n}, "move"))
		h.From += n
		parts = max(1, parts-1)
	}
	return out
}

// redundant returns the slowest target that can leave its layers without a new
// hole, or -1, and the number of such targets with the same card.
func (g group) redundant() (best, equals int) {
	cover := g.solid()
	best = -1
	for i, t := range g.targets {
		if t.Busy || t.Next.Len() == 0 || g.mostOf(t, keepRoom) < 1 || slices.Min(cover[t.Next.From:t.Next.To]) < 2 {
			continue
		}
		switch {
		case best < 0 || g.m.Cards[t.Card].Pace > g.m.Cards[g.targets[best].Card].Pace:
			best, equals = i, 1
		case t.Card == g.targets[best].Card:
			equals++
			if t.UsedMegabytes < g.targets[best].UsedMegabytes {
				best = i
			}
		}
	}
	return best, equals
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

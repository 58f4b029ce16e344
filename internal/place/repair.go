package place

import (
	"cmp"
	"slices"

	"shallotcourse/internal/topo"
)

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
		trial := group{g.m, slices.Clone(g.targets), g.memo}
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

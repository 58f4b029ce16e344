package place

import (
	"cmp"
	"slices"

	"shallotcourse/internal/topo"
)

// fillHoles assigns the layers of holes to targets that hold none.
func (g group) fillHoles(open []topo.Layers) []Order {
	if g.missingLayers() == g.model.Layers {
		return g.placeFirstCopies()
	}
	var empty []int
	for i, t := range g.targets {
		if !t.Busy && t.Next.Len() == 0 {
			empty = append(empty, i)
		}
	}
	missing := 0
	for _, h := range open {
		missing += h.Len()
	}
	chosen, counts := g.chooseTargets(empty, missing)
	return g.assign(open, chosen, counts)
}

// assign divides the holes among the chosen targets, in order; each gets its
// count of layers, or fewer where a hole ends.
func (g group) assign(open []topo.Layers, chosen, counts []int) []Order {
	var out []Order
	next := 0
	for _, h := range open {
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

// chooseTargets chooses among empty targets and returns how many layers each
// takes, so that together they take all missing layers if their memory allows
// it.
func (g group) chooseTargets(empty []int, missing int) (chosen, counts []int) {
	slices.SortStableFunc(empty, func(a, b int) int { return cmp.Compare(g.fairShare(g.targets[b]), g.fairShare(g.targets[a])) })
	sum := 0
	for _, i := range empty {
		if sum >= missing {
			break
		}
		n := g.fairShare(g.targets[i])
		chosen, counts = append(chosen, i), append(counts, n)
		sum += n
	}
	for sum != missing {
		best := -1
		for k, i := range chosen {
			switch {
			case sum < missing && counts[k] >= g.maxLayers(g.targets[i], minFreeShare), sum > missing && counts[k] <= 1:
				continue
			case best < 0, sum < missing && g.freePerLayer(i, counts[k]+1) > g.freePerLayer(chosen[best], counts[best]+1),
				sum > missing && g.freePerLayer(i, counts[k]) < g.freePerLayer(chosen[best], counts[best]):
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

// closeHoles closes holes with targets that already hold layers. It tries, in
// this order: to extend the ranges that end at the hole, to move redundant
// targets there, and to let the neighbours of a target take over its layers, so
// that it can move later.
func (g group) closeHoles() []Order {
	var out []Order
	for _, h := range holes(g.holderCounts()) {
		if grown := g.growNeighbours(h, minFreeShare); grown != nil {
			out = append(out, grown...)
			continue
		}
		if moved := g.moveRedundant(h); moved != nil {
			out = append(out, moved...)
			continue
		}
		if g.releaseInProgress() {
			continue
		}
		out = append(out, g.release(h)...)
	}
	return out
}

// releaseInProgress reports whether neighbours are loading the layers of a
// target that will then be free to move.
func (g group) releaseInProgress() bool {
	holders, stable := g.holderCounts(), g.stableHolderCounts()
	for _, t := range g.targets {
		if !t.Busy && t.Next.Len() > 0 && slices.Min(holders[t.Next.From:t.Next.To]) > 1 && slices.Min(stable[t.Next.From:t.Next.To]) < 2 {
			return true
		}
	}
	return false
}

// release makes the neighbours of one target take over its layers. It picks the
// target that can take most of the hole, and among equals the one whose release
// leaves the largest minimum capacity.
func (g group) release(h topo.Layers) []Order {
	best, bestTakes, bestCapacity := -1, 0, 0.0
	for i, t := range g.targets {
		takes := min(h.Len(), g.maxLayers(t, standbyFreeShare))
		if t.Busy || t.Next.Len() == 0 || takes < bestTakes {
			continue
		}
		trial := g.clone()
		trial.targets[i].Next, trial.targets[i].Busy = topo.Layers{}, true
		grown := trial.growNeighbours(t.Next, standbyFreeShare)
		if grown == nil {
			continue
		}
		minCapacity := trial.minLayerCapacity()
		if takes > bestTakes || minCapacity > bestCapacity {
			best, bestTakes, bestCapacity = i, takes, minCapacity
		}
	}
	if best < 0 {
		return nil
	}
	// The target keeps its layers until the neighbours hold them; it is cleared
	// only while its neighbours' orders are made.
	old := g.targets[best]
	g.targets[best].Next, g.targets[best].Busy = topo.Layers{}, true
	out := g.growNeighbours(old.Next, standbyFreeShare)
	g.targets[best].Next = old.Next
	for i := range out {
		out[i].Why = "release"
	}
	return out
}

// growNeighbours extends the ranges of the targets on both sides of a hole until
// they meet. Each layer goes to the side that has more free memory per layer. It
// returns nil if the two cannot close the hole.
func (g group) growNeighbours(h topo.Layers, free float64) []Order {
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
		canLeft := left >= 0 && grownLeft.Len() < g.maxLayers(g.targets[left], free)
		canRight := right >= 0 && grownRight.Len() < g.maxLayers(g.targets[right], free)
		switch {
		case !canLeft && !canRight:
			return nil
		case canLeft && (!canRight || g.freePerLayer(left, grownLeft.Len()+1) >= g.freePerLayer(right, grownRight.Len()+1)):
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

// neighbours returns the targets whose ranges end and begin at the two ends of a
// hole, those with the most free memory per layer, or -1 where there is none.
func (g group) neighbours(h topo.Layers) (left, right int) {
	left, right = -1, -1
	for i, t := range g.targets {
		if t.Busy || t.Next.Len() == 0 {
			continue
		}
		if t.Next.To == h.From && (left < 0 || g.freePerLayer(i, t.Next.Len()) > g.freePerLayer(left, g.targets[left].Next.Len())) {
			left = i
		}
		if t.Next.From == h.To && (right < 0 || g.freePerLayer(i, t.Next.Len()) > g.freePerLayer(right, g.targets[right].Next.Len())) {
			right = i
		}
	}
	return left, right
}

// moveRedundant moves targets whose layers others hold too to a hole. The
// slowest go first, since few chains pass through them, and divide the hole
// among them, so that none becomes the slowest stage of the chain.
func (g group) moveRedundant(h topo.Layers) []Order {
	var out []Order
	parts := max(1, h.Len()/minPartLayers)
	for h.Len() > 0 {
		i, equals := g.redundant()
		if i < 0 {
			return out
		}
		share := (h.Len() + min(parts, equals) - 1) / min(parts, equals)
		n := min(h.Len(), share, g.maxLayers(g.targets[i], minFreeShare))
		if n <= 0 {
			return out
		}
		out = append(out, g.order(i, topo.Layers{From: h.From, To: h.From + n}, "move"))
		h.From += n
		parts = max(1, parts-1)
	}
	return out
}

// redundant returns the slowest target that can give up its layers without
// opening a hole, or -1, and the number of such targets with the same card.
func (g group) redundant() (best, equals int) {
	holders := g.stableHolderCounts()
	best = -1
	for i, t := range g.targets {
		if t.Busy || t.Next.Len() == 0 || g.maxLayers(t, minFreeShare) < 1 || slices.Min(holders[t.Next.From:t.Next.To]) < 2 {
			continue
		}
		switch {
		case best < 0 || g.model.Cards[t.Card].Pace > g.model.Cards[g.targets[best].Card].Pace:
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

package place

import (
	"slices"

	"shallotcourse/internal/topo"
)

// soleHolderFactor lowers the capacity of a layer with a single holder when the
// layers of a standby are chosen, since the loss of that holder opens a hole.
const soleHolderFactor = 0.5

// standbyLayers is the number of layers that a standby loads.
func (g group) standbyLayers(t Target) int { return max(1, g.maxLayers(t, standbyFreeShare)) }

// standbyCapacity is the capacity of each layer, weighted for the choice of a
// standby's layers: it is lowered where the layer has a single holder, and where
// all its holders are slower than the standby.
func (g group) standbyCapacity(standby Target) []float64 {
	capacity, holders := g.layerCapacity(), g.holderCounts()
	pace := g.model.Cards[standby.Card].Pace
	for l := range capacity {
		if holders[l] < 2 {
			capacity[l] *= soleHolderFactor
		}
		if fastest := g.fastestPace(l); fastest > pace {
			capacity[l] *= pace / fastest
		}
	}
	return capacity
}

// fastestPace is the pace of the fastest card that holds a layer, 0 if none
// does. A lower pace is faster.
func (g group) fastestPace(layer int) float64 {
	best := 0.0
	for _, t := range g.targets {
		if pace := g.model.Cards[t.Card].Pace; t.Next.From <= layer && layer < t.Next.To && (best == 0 || pace < best) {
			best = pace
		}
	}
	return best
}

// maxFill is the largest share of a layer's memory for requests that is in use.
func (g group) maxFill() float64 {
	used := make([]float64, g.model.Layers)
	for _, t := range g.targets {
		for l := t.Next.From; l < t.Next.To; l++ {
			used[l] += t.UsedMegabytes / float64(t.Next.Len())
		}
	}
	most := 0.0
	for l, r := range g.layerCapacity() {
		if r > 0 {
			most = max(most, used[l]/r)
		}
	}
	return most
}

// trim makes one target give up layers that others hold too, to free memory for
// requests at the layer with the smallest capacity.
func (g group) trim() []Order {
	capacity := g.layerCapacity()
	lowest, least := 0, capacity[0]
	for l, r := range capacity {
		if r < least {
			lowest, least = l, r
		}
	}
	best, kept, gain := -1, topo.Layers{}, 0.0
	for i, t := range g.targets {
		if t.Busy || t.Next.From > lowest || t.Next.To <= lowest {
			continue
		}
		l := t.Next
		for l.From < lowest && g.hasOtherHolder(i, l.From) {
			l.From++
		}
		for l.To-1 > lowest && g.hasOtherHolder(i, l.To-1) {
			l.To--
		}
		if t.Next.Len()-l.Len() < minTrimLayers {
			continue
		}
		trial := group{g.model, slices.Clone(g.targets), g.memo}
		trial.targets[i].Next = l
		if more := slices.Min(trial.layerCapacity()) - least; more > gain {
			best, kept, gain = i, l, more
		}
	}
	if best < 0 {
		return nil
	}
	return []Order{g.order(best, kept, "trim")}
}

// hasOtherHolder reports whether another target, no slower than target i, also
// holds a layer.
func (g group) hasOtherHolder(i, layer int) bool {
	for k, t := range g.targets {
		holds := t.Next.From <= layer && layer < t.Next.To && t.Held.From <= layer && layer < t.Held.To
		if k != i && holds && g.model.Cards[t.Card].Pace <= g.model.Cards[g.targets[i].Card].Pace {
			return true
		}
	}
	return false
}

package place

import (
	"slices"

	"shallotcourse/internal/topo"
)

// onceFactor makes the room of a layer that one target alone holds count for
// less when a place for a spare target is looked for.
const onceFactor = 0.5

// spareLayers is the number of layers of a target that stands in for others.
func (g group) spareLayers(t Target) int { return max(1, g.mostOf(t, easyRoom)) }

// need is the room for requests of each layer as it counts for a spare target:
// less where one target alone holds the layer, and less where all that hold it
// are slower than the spare one.
func (g group) need(spare Target) []float64 {
	room, cover := g.roomOf(), g.cover()
	pace := g.m.Cards[spare.Card].Pace
	for l := range room {
		if cover[l] < 2 {
			room[l] *= onceFactor
		}
		if fastest := g.fastest(l); fastest > pace {
			room[l] *= pace / fastest
		}
	}
	return room
}

// fastest is the pace of the fastest card that holds a layer.
func (g group) fastest(layer int) float64 {
	best := 0.0
	for _, t := range g.targets {
		if pace := g.m.Cards[t.Card].Pace; t.Next.From <= layer && layer < t.Next.To && (best == 0 || pace < best) {
			best = pace
		}
	}
	return best
}

// fullest is the share of the room in use at the layer that has least left.
func (g group) fullest() float64 {
	used := make([]float64, g.m.Layers)
	for _, t := range g.targets {
		for l := t.Next.From; l < t.Next.To; l++ {
			used[l] += t.UsedMegabytes / float64(t.Next.Len())
		}
	}
	most := 0.0
	for l, r := range g.roomOf() {
		if r > 0 {
			most = max(most, used[l]/r)
		}
	}
	return most
}

// trim lets one target give up layers that others hold too, so that the layer
// with the least room left gets more.
func (g group) trim() []Order {
	room := g.roomOf()
	poor, least := 0, room[0]
	for l, r := range room {
		if r < least {
			poor, least = l, r
		}
	}
	best, grown, gain := -1, topo.Layers{}, 0.0
	for i, t := range g.targets {
		if t.Busy || t.Next.From > poor || t.Next.To <= poor {
			continue
		}
		l := t.Next
		for l.From < poor && g.backed(i, l.From) {
			l.From++
		}
		for l.To-1 > poor && g.backed(i, l.To-1) {
			l.To--
		}
		if t.Next.Len()-l.Len() < leastTrim {
			continue
		}
		trial := group{g.m, slices.Clone(g.targets), g.memo}
		trial.targets[i].Next = l
		if more := slices.Min(trial.roomOf()) - least; more > gain {
			best, grown, gain = i, l, more
		}
	}
	if best < 0 {
		return nil
	}
	return []Order{g.order(best, grown, "trim")}
}

// backed reports whether a target that is no slower holds a layer too.
func (g group) backed(i, layer int) bool {
	for k, t := range g.targets {
		holds := t.Next.From <= layer && layer < t.Next.To && t.Held.From <= layer && layer < t.Held.To
		if k != i && holds && g.m.Cards[t.Card].Pace <= g.m.Cards[g.targets[i].Card].Pace {
			return true
		}
	}
	return false
}

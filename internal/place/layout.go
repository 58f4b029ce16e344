package place

import (
	"cmp"
	"slices"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/topo"
)

const (
	// mostStages is the longest chain that targets accept.
	mostStages = 32
	// loadLimit is the share of the time of the slowest stage that prompts may
	// take; above it they queue.
	loadLimit = 0.85
	// placesStep is the resolution of the search over the number of requests.
	placesStep = 8
)

// layout is a division of all layers among some targets.
type layout struct {
	chosen []int
	counts []int
	// rate is the number of requests of usual size per second that the chain
	// can serve.
	rate float64
}

// first places the first copy on targets that all hold nothing. Slow targets
// are left out where a shorter chain serves more: requests stay in it for less
// time and need less memory.
func (g group) first() []Order {
	var free []int
	for i, t := range g.targets {
		if !t.Busy && t.Next.Len() == 0 {
			free = append(free, i)
		}
	}
	l := g.best(free)
	if l.chosen == nil {
		// No layout leaves room for requests everywhere; close the holes as
		// far as memory goes.
		l.chosen, l.counts = g.counts(free, g.m.Layers)
	}
	chosen, counts := mountain(l.chosen, l.counts)
	return g.assign([]topo.Layers{{From: 0, To: g.m.Layers}}, chosen, counts)
}

// best returns the layout with the highest rate over the fastest targets.
func (g group) best(free []int) layout {
	free = slices.Clone(free)
	slices.SortStableFunc(free, func(a, b int) int {
		ca, cb := g.m.Cards[g.targets[a].Card], g.m.Cards[g.targets[b].Card]
		return cmp.Or(cmp.Compare(ca.Pace, cb.Pace), cmp.Compare(cb.Megabytes, ca.Megabytes))
	})
	var best layout
	for n := 1; n <= min(len(free), mostStages); n++ {
		chosen := free[:n]
		most := 0.0
		for _, i := range chosen {
			most = max(most, g.density(i, 1)/g.m.UsualMegabytes())
		}
		for places := placesStep; float64(places) < most; places += placesStep {
			counts := g.divide(chosen, float64(places)*g.m.UsualMegabytes())
			if counts == nil {
				break
			}
			if rate := g.rate(chosen, counts); rate > best.rate {
				best = layout{slices.Clone(chosen), counts, rate}
			}
		}
	}
	return best
}

// divide gives each layer to the target whose stage stays the fastest with it
// and keeps the wanted room per layer. It returns nil if the room is not there.
func (g group) divide(chosen []int, room float64) []int {
	counts := make([]int, len(chosen))
	for range g.m.Layers {
		best, least := -1, 0.0
		for k, i := range chosen {
			n := counts[k] + 1
			time := g.m.Cards[g.targets[i].Card].Pace * float64(n)
			if g.density(i, n) >= room && (best < 0 || time < least) {
				best, least = k, time
			}
		}
		if best < 0 {
			return nil
		}
		counts[best]++
	}
	return counts
}

// rate estimates the requests per second of a chain: as many as fit its
// memory, as long as the slowest stage keeps up with their prompts.
func (g group) rate(chosen, counts []int) float64 {
	var stages []chain.Stage
	places := 0.0
	for k, i := range chosen {
		if counts[k] == 0 {
			continue
		}
		stages = append(stages, chain.Stage{Card: g.targets[i].Card, Layers: counts[k]})
		if p := g.density(i, counts[k]) / g.m.UsualMegabytes(); len(stages) == 1 || p < places {
			places = p
		}
	}
	best := 0.0
	for n := 1.0; n <= places; n++ {
		rate, reading := chain.Throughput(g.m, stages, n)
		if reading > loadLimit {
			break
		}
		best = max(best, rate)
	}
	return best
}

// mountain puts the largest counts in the middle, so that the neighbours of
// each target can hold most of its layers too.
func mountain(chosen, counts []int) ([]int, []int) {
	at := make([]int, len(chosen))
	for i := range at {
		at[i] = i
	}
	slices.SortStableFunc(at, func(a, b int) int { return cmp.Compare(counts[b], counts[a]) })
	order := make([]int, 0, len(at))
	for k, i := range at {
		if k%2 == 0 {
			order = append(order, i)
		} else {
			order = append([]int{i}, order...)
		}
	}
	outChosen, outCounts := make([]int, len(order)), make([]int, len(order))
	for k, i := range order {
		outChosen[k], outCounts[k] = chosen[i], counts[i]
	}
	return outChosen, outCounts
}

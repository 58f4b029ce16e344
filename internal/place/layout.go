package place

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/topo"
)

const (
	// loadLimit is the share of the time of the slowest stage that prompts may
	// take; above it they queue.
	loadLimit = 0.85
	// leastPlaces is the smallest number of requests that a chain is laid out
	// for, and placesGrowth the resolution of the search from there.
	leastPlaces  = 16
	placesGrowth = 1.2
	// largestPlaces is the room that some large requests take, in requests of
	// usual size, and usablePlaces the share of the rest that requests of all
	// sizes fill.
	largestPlaces = 10
	usablePlaces  = 0.75
	// mostCopies is the memory, in copies of the model, from which a chain is
	// better divided.
	mostCopies = 4
	// mostMixes bounds the combinations of cards that are compared; more
	// targets are divided into parts first.
	mostMixes = 512
	// smoothRound is the longest time between two events of a stream in a full
	// chain; callers see longer ones as pauses.
	smoothRound = 150 * time.Millisecond
)

type (
	// layout is a division of all layers among some targets.
	layout struct {
		// chosen holds the targets; it is nil in the memo, where a layout goes
		// for any targets with the same cards.
		chosen []int
		counts []int
		// rate is the number of requests of usual size per second that the
		// chain can serve.
		rate float64
	}

	// layouts finds the chains with the highest rate together.
	layouts struct {
		g group
		// cards holds the kinds of cards, fastest first, and free the targets
		// of each.
		cards []string
		free  map[string][]int
		// names stands for the cards in the keys of the memo.
		names string
	}

	// memo keeps the layouts of a plan by kinds and numbers of cards, since
	// data centres and parts of them are alike.
	memo struct {
		// single holds the best chain of a mix of cards, best the chains that
		// a mix is divided into.
		single map[string]layout
		best   map[string]division
	}

	// mix is a number of targets for each kind of card.
	mix []int

	// division is a mix divided into chains.
	division struct {
		rate  float64
		mixes []mix
	}
)

// first places the first copies on targets that all hold nothing: the chains
// that serve most together. Requests stay in a short chain of fast cards for
// less time and need less memory, so slow targets are often left out.
func (g group) first() []Order {
	var free []int
	for i, t := range g.targets {
		if !t.Busy && t.Next.Len() == 0 {
			free = append(free, i)
		}
	}
	var out []Order
	for _, part := range g.parts(free) {
		for _, l := range g.chains(part) {
			out = append(out, g.lay(l)...)
		}
	}
	if out == nil {
		// No chain leaves room for requests everywhere; close the holes as far
		// as memory goes.
		chosen, counts := g.counts(free, g.m.Layers)
		out = g.lay(layout{chosen: chosen, counts: counts})
	}
	return out
}

func (g group) lay(l layout) []Order {
	chosen, counts := mountain(l.chosen, l.counts)
	return g.assign([]topo.Layers{{From: 0, To: g.m.Layers}}, chosen, counts)
}

// parts divides targets into parts with alike cards, few enough for the search.
func (g group) parts(free []int) [][]int {
	for n := 1; ; n++ {
		parts := make([][]int, n)
		seen := map[string]int{}
		for _, i := range free {
			card := g.targets[i].Card
			parts[seen[card]%n] = append(parts[seen[card]%n], i)
			seen[card]++
		}
		mixes := 1
		for card := range seen {
			mixes *= 2 + (seen[card]-1)/n
		}
		if mixes <= mostMixes || n >= len(free) {
			return parts
		}
	}
}

// chains returns the chains of some targets that serve most together.
func (g group) chains(free []int) []layout {
	ls := layouts{g: g, free: map[string][]int{}}
	for _, i := range free {
		card := g.targets[i].Card
		if ls.free[card] == nil {
			ls.cards = append(ls.cards, card)
		}
		ls.free[card] = append(ls.free[card], i)
	}
	slices.SortFunc(ls.cards, func(a, b string) int {
		return cmp.Or(cmp.Compare(g.m.Cards[a].Pace, g.m.Cards[b].Pace), cmp.Compare(a, b))
	})
	ls.names = strings.Join(ls.cards, ",") + "="
	all := make(mix, len(ls.cards))
	for k, card := range ls.cards {
		all[k] = len(ls.free[card])
	}
	var out []layout
	used := make(mix, len(all))
	mixes := ls.divide(all).mixes
	slices.SortStableFunc(mixes, func(a, b mix) int { return cmp.Compare(ls.chain(b).rate, ls.chain(a).rate) })
	for _, m := range mixes {
		l := ls.chain(m)
		chosen := make([]int, 0, len(l.counts))
		for k, card := range ls.cards {
			chosen = append(chosen, ls.free[card][used[k]:used[k]+m[k]]...)
			used[k] += m[k]
		}
		out = append(out, layout{chosen, l.counts, l.rate})
	}
	return out
}

// divide returns the chains of a mix with the highest rate together.
func (ls *layouts) divide(m mix) division {
	key := ls.names + m.key()
	if d, ok := ls.g.memo.best[key]; ok {
		return d
	}
	var best division
	ls.each(m, make(mix, 0, len(m)), func(part mix) {
		l := ls.chain(part)
		if l.rate <= 0 {
			return
		}
		rest := make(mix, len(m))
		for k := range m {
			rest[k] = m[k] - part[k]
		}
		d := ls.divide(rest)
		if rate := l.rate + d.rate; rate > best.rate {
			best = division{rate, append([]mix{slices.Clone(part)}, d.mixes...)}
		}
	})
	ls.g.memo.best[key] = best
	return best
}

// each calls f with all mixes of one target or more that are part of m.
func (ls *layouts) each(m, head mix, f func(mix)) {
	if len(head) == len(m) {
		if n := head.sum(); n > 0 && n <= chain.MaxHops {
			f(head)
		}
		return
	}
	for n := 0; n <= m[len(head)]; n++ {
		ls.each(m, append(head, n), f)
	}
}

// chain returns the best layout of a chain over all targets of a mix.
func (ls *layouts) chain(m mix) layout {
	key := ls.names + m.key()
	if l, ok := ls.g.memo.single[key]; ok {
		return l
	}
	var chosen []int
	for k, card := range ls.cards {
		chosen = append(chosen, ls.free[card][:m[k]]...)
	}
	l := ls.g.bestOf(chosen)
	ls.g.memo.single[key] = l
	return l
}

func (m mix) key() string {
	b := make([]byte, 0, 2*len(m))
	for _, n := range m {
		b = append(b, byte(n), byte(n>>8))
	}
	return string(b)
}

func (m mix) sum() int {
	n := 0
	for _, k := range m {
		n += k
	}
	return n
}

// bestOf returns the layout over all of some targets with the highest rate.
func (g group) bestOf(chosen []int) layout {
	var best layout
	sum := 0.0
	for _, i := range chosen {
		sum += g.m.Cards[g.targets[i].Card].Megabytes
	}
	copies := sum / (float64(g.m.Layers) * g.m.LayerMegabytes)
	if copies <= 1 || copies > mostCopies && len(chosen) > 1 {
		return best
	}
	for places := float64(leastPlaces); ; places *= placesGrowth {
		counts := g.divide(chosen, places*g.m.UsualMegabytes())
		if counts == nil {
			break
		}
		if slices.Min(counts) == 0 {
			continue
		}
		if rate := g.rate(chosen, counts); rate > best.rate {
			best = layout{counts: counts, rate: rate}
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
// memory, as long as events come smoothly and the slowest stage keeps up with
// the prompts.
func (g group) rate(chosen, counts []int) float64 {
	stages := make([]chain.Stage, len(chosen))
	places := 0.0
	for k, i := range chosen {
		stages[k] = chain.Stage{Card: g.targets[i].Card, Layers: counts[k]}
		if p := g.density(i, counts[k]) / g.m.UsualMegabytes(); k == 0 || p < places {
			places = p
		}
	}
	places = usablePlaces * (places - largestPlaces)
	best := 0.0
	for n := leastPlaces / 2.0; n <= places; n *= placesGrowth {
		t := chain.Throughput(g.m, stages, n)
		if t.Reading > loadLimit || t.Round > smoothRound {
			break
		}
		best = max(best, t.Rate)
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

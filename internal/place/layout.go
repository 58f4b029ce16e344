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
	// maxPromptShare is the largest share of the slowest stage's time that
	// prompts may take; above it they queue.
	maxPromptShare = 0.85
	// minConcurrency is the smallest number of concurrent requests that a chain
	// is laid out for, and concurrencyGrowth the factor between two numbers that
	// the search tries.
	minConcurrency    = 16
	concurrencyGrowth = 1.2
	// largeRequestReserve is the memory set aside for a few large requests, in
	// requests of usual size, and usableShare the share of the rest that requests
	// of mixed sizes fill.
	largeRequestReserve = 10
	usableShare         = 0.75
	// maxCopies is the memory of a chain's targets, in copies of the model, above
	// which they are divided into several chains.
	maxCopies = 4
	// maxMixes bounds the combinations of cards that one search compares;
	// targets with more are divided into several searches.
	maxMixes = 512
	// maxRoundTime is the longest time between two events of a stream in a full
	// chain; callers notice longer ones as pauses.
	maxRoundTime = 150 * time.Millisecond
)

type (
	// layout is a division of all layers among the targets of a chain.
	layout struct {
		// chosen holds the indexes of the targets; it is nil in the memo, where a
		// layout holds for any targets with the same cards.
		chosen []int
		// counts holds the number of layers of each target.
		counts []int
		// rate is the number of requests of usual size per second that the
		// chain can serve.
		rate float64
	}

	// layoutSearch finds the set of chains with the highest total rate.
	layoutSearch struct {
		group group
		// cards holds the kinds of cards, fastest first, and byCard the targets
		// of each.
		cards  []string
		byCard map[string][]int
		// keyPrefix names the cards in the keys of the memo.
		keyPrefix string
	}

	// memo caches the layouts of a plan by kinds and numbers of cards, since
	// data centres often have the same cards.
	memo struct {
		// chains holds the best single chain of a mix of cards, divisions the
		// best set of chains.
		chains    map[string]layout
		divisions map[string]division
	}

	// cardMix is a number of targets for each kind of card.
	cardMix []int

	// division is a mix divided into chains, with their total rate.
	division struct {
		rate  float64
		mixes []cardMix
	}
)

// placeFirstCopies places the first copies in a group that holds no layers, as
// the set of chains with the highest total rate. Requests stay in a short chain
// of fast cards for less time and so need less memory, which is why slow targets
// are often left out.
func (g group) placeFirstCopies() []Order {
	var free []int
	for i, t := range g.targets {
		if !t.Busy && t.Next.Len() == 0 {
			free = append(free, i)
		}
	}
	var out []Order
	for _, part := range g.partition(free) {
		for _, l := range g.bestChains(part) {
			out = append(out, g.assignChain(l)...)
		}
	}
	if out == nil {
		// No chain leaves memory for requests at every stage: place as many
		// layers as fit.
		chosen, counts := g.chooseTargets(free, g.model.Layers)
		out = g.assignChain(layout{chosen: chosen, counts: counts})
	}
	return out
}

// assignChain returns the orders that lay out a chain over all layers.
func (g group) assignChain(l layout) []Order {
	chosen, counts := largestInMiddle(l.chosen, l.counts)
	return g.assign([]topo.Layers{{From: 0, To: g.model.Layers}}, chosen, counts)
}

// partition divides targets into parts with about the same mix of cards, each
// small enough for one search.
func (g group) partition(free []int) [][]int {
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
		if mixes <= maxMixes || n >= len(free) {
			return parts
		}
	}
}

// bestChains returns the set of chains over some targets with the highest total
// rate, the chain with the highest rate first.
func (g group) bestChains(free []int) []layout {
	ls := layoutSearch{group: g, byCard: map[string][]int{}}
	for _, i := range free {
		card := g.targets[i].Card
		if ls.byCard[card] == nil {
			ls.cards = append(ls.cards, card)
		}
		ls.byCard[card] = append(ls.byCard[card], i)
	}
	slices.SortFunc(ls.cards, func(a, b string) int {
		return cmp.Or(cmp.Compare(g.model.Cards[a].Pace, g.model.Cards[b].Pace), cmp.Compare(a, b))
	})
	ls.keyPrefix = strings.Join(ls.cards, ",") + "="
	all := make(cardMix, len(ls.cards))
	for k, card := range ls.cards {
		all[k] = len(ls.byCard[card])
	}
	var out []layout
	used := make(cardMix, len(all))
	mixes := ls.divide(all).mixes
	slices.SortStableFunc(mixes, func(a, b cardMix) int { return cmp.Compare(ls.chainLayout(b).rate, ls.chainLayout(a).rate) })
	for _, m := range mixes {
		l := ls.chainLayout(m)
		chosen := make([]int, 0, len(l.counts))
		for k, card := range ls.cards {
			chosen = append(chosen, ls.byCard[card][used[k]:used[k]+m[k]]...)
			used[k] += m[k]
		}
		out = append(out, layout{chosen, l.counts, l.rate})
	}
	return out
}

// divide returns the division of a mix into chains with the highest total rate.
func (ls *layoutSearch) divide(m cardMix) division {
	key := ls.keyPrefix + m.key()
	if d, ok := ls.group.memo.divisions[key]; ok {
		return d
	}
	var best division
	ls.eachSubset(m, make(cardMix, 0, len(m)), func(part cardMix) {
		l := ls.chainLayout(part)
		if l.rate <= 0 {
			return
		}
		rest := make(cardMix, len(m))
		for k := range m {
			rest[k] = m[k] - part[k]
		}
		d := ls.divide(rest)
		if rate := l.rate + d.rate; rate > best.rate {
			best = division{rate, append([]cardMix{slices.Clone(part)}, d.mixes...)}
		}
	})
	ls.group.memo.divisions[key] = best
	return best
}

// eachSubset calls f with all mixes contained in m that a single chain can have:
// at least one target and at most chain.MaxHops. The argument head holds the
// numbers that are already chosen, for the first kinds of cards.
func (ls *layoutSearch) eachSubset(m, head cardMix, f func(cardMix)) {
	if len(head) == len(m) {
		if n := head.total(); n > 0 && n <= chain.MaxHops {
			f(head)
		}
		return
	}
	for n := 0; n <= m[len(head)]; n++ {
		ls.eachSubset(m, append(head, n), f)
	}
}

// chainLayout returns the best layout of a single chain over all targets of a
// mix.
func (ls *layoutSearch) chainLayout(m cardMix) layout {
	key := ls.keyPrefix + m.key()
	if l, ok := ls.group.memo.chains[key]; ok {
		return l
	}
	var chosen []int
	for k, card := range ls.cards {
		chosen = append(chosen, ls.byCard[card][:m[k]]...)
	}
	l := ls.group.bestLayout(chosen)
	ls.group.memo.chains[key] = l
	return l
}

func (m cardMix) key() string {
	b := make([]byte, 0, 2*len(m))
	for _, n := range m {
		b = append(b, byte(n), byte(n>>8))
	}
	return string(b)
}

func (m cardMix) total() int {
	n := 0
	for _, k := range m {
		n += k
	}
	return n
}

// bestLayout returns the layout of a single chain over all given targets with
// the highest rate; the rate is 0 if there is none.
func (g group) bestLayout(chosen []int) layout {
	var best layout
	sum := 0.0
	for _, i := range chosen {
		sum += g.model.Cards[g.targets[i].Card].Megabytes
	}
	copies := sum / (float64(g.model.Layers) * g.model.LayerMegabytes)
	if copies <= 1 || copies > maxCopies && len(chosen) > 1 {
		return best
	}
	for requests := float64(minConcurrency); ; requests *= concurrencyGrowth {
		counts := g.divideLayers(chosen, requests*g.model.UsualMegabytes())
		if counts == nil {
			break
		}
		if slices.Min(counts) == 0 {
			continue
		}
		if rate := g.estimateRate(chosen, counts); rate > best.rate {
			best = layout{counts: counts, rate: rate}
		}
	}
	return best
}

// divideLayers gives each layer to the target whose stage stays the fastest with
// it and keeps the given free memory per layer, in megabytes. It returns nil if
// there is too little memory.
func (g group) divideLayers(chosen []int, minFree float64) []int {
	counts := make([]int, len(chosen))
	for range g.model.Layers {
		best, least := -1, 0.0
		for k, i := range chosen {
			n := counts[k] + 1
			time := g.model.Cards[g.targets[i].Card].Pace * float64(n)
			if g.freePerLayer(i, n) >= minFree && (best < 0 || time < least) {
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

// estimateRate estimates the requests per second of a chain with as many
// requests as fit its memory, provided that events come without pauses and that
// the slowest stage keeps up with the prompts.
func (g group) estimateRate(chosen, counts []int) float64 {
	stages := make([]chain.Stage, len(chosen))
	requests := 0.0
	for k, i := range chosen {
		stages[k] = chain.Stage{Card: g.targets[i].Card, Layers: counts[k]}
		if p := g.freePerLayer(i, counts[k]) / g.model.UsualMegabytes(); k == 0 || p < requests {
			requests = p
		}
	}
	requests = usableShare * (requests - largeRequestReserve)
	best := 0.0
	for n := minConcurrency / 2.0; n <= requests; n *= concurrencyGrowth {
		t := chain.Throughput(g.model, stages, n)
		if t.PromptShare > maxPromptShare || t.EventInterval > maxRoundTime {
			break
		}
		best = max(best, t.Rate)
	}
	return best
}

// largestInMiddle reorders targets so that those with the largest counts are in
// the middle of the chain. Then the neighbours of each target can take over most
// of its layers.
func largestInMiddle(chosen, counts []int) ([]int, []int) {
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

// Package chain chooses the targets that a model request passes through. It is
// pure: the same view gives the same chain.
package chain

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/topo"
)

const (
	// MostHops is the longest chain that targets accept.
	MostHops = 32
	// fillLimit is the share of a target's memory for requests that new work
	// may fill; the rest takes answers that grow beyond their estimate.
	fillLimit = 0.92
	// busyWeight makes a target with full memory cost this many times its
	// time when it is empty, so that load spreads before targets are full.
	busyWeight = 2.0
	// hopDelay is the time that a token takes between two targets of one data
	// centre.
	hopDelay = 200 * time.Microsecond
	// alikeMost is how many targets with the same card and layers in a data
	// centre are compared; in large deployments there are hundreds.
	alikeMost = 4
	// maxDetours bounds the searches that leave out an overloaded target.
	maxDetours = 4
	// enterCross is what a first target in another data centre costs; only the
	// request and its events cross then.
	enterCross = 2 * time.Millisecond
)

type (
	// Load is the work that a target has in flight, of one entry or of all.
	Load struct {
		// TokenLayers is the memory in use, in tokens times layers.
		TokenLayers float64
		// Running counts the requests that pass through the target, and First
		// those that it received from entries.
		Running, First int
		// Unread is the prompt tokens of requests that have no event yet.
		Unread int
	}

	// Candidate is a target with what is known of its load.
	Candidate struct {
		topo.Target
		Load Load
		// Slow multiplies the target's time; 1 is the pace of its card.
		Slow float64
	}

	// Hop is one target of a chain and the layers that it runs.
	Hop struct {
		Target topo.Target
		Layers topo.Layers
	}

	// Ask describes the request.
	Ask struct {
		// Tokens is the estimate of prompt and answer together.
		Tokens int
		// DataCentre is where the entry stands.
		DataCentre string
		// After is where the target before the asked layers stands; empty if
		// they are the first.
		After string
		// Cross is what a hop between data centres costs, on top of its delay.
		Cross time.Duration
		// Layers is the range to cover.
		Layers topo.Layers
		// Used holds targets that must not appear again.
		Used map[string]bool
		// ReadWithin is the longest time that prompts before this one may take;
		// 0 is no bound.
		ReadWithin time.Duration
		// Forced ignores how full targets are, for requests that have started.
		Forced bool
	}

	// found is a chain with its cost.
	found struct {
		hops []Hop
		cost time.Duration
	}

	// state is the cheapest way to a layer that ends in one target.
	state struct {
		cost time.Duration
		// last indexes the candidates; -1 at the start.
		last int
		// from is the layer at which the last hop starts, and prev the
		// candidate before it.
		from, prev int
		hops       int
	}
)

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{l.TokenLayers + o.TokenLayers, l.Running + o.Running, l.First + o.First, l.Unread + o.Unread}
}

// Minus returns a load less another one; nothing falls below zero.
func (l Load) Minus(o Load) Load {
	return Load{max(0, l.TokenLayers-o.TokenLayers), max(0, l.Running-o.Running), max(0, l.First-o.First), max(0, l.Unread-o.Unread)}
}

// Choose returns the cheapest chain that covers the asked layers. A chain stays
// in one data centre where one holds all layers, since prompts would fill the
// pipes between them. A NoTarget failure says that some layer is held by no
// target, Overloaded that the targets that hold it have no memory or time left.
func Choose(m *topo.Model, candidates []Candidate, ask Ask) ([]Hop, error) {
	usable := make([]Candidate, 0, len(candidates))
	byDC := map[string][]Candidate{}
	for _, c := range candidates {
		if c.State == topo.Ready && c.Held.Len() > 0 && !ask.Used[c.ID] {
			usable = append(usable, c)
			byDC[c.DataCentre] = append(byDC[c.DataCentre], c)
		}
	}
	usable = thin(usable, byDC)
	if hole := uncovered(usable, ask.Layers); hole.Len() > 0 {
		return nil, fault.Newf(fault.NoTarget, "no target holds layers %d to %d", hole.From, hole.To)
	}
	var best *found
	whole, late := false, false
	for _, dc := range slices.Sorted(maps.Keys(byDC)) {
		if uncovered(byDC[dc], ask.Layers).Len() > 0 {
			continue
		}
		whole = true
		f, busy := detour(m, byDC[dc], ask)
		late = late || busy
		if f != nil && (best == nil || f.cost < best.cost) {
			best = f
		}
	}
	if !whole {
		best, late = detour(m, usable, ask)
	}
	switch {
	case best != nil:
		return best.hops, nil
	case late:
		return nil, fault.New(fault.Overloaded, "the targets have no time for the prompt")
	}
	return nil, fault.New(fault.Overloaded, "the targets have no memory for the request")
}

// thin keeps the least loaded of targets that are alike. It returns all that are
// kept and leaves the same ones in byDC.
func thin(usable []Candidate, byDC map[string][]Candidate) []Candidate {
	type kind struct {
		dc, card string
		held     topo.Layers
	}
	alike := map[kind][]Candidate{}
	for _, c := range usable {
		k := kind{c.DataCentre, c.Card, c.Held}
		alike[k] = append(alike[k], c)
	}
	if len(alike)*alikeMost >= len(usable) {
		return usable
	}
	kept := map[string]bool{}
	for _, cs := range alike {
		slices.SortFunc(cs, func(a, b Candidate) int {
			return cmp.Or(cmp.Compare(a.burden(), b.burden()), cmp.Compare(a.ID, b.ID))
		})
		for _, c := range cs[:min(alikeMost, len(cs))] {
			kept[c.ID] = true
		}
	}
	left := func(c Candidate) bool { return !kept[c.ID] }
	for dc := range byDC {
		byDC[dc] = slices.DeleteFunc(byDC[dc], left)
	}
	return slices.DeleteFunc(usable, left)
}

// burden orders targets that are alike by their load and pace.
func (c Candidate) burden() float64 { return (1 + c.Load.TokenLayers) * max(1, c.Slow) }

// detour returns the cheapest chain of some targets that does not pass through
// an overloaded one, and whether it found overloaded ones.
func detour(m *topo.Model, usable []Candidate, ask Ask) (f *found, late bool) {
	for range maxDetours {
		if f = search(m, usable, ask); f == nil {
			return nil, late
		}
		slow, wait := readingTime(m, f.hops, usable)
		if ask.Forced || ask.ReadWithin == 0 || wait <= ask.ReadWithin {
			return f, late
		}
		late = true
		usable = slices.DeleteFunc(slices.Clone(usable), func(c Candidate) bool { return c.ID == slow.Target.ID })
	}
	return nil, late
}

// readingTime returns the hop at which the prompts before a new one take
// longest, and that time.
func readingTime(m *topo.Model, hops []Hop, cs []Candidate) (Hop, time.Duration) {
	byID := make(map[string]*Candidate, len(cs))
	for i := range cs {
		byID[cs[i].ID] = &cs[i]
	}
	worst, longest := hops[0], time.Duration(0)
	for _, h := range hops {
		c := byID[h.Target.ID]
		stage := Stage{Card: c.Card, Layers: h.Layers.Len(), Slow: c.Slow}
		writers := float64(c.Load.Running) / float64(len(hops))
		if wait := time.Duration(float64(c.Load.Unread) * float64(stage.ReadToken(m, writers))); wait > longest {
			worst, longest = h, wait
		}
	}
	return worst, longest
}

// uncovered returns the first range of layers that no target holds.
func uncovered(candidates []Candidate, l topo.Layers) topo.Layers {
	held := make([]bool, max(0, l.To))
	for _, c := range candidates {
		for i := max(l.From, c.Held.From); i < min(l.To, c.Held.To); i++ {
			held[i] = true
		}
	}
	for i := l.From; i < l.To; i++ {
		if held[i] {
			continue
		}
		end := i
		for end < l.To && !held[end] {
			end++
		}
		return topo.Layers{From: i, To: end}
	}
	return topo.Layers{}
}

// search walks the layers at which ranges begin or end. At each it keeps the
// cheapest way per last target, since the next hop depends on where that one
// stands.
func search(m *topo.Model, cs []Candidate, ask Ask) *found {
	cuts := cutPoints(cs, ask.Layers)
	// ways[i][c] is the cheapest way to cuts[i] that ends in candidate c.
	ways := make([]map[int]state, len(cuts))
	for i := range ways {
		ways[i] = map[int]state{}
	}
	ways[0][-1] = state{last: -1, prev: -1}
	for i := 0; i < len(cuts)-1; i++ {
		for _, w := range cheapest(ways[i], cs) {
			extend(m, cs, ask, cuts, ways, i, w)
		}
	}
	return walkBack(cs, cuts, ways)
}

// extend tries every hop that starts at a cut.
func extend(m *topo.Model, cs []Candidate, ask Ask, cuts []int, ways []map[int]state, i int, w state) {
	at := cuts[i]
	if w.hops >= MostHops {
		return
	}
	for c := range cs {
		t := &cs[c]
		if t.Held.From > at || t.Held.To <= at || c == w.last || onWay(ways, w, c) {
			continue
		}
		if w.last < 0 && !ask.Forced && t.Slots > 0 && t.Load.First >= t.Slots {
			continue
		}
		enter := crossing(cs, ask, w.last, c)
		for j := len(cuts) - 1; j > i; j-- {
			if cuts[j] > t.Held.To {
				continue
			}
			n := cuts[j] - at
			time, ok := hopTime(m, t, n, ask)
			if !ok {
				continue
			}
			cost := w.cost + enter + time
			if old, seen := ways[j][c]; !seen || cost < old.cost {
				ways[j][c] = state{cost: cost, last: c, from: i, prev: w.last, hops: w.hops + 1}
			}
		}
	}
}

// cheapest returns the best ways to a cut, one for each data centre: another
// way into the same data centre cannot end in a cheaper chain.
func cheapest(ways map[int]state, cs []Candidate) []state {
	best := map[string]state{}
	for _, w := range ways {
		dc := ""
		if w.last >= 0 {
			dc = cs[w.last].DataCentre
		}
		if old, ok := best[dc]; !ok || w.cost < old.cost || w.cost == old.cost && w.last < old.last {
			best[dc] = w
		}
	}
	out := make([]state, 0, len(best))
	for _, w := range best {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b state) int { return a.last - b.last })
	return out
}

// onWay reports whether a candidate is part of a way already.
func onWay(ways []map[int]state, w state, c int) bool {
	for w.last >= 0 {
		if w.last == c {
			return true
		}
		w = ways[w.from][w.prev]
	}
	return false
}

// crossing is the cost of the step from one target to the next, or from the
// entry to the first.
func crossing(cs []Candidate, ask Ask, from, to int) time.Duration {
	switch {
	case from >= 0 && cs[from].DataCentre != cs[to].DataCentre, from < 0 && ask.After != "" && ask.After != cs[to].DataCentre:
		return hopDelay + ask.Cross
	case from < 0 && ask.After == "" && ask.DataCentre != cs[to].DataCentre:
		return hopDelay + enterCross
	}
	return hopDelay
}

// hopTime is the time of one token in n layers of a target, weighted by how
// full its memory is, or false if the request does not fit.
func hopTime(m *topo.Model, t *Candidate, n int, ask Ask) (time.Duration, bool) {
	capacity := m.FreeMegabytes(t.Card, t.Held.Len()) / m.TokenMegabytes
	used := t.Load.TokenLayers + float64(ask.Tokens*n)
	fill := 1.0
	if capacity > 0 {
		fill = used / capacity
	}
	if !ask.Forced && fill > fillLimit {
		return 0, false
	}
	pace := m.Cards[t.Card].Pace
	if pace <= 0 {
		pace = 1
	}
	base := float64(m.StepOf(float64(t.Load.Running))) * pace * max(1, t.Slow) * float64(n) / float64(m.Layers)
	return time.Duration(base * (1 + busyWeight*math.Pow(min(fill, 4), 2))), true
}

func cutPoints(cs []Candidate, l topo.Layers) []int {
	cuts := []int{l.From, l.To}
	for _, c := range cs {
		for _, p := range []int{c.Held.From, c.Held.To} {
			if p > l.From && p < l.To {
				cuts = append(cuts, p)
			}
		}
	}
	slices.Sort(cuts)
	return slices.Compact(cuts)
}

func walkBack(cs []Candidate, cuts []int, ways []map[int]state) *found {
	end := cheapestOf(ways[len(cuts)-1])
	if end == nil {
		return nil
	}
	var hops []Hop
	to, w := len(cuts)-1, *end
	for w.last >= 0 {
		hops = append(hops, Hop{Target: cs[w.last].Target, Layers: topo.Layers{From: cuts[w.from], To: cuts[to]}})
		to, w = w.from, ways[w.from][w.prev]
	}
	slices.Reverse(hops)
	return &found{hops, end.cost}
}

func cheapestOf(ways map[int]state) *state {
	var best *state
	for _, w := range ways {
		if best == nil || w.cost < best.cost || w.cost == best.cost && w.last < best.last {
			best = &w
		}
	}
	return best
}

// Package chain chooses the chain of a model request: the targets that it passes
// through in order, which together hold all layers. It keeps no state between
// calls: the same candidates and request always give the same chain.
package chain

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/topo"
)

const (
	// MaxHops is the largest number of hops that targets accept in a chain.
	MaxHops = 32
	// MaxFill is the share of a target's memory for requests that new requests
	// may fill; the rest is kept for answers that grow beyond their estimate.
	MaxFill = 0.92
	// fillWeight is the extra cost of a target with full memory, as a multiple of
	// its step time, so that load spreads before targets are full.
	fillWeight = 2.0
	// hopDelay is the time that a token takes from one target to the next in the
	// same data centre.
	hopDelay = 200 * time.Microsecond
	// maxPerKind is the number of targets with the same card, layers and data
	// centre that the search for a chain considers; large deployments have
	// hundreds of them.
	maxPerKind = 4
	// maxSearches bounds the searches for one chain; each one after the first
	// leaves out another overloaded target.
	maxSearches = 4
	// entryCrossingCost is the extra cost of a first target in another data centre
	// than the gateway where no other is known. It is small because only the request and its events cross.
	entryCrossingCost = 2 * time.Millisecond
)

type (
	// Load is the work in flight at a target, from one gateway or from all.
	Load struct {
		// TokenLayers is the memory in use, in tokens times layers.
		TokenLayers float64
		// Running counts the requests that pass through the target, and First
		// those whose first hop it is.
		Running, First int
		// Unread counts the prompt tokens of requests that have no event yet.
		Unread int
	}

	// Candidate is a target with its known load.
	Candidate struct {
		topo.Target
		Load Load
		// SlowFactor multiplies the target's step time; 1 is the pace of its card,
		// and lower values count as 1.
		SlowFactor float64
		// NotFirst is set if no chain may begin at the target at present.
		NotFirst bool
		// PausedFor is how long the target can be no part of a chain.
		PausedFor time.Duration
	}

	// Hop is one target of a chain and the layers that it runs.
	Hop struct {
		Target topo.Target
		Layers topo.Layers
	}

	// Request describes the request that a chain is chosen for.
	Request struct {
		// Tokens is the estimated number of tokens of prompt and answer together.
		Tokens int
		// DataCentre is the data centre of the gateway.
		DataCentre string
		// Crossings holds what it costs to begin in another data centre; for those
		// that are missing it is entryCrossingCost.
		Crossings map[string]Crossing
		// Confined is true if closed data centres may not be used even if no other
		// can run the request.
		Confined bool
		// PrevDataCentre is the data centre of the target before the requested
		// layers; empty if they begin the chain.
		PrevDataCentre string
		// Cross is the extra cost of a hop between data centres.
		Cross time.Duration
		// Layers is the range to cover.
		Layers topo.Layers
		// Excluded holds the IDs of targets that the chain must not contain.
		Excluded map[string]bool
		// MaxPromptWait is the longest time that the prompts queued before this one
		// may take; 0 is no bound.
		MaxPromptWait time.Duration
		// MaxFill is the share of a target's memory that may be in use with this
		// request; 0 is the constant MaxFill.
		MaxFill float64
		// Forced ignores the limits of memory, slots and time, for requests that
		// have already started.
		Forced bool
	}

	// Crossing is what it costs to begin a chain in another data centre.
	Crossing struct {
		// Cost is added to the time of a token.
		Cost time.Duration
		// Closed is true if the data centre is used only if no other can run the
		// request.
		Closed bool
	}

	// costedChain is a chain with its cost.
	costedChain struct {
		hops []Hop
		cost time.Duration
	}

	// searchTarget is a candidate with the terms of its cost that do not depend on
	// the chain.
	searchTarget struct {
		*Candidate
		// capacity is the memory for requests in tokens times layers, and used what
		// is in use.
		capacity, used float64
		// layerTime is the time of a token in one layer while the memory is empty.
		layerTime float64
	}

	// chainSearch is the state of a search for the cheapest chain.
	chainSearch struct {
		req     Request
		targets []searchTarget
		bounds  []int
		// partials[i][c] is the cheapest partial chain up to bounds[i] that ends in
		// target c; it has no hops if there is none.
		partials [][]partialChain
		// dataCentres numbers the data centres; the number of a target's is in
		// dataCentre.
		dataCentres int
		dataCentre  []int
		// sameAddress holds the index of the first target with the same address.
		sameAddress []int
		// cheapest is scratch space for the cheapest partial chain per data centre.
		cheapest []partialChain
	}

	// partialChain is the cheapest known chain that covers the layers up to some
	// bound and ends in a given candidate. Its earlier hops are found through from
	// and prev.
	partialChain struct {
		cost time.Duration
		// last is the index of the last candidate; -1 if there is no hop yet.
		last int
		// from is the index of the bound at which the last hop starts, and prev
		// the index of the candidate before it.
		from, prev int
		hops       int
	}
)

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{l.TokenLayers + o.TokenLayers, l.Running + o.Running, l.First + o.First, l.Unread + o.Unread}
}

// Minus returns the difference of two loads, with no field below zero.
func (l Load) Minus(o Load) Load {
	return Load{max(0, l.TokenLayers-o.TokenLayers), max(0, l.Running-o.Running), max(0, l.First-o.First), max(0, l.Unread-o.Unread)}
}

// Choose returns the cheapest chain that covers the requested layers. If any
// data centre holds all these layers, the chain stays within one, since prompts
// would saturate the network between data centres; closed ones are used only if
// the others have no chain. The failure is NoTarget if no
// target holds some layer, TargetPause with the time to wait if some layer is held only
// by targets that pause, TargetLimit if no chain can begin because of NotFirst,
// and Overloaded if the targets that hold the layers have no memory or time left.
func Choose(m *topo.Model, candidates []Candidate, req Request) ([]Hop, error) {
	byDC := map[string][]*Candidate{}
	usable := considered(m, candidates, req, byDC)
	if hole := firstUncovered(usable, req.Layers); hole.Len() > 0 {
		if wait, ok := pauseOver(m, candidates, req); ok {
			return nil, fault.Newf(fault.TargetPause, "the targets that hold layers %d to %d want nothing at present", hole.From, hole.To).WithRetryAfter(wait)
		}
		return nil, fault.Newf(fault.NoTarget, "no target holds layers %d to %d", hole.From, hole.To)
	}
	var best *costedChain
	covered, tooLate := false, false
	for _, dc := range req.openFirst(byDC) {
		if firstUncovered(byDC[dc], req.Layers).Len() > 0 {
			continue
		}
		covered = true
		if req.Crossings[dc].Closed && (best != nil || req.Confined) {
			break
		}
		f, lateHere := searchInTime(m, byDC[dc], req)
		tooLate = tooLate || lateHere
		if f != nil && (best == nil || f.cost < best.cost) {
			best = f
		}
	}
	if !covered {
		best, tooLate = searchInTime(m, usable, req)
	}
	switch {
	case best != nil:
		return best.hops, nil
	case tooLate:
		return nil, fault.New(fault.Overloaded, "the prompts queued at the targets exceed the time limit")
	case req.begins() && slices.ContainsFunc(usable, func(c *Candidate) bool { return c.NotFirst && c.holds(req.Layers.From) }):
		return nil, fault.New(fault.TargetLimit, "the targets that could begin a chain have reached the limits that they named")
	}
	return nil, fault.New(fault.Overloaded, "no chain of targets has enough free memory and slots")
}

// openFirst returns the names of data centres in their order, those that are closed last.
func (r Request) openFirst(byDC map[string][]*Candidate) []string {
	return slices.SortedFunc(maps.Keys(byDC), func(a, b string) int {
		return cmp.Or(compareBool(r.Crossings[a].Closed, r.Crossings[b].Closed), cmp.Compare(a, b))
	})
}

// considered returns the candidates that the search for a chain considers, and adds them
// to byDC by their data centre.
func considered(m *topo.Model, candidates []Candidate, req Request, byDC map[string][]*Candidate) []*Candidate {
	usable := make([]*Candidate, 0, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		if c.usable(m, req) && c.PausedFor <= 0 {
			usable = append(usable, c)
			byDC[c.DataCentre] = append(byDC[c.DataCentre], c)
		}
	}
	return limitPerKind(usable, byDC)
}

// limitPerKind keeps the least loaded maxPerKind of the targets with the same card,
// layers and data centre. It returns the targets kept and removes the others from
// byDC too.
func limitPerKind(usable []*Candidate, byDC map[string][]*Candidate) []*Candidate {
	type kind struct {
		dc, card string
		held     topo.Layers
	}
	byKind := map[kind][]*Candidate{}
	for _, c := range usable {
		k := kind{c.DataCentre, c.Card, c.Held}
		byKind[k] = append(byKind[k], c)
	}
	if len(byKind)*maxPerKind >= len(usable) {
		return usable
	}
	kept := map[*Candidate]bool{}
	for _, cs := range byKind {
		slices.SortFunc(cs, func(a, b *Candidate) int {
			return cmp.Or(compareBool(a.NotFirst, b.NotFirst), cmp.Compare(a.loadScore(), b.loadScore()), cmp.Compare(a.ID, b.ID))
		})
		for _, c := range cs[:min(maxPerKind, len(cs))] {
			kept[c] = true
		}
	}
	dropped := func(c *Candidate) bool { return !kept[c] }
	for dc := range byDC {
		byDC[dc] = slices.DeleteFunc(byDC[dc], dropped)
	}
	return slices.DeleteFunc(usable, dropped)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// begins reports whether the requested layers begin a chain.
func (r Request) begins() bool { return r.PrevDataCentre == "" }

func (r Request) maxFill() float64 {
	if r.MaxFill > 0 {
		return r.MaxFill
	}
	return MaxFill
}

// Capacity returns the memory of some targets for requests, in tokens times layers.
func Capacity(m *topo.Model, candidates []Candidate) float64 {
	sum := 0.0
	for i := range candidates {
		c := &candidates[i]
		if card, ok := m.Cards[c.Card]; ok && c.Held.Len() > 0 && m.Contains(c.Held) {
			sum += max(0, card.Megabytes-float64(c.Held.Len())*m.LayerMegabytes)
		}
	}
	return sum / m.TokenMegabytes
}

func (c *Candidate) holds(layer int) bool { return c.Held.From <= layer && layer < c.Held.To }

// loadScore is the sort key of targets with the same card and layers, the least
// loaded lowest.
func (c *Candidate) loadScore() float64 { return (1 + c.Load.TokenLayers) * max(1, c.SlowFactor) }

// searchInTime returns the cheapest chain whose targets can all read the queued
// prompts within req.MaxPromptWait, or nil, and whether it left out targets
// that cannot. Forced requests have no such limit.
func searchInTime(m *topo.Model, usable []*Candidate, req Request) (f *costedChain, tooLate bool) {
	for range maxSearches {
		if f = search(m, usable, req); f == nil {
			return nil, tooLate
		}
		slowest, wait := longestPromptWait(m, f.hops, usable)
		if req.Forced || req.MaxPromptWait == 0 || wait <= req.MaxPromptWait {
			return f, tooLate
		}
		tooLate = true
		usable = slices.DeleteFunc(slices.Clone(usable), func(c *Candidate) bool { return c.ID == slowest.Target.ID })
	}
	return nil, tooLate
}

// ShortestPromptWait returns the shortest time that the queued prompts take at any of
// the targets that may run some of the layers; 0 if there is none.
func ShortestPromptWait(m *topo.Model, candidates []Candidate, l topo.Layers) time.Duration {
	shortest := time.Duration(-1)
	for i := range candidates {
		c := &candidates[i]
		n := topo.Layers{From: max(l.From, c.Held.From), To: min(l.To, c.Held.To)}.Len()
		if n == 0 || c.State != topo.Ready || c.PausedFor > 0 || !m.Runs(c.Target) {
			continue
		}
		if wait := c.promptWait(m, n, 0); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(0, shortest)
}

// longestPromptWait returns the hop at which the prompts queued before a new one
// take longest, and that time.
func longestPromptWait(m *topo.Model, hops []Hop, cs []*Candidate) (Hop, time.Duration) {
	byID := make(map[string]*Candidate, len(cs))
	for i := range cs {
		byID[cs[i].ID] = cs[i]
	}
	worst, longest := hops[0], time.Duration(0)
	for _, h := range hops {
		c := byID[h.Target.ID]
		if wait := c.promptWait(m, h.Layers.Len(), float64(c.Load.Running)/float64(len(hops))); wait > longest {
			worst, longest = h, wait
		}
	}
	return worst, longest
}

// usable reports whether a candidate may be part of a chain, but for its pause.
func (c *Candidate) usable(m *topo.Model, req Request) bool {
	return c.State == topo.Ready && c.Held.Len() > 0 && m.Runs(c.Target) && !req.Excluded[c.ID]
}

// pauseOver returns the time after which each layer is held by a target that does
// not pause. It returns false if no target holds some layer.
func pauseOver(m *topo.Model, candidates []Candidate, req Request) (time.Duration, bool) {
	longest := time.Duration(0)
	for layer := req.Layers.From; layer < req.Layers.To; layer++ {
		shortest := time.Duration(-1)
		for i := range candidates {
			if c := &candidates[i]; c.usable(m, req) && c.holds(layer) && (shortest < 0 || c.PausedFor < shortest) {
				shortest = c.PausedFor
			}
		}
		if shortest < 0 {
			return 0, false
		}
		longest = max(longest, shortest)
	}
	return longest, true
}

// firstUncovered returns the first range of layers that no candidate holds; it is
// empty if there is none.
func firstUncovered(candidates []*Candidate, l topo.Layers) topo.Layers {
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

// search finds the cheapest chain by dynamic programming over the bounds, the
// layers at which held ranges begin or end. For each bound it keeps the cheapest
// partial chain per last target, since the cost of the next hop depends on that
// target's data centre.
func search(m *topo.Model, cs []*Candidate, req Request) *costedChain {
	s := newChainSearch(m, cs, req)
	s.extend(0, partialChain{last: -1, prev: -1})
	for i := 1; i < len(s.bounds)-1; i++ {
		for _, p := range s.cheapestPerDataCentre(i) {
			s.extend(i, p)
		}
	}
	return s.backtrack()
}

func newChainSearch(m *topo.Model, cs []*Candidate, req Request) *chainSearch {
	s := &chainSearch{req: req, targets: make([]searchTarget, len(cs)), bounds: rangeBounds(cs, req.Layers), dataCentre: make([]int, len(cs)), sameAddress: make([]int, len(cs))}
	numbers, addresses := map[string]int{}, make(map[string]int, len(cs))
	for i, c := range cs {
		s.targets[i] = newSearchTarget(m, c)
		n, known := numbers[c.DataCentre]
		if !known {
			n = len(numbers)
			numbers[c.DataCentre] = n
		}
		s.dataCentre[i] = n
		if _, known := addresses[c.Address]; !known {
			addresses[c.Address] = i
		}
		s.sameAddress[i] = addresses[c.Address]
	}
	s.dataCentres = len(numbers)
	s.partials = make([][]partialChain, len(s.bounds))
	all := make([]partialChain, len(s.bounds)*len(cs))
	for i := range s.partials {
		s.partials[i] = all[i*len(cs) : (i+1)*len(cs)]
	}
	return s
}

// layerTime is the time of a token in one layer of a target.
func layerTime(m *topo.Model, c *Candidate) float64 {
	pace := m.Cards[c.Card].Pace
	if pace <= 0 {
		pace = 1
	}
	return float64(m.StepTime(float64(c.Load.Running))) * pace * max(1, c.SlowFactor) / float64(m.Layers)
}

// extend extends a partial chain that ends at bound i by every possible hop.
func (s *chainSearch) extend(i int, p partialChain) {
	at := s.bounds[i]
	if p.hops >= MaxHops {
		return
	}
	for c := range s.targets {
		t := &s.targets[c]
		if t.Held.From > at || t.Held.To <= at || s.contains(p, c) {
			continue
		}
		if p.last < 0 && !t.mayBeFirst(&s.req) {
			continue
		}
		cost := p.cost + s.crossingCost(p.last, c)
		for j := i + 1; j < len(s.bounds) && s.bounds[j] <= t.Held.To; j++ {
			time, ok := t.hopTime(s.bounds[j]-at, s.req)
			if !ok {
				break
			}
			if old := &s.partials[j][c]; old.hops == 0 || cost+time < old.cost {
				*old = partialChain{cost: cost + time, last: c, from: i, prev: p.last, hops: p.hops + 1}
			}
		}
	}
}

// cheapestPerDataCentre returns the cheapest partial chain to a bound for each
// data centre that one ends in. The others are dropped: the cost of the next hops
// depends only on the data centre. The result is valid until the next call.
func (s *chainSearch) cheapestPerDataCentre(i int) []partialChain {
	s.cheapest = s.cheapest[:0]
	for range s.dataCentres {
		s.cheapest = append(s.cheapest, partialChain{})
	}
	for c, p := range s.partials[i] {
		if best := &s.cheapest[s.dataCentre[c]]; p.hops > 0 && (best.hops == 0 || p.cost < best.cost) {
			*best = p
		}
	}
	return slices.DeleteFunc(s.cheapest, func(p partialChain) bool { return p.hops == 0 })
}

// contains reports whether a partial chain contains a target, or another entry
// with its address. Targets refuse chains that name one address twice.
func (s *chainSearch) contains(p partialChain, c int) bool {
	for p.last >= 0 {
		if s.sameAddress[p.last] == s.sameAddress[c] {
			return true
		}
		p = s.previous(p)
	}
	return false
}

// previous returns a partial chain without its last hop.
func (s *chainSearch) previous(p partialChain) partialChain {
	if p.prev < 0 {
		return partialChain{last: -1, prev: -1}
	}
	return s.partials[p.from][p.prev]
}

// crossingCost is the network cost from one target to the next, or from the
// gateway to the first one if from is -1.
func (s *chainSearch) crossingCost(from, to int) time.Duration {
	req, dc := &s.req, s.targets[to].DataCentre
	switch {
	case from >= 0 && s.dataCentre[from] != s.dataCentre[to], from < 0 && req.PrevDataCentre != "" && req.PrevDataCentre != dc:
		return hopDelay + req.Cross
	case from < 0 && req.begins():
		return hopDelay + req.entryCost(dc)
	}
	return hopDelay
}

// hopTime is the time of one token in n layers of a target, weighted by how
// full its memory is. It returns false if the request does not fit.
func (t *searchTarget) hopTime(n int, req Request) (time.Duration, bool) {
	fill := t.fill(n, req.Tokens)
	if !req.Forced && fill > req.maxFill() {
		return 0, false
	}
	fill = min(fill, 4)
	return time.Duration(t.layerTime * float64(n) * (1 + fillWeight*fill*fill)), true
}

// rangeBounds returns the layers within l at which candidates' ranges begin or
// end, sorted, with the bounds of l itself.
func rangeBounds(cs []*Candidate, l topo.Layers) []int {
	bounds := []int{l.From, l.To}
	for _, c := range cs {
		for _, p := range []int{c.Held.From, c.Held.To} {
			if p > l.From && p < l.To {
				bounds = append(bounds, p)
			}
		}
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}

// backtrack returns the cheapest chain up to the last bound, or nil if there is
// none.
func (s *chainSearch) backtrack() *costedChain {
	var end partialChain
	for _, p := range s.partials[len(s.bounds)-1] {
		if p.hops > 0 && (end.hops == 0 || p.cost < end.cost) {
			end = p
		}
	}
	if end.hops == 0 {
		return nil
	}
	hops := make([]Hop, end.hops)
	to := len(s.bounds) - 1
	for p := end; p.last >= 0; p = s.previous(p) {
		hops[p.hops-1] = Hop{Target: s.targets[p.last].Target, Layers: topo.Layers{From: s.bounds[p.from], To: s.bounds[to]}}
		to = p.from
	}
	return &costedChain{hops, end.cost}
}

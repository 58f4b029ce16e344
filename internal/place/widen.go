package place

import (
	"math"
	"slices"

	"shallotcourse/internal/topo"
)

const (
	// minWidenLayers is the smallest range that a target is given to widen a
	// bottleneck; chains through many small ranges have too many hops.
	minWidenLayers = 4
	// soleHolderFactor lowers the capacity of a layer with a single holder,
	// since the loss of that holder opens a hole.
	soleHolderFactor = 0.4
	// noHolderCapacity and noHolderTime stand for the capacity, in requests, and
	// the token time of a layer without a holder.
	noHolderCapacity = 1.0
	noHolderTime     = 1.0
	// lackExponent is the power by which layer weighs scarce layers: the higher,
	// the more the scarcest one decides.
	lackExponent = 4
	// rateRounding is a difference between two rates that has no meaning.
	rateRounding = 1e-9
	// hopCost is the time of a hop between targets, as a share of the time of a
	// step through all layers on a card of pace 1.
	hopCost = 0.1
	// minGain is the relative gain in the rate of a group from which a target
	// that serves requests changes its layers, and minFreeGain the gain while a
	// load costs nothing.
	minGain     = 0.12
	minFreeGain = 0.01
	// pressedFill is the memory use of the fullest layer, as a share, from which
	// targets that serve requests change their layers.
	pressedFill = 0.85
	// maxWidened bounds the orders of one plan while a load costs nothing.
	maxWidened = 64
	// maxWidenTargets is the number of targets of a group from which the layers
	// of a single one make no difference.
	maxWidenTargets = 120
)

type (
	// spread is what the holders of each layer of a group offer.
	spread struct {
		model *topo.Model
		// requests is the number of requests of usual size that the memory of
		// each layer's holders can hold.
		requests []float64
		// time is the sum of the holders' times of one token in the layer, each
		// multiplied by the holder's number of requests. The unit is a step
		// through all layers on a card of pace 1.
		time    []float64
		holders []int
	}

	// terms are the parts of a group's rate that layers add to: the lack of
	// memory, which counts scarce layers most, and the time of a token.
	terms struct{ lack, time float64 }

	// widening is a range for a target and the rate of the group with it. Rates
	// are logarithms, and only their differences have a meaning.
	widening struct {
		target int
		layers topo.Layers
		rate   float64
	}
)

// widen changes the layers of targets as long as each change raises the rate of
// requests by the given gain, and returns at most limit orders. No change takes
// a layer's only holder away.
func (g group) widen(gain float64, limit int) []Order {
	var out []Order
	for len(out) < limit && len(g.targets) <= maxWidenTargets {
		all, stable := g.spread(), g.stableHolderCounts()
		_, total := all.terms()
		best := widening{target: -1, rate: total.rate() + math.Log1p(gain)}
		for i, t := range g.targets {
			if t.Busy || t.Next.Len() == 0 {
				continue
			}
			if w := g.bestRange(all, i, soleLayers(t, stable)); w.layers != t.Next && w.rate > best.rate {
				best = w
			}
		}
		if best.target < 0 {
			return out
		}
		out = append(out, g.order(best.target, best.layers, "widen"))
	}
	return out
}

// pressed reports whether some layer's memory for requests is in use up to
// pressedFill.
func (g group) pressed() bool {
	used := make([]float64, g.model.Layers)
	for _, t := range g.targets {
		for l := t.Next.From; l < t.Next.To; l++ {
			used[l] += t.UsedMegabytes / float64(t.Next.Len())
		}
	}
	for l, capacity := range g.layerCapacity() {
		if capacity > 0 && used[l] > pressedFill*capacity {
			return true
		}
	}
	return false
}

// soleLayers returns the smallest range with all layers of a target that no
// other target is certain to hold. It gets the counts of stable holders.
func soleLayers(t Target, stable []int) topo.Layers {
	var sole topo.Layers
	for l := t.Next.From; l < t.Next.To; l++ {
		if stable[l] > 1 {
			continue
		}
		if sole.Len() == 0 {
			sole.From = l
		}
		sole.To = l + 1
	}
	return sole
}

// bestRange returns the range of a target that gives its group the highest rate,
// among those that contain the layers to keep. all is the spread of the group.
func (g group) bestRange(all spread, i int, keep topo.Layers) widening {
	t, rest := g.targets[i], all.without(g.targets[i])
	present, without := rest.terms()
	// A small card holds fewer layers than a chain should have in one hop.
	most := max(1, min(g.maxLayers(t, minFreeShare), g.model.Layers))
	least := min(minWidenLayers, most)
	best := widening{target: i, layers: t.Next, rate: math.Inf(-1)}
	sums := make([]terms, g.model.Layers+1)
	for n := max(least, keep.Len()); n <= most; n++ {
		rest.gains(sums, present, t.Card, n)
		from, last := 0, g.model.Layers-n
		if keep.Len() > 0 {
			from, last = max(from, keep.To-n), min(last, keep.From)
		}
		for ; from <= last; from++ {
			with := without.plus(sums[from+n]).minus(sums[from])
			if rate := with.rate(); rate > best.rate+rateRounding {
				best.layers, best.rate = topo.Layers{From: from, To: from + n}, rate
			}
		}
	}
	return best
}

// spread returns what the holders of each layer offer.
func (g group) spread() spread {
	s := spread{g.model, make([]float64, g.model.Layers), make([]float64, g.model.Layers), make([]int, g.model.Layers)}
	for _, t := range g.targets {
		s.add(t, 1)
	}
	return s
}

// without returns the spread without a target.
func (s spread) without(t Target) spread {
	s.requests, s.time, s.holders = slices.Clone(s.requests), slices.Clone(s.time), slices.Clone(s.holders)
	s.add(t, -1)
	return s
}

// add adds what a target offers, or subtracts it if sign is -1.
func (s spread) add(t Target, sign int) {
	if t.Next.Len() == 0 {
		return
	}
	requests, time := s.offer(t.Card, t.Next.Len())
	for l := t.Next.From; l < t.Next.To; l++ {
		s.requests[l] += float64(sign) * requests
		s.time[l] += float64(sign) * requests * time
		s.holders[l] += sign
	}
}

// offer returns the number of requests that a card can hold beside n layers, and
// the time of a token in each of them.
func (s spread) offer(card string, n int) (requests, time float64) {
	requests = max(0, s.model.FreeMegabytes(card, n)) / float64(n) / s.model.UsualMegabytes()
	return requests, s.model.Cards[card].Pace/float64(s.model.Layers) + hopCost/float64(n)
}

// layer returns the terms of one layer.
func (s spread) layer(requests, time float64, holders int) terms {
	if holders == 1 {
		requests *= soleHolderFactor
		time *= soleHolderFactor
	}
	if requests < noHolderCapacity {
		return terms{lack: 1 / (noHolderCapacity * noHolderCapacity * noHolderCapacity * noHolderCapacity), time: noHolderTime}
	}
	squared := requests * requests
	return terms{lack: 1 / (squared * squared), time: time / requests}
}

// gains writes, for each layer, the sum of the changes of the terms of all layers
// before it if a card held n layers there. It gets the present terms.
func (s spread) gains(sums, present []terms, card string, n int) {
	requests, time := s.offer(card, n)
	for l := range s.requests {
		with := s.layer(s.requests[l]+requests, s.time[l]+requests*time, s.holders[l]+1)
		sums[l+1] = sums[l].plus(with).minus(present[l])
	}
}

// terms returns the terms of each layer and their sum.
func (s spread) terms() (each []terms, total terms) {
	each = make([]terms, len(s.requests))
	for l := range s.requests {
		each[l] = s.layer(s.requests[l], s.time[l], s.holders[l])
		total = total.plus(each[l])
	}
	return each, total
}

func (a terms) plus(b terms) terms { return terms{a.lack + b.lack, a.time + b.time} }

func (a terms) minus(b terms) terms { return terms{a.lack - b.lack, a.time - b.time} }

// rate is the logarithm of the rate of requests: the number of requests at once
// over the time that each takes.
func (a terms) rate() float64 {
	return -math.Log(max(a.lack, math.SmallestNonzeroFloat64))/lackExponent - math.Log(a.time)
}

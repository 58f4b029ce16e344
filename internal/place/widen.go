package place

import (
	"math"

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
	// lackExponent weighs scarce layers: the higher, the more the scarcest one
	// decides.
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
	// maxWidened bounds the orders of one plan while a load costs nothing.
	maxWidened = 64
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
	for len(out) < limit {
		best := widening{target: -1, rate: g.rate() + math.Log1p(gain)}
		for i, t := range g.targets {
			if t.Busy || t.Next.Len() == 0 {
				continue
			}
			if w := g.bestRange(i, g.soleLayers(i)); w.layers != t.Next && w.rate > best.rate {
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

// rate is the logarithm of the rate of requests of the present layout.
func (g group) rate() float64 { return g.spread(-1).total().rate() }

// soleLayers returns the smallest range with all layers of a target that no
// other target is certain to hold.
func (g group) soleLayers(i int) topo.Layers {
	t, stable := g.targets[i], g.stableHolderCounts()
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
// among those that contain the layers to keep.
func (g group) bestRange(i int, keep topo.Layers) widening {
	t, rest := g.targets[i], g.spread(i)
	without := rest.total()
	least, most := min(minWidenLayers, g.model.Layers), min(g.maxLayers(t, minFreeShare), g.model.Layers)
	best := widening{target: i, layers: t.Next, rate: math.Inf(-1)}
	for n := max(least, keep.Len()); n <= most; n++ {
		sums := rest.gains(t.Card, n)
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

// spread returns what the holders of each layer offer, without target except; -1
// leaves none out.
func (g group) spread(except int) spread {
	s := spread{g.model, make([]float64, g.model.Layers), make([]float64, g.model.Layers), make([]int, g.model.Layers)}
	for i, t := range g.targets {
		if i == except || t.Next.Len() == 0 {
			continue
		}
		requests, time := s.offer(t.Card, t.Next.Len())
		for l := t.Next.From; l < t.Next.To; l++ {
			s.requests[l] += requests
			s.time[l] += requests * time
			s.holders[l]++
		}
	}
	return s
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
		return terms{lack: math.Pow(noHolderCapacity, -lackExponent), time: noHolderTime}
	}
	return terms{lack: math.Pow(requests, -lackExponent), time: time / requests}
}

func (s spread) total() terms {
	var out terms
	for l := range s.requests {
		out = out.plus(s.layer(s.requests[l], s.time[l], s.holders[l]))
	}
	return out
}

// gains returns, for each layer, the sum of the changes of the terms of all
// layers before it if a card held n layers there.
func (s spread) gains(card string, n int) []terms {
	requests, time := s.offer(card, n)
	out := make([]terms, len(s.requests)+1)
	for l := range s.requests {
		with := s.layer(s.requests[l]+requests, s.time[l]+requests*time, s.holders[l]+1)
		out[l+1] = out[l].plus(with).minus(s.layer(s.requests[l], s.time[l], s.holders[l]))
	}
	return out
}

func (a terms) plus(b terms) terms { return terms{a.lack + b.lack, a.time + b.time} }

func (a terms) minus(b terms) terms { return terms{a.lack - b.lack, a.time - b.time} }

// rate is the logarithm of the rate of requests: the number of requests at once
// over the time that each takes.
func (a terms) rate() float64 {
	return -math.Log(max(a.lack, math.SmallestNonzeroFloat64))/lackExponent - math.Log(a.time)
}

package chain

import (
	"time"

	"shallotcourse/internal/topo"
)

// The reasons why a candidate can be no part of a chain.
const (
	NotReady Reason = "NotReady"
	// NoLayers is for candidates that hold no layer of the model.
	NoLayers Reason = "NoLayers"
	Paused   Reason = "Paused"
	// MoreLoaded is for candidates beside others with the same card, layers and data
	// centre that are less loaded.
	MoreLoaded Reason = "MoreLoaded"
	// NotFirst is for candidates at which no chain may begin, though they hold the first
	// of the layers.
	NotFirst Reason = "NotFirst"
	// Full is for candidates without memory or slots for the request.
	Full Reason = "Full"
	// PromptsQueued is for candidates whose queued prompts take too long.
	PromptsQueued Reason = "PromptsQueued"
)

type (
	// Reason is why a candidate can be no part of a chain; it is empty if it can.
	Reason string

	// Terms holds the terms of a candidate's cost, as part of a chain, with all the
	// requested layers that it holds.
	Terms struct {
		// Fill is the share of its memory that is in use with the request.
		Fill float64
		// PromptWait is the time that its queued prompts take while none of its requests
		// generates tokens.
		PromptWait time.Duration
		// Token is the time of a token in its layers, weighted by Fill.
		Token time.Duration
		// Crossing is the extra cost of a first target in another data centre than the
		// gateway; 0 if no chain can begin there.
		Crossing time.Duration
	}
)

// Terms returns the terms of the candidate's cost. They are 0 if it holds none of the
// requested layers.
func (c *Candidate) Terms(m *topo.Model, req Request) Terms {
	n := c.part(req.Layers).Len()
	if n == 0 || !m.Runs(c.Target) {
		return Terms{}
	}
	t := newSearchTarget(m, c)
	unbounded := req
	unbounded.Forced = true
	token, _ := t.hopTime(n, unbounded)
	out := Terms{Fill: t.fill(n, req.Tokens), PromptWait: c.promptWait(m, n, 0), Token: token}
	if req.begins() && c.holds(req.Layers.From) {
		out.Crossing = req.entryCost(c.DataCentre)
	}
	return out
}

// part returns the layers of a range that the candidate holds.
func (c *Candidate) part(l topo.Layers) topo.Layers {
	return topo.Layers{From: max(l.From, c.Held.From), To: min(l.To, c.Held.To)}
}

// Reasons returns, by ID, why candidates can be no part of a chain that Choose returns
// for the request.
func Reasons(m *topo.Model, candidates []Candidate, req Request) map[string]Reason {
	usable := considered(m, candidates, req, map[string][]*Candidate{})
	kept := make(map[string]bool, len(usable))
	for _, c := range usable {
		kept[c.ID] = true
	}
	bounds := rangeBounds(usable, req.Layers)
	out := map[string]Reason{}
	for i := range candidates {
		c := &candidates[i]
		reason := c.unusable(m, req)
		if reason == "" && !kept[c.ID] {
			reason = MoreLoaded
		}
		if reason == "" {
			reason = c.noRoom(m, req, bounds)
		}
		if reason != "" {
			out[c.ID] = reason
		}
	}
	return out
}

// unusable returns why the search for a chain does not consider a candidate at all.
func (c *Candidate) unusable(m *topo.Model, req Request) Reason {
	switch {
	case c.State != topo.Ready:
		return NotReady
	case !c.usable(m, req), c.part(req.Layers).Len() == 0:
		return NoLayers
	case c.PausedFor > 0:
		return Paused
	}
	return ""
}

// noRoom returns why a candidate can run no hop of the request, judged by the shortest
// of those between the bounds of the search. Hops that are not the first need no slot.
func (c *Candidate) noRoom(m *topo.Model, req Request, bounds []int) Reason {
	held, shortest := c.part(req.Layers), 0
	for i := 1; i < len(bounds); i++ {
		if n := bounds[i] - bounds[i-1]; held.From <= bounds[i-1] && bounds[i] <= held.To && (shortest == 0 || n < shortest) {
			shortest = n
		}
	}
	t := newSearchTarget(m, c)
	_, fits := t.hopTime(shortest, req)
	switch {
	case c.holds(req.Layers.From) && c.NotFirst && req.begins():
		return NotFirst
	case !fits, c.holds(req.Layers.From) && !c.mayBeFirst(&req):
		return Full
	case !req.Forced && req.MaxPromptWait > 0 && c.promptWait(m, shortest, 0) > req.MaxPromptWait:
		return PromptsQueued
	}
	return ""
}

// promptWait is the time that the queued prompts take in n layers of a candidate while
// some requests (writers) generate tokens there.
func (c *Candidate) promptWait(m *topo.Model, n int, writers float64) time.Duration {
	stage := Stage{Card: c.Card, Layers: n, SlowFactor: c.SlowFactor}
	return time.Duration(float64(c.Load.Unread) * float64(stage.ReadToken(m, writers)))
}

// mayBeFirst reports whether the requested layers may begin at the candidate.
func (c *Candidate) mayBeFirst(req *Request) bool {
	return !(c.NotFirst && req.begins()) && (req.Forced || c.Slots <= 0 || c.Load.First < c.Slots)
}

func newSearchTarget(m *topo.Model, c *Candidate) searchTarget {
	return searchTarget{
		Candidate: c, used: c.Load.TokenLayers, capacity: m.FreeMegabytes(c.Card, c.Held.Len()) / m.TokenMegabytes, layerTime: layerTime(m, c),
	}
}

// entryCost is the extra cost of a first target in a data centre.
func (r Request) entryCost(dc string) time.Duration {
	if r.DataCentre == dc {
		return 0
	}
	if c, ok := r.Crossings[dc]; ok {
		return c.Cost
	}
	return entryCrossingCost
}

// fill is the share of the target's memory that is in use with a request in n layers.
func (t *searchTarget) fill(n, tokens int) float64 {
	if t.capacity <= 0 {
		return 1
	}
	return (t.used + float64(tokens*n)) / t.capacity
}

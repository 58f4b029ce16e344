package proxy

import (
	"time"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/topo"
)

// The reasons why a target gets no request.
const (
	// ExcludedNotReady is for targets that drain, and ExcludedLeaving for those that
	// have said that they leave.
	ExcludedNotReady  Exclusion = "NotReady"
	ExcludedLeaving   Exclusion = "Leaving"
	ExcludedPaused    Exclusion = "Paused"
	ExcludedSuspected Exclusion = "Suspected"
	// ExcludedTried is for targets that have had the request before.
	ExcludedTried Exclusion = "Tried"
	// ExcludedLimited is for targets of plain services whose named limit leaves this
	// gateway no place.
	ExcludedLimited Exclusion = "Full"
	// ExcludedCostlier is for targets that may get the request while another, or a chain
	// of others, costs less.
	ExcludedCostlier Exclusion = "Costlier"
)

type (
	// Exclusion is why a target gets no request; it is empty for one that may get it.
	Exclusion string

	// plainCost holds the terms of the cost of a target of a plain service.
	plainCost struct {
		// latency is the expected latency in seconds without load.
		latency float64
		// load is the number of running requests per slot.
		load     float64
		crossing time.Duration
		// suspected is true if the target is suspected after a failure.
		suspected bool
	}
)

// plainExclusion returns why a target cannot get a request of a plain service; empty
// if it can.
func plainExclusion(t topo.Target, s limit.Standing, tried bool) Exclusion {
	switch {
	case t.State != topo.Ready:
		return ExcludedNotReady
	case s.Leaving:
		return ExcludedLeaving
	case s.PausedFor > 0:
		return ExcludedPaused
	case tried:
		return ExcludedTried
	case s.Full:
		return ExcludedLimited
	}
	return ""
}

// plainCost returns the terms of the cost of a target of a plain service.
func (q *request) plainCost(t topo.Target, load chain.Load) plainCost {
	return plainCost{
		latency: q.latencies.expectedLatency(t.ID).Seconds(), load: float64(load.Running) / float64(max(1, t.Slots)),
		suspected: q.Ledger.Suspected(t), crossing: q.plainDelay(t.DataCentre),
	}
}

// total returns the cost in seconds, by which targets are compared.
func (c plainCost) total() float64 {
	sum := c.latency*(1+c.load) + c.crossing.Seconds()
	if c.suspected {
		// Suspected targets are used only if there is no other.
		sum += time.Hour.Seconds()
	}
	return sum
}

// expectedLoads returns the load of all gateways at each target, as far as it is known
// or to be expected.
func (q *request) expectedLoads() map[string]chain.Load {
	others, lag := q.LoadLag()
	return q.Ledger.ExpectedLoads(q.Retries.OthersPerOwn(q.service.Name, others), lag)
}

// streamExclusion returns why a target is no candidate for a chain; empty if it is one.
func streamExclusion(standing limit.Standing, failed, suspected bool) Exclusion {
	switch {
	case standing.Leaving:
		return ExcludedLeaving
	case standing.PausedFor > 0:
		return ""
	case failed:
		return ExcludedTried
	case suspected:
		return ExcludedSuspected
	}
	return ""
}

// chainRequest describes the request for the choice of a path among some candidates.
func (s *stream) chainRequest(candidates []chain.Candidate, forced bool) chain.Request {
	limits := s.limits(candidates)
	crossings, confined := s.crossings(candidates, forced)
	return chain.Request{
		Tokens: s.tokens, DataCentre: s.Settings.DataCentre, Cross: s.Settings.CrossCost, Crossings: crossings, Confined: confined,
		Layers: topo.Layers{From: 0, To: s.service.Model.Layers}, Forced: forced,
		MaxPromptWait: limits.MaxPromptWait, MaxFill: limits.MaxFill,
	}
}

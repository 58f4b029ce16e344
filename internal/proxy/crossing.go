package proxy

import (
	"slices"
	"strings"
	"sync"
	"time"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/cross"
	"shallotcourse/internal/topo"
)

const (
	// crossInterval is the time for which the figures of data centres are kept, about
	// that between two reports of loads.
	crossInterval = 100 * time.Millisecond
	// eventBytes and headBytes estimate the bytes of an event and of the heads of a
	// request and its response, and promptTokenBytes those of a token of a prompt.
	eventBytes, headBytes, promptTokenBytes = 150, 2000, 5
	// plainCrossingCost is the extra cost of a plain target in another data centre if
	// the configuration names no delay.
	plainCrossingCost = 2 * time.Millisecond
)

// The reasons of requests that cross: their path is the cheapest, the data centre of the
// gateway has no memory left or lacks layers, no other than a closed data centre can run
// them, they have been sent before, or they go to a plain service.
const (
	crossedCheaper   crossReason = "Cheaper"
	crossedHomeFull  crossReason = "HomeFull"
	crossedHomeLacks crossReason = "HomeLacksLayers"
	crossedClosed    crossReason = "Closed"
	crossedAgain     crossReason = "Retry"
	crossedPlain     crossReason = "Latency"
	crossedNotAtAll  crossReason = ""
)

type (
	// crossReason is why a request crosses; empty if it stays.
	crossReason string

	// crossCache keeps the figures of each service until they are computed anew.
	crossCache struct {
		mu       sync.Mutex
		services map[string]*serviceCrossings
		// meter counts what the requests of all services take of the pipe.
		meter cross.Meter
	}

	// serviceCrossings holds the decider, the figures and the last costs of one service.
	serviceCrossings struct {
		at      time.Time
		decider *cross.Decider
		input   cross.Input
		home    chain.Room
		costs   []cross.Cost
	}

	// crossing is how a request came to a data centre.
	crossing struct {
		// costs and home hold the costs and the room at home that the last path was
		// chosen by; costs is nil if it was chosen by fixed costs.
		costs map[string]chain.Crossing
		home  chain.Room
		// reason is why the last send crossed.
		reason crossReason
	}

	// ServiceCrossings is what it costs to cross for one service, as shown to operators.
	ServiceCrossings struct {
		Service string
		From    string
		Costs   []cross.Cost
	}
)

// crossings returns the costs of crossing by data centre for a new request, and whether
// closed data centres may not be used at all. It returns nil for requests that have been
// sent before and where the configuration names no delays.
func (s *stream) crossings(candidates []chain.Candidate, forced bool) (costs map[string]chain.Crossing, confined bool) {
	s.crossing = crossing{reason: s.crossing.reason}
	if !s.Settings.CrossByDelays || forced || s.sendCount > 0 || s.headers.LastEvent != "" || len(s.service.Model.Delays) == 0 {
		return nil, false
	}
	costs = map[string]chain.Crossing{}
	list, home := s.crossCostsOf(s.service, candidates)
	for _, c := range list {
		costs[c.DataCentre] = chain.Crossing{Cost: c.PerToken, Closed: c.Closed != ""}
		confined = confined || c.Closed.Forbids() && home.Complete
	}
	s.crossing.costs, s.crossing.home = costs, home
	return costs, confined
}

// crossCostsOf returns the costs of crossing for a service, by figures that are at most
// crossInterval old and by what crosses now, and the room at home.
func (s *Server) crossCostsOf(service topo.Service, candidates []chain.Candidate) ([]cross.Cost, chain.Room) {
	c, now := &s.crossCosts, s.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services == nil {
		c.services = map[string]*serviceCrossings{}
	}
	kept := c.services[service.Name]
	if kept == nil {
		kept = &serviceCrossings{decider: cross.New()}
		c.services[service.Name] = kept
	}
	renew := kept.at.IsZero() || now.Sub(kept.at) >= crossInterval
	if renew {
		kept.at = now
		kept.input, kept.home = s.crossInput(service, candidates, now)
	}
	kept.input.UsedBytes = c.meter.Rate(now)
	kept.costs = kept.decider.Costs(kept.input)
	if renew {
		s.exportCrossings(service.Name, kept.costs)
	}
	return kept.costs, kept.home
}

// crossInput builds the input of the costs from the targets of a service. It uses the
// loads as reported: the expected ones depend on the requests that this gateway alone has
// just sent.
func (s *Server) crossInput(service topo.Service, candidates []chain.Candidate, now time.Time) (cross.Input, chain.Room) {
	m, home := service.Model, s.Settings.DataCentre
	loads := s.Ledger.TotalLoads()
	candidates = slices.Clone(candidates)
	for i := range candidates {
		candidates[i].Load = loads[candidates[i].ID]
	}
	others, _ := s.LoadLag()
	in := cross.Input{
		Home: home, Delays: map[string]time.Duration{}, PipeBytes: m.PipeBytes, Gateways: others + 1, AnswerTokens: m.UsualAnswer,
		RequestBytes: requestBytes(m), Objective: s.shortestObjective(service.Name),
	}
	rooms := chain.Rooms(m, candidates)
	for _, dc := range s.dataCentres(service.Name) {
		delay, ok := m.Delay(home, dc)
		if dc == home || !ok {
			continue
		}
		f := cross.Figures{Name: dc, Ready: rooms[dc].Ready, Complete: rooms[dc].Complete}
		if s.LoadAge != nil {
			f.Age = s.LoadAge(dc)
		}
		in.DataCentres = append(in.DataCentres, f)
		in.Delays[dc] = max(delay, s.dials.delay(home, dc, now))
	}
	return in, rooms[home]
}

// dataCentres returns the data centres in which the service has targets.
func (s *Server) dataCentres(service string) []string {
	var out []string
	for _, t := range s.Fleets.Section().Value().ServiceTargets(service) {
		out = append(out, t.DataCentre)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// requestBytes estimates what a whole request and its answer take of the pipe.
func requestBytes(m *topo.Model) float64 {
	return headBytes + promptTokenBytes*float64(m.UsualPrompt) + eventBytes*float64(m.UsualAnswer)
}

// pipeBytes estimates what a request takes of the pipe on its path: the request and its
// answer if it begins in another data centre than home, and each token at each hop
// between data centres.
func pipeBytes(m *topo.Model, home string, hops []chain.Hop) float64 {
	out := 0.0
	for i, h := range hops {
		switch {
		case i == 0 && h.Target.DataCentre != home:
			out += requestBytes(m)
		case i > 0 && h.Target.DataCentre != hops[i-1].Target.DataCentre:
			out += float64(m.UsualPrompt+m.UsualAnswer) * float64(m.ActivationBytes)
		}
	}
	return out
}

// shortestObjective returns the shortest objective of the routes to a service, by which
// all gateways decide alike.
func (s *Server) shortestObjective(service string) time.Duration {
	shortest := time.Duration(0)
	for _, r := range s.Configs.Section().Value().Routes() {
		to := slices.ContainsFunc(r.Shares, func(share topo.Share) bool { return share.Service == service })
		if to && r.Objective > 0 && (shortest == 0 || r.Objective < shortest) {
			shortest = r.Objective
		}
	}
	return shortest
}

// exportCrossings sets the gauges of the costs.
func (s *Server) exportCrossings(service string, costs []cross.Cost) {
	for _, c := range costs {
		labels := `{Service="` + service + `",From="` + s.Settings.DataCentre + `",To="` + labelValue(c.DataCentre) + `"}`
		s.Metrics.GetOrCreateGauge("shallotcourse_cross_cost_seconds"+labels, nil).Set(c.PerToken.Seconds())
		closed := 0.0
		if c.Closed != "" {
			closed = 1
		}
		s.Metrics.GetOrCreateGauge("shallotcourse_cross_closed"+labels, nil).Set(closed)
	}
}

// labelValue returns a name from the target list as the value of a label. The metrics
// library panics at quotes.
func labelValue(name string) string {
	return strings.NewReplacer(`"`, "_", `\`, "_", "\n", "_").Replace(name)
}

// Crossings returns the costs in force, in the order of the services' names.
func (s *Server) Crossings() []ServiceCrossings {
	s.crossCosts.mu.Lock()
	defer s.crossCosts.mu.Unlock()
	var out []ServiceCrossings
	for name, kept := range s.crossCosts.services {
		if len(kept.costs) > 0 {
			out = append(out, ServiceCrossings{Service: name, From: s.Settings.DataCentre, Costs: kept.costs})
		}
	}
	slices.SortFunc(out, func(a, b ServiceCrossings) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// noteStreamCrossing records whether a send of the stream goes to another data centre,
// and what it takes of the pipe.
func (s *stream) noteStreamCrossing(hops []chain.Hop) {
	if bytes := pipeBytes(s.service.Model, s.Settings.DataCentre, hops); bytes > 0 {
		s.crossCosts.mu.Lock()
		s.crossCosts.meter.Add(s.Clock.Now(), bytes)
		s.crossCosts.mu.Unlock()
	}
	first, c := hops[0].Target, s.crossing
	switch {
	case s.sendCount > 1 || s.headers.LastEvent != "":
		s.noteCrossing(first, crossedAgain)
	case c.costs == nil:
		s.noteCrossing(first, crossedCheaper)
	case c.costs[first.DataCentre].Closed:
		s.noteCrossing(first, crossedClosed)
	case !c.home.Complete:
		s.noteCrossing(first, crossedHomeLacks)
	case c.home.Free < 1:
		s.noteCrossing(first, crossedHomeFull)
	default:
		s.noteCrossing(first, crossedCheaper)
	}
}

// noteCrossing records and counts a send that goes to another data centre.
func (q *request) noteCrossing(t topo.Target, why crossReason) {
	if q.crossing.reason = crossedNotAtAll; t.DataCentre == q.Settings.DataCentre {
		return
	}
	q.crossing.reason = why
	q.Metrics.GetOrCreateCounter(`shallotcourse_cross_requests_total{Service="` + q.service.Name + `",From="` + q.Settings.DataCentre +
		`",To="` + labelValue(t.DataCentre) + `",Reason="` + string(why) + `"}`).Inc()
}

// crossFields returns the fields of the log line on the crossing of the last send.
func (q *request) crossFields() []any {
	if q.crossing.reason == crossedNotAtAll {
		return []any{"crossed", false}
	}
	return []any{"crossed", true, "crossReason", string(q.crossing.reason)}
}

// plainDelay returns the extra cost of a plain target in another data centre, by the
// delay that the configuration names if it names one.
func (s *Server) plainDelay(dataCentre string) time.Duration {
	if dataCentre == s.Settings.DataCentre {
		return 0
	}
	if d, ok := s.Configs.Section().Value().Delay(s.Settings.DataCentre, dataCentre); ok && s.Settings.CrossByDelays {
		return cross.Trips * d
	}
	return plainCrossingCost
}

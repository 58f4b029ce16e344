package proxy

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/cross"
	"shallotcourse/internal/sched"
	"shallotcourse/internal/topo"
)

const (
	// shareInterval is the least time between two decisions for a service.
	shareInterval = 100 * time.Millisecond
	// arrivalInterval is the time over which arrivals are counted. A gateway gets tens
	// of requests per second, so that shorter counts vary much.
	arrivalInterval = 2 * time.Second
	// defaultObjective stands for the objective of routes that have none.
	defaultObjective = time.Second
	// eventBytes and headBytes estimate the bytes of an event and of the heads of a
	// request and its response, and promptTokenBytes those of a token of a prompt.
	eventBytes, headBytes, promptTokenBytes = 150, 2000, 5
	// plainCrossingCost is the extra cost of a plain target in another data centre if
	// the configuration names no delay.
	plainCrossingCost = 2 * time.Millisecond
)

// The reasons of requests that cross without a share: those that go elsewhere because
// their data centre has no room, that cross by the cost of their path, that continue
// elsewhere, and that go to a plain service.
const (
	crossedNoRoom   cross.Reason = "NoRoom"
	crossedByCost   cross.Reason = "Cost"
	crossedAgain    cross.Reason = "Retry"
	crossedPlain    cross.Reason = "Latency"
	crossedNotAtAll cross.Reason = ""
)

type (
	// shareCache keeps the shares of each service until the next decision.
	shareCache struct {
		mu       sync.Mutex
		services map[string]*serviceShares
	}

	// serviceShares holds the decider and the last decision of one service.
	serviceShares struct {
		at       time.Time
		decider  *cross.Decider
		decision cross.Decision
		// arrived counts the requests since countedAt, and perSecond is the rate
		// before that.
		arrived   int
		countedAt time.Time
		perSecond float64
	}

	// crossing is how a request came to a data centre.
	crossing struct {
		// counted is true once the request counts as arrived.
		counted bool
		// preferred is the data centre that the shares picked for the request; empty if
		// they pick none.
		preferred string
		// reason is why the last send crossed; empty if it stayed.
		reason cross.Reason
	}

	// ServiceShares is the decision on one service, as shown to operators.
	ServiceShares struct {
		Service string
		From    string
		Shares  []cross.Share
	}
)

// preferredDataCentre returns the data centre that a new request should go to, and
// whether only this one and the own one may take it. It returns "" if data centres are to
// be compared by cost, as for requests that have been sent before.
func (s *stream) preferredDataCentre(candidates []chain.Candidate, forced bool) (prefer string, confined bool) {
	if s.crossing.preferred = ""; forced || s.sendCount > 0 || s.headers.LastEvent != "" {
		return "", false
	}
	d := s.crossDecision(s.service, candidates, !s.crossing.counted)
	s.crossing.counted = true
	s.crossing.preferred = cross.Pick(d.Shares, s.headers.ID)
	return s.crossing.preferred, d.Confined
}

// crossDecision returns the shares of a service, which are decided anew at most every
// shareInterval. arrived is true for the first call of each request.
func (s *Server) crossDecision(service topo.Service, candidates []chain.Candidate, arrived bool) cross.Decision {
	if service.Model == nil || len(service.Model.Delays) == 0 {
		return cross.Decision{}
	}
	s.shares.mu.Lock()
	defer s.shares.mu.Unlock()
	if s.shares.services == nil {
		s.shares.services = map[string]*serviceShares{}
	}
	kept := s.shares.services[service.Name]
	if kept == nil {
		kept = &serviceShares{decider: cross.New()}
		s.shares.services[service.Name] = kept
	}
	now := s.Clock.Now()
	kept.count(arrived, now)
	if kept.at.IsZero() || now.Sub(kept.at) >= shareInterval {
		kept.at = now
		kept.decision = kept.decider.Shares(s.crossInput(service, candidates, kept.perSecond, now))
		s.exportShares(service.Name, kept.decision)
	}
	return kept.decision
}

// count counts a request that has arrived.
func (k *serviceShares) count(arrived bool, now time.Time) {
	if arrived {
		k.arrived++
	}
	if elapsed := now.Sub(k.countedAt); elapsed >= arrivalInterval {
		if !k.countedAt.IsZero() {
			k.perSecond = float64(k.arrived) / elapsed.Seconds()
		}
		k.arrived, k.countedAt = 0, now
	}
}

// crossInput builds the input of a decision from the targets of the service. It uses the
// loads as reported: the expected ones depend on the requests that this gateway alone has
// just sent.
func (s *Server) crossInput(service topo.Service, candidates []chain.Candidate, perSecond float64, now time.Time) cross.Input {
	m, home := service.Model, s.Settings.DataCentre
	loads := s.Ledger.TotalLoads()
	candidates = slices.Clone(candidates)
	for i := range candidates {
		candidates[i].Load = loads[candidates[i].ID]
	}
	objective := s.shortestObjective(service.Name)
	in := cross.Input{
		At: now, Home: home, Delays: map[string]time.Duration{}, PipeBytes: m.PipeBytes, AnswerTokens: m.UsualAnswer,
		RequestBytes: headBytes + promptTokenBytes*float64(m.UsualPrompt) + eventBytes*float64(m.UsualAnswer),
		MaxWait:      sched.Base(objective).MaxPromptWait, Refusal: cmp.Or(objective, defaultObjective),
	}
	if in.Arrivals = perSecond; s.HomeGateways != nil {
		in.Arrivals *= float64(s.HomeGateways())
	}
	rooms := chain.Rooms(m, candidates)
	for dc, r := range rooms {
		f := cross.Figures{
			Name: dc, Ready: r.Ready, Complete: r.Complete, InFlight: r.InFlight, Free: r.Free, Wait: r.Wait, Read: r.Read, Token: r.Token,
		}
		if s.LoadAge != nil {
			f.Age = s.LoadAge(dc)
		}
		in.DataCentres = append(in.DataCentres, f)
		delay, ok := m.Delay(home, dc)
		if !ok {
			delay = plainCrossingCost / cross.Trips
		}
		in.Delays[dc] = max(delay, s.dials.delay(home, dc, now))
	}
	if _, ok := rooms[home]; !ok {
		in.DataCentres = append(in.DataCentres, cross.Figures{Name: home})
	}
	return in
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

// exportShares sets the gauges of the shares.
func (s *Server) exportShares(service string, d cross.Decision) {
	for _, share := range d.Shares {
		labels := `{Service="` + service + `",From="` + s.Settings.DataCentre + `",To="` + labelValue(share.DataCentre) + `"}`
		s.Metrics.GetOrCreateGauge("shallotcourse_cross_share"+labels, nil).Set(share.Part)
	}
}

// labelValue returns a name from the target list as the value of a label. The metrics
// library panics at quotes.
func labelValue(name string) string {
	return strings.NewReplacer(`"`, "_", `\`, "_", "\n", "_").Replace(name)
}

// Shares returns the shares in force, in the order of the services' names.
func (s *Server) Shares() []ServiceShares {
	s.shares.mu.Lock()
	defer s.shares.mu.Unlock()
	var out []ServiceShares
	for name, kept := range s.shares.services {
		if len(kept.decision.Shares) > 0 {
			out = append(out, ServiceShares{Service: name, From: s.Settings.DataCentre, Shares: kept.decision.Shares})
		}
	}
	slices.SortFunc(out, func(a, b ServiceShares) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// noteStreamCrossing records whether a send of the stream goes to another data centre.
func (s *stream) noteStreamCrossing(first topo.Target) {
	preferred := s.crossing.preferred
	switch {
	case s.sendCount > 1 || s.headers.LastEvent != "":
		s.noteCrossing(first, crossedAgain)
	case preferred == "":
		s.noteCrossing(first, crossedByCost)
	case preferred != first.DataCentre:
		s.noteCrossing(first, crossedNoRoom)
	default:
		s.noteCrossing(first, s.shareReason(s.service.Name, preferred))
	}
}

// shareReason returns the reason of the share that a data centre has.
func (s *Server) shareReason(service, dataCentre string) cross.Reason {
	s.shares.mu.Lock()
	defer s.shares.mu.Unlock()
	if kept := s.shares.services[service]; kept != nil {
		return kept.decision.Reason(dataCentre)
	}
	return crossedByCost
}

// noteCrossing records and counts a send that goes to another data centre.
func (q *request) noteCrossing(t topo.Target, why cross.Reason) {
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
func (s *Server) plainDelay(config topo.Config, dataCentre string) time.Duration {
	if dataCentre == s.Settings.DataCentre {
		return 0
	}
	if d, ok := config.Delay(s.Settings.DataCentre, dataCentre); ok {
		return cross.Trips * d
	}
	return plainCrossingCost
}

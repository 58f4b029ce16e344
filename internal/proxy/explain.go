package proxy

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/sched"
	"shallotcourse/internal/topo"
)

const (
	// Sends means that the request would be sent at once.
	Sends Fate = "Sends"
	// Waits means that the request would wait for a target until it is sent or refused.
	Waits Fate = "Waits"
	// Refuses means that the request would be refused.
	Refuses Fate = "Refuses"
)

type (
	// Question describes a request whose fate is asked for.
	Question struct {
		Host, Path string
		// Account is the name of the account whose key the request would carry; empty
		// for a request without a valid key.
		Account string
		// Headers holds the other values that decide; its Key is not used.
		Headers RequestHeaders
	}

	// Fate is what would happen to a request.
	Fate string

	// Explanation is where a request would go now, and why.
	Explanation struct {
		Decision Decision
		// Route, Service and Account are empty if the request is refused before they
		// are known. Account is empty where requests need no key, too.
		Route, Service, Account string
		Admission               string
		// Ranked is true if the service has unequal priorities; Rank is 0 otherwise.
		Ranked         bool
		Priority, Rank int
		// Tokens is the memory that the request is expected to need at its end, in
		// tokens; 0 for plain services.
		Tokens int
		// Limits bounds the load of the targets of a model; zero for plain services.
		Limits sched.Limits
		// Queue is zero for services without ranks, which keep no queue.
		Queue sched.Queue
		// Version is that of the configuration.
		Version            uint64
		ConfigAge, ListAge time.Duration
		// Targets holds all targets of the service in the order of the target list.
		Targets []ExplainedTarget
	}

	// Decision is what would happen to the request now.
	Decision struct {
		Fate Fate
		// Hops is the path of a request that is sent. A plain service has one hop
		// without layers.
		Hops []ExplainedHop `json:",omitempty"`
		// Code and Detail say why the request is not sent.
		Code   fault.Code `json:",omitempty"`
		Detail string     `json:",omitempty"`
		// WaitsFor is the longest time that the request would wait.
		WaitsFor time.Duration `json:",omitempty"`
		// Hint is the kind of the Retry-After of a refusal.
		Hint HintKind `json:",omitempty"`
	}

	// ExplainedHop is one target of a path and the layers that it would run.
	ExplainedHop struct {
		Target, DataCentre string
		Layers             topo.Layers
	}

	// ExplainedTarget is a target of the service with the terms of its cost.
	ExplainedTarget struct {
		ID, DataCentre string
		Held           topo.Layers
		// Chosen is true if the request would be sent to the target, or through it.
		Chosen bool
		// Excluded is empty if Chosen is true, or if the target could get the request and
		// only others that are needed are missing.
		Excluded   Exclusion `json:",omitempty"`
		Running    int
		SlowFactor float64
		PausedFor  time.Duration `json:",omitempty"`
		// Fill, PromptWait and Token are the terms of chain.Terms; 0 for plain services.
		Fill              float64
		PromptWait, Token time.Duration
		// Crossing is the extra cost of another data centre than the gateway's.
		Crossing time.Duration
		// Latency is the expected latency without load, Cost the sum by which targets of
		// plain services are compared; 0 for others.
		Latency, Cost time.Duration
	}
)

// Explain returns where a request would go now, and why. It decides like ServeHTTP, and
// changes nothing that later requests depend on. Like a request, it waits for a short
// time if the configuration or the target list is too old. The failure is BadInput if
// no account has the given name.
func (s *Server) Explain(ctx context.Context, question Question) (Explanation, error) {
	shadow := s.shadow()
	r := (&http.Request{Method: http.MethodGet, Host: question.Host, URL: &url.URL{Path: question.Path}}).WithContext(ctx)
	q := &request{Server: shadow, r: r, headers: question.Headers, arrived: s.Clock.Now()}
	var unknown *fault.Error
	_, err := q.admitBy(func(c topo.Config) (topo.Account, bool) {
		accounts := c.Accounts()
		i := slices.IndexFunc(accounts, func(a topo.Account) bool { return a.Name == question.Account })
		if i < 0 {
			if question.Account != "" {
				unknown = fault.Invalid("account", question.Account, "an account that has a key")
			}
			return topo.Account{}, false
		}
		return accounts[i], true
	})
	if unknown != nil {
		return Explanation{}, unknown
	}
	e := Explanation{Route: q.route.Name, Service: q.service.Name, Account: q.account, Admission: string(q.admission), Priority: q.priority}
	switch {
	case err != nil:
		e.Decision = refusal(fault.As(err))
	case q.isStream():
		newStream(q).explain(&e)
	default:
		q.explainPlain(&e)
	}
	e.Version, e.ConfigAge, e.ListAge = q.Configs.Section().Value().Version, q.Configs.Age(), q.Fleets.Age()
	return e, nil
}

// shadow returns a Server that decides by the state of this one. It counts and logs
// apart from this one, has copies of its queue and of the targets' limits, and cannot
// send requests or give hints.
func (s *Server) shadow() *Server {
	o := s.Options
	o.Sched, o.Limits, o.Metrics, o.Log = s.Sched.Copy(), s.Limits.Copy(), metrics.NewSet(), log.NewNopLogger()
	o.Returns, o.Client, o.Engines = nil, nil, nil
	out := &Server{Options: o, dials: s.dials, latencies: s.latencies, abortCtx: s.abortCtx}
	out.acceptUntil.Store(s.acceptUntil.Load())
	return out
}

// explain explains a stream that has just arrived.
func (s *stream) explain(e *Explanation) {
	room := roomWait{stream: s, until: s.arrived.Add(s.capacityWait())}
	room.enter()
	e.Ranked, e.Rank = s.Sched.Ranked(s.service.Name), s.Sched.Rank(s.service.Name, s.priority)
	e.Tokens, e.Queue = s.tokens, room.place.Queue()
	hops, failure, reason := s.firstPath(&room)
	e.Decision = s.decision(hops, failure, room.until, func() *fault.Error { return room.goOn(failure, reason) })
	candidates := s.candidates()
	req := s.chainRequest(candidates, false)
	e.Limits = sched.Limits{MaxPromptWait: req.MaxPromptWait, MaxFill: req.MaxFill}
	reasons := chain.Reasons(s.service.Model, candidates, req)
	targets, loads := s.Fleets.Section().Value().ServiceTargets(s.service.Name), s.expectedLoads()
	suspected := s.Ledger.SuspectedAmong(targets)
	for _, t := range targets {
		standing := s.Limits.Standing(t)
		why := cmp.Or(streamExclusion(standing, false, suspected[t.ID]), Exclusion(reasons[t.ID]))
		c := chain.Candidate{Target: t, Load: loads[t.ID], SlowFactor: t.Pace}
		terms := c.Terms(s.service.Model, req)
		e.add(ExplainedTarget{
			ID: t.ID, DataCentre: t.DataCentre, Held: t.Held, Excluded: why, Running: c.Load.Running, SlowFactor: max(1, t.Pace),
			PausedFor: standing.PausedFor, Fill: terms.Fill, PromptWait: terms.PromptWait, Token: terms.Token, Crossing: terms.Crossing,
		})
	}
}

// firstPath returns the path on which the request would be sent now, as nextRun does.
func (s *stream) firstPath(room *roomWait) ([]chain.Hop, *fault.Error, string) {
	if h := s.Prompts.Peek(s.headers.PromptParts); h != nil {
		return nil, s.heldError(h), ""
	}
	if err := s.awaitList(s.listWait()); err != nil {
		return nil, err, ""
	}
	return room.path()
}

// explainPlain explains a request of a plain service.
func (q *request) explainPlain(e *Explanation) {
	var hops []chain.Hop
	failure := q.awaitList(refreshTimeout)
	if failure == nil {
		var t topo.Target
		if t, failure = q.pickPlainTarget(nil); failure == nil {
			hops = []chain.Hop{{Target: t}}
		}
	}
	e.Decision = q.decision(hops, failure, q.plainWaitEnd(), func() *fault.Error { return failure })
	loads := q.Ledger.TotalLoads()
	for _, t := range q.Fleets.Section().Value().ServiceTargets(q.service.Name) {
		standing, cost := q.Limits.Standing(t), q.plainCost(t, loads[t.ID])
		why := plainExclusion(t, standing, false)
		if why == "" && cost.suspected {
			why = ExcludedSuspected
		}
		e.add(ExplainedTarget{
			ID: t.ID, DataCentre: t.DataCentre, Excluded: why, Running: loads[t.ID].Running, SlowFactor: max(1, t.Pace), PausedFor: standing.PausedFor,
			Crossing: cost.crossing, Latency: time.Duration(cost.latency * float64(time.Second)), Cost: time.Duration(cost.total() * float64(time.Second)),
		})
	}
}

// add adds a target after the decision is known.
func (e *Explanation) add(t ExplainedTarget) {
	t.Chosen = slices.ContainsFunc(e.Decision.Hops, func(h ExplainedHop) bool { return h.Target == t.ID })
	switch {
	case t.Chosen:
		t.Excluded = ""
	case t.Excluded == "" && e.Decision.Fate == Sends:
		t.Excluded = ExcludedCostlier
	}
	e.Targets = append(e.Targets, t)
}

// decision returns what happens to a request that found a path, or that failed and may
// wait until some time. goOn returns the refusal of a request for lack of room, or nil
// if it waits.
func (q *request) decision(hops []chain.Hop, failure *fault.Error, until time.Time, goOn func() *fault.Error) Decision {
	if failure == nil {
		d := Decision{Fate: Sends}
		for _, h := range hops {
			d.Hops = append(d.Hops, ExplainedHop{Target: h.Target.ID, DataCentre: h.Target.DataCentre, Layers: h.Layers})
		}
		return d
	}
	refused := failure
	switch failure.Code {
	case fault.TargetPause:
		refused = q.pausedBeyond(failure, until)
	case fault.TargetLimit:
		refused = (&limitWait{request: q, until: until}).goOn(failure)
	case fault.Overloaded:
		refused = goOn()
	}
	if refused != nil {
		return refusal(refused)
	}
	return Decision{Fate: Waits, Code: failure.Code, Detail: failure.Detail, WaitsFor: until.Sub(q.Clock.Now())}
}

// refusal returns the decision to refuse a request.
func refusal(e *fault.Error) Decision {
	return Decision{Fate: Refuses, Code: e.Code, Detail: e.Detail, Hint: hintOf(e)}
}

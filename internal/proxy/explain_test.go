package proxy

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"shallotcourse/internal/blame"
	"shallotcourse/internal/chain"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/sched"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// aloneGateway is the list of a gateway without others.
type aloneGateway struct{}

func (aloneGateway) Version() uint64           { return 1 }
func (aloneGateway) Gateways() []limit.Gateway { return nil }

// explainedServer returns a server with routes of two priorities to a model service, and
// one to a plain service, each with targets in two data centres.
func explainedServer() (*Server, []topo.Target) {
	clock, logger := timer.NewManual(time.Unix(1e9, 0)), log.NewNopLogger()
	bootClock := func() time.Duration { return time.Minute }
	configs, fleets := follow.NewConfigs(nil, clock, bootClock, logger), follow.NewFleets(nil, clock, bootClock, logger)
	route := func(prefix, service string, kind topo.Semantics, priority int) topo.Route {
		return topo.Route{
			Name: prefix, Host: "site", Prefix: prefix, Semantics: kind, Priority: priority, Timeout: time.Second, Objective: 500 * time.Millisecond,
			Shares: []topo.Share{{Service: service, Weight: 1}}, Attempts: 2, Public: true,
		}
	}
	model := &topo.Model{
		Layers: 8, LayerMegabytes: 1, TokenMegabytes: 0.1, Step: time.Millisecond, UsualPrompt: 10, UsualAnswer: 10, ReadPerSecond: 1e4, Stride: 1, Chunk: 64,
		Cards: map[string]topo.Card{"card": {Megabytes: 100, Pace: 1, ReadPace: 1}},
	}
	routes := []topo.Route{route("/urgent/", "llm", topo.Stream, 0), route("/later/", "llm", topo.Stream, 2), route("/plain/", "plain", topo.Once, 0)}
	config := topo.NewConfig(1, topo.Limits{}, routes, []topo.Service{{Name: "llm", Model: model}, {Name: "plain"}}, nil, nil)
	configs.Section().Set(follow.Config{Config: config, ConfirmedAt: time.Minute})
	var targets []topo.Target
	for i, held := range []topo.Layers{{From: 0, To: 8}, {From: 0, To: 4}, {From: 4, To: 8}, {}} {
		for _, dc := range []string{"x", "y"} {
			id := fmt.Sprintf("%s%d", dc, i)
			t := topo.Target{ID: id, Address: id + ":1", Service: "llm", DataCentre: dc, Card: "card", Held: held, Slots: 4, Started: 1, Pace: 1}
			if held.Len() == 0 {
				t.Service = "plain"
			}
			targets = append(targets, t)
		}
	}
	fleets.ApplySync(topo.Version{Number: 1}, targets, time.Minute, "g2")
	return New(Options{
		Settings: Settings{DataCentre: "x", ConfigMaxAge: time.Hour}, Clock: clock, Log: logger, Metrics: metrics.NewSet(), Configs: configs, Fleets: fleets,
		Ledger: ledger.New(clock), Prompts: blame.New(blame.Options{Clock: clock, Log: logger, Instance: "g1"}),
		Limits: limit.NewTargetLimiter(clock, limit.Gateway{Instance: "g1"}, aloneGateway{}), Returns: limit.NewRetryPacer(clock),
		Retries: limit.NewRetryLimiter(clock, limit.RetryBounds{Window: time.Second}, func() int { return 1 }),
		LoadLag: func() (int, time.Duration) { return 1, time.Second },
	}), targets
}

// stateText returns what decides about requests.
func stateText(s *Server, parts []string) string {
	var out bytes.Buffer
	fmt.Fprintln(&out, s.RankStatus(), s.Ledger.TotalLoads(), s.Retries.LocalCounts(), s.Limits.Report(true, true), s.Limits.Paused())
	fmt.Fprintln(&out, s.Prompts.Held(parts) != nil, s.latencies.services, s.latencies.targets, s.OpenRequests(), s.TotalRequests())
	for _, t := range s.Fleets.Section().Value().All() {
		fmt.Fprintln(&out, t.ID, s.Ledger.Suspected(t))
	}
	s.Metrics.WritePrometheus(&out)
	return out.String()
}

// Guards against an explanation that counts, takes a limit or a place in the queue, or
// begins the try of a hold, and against one that names a target which no request gets.
func TestExplainChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s, targets := explainedServer()
		s.updateRanks()
		parts := []string{"bad"}
		if rapid.Bool().Draw(t, "held") {
			s.Prompts.Merge("g2", blame.Report{Holds: []blame.Hold{{Parts: parts, Version: 1, Left: -time.Second}}})
		}
		for _, target := range targets {
			switch rapid.IntRange(0, 5).Draw(t, target.ID) {
			case 0:
				s.Limits.Named(target, 100)
				if rapid.Bool().Draw(t, "a share is known") {
					s.Limits.Standing(target)
					s.Clock.(*timer.Manual).Advance(time.Second)
				}
			case 1:
				s.Limits.Pauses(target, rapid.SampledFrom([]time.Duration{10 * time.Millisecond, time.Minute}).Draw(t, "pause"))
			case 2:
				s.Limits.Leaves(target)
			case 3:
				s.Ledger.RecordFailure(target)
			case 4:
				s.Ledger.Open(100, 100, []chain.Hop{{Target: target, Layers: target.Held}})
			}
		}
		for range rapid.IntRange(0, 3).Draw(t, "waiting") {
			s.Sched.Arrived("llm", sched.Request{Need: 100})
			s.Sched.Wait("llm", sched.Request{Need: 100}, s.Clock.Now())
		}
		before := stateText(s, parts)
		for _, path := range []string{"/urgent/a", "/later/a", "/plain/a", "/none"} {
			e, err := s.Explain(context.Background(), Question{Host: "site", Path: path, Headers: RequestHeaders{PromptParts: parts}})
			is.NoErr(err)
			is.Equal(stateText(s, parts), before)
			is.Equal(e.Decision.Fate == Sends, e.Decision.Code == "")
			chosen := 0
			for _, c := range e.Targets {
				if c.Chosen {
					chosen++
					target, _ := s.Fleets.Section().Value().Target(c.ID)
					is.True(s.Limits.Copy().Standing(target).TakesWork())
				}
				is.True(!c.Chosen || c.Excluded == "")
				is.True(c.Chosen || c.Excluded != "" || e.Decision.Fate != Sends)
			}
			is.Equal(chosen, len(e.Decision.Hops))
		}
	})
}

// Guards against an explanation that hides why a request is not sent, or its place
// behind more urgent ones.
func TestExplainNamesReasons(t *testing.T) {
	is := is.New(t)
	s, targets := explainedServer()
	ask := func(path string) Explanation {
		e, err := s.Explain(context.Background(), Question{Host: "site", Path: path})
		is.NoErr(err)
		return e
	}
	reason := func(e Explanation, id string) Exclusion {
		for _, c := range e.Targets {
			if c.ID == id {
				return c.Excluded
			}
		}
		return "unlisted"
	}
	is.Equal(ask("/later/a").Decision.Hops[0].Target, "x0")
	s.Limits.Leaves(targets[0])
	s.Ledger.RecordFailure(targets[1])
	s.Limits.Pauses(targets[2], time.Minute)
	for _, full := range targets[4:6] {
		s.Ledger.Open(1000, 0, []chain.Hop{{Target: full, Layers: full.Held}})
	}
	e := ask("/later/a")
	is.Equal(e.Decision.Fate, Waits)
	is.Equal(e.Decision.Code, fault.Overloaded)
	is.Equal([]Exclusion{reason(e, "x0"), reason(e, "y0"), reason(e, "x1"), reason(e, "x2")},
		[]Exclusion{ExcludedLeaving, ExcludedSuspected, ExcludedPaused, Exclusion(chain.Full)})
	s.Limits.Pauses(targets[3], time.Minute)
	e = ask("/urgent/a")
	is.Equal(e.Decision.Code, fault.TargetPause)
	is.Equal(e.Decision.Fate, Refuses)
	is.Equal(e.Decision.Hint, HintPaced)
	is.Equal(ask("/none").Decision.Code, fault.NotFound)

	s, _ = explainedServer()
	s.updateRanks()
	s.Sched.Wait("llm", sched.Request{}, s.Clock.Now())
	e = ask("/later/a")
	is.Equal(e.Queue, sched.Queue{Waiting: 1, Before: 1})
	is.Equal([]int{e.Priority, e.Rank}, []int{2, 1})
	is.Equal(e.Decision.Fate, Waits)
}

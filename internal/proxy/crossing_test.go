package proxy

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/cross"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// crossingSite is a gateway in data centre x of a service with a target in each of x and
// y, with memory for 200 requests. y has the faster card.
type crossingSite struct {
	*Server
	clock   *timer.Manual
	targets map[string]topo.Target
	service topo.Service
	serial  int
	// age is that of the loads of y.
	age time.Duration
}

func newCrossingSite(delays []topo.Delay) *crossingSite {
	clock, logger := timer.NewManual(time.Unix(1000, 0)), log.NewNopLogger()
	bootClock := func() time.Duration { return time.Minute }
	s := &crossingSite{clock: clock, targets: map[string]topo.Target{}}
	s.service = topo.Service{Name: "llm", Model: &topo.Model{
		Layers: 10, LayerMegabytes: 1, TokenMegabytes: 0.001, Step: 10 * time.Millisecond, UsualPrompt: 50, UsualAnswer: 50, Delays: delays,
		Cards: map[string]topo.Card{"slow": {Megabytes: 210, Pace: 1.5, ReadPace: 1}, "fast": {Megabytes: 210, Pace: 1, ReadPace: 1}},
	}}
	var list []topo.Target
	for dc, card := range map[string]string{"x": "slow", "y": "fast"} {
		s.targets[dc] = topo.Target{ID: dc, Address: dc + ":80", Service: "llm", Card: card, DataCentre: dc, Held: topo.Layers{To: 10}}
		list = append(list, s.targets[dc])
	}
	fleets := follow.NewFleets(nil, clock, bootClock, logger)
	fleets.ApplySync(topo.Version{Number: 1}, list, time.Second, "g")
	s.Server = New(Options{
		Clock: clock, Log: logger, Metrics: metrics.NewSet(), Configs: follow.NewConfigs(nil, clock, bootClock, logger), Fleets: fleets,
		Ledger: ledger.New(clock), Limits: limit.NewTargetLimiter(clock, limit.Gateway{}, nil), Settings: Settings{DataCentre: "x", CrossByDelays: true},
		LoadLag: func() (int, time.Duration) { return 0, 0 },
		LoadAge: func(string) time.Duration { return s.age },
		Retries: limit.NewRetryLimiter(clock, limit.RetryBounds{Window: time.Second}, func() int { return 1 }),
	})
	return s
}

// choose returns how many of n requests go to y, one every 10 ms.
func (s *crossingSite) choose(t *testing.T, n int, forced bool, edit func(*stream)) int {
	crossed := 0
	for range n {
		s.clock.Advance(10 * time.Millisecond)
		s.serial++
		q := &request{Server: s.Server, r: httptest.NewRequest("GET", "/", nil), service: s.service, headers: RequestHeaders{ID: fmt.Sprint(s.serial)}}
		st := &stream{request: q, excluded: map[string]bool{}, tokens: 100}
		edit(st)
		hops, err := st.choosePath(forced)
		if err != nil {
			t.Fatal(err)
		}
		if hops[0].Target.DataCentre == "y" {
			crossed++
		}
	}
	return crossed
}

// Guards against requests that stay although a path elsewhere is cheaper, or that leave
// for a closed data centre, and against costs for requests and deployments without delays.
func TestCrossings(t *testing.T) {
	is := is.New(t)
	s, unchanged := newCrossingSite([]topo.Delay{{From: "x", To: "y", Delay: 400 * time.Microsecond}}), func(*stream) {}
	is.Equal(s.choose(t, 10, false, unchanged), 10)
	costs := s.Crossings()
	is.Equal(len(costs), 1)
	is.Equal(costs[0].Costs[0].DataCentre, "y")
	is.Equal(costs[0].Costs[0].PerToken, 32*time.Microsecond) // four trips over 50 tokens
	s.age = 2 * time.Second
	s.clock.Advance(crossInterval)
	is.Equal(s.choose(t, 10, false, unchanged), 0)
	is.Equal(s.Crossings()[0].Costs[0].Closed, cross.OldFigures)
	is.Equal(s.choose(t, 10, true, unchanged), 10) // forced requests go by the fixed cost
	is.Equal(s.choose(t, 10, false, func(st *stream) { st.sendCount = 1 }), 10)
	is.Equal(s.choose(t, 10, false, func(st *stream) { st.headers.LastEvent = "7" }), 10)
	for range 200 {
		s.Ledger.Open(100, 0, []chain.Hop{{Target: s.targets["x"], Layers: topo.Layers{To: 10}}})
	}
	is.Equal(s.choose(t, 10, false, unchanged), 10) // no other can run them
	without := newCrossingSite(nil)
	is.Equal(without.choose(t, 10, false, unchanged), 10)
	is.Equal(len(without.Crossings()), 0)
}

// Guards against crossed requests and hops that do not count for the pipe, and against
// requests sent over a pipe that is full.
func TestPipeOfGateway(t *testing.T) {
	is := is.New(t)
	s, unchanged := newCrossingSite([]topo.Delay{{From: "x", To: "y", Delay: 400 * time.Microsecond}}), func(*stream) {}
	m := s.service.Model
	m.PipeBytes, m.ActivationBytes = 1e6, 1000
	hop := func(dc string) chain.Hop { return chain.Hop{Target: s.targets[dc]} }
	is.Equal(pipeBytes(m, "x", []chain.Hop{hop("x"), hop("x")}), 0.0)
	is.Equal(pipeBytes(m, "x", []chain.Hop{hop("x"), hop("y")}), 100_000.0)
	whole := []chain.Hop{hop("y"), hop("y")}
	is.Equal(pipeBytes(m, "x", whole), requestBytes(m))
	is.Equal(s.choose(t, 10, false, unchanged), 10)
	st := &stream{request: &request{Server: s.Server, service: s.service}}
	for range 400 {
		st.noteStreamCrossing(whole)
	}
	is.Equal(s.choose(t, 10, false, unchanged), 0)
	is.Equal(s.Crossings()[0].Costs[0].Closed, cross.PipeFull)
	s.clock.Advance(10 * time.Second)
	is.Equal(s.choose(t, 10, false, unchanged), 10)
}

// Guards against a measured delay that stays after the connection has become faster, and
// against a gateway short of processor time that takes its own delay for the network's.
func TestMeasuredDelays(t *testing.T) {
	is := is.New(t)
	d, now := &dialTimes{}, time.Unix(1000, 0)
	d.record("x", 10*time.Millisecond, now)
	d.record("y", 30*time.Millisecond, now)
	is.Equal(d.delay("x", "y", now), 10*time.Millisecond)
	is.Equal(d.delay("x", "z", now), time.Duration(0))
	is.Equal(d.delay("x", "y", now.Add(dialMemory+1)), time.Duration(0))
}

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
		Ledger: ledger.New(clock), Limits: limit.NewTargetLimiter(clock, limit.Gateway{}, nil), Settings: Settings{DataCentre: "x"},
		Retries: limit.NewRetryLimiter(clock, limit.RetryBounds{Window: time.Second}, func() int { return 1 }),
		LoadLag: func() (int, time.Duration) { return 0, 0 },
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

// Guards against requests that leave a data centre with room for them, that all leave it
// when it has none, and against shares for requests and deployments that have none.
func TestSharesOfDataCentres(t *testing.T) {
	is := is.New(t)
	s, unchanged := newCrossingSite([]topo.Delay{{From: "x", To: "y", Delay: 400 * time.Microsecond}}), func(*stream) {}
	is.Equal(s.choose(t, 300, false, unchanged), 0)
	is.Equal(s.choose(t, 10, true, unchanged), 10) // forced requests take the cheapest
	is.Equal(s.choose(t, 10, false, func(st *stream) { st.sendCount = 1 }), 10)
	is.Equal(s.choose(t, 10, false, func(st *stream) { st.headers.LastEvent = "7" }), 10)
	for range 175 {
		s.Ledger.Open(100, 0, []chain.Hop{{Target: s.targets["x"], Layers: topo.Layers{To: 10}}})
	}
	s.choose(t, 500, false, unchanged)
	crossed := s.choose(t, 500, false, unchanged)
	is.True(crossed > 50 && crossed < 400) // the load of x stays, so the share grows to its limit of about 0.55
	shares := s.Shares()
	is.Equal(len(shares), 1)
	is.Equal(shares[0].Shares[1].DataCentre, "y")
	is.True(shares[0].Shares[1].Part > 0)
	without := newCrossingSite(nil)
	is.Equal(without.choose(t, 10, false, unchanged), 10) // the cheapest, as before
	is.Equal(len(without.Shares()), 0)
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

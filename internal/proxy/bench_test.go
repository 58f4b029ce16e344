package proxy

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// BenchmarkChoosePath measures the choice of a path for one request in
// deployments of up to a thousand targets, each of which has work in flight.
func BenchmarkChoosePath(b *testing.B) {
	model := &topo.Model{
		Layers: 80, LayerMegabytes: 1750, TokenMegabytes: 0.011475, Step: time.Millisecond, UsualPrompt: 774, UsualAnswer: 203,
		Cards: map[string]topo.Card{"A": {Megabytes: 72000, Pace: 2.4, ReadPace: 3.2}},
	}
	for _, n := range []int{36, 119, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			clock, logger := timer.System{}, log.NewNopLogger()
			bootClock := func() time.Duration { return time.Minute }
			fleets, work := follow.NewFleets(nil, clock, bootClock, logger), ledger.New(clock)
			targets := make([]topo.Target, n)
			for i := range targets {
				from := i % 4 * 20
				targets[i] = topo.Target{
					ID: fmt.Sprintf("t%04d", i), Address: fmt.Sprintf("10.0.0.1:%d", 1+i), Service: "llm", Card: "A", DataCentre: fmt.Sprintf("dc%d", i/4%3),
					Held: topo.Layers{From: from, To: from + 20}, Slots: 192,
				}
				work.Open(977, 774, []chain.Hop{{Target: targets[i], Layers: targets[i].Held}})
			}
			fleets.ApplySync(topo.Version{Number: 1}, targets, time.Second, "g")
			s := New(Options{
				Clock: clock, Log: logger, Metrics: metrics.NewSet(), Fleets: fleets, Ledger: work,
				Limits:  limit.NewTargetLimiter(clock, limit.Gateway{}, nil),
				Retries: limit.NewRetryLimiter(clock, limit.RetryBounds{Window: time.Second}, func() int { return 1 }),
				LoadLag: func() (int, time.Duration) { return 30, 200 * time.Millisecond }, Settings: Settings{DataCentre: "dc1"},
			})
			q := &request{Server: s, r: httptest.NewRequest("GET", "/", nil), service: topo.Service{Name: "llm", Model: model}}
			st := &stream{request: q, excluded: map[string]bool{}, tokens: 977}
			for b.Loop() {
				if _, err := st.choosePath(true); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

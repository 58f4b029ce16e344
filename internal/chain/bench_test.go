package chain_test

import (
	"fmt"
	"testing"
	"time"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/topo"
)

// BenchmarkChoose measures the choice of a chain among many targets whose ranges
// all differ, which is the worst case of a layout that was changed often.
func BenchmarkChoose(b *testing.B) {
	m := &topo.Model{
		Layers: 80, LayerMegabytes: 1750, TokenMegabytes: 0.011475, Step: 1020 * time.Microsecond,
		StepPerRequest: 7140 * time.Nanosecond, Chunk: 512, ReadPerSecond: 105000, UsualPrompt: 774, UsualAnswer: 203,
		Cards: map[string]topo.Card{"A": {Megabytes: 72000, Pace: 2.4, ReadPace: 3.2}, "C": {Megabytes: 21600, Pace: 16, ReadPace: 8.2}},
	}
	for _, n := range []int{36, 119, 600, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cs := make([]chain.Candidate, n)
			for i := range cs {
				card, layers := "C", 6+i%4
				if i%5 == 0 {
					card, layers = "A", 18+i%9
				}
				from := i * 7 % (80 - layers + 1)
				cs[i] = chain.Candidate{Target: topo.Target{
					ID: fmt.Sprintf("t%04d", i), Address: fmt.Sprintf("10.0.0.1:%d", 1+i), DataCentre: fmt.Sprintf("dc%d", i%5), Card: card,
					Held: topo.Layers{From: from, To: from + layers},
				}}
			}
			for b.Loop() {
				_, _ = chain.Choose(m, cs, chain.Request{Tokens: 977, DataCentre: "dc1", Layers: topo.Layers{To: 80}})
			}
		})
	}
}

package place_test

import (
	"fmt"
	"testing"

	"shallotcourse/internal/place"
	"shallotcourse/internal/topo"
)

// manyTargets returns empty targets of three kinds of cards in some data
// centres.
func manyTargets(n, dataCentres int) []place.Target {
	cards := []string{"A", "B", "B", "C", "C", "C", "C"}
	out := make([]place.Target, n)
	for i := range out {
		out[i] = place.Target{Target: topo.Target{
			ID: fmt.Sprintf("t%04d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Card: cards[i/dataCentres%len(cards)],
		}}
	}
	return out
}

// BenchmarkPlanRound measures a round of a planner that has nothing to do, at
// the size that the users aim at.
func BenchmarkPlanRound(b *testing.B) {
	for _, size := range []struct{ targets, dataCentres int }{{119, 5}, {600, 7}, {3000, 3}} {
		b.Run(fmt.Sprint(size.targets), func(b *testing.B) {
			targets := manyTargets(size.targets, size.dataCentres)
			applyOrders(targets, place.Plan(large, targets, true))
			for b.Loop() {
				place.Plan(large, targets, false)
			}
		})
	}
}

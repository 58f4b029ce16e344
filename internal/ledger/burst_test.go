package ledger_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/timer"
)

// Guards against oscillation of a target between overload and idling. More
// requests than it can take arrive at many gateways, whose load reports reach one
// another late; if each fills the free capacity that it sees, all fill it at the
// same time, and then none sends requests for a while.
func TestEntriesDoNotFillRoomTogether(t *testing.T) {
	const (
		capacity = 300
		lag      = 300 * time.Millisecond
		tick     = 10 * time.Millisecond
		duration = 2 * time.Second
		arrivals = 3.0 // requests per tick at all gateways; the capacity serves 1.5
	)
	for _, gateways := range []int{6, 30, 60} {
		t.Run(strconv.Itoa(gateways), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			clock := timer.NewManual(start)
			ledgers := make([]*ledger.Ledger, gateways)
			for i := range ledgers {
				ledgers[i] = ledger.New(clock)
			}
			ends := map[int][]*ledger.Ticket{}
			var sent [][]map[string]chain.Load
			running, most, sum, ticks := 0, 0, 0, 0
			for n := range 1500 {
				own := make([]map[string]chain.Load, gateways)
				for i, l := range ledgers {
					own[i] = l.OwnLoads()
				}
				sent = append(sent, own)
				for i, l := range ledgers {
					for j := range ledgers {
						if reported := n - int(lag/tick); i != j && reported >= 0 && n%5 == j%5 {
							l.SetPeerLoads(strconv.Itoa(j), sent[reported][j])
						}
					}
				}
				for _, ticket := range ends[n] {
					ticket.Close()
					running--
				}
				for range int(arrivals) {
					l := ledgers[random.IntN(gateways)]
					if l.ExpectedLoads(float64(gateways-1), lag)["a"].Running >= capacity {
						continue
					}
					ticket := l.Open(100, 0, hops(a))
					running++
					end := n + int(float64(duration/tick)*(0.5+random.Float64()))
					ends[end] = append(ends[end], ticket)
				}
				if n > 400 {
					most, sum, ticks = max(most, running), sum+running, ticks+1
				}
				clock.Advance(tick)
			}
			t.Logf("at most %d requests in a capacity of %d, %d on average", most, capacity, sum/ticks)
			is.True(most <= capacity+capacity/10)
			is.True(sum/ticks >= capacity*8/10)
		})
	}
}

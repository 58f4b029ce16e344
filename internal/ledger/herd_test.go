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

// Pattern: more requests than a target can take arrive at many entries, which
// hear of one another's work late. Each fills the room that it sees. Guards
// against all of them filling it at once, and then none for a while: the target
// is overfull by turns and idle by turns.
func TestEntriesDoNotFillRoomTogether(t *testing.T) {
	const (
		room    = 300
		lag     = 300 * time.Millisecond
		tick    = 10 * time.Millisecond
		lasts   = 2 * time.Second
		arrives = 3.0 // requests in a tick at all entries; room serves 1.5
	)
	for _, entries := range []int{6, 30, 60} {
		t.Run(strconv.Itoa(entries), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			clock := timer.NewManual(start)
			ledgers := make([]*ledger.Ledger, entries)
			for i := range ledgers {
				ledgers[i] = ledger.New(clock)
			}
			ends := map[int][]*ledger.Ticket{}
			var told [][]map[string]chain.Load
			running, most, sum, ticks := 0, 0, 0, 0
			for n := range 1500 {
				own := make([]map[string]chain.Load, entries)
				for i, l := range ledgers {
					own[i] = l.Own()
				}
				told = append(told, own)
				for i, l := range ledgers {
					for j := range ledgers {
						if before := n - int(lag/tick); i != j && before >= 0 && n%5 == j%5 {
							l.Hear(strconv.Itoa(j), told[before][j])
						}
					}
				}
				for _, ticket := range ends[n] {
					ticket.Close()
					running--
				}
				for range int(arrives) {
					l := ledgers[random.IntN(entries)]
					if l.Expected(entries-1, lag)["a"].Running >= room {
						continue
					}
					ticket := l.Open(100, 0, hops(a))
					running++
					end := n + int(float64(lasts/tick)*(0.5+random.Float64()))
					ends[end] = append(ends[end], ticket)
				}
				if n > 400 {
					most, sum, ticks = max(most, running), sum+running, ticks+1
				}
				clock.Advance(tick)
			}
			t.Logf("at most %d in room for %d, %d on average", most, room, sum/ticks)
			is.True(most <= room+room/10)
			is.True(sum/ticks >= room*8/10)
		})
	}
}

package agent

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"shallotcourse/internal/link"
	"shallotcourse/internal/wire"
)

// counter is an entry that counts tokens instead of keeping them.
type counter struct {
	*testEntry
	tokens atomic.Int64
	last   int
	wg     sync.WaitGroup
}

// Receive implements link.Handler.
func (c *counter) Receive(p link.Peer, m wire.Message) {
	t, ok := m.(wire.Token)
	if !ok {
		c.testEntry.Receive(p, m)
		return
	}
	c.tokens.Add(1)
	if t.End || t.Position == c.last {
		c.wg.Done()
	}
}

// BenchmarkChain measures a chain of three agents with their stand-in engines,
// which take no time for an iteration. The figure includes the processor time
// of the stand-ins, which share the machine.
func BenchmarkChain(b *testing.B) {
	for _, parallel := range []int{1, 16, 64, 256} {
		b.Run(strconv.Itoa(parallel), func(b *testing.B) { benchmarkChain(b, parallel) })
	}
}

func benchmarkChain(b *testing.B, parallel int) {
	const limit = 100
	w := newWorld(b)
	c := &counter{testEntry: w.entry, last: 40 + limit - 1}
	w.entry.end.handler = c
	many := func(c *Config) { c.Limits.Sessions = Bounds{Initial: 1000, Min: 1000, Max: 1000} }
	chain := []*place{w.stage(0, 2, 0, many), w.stage(2, 5, 0, many), w.stage(5, 6, 0, many)}
	for i := 0; b.Loop(); i++ {
		c.wg.Add(parallel)
		requests := make([]*request, parallel)
		for j := range requests {
			requests[j] = w.request(strconv.Itoa(i)+"-"+strconv.Itoa(j), limit, chain...)
			requests[j].begin()
		}
		c.wg.Wait()
		for _, r := range requests {
			r.finish()
		}
	}
	b.ReportMetric(float64(c.tokens.Load())/b.Elapsed().Seconds(), "tokens/s")
}

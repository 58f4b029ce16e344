package agent

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"shallotcourse/internal/link"
	"shallotcourse/internal/wire"
)

// tokenCounter is an entry that counts tokens instead of recording them.
type tokenCounter struct {
	*testEntry
	tokens atomic.Int64
	// last is the position of the last token of each answer.
	last int
	wg   sync.WaitGroup
}

// Receive implements link.Handler.
func (c *tokenCounter) Receive(p link.Peer, m wire.Message) {
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

// BenchmarkChain measures a chain of three agents with fake engines whose
// iterations take no time. The result includes the CPU time of the fake
// engines, which run on the same machine.
func BenchmarkChain(b *testing.B) {
	for _, parallel := range []int{1, 16, 64, 256} {
		b.Run(strconv.Itoa(parallel), func(b *testing.B) { benchmarkChain(b, parallel) })
	}
}

func benchmarkChain(b *testing.B, parallel int) {
	const maxTokens = 100
	tc := newTestCluster(b)
	c := &tokenCounter{testEntry: tc.entry, last: 40 + maxTokens - 1}
	tc.entry.endpoint.handler = c
	many := func(c *Config) { c.Limits.Sessions = Bounds{Initial: 1000, Min: 1000, Max: 1000} }
	chain := []*testAgent{tc.startStage(0, 2, 0, many), tc.startStage(2, 5, 0, many), tc.startStage(5, 6, 0, many)}
	for i := 0; b.Loop(); i++ {
		c.wg.Add(parallel)
		requests := make([]*testRequest, parallel)
		for j := range requests {
			requests[j] = tc.newRequest(strconv.Itoa(i)+"-"+strconv.Itoa(j), maxTokens, chain...)
			requests[j].startAttempt()
		}
		c.wg.Wait()
		for _, r := range requests {
			r.finish()
		}
	}
	b.ReportMetric(float64(c.tokens.Load())/b.Elapsed().Seconds(), "tokens/s")
}

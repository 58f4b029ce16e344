package ledger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

var (
	start = time.Unix(1000, 0)
	a     = topo.Target{ID: "a", Started: 1}
	b     = topo.Target{ID: "b", Started: 1}
)

func hops(ts ...topo.Target) []chain.Hop {
	var out []chain.Hop
	for i, t := range ts {
		out = append(out, chain.Hop{Target: t, Layers: topo.Layers{From: 10 * i, To: 10*i + 10}})
	}
	return out
}

// Guards against requests that stay counted at a target after they moved away or
// ended.
func TestTickets(t *testing.T) {
	is := is.New(t)
	l := ledger.New(timer.NewManual(start))
	ticket := l.Open(100, 0, hops(a, b))
	is.Equal(l.TotalLoads()["a"], chain.Load{TokenLayers: 1000, Running: 1, First: 1})
	is.Equal(l.TotalLoads()["b"], chain.Load{TokenLayers: 1000, Running: 1})
	ticket.Move(hops(b))
	is.Equal(l.TotalLoads()["a"], chain.Load{})
	is.Equal(l.TotalLoads()["b"], chain.Load{TokenLayers: 1000, Running: 1, First: 1})
	prompt := l.Open(100, 70, hops(a))
	is.Equal(l.TotalLoads()["a"].Unread, 70)
	prompt.PromptRead()
	prompt.PromptRead()
	is.Equal(l.TotalLoads()["a"].Unread, 0)
	prompt.Close()
	ticket.Close()
	ticket.Close()
	is.Equal(len(l.TotalLoads()), 0)
}

// Guards against loads of a gateway that count for ever after it has stopped.
func TestWorkOfOthers(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(start)
	l := ledger.New(clock)
	l.Open(1, 0, hops(a))
	l.SetPeerLoads("e2", map[string]chain.Load{"a": {TokenLayers: 5, Running: 2}})
	is.Equal(l.TotalLoads()["a"].Running, 3)
	l.SetPeerLoads("e2", map[string]chain.Load{"a": {TokenLayers: 5, Running: 1}})
	is.Equal(l.TotalLoads()["a"].Running, 2)
	clock.Advance(10 * time.Second)
	is.Equal(l.TotalLoads()["a"].Running, 1)
	is.Equal(l.OwnLoads()["a"].Running, 1)
}

// Guards against failing targets that are retried at an undiminished rate, and
// against a new incarnation that inherits the suspicion of the old one.
func TestDoubts(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(start)
	l := ledger.New(clock)
	changed := l.Changed()
	is.True(l.RecordFailure(a))
	<-changed
	is.True(!l.RecordFailure(a)) // known already
	is.True(l.Suspected(a))
	is.True(!l.Suspected(b))
	is.True(!l.Suspected(topo.Target{ID: "a", Started: 2}))
	first := l.Suspicions()[0].Left
	clock.Advance(first)
	is.True(!l.Suspected(a))
	is.True(l.RecordFailure(a))
	is.Equal(l.Suspicions()[0].Left, 2*first)
	l.ClearSuspicion(a)
	is.True(!l.Suspected(a))
}

// Guards against a suspicion that two gateways keep renewing by sending it to each
// other.
func TestDoubtsEnd(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(start)
	one, two := ledger.New(clock), ledger.New(clock)
	one.RecordFailure(a)
	rounds := 0
	for ; one.Suspected(a) || two.Suspected(a); rounds++ {
		for _, d := range one.Suspicions() {
			two.AddPeerSuspicion(d)
		}
		for _, d := range two.Suspicions() {
			one.AddPeerSuspicion(d)
		}
		clock.Advance(200 * time.Millisecond)
		is.True(rounds < 50)
	}
	is.True(rounds > 5) // the suspicion reached the other gateway
}

// Guards against unresponsive targets that are used again between two messages of
// the planner, and against messages that stay in force after the planner stops.
func TestDeadTargets(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(start)
	l := ledger.New(clock)
	for range 5 {
		l.SetUnresponsive([]ledger.Suspicion{{ID: "a", Started: 1, Left: time.Second}})
		is.True(l.Suspected(a))
		clock.Advance(900 * time.Millisecond)
		is.True(l.Suspected(a))
	}
	clock.Advance(time.Second)
	is.True(!l.Suspected(a))
}

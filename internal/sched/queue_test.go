package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/sched"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// ranks are the classes of a service with three ranks.
var ranks = map[string][]sched.Class{"s": {
	{Priority: 0, Objective: 500 * time.Millisecond}, {Priority: 1, Objective: 500 * time.Millisecond}, {Priority: 2, Objective: time.Second},
}}

// Guards against a less urgent or later request that takes the room which another one
// waits for, against a wait that needs more room and keeps smaller ones of its rank from
// what is left, and against one that nobody wakes.
func TestTurns(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	s := sched.New(clock)
	s.Configure(1, ranks)
	wait := func(rank int, need float64) *sched.Waiter {
		clock.Advance(10 * time.Millisecond)
		return s.Wait("s", sched.Request{Class: ranks["s"][rank], Need: need}, clock.Now())
	}
	patient, first, small, second := wait(2, 100), wait(0, 100), wait(0, 50), wait(0, 100)
	is.Equal([]bool{patient.Turn(), first.Turn(), small.Turn(), second.Turn()}, []bool{false, true, true, false})
	first.Leave()
	first.Leave()
	is.Equal(len(small.Woken()), 1)
	is.True(!second.Turn())
	small.Leave()
	is.True(second.Turn())
	is.Equal([]int{len(second.Woken()), len(patient.Woken())}, []int{1, 0})
	second.Leave()
	is.True(patient.Turn())
	is.True(s.Wait("other", sched.Request{}, clock.Now()).Turn())
}

// Guards against work that can wait and is passed over without end by new urgent
// requests, and against waits in which nobody has the turn.
func TestEveryWaitEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(time.Unix(1000, 0))
		s := sched.New(clock)
		s.Configure(1, ranks)
		join := func(rank int) *sched.Waiter {
			return s.Wait("s", sched.Request{Class: ranks["s"][rank], Need: float64(rapid.IntRange(1, 3).Draw(t, "need"))}, clock.Now())
		}
		patient := join(2)
		waiting := []*sched.Waiter{patient}
		for step := 0; ; step++ {
			if step > 400 {
				t.Fatal("still waits after 8 s")
			}
			for range rapid.IntRange(0, 2).Draw(t, "urgent") {
				waiting = append(waiting, join(rapid.IntRange(0, 1).Draw(t, "rank")))
			}
			clock.Advance(20 * time.Millisecond)
			started := -1
			for i, w := range waiting {
				if w.Turn() {
					started = i
					break
				}
			}
			if started < 0 {
				t.Fatal("no request has the turn")
			}
			waiting[started].Leave()
			if waiting[started] == patient {
				return
			}
			waiting = append(waiting[:started], waiting[started+1:]...)
		}
	})
}

// Guards against an estimate that ignores those who wait before, and against one before
// any rate is known, by which the first requests after a start would be refused.
func TestEstimate(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	s := sched.New(clock)
	s.Configure(1, ranks)
	urgent, patient := sched.Request{Class: ranks["s"][0]}, sched.Request{Class: ranks["s"][2]}
	for range 4 {
		s.Wait("s", urgent, clock.Now())
	}
	last := s.Wait("s", patient, clock.Now())
	is.Equal(last.Estimate(), time.Duration(0))
	for range 10 {
		s.Started("s", urgent)
	}
	is.Equal(last.Estimate(), 500*time.Millisecond)
	is.Equal(s.LongestObjective("s", 0), time.Second)
	is.Equal([]int{s.Rank("s", 1), s.Rank("s", 7), s.Rank("other", 1)}, []int{1, 2, 0})
}

// BenchmarkDecision measures the decisions for one request at 600 targets while many
// requests wait.
func BenchmarkDecision(b *testing.B) {
	m := &topo.Model{Layers: 80, LayerMegabytes: 1750, TokenMegabytes: 0.011475, Cards: map[string]topo.Card{"A": {Megabytes: 72000}}}
	candidates := make([]chain.Candidate, 600)
	for i := range candidates {
		candidates[i].Card, candidates[i].Held = "A", topo.Layers{From: 0, To: 20}
	}
	for _, n := range []int{10, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			clock := timer.NewManual(time.Unix(1000, 0))
			s := sched.New(clock)
			s.Configure(1, ranks)
			for i := range n {
				s.Wait("s", sched.Request{Class: ranks["s"][i%3], Need: float64(i)}, clock.Now())
			}
			q := sched.Request{Class: ranks["s"][2], Need: 1}
			for b.Loop() {
				s.Arrived("s", q)
				w := s.Wait("s", q, clock.Now())
				_ = w.Turn()
				_ = s.Room("s", q, sched.Fleet{Gateways: 25, Capacity: chain.Capacity(m, candidates)})
				_ = w.Estimate()
				w.Leave()
			}
		})
	}
}

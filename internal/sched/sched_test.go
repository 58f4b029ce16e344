package sched_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/sched"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// Guards against ranks where all requests of a service are equally urgent or where it has
// no model, and against an account's priority that counts on routes that need no key.
func TestClasses(t *testing.T) {
	is := is.New(t)
	one, nine := 1, 12
	route := func(name string, priority int, public bool) topo.Route {
		return topo.Route{Name: name, Host: name, Prefix: "/", Priority: priority, Public: public, Objective: time.Second, Shares: []topo.Share{{Service: name}}}
	}
	model := &topo.Model{}
	config := topo.NewConfig(1, topo.Limits{},
		[]topo.Route{route("open", 1, true), route("same", 1, false), route("keyed", 3, false), route("plain", 3, false)},
		[]topo.Service{{Name: "open", Model: model}, {Name: "same", Model: model}, {Name: "keyed", Model: model}, {Name: "plain"}},
		[]topo.Account{{Name: "a", Priority: &one}, {Name: "b", Priority: &nine}, {Name: "c"}}, map[string][]string{"a": {"ka"}, "c": {"kc"}})
	s := sched.New(timer.NewManual(time.Unix(1000, 0)))
	s.Configure(1, sched.Classes(config))
	is.True(!s.Ranked("open"))
	is.True(!s.Ranked("same")) // account b has no key
	is.True(s.Ranked("keyed"))
	is.True(!s.Ranked("plain"))
	fast := sched.Request{Class: sched.Class{Priority: 0, Objective: time.Second}}
	is.Equal(s.Room("open", fast, sched.Fleet{Gateways: 1}), sched.Base(time.Second))
	is.Equal(sched.Clamp(nine), 9)
}

// Guards against less room for more urgent requests, and against limits outside those
// of services without ranks, whatever the priorities, objectives and loads.
func TestUrgentRequestsHaveNoLessRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(time.Unix(1000, 0))
		s := sched.New(clock)
		classes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) sched.Class {
			return sched.Class{Priority: rapid.IntRange(-1, 11).Draw(t, "priority"), Objective: time.Duration(rapid.IntRange(0, 3).Draw(t, "objective")) * time.Second}
		}), 1, 6).Draw(t, "classes")
		s.Configure(1, map[string][]sched.Class{"s": classes})
		fleet := sched.Fleet{Gateways: rapid.IntRange(1, 30).Draw(t, "gateways"), Capacity: float64(rapid.IntRange(0, 1000000).Draw(t, "capacity"))}
		for range rapid.IntRange(0, 200).Draw(t, "requests") {
			q := sched.Request{Class: rapid.SampledFrom(classes).Draw(t, "class"), Need: float64(rapid.IntRange(0, 2000).Draw(t, "need"))}
			s.Arrived("s", q)
			if rapid.Bool().Draw(t, "started") {
				s.Started("s", q)
			}
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		}
		for _, a := range classes {
			urgent := s.Room("s", sched.Request{Class: a}, fleet)
			if urgent.MaxFill > chain.MaxFill || urgent.MaxFill < 0.5*chain.MaxFill {
				t.Fatalf("fill %v", urgent.MaxFill)
			}
			for _, b := range classes {
				if sched.Clamp(a.Priority) >= sched.Clamp(b.Priority) {
					continue
				}
				other := s.Room("s", sched.Request{Class: b}, fleet)
				// Requests without an objective have no bound on prompts and give none.
				if other.MaxFill > urgent.MaxFill || a.Objective > 0 && (other.MaxPromptWait == 0 || other.MaxPromptWait > urgent.MaxPromptWait) {
					t.Fatalf("%+v has %+v, %+v has %+v", a, urgent, b, other)
				}
			}
		}
	})
}

// Guards against a longer queue of prompts for a less urgent rank than for the one before
// it, where the first has a shorter objective than both (seed 10341967580573611096).
func TestShortObjectiveBoundsAllLaterRanks(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	s := sched.New(clock)
	classes := []sched.Class{{Priority: 0, Objective: 2 * time.Second}, {Priority: 1, Objective: 3 * time.Second}, {Priority: 2, Objective: 3 * time.Second}}
	s.Configure(1, map[string][]sched.Class{"s": classes})
	for range 20 {
		s.Arrived("s", sched.Request{Class: classes[0], Need: 100})
		s.Arrived("s", sched.Request{Class: classes[1], Need: 20})
		clock.Advance(100 * time.Millisecond)
	}
	// 0.30 of the room is kept from the second rank, and 0.36 from the third.
	fleet := sched.Fleet{Gateways: 1, Capacity: 1207}
	second, third := s.Room("s", sched.Request{Class: classes[1]}, fleet), s.Room("s", sched.Request{Class: classes[2]}, fleet)
	is.True(second.MaxFill < chain.MaxFill)
	is.True(third.MaxPromptWait <= second.MaxPromptWait)
}

package follow_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"shallotcourse/internal/follow"
	"shallotcourse/internal/topo"
)

// Guards against a target that has left or drains and is ready again, because a
// response of the store arrives after another gateway has sent a newer list.
func TestTargetListNeverGoesBack(t *testing.T) {
	ready := topo.Target{ID: "t", Service: "s", Address: "t:1"}
	born := ready
	born.Started = 1
	bornAgain := born
	bornAgain.Started = 2
	draining := func(t topo.Target) topo.Target {
		t.State = topo.Draining
		return t
	}
	for _, c := range []struct {
		name string
		// before is the target at version 2, and after at version 3.
		before topo.Target
		after  []topo.Target
		// late is read at version 2 and arrives after version 3.
		late follow.TargetPage
	}{
		{"removed, complete list", born, nil, follow.TargetPage{Complete: true, Targets: []topo.Target{born}}},
		{"removed, changes", born, nil, follow.TargetPage{Targets: []topo.Target{born}}},
		{"drains, no start time", ready, []topo.Target{draining(ready)}, follow.TargetPage{Targets: []topo.Target{ready}}},
		{"drains", born, []topo.Target{draining(born)}, follow.TargetPage{Targets: []topo.Target{born}}},
		{"starts again", draining(born), []topo.Target{bornAgain}, follow.TargetPage{Gone: []string{"t"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Minute
			s := &source{}
			f := follow.NewFleets(s, fast{}, func() time.Duration { return now }, log.NewNopLogger())
			f.ApplySync(topo.Version{Number: 2}, []topo.Target{c.before}, now, "g2")
			want := topo.NewFleet(topo.Version{Number: 3}, c.after)
			ctx, cancel := context.WithCancel(t.Context())
			s.cancel = cancel
			s.steps = []func() (follow.ConfigPage, follow.TargetPage, error){func() (follow.ConfigPage, follow.TargetPage, error) {
				now += time.Second
				f.ApplySync(want.Version, c.after, now, "g2")
				now += 400 * time.Millisecond
				c.late.Version = topo.Version{Number: 2}
				return follow.ConfigPage{}, c.late, nil
			}}
			f.Run(ctx)
			is.Equal(f.Section().Value().All(), want.All())
			is.Equal(f.Section().Value().Version, want.Version)
			is.Equal(f.Age(), 400*time.Millisecond) // that of version 3
		})
	}
}

// Guards against a complete list of another gateway that is older than the one read
// from the store, although the other gateway has called the store later.
func TestOlderListOfAnotherGateway(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	s := &source{}
	f := follow.NewFleets(s, fast{}, func() time.Duration { return now }, log.NewNopLogger())
	ctx, cancel := context.WithCancel(t.Context())
	s.cancel = cancel
	s.steps = []func() (follow.ConfigPage, follow.TargetPage, error){func() (follow.ConfigPage, follow.TargetPage, error) {
		// A long poll that ends with a change, after the other gateway's call.
		now += 2 * time.Second
		return follow.ConfigPage{}, follow.TargetPage{Complete: true, Version: topo.Version{Number: 3}}, nil
	}}
	f.Run(ctx)
	f.ApplySync(topo.Version{Number: 2}, []topo.Target{{ID: "t", Service: "s"}}, now-time.Second, "g2")
	is.Equal(f.Section().Value().Len(), 0)
	is.Equal(f.Section().Value().Version, topo.Version{Number: 3})
	is.Equal(f.Age(), time.Second) // version 3 was the newest after version 2 was read
}

// Guards against layers that a target no longer holds, because a report of the planner
// arrives after a newer one that another gateway or a request has obtained.
func TestReportsNeverGoBack(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	f := follow.NewFleets(&source{}, fast{}, func() time.Duration { return now }, log.NewNopLogger())
	listed := topo.Target{ID: "t", Started: 1, Service: "s", Address: "t:1"}
	f.ApplySync(topo.Version{Number: 1}, []topo.Target{listed}, now, "g2")
	older, newer := listed.WithHeld(topo.Layers{From: 0, To: 8}), listed.WithHeld(topo.Layers{From: 0, To: 4})
	older.Sequence, newer.Sequence = 1, 2
	held := func() topo.Layers {
		target, _ := f.Section().Value().Target("t")
		return target.Held
	}
	f.Overlay(newer)
	f.Overlay(older)
	is.Equal(held(), newer.Held)
	restarted := older
	restarted.Started, restarted.Sequence = 2, 0
	f.Overlay(restarted) // counts anew
	is.Equal(held(), older.Held)
	now += 5 * time.Second
	f.Overlay(older) // the newer one has expired
	f.Overlay(newer)
	is.Equal(held(), newer.Held)
}

package follow_test

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// source is a Source that runs queued steps; an empty queue ends Run.
type source struct {
	follow.Source
	mu     sync.Mutex
	steps  []func() (follow.ConfigPage, follow.TargetPage, error)
	cancel context.CancelFunc
	afters []topo.Version
}

func (s *source) next(after topo.Version) (follow.ConfigPage, follow.TargetPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afters = append(s.afters, after)
	if len(s.steps) == 0 {
		s.cancel()
		return follow.ConfigPage{}, follow.TargetPage{}, fault.New(fault.Unavailable, "the test is over")
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step()
}

func (s *source) Config(_ context.Context, after topo.Version, _ time.Duration) (follow.ConfigPage, error) {
	page, _, err := s.next(after)
	return page, err
}

func (s *source) Targets(_ context.Context, after topo.Version, _ time.Duration) (follow.TargetPage, error) {
	_, page, err := s.next(after)
	return page, err
}

func (*source) Era() uint64 { return 0 }

func (*source) Decode(raw []byte) (topo.Config, error) {
	var version uint64
	if err := json.Unmarshal(raw, &version); err != nil {
		return topo.Config{}, fault.New(fault.Malformed, "not a version").WithCause(err)
	}
	return topo.NewConfig(version, topo.Limits{}, nil, nil, nil, nil), nil
}

// fast is a timer service whose timers fire at once.
type fast struct{ timer.System }

func (fast) After(_ time.Duration, f func()) func() {
	go f()
	return func() {}
}

// Guards against a configuration version that decreases within a process, also
// through sync responses, and against a confirmation by a response that is
// older or malformed.
func TestConfigNeverGoesBack(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	s := &source{}
	c := follow.NewConfigs(s, fast{}, func() time.Duration { return now }, log.NewNopLogger())
	is.True(c.Age() > time.Minute) // nothing is known
	page := func(raw string, took time.Duration, version uint64) func() (follow.ConfigPage, follow.TargetPage, error) {
		return func() (follow.ConfigPage, follow.TargetPage, error) {
			now += took
			var b []byte
			if raw != "" {
				b = []byte(raw)
			}
			return follow.ConfigPage{Raw: b, Version: topo.Version{Number: version}}, follow.TargetPage{}, nil
		}
	}
	failed := func(code fault.Code, took time.Duration) func() (follow.ConfigPage, follow.TargetPage, error) {
		return func() (follow.ConfigPage, follow.TargetPage, error) {
			now += took
			return follow.ConfigPage{}, follow.TargetPage{}, fault.New(code, "failed")
		}
	}
	run := func(steps ...func() (follow.ConfigPage, follow.TargetPage, error)) {
		ctx, cancel := context.WithCancel(context.Background())
		s.mu.Lock()
		s.steps, s.cancel = steps, cancel
		s.mu.Unlock()
		c.Run(ctx)
	}
	run(page("5", time.Second, 10), page("", 2*time.Second, 12))
	is.Equal(c.Section().Value().Version, uint64(5))
	is.Equal(c.Age(), 2*time.Second) // counts from before the last request

	run(page("4", 0, 20), page("{", 0, 21), failed(fault.Unavailable, 3*time.Second))
	is.Equal(c.Section().Value().Version, uint64(5))
	is.Equal(c.Age(), 5*time.Second) // neither an older nor a malformed one confirms anything

	c.ApplySync(4, nil, now, "e2") // of an older version
	is.Equal(c.Age(), 5*time.Second)
	c.ApplySync(5, nil, now-time.Second, "e2")
	is.Equal(c.Age(), time.Second)
	c.ApplySync(9, []byte("9"), now-2*time.Second, "e2")
	is.Equal(c.Section().Value().Version, uint64(9))
	c.ApplySync(5, []byte("5"), now, "e3")
	is.Equal(c.Section().Value().Version, uint64(9))

	s.afters = nil
	run(page("9", 0, 30), failed(fault.HistoryLost, 0), page("11", 0, 40))
	is.Equal(s.afters[2], topo.Version{}) // starts again from 0
	is.Equal(c.Section().Value().Version, uint64(11))
}

// Guards against removing targets whose heartbeats lapsed while the store was
// down, and against keeping targets that do not come back.
func TestTargetsAroundAnOutage(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	s := &source{}
	f := follow.NewFleets(s, fast{}, func() time.Duration { return now }, log.NewNopLogger())
	target := func(id string) topo.Target { return topo.Target{ID: id, Started: 1, Service: "s", Address: "a:1"} }
	step := func(took time.Duration, page follow.TargetPage) func() (follow.ConfigPage, follow.TargetPage, error) {
		return func() (follow.ConfigPage, follow.TargetPage, error) {
			now += took
			return follow.ConfigPage{}, page, nil
		}
	}
	run := func(steps ...func() (follow.ConfigPage, follow.TargetPage, error)) int {
		ctx, cancel := context.WithCancel(context.Background())
		s.mu.Lock()
		s.steps, s.cancel = steps, cancel
		s.mu.Unlock()
		f.Run(ctx)
		return f.Section().Value().Len()
	}
	is.Equal(run(step(0, follow.TargetPage{Complete: true, Targets: []topo.Target{target("a"), target("b"), target("c")}, Version: topo.Version{Number: 1}})), 3)
	is.Equal(run(step(time.Second, follow.TargetPage{Gone: []string{"c"}, Version: topo.Version{Number: 2}})), 2) // removed at once without an outage
	now += 20 * time.Second
	is.Equal(run(step(0, follow.TargetPage{Gone: []string{"a", "b"}, Version: topo.Version{Number: 3}})), 2) // lapsed
	is.Equal(run(step(time.Second, follow.TargetPage{Targets: []topo.Target{target("a")}, Version: topo.Version{Number: 4}})), 2)
	now += 2 * time.Second
	is.Equal(run(step(0, follow.TargetPage{Version: topo.Version{Number: 5}})), 1) // b did not come back
	_, ok := f.Section().Value().Target("a")
	is.True(ok)
}

// Guards against using the layers of a list entry that lags behind the target's
// own report, and against a report of an earlier incarnation.
func TestOverlays(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	f := follow.NewFleets(&source{}, fast{}, func() time.Duration { return now }, log.NewNopLogger())
	listed := topo.Target{ID: "a", Started: 1, Service: "s", Address: "a:1"}
	f.ApplySync(topo.Version{Number: 1}, []topo.Target{listed}, now, "e2")
	reported := listed.WithHeld(topo.Layers{From: 0, To: 5})
	f.Overlay(reported)
	got, _ := f.Section().Value().Target("a")
	is.Equal(got.Held, reported.Held)
	relisted := listed
	relisted.Started = 2
	now += time.Second
	f.ApplySync(topo.Version{Number: 2}, []topo.Target{relisted}, now, "e2")
	got, _ = f.Section().Value().Target("a")
	is.Equal(got.Held.Len(), 0)
	restarted := relisted
	restarted.Started = 3
	f.Overlay(restarted.WithHeld(topo.Layers{}))
	got, _ = f.Section().Value().Target("a")
	is.Equal(got.Started, int64(3)) // the list does not show the restart yet
	f.Overlay(relisted)
	f.ApplySync(topo.Version{Number: 1}, nil, now-time.Second, "e3") // an older list
	is.Equal(f.Section().Value().Len(), 1)
}

// Guards against a list that is built anew for each report of the planner: after
// a first placement it sends the reports of all targets five times a second, and
// with a thousand targets each gateway spent most of its processor on that.
func TestReportsOfManyTargets(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	f := follow.NewFleets(&source{}, fast{}, func() time.Duration { return now }, log.NewNopLogger())
	targets := make([]topo.Target, 1000)
	for i := range targets {
		targets[i] = topo.Target{ID: strconv.Itoa(i), Started: 1, Service: "s"}
	}
	f.ApplySync(topo.Version{Number: 1}, targets, now, "e2")
	for i := range targets {
		targets[i] = targets[i].WithHeld(topo.Layers{From: 0, To: 5})
	}
	_, before := f.Section().Get()
	for range 10 {
		now += 200 * time.Millisecond
		f.Overlay(targets...)
	}
	fleet, after := f.Section().Get()
	is.Equal(after-before, uint64(1)) // one change
	got, _ := fleet.Target("7")
	is.Equal(got.Held.Len(), 5)
}

// Guards against changes between two versions that are of different eras of the
// store, and against a list of an earlier era that replaces one of a later era.
func TestListsOfTwoEras(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	f := follow.NewFleets(&source{}, fast{}, func() time.Duration { return now }, log.NewNopLogger())
	targets := func(ids ...string) []topo.Target {
		var out []topo.Target
		for _, id := range ids {
			out = append(out, topo.Target{ID: id, Started: 1, Service: "s", Address: "a:1", State: topo.Draining})
		}
		return out
	}
	f.ApplySync(topo.Version{Era: 1, Number: 84}, targets("a", "b"), now, "e2")
	now += time.Second
	f.ApplySyncChanges(topo.Version{Era: 2, Number: 90}, targets("c"), nil, now, "e2")
	is.Equal(f.Section().Value().Len(), 2) // no changes across eras
	f.ApplySync(topo.Version{Era: 2, Number: 81}, targets("a", "c"), now, "e2")
	is.Equal(f.Section().Value().Version, topo.Version{Era: 2, Number: 81})
	is.Equal(f.Section().Value().Len(), 2)
	now += time.Second
	f.ApplySync(topo.Version{Era: 1, Number: 99}, targets("a", "b"), now, "e3")
	f.ApplySyncChanges(topo.Version{Era: 1, Number: 99}, targets("d"), nil, now, "e3")
	is.Equal(f.Section().Value().Version, topo.Version{Era: 2, Number: 81})

	_, all, removed, changes := f.ChangesSince(topo.Version{Era: 1, Number: 84})
	is.True(!changes)
	is.Equal(len(all)+len(removed), 2)
	f.ApplySyncChanges(topo.Version{Era: 2, Number: 82}, targets("d"), []string{"c"}, now, "e2")
	version, some, removed, changes := f.ChangesSince(topo.Version{Era: 2, Number: 81})
	is.True(changes)
	is.Equal(version, topo.Version{Era: 2, Number: 82})
	is.Equal(some, targets("d"))
	is.Equal(removed, []string{"c"})
	is.Equal(f.LastChange(), topo.Version{Era: 2, Number: 82})
}

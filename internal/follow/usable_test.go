package follow_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"shallotcourse/internal/bounds"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// never is the latency of a store that does not answer.
const never = time.Hour

// slowSource is a store with a latency, whose list does not change.
type slowSource struct {
	follow.Source
	mu      sync.Mutex
	latency time.Duration
	refuses bool
	calls   int
}

// Targets implements follow.Source. Like the client of the store it gives a call up
// after some time.
func (s *slowSource) Targets(ctx context.Context, after topo.Version, wait time.Duration) (follow.TargetPage, error) {
	const timeout = 700 * time.Millisecond
	s.mu.Lock()
	s.calls++
	latency, refuses := s.latency, s.refuses
	s.mu.Unlock()
	if after.IsZero() {
		wait = 0
	}
	failure := fault.New(fault.Unavailable, "no answer")
	if refuses {
		return follow.TargetPage{}, failure
	}
	ctx, cancel := timer.WithTimeout(ctx, timer.System{}, wait+timeout)
	defer cancel()
	if timer.Sleep(ctx, timer.System{}, wait+latency) != nil {
		return follow.TargetPage{}, failure
	}
	return follow.TargetPage{Complete: after.IsZero(), Version: topo.Version{Number: 1}}, nil
}

// Era implements follow.Source.
func (*slowSource) Era() uint64 { return 0 }

func (s *slowSource) set(latency time.Duration, refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency, s.refuses = latency, refuses
}

// Guards against requests that are sent by an old list while a newer one may come
// (DRAIN), and against ones that are withheld although nothing newer is to be had or
// although all is well.
func TestListIsUsable(t *testing.T) {
	const moment = 20 * time.Millisecond
	roles := map[string]follow.Role{"alone": follow.Standalone, "leader": follow.Leader, "follower": follow.Follower}
	for _, c := range []struct {
		name    string
		latency time.Duration
		refuses bool
		// frozen is the time for which the process is frozen at first.
		frozen time.Duration
		// withheld is how long no request may be sent at most, in ten seconds, and
		// old how long requests may be sent by a list older than MaxAge.
		withheld, old time.Duration
	}{
		{"calm", 4 * time.Millisecond, false, 0, 0, 0},
		{"late, but in time", 150 * time.Millisecond, false, 0, 0, 0},
		{"slow", 500 * time.Millisecond, false, 0, 300 * time.Millisecond, time.Second},
		{"refuses", 0, true, 0, 300 * time.Millisecond, never},
		{"silent", never, false, 0, 300 * time.Millisecond, never},
		{"frozen", 4 * time.Millisecond, false, 10 * time.Second, 600 * time.Millisecond, 0},
	} {
		for name, role := range roles {
			t.Run(c.name+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					start, frozen := time.Now(), atomic.Int64{}
					now := func() time.Duration { return time.Minute + time.Since(start) + time.Duration(frozen.Load()) }
					s := &slowSource{latency: 4 * time.Millisecond}
					f := follow.NewFleets(s, timer.System{}, now, log.NewNopLogger())
					times := bounds.Derive(bounds.Bounds{Drain: 3 * time.Second, ConfigApply: 3 * time.Second, KeyLife: 5 * time.Second})
					f.SetTimes(times.Targets)
					f.SetRole(func() follow.Role { return role })
					ctx, cancel := context.WithCancel(t.Context())
					var wg sync.WaitGroup
					wg.Go(func() { f.Run(ctx) })
					time.Sleep(5 * time.Second)
					s.set(c.latency, c.refuses)
					frozen.Store(int64(c.frozen))
					withheld, old := time.Duration(0), time.Duration(0)
					for range 10 * time.Second / moment {
						switch {
						case !f.Usable():
							withheld += moment
						case f.Age() > times.Targets.MaxAge:
							old += moment
						}
						time.Sleep(moment)
					}
					if withheld > c.withheld || old > c.old {
						t.Errorf("withheld for %s, want %s; sent by an old list for %s, want %s", withheld, c.withheld, old, c.old)
					}
					s.set(4*time.Millisecond, false)
					time.Sleep(4 * time.Second)
					is.True(f.Usable() && f.Age() <= times.Targets.MaxAge) // the store is back
					cancel()
					wg.Wait()
				})
			})
		}
	}
}

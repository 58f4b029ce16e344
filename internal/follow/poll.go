package follow

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/bounds"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// neverReadAge is reported as the age of data that has never been read. It
	// exceeds the age up to which a follower relies on its data.
	neverReadAge = time.Hour
	// followerRetryFactor lengthens the pause after the second and each further
	// failed call of a follower. Its leader calls more often, and retries of many
	// followers would overload a store that is recovering.
	followerRetryFactor = 5
	// minRetryPause and maxRetryPause bound the random pause after a failed
	// call.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
)

const (
	// Standalone reads the store for this process only.
	Standalone Role = iota
	// Follower receives updates from a leader, and reads the store only if they
	// stop.
	Follower
	// Leader reads the store and sends updates to followers.
	Leader
)

type (
	// Role is the role of a process in reading the store.
	Role int

	// feed is the part of Configs and Fleets that polls the store.
	feed struct {
		source    Source
		clock     timer.Service
		bootClock BootClock
		log       log.Logger
		role      func() Role
		times     bounds.Feed
		// failing is true from a failed call to the next one that succeeds, or at a
		// follower until its leader keeps it up to date again. onFailure is called when
		// it becomes true.
		failing   atomic.Bool
		onFailure func()
	}

	// pollOptions are the parameters of one poll loop.
	pollOptions struct {
		// name is the prefix of the loop's log events.
		name string
		age  func() time.Duration
	}
)

func newFeed(source Source, clock timer.Service, bootClock BootClock, logger log.Logger, times bounds.Feed) feed {
	return feed{source: source, clock: clock, bootClock: bootClock, log: logger, role: func() Role { return Standalone }, times: times, onFailure: func() {}}
}

// SetTimes sets the times that follow from the bounds of the deployment. It must be
// called before Run.
func (f *feed) SetTimes(times bounds.Feed) { f.times = times }

// SetRole sets the function that returns the role of this process. It must be
// called before Run.
func (f *feed) SetRole(role func() Role) { f.role = role }

// SetOnFailure sets the function that is called when a call to the store has failed
// after one that succeeded. It must be called before Run.
func (f *feed) SetOnFailure(onFailure func()) { f.onFailure = onFailure }

// Failing reports whether the last call to the store has failed.
func (f *feed) Failing() bool { return f.failing.Load() }

// ageOf returns the time since a reading of the boot clock; 0 means never.
func (f *feed) ageOf(at time.Duration) time.Duration {
	if at == 0 {
		return neverReadAge
	}
	return f.bootClock() - at
}

// poll calls the store until ctx ends. The function call receives the version
// to continue from and the time that the store may delay its response; it
// returns the next version and the pause before the next call. The loop starts
// again from the zero version when the store no longer has the history, or when it
// has come back from an older copy.
func (f *feed) poll(ctx context.Context, p pollOptions, call func(after topo.Version, wait time.Duration) (topo.Version, time.Duration, error)) {
	after := topo.Version{}
	for ctx.Err() == nil {
		if f.role() == Follower && p.age() < f.times.FollowerMaxAge {
			f.failing.Store(false)
			_ = timer.Sleep(ctx, f.clock, bounds.FollowerPollInterval)
			continue
		}
		wait := f.times.LongPoll
		if f.role() == Leader {
			wait = f.times.LeaderLongPoll
		}
		version, pause, err := call(after, wait)
		switch {
		case fault.Is(err, fault.HistoryLost):
			_ = level.Info(f.log).Log("event", p.name+"HistoryLost", "feed", after.Number, "era", f.source.Era())
			after, pause = topo.Version{}, minRetryPause
		case err != nil:
			first := !f.failing.Swap(true) && ctx.Err() == nil
			if first {
				_ = level.Warn(f.log).Log("event", p.name+"SourceLost", "age", p.age(), "feed", after.Number, "era", f.source.Era(), "err", err)
			}
			pause = minRetryPause + rand.N(maxRetryPause-minRetryPause)
			if f.role() == Follower && !first {
				pause *= followerRetryFactor
			}
			if first {
				f.onFailure()
			}
		default:
			if f.failing.Swap(false) {
				_ = level.Info(f.log).Log("event", p.name+"SourceBack", "feed", version.Number, "era", version.Era)
			}
			if version.Compare(after) > 0 {
				after = version
			}
		}
		if pause > 0 {
			_ = timer.Sleep(ctx, f.clock, pause)
		}
	}
}

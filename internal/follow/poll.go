package follow

import (
	"context"
	"math/rand/v2"
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
	}

	// pollOptions are the parameters of one poll loop.
	pollOptions struct {
		// name is the prefix of the loop's log events.
		name string
		age  func() time.Duration
	}
)

func newFeed(source Source, clock timer.Service, bootClock BootClock, logger log.Logger, times bounds.Feed) feed {
	return feed{source: source, clock: clock, bootClock: bootClock, log: logger, role: func() Role { return Standalone }, times: times}
}

// SetTimes sets the times that follow from the bounds of the deployment. It must be
// called before Run.
func (f *feed) SetTimes(times bounds.Feed) { f.times = times }

// SetRole sets the function that returns the role of this process. It must be
// called before Run.
func (f *feed) SetRole(role func() Role) { f.role = role }

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
	failing := false
	for ctx.Err() == nil {
		if f.role() == Follower && p.age() < f.times.FollowerMaxAge {
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
			if !failing && ctx.Err() == nil {
				_ = level.Warn(f.log).Log("event", p.name+"SourceLost", "age", p.age(), "feed", after.Number, "era", f.source.Era(), "err", err)
			}
			pause = minRetryPause + rand.N(maxRetryPause-minRetryPause)
			if f.role() == Follower && failing {
				pause *= followerRetryFactor
			}
			failing = true
		default:
			if failing {
				_ = level.Info(f.log).Log("event", p.name+"SourceBack", "feed", version.Number, "era", version.Era)
			}
			failing = false
			if version.Compare(after) > 0 {
				after = version
			}
		}
		if pause > 0 {
			_ = timer.Sleep(ctx, f.clock, pause)
		}
	}
}

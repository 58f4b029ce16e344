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
	// refreshTime is how long data that is too old is not used while the store, or
	// other gateways that were asked, may still send newer data.
	refreshTime = 250 * time.Millisecond
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
		// failingSince is the boot clock's time of the first failed call after one that
		// succeeded, or 0 if the last one did. At a follower it is 0 too while its
		// leader keeps it up to date. onFailure is called when it is set.
		failingSince atomic.Int64
		onFailure    func()
		// slow is true from a call that took longer than times.CallTime to one that did
		// not. urgent is true after a call that the store was not to delay. Only poll
		// uses them.
		slow, urgent bool
	}

	// pollCall is a call to the store; see poll.
	pollCall func(ctx context.Context, after topo.Version, wait time.Duration) (topo.Version, time.Duration, error)

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
func (f *feed) Failing() bool { return f.failingSince.Load() != 0 }

// usable reports whether requests may be sent by data of an age: while it is young
// enough, or if nothing newer is to be had, as calls to the store fail and the other
// gateways, which were asked at the first failure, have sent nothing newer.
func (f *feed) usable(age time.Duration) bool {
	if age <= f.times.MaxAge {
		return true
	}
	since := time.Duration(f.failingSince.Load())
	return since > 0 && f.bootClock()-since > refreshTime && age > f.times.MaxAge+refreshTime && age < neverReadAge
}

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
func (f *feed) poll(ctx context.Context, p pollOptions, call pollCall) {
	after := topo.Version{}
	for ctx.Err() == nil {
		if f.role() == Follower && p.age() < f.followerAge() {
			f.failingSince.Store(0)
			f.urgent = false
			_ = timer.Sleep(ctx, f.clock, bounds.FollowerPollInterval)
			continue
		}
		wait := f.waitTime(p.age())
		asked := f.bootClock()
		version, pause, err := f.callInTime(ctx, after, wait, call)
		f.slow = f.bootClock()-asked >= wait+f.times.CallTime
		switch {
		case fault.Is(err, fault.HistoryLost):
			_ = level.Info(f.log).Log("event", p.name+"HistoryLost", "feed", after.Number, "era", f.source.Era())
			after, pause = topo.Version{}, minRetryPause
		case err != nil:
			first := ctx.Err() == nil && f.failingSince.CompareAndSwap(0, int64(f.bootClock()))
			f.urgent = false
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
			if f.failingSince.Swap(0) != 0 {
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

// followerAge returns the age from which a follower calls the store. It is lower while
// the store is slow, so that the data does not get too old during the call.
func (f *feed) followerAge() time.Duration {
	if f.slow {
		return f.times.FollowerMaxAge / 2
	}
	return f.times.FollowerMaxAge
}

// waitTime returns the time that the store may delay its response. Data that is too old,
// or whose store is slow or may be back, is asked for without a delay, but not twice in a
// row if the first response has not helped.
func (f *feed) waitTime(age time.Duration) time.Duration {
	role := f.role()
	if f.slow {
		return 0
	}
	f.urgent = !f.urgent && (role == Follower || f.Failing() || age > f.times.MaxAge)
	switch {
	case f.urgent:
		return 0
	case role == Leader:
		return f.times.LeaderLongPoll
	}
	return f.times.LongPoll
}

// callInTime calls the store, and gives a call up after times.CallTime beside its wait.
// A store that is slow gets the time that the source allows.
func (f *feed) callInTime(ctx context.Context, after topo.Version, wait time.Duration, call pollCall) (topo.Version, time.Duration, error) {
	if f.slow || after.IsZero() {
		return call(ctx, after, wait)
	}
	ctx, cancel := timer.WithTimeout(ctx, f.clock, wait+f.times.CallTime)
	defer cancel()
	return call(ctx, after, wait)
}

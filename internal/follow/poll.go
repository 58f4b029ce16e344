package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

const (
	// never is the age of what was not read yet.
	never = time.Hour
	// toldPause is the pause between two looks at what others have told.
	toldPause = 100 * time.Millisecond
	// toldRetry lengthens the pause after a failed call of a process that is told:
	// the one that tells it calls more often, and many together would keep a
	// store busy that returns.
	toldRetry = 5
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

const (
	// Alone reads for itself.
	Alone Part = iota
	// Told is kept up to date by another process, and reads only if that fails.
	Told
	// Reads reads for others too, which hear of it later.
	Reads
)

type (
	// Part is the part of a process in reading the store.
	Part int

	// feed is what the followers of the store share.
	feed struct {
		source Source
		clock  timer.Service
		steady Clock
		log    log.Logger
		part   func() Part
	}

	// waits is how long the store may hold an answer back, by the part of the
	// process.
	waits struct{ alone, reads time.Duration }

	// poller is one feed of the store.
	poller struct {
		// name is what is followed, in log lines.
		name string
		age  func() time.Duration
		// told is the age up to which a process that others tell leaves the
		// store alone.
		told  time.Duration
		waits waits
	}
)

func newFeed(source Source, clock timer.Service, steady Clock, logger log.Logger) feed {
	return feed{source: source, clock: clock, steady: steady, log: logger, part: func() Part { return Alone }}
}

// PartBy sets what returns the part of this process in reading the store. It is
// called before Run.
func (f *feed) PartBy(part func() Part) { f.part = part }

// since is the time since a moment on the steady clock; 0 is no moment.
func (f *feed) since(at time.Duration) time.Duration {
	if at == 0 {
		return never
	}
	return f.steady() - at
}

// poll calls the store until the context ends. A call goes on after a version,
// lets the store hold its answer back, and returns the next version and the
// pause after it; it starts anew when the store no longer has the history.
func (f *feed) poll(ctx context.Context, p poller, call func(after uint64, wait time.Duration) (uint64, time.Duration, error)) {
	after := uint64(0)
	failing := false
	for ctx.Err() == nil {
		if f.part() == Told && p.age() < p.told {
			_ = timer.Sleep(ctx, f.clock, toldPause)
			continue
		}
		wait := p.waits.alone
		if f.part() == Reads {
			wait = p.waits.reads
		}
		version, pause, err := call(after, wait)
		switch {
		case fault.Is(err, fault.HistoryLost):
			_ = level.Info(f.log).Log("event", p.name+"HistoryLost", "feed", after)
			after, pause = 0, retryLeast
		case err != nil:
			if !failing && ctx.Err() == nil {
				_ = level.Warn(f.log).Log("event", p.name+"SourceLost", "age", p.age(), "feed", after, "err", err)
			}
			failing, pause = true, retryLeast+rand.N(retryMost-retryLeast)
			if f.part() == Told {
				pause *= toldRetry
			}
		default:
			if failing {
				_ = level.Info(f.log).Log("event", p.name+"SourceBack", "feed", version)
			}
			failing = false
			after = max(after, version)
		}
		if pause > 0 {
			_ = timer.Sleep(ctx, f.clock, pause)
		}
	}
}

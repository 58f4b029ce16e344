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

// Part is the part of a process in reading the store.
type Part int

const (
	// Alone reads for itself.
	Alone Part = iota
	// Told is kept up to date by another process, and reads only if that fails.
	Told
	// Reads reads for others too, which hear of it later.
	Reads
)

func alone() Part { return Alone }

// poller is what the followers of the store share.
type poller struct {
	clock timer.Service
	log   log.Logger
	// source names what is followed in log lines.
	source string
	age    func() time.Duration
	// part is the part of this process in reading the store; one that others
	// tell leaves it alone up to the age toldLife.
	part     func() Part
	toldLife time.Duration
}

// poll calls the store until the context ends. A call goes on after a version
// and returns the next one and the pause after it; it starts anew when the
// store no longer has the history.
func poll(ctx context.Context, p poller, call func(after uint64) (uint64, time.Duration, error)) {
	after := uint64(0)
	failing := false
	for ctx.Err() == nil {
		if p.part() == Told && p.age() < p.toldLife {
			_ = timer.Sleep(ctx, p.clock, toldPause)
			continue
		}
		version, pause, err := call(after)
		switch {
		case fault.Is(err, fault.HistoryLost):
			_ = level.Info(p.log).Log("event", p.source+"HistoryLost", "feed", after)
			after, pause = 0, retryLeast
		case err != nil:
			if !failing && ctx.Err() == nil {
				_ = level.Warn(p.log).Log("event", p.source+"SourceLost", "age", p.age(), "feed", after, "err", err)
			}
			failing, pause = true, retryLeast+rand.N(retryMost-retryLeast)
			if p.part() == Told {
				pause *= toldRetry
			}
		default:
			if failing {
				_ = level.Info(p.log).Log("event", p.source+"SourceBack", "feed", version)
			}
			failing = false
			after = max(after, version)
		}
		if pause > 0 {
			_ = timer.Sleep(ctx, p.clock, pause)
		}
	}
}

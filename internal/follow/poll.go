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
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// poller is what the followers of the store share.
type poller struct {
	clock timer.Service
	log   log.Logger
	// source names what is followed in log lines.
	source string
	age    func() time.Duration
}

// poll calls the store until the context ends. A call goes on after a version
// and returns the next one and the pause after it; it starts anew when the
// store no longer has the history.
func poll(ctx context.Context, p poller, call func(after uint64) (uint64, time.Duration, error)) {
	after := uint64(0)
	failing := false
	for ctx.Err() == nil {
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

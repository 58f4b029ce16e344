package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/board"
	"shallotcourse/internal/link"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
)

// pollInterval is the mean time between reads of the list; each wait varies by
// a third of it either way, so that processes started together spread out. A
// wait of at most 2 s leaves a second of the 3 s in which a leaving target must
// get no new work. At about 1,000 processes it makes 670 of the platform's
// 2,000 reads a second.
const pollInterval = 1500 * time.Millisecond

type (
	// Config holds what a Fleet needs.
	Config struct {
		Instances plat.Instances
		Timer     timer.Service
		Logger    log.Logger
	}

	// Fleet keeps the view up to date. It is a link.Handler.
	Fleet struct {
		config Config
		facts  *board.Section[Facts]
		view   *board.Section[View]
	}
)

var _ link.Handler = (*Fleet)(nil)

// New returns a fleet with an empty view; Run polls the list.
func New(c Config) *Fleet {
	return &Fleet{config: c, facts: board.New(Facts{}), view: board.New(View{ListAge: -1})}
}

// View returns the section that holds the merged view.
func (f *Fleet) View() *board.Section[View] { return f.view }

// Run polls the platform's list until ctx ends. The last list is kept while
// the platform does not answer.
func (f *Fleet) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.poll(ctx)
		f.pause(ctx, time.Duration((2+2*rand.Float64())/3*float64(pollInterval)))
	}
}

// LinkUp implements link.Handler.
func (f *Fleet) LinkUp(p link.Peer) {
	f.observe(func(x Facts, now time.Time) Facts { return x.WithLink(p.Hello(), now) })
}

// LinkDown implements link.Handler.
func (f *Fleet) LinkDown(p link.Peer, _ error) {
	f.observe(func(x Facts, now time.Time) Facts { return x.WithLoss(p.Hello(), now) })
}

// Receive implements link.Handler.
func (f *Fleet) Receive(p link.Peer, m wire.Message) {
	if _, ok := m.(wire.Leaving); ok {
		f.observe(func(x Facts, _ time.Time) Facts { return x.WithLeaving(p.Hello()) })
	}
}

func (f *Fleet) poll(ctx context.Context) {
	list, err := f.config.Instances.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			_ = level.Warn(f.config.Logger).Log("msg", "instance list not read; the last one is kept", "err", err)
		}
		// The view carries ages, so it is published without news too.
		f.observe(func(x Facts, now time.Time) Facts { return x.Pruned(now) })
		return
	}
	f.observe(func(x Facts, now time.Time) Facts { return x.WithList(list, now).Pruned(now) })
}

// observe adds one observation and publishes the merged view.
func (f *Fleet) observe(with func(Facts, time.Time) Facts) {
	f.facts.Update(func(x Facts) (Facts, bool) {
		now := f.config.Timer.Now()
		x = with(x, now)
		f.view.Set(x.View(now))
		return x, true
	})
}

func (f *Fleet) pause(ctx context.Context, d time.Duration) {
	passed := make(chan struct{})
	cancel := f.config.Timer.After(d, func() { close(passed) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-passed:
	}
}

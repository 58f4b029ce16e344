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

// pollInterval is the mean time between reads of the instance list. Each wait
// varies by a third in either direction, so that processes started together do
// not poll together. The longest wait of 2 s leaves 1 s of the 3 s after which a
// leaving target must get no new work. About 1,000 processes use 670 of the
// 2,000 reads per second that the platform serves.
const pollInterval = 1500 * time.Millisecond

type (
	// Config holds the dependencies of a Fleet.
	Config struct {
		Instances plat.Instances
		Timer     timer.Service
		Logger    log.Logger
	}

	// Fleet polls the platform's instance list, observes links as a
	// link.Handler, and publishes the merged view.
	Fleet struct {
		config       Config
		observations *board.Section[Observations]
		view         *board.Section[View]
	}
)

var _ link.Handler = (*Fleet)(nil)

// New returns a fleet with an empty view. Run polls the instance list.
func New(c Config) *Fleet {
	return &Fleet{config: c, observations: board.New(Observations{}), view: board.New(View{ListAge: -1})}
}

// View returns the section that publishes the merged view.
func (f *Fleet) View() *board.Section[View] { return f.view }

// Run polls the instance list until ctx ends. While the platform does not
// answer, the last list stays in use.
func (f *Fleet) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.poll(ctx)
		f.sleep(ctx, time.Duration((2+2*rand.Float64())/3*float64(pollInterval)))
	}
}

// LinkUp implements link.Handler.
func (f *Fleet) LinkUp(p link.Peer) {
	f.observe(func(o Observations, now time.Time) Observations { return o.WithLinkUp(p.Hello(), now) })
}

// LinkDown implements link.Handler.
func (f *Fleet) LinkDown(p link.Peer, _ error) {
	f.observe(func(o Observations, now time.Time) Observations { return o.WithLinkDown(p.Hello(), now) })
}

// Receive implements link.Handler.
func (f *Fleet) Receive(p link.Peer, m wire.Message) {
	if _, ok := m.(wire.Leaving); ok {
		f.observe(func(o Observations, _ time.Time) Observations { return o.WithLeaving(p.Hello()) })
	}
}

func (f *Fleet) poll(ctx context.Context) {
	list, err := f.config.Instances.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			_ = level.Warn(f.config.Logger).Log("msg", "cannot read instance list; keeping the last one", "err", err)
		}
		// The view contains ages, so it is published without a new list too.
		f.observe(func(o Observations, now time.Time) Observations { return o.Pruned(now) })
		return
	}
	f.observe(func(o Observations, now time.Time) Observations { return o.WithList(list, now).Pruned(now) })
}

// observe adds one observation and publishes the resulting view.
func (f *Fleet) observe(add func(Observations, time.Time) Observations) {
	f.observations.Update(func(o Observations) (Observations, bool) {
		now := f.config.Timer.Now()
		o = add(o, now)
		f.view.Set(o.View(now))
		return o, true
	})
}

func (f *Fleet) sleep(ctx context.Context, d time.Duration) {
	passed := make(chan struct{})
	cancel := f.config.Timer.After(d, func() { close(passed) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-passed:
	}
}

package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/VictoriaMetrics/metrics"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/route"
	"shallotcourse/internal/steps"
	"shallotcourse/internal/wire"
)

const (
	// prefixBlock is the number of prompt tokens that decide cache affinity.
	prefixBlock = 64

	maxRefusals  = 8
	maxAttempts  = 24
	openTimeout  = time.Second
	stallTimeout = 3 * time.Second
	retryDelay   = 100 * time.Millisecond
)

type (
	// sink takes the tokens of an answer.
	sink interface {
		// token takes the next token.
		token(value uint32) error
		// flush is called when no further token is at hand.
		flush() error
	}

	// job is an admitted model request.
	job struct {
		plan steps.Plan
		// layers is the number of layers of the version.
		layers int
		begun  time.Time
		// end is when the deadline passes.
		end      time.Time
		admitted *pass
	}

	// session runs the coordinator of one request in its own goroutine.
	session struct {
		job
		entry *Entry
		box   *mailbox
		sink  sink
		coord steps.Coord
		// queue holds events that actions led to.
		queue []steps.Event
		// counted holds the targets at which the request counts as own work.
		counted []string
		// disarm cancels the last timer.
		disarm func()
		last   time.Time
		// gaps collects the time between tokens, and is merged once at the
		// end to keep the shared histogram's lock off the token path.
		gaps metrics.Histogram
		// result is set by the End action.
		result *steps.End
		failed error
	}
)

// run carries a planned request to its end. The failure is nil for a complete
// answer.
func (e *Entry) run(ctx context.Context, j job, out sink) (steps.End, steps.Coord) {
	p := &j.plan
	p.MaxRefusals, p.MaxAttempts = maxRefusals, maxAttempts
	p.OpenTimeout, p.StallTimeout, p.RetryDelay = openTimeout, stallTimeout, retryDelay
	s := &session{
		entry: e, job: j, sink: out,
		box: newMailbox(p.MaxTokens + mailboxSlack), disarm: func() {},
	}
	e.open.add(p.Request, s.box)
	defer e.open.remove(p.Request)
	defer s.close()
	return s.loop(ctx), s.coord
}

func (s *session) loop(ctx context.Context) steps.End {
	late := make(chan struct{})
	cancel := s.entry.cfg.Timer.After(s.end.Sub(s.entry.cfg.Timer.Now()), func() { close(late) })
	defer cancel()
	c, actions := steps.NewCoord(s.plan)
	s.coord = c
	s.perform(actions)
	s.drain()
	var events []steps.Event
	for s.result == nil {
		select {
		case <-s.box.wake:
			events = s.box.take(events)
			for _, ev := range events {
				s.handle(ev)
			}
		case <-late:
			s.handle(steps.DeadlinePassed{})
		case <-ctx.Done():
			s.handle(steps.CallerGone{})
		}
		if err := s.sink.flush(); err != nil && s.result == nil {
			s.handle(steps.CallerGone{})
		}
	}
	return *s.result
}

// handle lets the coordinator react to an event and to what follows from it.
func (s *session) handle(ev steps.Event) {
	s.queue = append(s.queue, ev)
	s.drain()
}

func (s *session) drain() {
	for len(s.queue) > 0 {
		ev := s.queue[0]
		s.queue = s.queue[1:]
		var actions []steps.Action
		s.coord, actions = s.coord.Next(ev)
		s.perform(actions)
	}
}

func (s *session) perform(actions []steps.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case steps.Choose:
			s.choose(a)
		case steps.Send:
			s.send(a)
		case steps.Emit:
			s.emit(a.Value)
		case steps.Arm:
			s.arm(a)
		case steps.Recovering:
			s.entry.meter.recoveries.Inc()
			_ = level.Info(s.entry.cfg.Log).Log("msg", "recovering", "request", s.plan.Request, "attempt", a.Attempt)
		case steps.End:
			s.result = &a
		}
	}
}

func (s *session) choose(a steps.Choose) {
	q := route.Query{
		Version: s.plan.Version, Adapter: s.plan.Adapter, Layers: s.layers,
		DataCentre: s.entry.cfg.DataCentre, Region: s.entry.cfg.Region,
		Prefix: route.Prefix(s.plan.Prompt, prefixBlock), Exclude: a.Exclude, Own: s.entry.ownCount,
	}
	var chain []wire.Stage
	s.entry.random.with(func(r *rand.Rand) {
		chain, _ = route.Replace(s.entry.view.Value(), q, a.Chain, a.Dead, r)
	})
	if s.coord.Attempt() > 0 {
		s.entry.meter.retries.Inc()
	}
	s.count(chain)
	s.queue = append(s.queue, steps.Chosen{Chain: chain})
}

// count moves the request's own work to the targets of a chain.
func (s *session) count(chain []wire.Stage) {
	for _, name := range s.counted {
		s.entry.ownWork(name).Add(-1)
	}
	s.counted = s.counted[:0]
	for _, st := range chain {
		s.entry.ownWork(st.Target).Add(1)
		s.counted = append(s.counted, st.Target)
	}
}

func (s *session) send(a steps.Send) {
	m := a.Message
	if open, ok := m.(wire.Open); ok {
		open.Deadline = s.end.Sub(s.entry.cfg.Timer.Now())
		m = open
	}
	if err := s.entry.send(a.Stage.Target, m); err != nil {
		s.queue = append(s.queue, steps.LinkLost{Target: a.Stage.Target})
	}
}

func (s *session) emit(value uint32) {
	now := s.entry.cfg.Timer.Now()
	if s.last.IsZero() {
		s.entry.meter.firstToken.Update(now.Sub(s.begun).Seconds())
		s.admitted.firstToken(now)
	} else {
		s.gaps.Update(now.Sub(s.last).Seconds())
	}
	s.last = now
	if err := s.sink.token(value); err != nil && s.failed == nil {
		s.failed = err
		s.queue = append(s.queue, steps.CallerGone{})
	}
}

func (s *session) arm(a steps.Arm) {
	s.disarm()
	s.disarm = s.entry.cfg.Timer.After(a.After, func() { s.box.post(steps.Fired{Timer: a.Timer}) })
}

func (s *session) close() {
	if f := s.result.Failure; f != nil && f.Code == fault.Overloaded {
		s.admitted.targetRefused()
	}
	s.disarm()
	s.count(nil)
	s.entry.meter.gaps.Merge(&s.gaps)
	s.entry.meter.tokens.Add(len(s.coord.Answer()))
}

// outcome corrects a failure for an answer that is delivered as a whole: no
// part of it has reached the caller.
func outcome(f *fault.Error, streamed bool) *fault.Error {
	if f.Outcome == fault.Partial && !streamed {
		return f.WithOutcome(fault.Unknown)
	}
	return f
}

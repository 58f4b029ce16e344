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
	// affinityPrefixTokens is the number of leading prompt tokens by which
	// targets with a matching prefix cache are preferred.
	affinityPrefixTokens = 64

	maxRefusals  = 8
	maxAttempts  = 24
	openTimeout  = time.Second
	stallTimeout = 3 * time.Second
	retryDelay   = 100 * time.Millisecond
)

type (
	// sink writes the tokens of an answer to the caller.
	sink interface {
		// writeToken writes the next token; it may buffer it.
		writeToken(value uint32) error
		// flush is called when no further token is available yet.
		flush() error
	}

	// job is an admitted model request.
	job struct {
		params steps.Params
		// layers is the number of layers of the model version.
		layers   int
		start    time.Time
		deadline time.Time
		admitted *admittedRequest
	}

	// session runs the coordinator of one model request, in the goroutine of
	// its HTTP handler.
	session struct {
		job
		entry       *Entry
		mailbox     *mailbox
		sink        sink
		coordinator steps.Coordinator
		// pendingEvents holds the events that resulted from actions and have
		// not been processed yet.
		pendingEvents []steps.Event
		// countedTargets holds the targets whose open counters include the
		// request.
		countedTargets []string
		// cancelTimer stops the timer that was set last.
		cancelTimer func()
		lastToken   time.Time
		// tokenGaps collects the times between tokens. It is merged once at the
		// end, to keep the lock of the shared histogram off the token path.
		tokenGaps metrics.Histogram
		// result is set by the End action.
		result   *steps.EndRequest
		writeErr error
	}
)

// runSession runs a model request until it ends. The failure in the result is
// nil if the answer is complete.
func (e *Entry) runSession(ctx context.Context, j job, out sink) (steps.EndRequest, steps.Coordinator) {
	p := &j.params
	p.MaxRefusals, p.MaxAttempts = maxRefusals, maxAttempts
	p.OpenTimeout, p.StallTimeout, p.RetryDelay = openTimeout, stallTimeout, retryDelay
	s := &session{
		entry: e, job: j, sink: out,
		mailbox: newMailbox(p.MaxTokens + mailboxExtraEvents), cancelTimer: func() {},
	}
	e.requests.add(p.Request, s.mailbox)
	defer e.requests.remove(p.Request)
	defer s.close()
	return s.loop(ctx), s.coordinator
}

// loop processes events until the coordinator ends the request.
func (s *session) loop(ctx context.Context) steps.EndRequest {
	expired := make(chan struct{})
	cancel := s.entry.cfg.Timer.After(s.deadline.Sub(s.entry.cfg.Timer.Now()), func() { close(expired) })
	defer cancel()
	c, actions := steps.NewCoordinator(s.params)
	s.coordinator = c
	s.perform(actions)
	s.processPending()
	var events []steps.Event
	for s.result == nil {
		select {
		case <-s.mailbox.wake:
			events = s.mailbox.take(events)
			for _, ev := range events {
				s.handle(ev)
			}
		case <-expired:
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

// handle passes an event to the coordinator, and the events that result from
// its actions.
func (s *session) handle(ev steps.Event) {
	s.pendingEvents = append(s.pendingEvents, ev)
	s.processPending()
}

func (s *session) processPending() {
	for len(s.pendingEvents) > 0 {
		ev := s.pendingEvents[0]
		s.pendingEvents = s.pendingEvents[1:]
		var actions []steps.Action
		s.coordinator, actions = s.coordinator.Next(ev)
		s.perform(actions)
	}
}

func (s *session) perform(actions []steps.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case steps.ChooseChain:
			s.chooseChain(a)
		case steps.SendMessage:
			s.send(a)
		case steps.Emit:
			s.emit(a.Value)
		case steps.SetTimer:
			s.setTimer(a)
		case steps.Recovering:
			s.entry.metrics.recoveries.Inc()
			_ = level.Info(s.entry.cfg.Log).Log("msg", "recovering", "request", s.params.Request, "attempt", a.Attempt)
		case steps.EndRequest:
			s.result = &a
		}
	}
}

func (s *session) chooseChain(a steps.ChooseChain) {
	q := route.Query{
		Version: s.params.Version, Adapter: s.params.Adapter, Layers: s.layers,
		DataCentre: s.entry.cfg.DataCentre, Region: s.entry.cfg.Region,
		Prefix: route.PrefixHash(s.params.Prompt, affinityPrefixTokens), Exclude: a.Exclude, Own: s.entry.openCount,
	}
	var chain []wire.Stage
	s.entry.random.with(func(r *rand.Rand) {
		chain, _ = route.Replace(s.entry.view.Value(), q, a.Chain, a.Lost, r)
	})
	if s.coordinator.Attempt() > 0 {
		s.entry.metrics.retries.Inc()
	}
	s.countAt(chain)
	s.pendingEvents = append(s.pendingEvents, steps.ChainChosen{Chain: chain})
}

// countAt counts the request at the targets of a chain, instead of those at
// which it was counted before.
func (s *session) countAt(chain []wire.Stage) {
	for _, name := range s.countedTargets {
		s.entry.openCounter(name).Add(-1)
	}
	s.countedTargets = s.countedTargets[:0]
	for _, st := range chain {
		s.entry.openCounter(st.Target).Add(1)
		s.countedTargets = append(s.countedTargets, st.Target)
	}
}

func (s *session) send(a steps.SendMessage) {
	m := a.Message
	if open, ok := m.(wire.Open); ok {
		open.Deadline = s.deadline.Sub(s.entry.cfg.Timer.Now())
		m = open
	}
	if err := s.entry.send(a.Stage.Target, m); err != nil {
		s.pendingEvents = append(s.pendingEvents, steps.LinkLost{Target: a.Stage.Target})
	}
}

func (s *session) emit(value uint32) {
	now := s.entry.cfg.Timer.Now()
	if s.lastToken.IsZero() {
		s.entry.metrics.firstToken.Update(now.Sub(s.start).Seconds())
		s.admitted.recordFirstToken(now)
	} else {
		s.tokenGaps.Update(now.Sub(s.lastToken).Seconds())
	}
	s.lastToken = now
	if err := s.sink.writeToken(value); err != nil && s.writeErr == nil {
		s.writeErr = err
		s.pendingEvents = append(s.pendingEvents, steps.CallerGone{})
	}
}

func (s *session) setTimer(a steps.SetTimer) {
	s.cancelTimer()
	s.cancelTimer = s.entry.cfg.Timer.After(a.After, func() { s.mailbox.post(steps.TimerFired{Timer: a.Timer}) })
}

func (s *session) close() {
	if f := s.result.Failure; f != nil && f.Code == fault.Overloaded {
		s.admitted.recordTargetRefusal()
	}
	s.cancelTimer()
	s.countAt(nil)
	s.entry.metrics.tokenGaps.Merge(&s.tokenGaps)
	s.entry.metrics.tokens.Add(len(s.coordinator.Answer()))
}

// undeliveredOutcome changes Partial to Unknown for an answer that was not
// streamed: no part of it has reached the caller.
func undeliveredOutcome(f *fault.Error, streamed bool) *fault.Error {
	if f.Outcome == fault.Partial && !streamed {
		return f.WithOutcome(fault.Unknown)
	}
	return f
}

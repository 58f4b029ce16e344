package agent

import (
	"context"
	"strconv"
	"sync"
	"time"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/link"
	"shallotcourse/internal/steps"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
)

// session connects the state machine of one stage to links and the engine.
type session struct {
	agent   *Agent
	request string
	// serial tells this session from earlier ones of the same request.
	serial uint64
	// ctx ends when the session is freed.
	ctx    context.Context
	finish context.CancelFunc

	// mu guards the fields below; no I/O is done under it.
	mu      sync.Mutex
	machine *steps.Session
	// entry is the incarnation of the coordinator.
	entry string
	// used is the time of the last message.
	used time.Time
	// next is the address of the next stage whose link is asked for.
	next  string
	freed bool
	// cancelOrphan and cancelLost stop timers that are running.
	cancelOrphan func()
	cancelLost   func()
}

func newSession(a *Agent, request, entry string) *session {
	ctx, finish := context.WithCancel(context.Background())
	return &session{
		agent: a, request: request, serial: a.serial.Add(1), entry: entry, ctx: ctx, finish: finish,
		machine: steps.NewSession(a.cfg.Limits.Steps), used: a.cfg.Timer.Now(),
	}
}

// open returns false if the session has been freed.
func (s *session) open(p link.Peer, m wire.Open) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freed {
		return false
	}
	s.used = s.agent.cfg.Timer.Now()
	if m.Attempt >= s.machine.Attempt() {
		s.entry = p.Hello().Incarnation
		s.stopOrphan()
		if _, up := s.agent.entry(s.entry); !up {
			// The message is from an old link that was replaced and lost.
			s.startOrphan()
		}
	}
	s.carryOut(p, s.machine.Open(m))
	s.dial()
	return true
}

func (s *session) start(p link.Peer, m wire.Start) {
	s.apply(p, func(x *steps.Session) []steps.Decision { return x.Start(m) })
}

func (s *session) step(p link.Peer, m wire.Step) {
	s.apply(p, func(x *steps.Session) []steps.Decision { return x.Step(m) })
}

func (s *session) token(p link.Peer, m wire.Token) {
	s.apply(p, func(x *steps.Session) []steps.Decision { return x.Token(m) })
}

func (s *session) resync(p link.Peer, m wire.Resync) {
	s.apply(p, func(x *steps.Session) []steps.Decision { return x.Resync(m) })
}

func (s *session) cancel(attempt int) {
	s.apply(nil, func(x *steps.Session) []steps.Decision { return x.Cancel(attempt) })
}

func (s *session) end() {
	s.apply(nil, func(x *steps.Session) []steps.Decision { return x.End() })
}

// stale handles the answer of the next stage, or of the entry, that it does
// not know the request or has a newer attempt.
func (s *session) stale(p link.Peer, m wire.Stale) {
	from, entry := p.Hello().Target, p.Hello().Incarnation
	s.apply(nil, func(x *steps.Session) []steps.Decision {
		if s.entry == entry && m.Rejected == x.Attempt() {
			return x.End()
		}
		if next, ok := successor(x); !ok || next.Target != from {
			return nil
		}
		return x.SuccessorStale(m)
	})
}

// expire frees the session if it has not been used since a time.
func (s *session) expire(since time.Time) {
	s.apply(nil, func(x *steps.Session) []steps.Decision {
		if s.used.After(since) {
			return nil
		}
		return x.End()
	})
}

// apply gives an input to the state machine and carries out its decisions.
func (s *session) apply(from link.Peer, input func(*steps.Session) []steps.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freed {
		return
	}
	if from != nil {
		s.used = s.agent.cfg.Timer.Now()
	}
	s.carryOut(from, input(s.machine))
}

// carryOut is called under the lock: Send only queues, and engine requests run
// on goroutines of their own.
func (s *session) carryOut(from link.Peer, decisions []steps.Decision) {
	for len(decisions) > 0 {
		d := decisions[0]
		decisions = decisions[1:]
		switch d := d.(type) {
		case steps.OpenEngine:
			go s.openEngine(d.Generation, s.machine.Request(), s.machine.Last())
		case steps.CloseEngine:
			go s.closeEngine(d.Generation)
		case steps.Truncate:
			go s.truncateEngine(d)
		case steps.Run:
			s.run(d)
		case steps.SendOpened:
			s.toEntry(d.Opened)
		case steps.SendRefused:
			s.toEntry(d.Refused)
			if d.Refused.Reason == wire.RefusedEngine {
				decisions = append(decisions, s.machine.End()...)
			}
		case steps.SendStep:
			s.toSuccessor(d.Step)
		case steps.SendToken:
			decisions = append(decisions, s.sendToken(d)...)
		case steps.SendFailed:
			s.agent.logStageFailed(d.Failed)
			s.toEntry(d.Failed)
		case steps.SendStale:
			if from != nil {
				_ = from.Send(d.Stale)
			}
		case steps.Free:
			s.free()
		}
	}
}

// sendToken feeds a chain of one stage directly.
func (s *session) sendToken(d steps.SendToken) []steps.Decision {
	if d.Entry {
		s.toEntry(d.Token)
	}
	if !d.ToFirst {
		return nil
	}
	if s.machine.Index() == 0 {
		return s.machine.Token(d.Token)
	}
	s.toSuccessor(d.Token)
	return nil
}

func (s *session) free() {
	s.freed = true
	if s.next != "" {
		s.agent.dials.release(s.next)
	}
	s.stopOrphan()
	s.stopLost()
	s.finish()
	s.agent.remove(s)
}

// engineID names an engine session; it is unique over all incarnations. A
// request that is released and comes back gets another name, because the Cancel
// of the old engine session may still be under way.
func (s *session) engineID(generation int) string {
	return s.agent.cfg.Incarnation + "." + s.request + "." + strconv.FormatUint(s.serial, 10) + "-" + strconv.Itoa(generation)
}

func (s *session) openEngine(generation int, o wire.Open, last bool) {
	ctx, cancel := timer.WithTimeout(s.ctx, s.agent.cfg.Timer, s.agent.cfg.Times.Engine)
	defer cancel()
	state, err := s.agent.cfg.Engine.Open(ctx, engine.SessionRequest{
		Session: s.engineID(generation), Version: o.Version, Adapter: o.Adapter, Layers: o.Chain[o.Index].Layers,
		Prompt: o.Prompt, Seed: o.Seed, Priority: o.Priority, Sample: last,
	})
	if s.ctx.Err() != nil {
		// The close may have reached the engine before the open.
		s.closeEngine(generation)
		return
	}
	s.agent.health.record(s.agent.cfg.Timer.Now(), err)
	s.apply(nil, func(x *steps.Session) []steps.Decision {
		if err != nil {
			return x.EngineFailed(generation, detail(err))
		}
		return x.EngineOpened(generation, state.Next)
	})
}

func (s *session) truncateEngine(d steps.Truncate) {
	ctx, cancel := timer.WithTimeout(s.ctx, s.agent.cfg.Timer, s.agent.cfg.Times.Engine)
	defer cancel()
	_, err := s.agent.cfg.Engine.Truncate(ctx, s.engineID(d.Generation), d.Position)
	s.apply(nil, func(x *steps.Session) []steps.Decision {
		if err != nil {
			return x.EngineFailed(d.Generation, detail(err))
		}
		return x.Truncated(d.Generation)
	})
}

// closeEngine outlives the session.
func (s *session) closeEngine(generation int) {
	ctx, cancel := timer.WithTimeout(context.Background(), s.agent.cfg.Timer, s.agent.cfg.Times.Engine)
	defer cancel()
	_ = s.agent.cfg.Engine.Cancel(ctx, s.engineID(generation))
}

// run queues a step; its result comes back by ran.
func (s *session) run(d steps.Run) {
	s.agent.steps.add(&job{
		step: engine.BatchStep{Session: s.engineID(d.Generation), StepRequest: engine.StepRequest{
			Position: d.Position, Count: d.Count, Data: d.Data,
		}},
		live: func() bool { return s.ctx.Err() == nil },
		ended: func(r engine.StepResult, err error) {
			s.apply(nil, func(x *steps.Session) []steps.Decision {
				if err != nil {
					return x.EngineFailed(d.Generation, detail(err))
				}
				return x.Ran(d.Generation, resultOf(r))
			})
		},
	})
}

func resultOf(r engine.StepResult) steps.Result {
	out := steps.Result{Position: r.Position, Count: r.Count, Data: r.Data}
	for _, t := range r.Tokens {
		out.Tokens = append(out.Tokens, steps.Sampled(t))
	}
	return out
}

func detail(err error) string {
	f := fault.As(err)
	return string(f.Code) + ": " + f.Detail
}

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

// session connects the state machine of one stage of a request to the links
// and the engine.
type session struct {
	agent   *Agent
	request string
	// serialNumber distinguishes this session from earlier ones of the same
	// request.
	serialNumber uint64
	// ctx ends when the session is closed.
	ctx       context.Context
	cancelCtx context.CancelFunc

	// mu guards the fields below. It is not held during I/O.
	mu      sync.Mutex
	machine *steps.Session
	// entry is the incarnation of the entry that coordinates the request.
	entry string
	// lastUsed is the time of the last message received.
	lastUsed time.Time
	// successorAddress is the address of the next stage to which a link has
	// been requested; empty if none.
	successorAddress string
	closed           bool
	// cancelOrphanTimer and cancelSuccessorTimer stop timers that are
	// running, and are nil otherwise.
	cancelOrphanTimer    func()
	cancelSuccessorTimer func()
}

func newSession(a *Agent, request, entry string) *session {
	ctx, cancel := context.WithCancel(context.Background())
	return &session{
		agent: a, request: request, serialNumber: a.lastSerial.Add(1), entry: entry, ctx: ctx, cancelCtx: cancel,
		machine: steps.NewSession(a.cfg.Limits.Steps), lastUsed: a.cfg.Timer.Now(),
	}
}

// open passes an Open message to the state machine. It returns false if the
// session has been closed.
func (s *session) open(p link.Peer, m wire.Open) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.lastUsed = s.agent.cfg.Timer.Now()
	if m.Attempt >= s.machine.Attempt() {
		s.entry = p.Hello().Incarnation
		s.stopOrphanTimer()
		if _, up := s.agent.entryPeer(s.entry); !up {
			// The message came over an old link, and its replacement is lost as well.
			s.startOrphanTimer()
		}
	}
	s.execute(p, s.machine.Open(m))
	s.updateSuccessorLink()
	return true
}

func (s *session) start(p link.Peer, m wire.Start) {
	s.apply(p, func(sm *steps.Session) []steps.Decision { return sm.Start(m) })
}

func (s *session) step(p link.Peer, m wire.Step) {
	s.apply(p, func(sm *steps.Session) []steps.Decision { return sm.Step(m) })
}

func (s *session) token(p link.Peer, m wire.Token) {
	s.apply(p, func(sm *steps.Session) []steps.Decision { return sm.Token(m) })
}

func (s *session) resync(p link.Peer, m wire.Resync) {
	s.apply(p, func(sm *steps.Session) []steps.Decision { return sm.Resync(m) })
}

func (s *session) cancel(attempt int) {
	s.apply(nil, func(sm *steps.Session) []steps.Decision { return sm.Cancel(attempt) })
}

func (s *session) end() {
	s.apply(nil, func(sm *steps.Session) []steps.Decision { return sm.End() })
}

// stale handles a Stale message from the next stage or from the entry: the
// sender does not know the request, or has a newer attempt.
func (s *session) stale(p link.Peer, m wire.Stale) {
	from, entry := p.Hello().Target, p.Hello().Incarnation
	s.apply(nil, func(sm *steps.Session) []steps.Decision {
		if s.entry == entry && m.Rejected == sm.Attempt() {
			return sm.End()
		}
		if next, ok := successor(sm); !ok || next.Target != from {
			return nil
		}
		return sm.SuccessorStale(m)
	})
}

// expire ends the session if it has not received a message since the given
// time.
func (s *session) expire(since time.Time) {
	s.apply(nil, func(sm *steps.Session) []steps.Decision {
		if s.lastUsed.After(since) {
			return nil
		}
		return sm.End()
	})
}

// apply passes an input to the state machine and executes its decisions. from
// is the link that the input came over, or nil.
func (s *session) apply(from link.Peer, input func(*steps.Session) []steps.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if from != nil {
		s.lastUsed = s.agent.cfg.Timer.Now()
	}
	s.execute(from, input(s.machine))
}

// execute carries out decisions of the state machine. The caller holds mu:
// sending only queues a message, and engine requests run in their own
// goroutines.
func (s *session) execute(from link.Peer, decisions []steps.Decision) {
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
		case steps.RunStep:
			s.enqueueStep(d)
		case steps.SendOpened:
			s.sendToEntry(d.Opened)
		case steps.SendRefused:
			s.sendToEntry(d.Refused)
			if d.Refused.Reason == wire.RefusedEngine {
				decisions = append(decisions, s.machine.End()...)
			}
		case steps.SendStep:
			s.sendToSuccessor(d.Step)
		case steps.SendToken:
			decisions = append(decisions, s.sendToken(d)...)
		case steps.SendFailed:
			s.agent.logStageFailed(d.Failed)
			s.sendToEntry(d.Failed)
		case steps.SendStale:
			if from != nil {
				_ = from.Send(d.Stale)
			}
		case steps.DropSession:
			s.close()
		}
	}
}

// sendToken sends a token to the entry and to the first stage, as the
// decision specifies. In a chain of one stage, the token is passed directly
// to this session's state machine.
func (s *session) sendToken(d steps.SendToken) []steps.Decision {
	if d.Entry {
		s.sendToEntry(d.Token)
	}
	if !d.ToFirst {
		return nil
	}
	if s.machine.Index() == 0 {
		return s.machine.Token(d.Token)
	}
	s.sendToSuccessor(d.Token)
	return nil
}

// close releases the link and the timers of the session and removes it from
// the agent. The caller holds mu.
func (s *session) close() {
	s.closed = true
	if s.successorAddress != "" {
		s.agent.links.release(s.successorAddress)
	}
	s.stopOrphanTimer()
	s.stopSuccessorTimer()
	s.cancelCtx()
	s.agent.removeSession(s)
}

// engineID returns the name of an engine session, which is unique across
// agent incarnations. A request that was closed here and opened again gets a
// new name, because the CloseSession call for its old engine session may
// still be in progress.
func (s *session) engineID(generation int) string {
	return s.agent.cfg.Incarnation + "." + s.request + "." + strconv.FormatUint(s.serialNumber, 10) + "-" + strconv.Itoa(generation)
}

func (s *session) openEngine(generation int, o wire.Open, last bool) {
	ctx, cancel := timer.WithTimeout(s.ctx, s.agent.cfg.Timer, s.agent.cfg.Times.Engine)
	defer cancel()
	state, err := s.agent.cfg.Engine.OpenSession(ctx, engine.SessionRequest{
		Session: s.engineID(generation), Version: o.Version, Adapter: o.Adapter, Layers: o.Chain[o.Index].Layers,
		Prompt: o.Prompt, Seed: o.Seed, Priority: o.Priority, Sample: last,
	})
	if s.ctx.Err() != nil {
		// The session was closed meanwhile, and its CloseSession call may have
		// reached the engine before the OpenSession call.
		s.closeEngine(generation)
		return
	}
	s.agent.health.record(s.agent.cfg.Timer.Now(), err)
	s.apply(nil, func(sm *steps.Session) []steps.Decision {
		if err != nil {
			return sm.EngineFailed(generation, errorDetail(err))
		}
		return sm.EngineOpened(generation, state.Next)
	})
}

func (s *session) truncateEngine(d steps.Truncate) {
	ctx, cancel := timer.WithTimeout(s.ctx, s.agent.cfg.Timer, s.agent.cfg.Times.Engine)
	defer cancel()
	_, err := s.agent.cfg.Engine.Truncate(ctx, s.engineID(d.Generation), d.Position)
	s.apply(nil, func(sm *steps.Session) []steps.Decision {
		if err != nil {
			return sm.EngineFailed(d.Generation, errorDetail(err))
		}
		return sm.Truncated(d.Generation)
	})
}

// closeEngine closes an engine session. It uses its own context, because it
// must complete even after the session has been closed.
func (s *session) closeEngine(generation int) {
	ctx, cancel := timer.WithTimeout(context.Background(), s.agent.cfg.Timer, s.agent.cfg.Times.Engine)
	defer cancel()
	_ = s.agent.cfg.Engine.CloseSession(ctx, s.engineID(generation))
}

// enqueueStep queues an engine step. Its result is passed to the state
// machine.
func (s *session) enqueueStep(d steps.RunStep) {
	s.agent.batcher.add(&stepJob{
		step: engine.BatchStep{Session: s.engineID(d.Generation), StepRequest: engine.StepRequest{
			Position: d.Position, Count: d.Count, Data: d.Data,
		}},
		wanted: func() bool { return s.ctx.Err() == nil },
		onDone: func(r engine.StepResult, err error) {
			s.apply(nil, func(sm *steps.Session) []steps.Decision {
				if err != nil {
					return sm.EngineFailed(d.Generation, errorDetail(err))
				}
				return sm.StepDone(d.Generation, toStepResult(r))
			})
		},
	})
}

func toStepResult(r engine.StepResult) steps.Result {
	out := steps.Result{Position: r.Position, Count: r.Count, Data: r.Data}
	for _, t := range r.Tokens {
		out.Tokens = append(out.Tokens, steps.Sampled(t))
	}
	return out
}

func errorDetail(err error) string {
	f := fault.As(err)
	return string(f.Code) + ": " + f.Detail
}

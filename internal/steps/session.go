package steps

import (
	"slices"

	"shallotcourse/internal/wire"
)

// Session is the state of one stage of one request. It is not safe for
// concurrent use.
type Session struct {
	limits Limits
	phase  phase
	// open is the Open of the current attempt, the highest seen.
	open wire.Open
	// generation numbers the engine sessions; answers of an older one are
	// dropped.
	generation int

	// ran is the first position that the engine has not been seen to run;
	// pending holds the inputs of [ran+running, next).
	ran     int
	running int
	next    int
	pending [][]byte
	// held maps later positions to their inputs.
	held map[int][]byte
	// cut is the position of a truncation under way or due; -1 if none.
	cut int
	// cutting is set while the engine truncates.
	cutting bool

	// failure is the last one reported in this attempt; nil if none.
	failure Decision

	log outputs
	// sendFrom is the first position whose output the next stage lacks.
	sendFrom int
	// emitted is the first token position that the entry lacked at Start.
	emitted int
	// floor is the highest position whose input existed before Start. An
	// input above it went around the loop in this attempt, so all stages have
	// received everything below it.
	floor int
	// acked is the highest input position above floor; 0 if none.
	acked int
}

// NewSession returns a session for its first Open.
func NewSession(limits Limits) *Session {
	return &Session{limits: limits, phase: phaseFailed, cut: -1, log: outputs{limit: limits.LogBytes}}
}

// Attempt returns the current attempt.
func (s *Session) Attempt() int { return s.open.Attempt }

// Index returns the place of this stage in the chain.
func (s *Session) Index() int { return s.open.Index }

// Chain returns the chain of the current attempt.
func (s *Session) Chain() []wire.Stage { return s.open.Chain }

// Request returns the Open of the current attempt.
func (s *Session) Request() wire.Open { return s.open }

// Started reports whether the current attempt has been started.
func (s *Session) Started() bool { return s.phase == phaseStarted }

// Last reports whether this is the last stage of the chain.
func (s *Session) Last() bool { return s.open.Index == len(s.open.Chain)-1 }

// Next returns the first position whose input the stage lacks.
func (s *Session) Next() int { return s.next }

// Open begins an attempt. A survivor keeps its engine session, unless a fresh
// one is asked for or the stage holds other layers now.
func (s *Session) Open(o wire.Open) []Decision {
	if o.Index < 0 || o.Index >= len(o.Chain) {
		return []Decision{SendRefused{wire.Refused{Request: o.Request, Attempt: o.Attempt, Index: o.Index, Reason: wire.RefusedEngine}}}
	}
	switch {
	case o.Attempt < s.open.Attempt:
		return []Decision{SendRefused{wire.Refused{Request: o.Request, Attempt: o.Attempt, Index: o.Index, Reason: wire.RefusedStale}}}
	case o.Attempt == s.open.Attempt && s.generation > 0:
		return s.EntryUp()
	}
	keep := s.generation > 0 && s.phase != phaseFailed && !o.Fresh && s.sameModel(o)
	opening := s.phase == phaseOpening
	s.open = o
	s.held, s.failure = nil, nil
	s.floor, s.acked = 0, 0
	if keep && opening {
		return nil
	}
	if keep {
		s.phase = phaseOpened
		return []Decision{s.opened()}
	}
	var out []Decision
	if s.generation > 0 {
		out = append(out, CloseEngine{s.generation})
	}
	s.generation++
	s.phase = phaseOpening
	s.ran, s.running, s.next, s.pending = 0, 0, 0, nil
	s.cut, s.cutting = -1, false
	s.log.reset(0)
	return append(out, OpenEngine{s.generation})
}

func (s *Session) sameModel(o wire.Open) bool {
	return o.Version == s.open.Version && o.Adapter == s.open.Adapter && o.Seed == s.open.Seed &&
		slices.Equal(o.Prompt, s.open.Prompt) && o.Chain[o.Index].Layers == s.open.Chain[s.open.Index].Layers
}

func (s *Session) opened() Decision {
	return SendOpened{wire.Opened{
		Request: s.open.Request, Attempt: s.open.Attempt, Index: s.open.Index, Next: s.next, LogFrom: s.log.from,
	}}
}

// EngineOpened answers OpenEngine: the engine holds the positions below next.
// A session that was given up is closed again, since the first close may have
// reached the engine before the open.
func (s *Session) EngineOpened(generation, next int) []Decision {
	if generation != s.generation {
		return []Decision{CloseEngine{generation}}
	}
	if s.phase != phaseOpening {
		return nil
	}
	s.phase = phaseOpened
	s.ran, s.next = next, next
	s.log.reset(next)
	return []Decision{s.opened()}
}

// EngineFailed answers OpenEngine, Truncate and Run.
func (s *Session) EngineFailed(generation int, detail string) []Decision {
	if generation != s.generation || s.phase == phaseFailed {
		return nil
	}
	if s.phase == phaseOpening {
		s.phase = phaseFailed
		s.failure = SendRefused{wire.Refused{
			Request: s.open.Request, Attempt: s.open.Attempt, Index: s.open.Index, Reason: wire.RefusedEngine,
		}}
		return []Decision{s.failure}
	}
	s.phase = phaseFailed
	return []Decision{s.failed(s.open.Index, detail)}
}

// EntryUp repeats what may have been lost with the old link of the entry: the
// answer to Open, the failure, or the newest token. From that token the entry
// sees whether it lacks earlier ones, and asks for them.
func (s *Session) EntryUp() []Decision {
	switch {
	case s.failure != nil:
		return []Decision{s.failure}
	case s.phase == phaseOpened:
		return []Decision{s.opened()}
	case s.phase == phaseStarted && s.Last():
		return s.sendTokens(max(s.log.end()-1, s.log.from), s.log.end(), true, false)
	}
	return nil
}

// failed keeps the failure, so that it can be repeated.
func (s *Session) failed(index int, detail string) Decision {
	s.failure = SendFailed{wire.StageFailed{Request: s.open.Request, Attempt: s.open.Attempt, Index: index, Detail: detail}}
	return s.failure
}

// Start lets the stage run in the current attempt, and resends the outputs
// that the next stage lacks.
func (s *Session) Start(m wire.Start) []Decision {
	if m.Attempt != s.open.Attempt {
		return s.stale(m.Attempt)
	}
	if s.phase != phaseOpened {
		return nil
	}
	i := s.open.Index
	if len(m.Cursors) != len(s.open.Chain) || m.Cursors[i] < 0 || m.Cursors[i] > s.next {
		return []Decision{s.failed(i, "start has no usable cursor for this stage")}
	}
	s.phase = phaseStarted
	s.emitted = max(m.Emitted, len(s.open.Prompt))
	s.floor = max(slices.Max(m.Cursors), s.emitted)
	var out []Decision
	if m.Reset && m.Cursors[i] < s.next {
		out = append(out, s.truncate(m.Cursors[i])...)
	}
	if s.Last() {
		out = append(out, s.resendTokens(s.emitted, true, true)...)
	} else {
		s.sendFrom = m.Cursors[i+1]
		out = append(out, s.resendOutputs(s.sendFrom)...)
	}
	if i == 0 {
		out = append(out, s.accept(m.Cursors[0], blocksOf(m.Tokens), false)...)
	}
	s.drain()
	return append(out, s.advance()...)
}

// truncate begins a cut, at once or when the running step has ended.
func (s *Session) truncate(position int) []Decision {
	s.cut = position
	s.next, s.pending = position, nil
	s.log.truncate(position)
	if s.running > 0 {
		return nil
	}
	s.ran = position
	s.cutting = true
	return []Decision{Truncate{s.generation, position}}
}

// Truncated answers Truncate.
func (s *Session) Truncated(generation int) []Decision {
	if generation != s.generation || !s.cutting {
		return nil
	}
	s.cut, s.cutting = -1, false
	return s.advance()
}

// Cancel frees the session unless the message is of an older attempt.
func (s *Session) Cancel(attempt int) []Decision {
	if attempt < s.open.Attempt {
		return nil
	}
	return s.End()
}

// End frees the session.
func (s *Session) End() []Decision {
	generation := s.generation
	s.phase = phaseFailed
	s.generation++
	return []Decision{CloseEngine{generation}, Free{}}
}

func (s *Session) stale(rejected int) []Decision {
	return []Decision{SendStale{wire.Stale{Request: s.open.Request, Attempt: s.open.Attempt, Rejected: rejected}}}
}

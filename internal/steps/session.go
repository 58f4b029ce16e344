package steps

import (
	"slices"

	"shallotcourse/internal/wire"
)

// Session is the state machine of one stage of one request. It is not safe for
// concurrent use.
type Session struct {
	limits Limits
	phase  phase
	// open is the Open message of the current attempt, which is the highest
	// one received.
	open wire.Open
	// generation numbers the engine sessions; results for an older generation
	// are dropped.
	generation int

	// completed is the first position for which no engine result has arrived.
	// running is the number of positions in the engine step in progress; 0 if
	// there is none. next is the first position whose input has not arrived.
	// pending holds the inputs of positions [completed+running, next).
	completed int
	running   int
	next      int
	pending   [][]byte
	// outOfOrder holds inputs that arrived before an earlier one or before
	// Start, by position.
	outOfOrder map[int][]byte
	// truncateAt is the position of a truncation in progress, or due after the
	// running step; -1 if there is none.
	truncateAt int
	// truncating is true while the engine truncates its session.
	truncating bool

	// failure is the last failure reported in this attempt; nil if none.
	failure Decision

	log outputLog
	// sendFrom is the first position whose output the next stage needs in this
	// attempt.
	sendFrom int
	// emitted is the position of the first token that the entry had not
	// received at Start.
	emitted int
	// ackFloor is the highest position whose input may have existed before
	// Start. An input above it was sampled in this attempt, after all lower
	// positions had passed through all stages, so it acknowledges those.
	ackFloor int
	// acked is the highest input position received above ackFloor; 0 if none.
	// All lower positions are known to have reached every stage.
	acked int
}

// NewSession returns a session that waits for its first Open.
func NewSession(limits Limits) *Session {
	return &Session{limits: limits, phase: phaseFailed, truncateAt: -1, log: outputLog{limitBytes: limits.LogBytes}}
}

// Attempt returns the number of the current attempt.
func (s *Session) Attempt() int { return s.open.Attempt }

// Index returns the index of this stage in the chain.
func (s *Session) Index() int { return s.open.Index }

// Chain returns the chain of the current attempt.
func (s *Session) Chain() []wire.Stage { return s.open.Chain }

// Request returns the Open message of the current attempt.
func (s *Session) Request() wire.Open { return s.open }

// Started reports whether the current attempt has been started.
func (s *Session) Started() bool { return s.phase == phaseStarted }

// Last reports whether this is the last stage of the chain.
func (s *Session) Last() bool { return s.open.Index == len(s.open.Chain)-1 }

// Next returns the first position whose input has not arrived.
func (s *Session) Next() int { return s.next }

// Open begins an attempt. A stage that took part in an earlier attempt keeps its
// engine session, unless Open has Fresh set or the session does not match the
// message, for example because its layers differ.
func (s *Session) Open(o wire.Open) []Decision {
	if o.Index < 0 || o.Index >= len(o.Chain) {
		return []Decision{SendRefused{wire.Refused{Request: o.Request, Attempt: o.Attempt, Index: o.Index, Reason: wire.RefusedEngine}}}
	}
	switch {
	case o.Attempt < s.open.Attempt:
		return []Decision{SendRefused{wire.Refused{Request: o.Request, Attempt: o.Attempt, Index: o.Index, Reason: wire.RefusedStale}}}
	case o.Attempt == s.open.Attempt && s.generation > 0:
		return s.EntryRelinked()
	}
	keep := s.generation > 0 && s.phase != phaseFailed && !o.Fresh && s.engineSessionMatches(o)
	opening := s.phase == phaseOpening
	s.open = o
	s.outOfOrder, s.failure = nil, nil
	s.ackFloor, s.acked = 0, 0
	if keep && opening {
		return nil
	}
	if keep {
		s.phase = phaseOpened
		return []Decision{s.openedMessage()}
	}
	var out []Decision
	if s.generation > 0 {
		out = append(out, CloseEngine{s.generation})
	}
	s.generation++
	s.phase = phaseOpening
	s.completed, s.running, s.next, s.pending = 0, 0, 0, nil
	s.truncateAt, s.truncating = -1, false
	s.log.reset(0)
	return append(out, OpenEngine{s.generation})
}

// engineSessionMatches reports whether the engine session can be used for o.
func (s *Session) engineSessionMatches(o wire.Open) bool {
	return o.Version == s.open.Version && o.Adapter == s.open.Adapter && o.Seed == s.open.Seed &&
		slices.Equal(o.Prompt, s.open.Prompt) && o.Chain[o.Index].Layers == s.open.Chain[s.open.Index].Layers
}

func (s *Session) openedMessage() Decision {
	return SendOpened{wire.Opened{
		Request: s.open.Request, Attempt: s.open.Attempt, Index: s.open.Index, Next: s.next, LogFrom: s.log.from,
	}}
}

// EngineOpened is called when OpenEngine has succeeded: the engine's cache already
// holds the positions below next. An engine session that is no longer wanted is
// closed again, since the first close may have reached the engine before the
// open.
func (s *Session) EngineOpened(generation, next int) []Decision {
	if generation != s.generation {
		return []Decision{CloseEngine{generation}}
	}
	if s.phase != phaseOpening {
		return nil
	}
	s.phase = phaseOpened
	s.completed, s.next = next, next
	s.log.reset(next)
	return []Decision{s.openedMessage()}
}

// EngineFailed is called when OpenEngine, Truncate or RunStep has failed.
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
	return []Decision{s.recordFailure(s.open.Index, detail)}
}

// EntryRelinked is called when the link to the entry has been re-established.
// It sends again what may have been lost with the old link: the answer to Open,
// the failure, or the newest token. The entry requests earlier tokens with
// Resync if the position of that token shows a gap.
func (s *Session) EntryRelinked() []Decision {
	switch {
	case s.failure != nil:
		return []Decision{s.failure}
	case s.phase == phaseOpened:
		return []Decision{s.openedMessage()}
	case s.phase == phaseStarted && s.Last():
		return s.sendTokens(max(s.log.end()-1, s.log.from), s.log.end(), true, false)
	}
	return nil
}

// recordFailure stores a failure, so that EntryRelinked can send it again, and
// returns it.
func (s *Session) recordFailure(index int, detail string) Decision {
	s.failure = SendFailed{wire.StageFailed{Request: s.open.Request, Attempt: s.open.Attempt, Index: index, Detail: detail}}
	return s.failure
}

// Start lets the stage run inputs in the current attempt, and sends the next
// stage the outputs that it needs from the log.
func (s *Session) Start(m wire.Start) []Decision {
	if m.Attempt != s.open.Attempt {
		return s.rejectAttempt(m.Attempt)
	}
	if s.phase != phaseOpened {
		return nil
	}
	i := s.open.Index
	if len(m.Cursors) != len(s.open.Chain) || m.Cursors[i] < 0 || m.Cursors[i] > s.next {
		return []Decision{s.recordFailure(i, "Start has no valid cursor for this stage")}
	}
	s.phase = phaseStarted
	s.emitted = max(m.Emitted, len(s.open.Prompt))
	s.ackFloor = max(slices.Max(m.Cursors), s.emitted)
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
		out = append(out, s.acceptInputs(m.Cursors[0], encodeTokens(m.Tokens), false)...)
	}
	s.takeBuffered()
	return append(out, s.runPending()...)
}

// truncate drops position and all later ones from the engine session, at once
// or when the running step has ended.
func (s *Session) truncate(position int) []Decision {
	s.truncateAt = position
	s.next, s.pending = position, nil
	s.log.truncate(position)
	if s.running > 0 {
		return nil
	}
	s.completed = position
	s.truncating = true
	return []Decision{Truncate{s.generation, position}}
}

// Truncated is called when Truncate has succeeded. The inputs that waited for it
// then run.
func (s *Session) Truncated(generation int) []Decision {
	if generation != s.generation || !s.truncating {
		return nil
	}
	s.truncateAt, s.truncating = -1, false
	return s.runPending()
}

// Cancel ends the session unless the message belongs to an older attempt.
func (s *Session) Cancel(attempt int) []Decision {
	if attempt < s.open.Attempt {
		return nil
	}
	return s.End()
}

// End closes the engine session and releases the session.
func (s *Session) End() []Decision {
	generation := s.generation
	s.phase = phaseFailed
	s.generation++
	return []Decision{CloseEngine{generation}, DropSession{}}
}

// rejectAttempt answers a message of another attempt.
func (s *Session) rejectAttempt(rejected int) []Decision {
	return []Decision{SendStale{wire.Stale{Request: s.open.Request, Attempt: s.open.Attempt, Rejected: rejected}}}
}

package steps

import (
	"encoding/binary"
	"maps"

	"shallotcourse/internal/wire"
)

// encodedTokenBytes is the size of a token as an input of the first stage.
const encodedTokenBytes = 4

// Step handles inputs from the previous stage. For inputs that have arrived
// before, the outputs are sent again from the log, since they may have been
// lost.
func (s *Session) Step(m wire.Step) []Decision {
	if m.Attempt != s.open.Attempt {
		return s.rejectAttempt(m.Attempt)
	}
	if m.Count < 1 || m.Position < 0 || len(m.Data)%m.Count != 0 || m.Index != s.open.Index {
		return nil
	}
	block := len(m.Data) / m.Count
	blocks := make([][]byte, m.Count)
	for i := range blocks {
		blocks[i] = m.Data[i*block : (i+1)*block : (i+1)*block]
	}
	return s.receiveInputs(m.Position, blocks, true)
}

// Token handles a token that the last stage sampled and that is the next input
// of the first stage. The output of a duplicate token is not sent again: it
// would pass through all stages once more, and so would that of every later
// token.
func (s *Session) Token(m wire.Token) []Decision {
	if m.Attempt != s.open.Attempt {
		return s.rejectAttempt(m.Attempt)
	}
	if m.End || s.open.Index != 0 {
		return nil
	}
	return s.receiveInputs(m.Position, encodeTokens([]uint32{m.Value}), false)
}

// receiveInputs handles inputs according to the phase. If resend is true, the
// outputs of inputs that were received before are sent again.
func (s *Session) receiveInputs(position int, blocks [][]byte, resend bool) []Decision {
	switch s.phase {
	case phaseOpened:
		// The sender received its Start before this stage.
		return s.bufferInputs(position, blocks)
	case phaseStarted:
		return append(s.acceptInputs(position, blocks, resend), s.runPending()...)
	case phaseOpening, phaseFailed:
	}
	return nil
}

// acceptInputs handles inputs from a position on: the outputs of those that were
// received before are sent again if resend is true, the next ones are queued
// for the engine, and all are buffered if an earlier one is missing.
func (s *Session) acceptInputs(position int, blocks [][]byte, resend bool) []Decision {
	if len(blocks) == 0 {
		return nil
	}
	var out []Decision
	end := position + len(blocks)
	if position < s.next && resend {
		out = s.resendResults(position, min(end, s.next))
	}
	if position > s.next {
		return append(out, s.bufferInputs(position, blocks)...)
	}
	if end > s.next {
		s.appendPending(blocks[s.next-position:])
	}
	s.takeBuffered()
	return out
}

// takeBuffered queues the buffered inputs that are next now and drops those that
// were received meanwhile.
func (s *Session) takeBuffered() {
	for b, ok := s.outOfOrder[s.next]; ok; b, ok = s.outOfOrder[s.next] {
		s.appendPending([][]byte{b})
	}
	maps.DeleteFunc(s.outOfOrder, func(position int, _ []byte) bool { return position < s.next })
}

// appendPending queues the inputs of the next positions for the engine.
func (s *Session) appendPending(blocks [][]byte) {
	s.pending = append(s.pending, blocks...)
	s.next += len(blocks)
	if s.next-1 > s.ackFloor {
		s.acked = s.next - 1
	}
}

// bufferInputs keeps inputs until takeBuffered can queue them.
func (s *Session) bufferInputs(position int, blocks [][]byte) []Decision {
	if len(s.outOfOrder)+len(blocks) > s.limits.HoldPositions {
		return []Decision{s.recordFailure(s.open.Index, "too many inputs wait for an earlier position")}
	}
	if s.outOfOrder == nil {
		s.outOfOrder = make(map[int][]byte)
	}
	for i, b := range blocks {
		s.outOfOrder[position+i] = b
	}
	return nil
}

// resendResults sends the outputs of positions [from, to) again. Those that have
// not run yet are left out; they are sent when they have run.
func (s *Session) resendResults(from, to int) []Decision {
	from, to = max(from, s.log.from), min(to, s.log.end())
	if from >= to {
		return nil
	}
	if s.Last() {
		return s.sendTokens(from, to, true, true)
	}
	return s.sendOutputs(from, to)
}

// runPending starts the next engine step unless the engine is busy.
func (s *Session) runPending() []Decision {
	if s.phase != phaseStarted || s.running > 0 || s.truncating || len(s.pending) == 0 {
		return nil
	}
	n := min(len(s.pending), s.limits.ChunkPositions)
	var data []byte
	if n == 1 {
		data = s.pending[0]
	} else {
		for _, b := range s.pending[:n] {
			data = append(data, b...)
		}
	}
	s.pending = s.pending[n:]
	s.running = n
	return []Decision{RunStep{s.generation, s.completed, n, data}}
}

// StepDone reports the result of a RunStep.
func (s *Session) StepDone(generation int, r Result) []Decision {
	if generation != s.generation || s.phase == phaseFailed || s.running == 0 {
		return nil
	}
	if r.Position != s.completed || r.Count != s.running || (!s.Last() && len(r.Data)%r.Count != 0) {
		return s.EngineFailed(generation, "engine result does not match the running step")
	}
	s.running = 0
	if s.truncateAt >= 0 {
		s.completed = s.truncateAt
		s.truncating = true
		return []Decision{Truncate{s.generation, s.truncateAt}}
	}
	if !s.log.add(r, s.Last()) {
		return s.EngineFailed(generation, "engine result has another data size than before, or a gap in its tokens")
	}
	from := s.completed
	s.completed += r.Count
	var out []Decision
	if s.phase == phaseStarted {
		if s.Last() {
			out = s.sendTokens(from, s.completed, true, true)
		} else {
			out = s.sendOutputs(max(from, s.sendFrom), s.completed)
		}
	}
	// The result may be larger than the log's limit, so it is sent before the
	// log is trimmed.
	s.log.trim()
	return append(out, s.runPending()...)
}

// Resync sends the tokens from position m.Next on to the entry again.
func (s *Session) Resync(m wire.Resync) []Decision {
	if m.Attempt != s.open.Attempt {
		return s.rejectAttempt(m.Attempt)
	}
	if s.phase != phaseStarted || !s.Last() {
		return nil
	}
	return s.resendTokens(m.Next, true, false)
}

// SuccessorRelinked is called when the link to the next stage has been
// re-established. It sends again what the next stage may have lost with the old
// link. The successor of the last stage is the first one.
func (s *Session) SuccessorRelinked() []Decision {
	if s.phase != phaseStarted {
		return nil
	}
	if s.Last() {
		return s.resendTokens(max(s.emitted, s.acked+1), false, true)
	}
	return s.resendOutputs(max(s.sendFrom, s.acked))
}

// SuccessorStale handles the rejection of a message by the next stage.
// Rejections of messages of an older attempt are ignored.
func (s *Session) SuccessorStale(m wire.Stale) []Decision {
	switch {
	case m.Attempt > s.open.Attempt:
		return s.End()
	case m.Attempt == 0 && m.Rejected == s.open.Attempt:
		return s.SuccessorLost("next stage has no session for the request")
	}
	return nil
}

// SuccessorLost reports that the next stage cannot be reached.
func (s *Session) SuccessorLost(detail string) []Decision {
	if s.phase != phaseStarted {
		return nil
	}
	return []Decision{s.recordFailure((s.open.Index+1)%len(s.open.Chain), detail)}
}

func (s *Session) resendOutputs(from int) []Decision {
	if from >= s.log.end() {
		return nil
	}
	if from < s.log.from {
		return []Decision{s.recordFailure(s.open.Index, "output log no longer holds the outputs that the next stage needs")}
	}
	return s.sendOutputs(from, s.log.end())
}

// resendTokens sends the tokens from position from on again. The token at
// position p was sampled from the output of position p-1.
func (s *Session) resendTokens(from int, toEntry, toFirstStage bool) []Decision {
	if from-1 >= s.log.end() {
		return nil
	}
	if from-1 < s.log.from {
		return []Decision{s.recordFailure(s.open.Index, "token log no longer holds the tokens that the receiver needs")}
	}
	return s.sendTokens(from-1, s.log.end(), toEntry, toFirstStage)
}

func (s *Session) sendOutputs(from, to int) []Decision {
	var out []Decision
	for from < to {
		n := min(to-from, s.limits.ChunkPositions)
		out = append(out, SendStep{wire.Step{
			Request: s.open.Request, Attempt: s.open.Attempt, Index: s.open.Index + 1,
			Position: from, Count: n, Data: s.log.dataRange(from, from+n),
		}})
		from += n
	}
	return out
}

// sendTokens sends the tokens sampled from the outputs of positions [from, to).
// The last token of the answer is not sent to the first stage, since nothing is
// sampled after it.
func (s *Session) sendTokens(from, to int, toEntry, toFirstStage bool) []Decision {
	var out []Decision
	final := len(s.open.Prompt) + s.open.MaxTokens - 1
	for _, t := range s.log.tokenRange(from, to) {
		if t.Position < s.emitted || t.Position > final {
			continue
		}
		toFirst := toFirstStage && !t.End && t.Position < final
		if !toEntry && !toFirst {
			continue
		}
		m := wire.Token{Request: s.open.Request, Attempt: s.open.Attempt, Position: t.Position, Value: t.Value, End: t.End}
		out = append(out, SendToken{m, toEntry, toFirst})
	}
	return out
}

func encodeTokens(tokens []uint32) [][]byte {
	data := make([]byte, 0, len(tokens)*encodedTokenBytes)
	blocks := make([][]byte, len(tokens))
	for i, v := range tokens {
		data = binary.LittleEndian.AppendUint32(data, v)
		blocks[i] = data[i*encodedTokenBytes : (i+1)*encodedTokenBytes : (i+1)*encodedTokenBytes]
	}
	return blocks
}

package steps

import (
	"encoding/binary"
	"maps"

	"shallotcourse/internal/wire"
)

const tokenBytes = 4

// Step takes inputs from the stage before. Those that have arrived before are
// answered from the log, since the earlier answer may be lost.
func (s *Session) Step(m wire.Step) []Decision {
	if m.Attempt != s.open.Attempt {
		return s.stale(m.Attempt)
	}
	if m.Count < 1 || m.Position < 0 || len(m.Data)%m.Count != 0 || m.Index != s.open.Index {
		return nil
	}
	block := len(m.Data) / m.Count
	blocks := make([][]byte, m.Count)
	for i := range blocks {
		blocks[i] = m.Data[i*block : (i+1)*block : (i+1)*block]
	}
	return s.take(m.Position, blocks, true)
}

// Token takes the next input of the first stage from the last one. A repeated
// token is not answered: the answer would travel around the loop a second time
// for every later token of the request.
func (s *Session) Token(m wire.Token) []Decision {
	if m.Attempt != s.open.Attempt {
		return s.stale(m.Attempt)
	}
	if m.End || s.open.Index != 0 {
		return nil
	}
	return s.take(m.Position, blocksOf([]uint32{m.Value}), false)
}

func (s *Session) take(position int, blocks [][]byte, answer bool) []Decision {
	switch s.phase {
	case phaseOpened:
		// The sender was started earlier than this stage.
		return s.hold(position, blocks)
	case phaseStarted:
		return append(s.accept(position, blocks, answer), s.advance()...)
	case phaseOpening, phaseFailed:
	}
	return nil
}

// accept sorts inputs into repeated, next and later ones.
func (s *Session) accept(position int, blocks [][]byte, answer bool) []Decision {
	if len(blocks) == 0 {
		return nil
	}
	var out []Decision
	end := position + len(blocks)
	if position < s.next && answer {
		out = s.answer(position, min(end, s.next))
	}
	if position > s.next {
		return append(out, s.hold(position, blocks)...)
	}
	if end > s.next {
		s.push(blocks[s.next-position:])
	}
	s.drain()
	return out
}

// drain takes the held inputs that are next now and drops repeated ones.
func (s *Session) drain() {
	for b, ok := s.held[s.next]; ok; b, ok = s.held[s.next] {
		s.push([][]byte{b})
	}
	maps.DeleteFunc(s.held, func(position int, _ []byte) bool { return position < s.next })
}

func (s *Session) push(blocks [][]byte) {
	s.pending = append(s.pending, blocks...)
	s.next += len(blocks)
	if s.next-1 > s.floor {
		s.acked = s.next - 1
	}
}

func (s *Session) hold(position int, blocks [][]byte) []Decision {
	if len(s.held)+len(blocks) > s.limits.HoldPositions {
		return []Decision{s.failed(s.open.Index, "too many steps are held")}
	}
	if s.held == nil {
		s.held = make(map[int][]byte)
	}
	for i, b := range blocks {
		s.held[position+i] = b
	}
	return nil
}

// answer resends the outputs of repeated inputs. What has not run yet is sent
// when it has.
func (s *Session) answer(from, to int) []Decision {
	from, to = max(from, s.log.from), min(to, s.log.end())
	if from >= to {
		return nil
	}
	if s.Last() {
		return s.sendTokens(from, to, true, true)
	}
	return s.sendOutputs(from, to)
}

// advance runs the pending inputs unless the engine is busy.
func (s *Session) advance() []Decision {
	if s.phase != phaseStarted || s.running > 0 || s.cutting || len(s.pending) == 0 {
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
	return []Decision{Run{s.generation, s.ran, n, data}}
}

// Ran answers Run.
func (s *Session) Ran(generation int, r Result) []Decision {
	if generation != s.generation || s.phase == phaseFailed || s.running == 0 {
		return nil
	}
	if r.Position != s.ran || r.Count != s.running || (!s.Last() && len(r.Data)%r.Count != 0) {
		return s.EngineFailed(generation, "engine answered another step")
	}
	s.running = 0
	if s.cut >= 0 {
		s.ran = s.cut
		s.cutting = true
		return []Decision{Truncate{s.generation, s.cut}}
	}
	if !s.log.add(r, s.Last()) {
		return s.EngineFailed(generation, "engine answered with data of another size")
	}
	from := s.ran
	s.ran += r.Count
	var out []Decision
	if s.phase == phaseStarted {
		if s.Last() {
			out = s.sendTokens(from, s.ran, true, true)
		} else {
			out = s.sendOutputs(max(from, s.sendFrom), s.ran)
		}
	}
	// A chunk may be larger than the log, so it is sent before it is trimmed.
	s.log.trim()
	return append(out, s.advance()...)
}

// Resync repeats the tokens from m.Next on to the entry.
func (s *Session) Resync(m wire.Resync) []Decision {
	if m.Attempt != s.open.Attempt {
		return s.stale(m.Attempt)
	}
	if s.phase != phaseStarted || !s.Last() {
		return nil
	}
	return s.resendTokens(m.Next, true, false)
}

// SuccessorUp repeats what the next stage may have lost with its old link. The
// next stage of the last one is the first.
func (s *Session) SuccessorUp() []Decision {
	if s.phase != phaseStarted {
		return nil
	}
	if s.Last() {
		return s.resendTokens(max(s.emitted, s.acked+1), false, true)
	}
	return s.resendOutputs(max(s.sendFrom, s.acked))
}

// SuccessorStale handles the answer of the next stage that it rejected a
// message. Answers to an older attempt say nothing about this one.
func (s *Session) SuccessorStale(m wire.Stale) []Decision {
	switch {
	case m.Attempt > s.open.Attempt:
		return s.End()
	case m.Attempt == 0 && m.Rejected == s.open.Attempt:
		return s.SuccessorLost("stage does not know the request")
	}
	return nil
}

// SuccessorLost reports that the next stage cannot be reached.
func (s *Session) SuccessorLost(detail string) []Decision {
	if s.phase != phaseStarted {
		return nil
	}
	return []Decision{s.failed((s.open.Index+1)%len(s.open.Chain), detail)}
}

func (s *Session) resendOutputs(from int) []Decision {
	if from >= s.log.end() {
		return nil
	}
	if from < s.log.from {
		return []Decision{s.failed(s.open.Index, "output log does not reach back")}
	}
	return s.sendOutputs(from, s.log.end())
}

// resendTokens repeats the tokens from position from on; each belongs to the
// output one below its position.
func (s *Session) resendTokens(from int, entry, first bool) []Decision {
	if from-1 >= s.log.end() {
		return nil
	}
	if from-1 < s.log.from {
		return []Decision{s.failed(s.open.Index, "token log does not reach back")}
	}
	return s.sendTokens(from-1, s.log.end(), entry, first)
}

func (s *Session) sendOutputs(from, to int) []Decision {
	var out []Decision
	for from < to {
		n := min(to-from, s.limits.ChunkPositions)
		out = append(out, SendStep{wire.Step{
			Request: s.open.Request, Attempt: s.open.Attempt, Index: s.open.Index + 1,
			Position: from, Count: n, Data: s.log.slice(from, from+n),
		}})
		from += n
	}
	return out
}

// sendTokens sends the tokens sampled from the outputs [from, to). The last
// token of the answer is of no use to the first stage.
func (s *Session) sendTokens(from, to int, entry, first bool) []Decision {
	var out []Decision
	final := len(s.open.Prompt) + s.open.MaxTokens - 1
	for _, t := range s.log.sampled(from, to) {
		if t.Position < s.emitted || t.Position > final {
			continue
		}
		toFirst := first && !t.End && t.Position < final
		if !entry && !toFirst {
			continue
		}
		m := wire.Token{Request: s.open.Request, Attempt: s.open.Attempt, Position: t.Position, Value: t.Value, End: t.End}
		out = append(out, SendToken{m, entry, toFirst})
	}
	return out
}

func blocksOf(tokens []uint32) [][]byte {
	data := make([]byte, 0, len(tokens)*tokenBytes)
	blocks := make([][]byte, len(tokens))
	for i, v := range tokens {
		data = binary.LittleEndian.AppendUint32(data, v)
		blocks[i] = data[i*tokenBytes : (i+1)*tokenBytes : (i+1)*tokenBytes]
	}
	return blocks
}

package fengn

import (
	"encoding/binary"
	"slices"
	"time"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
)

type session struct {
	id      string
	request engine.SessionRequest
	model   model
	// states holds, for each position run, the state of each layer after it.
	// The last layer's state is the output of the position.
	states [][]uint64
	// queued is the first position that no accepted step covers.
	queued int
	closed bool
	// used is the time of the last request for the session.
	used time.Time
	// cached counts the blocks that were offered to the prefix cache.
	cached int
}

func (s *session) next() int { return len(s.states) }

// run applies every layer of the range once at the next position.
func (s *session) run(input uint64) {
	position := s.next()
	state := make([]uint64, sizeOf(s.request.Layers))
	for i := range state {
		var before uint64
		if position > 0 {
			before = s.states[position-1][i]
		}
		state[i] = s.model.layer(s.request.Layers.From+i, position, input, before)
		input = state[i]
	}
	s.states = append(s.states, state)
}

// result returns the kept outputs of positions that have run.
func (s *session) result(position, count int) engine.StepResult {
	r := engine.StepResult{Position: position, Count: count, Data: make([]byte, 0, count*outputBytes)}
	for p := position; p < position+count; p++ {
		state := s.states[p]
		output := state[len(state)-1]
		r.Data = binary.LittleEndian.AppendUint64(r.Data, output)
		if s.request.Sample && p >= len(s.request.Prompt)-1 {
			value, end := s.model.sample(p, output)
			r.Tokens = append(r.Tokens, engine.SampledToken{Position: p + 1, Value: value, End: end})
		}
	}
	return r
}

// decodeInputs splits the data of a step into inputs.
func decodeInputs(first bool, count int, data []byte) ([]uint64, error) {
	size := outputBytes
	if first {
		size = tokenBytes
	}
	if count < 1 || len(data) != count*size {
		return nil, fault.Invalid("Data", len(data), "Count blocks of 8 bytes, or of 4 bytes at layer 0")
	}
	inputs := make([]uint64, 0, count)
	for block := range slices.Chunk(data, size) {
		if first {
			inputs = append(inputs, uint64(binary.LittleEndian.Uint32(block)))
		} else {
			inputs = append(inputs, binary.LittleEndian.Uint64(block))
		}
	}
	return inputs, nil
}

// open returns the session, which starts after the longest cached prefix of
// the prompt, but before its last position so that a token can be sampled.
func (e *Engine) open(r engine.SessionRequest) (engine.SessionState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.sessions[r.Session]; ok {
		return engine.SessionState{Session: s.id, Next: s.next()}, nil
	}
	if e.faults.RefuseSessions {
		return engine.SessionState{}, fault.New(fault.Unavailable, "sessions are refused")
	}
	if err := e.holds(r); err != nil {
		return engine.SessionState{}, err
	}
	e.sweep()
	s := e.newSession(r)
	if len(r.Prompt) > 0 {
		s.states = e.cache.lookup(s, len(r.Prompt)-1)
	}
	s.queued = s.next()
	s.cached = s.next() / e.cfg.BlockTokens
	e.sessions[s.id] = s
	return engine.SessionState{Session: s.id, Next: s.next()}, nil
}

func (e *Engine) newSession(r engine.SessionRequest) *session {
	return &session{id: r.Session, request: r, used: e.cfg.Timer.Now(), model: newModel(r.Version, r.Adapter, r.Seed, e.cfg.Endless)}
}

// sweep frees sessions that nobody uses any more, such as those of an agent
// that was killed. It looks at all sessions four times per idle time at most.
func (e *Engine) sweep() {
	now := e.cfg.Timer.Now()
	if now.Sub(e.swept) < e.cfg.SessionIdle/4 {
		return
	}
	e.swept = now
	for _, s := range e.sessions {
		if s.queued == s.next() && now.Sub(s.used) > e.cfg.SessionIdle {
			e.drop(s)
		}
	}
}

func (e *Engine) holds(r engine.SessionRequest) error {
	held := e.state
	switch {
	case held.Loading || held.Version != r.Version || held.Layers != r.Layers:
		return fault.Newf(fault.Conflict, "engine does not hold layers %d to %d of %s", r.Layers.From, r.Layers.To, r.Version)
	case r.Adapter != "" && !slices.Contains(held.Adapters, r.Adapter):
		return fault.Newf(fault.Conflict, "engine does not hold adapter %s", r.Adapter)
	}
	return nil
}

// truncate drops all positions from position on.
func (e *Engine) truncate(id string, position int) (engine.SessionState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sessions[id]
	if !ok {
		return engine.SessionState{}, errClosed
	}
	if position < 0 || position > s.next() || s.queued > s.next() {
		return engine.SessionState{}, fault.Newf(fault.Conflict, "session is at %d with steps up to %d", s.next(), s.queued)
	}
	s.states = slices.Clip(s.states[:position])
	s.queued = position
	s.cached = min(s.cached, position/e.cfg.BlockTokens)
	e.stats.forget(id, position)
	return engine.SessionState{Session: id, Next: position}, nil
}

func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.sessions[id]; ok {
		e.drop(s)
	}
}

// drop closes a session. Steps in the running batch are answered at its end.
func (e *Engine) drop(s *session) {
	s.closed = true
	delete(e.sessions, s.id)
	e.queue = slices.DeleteFunc(e.queue, func(st *step) bool {
		if st.session != s || slices.ContainsFunc(e.batch, func(b slice) bool { return b.step == st }) {
			return false
		}
		st.end(errClosed)
		return true
	})
}

func (e *Engine) export(id string) (engine.SessionExport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sessions[id]
	if !ok {
		return engine.SessionExport{}, errClosed
	}
	return engine.SessionExport{SessionRequest: s.request, States: slices.Clone(s.states)}, nil
}

// adopt opens a session with an imported KV.
func (e *Engine) adopt(kv engine.SessionExport) (engine.SessionState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.holds(kv.SessionRequest); err != nil {
		return engine.SessionState{}, err
	}
	if _, ok := e.sessions[kv.Session]; ok {
		return engine.SessionState{}, fault.New(fault.Conflict, "session is open")
	}
	for _, state := range kv.States {
		if len(state) != sizeOf(kv.Layers) {
			return engine.SessionState{}, fault.Invalid("States", len(state), "one state for each layer")
		}
	}
	s := e.newSession(kv.SessionRequest)
	s.states = slices.Clone(kv.States)
	s.queued = s.next()
	e.sessions[s.id] = s
	return engine.SessionState{Session: s.id, Next: s.next()}, nil
}

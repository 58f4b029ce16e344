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
	// states holds, for each computed position, the state of each layer after
	// it. The last layer's state is the output of the position.
	states [][]uint64
	// queuedEnd is the first position that no queued or completed step covers.
	queuedEnd int
	closed    bool
	// lastUsed is the time at which the session was opened or last received a
	// step.
	lastUsed time.Time
	// cachedBlocks counts the prompt blocks that are in the prefix cache or were
	// added to it.
	cachedBlocks int
}

// next returns the first position that has not been computed.
func (s *session) next() int { return len(s.states) }

// run computes all layers of the session's range at the next position.
func (s *session) run(input uint64) {
	position := s.next()
	state := make([]uint64, layerCount(s.request.Layers))
	for i := range state {
		var previous uint64
		if position > 0 {
			previous = s.states[position-1][i]
		}
		state[i] = s.model.layer(s.request.Layers.From+i, position, input, previous)
		input = state[i]
	}
	s.states = append(s.states, state)
}

// result returns the outputs of positions that have been computed, and the tokens
// sampled from them.
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

// decodeInputs splits the data of a step into the inputs of its positions: tokens
// if the engine has layer 0, else outputs of the layer before.
func decodeInputs(fromLayer0 bool, count int, data []byte) ([]uint64, error) {
	size := outputBytes
	if fromLayer0 {
		size = tokenBytes
	}
	if count < 1 || len(data) != count*size {
		return nil, fault.Invalid("Data", len(data), "Count blocks of 8 bytes, or of 4 bytes at layer 0")
	}
	inputs := make([]uint64, 0, count)
	for block := range slices.Chunk(data, size) {
		if fromLayer0 {
			inputs = append(inputs, uint64(binary.LittleEndian.Uint32(block)))
		} else {
			inputs = append(inputs, binary.LittleEndian.Uint64(block))
		}
	}
	return inputs, nil
}

// openSession opens a session after the longest cached prefix of the prompt, or
// returns the open one. The last position of the prompt always runs, so that a
// token can be sampled.
func (e *Engine) openSession(r engine.SessionRequest) (engine.SessionState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.sessions[r.Session]; ok {
		return engine.SessionState{Session: s.id, Next: s.next()}, nil
	}
	if e.faults.RefuseSessions {
		return engine.SessionState{}, fault.New(fault.Unavailable, "injected fault: sessions are refused")
	}
	if err := e.checkLoaded(r); err != nil {
		return engine.SessionState{}, err
	}
	e.closeIdleSessions()
	s := e.newSession(r)
	if len(r.Prompt) > 0 {
		s.states = e.cache.lookup(s, len(r.Prompt)-1)
	}
	s.queuedEnd = s.next()
	s.cachedBlocks = s.next() / e.cfg.BlockTokens
	e.sessions[s.id] = s
	return engine.SessionState{Session: s.id, Next: s.next()}, nil
}

func (e *Engine) newSession(r engine.SessionRequest) *session {
	return &session{id: r.Session, request: r, lastUsed: e.cfg.Timer.Now(), model: newModel(r.Version, r.Adapter, r.Seed, e.cfg.Endless)}
}

// closeIdleSessions closes sessions without waiting steps that have not been used for
// SessionIdle, such as those of an agent that was killed. It scans the sessions
// at most four times per SessionIdle.
func (e *Engine) closeIdleSessions() {
	now := e.cfg.Timer.Now()
	if now.Sub(e.lastIdleCheck) < e.cfg.SessionIdle/4 {
		return
	}
	e.lastIdleCheck = now
	for _, s := range e.sessions {
		if s.queuedEnd == s.next() && now.Sub(s.lastUsed) > e.cfg.SessionIdle {
			e.closeSession(s)
		}
	}
}

// checkLoaded returns an error unless the engine has loaded exactly the layers of
// the session, and its adapter.
func (e *Engine) checkLoaded(r engine.SessionRequest) error {
	state := e.state
	switch {
	case state.Loading || state.Version != r.Version || state.Layers != r.Layers:
		return fault.Newf(fault.Conflict, "engine has not loaded layers %d to %d of version %s", r.Layers.From, r.Layers.To, r.Version)
	case r.Adapter != "" && !slices.Contains(state.Adapters, r.Adapter):
		return fault.Newf(fault.Conflict, "engine has not loaded adapter %s", r.Adapter)
	}
	return nil
}

// truncateSession discards the given position and all later ones. It fails while
// steps are waiting.
func (e *Engine) truncateSession(id string, position int) (engine.SessionState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sessions[id]
	if !ok {
		return engine.SessionState{}, errNotOpen
	}
	if position < 0 || position > s.next() || s.queuedEnd > s.next() {
		return engine.SessionState{}, fault.Newf(fault.Conflict, "session is at %d with steps up to %d", s.next(), s.queuedEnd)
	}
	s.states = slices.Clip(s.states[:position])
	s.queuedEnd = position
	s.cachedBlocks = min(s.cachedBlocks, position/e.cfg.BlockTokens)
	e.stats.discard(id, position)
	return engine.SessionState{Session: id, Next: position}, nil
}

func (e *Engine) cancelSession(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.sessions[id]; ok {
		e.closeSession(s)
	}
}

// closeSession closes a session and fails its waiting steps. Steps in the running
// batch are answered when the iteration ends. The caller holds the lock.
func (e *Engine) closeSession(s *session) {
	s.closed = true
	delete(e.sessions, s.id)
	e.queue = slices.DeleteFunc(e.queue, func(st *step) bool {
		if st.session != s || slices.ContainsFunc(e.batch, func(b batchPart) bool { return b.step == st }) {
			return false
		}
		st.answer(errNotOpen)
		return true
	})
}

func (e *Engine) exportSession(id string) (engine.SessionExport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sessions[id]
	if !ok {
		return engine.SessionExport{}, errNotOpen
	}
	return engine.SessionExport{SessionRequest: s.request, States: slices.Clone(s.states)}, nil
}

// importSession opens a session with an exported KV cache.
func (e *Engine) importSession(kv engine.SessionExport) (engine.SessionState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkLoaded(kv.SessionRequest); err != nil {
		return engine.SessionState{}, err
	}
	if _, ok := e.sessions[kv.Session]; ok {
		return engine.SessionState{}, fault.New(fault.Conflict, "session is already open")
	}
	for _, state := range kv.States {
		if len(state) != layerCount(kv.Layers) {
			return engine.SessionState{}, fault.Invalid("States", len(state), "one state for each layer")
		}
	}
	s := e.newSession(kv.SessionRequest)
	s.states = slices.Clone(kv.States)
	s.queuedEnd = s.next()
	e.sessions[s.id] = s
	return engine.SessionState{Session: s.id, Next: s.next()}, nil
}

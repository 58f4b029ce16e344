package lab

import (
	"maps"
	"time"

	"shallotcourse/internal/wire"
)

const (
	// maxRefusals is the entry's bound of chains tried for one request.
	maxRefusals = 6
	// retryDelay is the entry's wait when no chain exists.
	retryDelay = 100 * time.Millisecond
	callerHop  = 3 * time.Millisecond
)

type (
	// caller wants one answer and tries until it has it or the run ends.
	caller struct {
		account *accountState
		world   *world
		prompt  int
		answer  int
		done    bool
	}

	// session is one try of a caller that was admitted to dispatch.
	session struct {
		caller  *caller
		entry   *entryState
		arrived time.Time
		sent    time.Time
		ticket  uint64
		chain   []*target
		// refusals counts chains that were refused or did not exist.
		refusals int
		// stage is where the running piece is.
		stage int
		// sampled counts tokens at the last stage, got those at the caller.
		sampled int
		got     int
		last    time.Time
		work    float64
		placed  bool
		ended   bool
	}
)

// arrive sends the caller's request to an entry.
func (c *caller) arrive() {
	w := c.world
	e := w.entries[w.random.IntN(len(w.entries))]
	w.result.tries++
	s := &session{caller: c, entry: e, arrived: w.now}
	deadline := firstTokenBound
	if !w.plan.refuse {
		deadline = w.plan.patience * 1000
	}
	d := e.gate.Enter(c.account.name, c.account.weight, deadline, w.now)
	if d.Evicted != 0 {
		old := e.waiting[d.Evicted]
		delete(e.waiting, d.Evicted)
		old.ended = true
		old.caller.refused(e)
	}
	switch {
	case d.Refused:
		c.refused(e)
		return
	case d.Admitted:
		s.dispatch(nil)
	default:
		s.ticket = d.ID
		e.waiting[d.ID] = s
	}
	w.after(w.plan.patience, func() {
		if s.got > 0 || s.ended {
			return
		}
		s.end(false)
		w.result.abandoned++
		c.again(time.Duration(float64(time.Second) * (0.5 + w.random.Float64())))
	})
}

// refused lets the caller come back after the entry's hint.
func (c *caller) refused(e *entryState) {
	hint := e.gate.RetryAfter(e.world.now, e.world.random.Float64())
	e.world.result.refused++
	e.world.result.hints = append(e.world.result.hints, hint)
	c.again(hint)
}

func (c *caller) again(d time.Duration) {
	if c.world.plan.retry {
		c.world.after(d, c.arrive)
	}
}

// dispatch chooses a chain and opens it, as the entry's coordinator does.
func (s *session) dispatch(exclude map[string]bool) {
	w, e := s.entry.world, s.entry
	if s.ended {
		return
	}
	if s.sent.IsZero() {
		s.sent = w.now
	}
	chain, ok := e.choose(exclude)
	if !ok {
		if !s.turnedAway() {
			w.after(retryDelay, func() { s.dispatch(nil) })
		}
		return
	}
	e.count(chain, 1)
	w.after(2*regionDelay, func() { s.open(chain, exclude) })
}

// turnedAway counts a refusal, and ends the session at the last one.
func (s *session) turnedAway() bool {
	s.refusals++
	if s.refusals <= maxRefusals || !s.entry.world.plan.refuse {
		return false
	}
	s.entry.gate.TargetRefused()
	s.end(false)
	s.caller.refused(s.entry)
	return true
}

func (s *session) open(chain []wire.Stage, exclude map[string]bool) {
	e := s.entry
	if s.ended {
		e.count(chain, -1)
		return
	}
	next := map[string]bool{}
	for _, st := range chain {
		if t := e.world.byName[st.Target]; t.down || t.open >= int(t.limit) {
			next[t.name] = true
		}
	}
	if len(next) > 0 {
		e.count(chain, -1)
		maps.Copy(next, exclude)
		if !s.turnedAway() {
			s.dispatch(next)
		}
		return
	}
	s.placed = true
	for _, st := range chain {
		t := e.world.byName[st.Target]
		t.open++
		s.chain = append(s.chain, t)
	}
	s.chain[0].submit(s, s.caller.prompt)
}

// passed moves the session to its next stage, or samples a token.
func (s *session) passed() {
	w, from, count := s.entry.world, s.chain[s.stage], 1
	if s.stage == len(s.chain)-1 {
		s.sampled++
		w.after(regionDelay+callerHop, s.token)
		if s.sampled >= s.caller.answer {
			return
		}
		s.stage = 0
	} else {
		s.stage++
		if s.sampled == 0 {
			count = s.caller.prompt
		}
	}
	t := s.chain[s.stage]
	w.after(hopDelay(from, t), func() {
		if !s.ended {
			t.submit(s, count)
		}
	})
}

// token arrives at the caller.
func (s *session) token() {
	w := s.entry.world
	if s.ended {
		return
	}
	if s.got == 0 {
		w.result.first = append(w.result.first, w.now.Sub(s.arrived))
		s.entry.gate.FirstToken(w.now.Sub(s.sent))
	} else {
		w.result.gaps = append(w.result.gaps, w.now.Sub(s.last))
	}
	s.last = w.now
	s.got++
	w.result.emit(w.since())
	if s.got == s.caller.answer {
		s.caller.done = true
		s.caller.account.done++
		w.result.done++
		s.end(true)
	}
}

// end frees the chain and the place in the gate.
func (s *session) end(whole bool) {
	if s.ended {
		return
	}
	s.ended = true
	e := s.entry
	e.world.result.work += s.work
	if !whole {
		e.world.result.wasted += s.work
	}
	if s.placed {
		stages := make([]wire.Stage, 0, len(s.chain))
		for _, t := range s.chain {
			t.open--
			stages = append(stages, wire.Stage{Target: t.name})
		}
		e.count(stages, -1)
	}
	if s.sent.IsZero() {
		e.gate.Cancel(s.ticket)
		delete(e.waiting, s.ticket)
		return
	}
	if s.got == 0 {
		e.serve(e.gate.LeaveUnserved())
		return
	}
	e.serve(e.gate.Leave(e.world.now.Sub(s.sent)))
}

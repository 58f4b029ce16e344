package lab

import (
	"maps"
	"time"

	"shallotcourse/internal/wire"
)

const (
	// maxRefusals is the number of refusals by chains that the emulated entry
	// tolerates for one request.
	maxRefusals = 6
	// retryDelay is the emulated entry's wait before it chooses again when no
	// chain exists.
	retryDelay = 100 * time.Millisecond
	// callerDelay is the one-way latency between an entry and a caller.
	callerDelay = 3 * time.Millisecond
)

type (
	// caller requests one answer. If the scenario has retries, it retries the
	// request until it has the answer or the run ends. Prompt and answer are
	// lengths in tokens.
	caller struct {
		account *accountState
		cluster *cluster
		prompt  int
		answer  int
		done    bool
	}

	// session is one attempt of a caller at an entry.
	session struct {
		caller     *caller
		entry      *entryState
		arrived    time.Time
		dispatched time.Time
		ticket     uint64
		chain      []*target
		// refusals counts chains that refused the session, and failures to find
		// a chain.
		refusals int
		// stage is the index in chain of the stage that runs or runs next.
		stage int
		// sampled counts the tokens sampled at the last stage, received those
		// that have reached the caller.
		sampled   int
		received  int
		lastToken time.Time
		// work is the engine work done so far, in decode steps.
		work   float64
		opened bool
		ended  bool
	}
)

// arrive sends the caller's request to an entry.
func (c *caller) arrive() {
	w := c.cluster
	e := w.entries[w.random.IntN(len(w.entries))]
	w.result.attempts++
	s := &session{caller: c, entry: e, arrived: w.now}
	deadline := firstTokenBound
	if !w.scenario.refuseEarly {
		deadline = w.scenario.firstTokenTimeout * 1000
	}
	d := e.gate.Enter(c.account.name, c.account.weight, deadline, w.now)
	if d.Evicted != 0 {
		evicted := e.waiting[d.Evicted]
		delete(e.waiting, d.Evicted)
		evicted.ended = true
		evicted.caller.handleRefusal(e)
	}
	switch {
	case d.Refused:
		c.handleRefusal(e)
		return
	case d.Admitted:
		s.dispatch(nil)
	default:
		s.ticket = d.ID
		e.waiting[d.ID] = s
	}
	w.after(w.scenario.firstTokenTimeout, func() {
		if s.received > 0 || s.ended {
			return
		}
		s.end(false)
		w.result.abandoned++
		c.retryAfter(time.Duration(float64(time.Second) * (0.5 + w.random.Float64())))
	})
}

// handleRefusal schedules a retry after the entry's retry hint.
func (c *caller) handleRefusal(e *entryState) {
	hint := e.gate.RetryAfter(e.cluster.now, e.cluster.random.Float64())
	e.cluster.result.refused++
	e.cluster.result.hints = append(e.cluster.result.hints, hint)
	c.retryAfter(hint)
}

// retryAfter sends the request again after d, if the scenario has retries.
func (c *caller) retryAfter(d time.Duration) {
	if c.cluster.scenario.retry {
		c.cluster.after(d, c.arrive)
	}
}

// dispatch chooses a chain without the excluded targets and opens it, as the
// coordinator of an entry does.
func (s *session) dispatch(exclude map[string]bool) {
	w, e := s.entry.cluster, s.entry
	if s.ended {
		return
	}
	if s.dispatched.IsZero() {
		s.dispatched = w.now
	}
	chain, ok := e.chooseChain(exclude)
	if !ok {
		if !s.countRefusal() {
			w.after(retryDelay, func() { s.dispatch(nil) })
		}
		return
	}
	e.addOpen(chain, 1)
	w.after(2*regionDelay, func() { s.open(chain, exclude) })
}

// countRefusal counts a refusal. After more than maxRefusals it ends the session
// and returns true, unless the scenario queues everything.
func (s *session) countRefusal() bool {
	s.refusals++
	if s.refusals <= maxRefusals || !s.entry.cluster.scenario.refuseEarly {
		return false
	}
	s.entry.gate.TargetRefused()
	s.end(false)
	s.caller.handleRefusal(s.entry)
	return true
}

// open reserves a session at each target of the chain. If a target is down or at
// its limit, it dispatches again without such targets.
func (s *session) open(chain []wire.Stage, exclude map[string]bool) {
	e := s.entry
	if s.ended {
		e.addOpen(chain, -1)
		return
	}
	next := map[string]bool{}
	for _, st := range chain {
		if t := e.cluster.byName[st.Target]; t.down || t.open >= int(t.limit) {
			next[t.name] = true
		}
	}
	if len(next) > 0 {
		e.addOpen(chain, -1)
		maps.Copy(next, exclude)
		if !s.countRefusal() {
			s.dispatch(next)
		}
		return
	}
	s.opened = true
	for _, st := range chain {
		t := e.cluster.byName[st.Target]
		t.open++
		s.chain = append(s.chain, t)
	}
	s.chain[0].submit(s, s.caller.prompt)
}

// stageDone moves the session to the next stage. After the last stage it samples a
// token and starts at the first stage again.
func (s *session) stageDone() {
	w, from, count := s.entry.cluster, s.chain[s.stage], 1
	if s.stage == len(s.chain)-1 {
		s.sampled++
		w.after(regionDelay+callerDelay, s.receiveToken)
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

// receiveToken records the arrival of a token at the caller.
func (s *session) receiveToken() {
	w := s.entry.cluster
	if s.ended {
		return
	}
	if s.received == 0 {
		w.result.first = append(w.result.first, w.now.Sub(s.arrived))
		s.entry.gate.FirstToken(w.now.Sub(s.dispatched))
	} else {
		w.result.gaps = append(w.result.gaps, w.now.Sub(s.lastToken))
	}
	s.lastToken = w.now
	s.received++
	w.result.countToken(w.elapsed())
	if s.received == s.caller.answer {
		s.caller.done = true
		s.caller.account.answered++
		w.result.done++
		s.end(true)
	}
}

// end releases the targets of the chain and the slot in the entry's gate. Work for
// an incomplete answer counts as wasted.
func (s *session) end(complete bool) {
	if s.ended {
		return
	}
	s.ended = true
	e := s.entry
	e.cluster.result.work += s.work
	if !complete {
		e.cluster.result.wasted += s.work
	}
	if s.opened {
		stages := make([]wire.Stage, 0, len(s.chain))
		for _, t := range s.chain {
			t.open--
			stages = append(stages, wire.Stage{Target: t.name})
		}
		e.addOpen(stages, -1)
	}
	if s.dispatched.IsZero() {
		e.gate.Cancel(s.ticket)
		delete(e.waiting, s.ticket)
		return
	}
	if s.received == 0 {
		e.dispatchWaiting(e.gate.LeaveUnserved())
		return
	}
	e.dispatchWaiting(e.gate.Leave(e.cluster.now.Sub(s.dispatched)))
}

package steps

import (
	"slices"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

const (
	// PhaseChoosing waits for a chain.
	PhaseChoosing Phase = iota
	// PhaseOpening waits for all stages to accept the attempt.
	PhaseOpening
	// PhaseRunning receives tokens.
	PhaseRunning
	// PhaseWaiting waits before the next choice of a chain.
	PhaseWaiting
	// PhaseEnded ignores all events.
	PhaseEnded
)

const (
	// FinishStop means that the model ended the answer.
	FinishStop = "stop"
	// FinishLength means that the answer reached its maximum length.
	FinishLength = "length"
)

type (
	// Phase is the state of a coordinator.
	Phase int

	// Plan is what does not change over the attempts of a request.
	Plan struct {
		Request  string
		Account  string
		Version  string
		Adapter  string
		Prompt   []uint32
		Seed     uint64
		Priority int
		// MaxTokens bounds the answer; at least 1.
		MaxTokens int
		// MaxRefusals bounds the chains tried before anything ran.
		MaxRefusals int
		// MaxAttempts bounds all attempts.
		MaxAttempts int
		// OpenTimeout bounds the wait for answers to Open.
		OpenTimeout time.Duration
		// StallTimeout is the time without a new token after which the chain
		// is opened again with the same stages.
		StallTimeout time.Duration
		// RetryDelay is the wait before another choice when no chain exists.
		RetryDelay time.Duration
	}

	// Coord coordinates one request. Each value is used for one event only,
	// since successive values share the list of emitted tokens.
	Coord struct {
		plan  Plan
		phase Phase
		// attempt grows by one with each chain that is opened.
		attempt int
		chain   []wire.Stage
		// ran holds the targets that were sent the last Start; the sessions of
		// others have not run yet.
		ran map[string]bool
		// opened holds the answers to Open of this attempt by index.
		opened []*wire.Opened
		// begin holds the cursors of the last Start, and emitted the position of
		// the next token at that time.
		begin   []int
		emitted int
		// allFresh asks every stage for a new session in this attempt.
		allFresh bool
		// started is true once a Start was sent in any attempt: from then on
		// the request is not NotRun.
		started bool
		// flowing is true once a token of this attempt arrived. It shows that
		// the last stage received Start; its token may come from its log.
		flowing bool
		// answer holds the emitted tokens, one per position from the end of
		// the prompt.
		answer []uint32
		// ahead holds tokens above the next position, in order.
		ahead []wire.Token
		// checked is len(answer) when the stall timer last fired.
		checked int
		// refused holds targets that are not chosen again for now.
		refused  map[string]bool
		refusals int
		// timer numbers the armed timer; others that fire are ignored.
		timer int
	}
)

// NewCoord returns the coordinator of a request and its first actions.
func NewCoord(p Plan) (Coord, []Action) {
	c := Coord{plan: p}
	return c, []Action{Choose{}}
}

// Plan returns what the request asks for.
func (c Coord) Plan() Plan { return c.plan }

// Phase returns the state of the coordinator.
func (c Coord) Phase() Phase { return c.phase }

// Attempt returns the current attempt.
func (c Coord) Attempt() int { return c.attempt }

// Chain returns the current chain; not to be changed.
func (c Coord) Chain() []wire.Stage { return c.chain }

// Answer returns the emitted tokens; not to be changed.
func (c Coord) Answer() []uint32 { return c.answer }

// Started reports whether any stage may have run for the request.
func (c Coord) Started() bool { return c.started }

// Outcome returns what a failure at this point means to the caller.
func (c Coord) Outcome() fault.Outcome {
	switch {
	case !c.started:
		return fault.NotRun
	case len(c.answer) == 0:
		return fault.Unknown
	}
	return fault.Partial
}

// Next returns the coordinator after an event, and the actions to take in
// order.
func (c Coord) Next(ev Event) (Coord, []Action) {
	if c.phase == PhaseEnded {
		return c, nil
	}
	switch ev := ev.(type) {
	case Chosen:
		return c.chosen(ev)
	case Received:
		return c.received(ev)
	case LinkLost:
		return c.linkLost(ev.Target)
	case Relinked:
		return c.relinked(ev.Target)
	case Fired:
		return c.fired(ev)
	case DeadlinePassed:
		return c.abort(fault.New(fault.Deadline, "deadline of the request passed"))
	case CallerGone:
		return c.abort(fault.New(fault.Canceled, "caller gave the request up"))
	}
	return c, nil
}

func (c Coord) received(ev Received) (Coord, []Action) {
	switch m := ev.Message.(type) {
	case wire.Token:
		return c.token(m)
	case wire.Opened:
		return c.accepted(ev.Target, m)
	case wire.Refused:
		if m.Attempt != c.attempt || c.index(ev.Target) < 0 {
			return c, nil
		}
		return c.refusedBy(map[string]bool{ev.Target: true})
	case wire.StageFailed:
		if m.Attempt != c.attempt || m.Index < 0 || m.Index >= len(c.chain) {
			return c, nil
		}
		return c.lost(map[string]bool{c.chain[m.Index].Target: true})
	case wire.Stale:
		// The stage has freed its session, for example because this process
		// was frozen for longer than the orphan timeout. All that is needed
		// to fill a new one is here.
		if m.Attempt != 0 || m.Rejected != c.attempt || c.index(ev.Target) < 0 {
			return c, nil
		}
		return c.reopen(nil)
	}
	return c, nil
}

// token emits tokens by position, each once, and ignores older attempts.
func (c Coord) token(t wire.Token) (Coord, []Action) {
	next := c.nextPosition()
	if c.phase != PhaseRunning || t.Attempt != c.attempt || t.Position < next ||
		t.Position >= len(c.plan.Prompt)+c.plan.MaxTokens {
		return c, nil
	}
	c.flowing = true
	if t.Position > next {
		return c.gap(t)
	}
	var actions []Action
	for {
		c.answer = append(c.answer, t.Value)
		actions = append(actions, Emit{Value: t.Value})
		if t.End {
			return c.finish(actions, FinishStop)
		}
		if len(c.answer) >= c.plan.MaxTokens {
			return c.finish(actions, FinishLength)
		}
		if len(c.ahead) == 0 || c.ahead[0].Position != c.nextPosition() {
			return c, actions
		}
		t, c.ahead = c.ahead[0], c.ahead[1:]
	}
}

// gap holds a token that came too early. Links keep the order, so the tokens
// before it were lost; the first of a gap asks for them.
func (c Coord) gap(t wire.Token) (Coord, []Action) {
	first := len(c.ahead) == 0
	c = c.buffer(t)
	if !first {
		return c, nil
	}
	return c, []Action{c.resync()}
}

// resync asks the last stage for the tokens from the next position on.
func (c Coord) resync() Action {
	m := wire.Resync{Request: c.plan.Request, Attempt: c.attempt, Next: c.nextPosition()}
	return Send{Stage: c.chain[len(c.chain)-1], Message: m}
}

func (c Coord) buffer(t wire.Token) Coord {
	i, found := slices.BinarySearchFunc(c.ahead, t, func(a, b wire.Token) int { return a.Position - b.Position })
	if !found {
		c.ahead = slices.Insert(slices.Clone(c.ahead), i, t)
	}
	return c
}

func (c Coord) finish(actions []Action, reason string) (Coord, []Action) {
	c.phase = PhaseEnded
	for _, st := range c.chain {
		actions = append(actions, Send{Stage: st, Message: wire.Finished{Request: c.plan.Request}})
	}
	return c, append(actions, End{Reason: reason})
}

// abort ends the request with a failure and frees its stages.
func (c Coord) abort(f *fault.Error) (Coord, []Action) {
	f = f.WithOutcome(c.Outcome())
	actions := c.cancel(nil)
	c.phase = PhaseEnded
	return c, append(actions, End{Failure: f})
}

// cancel frees the stages of the current attempt, or only the given ones.
func (c Coord) cancel(only map[string]bool) []Action {
	var actions []Action
	for _, st := range c.chain {
		if only == nil || only[st.Target] {
			m := wire.Cancel{Request: c.plan.Request, Attempt: c.attempt}
			actions = append(actions, Send{Stage: st, Message: m})
		}
	}
	return actions
}

// nextPosition returns the position of the next token to be emitted.
func (c Coord) nextPosition() int { return len(c.plan.Prompt) + len(c.answer) }

func (c Coord) index(target string) int {
	return slices.IndexFunc(c.chain, func(s wire.Stage) bool { return s.Target == target })
}

func (c Coord) arm(d time.Duration) (Coord, Action) {
	c.timer++
	return c, Arm{Timer: c.timer, After: d}
}

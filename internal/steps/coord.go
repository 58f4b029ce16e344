package steps

import (
	"slices"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

const (
	// PhaseChoosing waits for the answer to ChooseChain.
	PhaseChoosing Phase = iota
	// PhaseOpening waits for all stages to accept the attempt.
	PhaseOpening
	// PhaseRunning receives tokens.
	PhaseRunning
	// PhaseWaiting waits for Params.RetryDelay before the next ChooseChain.
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

	// Params holds the parameters of a request, which are the same in all its
	// attempts.
	Params struct {
		Request  string
		Account  string
		Version  string
		Adapter  string
		Prompt   []uint32
		Seed     uint64
		Priority int
		// MaxTokens is the maximum number of tokens of the answer; at least 1.
		MaxTokens int
		// MaxRefusals is the maximum number of failures to get a chain before
		// anything has run: chains that were refused or lost, and choices
		// without a chain.
		MaxRefusals int
		// MaxAttempts is the maximum number of attempts in total.
		MaxAttempts int
		// OpenTimeout is the maximum time for all stages to answer Open.
		OpenTimeout time.Duration
		// StallTimeout is the time without a new token after which the same
		// chain is opened again.
		StallTimeout time.Duration
		// RetryDelay is the time between two choices when no chain exists.
		RetryDelay time.Duration
	}

	// Coordinator is the state machine of one request at the entry. Next must be
	// called at most once on each value, since successive values share memory.
	Coordinator struct {
		params Params
		phase  Phase
		// attempt is the number of the current attempt. It grows by one each
		// time that a chain is opened.
		attempt int
		chain   []wire.Stage
		// startedTargets holds the targets to which the last Start was sent.
		// The sessions of other targets have not run anything.
		startedTargets map[string]bool
		// opened holds the answers to Open in this attempt, by index in the
		// chain; nil if none has arrived.
		opened []*wire.Opened
		// startCursors holds the cursors of the last Start: the first position
		// that each stage runs. emittedAtStart is the position of the next
		// token at that time.
		startCursors   []int
		emittedAtStart int
		// freshSessions makes every stage open a new engine session in this
		// attempt.
		freshSessions bool
		// started is true once a Start was sent in any attempt. From then on
		// a failure can no longer be reported as NotRun.
		started bool
		// tokenReceived is true once a token of this attempt has arrived. It
		// shows only that the last stage has received Start, since the token
		// may come from the log of that stage.
		tokenReceived bool
		// answer holds the emitted tokens. The first one has the position
		// after the prompt.
		answer []uint32
		// outOfOrder holds tokens beyond the next position, sorted by position.
		outOfOrder []wire.Token
		// stallCheckLen is len(answer) when the stall timer was last armed.
		stallCheckLen int
		// refused holds targets that must not be chosen until the next
		// PhaseWaiting.
		refused map[string]bool
		// refusals counts the failures to get a chain, up to MaxRefusals.
		refusals int
		// timer is the number of the armed timer; TimerFired with another number is
		// ignored.
		timer int
	}
)

// NewCoordinator returns the coordinator of a request and its first actions.
func NewCoordinator(p Params) (Coordinator, []Action) {
	c := Coordinator{params: p}
	return c, []Action{ChooseChain{}}
}

// Params returns the parameters of the request.
func (c Coordinator) Params() Params { return c.params }

// Phase returns the phase that the request is in.
func (c Coordinator) Phase() Phase { return c.phase }

// Attempt returns the number of the current attempt.
func (c Coordinator) Attempt() int { return c.attempt }

// Chain returns the current chain. The caller must not modify it.
func (c Coordinator) Chain() []wire.Stage { return c.chain }

// Answer returns the emitted tokens. The caller must not modify them.
func (c Coordinator) Answer() []uint32 { return c.answer }

// Started reports whether any stage may have run part of the request.
func (c Coordinator) Started() bool { return c.started }

// Outcome returns the outcome to report if the request fails now.
func (c Coordinator) Outcome() fault.Outcome {
	switch {
	case !c.started:
		return fault.NotRun
	case len(c.answer) == 0:
		return fault.Unknown
	}
	return fault.Partial
}

// Next handles an event. It returns the new state and the actions to carry out,
// in order.
func (c Coordinator) Next(ev Event) (Coordinator, []Action) {
	if c.phase == PhaseEnded {
		return c, nil
	}
	switch ev := ev.(type) {
	case ChainChosen:
		return c.handleChosen(ev)
	case MessageReceived:
		return c.handleMessage(ev)
	case LinkLost:
		return c.handleLinkLost(ev.Target)
	case Relinked:
		return c.handleRelinked(ev.Target)
	case TimerFired:
		return c.handleTimer(ev)
	case DeadlinePassed:
		return c.abort(fault.New(fault.Deadline, "deadline of the request passed"))
	case CallerGone:
		return c.abort(fault.New(fault.Canceled, "caller closed the request"))
	}
	return c, nil
}

func (c Coordinator) handleMessage(ev MessageReceived) (Coordinator, []Action) {
	switch m := ev.Message.(type) {
	case wire.Token:
		return c.handleToken(m)
	case wire.Opened:
		return c.handleOpened(ev.Target, m)
	case wire.Refused:
		if m.Attempt != c.attempt || c.stageIndex(ev.Target) < 0 {
			return c, nil
		}
		return c.handleRefused(map[string]bool{ev.Target: true})
	case wire.StageFailed:
		if m.Attempt != c.attempt || m.Index < 0 || m.Index >= len(c.chain) {
			return c, nil
		}
		return c.replaceLost(map[string]bool{c.chain[m.Index].Target: true})
	case wire.Stale:
		// The stage has released its session, for example because this process
		// was suspended for longer than the orphan timeout. The prompt and the
		// emitted tokens are enough to rebuild it.
		if m.Attempt != 0 || m.Rejected != c.attempt || c.stageIndex(ev.Target) < 0 {
			return c, nil
		}
		return c.reopen(nil)
	}
	return c, nil
}

// handleToken emits each token once, in the order of the positions. Tokens of
// other attempts are ignored.
func (c Coordinator) handleToken(t wire.Token) (Coordinator, []Action) {
	next := c.nextPosition()
	if c.phase != PhaseRunning || t.Attempt != c.attempt || t.Position < next ||
		t.Position >= len(c.params.Prompt)+c.params.MaxTokens {
		return c, nil
	}
	c.tokenReceived = true
	if t.Position > next {
		return c.handleGap(t)
	}
	var actions []Action
	for {
		c.answer = append(c.answer, t.Value)
		actions = append(actions, Emit{Value: t.Value})
		if t.End {
			return c.finish(actions, FinishStop)
		}
		if len(c.answer) >= c.params.MaxTokens {
			return c.finish(actions, FinishLength)
		}
		if len(c.outOfOrder) == 0 || c.outOfOrder[0].Position != c.nextPosition() {
			return c, actions
		}
		t, c.outOfOrder = c.outOfOrder[0], c.outOfOrder[1:]
	}
}

// handleGap buffers a token beyond the next position. Links preserve the order,
// so the tokens in between were lost; they are requested once per gap.
func (c Coordinator) handleGap(t wire.Token) (Coordinator, []Action) {
	first := len(c.outOfOrder) == 0
	c = c.bufferToken(t)
	if !first {
		return c, nil
	}
	return c, []Action{c.requestResync()}
}

// requestResync returns the Resync that makes the last stage send the tokens
// from the next position on again.
func (c Coordinator) requestResync() Action {
	m := wire.Resync{Request: c.params.Request, Attempt: c.attempt, Next: c.nextPosition()}
	return SendMessage{Stage: c.chain[len(c.chain)-1], Message: m}
}

func (c Coordinator) bufferToken(t wire.Token) Coordinator {
	i, found := slices.BinarySearchFunc(c.outOfOrder, t, func(a, b wire.Token) int { return a.Position - b.Position })
	if !found {
		c.outOfOrder = slices.Insert(slices.Clone(c.outOfOrder), i, t)
	}
	return c
}

func (c Coordinator) finish(actions []Action, reason string) (Coordinator, []Action) {
	c.phase = PhaseEnded
	for _, st := range c.chain {
		actions = append(actions, SendMessage{Stage: st, Message: wire.Finished{Request: c.params.Request}})
	}
	return c, append(actions, EndRequest{Reason: reason})
}

// abort ends the request with a failure and cancels it at all stages.
func (c Coordinator) abort(f *fault.Error) (Coordinator, []Action) {
	f = f.WithOutcome(c.Outcome())
	actions := c.cancelStages(nil)
	c.phase = PhaseEnded
	return c, append(actions, EndRequest{Failure: f})
}

// cancelStages returns a Cancel for each stage of the current attempt, or only
// for the given targets if only is not nil.
func (c Coordinator) cancelStages(only map[string]bool) []Action {
	var actions []Action
	for _, st := range c.chain {
		if only == nil || only[st.Target] {
			m := wire.Cancel{Request: c.params.Request, Attempt: c.attempt}
			actions = append(actions, SendMessage{Stage: st, Message: m})
		}
	}
	return actions
}

// nextPosition returns the position of the next token to be emitted.
func (c Coordinator) nextPosition() int { return len(c.params.Prompt) + len(c.answer) }

func (c Coordinator) stageIndex(target string) int {
	return slices.IndexFunc(c.chain, func(s wire.Stage) bool { return s.Target == target })
}

func (c Coordinator) armTimer(d time.Duration) (Coordinator, Action) {
	c.timer++
	return c, SetTimer{Timer: c.timer, After: d}
}

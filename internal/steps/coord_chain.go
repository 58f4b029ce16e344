package steps

import (
	"maps"
	"slices"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

// handleChosen opens the chosen chain in a new attempt.
func (c Coordinator) handleChosen(ev ChainChosen) (Coordinator, []Action) {
	if c.phase != PhaseChoosing {
		return c, nil
	}
	if len(ev.Chain) == 0 {
		return c.waitForTargets()
	}
	c.chain, c.freshSessions = ev.Chain, false
	return c.openChain()
}

// waitForTargets waits until targets become available. Before anything has run,
// the request fails at once if no target serves the version.
func (c Coordinator) waitForTargets() (Coordinator, []Action) {
	c.refusals++
	if !c.started && len(c.refused) == 0 {
		return c.abort(fault.New(fault.NoTarget, "no chain of targets covers the model"))
	}
	if !c.started && c.refusals > c.params.MaxRefusals {
		return c.abort(fault.New(fault.Overloaded, "targets refused the request too often"))
	}
	c.refused = nil
	c.phase = PhaseWaiting
	c, arm := c.armTimer(c.params.RetryDelay)
	return c, []Action{arm}
}

// openChain begins a new attempt: it sends Open to all stages of the chain.
func (c Coordinator) openChain() (Coordinator, []Action) {
	if c.attempt >= c.params.MaxAttempts {
		return c.abort(fault.New(fault.TargetLost, "request reached its maximum number of attempts"))
	}
	c.attempt++
	c.phase, c.tokenReceived, c.outOfOrder = PhaseOpening, false, nil
	c.opened = make([]*wire.Opened, len(c.chain))
	var actions []Action
	if c.started {
		actions = append(actions, Recovering{Attempt: c.attempt})
	}
	for i := range c.chain {
		actions = append(actions, c.openStage(i))
	}
	c, arm := c.armTimer(c.params.OpenTimeout)
	return c, append(actions, arm)
}

func (c Coordinator) openStage(i int) Action {
	return SendMessage{Stage: c.chain[i], Message: wire.Open{
		Request: c.params.Request, Attempt: c.attempt, Index: i, Chain: c.chain,
		Account: c.params.Account, Version: c.params.Version, Adapter: c.params.Adapter,
		Prompt: c.params.Prompt, MaxTokens: c.params.MaxTokens, Seed: c.params.Seed,
		Priority: c.params.Priority, Fresh: c.freshSessions, Resume: c.started,
	}}
}

// handleOpened records an Opened and starts the chain once all stages have sent
// one.
func (c Coordinator) handleOpened(target string, m wire.Opened) (Coordinator, []Action) {
	i := m.Index
	if m.Attempt != c.attempt || i < 0 || i >= len(c.chain) || c.chain[i].Target != target {
		return c, nil
	}
	if c.phase == PhaseRunning {
		// The stage repeats Opened because its Start was lost with a link.
		return c, []Action{c.startStage(i)}
	}
	if c.phase != PhaseOpening || c.opened[i] != nil {
		return c, nil
	}
	c.opened = slices.Clone(c.opened)
	c.opened[i] = &m
	if slices.Contains(c.opened, nil) {
		return c, nil
	}
	cursors, ok := c.cursors()
	if !ok {
		c.freshSessions = true
		return c.openChain()
	}
	return c.startChain(cursors)
}

// cursors returns the first position to be run at each stage. It returns false
// if a stage that took part in the last attempt no longer has the outputs in its
// log that its successor needs.
func (c Coordinator) cursors() ([]int, bool) {
	cursors := make([]int, len(c.chain))
	// The last stage must produce the token at nextPosition, which it samples
	// from its output for the position before.
	need := c.nextPosition() - 1
	if !c.started || c.freshSessions {
		for _, o := range c.opened {
			need = min(need, o.Next)
		}
		for i := range cursors {
			cursors[i] = max(need, 0)
		}
		return cursors, true
	}
	for i := len(c.chain) - 1; i >= 0; i-- {
		// A session that has not run in this request may be truncated, since
		// its positions come from a cached prefix. One that has run must not
		// run any position again, so its log must supply what is needed.
		o := c.opened[i]
		cursors[i] = o.Next
		if !c.startedTargets[c.chain[i].Target] {
			cursors[i] = min(o.Next, need)
		} else if o.Next > need && o.LogFrom > need {
			return nil, false
		}
		need = cursors[i]
	}
	return cursors, true
}

// startChain sends Start to all stages. From here on the request may have run.
func (c Coordinator) startChain(cursors []int) (Coordinator, []Action) {
	c.phase, c.started, c.stallCheckLen = PhaseRunning, true, len(c.answer)
	c.startCursors, c.emittedAtStart = cursors, c.nextPosition()
	c.startedTargets = map[string]bool{}
	var actions []Action
	for i, st := range c.chain {
		c.startedTargets[st.Target] = true
		actions = append(actions, c.startStage(i))
	}
	c, arm := c.armTimer(c.params.StallTimeout)
	return c, append(actions, arm)
}

// startStage returns the Start for stage i. It may be sent again: a stage that
// has already started ignores it.
func (c Coordinator) startStage(i int) Action {
	m := wire.Start{
		Request: c.params.Request, Attempt: c.attempt, Cursors: c.startCursors,
		Reset: c.startCursors[i] < c.opened[i].Next, Emitted: c.emittedAtStart,
	}
	if i == 0 {
		m.Tokens = c.tokensFrom(c.startCursors[0])
	}
	return SendMessage{Stage: c.chain[i], Message: m}
}

// tokensFrom returns the tokens of the prompt and the answer from a position on.
func (c Coordinator) tokensFrom(position int) []uint32 {
	if position >= c.nextPosition() {
		return nil
	}
	return slices.Concat(c.params.Prompt, c.answer)[position:]
}

// handleRefused tries a chain without the targets that refused. Before anything
// has run, all stages are cancelled; later only the refusing ones are replaced.
func (c Coordinator) handleRefused(targets map[string]bool) (Coordinator, []Action) {
	if c.phase != PhaseOpening {
		return c, nil
	}
	refused := maps.Clone(targets)
	maps.Copy(refused, c.refused)
	c.refused = refused
	if c.started {
		return c.reopen(targets)
	}
	c.refusals++
	if c.refusals > c.params.MaxRefusals {
		return c.abort(fault.New(fault.Overloaded, "targets refused the request too often"))
	}
	actions := c.cancelStages(nil)
	c.phase, c.chain = PhaseChoosing, nil
	return c, append(actions, ChooseChain{Exclude: c.refused})
}

// replaceLost replaces the stages at lost targets.
func (c Coordinator) replaceLost(targets map[string]bool) (Coordinator, []Action) {
	if c.phase == PhaseOpening && !c.started {
		return c.handleRefused(targets)
	}
	return c.reopen(targets)
}

// handleLinkLost replaces the stage at a target whose link was lost.
func (c Coordinator) handleLinkLost(target string) (Coordinator, []Action) {
	if c.stageIndex(target) < 0 || (c.phase != PhaseOpening && c.phase != PhaseRunning) {
		return c, nil
	}
	return c.replaceLost(map[string]bool{target: true})
}

// reopen requests a chain in which the stages at lost targets are replaced. If
// none is lost, it opens the same chain again.
func (c Coordinator) reopen(lost map[string]bool) (Coordinator, []Action) {
	if c.phase != PhaseOpening && c.phase != PhaseRunning {
		return c, nil
	}
	if len(lost) == 0 {
		c.freshSessions = false
		return c.openChain()
	}
	var actions []Action
	// A lost stage may only be suspended; Cancel makes it release its session
	// when it resumes.
	actions = append(actions, c.cancelStages(lost)...)
	c.phase = PhaseChoosing
	kept := c.chain
	c.chain = slices.DeleteFunc(slices.Clone(kept), func(s wire.Stage) bool { return lost[s.Target] })
	return c, append(actions, ChooseChain{Chain: kept, Lost: lost, Exclude: c.refused})
}

// handleRelinked sends again what may have been lost with the old connection
// to a target, or requests it.
func (c Coordinator) handleRelinked(target string) (Coordinator, []Action) {
	i := c.stageIndex(target)
	if i < 0 {
		return c, nil
	}
	switch {
	case c.phase == PhaseOpening && c.opened[i] == nil:
		return c, []Action{c.openStage(i)}
	case c.phase == PhaseRunning && !c.tokenReceived:
		return c.reopen(nil)
	case c.phase == PhaseRunning && i == len(c.chain)-1:
		return c, []Action{c.requestResync()}
	}
	return c, nil
}

// handleTimer handles the armed timer. What it means depends on the phase: that
// stages have not answered Open, that a chain is to be chosen again, or that a
// running request may have stalled.
func (c Coordinator) handleTimer(ev TimerFired) (Coordinator, []Action) {
	if ev.Timer != c.timer {
		return c, nil
	}
	switch c.phase {
	case PhaseOpening:
		lost := map[string]bool{}
		for i, o := range c.opened {
			if o == nil {
				lost[c.chain[i].Target] = true
			}
		}
		return c.replaceLost(lost)
	case PhaseWaiting:
		c.phase = PhaseChoosing
		return c, []Action{ChooseChain{Chain: c.chain, Exclude: c.refused}}
	case PhaseRunning:
		if len(c.answer) == c.stallCheckLen {
			return c.reopen(nil)
		}
		c.stallCheckLen = len(c.answer)
		c, arm := c.armTimer(c.params.StallTimeout)
		return c, []Action{arm}
	}
	return c, nil
}

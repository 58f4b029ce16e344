package steps

import (
	"maps"
	"slices"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

// chosen opens the chosen chain under the next attempt.
func (c Coord) chosen(ev Chosen) (Coord, []Action) {
	if c.phase != PhaseChoosing {
		return c, nil
	}
	if len(ev.Chain) == 0 {
		return c.noChain()
	}
	c.chain, c.allFresh = ev.Chain, false
	return c.open()
}

// noChain waits for targets to become free or to return. Before anything ran,
// a version without any target is refused at once.
func (c Coord) noChain() (Coord, []Action) {
	c.refusals++
	if !c.started && len(c.refused) == 0 {
		return c.abort(fault.New(fault.NoTarget, "no chain of targets covers the model"))
	}
	if !c.started && c.refusals > c.plan.MaxRefusals {
		return c.abort(fault.New(fault.Overloaded, "targets refused the request"))
	}
	c.refused = nil
	c.phase = PhaseWaiting
	c, arm := c.arm(c.plan.RetryDelay)
	return c, []Action{arm}
}

// open sends Open for a new attempt to all stages of the chain.
func (c Coord) open() (Coord, []Action) {
	if c.attempt >= c.plan.MaxAttempts {
		return c.abort(fault.New(fault.TargetLost, "attempts of the request are used up"))
	}
	c.attempt++
	c.phase, c.flowing, c.ahead = PhaseOpening, false, nil
	c.opened = make([]*wire.Opened, len(c.chain))
	var actions []Action
	if c.started {
		actions = append(actions, Recovering{Attempt: c.attempt})
	}
	for i := range c.chain {
		actions = append(actions, c.openStage(i))
	}
	c, arm := c.arm(c.plan.OpenTimeout)
	return c, append(actions, arm)
}

func (c Coord) openStage(i int) Action {
	return Send{Stage: c.chain[i], Message: wire.Open{
		Request: c.plan.Request, Attempt: c.attempt, Index: i, Chain: c.chain,
		Account: c.plan.Account, Version: c.plan.Version, Adapter: c.plan.Adapter,
		Prompt: c.plan.Prompt, MaxTokens: c.plan.MaxTokens, Seed: c.plan.Seed,
		Priority: c.plan.Priority, Fresh: c.allFresh, Resume: c.started,
	}}
}

// accepted records an Opened and starts the chain when all stages accepted.
func (c Coord) accepted(target string, m wire.Opened) (Coord, []Action) {
	i := m.Index
	if m.Attempt != c.attempt || i < 0 || i >= len(c.chain) || c.chain[i].Target != target {
		return c, nil
	}
	if c.phase == PhaseRunning {
		// The stage still waits for Start, which was lost with a link.
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
		c.allFresh = true
		return c.open()
	}
	return c.start(cursors)
}

// cursors returns the first position to be run at each stage, or false when a
// survivor's log does not reach back to what its successor needs.
func (c Coord) cursors() ([]int, bool) {
	cursors := make([]int, len(c.chain))
	// The last stage has to give out the token at nextPosition, which is its
	// output for the position before.
	need := c.nextPosition() - 1
	if !c.started || c.allFresh {
		for _, o := range c.opened {
			need = min(need, o.Next)
		}
		for i := range cursors {
			cursors[i] = max(need, 0)
		}
		return cursors, true
	}
	for i := len(c.chain) - 1; i >= 0; i-- {
		// A session that has not run yet may be truncated; a survivor runs
		// nothing again.
		o := c.opened[i]
		cursors[i] = o.Next
		if !c.ran[c.chain[i].Target] {
			cursors[i] = min(o.Next, need)
		} else if o.Next > need && o.LogFrom > need {
			return nil, false
		}
		need = cursors[i]
	}
	return cursors, true
}

// start sends Start to all stages; from here on the request may have run.
func (c Coord) start(cursors []int) (Coord, []Action) {
	c.phase, c.started, c.checked = PhaseRunning, true, len(c.answer)
	c.begin, c.emitted = cursors, c.nextPosition()
	c.ran = map[string]bool{}
	var actions []Action
	for i, st := range c.chain {
		c.ran[st.Target] = true
		actions = append(actions, c.startStage(i))
	}
	c, arm := c.arm(c.plan.StallTimeout)
	return c, append(actions, arm)
}

// startStage returns the Start of a stage. A stage that has started ignores it.
func (c Coord) startStage(i int) Action {
	m := wire.Start{
		Request: c.plan.Request, Attempt: c.attempt, Cursors: c.begin,
		Reset: c.begin[i] < c.opened[i].Next, Emitted: c.emitted,
	}
	if i == 0 {
		m.Tokens = c.tokensFrom(c.begin[0])
	}
	return Send{Stage: c.chain[i], Message: m}
}

// tokensFrom returns the values of the prompt and the answer from a position.
func (c Coord) tokensFrom(position int) []uint32 {
	if position >= c.nextPosition() {
		return nil
	}
	return slices.Concat(c.plan.Prompt, c.answer)[position:]
}

// refusedBy tries another chain. Before anything ran all stages are released;
// later only the refusing stage is replaced.
func (c Coord) refusedBy(targets map[string]bool) (Coord, []Action) {
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
	if c.refusals > c.plan.MaxRefusals {
		return c.abort(fault.New(fault.Overloaded, "targets refused the request"))
	}
	actions := c.cancel(nil)
	c.phase, c.chain = PhaseChoosing, nil
	return c, append(actions, Choose{Exclude: c.refused})
}

// lost replaces dead stages.
func (c Coord) lost(targets map[string]bool) (Coord, []Action) {
	if c.phase == PhaseOpening && !c.started {
		return c.refusedBy(targets)
	}
	return c.reopen(targets)
}

// linkLost is lost for a target of the chain.
func (c Coord) linkLost(target string) (Coord, []Action) {
	if c.index(target) < 0 || (c.phase != PhaseOpening && c.phase != PhaseRunning) {
		return c, nil
	}
	return c.lost(map[string]bool{target: true})
}

// reopen asks for a chain without the dead stages; with none dead the same
// chain is opened again.
func (c Coord) reopen(dead map[string]bool) (Coord, []Action) {
	if c.phase != PhaseOpening && c.phase != PhaseRunning {
		return c, nil
	}
	if len(dead) == 0 {
		c.allFresh = false
		return c.open()
	}
	var actions []Action
	// A frozen stage that wakes up is told to free its session.
	actions = append(actions, c.cancel(dead)...)
	c.phase = PhaseChoosing
	kept := c.chain
	c.chain = slices.DeleteFunc(slices.Clone(kept), func(s wire.Stage) bool { return dead[s.Target] })
	return c, append(actions, Choose{Chain: kept, Dead: dead, Exclude: c.refused})
}

// relinked catches up after a redial: messages may have been lost with the
// old connection.
func (c Coord) relinked(target string) (Coord, []Action) {
	i := c.index(target)
	if i < 0 {
		return c, nil
	}
	switch {
	case c.phase == PhaseOpening && c.opened[i] == nil:
		return c, []Action{c.openStage(i)}
	case c.phase == PhaseRunning && !c.flowing:
		return c.reopen(nil)
	case c.phase == PhaseRunning && i == len(c.chain)-1:
		return c, []Action{c.resync()}
	}
	return c, nil
}

func (c Coord) fired(ev Fired) (Coord, []Action) {
	if ev.Timer != c.timer {
		return c, nil
	}
	switch c.phase {
	case PhaseOpening:
		dead := map[string]bool{}
		for i, o := range c.opened {
			if o == nil {
				dead[c.chain[i].Target] = true
			}
		}
		return c.lost(dead)
	case PhaseWaiting:
		c.phase = PhaseChoosing
		return c, []Action{Choose{Chain: c.chain, Exclude: c.refused}}
	case PhaseRunning:
		if len(c.answer) == c.checked {
			return c.reopen(nil)
		}
		c.checked = len(c.answer)
		c, arm := c.arm(c.plan.StallTimeout)
		return c, []Action{arm}
	}
	return c, nil
}

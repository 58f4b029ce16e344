package entry

import (
	"context"
	"sync"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/link"
	"shallotcourse/internal/wire"
)

type (
	// incarnationLink is a link with the incarnation of the agent at its other
	// end.
	incarnationLink struct {
		link.Peer
		incarnation string
	}

	// outcomeWaiters holds the calls and queries that wait for an Outcome.
	outcomeWaiters struct {
		mu sync.Mutex
		// byNonce is keyed by nonce. Several may wait for the same nonce: a
		// call, and queries about it by other attempts at this entry.
		byNonce map[string][]*outcomeWaiter
	}

	// outcomeWaiter is a call or query that waits for an Outcome from a target.
	outcomeWaiter struct {
		target   string
		outcomes chan wire.Outcome
		// linkChanges receives a value after the link to the target has
		// changed.
		linkChanges chan struct{}
	}
)

var (
	// runningOutcome is the outcome of a call that the agent may still
	// complete.
	runningOutcome = wire.Outcome{State: wire.OutcomeRunning}
	// unknownOutcome is the outcome of a call whose agent incarnation has
	// ended, so that its effect cannot be determined any more.
	unknownOutcome = wire.Outcome{State: wire.OutcomeUnknown}
)

func newOutcomeWaiters() *outcomeWaiters {
	return &outcomeWaiters{byNonce: map[string][]*outcomeWaiter{}}
}

func (ws *outcomeWaiters) add(nonce, target string) *outcomeWaiter {
	w := &outcomeWaiter{target: target, outcomes: make(chan wire.Outcome, 4), linkChanges: make(chan struct{}, 1)}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.byNonce[nonce] = append(ws.byNonce[nonce], w)
	return w
}

func (ws *outcomeWaiters) remove(nonce string, w *outcomeWaiter) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	list := ws.byNonce[nonce]
	for i, other := range list {
		if other == w {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(ws.byNonce, nonce)
		return
	}
	ws.byNonce[nonce] = list
}

// deliver passes an outcome to those that wait for its nonce.
func (ws *outcomeWaiters) deliver(o wire.Outcome) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, w := range ws.byNonce[o.Nonce] {
		select {
		case w.outcomes <- o:
		default: // further outcomes of the same nonce carry no new information
		}
	}
}

// linkChanged notifies those that wait for an outcome from the target.
func (ws *outcomeWaiters) linkChanged(target string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, list := range ws.byNonce {
		for _, w := range list {
			if w.target != target {
				continue
			}
			select {
			case w.linkChanges <- struct{}{}:
			default:
			}
		}
	}
}

// dispatch sends a call once to one agent incarnation and waits for its
// outcome. The failure has the outcome NotRun only if the call cannot have run.
func (e *Entry) dispatch(ctx context.Context, q serviceCall, target string, p incarnationLink, nonce string) callResult {
	w := e.waiters.add(nonce, target)
	defer e.waiters.remove(nonce, w)
	left := q.deadline.Sub(e.cfg.Timer.Now())
	if left <= 0 {
		return callResult{failure: fault.New(fault.Deadline, "deadline passed before the call was sent")}
	}
	open := e.openCounter(target)
	open.Add(1)
	defer open.Add(-1)
	c := q.call
	c.Nonce, c.Incarnation, c.Deadline = nonce, p.incarnation, left
	if err := p.Send(c); err != nil {
		f := fault.New(fault.Unavailable, "call was not sent: link to the agent is down")
		return callResult{failure: f.WithCause(err)}
	}
	expired, cancel := e.timeout(left + outcomeGrace)
	defer cancel()
	return e.awaitOutcome(ctx, q, w, p, nonce, expired)
}

// awaitOutcome waits for the outcome of a call that was sent. When the link is
// replaced, it queries the same incarnation over the new one.
func (e *Entry) awaitOutcome(ctx context.Context, q serviceCall, w *outcomeWaiter, p incarnationLink, nonce string, expired <-chan struct{}) callResult {
	tick, cancel := e.cfg.Timer.Every(queryInterval)
	defer cancel()
	current, polling := p.Peer, false
	for {
		select {
		case o := <-w.outcomes:
			if r, done := concluded(o); done {
				return r
			}
			polling = true
			continue
		case <-w.linkChanges:
		case <-tick:
			if !polling && current != nil {
				continue
			}
		case <-expired:
			return unknownResult(runningOutcome, fault.Deadline, "deadline passed while the call was running")
		case <-ctx.Done():
			return unknownResult(runningOutcome, fault.Canceled, "caller closed the request while the call was running")
		}
		latest, up := e.agentLink(w.target)
		if !up {
			current = nil
			if q.call.Repeatable {
				return unknownResult(runningOutcome, fault.TargetLost, "link to the agent was lost")
			}
			continue
		}
		if latest.Hello().Incarnation != p.incarnation {
			return unknownResult(unknownOutcome, fault.TargetLost, "agent restarted while the call was running")
		}
		if latest != current || polling {
			polling = latest.Send(wire.Query{ID: q.call.ID, Nonce: nonce}) != nil || polling
			current = latest
		}
	}
}

// concluded converts an outcome to a result; false while the call is running.
func concluded(o wire.Outcome) (callResult, bool) {
	switch o.State {
	case wire.OutcomeDone:
		return callResult{outcome: o}, true
	case wire.OutcomeNeverSeen:
		return callResult{outcome: o, failure: fault.New(fault.TargetLost, "call did not reach the agent")}, true
	case wire.OutcomeNotRun:
		return callResult{outcome: o, failure: fault.New(fault.Unavailable, "call was not run: "+o.Detail)}, true
	case wire.OutcomeUnknown:
		return unknownResult(o, fault.TargetLost, "effect of the call is unknown: "+o.Detail), true
	case wire.OutcomeRunning:
	}
	return callResult{}, false
}

// unknownResult returns a failure with the outcome Unknown.
func unknownResult(o wire.Outcome, code fault.Code, detail string) callResult {
	return callResult{outcome: o, failure: fault.New(code, detail).WithOutcome(fault.Unknown)}
}

// timeout returns a channel that is closed after d, and a function that stops
// the timer.
func (e *Entry) timeout(d time.Duration) (<-chan struct{}, func()) {
	ch := make(chan struct{})
	return ch, e.cfg.Timer.After(d, func() { close(ch) })
}

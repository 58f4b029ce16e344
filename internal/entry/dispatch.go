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
	// peerOf is a link together with the incarnation that it leads to.
	peerOf struct {
		link.Peer
		incarnation string
	}

	// pending holds the calls and queries that wait for an Outcome.
	pending struct {
		mu sync.Mutex
		// waits is keyed by nonce: a call and a query about it by another
		// attempt at this entry may wait for the same one.
		waits map[string][]*waiting
	}

	waiting struct {
		target   string
		outcomes chan wire.Outcome
		// links holds a value after the link to the target has changed.
		links chan struct{}
	}
)

var (
	// running stands for a call that the agent may still conclude.
	running = wire.Outcome{State: wire.OutcomeRunning}
	// gone stands for a call that nobody can report on any more.
	gone = wire.Outcome{State: wire.OutcomeUnknown}
)

func newPending() *pending { return &pending{waits: map[string][]*waiting{}} }

func (p *pending) add(nonce, target string) *waiting {
	w := &waiting{target: target, outcomes: make(chan wire.Outcome, 4), links: make(chan struct{}, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waits[nonce] = append(p.waits[nonce], w)
	return w
}

func (p *pending) remove(nonce string, w *waiting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.waits[nonce]
	for i, other := range list {
		if other == w {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(p.waits, nonce)
		return
	}
	p.waits[nonce] = list
}

// deliver hands an outcome to those that wait for it.
func (p *pending) deliver(o wire.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.waits[o.Nonce] {
		select {
		case w.outcomes <- o:
		default: // repeated answers add nothing
		}
	}
}

func (p *pending) linkChanged(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.waits {
		for _, w := range list {
			if w.target != target {
				continue
			}
			select {
			case w.links <- struct{}{}:
			default:
			}
		}
	}
}

// dispatch sends a call once to one agent incarnation and waits for its
// outcome. The failure is NotRun only if the call cannot have run.
func (e *Entry) dispatch(ctx context.Context, q request, target string, p peerOf, nonce string) result {
	w := e.calls.add(nonce, target)
	defer e.calls.remove(nonce, w)
	left := q.end.Sub(e.cfg.Timer.Now())
	if left <= 0 {
		return result{failure: fault.New(fault.Deadline, "deadline passed before the call was sent")}
	}
	own := e.ownWork(target)
	own.Add(1)
	defer own.Add(-1)
	c := q.call
	c.Nonce, c.Incarnation, c.Deadline = nonce, p.incarnation, left
	if err := p.Send(c); err != nil {
		f := fault.New(fault.Unavailable, "call was not sent: link to the agent is down")
		return result{failure: f.WithCause(err)}
	}
	late, cancel := e.alarm(left + answerGrace)
	defer cancel()
	return e.await(ctx, q, w, p, nonce, late)
}

// await waits for the outcome of a call that was sent. After the link was
// lost it asks the same incarnation over the new one.
func (e *Entry) await(ctx context.Context, q request, w *waiting, p peerOf, nonce string, late <-chan struct{}) result {
	ask, cancel := e.cfg.Timer.Every(queryInterval)
	defer cancel()
	current, asking := p.Peer, false
	for {
		select {
		case o := <-w.outcomes:
			if r, done := concluded(o); done {
				return r
			}
			asking = true
			continue
		case <-w.links:
		case <-ask:
			if !asking && current != nil {
				continue
			}
		case <-late:
			return unknown(running, fault.Deadline, "deadline passed while the call was running")
		case <-ctx.Done():
			return unknown(running, fault.Canceled, "caller gave the call up while it was running")
		}
		now, up := e.agent(w.target)
		if !up {
			current = nil
			if q.call.Repeatable {
				return unknown(running, fault.TargetLost, "link to the agent was lost")
			}
			continue
		}
		if now.Hello().Incarnation != p.incarnation {
			return unknown(gone, fault.TargetLost, "agent incarnation that had the call has ended")
		}
		if now != current || asking {
			asking = now.Send(wire.Query{ID: q.call.ID, Nonce: nonce}) != nil || asking
			current = now
		}
	}
}

// concluded turns an outcome into a result; false while the call runs.
func concluded(o wire.Outcome) (result, bool) {
	switch o.State {
	case wire.OutcomeDone:
		return result{outcome: o}, true
	case wire.OutcomeNeverSeen:
		return result{outcome: o, failure: fault.New(fault.TargetLost, "call did not reach the agent")}, true
	case wire.OutcomeNotRun:
		return result{outcome: o, failure: fault.New(fault.Unavailable, "call was not run: "+o.Detail)}, true
	case wire.OutcomeUnknown:
		return unknown(o, fault.TargetLost, "effect of the call is not known: "+o.Detail), true
	case wire.OutcomeRunning:
	}
	return result{}, false
}

func unknown(o wire.Outcome, code fault.Code, detail string) result {
	return result{outcome: o, failure: fault.New(code, detail).WithOutcome(fault.Unknown)}
}

// alarm returns a channel that is closed when d has passed.
func (e *Entry) alarm(d time.Duration) (<-chan struct{}, func()) {
	ch := make(chan struct{})
	return ch, e.cfg.Timer.After(d, func() { close(ch) })
}

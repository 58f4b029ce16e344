package entry

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/link"
	"shallotcourse/internal/route"
	"shallotcourse/internal/steps"
	"shallotcourse/internal/wire"
)

type (
	// peers holds the links that are up, by target and by entry instance.
	peers struct {
		mu      sync.RWMutex
		agents  map[string]link.Peer
		entries map[string]link.Peer
		// last is the agent incarnation that was linked last, by target.
		last map[string]string
	}
)

func newPeers() *peers {
	return &peers{agents: map[string]link.Peer{}, entries: map[string]link.Peer{}, last: map[string]string{}}
}

// LinkUp implements link.Handler.
func (e *Entry) LinkUp(p link.Peer) {
	h := p.Hello()
	if h.Role == wire.RoleEntry {
		e.peers.mu.Lock()
		e.peers.entries[h.Instance] = p
		e.peers.mu.Unlock()
		return
	}
	e.peers.mu.Lock()
	before := e.peers.last[h.Target]
	_, up := e.peers.agents[h.Target]
	e.peers.agents[h.Target], e.peers.last[h.Target] = p, h.Incarnation
	e.peers.mu.Unlock()
	switch {
	case before != "" && before != h.Incarnation:
		e.open.broadcast(steps.LinkLost{Target: h.Target})
		e.calls.linkChanged(h.Target)
	case !up:
		e.open.broadcast(steps.Relinked{Target: h.Target})
		e.calls.linkChanged(h.Target)
	}
}

// LinkDown implements link.Handler. The link may come back to the same
// incarnation; until then its targets get no new work.
func (e *Entry) LinkDown(p link.Peer, reason error) {
	h := p.Hello()
	if h.Role == wire.RoleEntry {
		e.peers.mu.Lock()
		if e.peers.entries[h.Instance] == p {
			delete(e.peers.entries, h.Instance)
		}
		e.peers.mu.Unlock()
		return
	}
	e.peers.mu.Lock()
	now, up := e.peers.agents[h.Target]
	if now == p {
		delete(e.peers.agents, h.Target)
	}
	e.peers.mu.Unlock()
	switch {
	case up && now != p && now.Hello().Incarnation == h.Incarnation:
		// Messages may have been lost with the older of two links.
		e.open.broadcast(steps.Relinked{Target: h.Target})
		e.calls.linkChanged(h.Target)
		return
	case now != p:
		return
	}
	_ = level.Info(e.cfg.Log).Log("msg", "link down", "target", h.Target, "reason", reason)
	e.view.Update(func(v route.View) (route.View, bool) { return v.WithoutLoad(h.Target), true })
	e.calls.linkChanged(h.Target)
	e.cfg.Timer.After(e.relinkTime(reason), func() {
		if p, ok := e.agent(h.Target); !ok || p.Hello().Incarnation != h.Incarnation {
			e.open.broadcast(steps.LinkLost{Target: h.Target})
		}
	})
}

// relinkTime returns how long a lost link may take to come back. A connection
// that was reset mostly means that the process has ended, while a silent one
// may lead to a live process.
func (e *Entry) relinkTime(reason error) time.Duration {
	if fault.Is(reason, fault.Unavailable) {
		return e.bounds.Relink * 2 / 5
	}
	return e.bounds.Relink
}

// Receive implements link.Handler. Messages of other parts are ignored.
func (e *Entry) Receive(p link.Peer, m wire.Message) {
	target := p.Hello().Target
	switch m := m.(type) {
	case wire.Token:
		if !e.open.post(m.Request, steps.Received{Target: target, Message: m}) {
			// The message that freed the stage was lost with a link.
			_ = p.Send(wire.Stale{Request: m.Request, Rejected: m.Attempt})
		}
	case wire.Opened:
		e.open.post(m.Request, steps.Received{Target: target, Message: m})
	case wire.Refused:
		e.open.post(m.Request, steps.Received{Target: target, Message: m})
	case wire.StageFailed:
		e.open.post(m.Request, steps.Received{Target: target, Message: m})
	case wire.Stale:
		e.open.post(m.Request, steps.Received{Target: target, Message: m})
	case wire.Outcome:
		e.calls.deliver(m)
	case wire.Load:
		e.load(m)
	case wire.Leaving:
		e.view.Update(func(v route.View) (route.View, bool) { return v.WithLeaving(m.Target), true })
	case wire.QuotaRequest:
		e.admit.quotaRequest(p, m)
	case wire.QuotaGrant:
		e.admit.quotaGrant(m)
	}
}

// agent returns the link to a target's agent.
func (e *Entry) agent(target string) (link.Peer, bool) {
	e.peers.mu.RLock()
	defer e.peers.mu.RUnlock()
	p, ok := e.peers.agents[target]
	return p, ok
}

// send sends a message to the agent of a target.
func (e *Entry) send(target string, m wire.Message) error {
	p, ok := e.agent(target)
	if !ok {
		return fault.Newf(fault.Unavailable, "no link to the agent of %s", target)
	}
	return p.Send(m)
}

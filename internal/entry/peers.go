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
		// lastIncarnation is the agent incarnation that was linked last, by
		// target.
		lastIncarnation map[string]string
	}
)

func newPeers() *peers {
	return &peers{agents: map[string]link.Peer{}, entries: map[string]link.Peer{}, lastIncarnation: map[string]string{}}
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
	previous := e.peers.lastIncarnation[h.Target]
	_, up := e.peers.agents[h.Target]
	e.peers.agents[h.Target], e.peers.lastIncarnation[h.Target] = p, h.Incarnation
	e.peers.mu.Unlock()
	switch {
	case previous != "" && previous != h.Incarnation:
		e.requests.broadcast(steps.LinkLost{Target: h.Target})
		e.waiters.linkChanged(h.Target)
	case !up:
		e.requests.broadcast(steps.Relinked{Target: h.Target})
		e.waiters.linkChanged(h.Target)
	}
}

// LinkDown implements link.Handler. The link to the same incarnation may come
// back; until then its target gets no new work.
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
	current, up := e.peers.agents[h.Target]
	if current == p {
		delete(e.peers.agents, h.Target)
	}
	e.peers.mu.Unlock()
	switch {
	case up && current != p && current.Hello().Incarnation == h.Incarnation:
		// Messages may have been lost with the older of two links.
		e.requests.broadcast(steps.Relinked{Target: h.Target})
		e.waiters.linkChanged(h.Target)
		return
	case current != p:
		return
	}
	_ = level.Info(e.cfg.Log).Log("msg", "link down", "target", h.Target, "reason", reason)
	e.view.Update(func(v route.View) (route.View, bool) { return v.WithoutLoad(h.Target), true })
	e.waiters.linkChanged(h.Target)
	e.cfg.Timer.After(e.relinkTime(reason), func() {
		if p, ok := e.agentLink(h.Target); !ok || p.Hello().Incarnation != h.Incarnation {
			e.requests.broadcast(steps.LinkLost{Target: h.Target})
		}
	})
}

// relinkTime returns how long a link may be down before its target counts as
// lost. After a connection reset the process has usually ended. If the link was
// closed because it was silent, the process may still be running, so the time is
// longer.
func (e *Entry) relinkTime(reason error) time.Duration {
	if fault.Is(reason, fault.Unavailable) {
		return e.bounds.Relink * 2 / 5
	}
	return e.bounds.Relink
}

// Receive implements link.Handler. Messages that are not meant for an entry are
// ignored.
func (e *Entry) Receive(p link.Peer, m wire.Message) {
	target := p.Hello().Target
	switch m := m.(type) {
	case wire.Token:
		if !e.requests.post(m.Request, steps.MessageReceived{Target: target, Message: m}) {
			// The message that released the stage was lost with a link.
			_ = p.Send(wire.Stale{Request: m.Request, Rejected: m.Attempt})
		}
	case wire.Opened:
		e.requests.post(m.Request, steps.MessageReceived{Target: target, Message: m})
	case wire.Refused:
		e.requests.post(m.Request, steps.MessageReceived{Target: target, Message: m})
	case wire.StageFailed:
		e.requests.post(m.Request, steps.MessageReceived{Target: target, Message: m})
	case wire.Stale:
		e.requests.post(m.Request, steps.MessageReceived{Target: target, Message: m})
	case wire.Outcome:
		e.waiters.deliver(m)
	case wire.Load:
		e.applyLoad(m)
	case wire.Leaving:
		e.view.Update(func(v route.View) (route.View, bool) { return v.WithLeaving(m.Target), true })
	case wire.QuotaRequest:
		e.admission.handleQuotaRequest(p, m)
	case wire.QuotaGrant:
		e.admission.handleQuotaGrant(m)
	}
}

// agentLink returns the link to the agent of a target, if it is up.
func (e *Entry) agentLink(target string) (link.Peer, bool) {
	e.peers.mu.RLock()
	defer e.peers.mu.RUnlock()
	p, ok := e.peers.agents[target]
	return p, ok
}

// send sends a message to the agent of a target.
func (e *Entry) send(target string, m wire.Message) error {
	p, ok := e.agentLink(target)
	if !ok {
		return fault.Newf(fault.Unavailable, "no link to the agent of %s", target)
	}
	return p.Send(m)
}

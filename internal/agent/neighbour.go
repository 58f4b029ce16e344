package agent

import (
	"github.com/go-kit/log/level"

	"shallotcourse/internal/steps"
	"shallotcourse/internal/wire"
)

// successor returns the next stage; that of the last stage is the first. A
// chain of one stage has none.
func successor(x *steps.Session) (wire.Stage, bool) {
	chain := x.Chain()
	if len(chain) < 2 {
		return wire.Stage{}, false
	}
	return chain[(x.Index()+1)%len(chain)], true
}

// dial asks for the link to the next stage of the current attempt.
func (s *session) dial() {
	next, ok := successor(s.machine)
	if s.freed || !ok || next.Address == s.next {
		return
	}
	s.agent.dials.acquire(next.Address)
	if s.next != "" {
		s.agent.dials.release(s.next)
	}
	s.next = next.Address
}

// toEntry sends to the entry if it is linked. What is lost is repeated after
// a redial: the entry repeats Open, and asks for tokens by Resync.
func (s *session) toEntry(m wire.Message) {
	if p, ok := s.agent.entry(s.entry); ok {
		_ = p.Send(m)
	}
}

// toSuccessor sends to the next stage. What is lost stays in the output log
// and is sent again when the link is back.
func (s *session) toSuccessor(m wire.Message) {
	next, ok := successor(s.machine)
	if !ok {
		return
	}
	p, ok := s.agent.cfg.Dialer.Peer(next.Address)
	if ok && p.Send(m) == nil {
		return
	}
	s.watchSuccessor()
}

// watchSuccessor reports the next stage unless its link is back in time.
func (s *session) watchSuccessor() {
	if s.cancelLost != nil {
		return
	}
	attempt := s.machine.Attempt()
	s.cancelLost = s.agent.cfg.Timer.After(s.agent.cfg.Times.Neighbour, func() {
		s.apply(nil, func(x *steps.Session) []steps.Decision {
			s.cancelLost = nil
			next, ok := successor(x)
			if !ok || x.Attempt() != attempt {
				return nil
			}
			if _, up := s.agent.cfg.Dialer.Peer(next.Address); up {
				// The link came back before LinkUp was handled here.
				return x.SuccessorUp()
			}
			return x.SuccessorLost("stage cannot be reached from the stage before")
		})
	})
}

func (s *session) successorUp(address string) {
	s.apply(nil, func(x *steps.Session) []steps.Decision {
		if next, ok := successor(x); !ok || next.Address != address {
			return nil
		}
		s.stopLost()
		return x.SuccessorUp()
	})
}

func (s *session) successorDown(address string) {
	s.apply(nil, func(x *steps.Session) []steps.Decision {
		if next, ok := successor(x); ok && next.Address == address {
			s.watchSuccessor()
		}
		return nil
	})
}

// entryUp rebinds the session to the new link of its entry. The entry may have
// noticed the loss of the old link earlier, and what it asked for then was
// still sent on the old one.
func (s *session) entryUp(incarnation string) {
	s.apply(nil, func(x *steps.Session) []steps.Decision {
		if s.entry != incarnation {
			return nil
		}
		s.stopOrphan()
		return x.EntryUp()
	})
}

// entryDown frees the session unless its entry comes back in time.
func (s *session) entryDown(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entry == incarnation {
		s.startOrphan()
	}
}

func (s *session) startOrphan() {
	if s.freed || s.cancelOrphan != nil {
		return
	}
	incarnation := s.entry
	s.cancelOrphan = s.agent.cfg.Timer.After(s.agent.cfg.Times.Orphan, func() {
		if _, up := s.agent.entry(incarnation); !up {
			s.end()
		}
	})
}

func (s *session) stopOrphan() {
	if s.cancelOrphan != nil {
		s.cancelOrphan()
		s.cancelOrphan = nil
	}
}

func (s *session) stopLost() {
	if s.cancelLost != nil {
		s.cancelLost()
		s.cancelLost = nil
	}
}

func (a *Agent) logStageFailed(m wire.StageFailed) {
	_ = level.Warn(a.cfg.Logger).Log("msg", "stage failed", "target", a.cfg.Target,
		"request", m.Request, "attempt", m.Attempt, "stage", m.Index, "detail", m.Detail)
}

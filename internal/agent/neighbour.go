package agent

import (
	"github.com/go-kit/log/level"

	"shallotcourse/internal/steps"
	"shallotcourse/internal/wire"
)

// successor returns the next stage of the chain. The successor of the last
// stage is the first one; a chain of one stage has none.
func successor(sm *steps.Session) (wire.Stage, bool) {
	chain := sm.Chain()
	if len(chain) < 2 {
		return wire.Stage{}, false
	}
	return chain[(sm.Index()+1)%len(chain)], true
}

// updateSuccessorLink requests a link to the next stage of the current
// attempt, and releases the link to the previous one.
func (s *session) updateSuccessorLink() {
	next, ok := successor(s.machine)
	if s.closed || !ok || next.Address == s.successorAddress {
		return
	}
	s.agent.links.acquire(next.Address)
	if s.successorAddress != "" {
		s.agent.links.release(s.successorAddress)
	}
	s.successorAddress = next.Address
}

// sendToEntry sends to the entry if it is linked. A lost message is recovered
// after the entry has redialled: the entry sends Open again, and requests
// missing tokens by Resync.
func (s *session) sendToEntry(m wire.Message) {
	if p, ok := s.agent.entryPeer(s.entry); ok {
		_ = p.Send(m)
	}
}

// sendToSuccessor sends to the next stage. A lost message stays in the output
// log and is sent again when the link is back.
func (s *session) sendToSuccessor(m wire.Message) {
	next, ok := successor(s.machine)
	if !ok {
		return
	}
	p, ok := s.agent.cfg.Dialer.Peer(next.Address)
	if ok && p.Send(m) == nil {
		return
	}
	s.startSuccessorTimer()
}

// startSuccessorTimer reports the next stage as failed unless its link is
// back within Times.Neighbour.
func (s *session) startSuccessorTimer() {
	if s.cancelSuccessorTimer != nil {
		return
	}
	attempt := s.machine.Attempt()
	s.cancelSuccessorTimer = s.agent.cfg.Timer.After(s.agent.cfg.Times.Neighbour, func() {
		s.apply(nil, func(sm *steps.Session) []steps.Decision {
			s.cancelSuccessorTimer = nil
			next, ok := successor(sm)
			if !ok || sm.Attempt() != attempt {
				return nil
			}
			if _, up := s.agent.cfg.Dialer.Peer(next.Address); up {
				// The link was re-established before LinkUp was handled here.
				return sm.SuccessorRelinked()
			}
			return sm.SuccessorLost("stage is unreachable from the previous stage")
		})
	})
}

func (s *session) successorLinkUp(address string) {
	s.apply(nil, func(sm *steps.Session) []steps.Decision {
		if next, ok := successor(sm); !ok || next.Address != address {
			return nil
		}
		s.stopSuccessorTimer()
		return sm.SuccessorRelinked()
	})
}

func (s *session) successorLinkDown(address string) {
	s.apply(nil, func(sm *steps.Session) []steps.Decision {
		if next, ok := successor(sm); ok && next.Address == address {
			s.startSuccessorTimer()
		}
		return nil
	})
}

// entryLinkUp moves the session to the new link of its entry. The entry may
// have noticed the loss of the old link before the agent did; what the agent
// sent in reply since then went to the old link.
func (s *session) entryLinkUp(incarnation string) {
	s.apply(nil, func(sm *steps.Session) []steps.Decision {
		if s.entry != incarnation {
			return nil
		}
		s.stopOrphanTimer()
		return sm.EntryRelinked()
	})
}

// entryLinkDown ends the session unless its entry is linked again within
// Times.Orphan.
func (s *session) entryLinkDown(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entry == incarnation {
		s.startOrphanTimer()
	}
}

func (s *session) startOrphanTimer() {
	if s.closed || s.cancelOrphanTimer != nil {
		return
	}
	incarnation := s.entry
	s.cancelOrphanTimer = s.agent.cfg.Timer.After(s.agent.cfg.Times.Orphan, func() {
		if _, up := s.agent.entryPeer(incarnation); !up {
			s.end()
		}
	})
}

func (s *session) stopOrphanTimer() {
	if s.cancelOrphanTimer != nil {
		s.cancelOrphanTimer()
		s.cancelOrphanTimer = nil
	}
}

func (s *session) stopSuccessorTimer() {
	if s.cancelSuccessorTimer != nil {
		s.cancelSuccessorTimer()
		s.cancelSuccessorTimer = nil
	}
}

func (a *Agent) logStageFailed(m wire.StageFailed) {
	_ = level.Warn(a.cfg.Logger).Log("msg", "stage failed", "target", a.cfg.Target,
		"request", m.Request, "attempt", m.Attempt, "stage", m.Index, "detail", m.Detail)
}

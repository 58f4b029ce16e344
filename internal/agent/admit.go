package agent

import (
	"slices"

	"shallotcourse/internal/link"
	"shallotcourse/internal/wire"
)

// handleOpen admits a new session or continues an existing one. An existing
// session may always continue, even on a target that is leaving.
func (a *Agent) handleOpen(p link.Peer, m wire.Open) {
	for {
		s, reason := a.admitSession(p, m)
		if reason != "" {
			_ = p.Send(wire.Refused{Request: m.Request, Attempt: m.Attempt, Index: m.Index, Reason: reason})
			return
		}
		if s.open(p, m) {
			return
		}
		// The session was closed meanwhile, so a new one is admitted.
	}
}

// admitSession returns the session of a request, which it creates if
// necessary, or the reason why the request is refused.
func (a *Agent) admitSession(p link.Peer, m wire.Open) (*session, wire.RefuseReason) {
	draining := a.draining()
	a.mu.Lock()
	defer a.mu.Unlock()
	if s, ok := a.sessions[m.Request]; ok {
		return s, ""
	}
	if m.Index < 0 || m.Index >= len(m.Chain) || a.cfg.Engine == nil {
		return nil, wire.RefusedNotLoaded
	}
	switch {
	case a.leaving || draining:
		return nil, wire.RefusedLeaving
	case !a.ready || a.engineState.Version != m.Version || a.engineState.Layers != m.Chain[m.Index].Layers:
		return nil, wire.RefusedNotLoaded
	case m.Adapter != "" && !slices.Contains(a.engineState.Adapters, m.Adapter):
		return nil, wire.RefusedNotLoaded
	case !a.health.allowsWork(a.cfg.Timer.Now()):
		return nil, wire.RefusedEngine
	case len(a.sessions)+a.calls >= a.sessionLimit(m):
		return nil, wire.RefusedFull
	}
	s := newSession(a, m.Request, p.Hello().Incarnation)
	a.sessions[m.Request] = s
	return s, ""
}

// sessionLimit returns the limit that applies to a request. A request that
// resumes after the loss of a stage may exceed the adaptive limit, because
// refusing it would waste the work of all its stages.
func (a *Agent) sessionLimit(m wire.Open) int {
	if m.Resume {
		return a.cfg.Limits.Sessions.Max
	}
	return a.limit
}

// admitCall counts a call as running, or returns the reason why it is
// refused.
func (a *Agent) admitCall() wire.RefuseReason {
	draining := a.draining()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.cfg.Service == nil:
		return wire.RefusedNotLoaded
	case a.leaving || draining:
		return wire.RefusedLeaving
	case !a.health.allowsWork(a.cfg.Timer.Now()):
		return wire.RefusedEngine
	case len(a.sessions)+a.calls >= a.limit:
		return wire.RefusedFull
	}
	a.calls++
	return ""
}

func (a *Agent) callEnded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls--
}

// removeSession removes a closed session from the map, unless a newer one has
// replaced it.
func (a *Agent) removeSession(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.request] == s {
		delete(a.sessions, s.request)
	}
}

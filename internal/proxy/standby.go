package proxy

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/topo"
)

// streamRun is one run of a stream, which has been sent along a path. While the
// current run is silent, a second one may stand by: silence does not prove that a
// target has failed, and the other target may refuse the request. The run that sends
// something first is kept.
type streamRun struct {
	hops     []chain.Hop
	upstream *upstream
	ticket   *ledger.Ticket
	sentAt   time.Time
	// head and received are what the target has sent while the run stood by. The
	// last event is the only one that is more than a comment.
	head     *eventStream
	received []event
	// answers is true once the standby has sent more than comments, or the end of a
	// complete response.
	answers bool
	// again is true if the target had run the request before.
	again bool
}

// startRun sends the request along hops, unless one of the targets has left or takes no
// work any more since the path was chosen.
func (s *stream) startRun(hops []chain.Hop) (*streamRun, *fault.Error) {
	if err := s.mayReach(targetsOf(hops)); err != nil {
		s.noteUnsent(hops[0].Target, err)
		return nil, err
	}
	s.sendCount++
	again := s.hasRunAt(hops[0].Target)
	if !again {
		s.possibleRunners = append(s.possibleRunners, hops[0].Target)
	}
	s.pathLog += " " + pathText(hops)
	s.noteStreamCrossing(hops)
	return &streamRun{
		hops: hops, again: again, upstream: s.startUpstream(hops), sentAt: s.Clock.Now(),
		ticket: s.Ledger.Open(s.tokens, promptTokens(s.headers, s.service.Model), hops),
	}, nil
}

// endOf ends a run, if it has not ended yet.
func (s *stream) endOf(r *streamRun) {
	r.upstream.cancel()
	r.ticket.Close()
	for _, ev := range r.received {
		s.releaseEvent(ev)
	}
	r.received = nil
}

// complete reports whether the response, whose events have ended, is complete.
func (r *streamRun) complete() bool {
	failure := <-r.upstream.end
	r.upstream.end <- failure
	return failure == nil && !r.head.unframed
}

// startStandby starts a second run elsewhere because of the failure that a silence
// suggests. It does nothing if the request may not run on one more target, or if none
// takes it now.
func (s *stream) startStandby(failure *fault.Error) {
	if s.standby != nil || s.sendCount >= maxSends+maxResumes || s.Prompts.Held(s.headers.PromptParts) != nil {
		return
	}
	defer s.excludeCurrent()()
	if !s.mayContinue(failure) {
		return
	}
	hops, err := s.choosePath(s.begun)
	if err != nil || !s.Retries.Take(s.service.Name) || !s.Limits.Take(hops[0].Target) {
		return
	}
	_ = level.Info(s.Log).Log("event", "StandbyStarted", "request", s.headers.ID, "lastEvent", s.lastEvent, "path", pathText(hops), "cause", failure)
	if r, err := s.startRun(hops); err == nil {
		s.standby = r
	}
}

// excludeCurrent excludes the first target of the current run from paths until
// restore is called.
func (s *stream) excludeCurrent() (restore func()) {
	first := s.hops[0].Target.ID
	if s.excluded[first] {
		return func() {}
	}
	s.excluded[first] = true
	return func() { delete(s.excluded, first) }
}

// standbyHead returns the channel on which the head of the standby's response
// arrives; nil if none is to arrive.
func (s *stream) standbyHead() <-chan responseHead {
	if s.standby == nil || s.standby.head != nil {
		return nil
	}
	return s.standby.upstream.head
}

// standbyEvents returns the channel on which the standby's events arrive; nil before
// its head.
func (s *stream) standbyEvents() <-chan event {
	if s.standby == nil || s.standby.head == nil {
		return nil
	}
	return s.standby.upstream.events
}

// receiveStandbyHead records the head of the standby's response, and ends the standby
// if no events follow.
func (s *stream) receiveStandbyHead(h responseHead) {
	target := s.standby.hops[0].Target
	switch h := h.(type) {
	case eventStream:
		s.standby.head = &h
		return
	case refusedRequest:
		_ = s.noteRefusal(s.standby.hops, h.err)
		if h.err.Outcome == fault.NotRun {
			s.removeRunner(s.standby)
		} else {
			s.youngLosses[target.ID] = true
		}
	case brokenResponse, wholeResponse:
		s.excluded[target.ID], s.youngLosses[target.ID] = true, true
	}
	s.endStandby("it was not accepted")
}

// receiveStandbyEvent records an event of the standby, and reports whether the
// request goes on with it. ok is false at the end of the response, which comes too
// early unless the caller has all events.
func (s *stream) receiveStandbyEvent(ev event, ok bool) bool {
	if ok && len(s.standby.received) < eventQueueLength {
		s.standby.received = append(s.standby.received, ev)
		s.standby.answers = !ev.comment
		return s.standby.answers
	}
	if !ok && s.standby.complete() {
		s.standby.answers = true
		return true
	}
	if ok {
		s.releaseEvent(ev)
	}
	target := s.standby.hops[0].Target
	s.excluded[target.ID], s.youngLosses[target.ID] = true, true
	s.probeBroken(target, fault.New(fault.TargetLost, "the response of the standby ended before an event"))
	s.endStandby("it sent no event")
	return false
}

// endStandby ends the standby, if there is one.
func (s *stream) endStandby(why string) {
	if s.standby == nil {
		return
	}
	_ = level.Info(s.Log).Log("event", "StandbyEnded", "request", s.headers.ID, "target", s.standby.hops[0].Target.ID, "why", why)
	s.endOf(s.standby)
	s.standby = nil
}

// removeRunner removes the target of a run that was refused from those that may run
// the request, unless it had run it before.
func (s *stream) removeRunner(r *streamRun) {
	if r.again {
		return
	}
	t := r.hops[0].Target
	s.possibleRunners = slices.DeleteFunc(s.possibleRunners, func(o topo.Target) bool { return o.ID == t.ID && o.Started == t.Started })
}

// hasRunAt reports whether a target is among those that may have run the request.
func (s *stream) hasRunAt(t topo.Target) bool {
	return slices.ContainsFunc(s.possibleRunners, func(o topo.Target) bool { return o.ID == t.ID && o.Started == t.Started })
}

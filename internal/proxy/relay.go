package proxy

import (
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

const (
	// firstEventSilence is the silence before the first event after which the
	// first target is polled to find out whether the request is stalled.
	firstEventSilence = 300 * time.Millisecond
	// eventSilence is the corresponding silence between two events.
	eventSilence = 180 * time.Millisecond
	// suspectedSilence is the silence after which a stream leaves a target that
	// another gateway or request has marked as suspected.
	suspectedSilence = 120 * time.Millisecond
	// callerObjectives and callerPauses are the multiples of a route's objective
	// and pause that callers wait for the next event, and silenceMargin the time
	// after which they have certainly left.
	callerObjectives = 4
	callerPauses     = 8
	silenceMargin    = 500 * time.Millisecond
)

// relay forwards the response and reacts to silence, suspicions and timeouts.
func (s *stream) relay(r *streamRun) *fault.Error {
	u := r.upstream
	silence := timer.New(s.Clock, firstEventSilence)
	defer silence.Stop()
	deadline := timer.New(s.Clock, s.remaining())
	defer deadline.Stop()
	heads, events := u.head, (chan event)(nil)
	s.lastEventAt = s.Clock.Now()
	suspicions, holds := s.Ledger.Changed(), s.Prompts.Changed()
	unframed := false
	if r.head != nil {
		s.begun, s.head, unframed = true, *r.head, r.head.unframed
		heads, events = nil, u.events
	}
	for len(r.received) > 0 {
		ev := r.received[0]
		r.received = r.received[1:]
		if _, err := s.receiveEvent(ev, nil); err != nil {
			return err
		}
	}
	for {
		select {
		case h := <-heads:
			switch h := h.(type) {
			case refusedRequest:
				return s.noteRefusal(s.hops, h.err)
			case brokenResponse:
				return h.err
			case wholeResponse:
				return s.passOn(h.response)
			case eventStream:
				s.begun, s.head = true, h
				unframed = h.unframed
			}
			heads, events = nil, u.events
		case ev, ok := <-events:
			if !ok {
				return s.endRun(<-u.end, unframed)
			}
			progress, err := s.receiveEvent(ev, events)
			if err != nil {
				return err
			}
			if progress {
				silence.Reset(eventSilence)
			}
		case <-silence.C:
			if silent := s.Clock.Now().Sub(s.lastEventAt); s.events > 0 && silent > s.maxSilence() {
				return s.noteEnd(fault.Newf(fault.TargetLost, "no event for %s", silent.Round(time.Millisecond)).WithOutcome(fault.Partial))
			}
			if s.standby != nil {
				silence.Reset(eventSilence)
				continue
			}
			wait, failure := s.handleSilence()
			if failure != nil && failure.Code == fault.Held {
				return failure
			}
			if failure != nil {
				s.startStandby(failure)
				wait = eventSilence
			}
			silence.Reset(wait)
		case h := <-s.standbyHead():
			s.receiveStandbyHead(h)
		case ev, ok := <-s.standbyEvents():
			if s.receiveStandbyEvent(ev, ok) {
				return fault.New(fault.TargetLost, "another target answers while this one is silent").WithOutcome(s.outcome())
			}
		case <-suspicions:
			suspicions = s.Ledger.Changed()
			if s.pathSuspected() {
				silence.Reset(max(time.Millisecond, suspectedSilence-s.Clock.Now().Sub(s.lastEventAt)))
			}
		case <-holds:
			holds = s.Prompts.Changed()
			// A request that has begun to be answered proves the hold wrong or right.
			if h := s.Prompts.Held(s.headers.PromptParts); h != nil && s.beganAt.IsZero() {
				return s.heldError(h).WithOutcome(s.outcome())
			}
		case <-deadline.C:
			return fault.New(fault.Deadline, "the stream did not end before the deadline of the route or the caller").WithOutcome(s.outcome())
		case <-s.r.Context().Done():
			return fault.New(fault.Canceled, "the caller disconnected").WithOutcome(s.outcome())
		case <-s.abortCtx.Done():
			return fault.New(fault.Leaving, "the gateway stopped before the stream ended").WithOutcome(s.outcome())
		}
	}
}

// receiveEvent writes an event, and those that are queued behind it, to the caller. It
// reports whether one of them is more than a comment.
func (s *stream) receiveEvent(ev event, more <-chan event) (progress bool, failure *fault.Error) {
	progress, failure = s.writeEvents(ev, more)
	if failure != nil || !progress {
		return progress, failure
	}
	now := s.Clock.Now()
	if s.events > 1 && s.route.Pause > 0 && now.Sub(s.lastEventAt) > s.route.Pause {
		s.Ledger.CountLatePause()
	}
	s.lastEventAt = now
	s.endStandby("the current target goes on")
	s.noteProgress(now)
	return true, nil
}

// maxSilence is the silence after the first event from which a target that is not
// known to fail is left all the same. Targets hold a stream that waits for
// another one for StallLimit, and callers leave after a multiple of the objective
// or of the usual pause.
func (s *stream) maxSilence() time.Duration {
	return max(s.Settings.StallLimit, callerObjectives*s.route.Objective, callerPauses*s.route.Pause) + silenceMargin
}

// outcome returns what is certain about the outcome of a request that was sent.
func (s *stream) outcome() fault.Outcome {
	if s.headWritten {
		return fault.Partial
	}
	return fault.Unknown
}

// writeHead writes the status and headers of the response, once.
func (s *stream) writeHead() {
	if s.headWritten {
		return
	}
	copyHeaders(s.w.Header(), s.head.header)
	s.headWritten = true
	s.w.WriteHeader(s.head.status)
}

// endRun returns the failure of a run whose response has ended, or nil if the
// response is complete. One that ends with its connection before the first event has
// been broken off.
func (s *stream) endRun(failure *fault.Error, unframed bool) *fault.Error {
	if failure == nil && unframed && s.beganAt.IsZero() {
		failure = fault.New(fault.TargetLost, "the target's connection ended before the first event")
	}
	if failure != nil {
		return s.noteEnd(failure.WithOutcome(s.outcome()))
	}
	s.writeHead()
	// The server writes the end of the response when the handler returns.
	s.writer.Extend()
	s.noteComplete(unframed)
	return nil
}

// writeEvents writes an event and all that are queued behind it. It reports
// whether one of them is more than a comment.
func (s *stream) writeEvents(ev event, more <-chan event) (progress bool, failure *fault.Error) {
	s.writeHead()
	for {
		_, err := s.w.Write(ev.raw)
		s.releaseEvent(ev)
		if err != nil {
			return progress, fault.New(fault.Canceled, "writing to the caller failed").WithOutcome(fault.Partial).WithCause(err)
		}
		if !ev.comment {
			progress = true
			s.events++
		}
		if ev.id != "" {
			s.lastEvent = ev.id
		}
		select {
		case next, ok := <-more:
			if ok {
				ev = next
				continue
			}
		default:
		}
		break
	}
	if progress {
		s.noteFirstEvent()
	}
	if err := s.control.Flush(); err != nil {
		return progress, fault.New(fault.Canceled, "writing to the caller failed").WithOutcome(fault.Partial).WithCause(err)
	}
	return progress, nil
}

// noteFirstEvent records that the prompt has been read.
func (s *stream) noteFirstEvent() {
	if s.firstByte.IsZero() {
		s.firstByte = s.Clock.Now()
	}
	if s.beganAt.IsZero() {
		s.beganAt = s.Clock.Now()
	}
	s.ticket.PromptRead()
}

package proxy

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// repathSilence is the silence allowed after a change of path, during which
	// the new targets process the tokens so far.
	repathSilence = 600 * time.Millisecond
	// maxRepaths is the maximum number of path changes of one stream.
	maxRepaths = 8
	// maxResumes is the maximum number of targets at which one stream is
	// resumed.
	maxResumes = 3
	// minRuns is the number of targets that may run a stream although all but the
	// last have ended before it had survived there.
	minRuns = 2
	// retryWaitShare is the part of Settings.StallLimit that a stream waits for
	// the retry budget; callers give up after a pause of about that limit.
	retryWaitShare = 0.6
	// eventQueueLength is the number of events that are buffered while the
	// caller is slow to read.
	eventQueueLength = 16
)

type (
	// stream is the state of a request whose response is a model's event
	// stream.
	stream struct {
		*request
		// tokens is the expected memory use at the end of the request, in
		// tokens.
		tokens int
		ticket *ledger.Ticket
		hops   []chain.Hop
		// sentAt is when the request was last sent to a first target. beganAt is
		// when that target's first event arrived; zero before.
		sentAt, beganAt time.Time
		// lastEventAt is when the last event arrived, or the current run began.
		lastEventAt time.Time
		// survived is true once the target has answered for so long, or to the end,
		// that it will not end under this request.
		survived bool
		// standby is the second run, while the current one is silent; nil otherwise.
		standby *streamRun
		// endRunning ends the record that the target goes on answering; nil before it.
		endRunning func()
		// youngLosses holds the IDs of first targets that broke the request off
		// before it had survived there.
		youngLosses map[string]bool
		// excluded holds the IDs of targets that refused or stalled this
		// request, or whose stream broke off.
		excluded map[string]bool
		// begun is true once a target has sent the head of its response. head is the
		// last such head until it is written to the caller, together with the first
		// event; headWritten is true from then on.
		begun       bool
		head        eventStream
		headWritten bool
		// lastEvent is the ID of the last event written to the caller, or at
		// first the one that the caller has asked to resume after.
		lastEvent string
		events    int
		repaths   int
		// possibleRunners holds the first targets that may have run the
		// request.
		possibleRunners []topo.Target
		control         *http.ResponseController
	}

	// upstream is one request of a stream, sent to the first target of a path.
	// Its goroutine is the only reader of the response's body.
	upstream struct {
		cancel context.CancelFunc
		head   chan responseHead
		// events and end are used only after an eventStream head. end receives the
		// error that ended the stream, or nil, after the last event.
		events chan event
		end    chan *fault.Error
	}

	// responseHead is what a target has answered: an eventStream, a wholeResponse,
	// a brokenResponse or a refusedRequest. It carries no unread body.
	responseHead interface{ isResponseHead() }

	// eventStream is the head of a stream whose events follow.
	eventStream struct {
		status int
		header http.Header
		// unframed is true if the answer has neither a length nor chunks, so that
		// it ends with its connection.
		unframed bool
	}

	// wholeResponse is a response that is not a stream, with its body.
	wholeResponse struct{ response *response }

	// brokenResponse is a response that is not a stream and cannot be passed on.
	brokenResponse struct{ err *fault.Error }

	// refusedRequest is a refusal, or a failure before the head was read.
	refusedRequest struct{ err *fault.Error }
)

func (eventStream) isResponseHead()    {}
func (wholeResponse) isResponseHead()  {}
func (brokenResponse) isResponseHead() {}
func (refusedRequest) isResponseHead() {}

// newStream returns the state of a new stream, and counts its arrival.
func newStream(q *request) *stream {
	s := &stream{
		request: q, excluded: map[string]bool{}, youngLosses: map[string]bool{}, lastEvent: q.headers.LastEvent, control: http.NewResponseController(q.w),
		tokens: expectedTokens(q.headers, q.service.Model),
	}
	s.Sched.Arrived(q.service.Name, s.need())
	return s
}

// serveStream answers a request to a model. If a target fails, it resumes the
// stream at another one.
func (q *request) serveStream() {
	s := newStream(q)
	defer s.endStandby("the request has ended")
	var last *fault.Error
	for {
		next, err := s.nextRun()
		if err != nil {
			s.fail(lessCertain(last, err))
			return
		}
		failure := s.run(next)
		if failure == nil {
			q.recordOutcome(http.StatusOK, "Answered", nil)
			return
		}
		last = lessCertain(last, failure)
		if !s.goesOn(failure) {
			s.fail(last)
			return
		}
		_ = level.Info(q.Log).Log("event", "StreamResumes", "request", q.headers.ID, "lastEvent", s.lastEvent,
			"events", s.events, "sends", s.sendCount, "prompt", promptText(q.headers.PromptParts), "cause", failure)
	}
}

// nextRun returns the standby, or starts a run on a new path for which it waits.
func (s *stream) nextRun() (*streamRun, *fault.Error) {
	if r := s.standby; r != nil {
		s.standby = nil
		return r, nil
	}
	for {
		if h := s.Prompts.Check(s.headers.PromptParts); h != nil {
			return nil, s.heldError(h)
		}
		if err := s.awaitList(s.listWait()); err != nil {
			return nil, err
		}
		hops, err := s.findPath()
		if err != nil {
			return nil, err
		}
		if s.sendCount > 0 && !s.takeRetry() {
			return nil, fault.New(fault.Overloaded, "the retry budget of the service is exhausted")
		}
		if h := s.Prompts.Held(s.headers.PromptParts); h != nil {
			// The hold is newer than the check above, which came before the waits.
			return nil, s.heldError(h)
		}
		if err := s.beginRun(); err != nil {
			return nil, err
		}
		if r, err := s.startRun(hops); err == nil {
			if s.sendCount == 1 {
				s.Sched.Started(s.service.Name, s.need())
			}
			return r, nil
		}
	}
}

// takeRetry takes a retry from the service's budget. It waits for one, because
// the many streams that lose the same target share the free part of the budget,
// which is divided among the gateways every half second.
func (s *stream) takeRetry() bool {
	for until := s.Clock.Now().Add(s.retryWait()); ; {
		if s.Retries.Take(s.service.Name) {
			return true
		}
		if s.abortCtx.Err() != nil || !s.Clock.Now().Before(until) || timer.Sleep(s.r.Context(), s.Clock, capacityPollInterval) != nil {
			return false
		}
	}
}

// retryWait is how long a stream that has begun waits for what it needs to go on.
func (s *stream) retryWait() time.Duration {
	return time.Duration(retryWaitShare * float64(s.Settings.StallLimit))
}

// listWait is how long the stream waits for a target list that is young enough.
func (s *stream) listWait() time.Duration {
	if s.begun {
		return s.retryWait()
	}
	return refreshTimeout
}

// expectedTokens estimates the memory that a request uses at its end, in
// tokens.
func expectedTokens(a RequestHeaders, m *topo.Model) int {
	answer := cmp.Or(a.AnswerTokensHint, m.UsualAnswer)
	if a.MaxAnswerTokens > 0 {
		answer = min(answer, a.MaxAnswerTokens)
	}
	return promptTokens(a, m) + answer
}

// promptTokens returns the length of the prompt, which targets process before
// the first event.
func promptTokens(a RequestHeaders, m *topo.Model) int { return cmp.Or(a.PromptTokens, m.UsualPrompt) }

// goesOn reports whether the stream goes on after a failure of its current run, with
// the standby if there is one.
func (s *stream) goesOn(failure *fault.Error) bool {
	switch {
	case s.standby == nil:
	case failure.Code == fault.Held:
		s.endStandby("its prompt is held back")
	default:
		// After a failed write, it is not known what the caller has received.
		return !s.over() && failure.Code != fault.Canceled
	}
	return s.mayContinue(failure)
}

// over reports whether nobody waits for more of the response.
func (s *stream) over() bool {
	return s.r.Context().Err() != nil || s.abortCtx.Err() != nil || s.remaining() <= 0
}

// mayContinue reports whether the stream may continue at another target.
func (s *stream) mayContinue(failure *fault.Error) bool {
	if s.over() || failure.Code == fault.Canceled {
		return false
	}
	if failure.Outcome == fault.NotRun {
		return s.sendCount < maxSends+maxResumes
	}
	return s.mayResume()
}

// mayResume reports whether the request may run at a target again: at one more, or at
// one where it has run before.
func (s *stream) mayResume() bool {
	if !s.route.Resumable {
		return false
	}
	return s.mayAddRunner() || s.sendCount < maxSends+maxResumes && slices.ContainsFunc(s.possibleRunners, s.mayRunAgain)
}

// mayAddRunner reports whether one more target may run the request. A target that
// ended before the request had survived there counts, because the request may be
// the reason.
func (s *stream) mayAddRunner() bool {
	alive, lost := s.runners()
	return alive < s.route.Attempts && alive+lost < max(s.route.Attempts, minRuns) && len(s.possibleRunners) <= maxResumes
}

// mayRunAgain reports whether a target that may have run the request is still there
// and has not failed.
func (s *stream) mayRunAgain(t topo.Target) bool {
	listed, ok := s.Fleets.Section().Value().Target(t.ID)
	return ok && listed.Started == t.Started && listed.State == topo.Ready && !s.excluded[t.ID] && !s.Ledger.Ended(t) &&
		!s.Ledger.Suspected(t) && s.Limits.Standing(t).TakesWork()
}

// runners returns how many of the targets that may have run the request may still
// run it, and how many have ended before it had survived there. Targets that have
// certainly ended, restarted or left the list no longer run it; suspected and
// unresponsive ones may.
func (s *stream) runners() (alive, lost int) {
	fleet := s.Fleets.Section().Value()
	for _, t := range s.possibleRunners {
		listed, ok := fleet.Target(t.ID)
		switch {
		case ok && listed.Started == t.Started && !s.Ledger.Ended(t):
			alive++
		case s.youngLosses[t.ID]:
			lost++
		}
	}
	return alive, lost
}

// fail ends the request without the rest of its response.
func (s *stream) fail(err *fault.Error) {
	if s.r.Context().Err() != nil {
		err = fault.New(fault.Canceled, "the caller disconnected").WithOutcome(fault.Partial).WithCause(err)
	}
	if !s.headWritten {
		if err.Outcome == fault.NotRun && len(s.possibleRunners) > 0 {
			// A standby may have run the request.
			err = err.WithOutcome(fault.Unknown)
		}
		s.refuse(err)
		return
	}
	s.noteCut(err)
	s.recordOutcome(http.StatusOK, "Partial", err)
	// Aborts the connection, so that the response does not look complete.
	panic(http.ErrAbortHandler)
}

// noteCut logs what kept a request that has begun from going on.
func (s *stream) noteCut(err *fault.Error) {
	alive, lost := s.runners()
	s.Metrics.GetOrCreateCounter(`shallotcourse_cut_answers_total{Code="` + string(err.Code) + `"}`).Inc()
	_ = level.Warn(s.Log).Log("event", "AnswerCut", "request", s.headers.ID, "code", string(err.Code), "received", !s.firstByte.IsZero(),
		"events", s.events, "lastEvent", s.lastEvent, "sends", s.sendCount, "alive", alive, "lost", lost, "attempts", s.route.Attempts,
		"resumable", s.route.Resumable, "left", s.remaining().Round(time.Millisecond), "stopping", s.abortCtx.Err() != nil)
}

// candidates returns the targets of the service with their load, except those that
// leave, and suspected and excluded ones. A target that pauses is never used, and
// only tells how long.
func (s *stream) candidates() []chain.Candidate {
	targets := s.Fleets.Section().Value().ServiceTargets(s.service.Name)
	loads, suspected := s.expectedLoads(), s.Ledger.SuspectedAmong(targets)
	out := make([]chain.Candidate, 0, len(targets))
	mayAdd := len(s.possibleRunners) == 0 || s.mayAddRunner()
	for _, t := range targets {
		standing := s.Limits.Standing(t)
		if streamExclusion(standing, s.excluded[t.ID], suspected[t.ID]) != "" {
			continue
		}
		notFirst := standing.Full || !mayAdd && !s.hasRunAt(t)
		out = append(out, chain.Candidate{Target: t, Load: loads[t.ID], SlowFactor: t.Pace, NotFirst: notFirst, PausedFor: standing.PausedFor})
	}
	return out
}

// choosePath returns a path through all layers of the model. A forced path
// ignores capacity.
func (s *stream) choosePath(forced bool) ([]chain.Hop, error) {
	candidates := s.candidates()
	return chain.Choose(s.service.Model, candidates, s.chainRequest(candidates, forced))
}

// run relays the events of a run until the stream ends, or goes on with the standby.
func (s *stream) run(r *streamRun) *fault.Error {
	defer s.endOf(r)
	s.hops, s.ticket = r.hops, r.ticket
	s.sentAt, s.beganAt, s.survived = r.sentAt, time.Time{}, false
	failure := s.relay(r)
	s.noteNotRunning()
	first := r.hops[0].Target
	switch {
	case failure == nil:
		return nil
	case failure.Outcome == fault.NotRun:
		s.removeRunner(r)
		return failure
	case !s.survived:
		s.youngLosses[first.ID] = true
	}
	if s.standby == nil || !s.standby.answers {
		s.excluded[first.ID] = true
	}
	return failure
}

func pathText(hops []chain.Hop) string {
	text := ""
	for i, h := range hops {
		if i > 0 {
			text += ","
		}
		text += h.Target.ID + "=" + strconv.Itoa(h.Layers.From) + "-" + strconv.Itoa(h.Layers.To)
	}
	return text
}

package proxy

import (
	"cmp"
	"context"
	"net/http"
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
	// roomPoll is the pause between two looks for room.
	roomPoll = 20 * time.Millisecond
	// roomShare is the part of the objective that a request may wait for room.
	roomShare = 0.4
	// readShare is the part of the objective that the prompts before a request
	// may take; the rest is for its own way through the targets.
	readShare = 0.7
	// firstQuiet is the silence before the first event after which the first
	// target is asked whether the request is stalled.
	firstQuiet = 300 * time.Millisecond
	// laterQuiet is the same between events.
	laterQuiet = 180 * time.Millisecond
	// repathQuiet is the silence that a new path may take, to read what the
	// request has so far.
	repathQuiet = 600 * time.Millisecond
	// doubtQuiet is the silence after which a stream leaves a target that
	// others have found to fail.
	doubtQuiet = 120 * time.Millisecond
	// maxRepaths bounds the new paths of one stream.
	maxRepaths = 8
	// maxResumes bounds the targets that one stream goes on at.
	maxResumes = 3
	// repeatShare is the part of Settings.StallLimit that a stream waits for
	// the budget of repeats; callers leave after a pause of about that limit.
	repeatShare = 0.6
	// eventQueue is the number of events that may wait for the caller.
	eventQueue = 16
	// writeLimit bounds one write to a caller that does not read.
	writeLimit = 5 * time.Second
)

type (
	// stream is a request whose answer is an event stream of a model.
	stream struct {
		*request
		tokens int
		ticket *ledger.Ticket
		hops   []chain.Hop
		// avoid holds targets that refused this request.
		avoid map[string]bool
		// begun says that the head of the answer is written.
		begun     bool
		lastEvent string
		events    int
		repaths   int
		// ran holds the first targets that may have run the request.
		ran     []topo.Target
		control *http.ResponseController
	}

	// upstream is one request of a stream to a first target.
	upstream struct {
		cancel context.CancelFunc
		head   chan head
		events chan event
		// end carries the end of the stream, after the last event.
		end chan *fault.Error
	}

	head struct {
		resp *http.Response
		err  *fault.Error
	}
)

// serveStream answers a request of a model.
func (q *request) serveStream() {
	s := &stream{
		request: q, avoid: map[string]bool{}, lastEvent: q.ask.LastEvent, control: http.NewResponseController(q.w),
		tokens: expectedTokens(q.ask, q.service.Model),
	}
	var last *fault.Error
	for {
		hops, err := s.findPath()
		if err != nil {
			s.fail(worse(last, err))
			return
		}
		if s.sends > 0 && !s.takeRepeat() {
			s.fail(worse(last, fault.New(fault.Overloaded, "the retry budget of the service is used up")))
			return
		}
		failure := s.run(hops)
		if failure == nil {
			q.finish(http.StatusOK, "Answered", nil)
			return
		}
		last = worse(last, failure)
		if !s.goOn(failure) {
			s.fail(last)
			return
		}
		_ = level.Info(q.Log).Log("event", "StreamResumes", "request", q.ask.ID, "lastEvent", s.lastEvent,
			"events", s.events, "sends", s.sends, "cause", failure)
	}
}

// takeRepeat takes a repeat from the budget. Many streams that lose the same
// target share what is free, which is divided anew every half second.
func (s *stream) takeRepeat() bool {
	wait := time.Duration(repeatShare * float64(s.Settings.StallLimit))
	for until := s.Clock.Now().Add(wait); ; {
		if s.Repeats.Take(s.service.Name) {
			return true
		}
		if s.cut.Err() != nil || !s.Clock.Now().Before(until) || timer.Sleep(s.r.Context(), s.Clock, roomPoll) != nil {
			return false
		}
	}
}

// expectedTokens estimates the memory that a request needs at its end.
func expectedTokens(a Ask, m *topo.Model) int {
	answer := cmp.Or(a.AnswerHint, m.UsualAnswer)
	if a.MostAnswer > 0 {
		answer = min(answer, a.MostAnswer)
	}
	return promptTokens(a, m) + answer
}

// promptTokens is the length of the prompt, which targets read before the first
// event.
func promptTokens(a Ask, m *topo.Model) int { return cmp.Or(a.Prompt, m.UsualPrompt) }

// goOn reports whether the stream may go on at another target.
func (s *stream) goOn(failure *fault.Error) bool {
	if s.r.Context().Err() != nil || s.cut.Err() != nil || s.left() <= 0 {
		return false
	}
	if failure.Outcome == fault.NotRun {
		return s.sends < maxSends+maxResumes
	}
	return s.mayResume()
}

// mayResume reports whether another target may run the request too. Those that
// are known to have ended do not count; a doubted one may still run it.
func (s *stream) mayResume() bool {
	alive := 0
	fleet := s.Fleets.Section().Value()
	for _, t := range s.ran {
		listed, ok := fleet.Target(t.ID)
		if ok && listed.Born == t.Born && !s.Ledger.Dead(t) {
			alive++
		}
	}
	return s.route.Resumable && alive < s.route.Attempts && len(s.ran) <= maxResumes
}

// fail ends the request without the rest of its answer.
func (s *stream) fail(err *fault.Error) {
	if s.r.Context().Err() != nil {
		err = fault.New(fault.Canceled, "the caller left").WithOutcome(fault.Partial).WithCause(err)
	}
	if !s.begun {
		s.refuse(err)
		return
	}
	s.finish(http.StatusOK, "Partial", err)
	// Ends the connection, so that the answer does not look complete.
	panic(http.ErrAbortHandler)
}

// candidates returns the targets of the service with their load. Doubted
// targets are left out.
func (s *stream) candidates() []chain.Candidate {
	loads := s.Ledger.Expected(s.Unheard())
	targets := s.Fleets.Section().Value().Of(s.service.Name)
	out := make([]chain.Candidate, 0, len(targets))
	for _, t := range targets {
		if s.avoid[t.ID] || s.Ledger.Doubted(t) {
			continue
		}
		out = append(out, chain.Candidate{Target: t, Load: loads[t.ID], Slow: t.Pace})
	}
	return out
}

// choose returns a path through all layers; forced ones need no room.
func (s *stream) choose(forced bool) ([]chain.Hop, error) {
	m := s.service.Model
	return chain.Choose(m, s.candidates(), chain.Ask{
		Tokens: s.tokens, DataCentre: s.Settings.DataCentre, Cross: s.Settings.CrossCost,
		Layers: topo.Layers{From: 0, To: m.Layers}, Forced: forced,
		ReadWithin: time.Duration(readShare * float64(s.route.Objective)),
	})
}

// findPath returns a path with room for the request. It waits for room for a
// part of the objective; layers that no target holds are not waited for.
func (s *stream) findPath() ([]chain.Hop, *fault.Error) {
	until := s.arrived.Add(time.Duration(roomShare * float64(s.route.Objective)))
	for {
		hops, err := s.choose(s.begun)
		if err == nil {
			return hops, nil
		}
		f := fault.As(err)
		if f.Code != fault.Overloaded || !s.Clock.Now().Before(until) {
			return nil, f
		}
		if err := timer.Sleep(s.r.Context(), s.Clock, roomPoll); err != nil {
			return nil, fault.New(fault.Canceled, "the caller left").WithCause(err)
		}
	}
}

// run sends the request along hops and passes events on until the stream ends.
func (s *stream) run(hops []chain.Hop) *fault.Error {
	s.hops = hops
	s.ticket = s.Ledger.Open(s.tokens, promptTokens(s.ask, s.service.Model), hops)
	defer func() { s.ticket.Close() }()
	s.sends++
	s.ran = append(s.ran, hops[0].Target)
	s.path += " " + pathText(hops)
	u := s.open(hops)
	defer u.cancel()
	failure := s.pass(u)
	if failure != nil && failure.Outcome == fault.NotRun {
		s.ran = s.ran[:len(s.ran)-1]
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

// pass forwards the answer and watches its pace.
func (s *stream) pass(u *upstream) *fault.Error {
	quiet := timer.New(s.Clock, firstQuiet)
	defer quiet.Stop()
	limit := timer.New(s.Clock, s.left())
	defer limit.Stop()
	heads, events := u.head, (chan event)(nil)
	lastMove := s.Clock.Now()
	doubts := s.Ledger.Changed()
	for {
		select {
		case h := <-heads:
			if h.err != nil {
				return s.refused(h.err)
			}
			if h.resp.StatusCode != http.StatusOK {
				return s.other(h.resp)
			}
			s.begin(h.resp)
			heads, events = nil, u.events
		case ev, ok := <-events:
			if !ok {
				return s.ended(<-u.end)
			}
			if err := s.forward(ev, events); err != nil {
				return err
			}
			now := s.Clock.Now()
			if s.events > 1 && s.route.Pause > 0 && now.Sub(lastMove) > s.route.Pause {
				s.Ledger.Late()
			}
			lastMove = now
			quiet.Reset(laterQuiet)
		case <-quiet.C:
			wait, failure := s.unstall(lastMove)
			if failure != nil {
				return failure
			}
			quiet.Reset(wait)
		case <-doubts:
			doubts = s.Ledger.Changed()
			if s.throughDoubted() {
				quiet.Reset(max(time.Millisecond, doubtQuiet-s.Clock.Now().Sub(lastMove)))
			}
		case <-limit.C:
			return fault.New(fault.Deadline, "the stream has not ended within the time of the route or the caller").WithOutcome(s.outcome())
		case <-s.r.Context().Done():
			return fault.New(fault.Canceled, "the caller left").WithOutcome(s.outcome())
		case <-s.cut.Done():
			return fault.New(fault.Leaving, "the gateway stops before the end of the stream").WithOutcome(s.outcome())
		}
	}
}

// outcome is what is certain about a stream that was sent.
func (s *stream) outcome() fault.Outcome {
	if s.begun {
		return fault.Partial
	}
	return fault.Unknown
}

// begin writes the head of the answer, once.
func (s *stream) begin(resp *http.Response) {
	if s.begun {
		return
	}
	copyHeaders(s.w.Header(), resp.Header)
	s.begun = true
	s.w.WriteHeader(resp.StatusCode)
}

// forward writes an event and those that wait behind it.
func (s *stream) forward(ev event, more <-chan event) *fault.Error {
	if s.first.IsZero() {
		s.first = s.Clock.Now()
	}
	s.ticket.Read()
	_ = s.control.SetWriteDeadline(s.Clock.Now().Add(writeLimit))
	for {
		if _, err := s.w.Write(ev.raw); err != nil {
			return fault.New(fault.Canceled, "the caller does not read").WithOutcome(fault.Partial).WithCause(err)
		}
		s.events++
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
	if err := s.control.Flush(); err != nil {
		return fault.New(fault.Canceled, "the caller does not read").WithOutcome(fault.Partial).WithCause(err)
	}
	return nil
}

package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// loggedPauses bounds the pauses in a log line.
const loggedPauses = 5

// limitWait is the wait of one request for a target with a limit.
type limitWait struct {
	*request
	// until is the end of the wait.
	until time.Time
	// leave ends the wait; nil before it has begun.
	leave func()
}

// noteAnswer records what a target says of itself in its response to this request. The
// response of another instance says nothing about it.
func (q *request) noteAnswer(t topo.Target, status int, a ResponseHeaders) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	q.noteLimit(t, a.Limit)
	q.noteLeaving(t, a, q.headers.ID)
	q.notePause(t, status, a, q.headers.ID)
}

// NoteAnswer records what a target says of itself in a response to a poll or an
// order. Only responses to requests name limits.
func (s *Server) NoteAnswer(t topo.Target, status int, a ResponseHeaders) {
	if status != http.StatusMisdirectedRequest && a.ID == "" {
		s.noteLeaving(t, a, "")
		s.notePause(t, status, a, "")
	}
}

func (s *Server) noteLeaving(t topo.Target, a ResponseHeaders, request string) {
	if a.Leaving && s.Limits.Leaves(t) {
		s.Metrics.GetOrCreateCounter("shallotcourse_target_leaves_total").Inc()
		_ = level.Warn(s.Log).Log("event", "TargetLeaves", "target", t.ID, "born", t.Started, "service", t.Service, "request", request)
	}
}

// notePause records the pause that a target asks for as it turns a request away. The
// pause is that of the target which answers, also if it names another one as the
// cause. A malformed value changes nothing.
func (s *Server) notePause(t topo.Target, status int, a ResponseHeaders, request string) {
	if status != http.StatusServiceUnavailable || !a.NotRun {
		return
	}
	if a.Pause.Malformed != "" {
		s.Metrics.GetOrCreateCounter("shallotcourse_malformed_pauses_total").Inc()
		_ = level.Warn(s.Log).Log("event", "TargetPauseMalformed", "target", t.ID, "value", a.Pause.Malformed, "request", request)
		return
	}
	if s.Limits.Pauses(t, a.Pause.For) {
		s.Metrics.GetOrCreateCounter("shallotcourse_target_pauses_total").Inc()
		_ = level.Warn(s.Log).Log("event", "TargetPauses", "target", t.ID, "born", t.Started, "service", t.Service, "for", a.Pause.For,
			"request", request)
	}
}

// awaitPause waits until a pause is over that keeps a request from being sent. It
// returns the failure at once if that is later than until.
func (q *request) awaitPause(failure *fault.Error, until time.Time) *fault.Error {
	if f := q.pausedBeyond(failure, until); f != nil {
		return f
	}
	if err := timer.Sleep(q.r.Context(), q.Clock, failure.RetryAfter); err != nil {
		return fault.New(fault.Canceled, "the caller disconnected").WithCause(err)
	}
	return nil
}

// pausedBeyond returns the failure if a pause that keeps a request from being sent ends
// later than until; nil otherwise.
func (q *request) pausedBeyond(failure *fault.Error, until time.Time) *fault.Error {
	if q.Clock.Now().Add(failure.RetryAfter).After(until) {
		q.Metrics.GetOrCreateCounter("shallotcourse_pause_refusals_total").Inc()
		_ = level.Info(q.Log).Log("event", "PauseRefused", "request", q.headers.ID, "service", q.service.Name, "left",
			failure.RetryAfter.Round(time.Millisecond), "paused", pausesText(q.Limits.Paused()))
		return failure
	}
	return nil
}

// pausesText returns pauses for the log.
func pausesText(pauses []limit.Pause) string {
	var out []string
	for _, p := range pauses[:min(loggedPauses, len(pauses))] {
		out = append(out, fmt.Sprintf("%s for %s, since %s", p.Target, p.Left.Round(time.Millisecond), p.Age.Round(time.Millisecond)))
	}
	return strings.Join(out, "; ")
}

// noteLimit records what a target says of its limit in a response to this request.
// A malformed limit changes nothing: the one before stays in force.
func (q *request) noteLimit(t topo.Target, l NamedLimit) {
	if l.Malformed != "" {
		q.Metrics.GetOrCreateCounter("shallotcourse_malformed_limits_total").Inc()
		_ = level.Warn(q.Log).Log("event", "TargetLimitMalformed", "target", t.ID, "value", l.Malformed, "request", q.headers.ID)
		return
	}
	changed := false
	if l.Named {
		changed = q.Limits.Named(t, l.PerSecond)
	} else {
		changed = q.Limits.NotNamed(t)
	}
	if changed {
		_ = level.Warn(q.Log).Log("event", "TargetLimit", "target", t.ID, "born", t.Started, "service", t.Service, "named", l.Named,
			"limit", l.PerSecond, "request", q.headers.ID)
	}
}

// sleep waits for a short time, after which some target may take a request. It
// returns the failure if that is certain not to happen in time.
func (w *limitWait) sleep(failure *fault.Error) *fault.Error {
	if f := w.goOn(failure); f != nil {
		return f
	}
	if err := timer.Sleep(w.r.Context(), w.Clock, capacityPollInterval); err != nil {
		return fault.New(fault.Canceled, "the caller disconnected").WithCause(err)
	}
	return nil
}

// goOn returns nil if the request goes on waiting, or the failure if no target is certain
// to take it in time.
func (w *limitWait) goOn(failure *fault.Error) *fault.Error {
	targets := w.Fleets.Section().Value().ServiceTargets(w.service.Name)
	if w.leave == nil {
		leave, ok := w.Limits.Wait(w.service.Name, targets, w.until)
		if !ok {
			return w.refusedByLimit(failure, targets)
		}
		w.leave = leave
	}
	if !w.Clock.Now().Before(w.until) {
		return w.refusedByLimit(failure, targets)
	}
	return nil
}

// end ends the wait, if one has begun.
func (w *limitWait) end() {
	if w.leave != nil {
		w.leave()
	}
}

// refusedByLimit logs the limits that keep a request from being sent, and returns
// the failure.
func (w *limitWait) refusedByLimit(failure *fault.Error, targets []topo.Target) *fault.Error {
	w.Metrics.GetOrCreateCounter("shallotcourse_limit_refusals_total").Inc()
	_ = level.Info(w.Log).Log("event", "LimitRefused", "request", w.headers.ID, "service", w.service.Name, "waited", w.leave != nil,
		"limits", w.Limits.Describe(targets))
	return failure
}

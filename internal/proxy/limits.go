package proxy

import (
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// limitWait is the wait of one request for a target with a limit.
type limitWait struct {
	*request
	// until is the end of the wait.
	until time.Time
	// leave ends the wait; nil before it has begun.
	leave func()
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
	if err := timer.Sleep(w.r.Context(), w.Clock, capacityPollInterval); err != nil {
		return fault.New(fault.Canceled, "the caller disconnected").WithCause(err)
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

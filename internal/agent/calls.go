package agent

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/link"
	"shallotcourse/internal/once"
	"shallotcourse/internal/store"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

// handleCall dispatches a service call. Only calls that must take effect at
// most once go through the journal.
func (a *Agent) handleCall(p link.Peer, m wire.Call) {
	entry := p.Hello().Incarnation
	if m.Repeatable {
		if reason := a.admitCall(); reason != "" {
			_ = p.Send(refusedOutcome(m, reason))
			return
		}
		go a.dispatch(m, entry)
		return
	}
	switch d := a.journalCall(m, entry).(type) {
	case once.Answer:
		_ = p.Send(d.Outcome)
	case once.Dispatch:
		go a.dispatch(m, entry)
	case once.Drop:
	}
}

// journalCall records a call in the journal before it is dispatched. A call
// that is not admitted is recorded as NotRun, so that it never runs later.
func (a *Agent) journalCall(m wire.Call, entry string) once.Decision {
	a.journalMu.Lock()
	defer a.journalMu.Unlock()
	now := a.cfg.Timer.Now()
	d := a.journal.Call(m, now)
	switch d := d.(type) {
	case once.Dispatch:
		if reason := a.admitCall(); reason != "" {
			o := refusedOutcome(m, reason)
			a.journal.Done(o, now)
			return once.Answer{Outcome: o}
		}
		a.addWaiter(m.Nonce, entry)
	case once.Answer:
		if d.Outcome.State == wire.OutcomeRunning {
			a.addWaiter(m.Nonce, entry)
		}
	case once.Drop:
	}
	return d
}

// addWaiter registers an entry to be sent the outcome of a running call. The
// caller holds journalMu.
func (a *Agent) addWaiter(nonce, entry string) {
	if !slices.Contains(a.waiters[nonce], entry) {
		a.waiters[nonce] = append(a.waiters[nonce], entry)
	}
}

func (a *Agent) handleQuery(p link.Peer, m wire.Query) {
	a.journalMu.Lock()
	o := a.journal.Query(m, a.cfg.Timer.Now())
	if o.State == wire.OutcomeRunning {
		a.addWaiter(m.Nonce, p.Hello().Incarnation)
	}
	a.journalMu.Unlock()
	_ = p.Send(o)
}

// dispatch sends a call to the service, and the outcome to the entries that
// wait for it.
func (a *Agent) dispatch(m wire.Call, entry string) {
	ctx, cancel := timer.WithTimeout(context.Background(), a.cfg.Timer, a.callTimeout(m))
	defer cancel()
	begin := a.cfg.Timer.Now()
	answer, err := a.cfg.Service.Do(ctx, engine.ServiceCall{
		Method: m.Method, Path: m.Path, Header: http.Header(m.Header), Body: m.Body,
	})
	now := a.cfg.Timer.Now()
	a.meter.record(now.Sub(begin), err == nil)
	a.health.record(now, ignoreDeadline(err))
	o := callOutcome(m, answer, err)
	waiting := []string{entry}
	if !m.Repeatable {
		a.journalMu.Lock()
		a.journal.Done(o, a.cfg.Timer.Now())
		waiting = a.waiters[m.Nonce]
		delete(a.waiters, m.Nonce)
		a.journalMu.Unlock()
	}
	a.callEnded()
	for _, incarnation := range waiting {
		if p, ok := a.entryPeer(incarnation); ok {
			_ = p.Send(o)
		}
	}
}

// callTimeout returns the timeout of a call: that of its service if it
// declares one, else Times.Call, and at most the deadline of the call.
func (a *Agent) callTimeout(m wire.Call) time.Duration {
	timeout := a.cfg.Times.Call
	if t, ok := store.Spec[resrc.Target](a.cfg.Config.Value(), a.cfg.Target); ok {
		if s, ok := store.Spec[resrc.Service](a.cfg.Config.Value(), t.Service); ok {
			timeout = cmp.Or(time.Duration(s.Timeout), timeout)
		}
	}
	if m.Deadline > 0 {
		timeout = min(timeout, m.Deadline)
	}
	return timeout
}

// ignoreDeadline returns nil for a Deadline error. A call that exceeds its
// deadline says little about the health of the service, because the caller
// chose the deadline.
func ignoreDeadline(err error) error {
	if fault.Is(err, fault.Deadline) {
		return nil
	}
	return err
}

func callOutcome(m wire.Call, answer engine.ServiceResponse, err error) wire.Outcome {
	o := wire.Outcome{ID: m.ID, Nonce: m.Nonce, State: wire.OutcomeDone, Status: answer.Status, Header: answer.Header, Body: answer.Body}
	if err == nil {
		return o
	}
	o.State, o.Detail = wire.OutcomeUnknown, errorDetail(err)
	if fault.As(err).Outcome == fault.NotRun {
		o.State = wire.OutcomeNotRun
	}
	return o
}

func refusedOutcome(m wire.Call, reason wire.RefuseReason) wire.Outcome {
	return wire.Outcome{ID: m.ID, Nonce: m.Nonce, State: wire.OutcomeNotRun, Detail: string(reason)}
}

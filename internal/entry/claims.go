package entry

import (
	"context"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/once"
	"shallotcourse/internal/wire"
)

const (
	// claimPause is the time between reads of a claim whose call runs.
	claimPause = 100 * time.Millisecond
	// askTimeout bounds one question to an agent about a claim.
	askTimeout = time.Second
	// recordTimeout bounds the time for which a result waits for its claim
	// row to be written.
	recordTimeout = 1500 * time.Millisecond
)

// settling drives once.Settle for one keyed call.
type settling struct {
	entry *Entry
	key   string
	end   time.Time
	peer  peerOf
}

// callKeyed claims the key before dispatch, and records the outcome before
// the answer is released.
func (e *Entry) callKeyed(ctx context.Context, q request, key string) result {
	e.meter.claims.Inc()
	target, p, ok := e.pick(q.service, nil)
	if !ok {
		return result{failure: fault.Newf(fault.NoTarget, "no target of service %s is ready", q.service)}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer e.cfg.Timer.After(q.end.Sub(e.cfg.Timer.Now())+recordTimeout, cancel)()
	s := &settling{entry: e, key: once.ClaimKey(q.account, key), end: q.end, peer: p}
	mine := once.Claim{
		Nonce: newID(), ID: q.call.ID, Digest: once.Digest(q.call.Method, q.call.Path, q.call.Body),
		Entry: e.cfg.Instance, Target: target, Incarnation: p.incarnation,
		Created: e.cfg.Timer.Now().UTC().Round(0),
	}
	switch step := s.settle(ctx, mine).(type) {
	case once.Return:
		return result{outcome: wire.Outcome{
			State: wire.OutcomeDone, Status: step.Claim.Status, Header: step.Claim.Header, Body: step.Claim.Body,
		}}
	case once.Proceed:
		r := e.dispatch(ctx, q, target, p, mine.Nonce)
		if r.failure == nil {
			e.admit.succeeded()
		}
		s.record(ctx, mine, r)
		return r
	case once.Fail:
		return result{failure: step.Failure}
	}
	return unknown(running, fault.Internal, "claim was not settled")
}

// settle carries out steps until this attempt may dispatch, or has an answer.
func (s *settling) settle(ctx context.Context, mine once.Claim) once.ClaimStep {
	state, step := once.Begin(mine)
	for {
		var ev once.ClaimEvent
		switch a := step.(type) {
		case once.ReadRow:
			ev = s.read(ctx)
		case once.WriteRow:
			ev = s.write(ctx, a)
		case once.AskAgent:
			ev = s.ask(ctx, a.Claim)
		case once.Wait:
			s.entry.sleep(ctx, claimPause)
			ev = once.Waited{}
		default:
			return step
		}
		if _, last := ev.(once.Written); !last && (ctx.Err() != nil || !s.entry.cfg.Timer.Now().Before(s.end)) {
			ev = once.Expired{}
		}
		state, step = state.Next(ev)
	}
}

func (s *settling) read(ctx context.Context) once.ClaimEvent {
	ctx, cancel := s.within(ctx, s.end.Sub(s.entry.cfg.Timer.Now()))
	defer cancel()
	row, err := s.entry.cfg.Table.Read(ctx, s.key)
	if fault.Is(err, fault.NotFound) {
		return once.RowAbsent{}
	}
	if err != nil {
		return once.TableDown{}
	}
	c, err := once.DecodeClaim(row.Value)
	if err != nil {
		return once.RowBad{Failure: fault.As(err)}
	}
	return once.RowFound{Claim: c, Version: row.Version}
}

func (s *settling) write(ctx context.Context, w once.WriteRow) once.ClaimEvent {
	value, err := once.EncodeClaim(w.Claim)
	if err != nil {
		return once.RowBad{Failure: fault.As(err)}
	}
	ctx, cancel := s.within(ctx, s.end.Sub(s.entry.cfg.Timer.Now()))
	defer cancel()
	err = s.entry.batch.commit(ctx, s.key, w.Version, value)
	switch {
	case err == nil:
		return once.Written{}
	case fault.Is(err, fault.Conflict):
		return once.WriteRefused{}
	}
	return once.WriteLost{}
}

// ask queries the agent incarnation that a claim names.
func (s *settling) ask(ctx context.Context, c once.Claim) once.ClaimEvent {
	e := s.entry
	w := e.calls.add(c.Nonce, c.Target)
	defer e.calls.remove(c.Nonce, w)
	p, up := e.agent(c.Target)
	if !up {
		if t, ok := e.view.Value().Get(c.Target); ok {
			// The agent may be outside this entry's subset.
			e.linkToo(t.Spec.Agent)
		}
		return once.AgentSilent{}
	}
	if p.Hello().Incarnation != c.Incarnation {
		return once.AgentGone{}
	}
	if p.Send(wire.Query{ID: c.ID, Nonce: c.Nonce}) != nil {
		return once.AgentSilent{}
	}
	late, cancel := e.alarm(min(askTimeout, s.end.Sub(e.cfg.Timer.Now())))
	defer cancel()
	select {
	case o := <-w.outcomes:
		return once.AgentSaid{Outcome: o}
	case <-late:
	case <-w.links:
	case <-ctx.Done():
	}
	return once.AgentSilent{}
}

// record writes the outcome into the claim row. A row that another attempt
// has taken over or concluded stays as it is; when the table is down, the
// result is delivered without a record.
func (s *settling) record(ctx context.Context, mine once.Claim, r result) {
	s.end = s.entry.cfg.Timer.Now().Add(recordTimeout)
	ctx, cancel := s.within(ctx, recordTimeout)
	defer cancel()
	switch r.outcome.State {
	case wire.OutcomeRunning:
		// The row stays open, so that the next attempt asks the agent.
		return
	case "":
		// The call was not sent, and this attempt will not send it again.
		r.outcome.State = wire.OutcomeNotRun
	}
	mine.State = once.ClaimOpen
	for ctx.Err() == nil {
		row, ok := s.read(ctx).(once.RowFound)
		if ok && (row.Claim.Nonce != mine.Nonce || row.Claim.State != once.ClaimOpen) {
			return
		}
		if ok {
			ev := s.write(ctx, once.WriteRow{Claim: mine.WithOutcome(r.outcome), Version: row.Version})
			if _, written := ev.(once.Written); written {
				return
			}
		}
		s.entry.sleep(ctx, claimPause)
	}
}

// within returns a context that ends after d by the timer service.
func (s *settling) within(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := s.entry.cfg.Timer.After(max(d, 0), cancel)
	return ctx, func() { stop(); cancel() }
}

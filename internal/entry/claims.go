package entry

import (
	"context"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/once"
	"shallotcourse/internal/wire"
)

const (
	// claimPollInterval is the time between reads of the claim of a running
	// call, and between attempts to record an outcome.
	claimPollInterval = 100 * time.Millisecond
	// queryTimeout is the timeout of a query to an agent about a claim.
	queryTimeout = time.Second
	// recordTimeout is the maximum time for which a result is held back until
	// its claim row has been written.
	recordTimeout = 1500 * time.Millisecond
)

// claimResolver carries out the steps of the once package for one call with an
// idempotency key.
type claimResolver struct {
	entry    *Entry
	key      string
	deadline time.Time
	peer     incarnationLink
}

// callKeyed claims the key before it dispatches the call, and records the
// outcome before it returns the result.
func (e *Entry) callKeyed(ctx context.Context, q serviceCall, key string) callResult {
	e.metrics.claims.Inc()
	target, p, ok := e.pickTarget(q.service, nil)
	if !ok {
		return callResult{failure: fault.Newf(fault.NoTarget, "no target of service %s is ready", q.service)}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer e.cfg.Timer.After(q.deadline.Sub(e.cfg.Timer.Now())+recordTimeout, cancel)()
	s := &claimResolver{entry: e, key: once.ClaimKey(q.account, key), deadline: q.deadline, peer: p}
	mine := once.Claim{
		Nonce: newID(), ID: q.call.ID, Digest: once.Digest(q.call.Method, q.call.Path, q.call.Body),
		Entry: e.cfg.Instance, Target: target, Incarnation: p.incarnation,
		Created: e.cfg.Timer.Now().UTC().Round(0),
	}
	switch step := s.resolve(ctx, mine).(type) {
	case once.Return:
		return callResult{outcome: wire.Outcome{
			State: wire.OutcomeDone, Status: step.Claim.Status, Header: step.Claim.Header, Body: step.Claim.Body,
		}}
	case once.Proceed:
		r := e.dispatch(ctx, q, target, p, mine.Nonce)
		if r.failure == nil {
			e.admission.recordSuccess()
		}
		s.recordOutcome(ctx, mine, r)
		return r
	case once.Fail:
		return callResult{failure: step.Failure}
	}
	return unknownResult(runningOutcome, fault.Internal, "claim ended in an unexpected state")
}

// resolve carries out steps until the call may be dispatched or its result is
// known, and returns the last step.
func (s *claimResolver) resolve(ctx context.Context, mine once.Claim) once.ClaimStep {
	state, step := once.Begin(mine)
	for {
		var ev once.ClaimEvent
		switch a := step.(type) {
		case once.ReadRow:
			ev = s.readClaim(ctx)
		case once.WriteRow:
			ev = s.writeClaim(ctx, a)
		case once.QueryAgent:
			ev = s.queryAgent(ctx, a.Claim)
		case once.Wait:
			s.entry.sleep(ctx, claimPollInterval)
			ev = once.Waited{}
		default:
			return step
		}
		if _, written := ev.(once.Written); !written && (ctx.Err() != nil || !s.entry.cfg.Timer.Now().Before(s.deadline)) {
			ev = once.Expired{}
		}
		state, step = state.Next(ev)
	}
}

func (s *claimResolver) readClaim(ctx context.Context) once.ClaimEvent {
	ctx, cancel := s.withTimeout(ctx, s.deadline.Sub(s.entry.cfg.Timer.Now()))
	defer cancel()
	row, err := s.entry.cfg.Table.Read(ctx, s.key)
	if fault.Is(err, fault.NotFound) {
		return once.RowAbsent{}
	}
	if err != nil {
		return once.TableUnavailable{}
	}
	c, err := once.DecodeClaim(row.Value)
	if err != nil {
		return once.RowInvalid{Failure: fault.As(err)}
	}
	return once.RowFound{Claim: c, Version: row.Version}
}

func (s *claimResolver) writeClaim(ctx context.Context, w once.WriteRow) once.ClaimEvent {
	value, err := once.EncodeClaim(w.Claim)
	if err != nil {
		return once.RowInvalid{Failure: fault.As(err)}
	}
	ctx, cancel := s.withTimeout(ctx, s.deadline.Sub(s.entry.cfg.Timer.Now()))
	defer cancel()
	err = s.entry.batcher.commit(ctx, s.key, w.Version, value)
	switch {
	case err == nil:
		return once.Written{}
	case fault.Is(err, fault.Conflict):
		return once.WriteConflict{}
	}
	return once.WriteLost{}
}

// queryAgent queries the agent incarnation that a claim names about the outcome
// of its call.
func (s *claimResolver) queryAgent(ctx context.Context, c once.Claim) once.ClaimEvent {
	e := s.entry
	w := e.waiters.add(c.Nonce, c.Target)
	defer e.waiters.remove(c.Nonce, w)
	p, up := e.agentLink(c.Target)
	if !up {
		if t, ok := e.view.Value().Get(c.Target); ok {
			// The agent may not be among those that this entry links.
			e.addLink(t.Spec.Agent)
		}
		return once.AgentUnreachable{}
	}
	if p.Hello().Incarnation != c.Incarnation {
		return once.AgentEnded{}
	}
	if p.Send(wire.Query{ID: c.ID, Nonce: c.Nonce}) != nil {
		return once.AgentUnreachable{}
	}
	expired, cancel := e.timeout(min(queryTimeout, s.deadline.Sub(e.cfg.Timer.Now())))
	defer cancel()
	select {
	case o := <-w.outcomes:
		return once.AgentAnswered{Outcome: o}
	case <-expired:
	case <-w.linkChanges:
	case <-ctx.Done():
	}
	return once.AgentUnreachable{}
}

// recordOutcome writes the outcome into the claim row. A row that another
// attempt has taken over or settled is left as it is. If the table does not
// answer in time, the result is returned without a record.
func (s *claimResolver) recordOutcome(ctx context.Context, mine once.Claim, r callResult) {
	s.deadline = s.entry.cfg.Timer.Now().Add(recordTimeout)
	ctx, cancel := s.withTimeout(ctx, recordTimeout)
	defer cancel()
	switch r.outcome.State {
	case wire.OutcomeRunning:
		// The row stays open, so that the next attempt queries the agent.
		return
	case "":
		// The call was not sent, and this attempt does not send it again.
		r.outcome.State = wire.OutcomeNotRun
	}
	mine.State = once.ClaimOpen
	for ctx.Err() == nil {
		row, ok := s.readClaim(ctx).(once.RowFound)
		if ok && (row.Claim.Nonce != mine.Nonce || row.Claim.State != once.ClaimOpen) {
			return
		}
		if ok {
			ev := s.writeClaim(ctx, once.WriteRow{Claim: mine.WithOutcome(r.outcome), Version: row.Version})
			if _, written := ev.(once.Written); written {
				return
			}
		}
		s.entry.sleep(ctx, claimPollInterval)
	}
}

// withTimeout returns a context that ends after d on the timer service.
func (s *claimResolver) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := s.entry.cfg.Timer.After(max(d, 0), cancel)
	return ctx, func() { stop(); cancel() }
}

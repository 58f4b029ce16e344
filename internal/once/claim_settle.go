package once

import (
	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

type (
	// ClaimResolver is the state machine by which one attempt of a call with an
	// idempotency key either claims the key or finds the outcome of the attempt
	// that holds it. Begin returns the first step; the caller carries out each
	// step and passes its result to Next.
	ClaimResolver struct {
		// own is the claim that this attempt writes.
		own Claim
		// other is the last claim of another attempt that was read, and
		// otherVersion the version of its row.
		other        Claim
		otherVersion uint64
		// otherFound is true once a claim of another attempt was read. From
		// then on the call may have run in that attempt.
		otherFound bool
		// writing is the claim in the last WriteRow.
		writing Claim
	}

	// ClaimEvent is the result of a step.
	ClaimEvent interface{ claimEvent() }

	// RowFound carries the claim that was read.
	RowFound struct {
		Claim   Claim
		Version uint64
	}

	// RowAbsent means that the key has no claim row.
	RowAbsent struct{}

	// RowInvalid means that the claim row cannot be decoded or encoded.
	RowInvalid struct{ Failure *fault.Error }

	// TableUnavailable means that a read failed.
	TableUnavailable struct{}

	// Written means that the write was applied.
	Written struct{}

	// WriteConflict means that the row no longer had the expected version.
	WriteConflict struct{}

	// WriteLost means that it is unknown whether the write was applied.
	WriteLost struct{}

	// AgentAnswered carries the agent's answer to a wire.Query.
	AgentAnswered struct{ Outcome wire.Outcome }

	// AgentEnded means that the agent incarnation named in the claim has ended.
	AgentEnded struct{}

	// AgentUnreachable means that the agent could not be reached or did not
	// answer.
	AgentUnreachable struct{}

	// Waited means that a Wait is over.
	Waited struct{}

	// Expired means that the deadline of the attempt has passed.
	Expired struct{}

	// ClaimStep is the next action that the caller must carry out.
	ClaimStep interface{ claimStep() }

	// ReadRow reads the claim row.
	ReadRow struct{}

	// WriteRow writes a claim on condition that the row still has Version; 0
	// means that the row must not exist.
	WriteRow struct {
		Claim   Claim
		Version uint64
	}

	// QueryAgent sends a wire.Query for the claim to the agent incarnation that it
	// names.
	QueryAgent struct{ Claim Claim }

	// Wait pauses before the row is read again.
	Wait struct{}

	// Proceed allows the call to be sent: this attempt holds the key.
	Proceed struct{ Claim Claim }

	// Return returns the stored result to the caller.
	Return struct{ Claim Claim }

	// Fail returns a failure to the caller.
	Fail struct{ Failure *fault.Error }
)

// Begin returns the initial state and the first step. Most keys are new, so the
// row is inserted without being read first.
func Begin(own Claim) (ClaimResolver, ClaimStep) {
	own.State = ClaimOpen
	s := ClaimResolver{own: own}
	return s.writeClaim(own, 0)
}

// Next returns the state and the step after an event.
func (s ClaimResolver) Next(ev ClaimEvent) (ClaimResolver, ClaimStep) {
	switch ev := ev.(type) {
	case Written:
		return s.handleWritten()
	case WriteConflict, WriteLost, Waited:
		// The nonce in the row shows whether a lost write was applied.
		return s, ReadRow{}
	case TableUnavailable, AgentUnreachable:
		return s, Wait{}
	case RowAbsent:
		return s.writeClaim(s.own, 0)
	case RowInvalid:
		return s, Fail(ev)
	case RowFound:
		return s.handleRow(ev)
	case AgentAnswered:
		return s.handleOutcome(ev.Outcome)
	case AgentEnded:
		unknown := s.other
		unknown.State = ClaimUnknown
		return s.writeClaim(unknown, s.otherVersion)
	case Expired:
		return s.handleExpired()
	}
	return s, Fail{fault.New(fault.Internal, "unknown claim event").WithOutcome(fault.Unknown)}
}

// handleRow returns the step after the row was read.
func (s ClaimResolver) handleRow(ev RowFound) (ClaimResolver, ClaimStep) {
	c := ev.Claim
	if c.Nonce == s.own.Nonce {
		if c.State != ClaimOpen {
			return s, finalStep(c)
		}
		return s, Proceed{s.own}
	}
	s.other, s.otherVersion, s.otherFound = c, ev.Version, true
	if c.Digest != s.own.Digest {
		return s, Fail{fault.New(fault.KeyReused, "idempotency key was used with another request")}
	}
	switch c.State {
	case ClaimOpen:
		return s, QueryAgent{c}
	case ClaimNotRun:
		return s.writeClaim(s.own, ev.Version)
	case ClaimDone, ClaimUnknown:
	}
	return s, finalStep(c)
}

// handleOutcome returns the step after the agent answered a Query for the claim
// of another attempt. This attempt takes the key over only if the agent has
// fenced the other nonce or has not run its call.
func (s ClaimResolver) handleOutcome(o wire.Outcome) (ClaimResolver, ClaimStep) {
	if o.Nonce != s.other.Nonce {
		return s, Wait{}
	}
	switch o.State {
	case wire.OutcomeNeverSeen, wire.OutcomeNotRun:
		return s.writeClaim(s.own, s.otherVersion)
	case wire.OutcomeDone, wire.OutcomeUnknown:
		return s.writeClaim(s.other.WithOutcome(o), s.otherVersion)
	case wire.OutcomeRunning:
	}
	return s, Wait{}
}

// writeClaim returns a WriteRow and stores its claim for handleWritten.
func (s ClaimResolver) writeClaim(c Claim, version uint64) (ClaimResolver, ClaimStep) {
	s.writing = c
	return s, WriteRow{Claim: c, Version: version}
}

// handleWritten returns the step after the last WriteRow was applied.
func (s ClaimResolver) handleWritten() (ClaimResolver, ClaimStep) {
	if s.writing.Nonce == s.own.Nonce {
		return s, Proceed{s.own}
	}
	return s, finalStep(s.writing)
}

// handleExpired ends an attempt that has not sent its call. The outcome is
// Unknown if another attempt with the same key may have run.
func (s ClaimResolver) handleExpired() (ClaimResolver, ClaimStep) {
	if s.otherFound {
		f := fault.New(fault.Deadline, "an earlier attempt with this key has no outcome yet")
		return s, Fail{f.WithOutcome(fault.Unknown)}
	}
	return s, Fail{fault.New(fault.Unavailable, "idempotency key could not be claimed before the deadline")}
}

// finalStep returns the step for a claim that has an outcome.
func finalStep(c Claim) ClaimStep {
	switch {
	case c.State == ClaimDone && c.BodyOmitted:
		f := fault.New(fault.TooLarge, "call has completed, but its result was too large to be stored")
		return Fail{f.WithOutcome(fault.Partial)}
	case c.State == ClaimDone:
		return Return{c}
	case c.State == ClaimNotRun:
		return Fail{fault.New(fault.TargetLost, "call was fenced off before it ran")}
	}
	return Fail{fault.New(fault.TargetLost, "it is unknown whether an earlier attempt with this key took effect").WithOutcome(fault.Unknown)}
}

func (RowFound) claimEvent()         {}
func (RowAbsent) claimEvent()        {}
func (RowInvalid) claimEvent()       {}
func (TableUnavailable) claimEvent() {}
func (Written) claimEvent()          {}
func (WriteConflict) claimEvent()    {}
func (WriteLost) claimEvent()        {}
func (AgentAnswered) claimEvent()    {}
func (AgentEnded) claimEvent()       {}
func (AgentUnreachable) claimEvent() {}
func (Waited) claimEvent()           {}
func (Expired) claimEvent()          {}

func (ReadRow) claimStep()    {}
func (WriteRow) claimStep()   {}
func (QueryAgent) claimStep() {}
func (Wait) claimStep()       {}
func (Proceed) claimStep()    {}
func (Return) claimStep()     {}
func (Fail) claimStep()       {}

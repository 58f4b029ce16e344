package once

import (
	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

type (
	// Settle decides who runs a keyed call. It starts with Begin; the caller
	// carries out each step and reports what happened to Next.
	Settle struct {
		// mine is the claim of this attempt.
		mine Claim
		// seen is the claim of another attempt that was read last.
		seen    Claim
		version uint64
		// foreign is true once another attempt's claim was read: from then on
		// the call may have run in that attempt.
		foreign bool
		// wanted is the claim of the write in progress.
		wanted Claim
	}

	// ClaimEvent is what happened to a step.
	ClaimEvent interface{ claimEvent() }

	// RowFound is the claim that was read.
	RowFound struct {
		Claim   Claim
		Version uint64
	}

	// RowAbsent means that no claim exists.
	RowAbsent struct{}

	// RowBad means that a row exists that does not decode.
	RowBad struct{ Failure *fault.Error }

	// TableDown means that a read failed.
	TableDown struct{}

	// Written means that the write was applied.
	Written struct{}

	// WriteRefused means that the write's condition did not hold.
	WriteRefused struct{}

	// WriteLost means that the write may or may not have been applied.
	WriteLost struct{}

	// AgentSaid is the agent's answer to a Query.
	AgentSaid struct{ Outcome wire.Outcome }

	// AgentGone means that the incarnation in the claim has ended.
	AgentGone struct{}

	// AgentSilent means that the agent could not be asked.
	AgentSilent struct{}

	// Waited means that the time of a Wait is over.
	Waited struct{}

	// Expired means that the deadline of the attempt passed.
	Expired struct{}

	// ClaimStep is what to do next.
	ClaimStep interface{ claimStep() }

	// ReadRow reads the claim.
	ReadRow struct{}

	// WriteRow writes a claim if the row still has the version.
	WriteRow struct {
		Claim   Claim
		Version uint64
	}

	// AskAgent sends Query for the claim to its agent incarnation.
	AskAgent struct{ Claim Claim }

	// Wait waits for a moment.
	Wait struct{}

	// Proceed lets the call be sent; this attempt owns the key.
	Proceed struct{ Claim Claim }

	// Return gives the stored result to the caller.
	Return struct{ Claim Claim }

	// Fail gives a failure to the caller.
	Fail struct{ Failure *fault.Error }
)

// Begin returns the first step for a claim: most keys are new, so the row is
// inserted without reading it first.
func Begin(mine Claim) (Settle, ClaimStep) {
	mine.State = ClaimOpen
	s := Settle{mine: mine}
	return s.write(mine, 0)
}

// Next returns the step after an event.
func (s Settle) Next(ev ClaimEvent) (Settle, ClaimStep) {
	switch ev := ev.(type) {
	case Written:
		return s.settled()
	case WriteRefused, WriteLost, Waited:
		// The nonce in the row tells whether a lost write was applied.
		return s, ReadRow{}
	case TableDown, AgentSilent:
		return s, Wait{}
	case RowAbsent:
		return s.write(s.mine, 0)
	case RowBad:
		return s, Fail(ev)
	case RowFound:
		return s.found(ev)
	case AgentSaid:
		return s.answered(ev.Outcome)
	case AgentGone:
		lost := s.seen
		lost.State = ClaimUnknown
		return s.write(lost, s.version)
	case Expired:
		return s.expired()
	}
	return s, Fail{fault.New(fault.Internal, "claim event is not known").WithOutcome(fault.Unknown)}
}

// found decides over the row that was read.
func (s Settle) found(ev RowFound) (Settle, ClaimStep) {
	c := ev.Claim
	if c.Nonce == s.mine.Nonce {
		if c.State != ClaimOpen {
			return s, final(c)
		}
		return s, Proceed{s.mine}
	}
	s.seen, s.version, s.foreign = c, ev.Version, true
	if c.Digest != s.mine.Digest {
		return s, Fail{fault.New(fault.KeyReused, "idempotency key was used with another request")}
	}
	switch c.State {
	case ClaimOpen:
		return s, AskAgent{c}
	case ClaimNotRun:
		return s.write(s.mine, ev.Version)
	case ClaimDone, ClaimUnknown:
	}
	return s, final(c)
}

// answered decides over the agent's answer about the claim in the row. Only
// an answer that fences the old nonce lets this attempt take over.
func (s Settle) answered(o wire.Outcome) (Settle, ClaimStep) {
	if o.Nonce != s.seen.Nonce {
		return s, Wait{}
	}
	switch o.State {
	case wire.OutcomeNeverSeen, wire.OutcomeNotRun:
		return s.write(s.mine, s.version)
	case wire.OutcomeDone, wire.OutcomeUnknown:
		return s.write(s.seen.WithOutcome(o), s.version)
	case wire.OutcomeRunning:
	}
	return s, Wait{}
}

// write remembers what is written, so that Written can tell what it means.
func (s Settle) write(c Claim, version uint64) (Settle, ClaimStep) {
	s.wanted = c
	return s, WriteRow{Claim: c, Version: version}
}

func (s Settle) settled() (Settle, ClaimStep) {
	if s.wanted.Nonce == s.mine.Nonce {
		return s, Proceed{s.mine}
	}
	return s, final(s.wanted)
}

// expired ends an attempt that has dispatched nothing. Another attempt with
// the same key may have run.
func (s Settle) expired() (Settle, ClaimStep) {
	if s.foreign {
		f := fault.New(fault.Deadline, "an earlier attempt with this key has no outcome yet")
		return s, Fail{f.WithOutcome(fault.Unknown)}
	}
	return s, Fail{fault.New(fault.Unavailable, "claim of the idempotency key could not be settled in time")}
}

// final returns the step for a claim with an outcome.
func final(c Claim) ClaimStep {
	switch {
	case c.State == ClaimDone && c.BodyOmitted:
		f := fault.New(fault.TooLarge, "call was done; its result was too large to be kept")
		return Fail{f.WithOutcome(fault.Partial)}
	case c.State == ClaimDone:
		return Return{c}
	case c.State == ClaimNotRun:
		return Fail{fault.New(fault.TargetLost, "call was fenced before it ran")}
	}
	return Fail{fault.New(fault.TargetLost, "effect of an earlier attempt is not known").WithOutcome(fault.Unknown)}
}

func (RowFound) claimEvent()     {}
func (RowAbsent) claimEvent()    {}
func (RowBad) claimEvent()       {}
func (TableDown) claimEvent()    {}
func (Written) claimEvent()      {}
func (WriteRefused) claimEvent() {}
func (WriteLost) claimEvent()    {}
func (AgentSaid) claimEvent()    {}
func (AgentGone) claimEvent()    {}
func (AgentSilent) claimEvent()  {}
func (Waited) claimEvent()       {}
func (Expired) claimEvent()      {}

func (ReadRow) claimStep()  {}
func (WriteRow) claimStep() {}
func (AskAgent) claimStep() {}
func (Wait) claimStep()     {}
func (Proceed) claimStep()  {}
func (Return) claimStep()   {}
func (Fail) claimStep()     {}

package steps

import (
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

type (
	// Event is an input of a Coord.
	Event interface{ event() }

	// Chosen answers Choose; Chain is empty when no chain exists.
	Chosen struct{ Chain []wire.Stage }

	// Received is a message from the agent of a target.
	Received struct {
		Target  string
		Message wire.Message
	}

	// LinkLost means that the agent has ended, or that the link to it could not
	// be re-established in time.
	LinkLost struct{ Target string }

	// Relinked means that the link to the same agent incarnation has been
	// re-established.
	Relinked struct{ Target string }

	// Fired means that a timer set by Arm has expired.
	Fired struct{ Timer int }

	// DeadlinePassed means that the deadline of the request has passed. It ends
	// the request.
	DeadlinePassed struct{}

	// CallerGone means that the caller no longer waits for the answer. It ends
	// the request.
	CallerGone struct{}

	// Action is an action that the caller of Coord.Next must carry out.
	Action interface{ action() }

	// Choose asks for a chain. The caller answers with Chosen.
	Choose struct {
		// Chain holds the stages to keep, except those at targets of Dead;
		// empty to choose all stages anew.
		Chain []wire.Stage
		// Dead holds the targets of Chain to be replaced: they were lost or
		// refused the request.
		Dead map[string]bool
		// Exclude holds further targets that must not be chosen.
		Exclude map[string]bool
	}

	// Send sends a message to the agent of a stage. The caller reports a
	// failure to send with LinkLost.
	Send struct {
		Stage   wire.Stage
		Message wire.Message
	}

	// Emit passes the next token of the answer to the caller of the request.
	Emit struct{ Value uint32 }

	// Arm sets a timer: the caller reports Fired with the same number after the
	// given time.
	Arm struct {
		Timer int
		After time.Duration
	}

	// Recovering reports that a new attempt begins after the request may have
	// run in an earlier one.
	Recovering struct{ Attempt int }

	// End ends the request; no further action follows.
	End struct {
		// Failure is nil for a complete answer.
		Failure *fault.Error
		// Reason is FinishStop or FinishLength for a complete answer.
		Reason string
	}
)

func (Chosen) event()         {}
func (Received) event()       {}
func (LinkLost) event()       {}
func (Relinked) event()       {}
func (Fired) event()          {}
func (DeadlinePassed) event() {}
func (CallerGone) event()     {}

func (Choose) action()     {}
func (Send) action()       {}
func (Emit) action()       {}
func (Arm) action()        {}
func (Recovering) action() {}
func (End) action()        {}

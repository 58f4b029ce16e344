package steps

import (
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

type (
	// Event is anything that a coordinator reacts to.
	Event interface{ event() }

	// Chosen answers Choose; Chain is empty when no chain exists.
	Chosen struct{ Chain []wire.Stage }

	// Received is a message from the agent of a target.
	Received struct {
		Target  string
		Message wire.Message
	}

	// LinkLost means that the agent is gone, or that its link could not be
	// dialled again in time.
	LinkLost struct{ Target string }

	// Relinked means that the link to the same agent incarnation is up again.
	Relinked struct{ Target string }

	// Fired means that a timer has run out.
	Fired struct{ Timer int }

	// DeadlinePassed ends the request.
	DeadlinePassed struct{}

	// CallerGone ends the request.
	CallerGone struct{}

	// Action is anything that a coordinator asks for.
	Action interface{ action() }

	// Choose asks for a chain.
	Choose struct {
		// Chain is the chain whose survivors stay; empty for a new chain.
		Chain []wire.Stage
		// Dead holds the targets of Chain that are to be replaced.
		Dead map[string]bool
		// Exclude holds further targets that must not be chosen.
		Exclude map[string]bool
	}

	// Send asks for a message to the agent of a stage. A failure to send is
	// reported as LinkLost.
	Send struct {
		Stage   wire.Stage
		Message wire.Message
	}

	// Emit releases the next token of the answer.
	Emit struct{ Value uint32 }

	// Arm asks for Fired with the same number after some time.
	Arm struct {
		Timer int
		After time.Duration
	}

	// Recovering tells that the chain is opened again after a start.
	Recovering struct{ Attempt int }

	// End is the last action.
	End struct {
		// Failure is nil for a complete answer.
		Failure *fault.Error
		// Reason is the finish reason of a complete answer.
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

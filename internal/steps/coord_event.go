package steps

import (
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

type (
	// Event is an input of a Coordinator.
	Event interface{ event() }

	// ChainChosen answers ChooseChain; Chain is empty when no chain exists.
	ChainChosen struct{ Chain []wire.Stage }

	// MessageReceived is a message from the agent of a target.
	MessageReceived struct {
		Target  string
		Message wire.Message
	}

	// LinkLost means that the agent has ended, or that the link to it could not
	// be re-established in time.
	LinkLost struct{ Target string }

	// Relinked means that the link to the same agent incarnation has been
	// re-established.
	Relinked struct{ Target string }

	// TimerFired means that a timer set by SetTimer has expired.
	TimerFired struct{ Timer int }

	// DeadlinePassed means that the deadline of the request has passed. It ends
	// the request.
	DeadlinePassed struct{}

	// CallerGone means that the caller no longer waits for the answer. It ends
	// the request.
	CallerGone struct{}

	// Action is an action that the caller of Coordinator.Next must carry out.
	Action interface{ action() }

	// ChooseChain requests a chain. The caller answers with ChainChosen.
	ChooseChain struct {
		// Chain holds the stages to keep, except those at targets of Lost;
		// empty to choose all stages anew.
		Chain []wire.Stage
		// Lost holds the targets of Chain to be replaced: they were lost or
		// refused the request.
		Lost map[string]bool
		// Exclude holds further targets that must not be chosen.
		Exclude map[string]bool
	}

	// SendMessage sends a message to the agent of a stage. The caller reports a
	// failure to send with LinkLost.
	SendMessage struct {
		Stage   wire.Stage
		Message wire.Message
	}

	// Emit passes the next token of the answer to the caller of the request.
	Emit struct{ Value uint32 }

	// SetTimer sets a timer: the caller reports TimerFired with the same number
	// after the given time.
	SetTimer struct {
		Timer int
		After time.Duration
	}

	// Recovering reports that a new attempt begins after the request may have
	// run in an earlier one.
	Recovering struct{ Attempt int }

	// EndRequest ends the request; no further action follows.
	EndRequest struct {
		// Failure is nil for a complete answer.
		Failure *fault.Error
		// Reason is FinishStop or FinishLength for a complete answer.
		Reason string
	}
)

func (ChainChosen) event()     {}
func (MessageReceived) event() {}
func (LinkLost) event()        {}
func (Relinked) event()        {}
func (TimerFired) event()      {}
func (DeadlinePassed) event()  {}
func (CallerGone) event()      {}

func (ChooseChain) action() {}
func (SendMessage) action() {}
func (Emit) action()        {}
func (SetTimer) action()    {}
func (Recovering) action()  {}
func (EndRequest) action()  {}

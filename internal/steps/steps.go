// Package steps holds the two state machines of a model request. Session runs
// at each stage: it decides whether an input is run on the engine, answered
// from the log of earlier outputs, buffered, or rejected because it belongs to
// another attempt. Coordinator runs at the entry: it opens a chain of targets,
// puts the tokens in order, and replaces stages that are lost. Both perform no
// I/O; the caller carries out their decisions in the order in which they are
// given.
package steps

import (
	"shallotcourse/internal/wire"
)

const (
	// phaseOpening waits for the engine to open a session.
	phaseOpening phase = iota
	// phaseOpened waits for Start of the current attempt.
	phaseOpened
	// phaseStarted runs inputs of the current attempt.
	phaseStarted
	// phaseFailed has no usable engine session: none was opened yet, or it
	// failed or was closed. Only Open leaves this phase.
	phaseFailed
)

type (
	phase int

	// Limits bound the memory of a session.
	Limits struct {
		// LogBytes bounds the log of outputs, from which a replacement of the
		// next stage is supplied. When the log no longer holds what the
		// replacement needs, all stages start again with new engine sessions.
		LogBytes int
		// HoldPositions bounds the inputs that are buffered until an
		// earlier one, or Start, arrives.
		HoldPositions int
		// ChunkPositions bounds one engine step, so that the stages work on
		// successive chunks of a long prompt at the same time.
		ChunkPositions int
	}

	// Result is what the engine returned for a RunStep.
	Result struct {
		// Position is the first position that was run, Count their number.
		Position int
		Count    int
		// Data holds Count blocks of equal size, one for each position.
		Data []byte
		// Tokens holds the tokens that the last stage sampled.
		Tokens []Sampled
	}

	// Sampled is a token sampled by the last stage.
	Sampled struct {
		// Position is the position at which the token is the input. It is one
		// above the position whose output the token was sampled from.
		Position int
		Value    uint32
		// End is set if the model ended the answer with this token.
		End bool
	}

	// Decision is an action that the caller must carry out.
	Decision interface{ decision() }

	// OpenEngine opens a new engine session with the given generation number.
	// The caller reports the result with EngineOpened or EngineFailed.
	OpenEngine struct{ Generation int }

	// CloseEngine closes the engine session of a generation.
	CloseEngine struct{ Generation int }

	// Truncate drops Position and all later positions from the engine session.
	// The caller reports the result with Truncated or EngineFailed.
	Truncate struct{ Generation, Position int }

	// RunStep runs Count positions from Position on the engine. The caller reports
	// the result with StepDone or EngineFailed.
	RunStep struct {
		Generation int
		Position   int
		Count      int
		// Data holds Count inputs of equal size.
		Data []byte
	}

	// SendOpened reports to the entry that the stage is ready for Start.
	SendOpened struct{ Opened wire.Opened }

	// SendRefused reports to the entry that the stage rejects Open.
	SendRefused struct{ Refused wire.Refused }

	// SendStep sends outputs to the next stage, as its inputs.
	SendStep struct{ Step wire.Step }

	// SendToken sends a token to the entry, to the first stage, or to both.
	SendToken struct {
		Token          wire.Token
		Entry, ToFirst bool
	}

	// SendFailed reports to the entry that a stage cannot continue.
	SendFailed struct{ Failed wire.StageFailed }

	// SendStale rejects a message of another attempt. It goes to the sender of
	// that message.
	SendStale struct{ Stale wire.Stale }

	// DropSession releases the Session itself; the caller drops it.
	DropSession struct{}
)

// DefaultLimits keep 4 MiB of outputs and run prompts in chunks of 256
// positions.
var DefaultLimits = Limits{LogBytes: 4 << 20, HoldPositions: 8192, ChunkPositions: 256}

func (OpenEngine) decision()  {}
func (CloseEngine) decision() {}
func (Truncate) decision()    {}
func (RunStep) decision()     {}
func (SendOpened) decision()  {}
func (SendRefused) decision() {}
func (SendStep) decision()    {}
func (SendToken) decision()   {}
func (SendFailed) decision()  {}
func (SendStale) decision()   {}
func (DropSession) decision() {}

// Package steps decides what a stage does with the messages of a request: run
// a step, answer it from the log, hold it, or reject it as stale. It is pure;
// the caller carries out the decisions in their order.
package steps

import (
	"shallotcourse/internal/wire"
)

const (
	phaseOpening phase = iota
	// phaseOpened waits for Start of the current attempt.
	phaseOpened
	phaseStarted
	// phaseFailed has lost its engine session; only Open leaves it.
	phaseFailed
)

type (
	phase int

	// Limits bound the memory of a session.
	Limits struct {
		// LogBytes bounds the outputs kept for recovery. When a log no longer
		// reaches back to a replaced stage, the whole chain is run afresh.
		LogBytes int
		// HoldPositions bounds inputs that wait for an earlier one.
		HoldPositions int
		// ChunkPositions bounds one engine step, so that a long prompt moves
		// through the stages in overlapping parts.
		ChunkPositions int
	}

	// Result is the outcome of a Run.
	Result struct {
		Position int
		Count    int
		// Data holds Count blocks of equal size.
		Data []byte
		// Tokens holds what the last stage sampled.
		Tokens []Sampled
	}

	// Sampled is a token that is the input at Position.
	Sampled struct {
		Position int
		Value    uint32
		End      bool
	}

	// Decision is one thing for the caller to do.
	Decision interface{ decision() }

	// OpenEngine asks for a new engine session of a generation; answer with
	// EngineOpened or EngineFailed.
	OpenEngine struct{ Generation int }

	// CloseEngine frees the engine session of a generation.
	CloseEngine struct{ Generation int }

	// Truncate cuts the engine session; answer with Truncated or
	// EngineFailed.
	Truncate struct{ Generation, Position int }

	// Run runs a step on the engine; answer with Ran or EngineFailed.
	Run struct {
		Generation int
		Position   int
		Count      int
		Data       []byte
	}

	// SendOpened answers the entry.
	SendOpened struct{ Opened wire.Opened }

	// SendRefused answers the entry.
	SendRefused struct{ Refused wire.Refused }

	// SendStep goes to the next stage.
	SendStep struct{ Step wire.Step }

	// SendToken goes to the entry, the first stage, or both.
	SendToken struct {
		Token          wire.Token
		Entry, ToFirst bool
	}

	// SendFailed tells the entry that a stage cannot go on.
	SendFailed struct{ Failed wire.StageFailed }

	// SendStale answers the sender of the input.
	SendStale struct{ Stale wire.Stale }

	// Free ends the session.
	Free struct{}
)

// DefaultLimits keep 4 MiB of outputs and prefill in chunks of 256.
var DefaultLimits = Limits{LogBytes: 4 << 20, HoldPositions: 8192, ChunkPositions: 256}

func (OpenEngine) decision()  {}
func (CloseEngine) decision() {}
func (Truncate) decision()    {}
func (Run) decision()         {}
func (SendOpened) decision()  {}
func (SendRefused) decision() {}
func (SendStep) decision()    {}
func (SendToken) decision()   {}
func (SendFailed) decision()  {}
func (SendStale) decision()   {}
func (Free) decision()        {}

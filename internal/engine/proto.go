// Package engine is the HTTP client of model engines and plain services.
package engine

import (
	"time"

	"shallotcourse/pkg/resrc"
)

const (
	// OrderLoad loads a range of layers of a version and drops what the
	// engine held before, with its sessions and adapters.
	OrderLoad OrderKind = "Load"
	// OrderLoadAdapter loads an adapter beside the version.
	OrderLoadAdapter OrderKind = "LoadAdapter"
	// OrderUnloadAdapter drops an adapter.
	OrderUnloadAdapter OrderKind = "UnloadAdapter"
	// OrderRole changes the role of the engine.
	OrderRole OrderKind = "Role"
)

type (
	// OrderKind names what an order does.
	OrderKind string

	// SessionRequest opens a session, or returns the state of an open one.
	SessionRequest struct {
		Session string
		Version string
		Adapter string
		Layers  resrc.LayerRange
		// Prompt is looked up in the prefix cache; sampling starts with the
		// output of its last position.
		Prompt   []uint32
		Seed     uint64
		Priority int
		// Sample asks for tokens; set for the last stage of a chain.
		Sample bool
	}

	// SessionState tells where a session stands.
	SessionState struct {
		Session string
		// Next is the first position that has not run.
		Next int
	}

	// StepRequest runs positions from Position on. Data holds Count blocks
	// of equal size: token values (4 bytes, little-endian) where the engine
	// holds layer 0, else outputs of the layer before.
	StepRequest struct {
		Position int
		Count    int
		Data     []byte
	}

	// Sampled is a token that follows from the output of a position.
	Sampled struct {
		// Position is where the token is the input: one above its output.
		Position int
		Value    uint32
		End      bool
	}

	// StepResult holds the outputs of a step.
	StepResult struct {
		Position int
		Count    int
		Data     []byte
		Tokens   []Sampled
	}

	// BatchStep is one step of a stream, whose body is a series of JSON arrays
	// of steps.
	BatchStep struct {
		Session string
		StepRequest
	}

	// BatchResult answers a step of a stream; Index counts all steps of the
	// stream from 0. The answer is one JSON line for each step, in the order
	// in which they end.
	BatchResult struct {
		Index  int
		Result StepResult
		// Code and Detail are set for a step that failed.
		Code   string `json:",omitempty"`
		Detail string `json:",omitempty"`
	}

	// TruncateRequest drops all positions from Position on.
	TruncateRequest struct {
		Position int
	}

	// KV is an exported session.
	KV struct {
		SessionRequest
		// States holds the state of each layer after each position.
		States [][]uint64
	}

	// Order tells the engine what to hold.
	Order struct {
		Kind    OrderKind
		Version string
		Layers  resrc.LayerRange
		Adapter string
		Role    string
		// Bytes is the size of the weights to be read.
		Bytes int64
		// Fence is the ownership epoch of the sender.
		Fence uint64
	}

	// State is what an engine holds.
	State struct {
		Version  string
		Layers   resrc.LayerRange
		Adapters []string
		Role     string
		// Loading is set while an order runs.
		Loading bool
	}

	// LoadReport is the engine's own load report, which lags.
	LoadReport struct {
		Sessions int
		Waiting  int
		Running  int
		// CachedBlocks counts the blocks in the prefix cache.
		CachedBlocks int
		// Age is the time since the report was true.
		Age time.Duration
	}

	// CacheEvent tells of a block that entered or left the prefix cache.
	CacheEvent struct {
		// Sequence grows by one; a missing number is a lost event.
		Sequence uint64
		Added    bool
		// Block identifies the block's tokens and all tokens before.
		Block uint64
	}
)

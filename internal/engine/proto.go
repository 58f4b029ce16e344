// Package engine is the HTTP client of model engines and plain services.
package engine

import (
	"time"

	"shallotcourse/pkg/resrc"
)

const (
	// OrderLoad loads a range of layers of a model version. It replaces
	// whatever was loaded, including its sessions and adapters.
	OrderLoad OrderKind = "Load"
	// OrderLoadAdapter loads an adapter for the loaded version.
	OrderLoadAdapter OrderKind = "LoadAdapter"
	// OrderUnloadAdapter unloads an adapter.
	OrderUnloadAdapter OrderKind = "UnloadAdapter"
	// OrderRole changes the role of the engine.
	OrderRole OrderKind = "Role"
)

type (
	// OrderKind is the operation that an order requests.
	OrderKind string

	// SessionRequest opens a session, or reads the state of an open one.
	SessionRequest struct {
		Session string
		Version string
		Adapter string
		Layers  resrc.LayerRange
		// Prompt is looked up in the prefix cache. Sampling starts with the
		// output of its last position.
		Prompt   []uint32
		Seed     uint64
		Priority int
		// Sample requests sampled tokens. It is set for the last stage of a
		// chain only.
		Sample bool
	}

	// SessionState is the progress of a session.
	SessionState struct {
		Session string
		// Next is the first position that has not been run.
		Next int
	}

	// StepRequest runs Count positions, starting at Position. Data holds
	// Count blocks of equal size: token values (4 bytes, little-endian) if
	// the engine holds layer 0, otherwise outputs of the preceding layer.
	StepRequest struct {
		Position int
		Count    int
		Data     []byte
	}

	// SampledToken is a token that was sampled from the output of a position.
	SampledToken struct {
		// Position is the position at which the token is the input, which is
		// one more than the position whose output it was sampled from.
		Position int
		Value    uint32
		End      bool
	}

	// StepResult holds the outputs of a step, and the tokens sampled from them.
	StepResult struct {
		Position int
		Count    int
		Data     []byte
		Tokens   []SampledToken
	}

	// BatchStep is one step in a Stream. The request body of the stream is a
	// sequence of JSON arrays of steps.
	BatchStep struct {
		Session string
		StepRequest
	}

	// BatchResult is the result of one step in a Stream. Index counts all
	// steps of the stream from 0. The response body has one JSON line per
	// step, in the order of completion.
	BatchResult struct {
		Index  int
		Result StepResult
		// Code and Detail are set only if the step failed.
		Code   string `json:",omitempty"`
		Detail string `json:",omitempty"`
	}

	// TruncateRequest discards the positions at and after Position.
	TruncateRequest struct {
		Position int
	}

	// SessionExport is an exported session with its KV cache.
	SessionExport struct {
		SessionRequest
		// States holds the state of each layer after each position.
		States [][]uint64
	}

	// Order changes what the engine has loaded, or its role.
	Order struct {
		Kind    OrderKind
		Version string
		Layers  resrc.LayerRange
		Adapter string
		Role    string
		// Bytes is the size of the weights to load.
		Bytes int64
		// Fence is the fencing token: the ownership epoch of the sender.
		Fence uint64
	}

	// State is what an engine has loaded, and its role.
	State struct {
		Version  string
		Layers   resrc.LayerRange
		Adapters []string
		Role     string
		// Loading is true while an order is running.
		Loading bool
	}

	// LoadReport is the engine's own load report. It lags behind the actual
	// load.
	LoadReport struct {
		Sessions int
		Waiting  int
		Running  int
		// CachedBlocks counts the blocks in the prefix cache.
		CachedBlocks int
		// Age is the time since the values were current.
		Age time.Duration
	}

	// CacheEvent reports that a block was added to or removed from the prefix
	// cache.
	CacheEvent struct {
		// Sequence increases by one with each event, so a gap means that events
		// were lost.
		Sequence uint64
		Added    bool
		// Block identifies the block's tokens and all tokens before them.
		Block uint64
	}
)

// Package topo describes a routed deployment: the routes and services that
// operators declare, and the targets that serve them.
package topo

import (
	"time"
)

const (
	// Repeatable work may run more than once.
	Repeatable Semantics = iota
	// Once is work that may run at most once.
	Once
	// Stream is an event stream that may run once, unless its route is
	// resumable.
	Stream
)

const (
	// Ready targets accept work.
	Ready State = iota
	// Draining targets finish their work and accept nothing new.
	Draining
)

type (
	// Semantics says what may be repeated.
	Semantics int

	// State is what a target says of its own readiness.
	State int

	// Layers is a range of model layers; To is exclusive.
	Layers struct{ From, To int }

	// Share is a service's part of a route's traffic.
	Share struct {
		Service string
		// Weight is relative to the other shares of the route.
		Weight int
	}

	// Route sends the requests of a host and path prefix to a service.
	Route struct {
		Name string
		Host string
		// Prefix begins and ends with a slash.
		Prefix    string
		Semantics Semantics
		// Timeout is the longest time that a caller waits for an answer.
		Timeout time.Duration
		// Objective is the time within which an answer, or its first event, is
		// worth most to the caller.
		Objective time.Duration
		// Pause is the longest wait between events that callers count as
		// smooth.
		Pause time.Duration
		// Priority 0 is the most urgent.
		Priority int
		// Shares is never empty.
		Shares []Share
		// Attempts bounds the targets that may run one request.
		Attempts int
		// Public routes need no key.
		Public bool
		// Resumable streams may go on at another target after their last event.
		Resumable bool
	}

	// Card is a kind of accelerator.
	Card struct {
		// Megabytes is the memory for layers and requests.
		Megabytes float64
		// Pace multiplies the time of a step, ReadPace that of reading prompts.
		Pace, ReadPace float64
	}

	// Model is the layout of a service whose targets hold layers of a model.
	Model struct {
		Name   string
		Layers int
		// LayerMegabytes is the memory of one layer's weights.
		LayerMegabytes float64
		// TokenMegabytes is the memory of one token in one layer.
		TokenMegabytes float64
		// ActivationBytes crosses each hop for each token.
		ActivationBytes int
		// Step is the time of one token step through all layers on a card of
		// pace 1, and StepPerRequest what each request in the batch adds.
		Step, StepPerRequest time.Duration
		// StepPerThousand is what each thousand tokens of context of those
		// requests add.
		StepPerThousand time.Duration
		// Stride is the number of steps that a target runs at once.
		Stride int
		// Chunk bounds the tokens of a step, prompts and answers together.
		Chunk int
		// ReadPerSecond is the rate of prompt tokens through all layers.
		ReadPerSecond float64
		// Load is the time to load all layers alone.
		Load time.Duration
		// LoadsAtOnce loads run without slowing one another.
		LoadsAtOnce int
		Cards       map[string]Card
		// UsualPrompt and UsualAnswer are mean token counts.
		UsualPrompt, UsualAnswer int
	}

	// Service is a set of interchangeable targets.
	Service struct {
		Name string
		// Connections bounds the connections of all callers to one target.
		Connections int
		// Model is nil for a plain service.
		Model *Model
	}

	// Account is a client account that may call the routes that are not public.
	Account struct {
		Name string
		// Priority replaces that of the route if it is set.
		Priority *int
	}

	// Limits bounds what callers may send.
	Limits struct {
		HeaderBytes, BodyBytes int64
		HeaderTimeout          time.Duration
		IdleTimeout            time.Duration
	}

	// Target is one lifetime of a back end.
	Target struct {
		ID string
		// Born is the start of this lifetime by the target's own clock; a
		// target that starts again under its ID has another one.
		Born       int64
		Service    string
		Address    string
		DataCentre string
		State      State
		// Slots is the number of requests that it runs at once.
		Slots int
		// Card names the kind of accelerator; empty for a plain service.
		Card string
		// Held is empty while the target holds no layers.
		Held Layers
		// Sequence counts the orders that this lifetime accepted; it is known
		// only from the target's own report.
		Sequence int64
		// Pace over 1 means that the target is slower than its card.
		Pace float64
		// Loading says that an order is in progress.
		Loading bool
	}
)

// Len returns the number of layers.
func (l Layers) Len() int { return max(0, l.To-l.From) }

// WithHeld returns a copy that holds other layers.
func (t Target) WithHeld(l Layers) Target {
	t.Held = l
	return t
}

// StepOf is the time of a step through all layers on a card of pace 1 while n
// requests of usual size write.
func (m *Model) StepOf(n float64) time.Duration {
	thousands := (float64(m.UsualPrompt) + float64(m.UsualAnswer)/2) / 1000
	return m.Step + time.Duration(n*(float64(m.StepPerRequest)+thousands*float64(m.StepPerThousand)))
}

// UsualMegabytes is the memory of a request of usual size in one layer.
func (m *Model) UsualMegabytes() float64 {
	return float64(m.UsualPrompt+m.UsualAnswer) * m.TokenMegabytes
}

// RoomMegabytes is the memory that a card has for requests beside n layers.
func (m *Model) RoomMegabytes(card string, n int) float64 {
	return m.Cards[card].Megabytes - float64(n)*m.LayerMegabytes
}

// MostLayers is the largest number of layers that fits a card.
func (m *Model) MostLayers(card string) int {
	if m.LayerMegabytes <= 0 {
		return 0
	}
	return min(m.Layers, int(m.Cards[card].Megabytes/m.LayerMegabytes))
}

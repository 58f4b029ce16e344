// Package topo holds the types that describe a deployment: the routes, services
// and accounts that operators declare, and the targets that serve them.
package topo

import (
	"time"
)

const (
	// Repeatable requests may be executed more than once.
	Repeatable Semantics = iota
	// Once marks requests that may be executed at most once.
	Once
	// Stream marks requests that are answered by an event stream. They may be
	// executed at most once, unless the route is resumable.
	Stream
)

const (
	// Ready targets accept requests.
	Ready State = iota
	// Draining targets finish their requests and accept no new ones.
	Draining
)

type (
	// Semantics is the kind of a route's requests with regard to retries.
	Semantics int

	// State is the readiness that a target reports of itself.
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
		// Timeout is the time limit of a request.
		Timeout time.Duration
		// Objective is the target latency of an answer, or of its first event.
		Objective time.Duration
		// Pause is the longest time between two events that callers do not notice
		// as an interruption; 0 is no limit.
		Pause time.Duration
		// Priority is the urgency of the requests; 0 is the most urgent.
		Priority int
		// Shares is never empty.
		Shares []Share
		// Attempts is the largest number of targets that one request is sent to.
		Attempts int
		// Public says that requests need no key.
		Public bool
		// Resumable says that streams may be continued at another target after
		// their last event.
		Resumable bool
	}

	// Card is a kind of accelerator.
	Card struct {
		// Megabytes is the memory for layers and requests together.
		Megabytes float64
		// Pace multiplies the time of a step, ReadPace the time of reading
		// prompts; a card with a lower pace is faster.
		Pace, ReadPace float64
	}

	// Model describes the model of a service whose targets hold layers of it: its
	// sizes, its timing, and the cards that it runs on.
	Model struct {
		Name   string
		Layers int
		// LayerMegabytes is the memory of one layer's weights.
		LayerMegabytes float64
		// TokenMegabytes is the memory of one token in one layer.
		TokenMegabytes float64
		// ActivationBytes is the data sent over each hop for each token.
		ActivationBytes int
		// Step is the time of one token step through all layers on a card of
		// pace 1 with an empty batch, and StepPerRequest the time that each
		// request in the batch adds.
		Step, StepPerRequest time.Duration
		// StepPerThousand is the time that each thousand tokens of context of
		// those requests add.
		StepPerThousand time.Duration
		// Stride is the number of steps that a target runs in one pass.
		Stride int
		// Chunk bounds the tokens of a step, of prompts and answers together.
		Chunk int
		// ReadPerSecond is the number of prompt tokens per second that pass
		// through all layers on a card of read pace 1.
		ReadPerSecond float64
		// Load is the time to load all layers while no other load runs.
		Load time.Duration
		// LoadsAtOnce is the number of loads that can run at the same time
		// without slowing one another.
		LoadsAtOnce int
		// Cards holds the kinds of cards by name.
		Cards map[string]Card
		// UsualPrompt and UsualAnswer are mean token counts.
		UsualPrompt, UsualAnswer int
		// Delays holds the delays between data centres that the configuration
		// names; empty if it names none.
		Delays []Delay
		// PipeBytes is the number of bytes per second that all transfers between
		// data centres share; 0 if the configuration names none.
		PipeBytes float64
	}

	// Delay is the time from one data centre to another, in either direction
	// unless the opposite one is named too.
	Delay struct {
		From, To string
		Delay    time.Duration
	}

	// Service is a set of interchangeable targets.
	Service struct {
		Name string
		// Connections is the largest number of connections of all callers to one
		// target.
		Connections int
		// Model is nil for a plain service, which is one without a model.
		Model *Model
	}

	// Account is a client account, whose keys allow requests to the routes that
	// are not public.
	Account struct {
		Name string
		// Priority overrides that of the route if it is not nil.
		Priority *int
	}

	// Limits bounds the requests that callers may send.
	Limits struct {
		HeaderBytes, BodyBytes int64
		HeaderTimeout          time.Duration
		IdleTimeout            time.Duration
	}

	// Target is one incarnation of a back end.
	Target struct {
		ID string
		// Started is the start time of this incarnation by the target's own clock. It
		// differs after a restart under the same ID.
		Started    int64 `cbor:"Born" json:"Born"`
		Service    string
		Address    string
		DataCentre string
		State      State
		// Slots is the number of requests that the target runs at the same time.
		Slots int
		// Card is the name of the kind of accelerator; empty for a plain service.
		Card string
		// Held is the range of layers that the target holds; empty if none.
		Held Layers
		// Sequence counts the orders that this incarnation has accepted; it is
		// known only from the target's own report.
		Sequence int64
		// Pace multiplies the time of the target relative to its card; above 1 it
		// is slower.
		Pace float64
		// Loading says that the target is carrying out an order.
		Loading bool
	}
)

// Len returns the number of layers; it is 0 for an inverted range.
func (l Layers) Len() int { return max(0, l.To-l.From) }

// WithHeld returns a copy that holds other layers.
func (t Target) WithHeld(l Layers) Target {
	t.Held = l
	return t
}

// Runs reports whether a target may run layers of the model: the model knows its
// card, and the layers that it holds are layers of the model.
func (m *Model) Runs(t Target) bool {
	_, ok := m.Cards[t.Card]
	return ok && m.Contains(t.Held)
}

// Contains reports whether a range, which may be empty, is one of the model's
// layers.
func (m *Model) Contains(l Layers) bool { return 0 <= l.From && l.From <= l.To && l.To <= m.Layers }

// Delay returns the named delay from one data centre to another, or that of the
// opposite direction.
func (m *Model) Delay(from, to string) (time.Duration, bool) {
	found, ok := time.Duration(0), false
	for _, d := range m.Delays {
		switch {
		case d.From == from && d.To == to:
			return d.Delay, true
		case d.From == to && d.To == from:
			found, ok = d.Delay, true
		}
	}
	return found, ok
}

// StepTime is the time of a step through all layers on a card of pace 1 while n
// requests of usual size generate tokens.
func (m *Model) StepTime(n float64) time.Duration {
	thousands := (float64(m.UsualPrompt) + float64(m.UsualAnswer)/2) / 1000
	return m.Step + time.Duration(n*(float64(m.StepPerRequest)+thousands*float64(m.StepPerThousand)))
}

// UsualMegabytes is the memory of a request of usual size in one layer.
func (m *Model) UsualMegabytes() float64 {
	return float64(m.UsualPrompt+m.UsualAnswer) * m.TokenMegabytes
}

// FreeMegabytes is the memory that a card has left for requests beside n layers.
func (m *Model) FreeMegabytes(card string, n int) float64 {
	return m.Cards[card].Megabytes - float64(n)*m.LayerMegabytes
}

// MaxLayers is the largest number of layers that fits a card.
func (m *Model) MaxLayers(card string) int {
	if m.LayerMegabytes <= 0 {
		return 0
	}
	return min(m.Layers, int(m.Cards[card].Megabytes/m.LayerMegabytes))
}

// Package proxy is the HTTP data path of a gateway: it sends the requests of
// declared routes to targets and their answers back, and recovers streams
// whose targets fail.
package proxy

import (
	"context"
	"net/http"
	"time"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/topo"
)

type (
	// Hop is one target of a path.
	Hop struct {
		Address string
		Layers  topo.Layers
	}

	// Ask is what the headers of a caller's request say.
	Ask struct {
		// ID names one attempt of a caller.
		ID string
		// Budget is how long the caller waits; 0 if it does not say.
		Budget time.Duration
		// Key is the caller's key.
		Key string
		// Prompt and MostAnswer are token counts, AnswerHint the caller's
		// estimate; 0 if not said.
		Prompt, MostAnswer, AnswerHint int
		// LastEvent is the last event that the caller has of the stream.
		LastEvent string
	}

	// Send is what the headers of a request to a target say.
	Send struct {
		// Target is the ID of the only target that may run the request.
		Target string
		// Account is the client account; empty on public routes.
		Account string
		// Budget is what is left of the caller's time.
		Budget time.Duration
		// LastEvent is the event after which a stream goes on.
		LastEvent string
		// Hops is empty for plain services.
		Hops []Hop
	}

	// Answer is what the headers of a target's answer say.
	Answer struct {
		ID string
		// Sealed answers come from a target that ran the request.
		Sealed bool
		// NotRun says that the target did not and will not run the request.
		NotRun bool
		// AtFault is the address of the target that caused a refusal.
		AtFault string
	}

	// Report is what a target says of itself.
	Report struct {
		Born, Sequence  int64
		Held            topo.Layers
		Loading         bool
		Pace            float64
		Running, Queued int
		// UsedTokenLayers and RoomTokenLayers are memory for requests.
		UsedTokenLayers, RoomTokenLayers float64
		// Stalled maps requests that wait to the address that they wait for.
		Stalled map[string]string
	}

	// Dialect reads and writes the headers of a deployment.
	Dialect interface {
		Read(h http.Header) Ask
		// Write replaces all headers that only the gateway may set.
		Write(h http.Header, s Send)
		Answer(h http.Header) Answer
	}

	// Engines calls the targets of a model. Failures are of type fault.Error;
	// the Field of a Conflict is the address of the target that refuses.
	Engines interface {
		Report(ctx context.Context, t topo.Target) (Report, error)
		Place(ctx context.Context, t topo.Target, l topo.Layers) error
		Repath(ctx context.Context, t topo.Target, request string, hops []Hop) error
	}
)

// HopsOf returns the wire form of a chain.
func HopsOf(hops []chain.Hop) []Hop {
	out := make([]Hop, len(hops))
	for i, h := range hops {
		out[i] = Hop{Address: h.Target.Address, Layers: h.Layers}
	}
	return out
}

// Of returns a target as its report describes it.
func (r Report) Of(t topo.Target) topo.Target {
	t = t.WithHeld(r.Held)
	t.Born, t.Sequence, t.Loading, t.Pace = r.Born, r.Sequence, r.Loading, max(1, r.Pace)
	return t
}

// Package proxy is the HTTP data path of a gateway. It forwards requests of
// configured routes to targets, returns their responses, and recovers streams
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
	// Hop is one target of a path, with the layers that it runs.
	Hop struct {
		Address string
		Layers  topo.Layers
	}

	// RequestHeaders holds the values of the headers of a caller's request.
	RequestHeaders struct {
		// ID identifies one attempt of a caller.
		ID string
		// Timeout is the caller's timeout; 0 if the request has none.
		Timeout time.Duration
		// Key is the caller's API key.
		Key string
		// PromptTokens is the length of the prompt in tokens, MaxAnswerTokens the
		// maximum length of the answer and AnswerTokensHint the caller's estimate of
		// it; 0 if absent.
		PromptTokens, MaxAnswerTokens, AnswerTokensHint int
		// PromptParts holds the IDs of the parts of the prompt, in order. Requests
		// share parts; the last one belongs to the request or its session alone.
		PromptParts []string
		// LastEvent is the ID of the last event of the stream that the caller
		// has received.
		LastEvent string
	}

	// TargetHeaders holds the values of the headers of a request to a target.
	TargetHeaders struct {
		// Target is the ID of the only target that may run the request.
		Target string
		// Account is the client account; empty on public routes.
		Account string
		// Remaining is the time left until the request's deadline.
		Remaining time.Duration
		// LastEvent is the ID of the event after which the stream continues.
		LastEvent string
		// Hops is the path through the model's layers; empty for plain
		// services.
		Hops []Hop
		// Ranked is true if the service has unequal priorities. Priority, 0 to 9, is
		// sent only then.
		Ranked   bool
		Priority int
	}

	// ResponseHeaders holds the values of the headers of a target's response.
	ResponseHeaders struct {
		ID string
		// Sealed is true if the response carries the seal that proves that the
		// target itself has run the request.
		Sealed bool
		// NotRun is true if the target has not run the request and never will.
		NotRun bool
		// RefusedBy is the address of the target on the path that caused a
		// refusal.
		RefusedBy string
		// Limit is the limit on requests that the target names.
		Limit NamedLimit
		// Leaving is true if the target says that it leaves.
		Leaving bool
		// Pause is the pause that a refusal asks for. It means nothing in others.
		Pause NamedPause
	}

	// NamedPause is the time for which a target wants nothing from this gateway, as
	// named in a refusal.
	NamedPause struct {
		// For is 0 if the response names no pause, and not negative.
		For time.Duration
		// Malformed is what the target sent instead of a pause, in quotes.
		Malformed string
	}

	// NamedLimit is the rate of requests that a target takes from all gateways
	// together, as named in one of its responses.
	NamedLimit struct {
		// Named is true if the response names a limit at all.
		Named bool
		// PerSecond is finite and not negative. It is 0 if Malformed is not empty.
		PerSecond float64
		// Malformed is what the target sent instead of a limit.
		Malformed string
	}

	// Report is a target's report of its incarnation, layers, pace and load.
	Report struct {
		Started, Sequence int64
		Held              topo.Layers
		Loading           bool
		Pace              float64
		Running, Queued   int
		// UsedTokenLayers and TotalTokenLayers are the used and the total memory
		// for requests, in tokens times layers.
		UsedTokenLayers, TotalTokenLayers float64
		// Stalled maps the IDs of requests that wait for another target to the
		// address of that target.
		Stalled map[string]string
	}

	// Dialect reads and writes the HTTP headers of the deployment's platform.
	Dialect interface {
		ReadRequest(h http.Header) RequestHeaders
		// WriteRequest sets the headers of s and replaces all headers that only the
		// gateway may set.
		WriteRequest(h http.Header, s TargetHeaders)
		ReadResponse(h http.Header) ResponseHeaders
	}

	// Engines calls the control API of a model's targets. Errors are of type
	// fault.Error; the Field of a Conflict is the address of the target that
	// refuses.
	Engines interface {
		Report(ctx context.Context, t topo.Target) (Report, error)
		Place(ctx context.Context, t topo.Target, l topo.Layers) error
		Repath(ctx context.Context, t topo.Target, request string, hops []Hop) error
	}
)

// HopsOf converts a chain to the hops that are sent to targets.
func HopsOf(hops []chain.Hop) []Hop {
	out := make([]Hop, len(hops))
	for i, h := range hops {
		out[i] = Hop{Address: h.Target.Address, Layers: h.Layers}
	}
	return out
}

// Apply returns t, updated with the values of the report.
func (r Report) Apply(t topo.Target) topo.Target {
	t = t.WithHeld(r.Held)
	t.Started, t.Sequence, t.Loading, t.Pace = r.Started, r.Sequence, r.Loading, max(1, r.Pace)
	return t
}

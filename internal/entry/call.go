package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/once"
	"shallotcourse/internal/route"
	"shallotcourse/internal/store"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const (
	// idempotencyKeyHeader carries the caller's idempotency key.
	idempotencyKeyHeader = "Idempotency-Key"
	// queryInterval is the time between queries about a running call.
	queryInterval = 200 * time.Millisecond
	// outcomeGrace is how long after the deadline the entry waits for the
	// agent's own report that the deadline has passed.
	outcomeGrace = 300 * time.Millisecond
)

type (
	// serviceCall is a call to a service.
	serviceCall struct {
		account  string
		service  string
		call     wire.Call
		deadline time.Time
	}

	// callResult is how a dispatched call ended: with the outcome that the
	// agent reported, or with a failure.
	callResult struct {
		outcome wire.Outcome
		failure *fault.Error
	}
)

// unforwardedHeaders are not passed on: they apply to a single connection, or
// hold the caller's API key.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// serveCall handles a call to a service.
func (e *Entry) serveCall(w *budget.Writer, r *http.Request, account string) error {
	e.metrics.calls.Inc()
	name := mux.Vars(r)["Service"]
	spec, ok := store.Spec[resrc.Service](e.cfg.Snapshot.Value(), name)
	if !ok {
		return fault.Newf(fault.NotFound, "service %q does not exist", name)
	}
	callPath, err := servicePath(r, name)
	if err != nil {
		return err
	}
	body, err := readBody(r)
	if err != nil {
		return err
	}
	key := r.Header.Get(idempotencyKeyHeader)
	if len(key) > once.MaxKeyBytes {
		return fault.Newf(fault.TooLarge, "%s has %d bytes; allowed: %d", idempotencyKeyHeader, len(key), once.MaxKeyBytes)
	}
	timeout := time.Duration(spec.Timeout)
	setDefault(&timeout, e.bounds.Call)
	deadline := e.cfg.Timer.Now().Add(timeout)
	admitted, err := e.admission.admit(r.Context(), account, e.admission.services, timeout)
	if err != nil {
		return err
	}
	defer admitted.release()
	if err := budget.FromContext(r.Context()).BeginRun(); err != nil {
		return err
	}
	q := serviceCall{account: account, service: name, deadline: deadline, call: wire.Call{
		ID: newID(), Method: r.Method, Path: callPath, Header: forwardedHeaders(r.Header), Body: body,
		Repeatable: spec.Repeatable(r.Method, callPath),
	}}
	if r.URL.RawQuery != "" {
		q.call.Path += "?" + r.URL.RawQuery
	}
	switch {
	case q.call.Repeatable:
		return e.writeResult(r.Context(), w, e.callRepeatable(r.Context(), q))
	case key == "":
		return e.writeResult(r.Context(), w, e.callOnce(r.Context(), q))
	}
	// The outcome of a call with a key is recorded even if its caller has
	// disconnected.
	return e.writeResult(r.Context(), w, e.callKeyed(context.WithoutCancel(r.Context()), q, key))
}

// callRepeatable retries a failed call at other targets, within its deadline,
// the maximum number of retries and the retry budget.
func (e *Entry) callRepeatable(ctx context.Context, q serviceCall) callResult {
	tried := map[string]bool{}
	last := callResult{failure: fault.Newf(fault.NoTarget, "no target of service %s is ready", q.service)}
	for n := 0; n <= e.bounds.CallRetries; n++ {
		target, p, ok := e.pickTarget(q.service, tried)
		if !ok {
			return last
		}
		if n > 0 && !e.allowRetry(last) {
			return last
		}
		tried[target] = true
		last = e.dispatch(ctx, q, target, p, newID())
		if last.failure == nil {
			e.admission.recordSuccess()
			return last
		}
		if last.failure.Code == fault.Canceled || last.failure.Code == fault.Deadline {
			return last
		}
	}
	return last
}

// callOnce retries a call at another target only after failures that
// guarantee that it did not run.
func (e *Entry) callOnce(ctx context.Context, q serviceCall) callResult {
	tried := map[string]bool{}
	last := callResult{failure: fault.Newf(fault.NoTarget, "no target of service %s is ready", q.service)}
	for n := 0; n <= e.bounds.CallRetries; n++ {
		target, p, ok := e.pickTarget(q.service, tried)
		if !ok || n > 0 && !e.allowRetry(last) {
			return last
		}
		tried[target] = true
		last = e.dispatch(ctx, q, target, p, newID())
		if last.failure == nil {
			e.admission.recordSuccess()
			return last
		}
		if last.failure.Outcome != fault.NotRun || last.failure.Code == fault.Canceled {
			return last
		}
	}
	return last
}

// allowRetry reports whether a call may be retried. Retries of a call that did
// not run add no work and are not charged to the retry budget.
func (e *Entry) allowRetry(last callResult) bool {
	if last.failure.Outcome != fault.NotRun && !e.admission.takeRetry() {
		return false
	}
	e.metrics.retries.Inc()
	return true
}

// pickTarget returns a target of a service with its link: the less busy one of
// two drawn at random. If all entries chose the least busy target, they would
// overload it until its next load report. Targets in tried are left out.
func (e *Entry) pickTarget(service string, tried map[string]bool) (string, incarnationLink, bool) {
	var candidates []route.Target
	for t := range e.view.Value().All() {
		if t.Spec.Service != service || !t.Admits() || tried[t.Name] {
			continue
		}
		if _, ok := e.agentLink(t.Name); ok {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return "", incarnationLink{}, false
	}
	var t route.Target
	e.random.with(func(r *rand.Rand) {
		a, b := candidates[r.IntN(len(candidates))], candidates[r.IntN(len(candidates))]
		t = a
		if b.EstimatedOpen(e.openCount(b.Name)) < a.EstimatedOpen(e.openCount(a.Name)) {
			t = b
		}
	})
	p, ok := e.agentLink(t.Name)
	if !ok {
		return "", incarnationLink{}, false
	}
	return t.Name, incarnationLink{p, p.Hello().Incarnation}, true
}

// writeResult writes the result of a call to its caller.
func (e *Entry) writeResult(ctx context.Context, w *budget.Writer, r callResult) error {
	if r.failure != nil {
		return e.admission.withRetryHint(e.admission.services, r.failure)
	}
	h := w.Header()
	for name, values := range r.outcome.Header {
		if !slices.Contains(unforwardedHeaders, http.CanonicalHeaderKey(name)) {
			h[http.CanonicalHeaderKey(name)] = values
		}
	}
	return writeWhole(ctx, w, r.outcome.Status, r.outcome.Body)
}

// servicePath returns the path that is sent to the service. Paths with dot
// segments or empty segments are refused: a service that resolves them would
// run a call other than the one to which the rules were applied.
func servicePath(r *http.Request, name string) (string, error) {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), "/services/"+name)
	unescaped, err := url.PathUnescape(rest)
	if !ok || err != nil || path.Clean(unescaped) != unescaped && path.Clean(unescaped)+"/" != unescaped {
		return "", fault.Invalid("path", r.URL.EscapedPath(), "a path without dot segments and empty segments")
	}
	return rest, nil
}

func forwardedHeaders(h http.Header) map[string][]string {
	out := map[string][]string(h.Clone())
	for _, name := range unforwardedHeaders {
		delete(out, name)
	}
	return out
}

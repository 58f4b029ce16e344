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

	"shallotcourse/internal/fault"
	"shallotcourse/internal/once"
	"shallotcourse/internal/route"
	"shallotcourse/internal/store"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const (
	// keyHeader carries the caller's idempotency key.
	keyHeader = "Idempotency-Key"
	// queryInterval is the time between questions about a running call.
	queryInterval = 200 * time.Millisecond
	// answerGrace is the time beyond the deadline in which the agent's own
	// report of the deadline is awaited.
	answerGrace = 300 * time.Millisecond
)

type (
	// request is one call to a plain service.
	request struct {
		account string
		service string
		call    wire.Call
		end     time.Time
	}

	// result is how a dispatch ended: an outcome of the agent, or a failure.
	result struct {
		outcome wire.Outcome
		failure *fault.Error
	}
)

// hopHeaders are meant for one connection only. The caller's key stays here.
var hopHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// service serves a call to a plain service.
func (e *Entry) service(w http.ResponseWriter, r *http.Request, account string) error {
	e.meter.calls.Inc()
	name := mux.Vars(r)["Service"]
	spec, ok := store.Spec[resrc.Service](e.cfg.Snapshot.Value(), name)
	if !ok {
		return fault.Newf(fault.NotFound, "service %q does not exist", name)
	}
	target, err := servicePath(r, name)
	if err != nil {
		return err
	}
	content, err := readBody(r)
	if err != nil {
		return err
	}
	key := r.Header.Get(keyHeader)
	if len(key) > once.MaxKeyBytes {
		return fault.Newf(fault.TooLarge, "%s has %d bytes; allowed: %d", keyHeader, len(key), once.MaxKeyBytes)
	}
	timeout := time.Duration(spec.Timeout)
	set(&timeout, e.bounds.Call)
	end := e.cfg.Timer.Now().Add(timeout)
	admitted, err := e.admit.enter(r.Context(), account, e.admit.services, timeout)
	if err != nil {
		return err
	}
	defer admitted.release()
	q := request{account: account, service: name, end: end, call: wire.Call{
		ID: newID(), Method: r.Method, Path: target, Header: forwarded(r.Header), Body: content,
		Repeatable: spec.Repeatable(r.Method, target),
	}}
	if r.URL.RawQuery != "" {
		q.call.Path += "?" + r.URL.RawQuery
	}
	switch {
	case q.call.Repeatable:
		return e.reply(w, e.callRepeatable(r.Context(), q))
	case key == "":
		return e.reply(w, e.callOnce(r.Context(), q))
	}
	// The outcome of a keyed call is recorded even if its caller has gone.
	return e.reply(w, e.callKeyed(context.WithoutCancel(r.Context()), q, key))
}

// callRepeatable sends a call again to other targets, within the bounds of
// time, count and the retry budget.
func (e *Entry) callRepeatable(ctx context.Context, q request) result {
	tried := map[string]bool{}
	last := result{failure: fault.Newf(fault.NoTarget, "no target of service %s is ready", q.service)}
	for n := 0; n <= e.bounds.CallRetries; n++ {
		target, p, ok := e.pick(q.service, tried)
		if !ok {
			return last
		}
		if n > 0 && !e.retry(last) {
			return last
		}
		tried[target] = true
		last = e.dispatch(ctx, q, target, p, newID())
		if last.failure == nil {
			e.admit.succeeded()
			return last
		}
		if last.failure.Code == fault.Canceled || last.failure.Code == fault.Deadline {
			return last
		}
	}
	return last
}

// callOnce sends a call until it may have run. Only failures that prove that
// it did not run lead to another target.
func (e *Entry) callOnce(ctx context.Context, q request) result {
	tried := map[string]bool{}
	last := result{failure: fault.Newf(fault.NoTarget, "no target of service %s is ready", q.service)}
	for n := 0; n <= e.bounds.CallRetries; n++ {
		target, p, ok := e.pick(q.service, tried)
		if !ok || n > 0 && !e.retry(last) {
			return last
		}
		tried[target] = true
		last = e.dispatch(ctx, q, target, p, newID())
		if last.failure == nil {
			e.admit.succeeded()
			return last
		}
		if last.failure.Outcome != fault.NotRun || last.failure.Code == fault.Canceled {
			return last
		}
	}
	return last
}

// retry reports whether a call may be sent again. A retry of what did not run
// adds no work and is not charged to the budget.
func (e *Entry) retry(last result) bool {
	if last.failure.Outcome != fault.NotRun && !e.admit.mayRetry() {
		return false
	}
	e.meter.retries.Inc()
	return true
}

// pick draws a target of a service: the one with less work of two drawn at
// random, so that entries do not all follow the same lagging report.
func (e *Entry) pick(service string, tried map[string]bool) (string, peerOf, bool) {
	var open []route.Target
	for t := range e.view.Value().All() {
		if t.Spec.Service != service || !t.Admits() || tried[t.Name] {
			continue
		}
		if _, ok := e.agent(t.Name); ok {
			open = append(open, t)
		}
	}
	if len(open) == 0 {
		return "", peerOf{}, false
	}
	var t route.Target
	e.random.with(func(r *rand.Rand) {
		a, b := open[r.IntN(len(open))], open[r.IntN(len(open))]
		t = a
		if b.Busy(e.ownCount(b.Name)) < a.Busy(e.ownCount(a.Name)) {
			t = b
		}
	})
	p, ok := e.agent(t.Name)
	if !ok {
		return "", peerOf{}, false
	}
	return t.Name, peerOf{p, p.Hello().Incarnation}, true
}

// reply writes the result of a call to its caller.
func (e *Entry) reply(w http.ResponseWriter, r result) error {
	if r.failure != nil {
		return e.admit.hint(e.admit.services, r.failure)
	}
	h := w.Header()
	for name, values := range r.outcome.Header {
		if !slices.Contains(hopHeaders, http.CanonicalHeaderKey(name)) {
			h[http.CanonicalHeaderKey(name)] = values
		}
	}
	w.WriteHeader(r.outcome.Status)
	_, _ = w.Write(r.outcome.Body)
	return nil
}

// servicePath returns the path as the service sees it. Dot segments and empty
// segments are refused: a service that resolves them would run another call
// than the one that the rules were applied to.
func servicePath(r *http.Request, name string) (string, error) {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), "/services/"+name)
	plain, err := url.PathUnescape(rest)
	if !ok || err != nil || path.Clean(plain) != plain && path.Clean(plain)+"/" != plain {
		return "", fault.Invalid("path", r.URL.EscapedPath(), "a path without dot segments and empty segments")
	}
	return rest, nil
}

func forwarded(h http.Header) map[string][]string {
	out := map[string][]string(h.Clone())
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}

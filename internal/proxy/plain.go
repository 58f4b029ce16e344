package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// maxAnswerBytes bounds an answer of a plain service, which is held whole
	// so that a broken one can be replaced.
	maxAnswerBytes = 8 << 20
	// maxSends bounds the targets that one request is offered to, those that
	// refused it included.
	maxSends = 4
	// hedgeLeast is the least wait before a repeatable request goes to a second
	// target while the first is silent.
	hedgeLeast = 150 * time.Millisecond
	// hedgeFactor times the usual latency is the wait otherwise.
	hedgeFactor = 3
)

type (
	// answer is a whole answer of a plain service.
	answer struct {
		status int
		header http.Header
		body   []byte
	}

	// try is one request to a target.
	try struct {
		target topo.Target
		answer *answer
		err    *fault.Error
	}
)

// servePlain answers a request of a service without a model.
func (q *request) servePlain() {
	ctx, cancel := timer.WithTimeout(q.r.Context(), q.Clock, q.left())
	defer cancel()
	tries := make(chan try, maxSends)
	var used []string
	pending := 0
	start := func(repeat bool) *fault.Error {
		t, err := q.pickPlain(used)
		if err != nil {
			return err
		}
		if repeat && !q.Repeats.Take(q.service.Name) {
			return fault.New(fault.Overloaded, "the retry budget of the service is used up")
		}
		used = append(used, t.ID)
		q.sends++
		q.path += " " + t.ID
		pending++
		go func() { tries <- q.tryPlain(ctx, t) }()
		return nil
	}
	if err := start(false); err != nil {
		q.refuse(err)
		return
	}
	q.runs++
	hedge := timer.New(q.Clock, q.hedgeAfter())
	defer hedge.Stop()
	var last *fault.Error
	for {
		select {
		case t := <-tries:
			pending--
			if t.err == nil {
				q.deliver(t.answer)
				return
			}
			last = worse(last, t.err)
			if t.err.Outcome == fault.NotRun {
				q.runs--
			}
			if q.again(t.err) && start(true) == nil {
				q.runs++
				continue
			}
			if pending > 0 {
				continue
			}
			if t.answer != nil && last.Outcome != fault.NotRun {
				q.deliver(t.answer)
				return
			}
			q.refuse(last)
			return
		case <-hedge.C:
			if q.route.Semantics == topo.Repeatable && q.runs < q.route.Attempts && start(true) == nil {
				q.runs++
			}
		case <-ctx.Done():
			q.refuse(q.ended(last))
			return
		}
	}
}

// ended is the failure of a request whose time is over or whose caller left.
func (q *request) ended(last *fault.Error) *fault.Error {
	if q.r.Context().Err() != nil {
		return fault.New(fault.Canceled, "the caller left").WithOutcome(fault.Unknown)
	}
	e := fault.New(fault.Deadline, "no answer within the time of the route or the caller").WithOutcome(fault.Unknown)
	if last != nil {
		e = e.WithCause(last)
	}
	return e
}

// worse returns the failure that says less about what has run.
func worse(a, b *fault.Error) *fault.Error {
	if a != nil && a.Outcome != fault.NotRun {
		return a
	}
	return b
}

// again reports whether another target may get the request after a failure.
func (q *request) again(err *fault.Error) bool {
	if q.r.Context().Err() != nil || q.sends >= maxSends || q.left() <= 0 {
		return false
	}
	if err.Outcome == fault.NotRun {
		return true
	}
	return q.route.Semantics == topo.Repeatable && q.runs < q.route.Attempts
}

func (q *request) hedgeAfter() time.Duration {
	return max(hedgeLeast, hedgeFactor*q.plain.usual(q.service.Name))
}

// pickPlain returns the target with the shortest expected wait.
func (q *request) pickPlain(used []string) (topo.Target, *fault.Error) {
	loads := q.Ledger.Loads()
	var best *topo.Target
	bestScore := 0.0
	targets := q.Fleets.Section().Value().Of(q.service.Name)
	for i := range targets {
		t := &targets[i]
		if t.State != topo.Ready || slices.Contains(used, t.ID) {
			continue
		}
		score := q.plain.expected(t.ID).Seconds() * (1 + float64(loads[t.ID].Running)/float64(max(1, t.Slots)))
		if t.DataCentre != q.Settings.DataCentre {
			score += 2 * time.Millisecond.Seconds()
		}
		if q.Ledger.Doubted(*t) {
			// Used only if nothing else is left.
			score += time.Hour.Seconds()
		}
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	if best == nil {
		return topo.Target{}, fault.Newf(fault.NoTarget, "service %q has no target left to try", q.service.Name)
	}
	return *best, nil
}

// tryPlain sends the request to one target and reads the whole answer.
func (q *request) tryPlain(ctx context.Context, t topo.Target) try {
	start := q.Clock.Now()
	ticket := q.Ledger.OpenPlain(t)
	defer ticket.Close()
	out := try{target: t}
	resp, err := q.roundTrip(ctx, t, Send{LastEvent: q.ask.LastEvent})
	if err == nil {
		out.answer, err = q.readAnswer(resp)
	}
	took := q.Clock.Now().Sub(start)
	out.err = err
	switch {
	case err == nil:
		q.plain.worked(q.service.Name, t.ID, took)
		q.Ledger.Worked(t)
	case ctx.Err() != nil:
		// An answer that was given up still tells that the target is slow.
		q.plain.slow(t.ID, took)
	default:
		q.plain.failed(t.ID)
		q.doubtIf(err.Code == fault.Unavailable, t, err)
		_ = level.Info(q.Log).Log("event", "TryFailed", "request", q.ask.ID, "target", t.ID, "outcome", string(err.Outcome),
			"took", took.Round(time.Millisecond), "err", err)
	}
	return out
}

// doubtIf has a target that fails avoided by all gateways.
func (q *request) doubtIf(doubt bool, t topo.Target, cause error) {
	if doubt && q.Ledger.Failed(t) {
		_ = level.Warn(q.Log).Log("event", "TargetDoubted", "target", t.ID, "born", t.Born, "request", q.ask.ID, "err", cause)
	}
}

// roundTrip sends the request to a target and returns the answer's head. Its
// failure says NotRun only if that is certain.
func (q *request) roundTrip(ctx context.Context, t topo.Target, send Send) (*http.Response, *fault.Error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req := q.outgoing(httptrace.WithClientTrace(ctx, trace), t, send)
	resp, err := q.Client.Transport.RoundTrip(req)
	if err != nil {
		if !connected.Load() {
			return nil, fault.Newf(fault.Unavailable, "target %s cannot be connected", t.ID).WithCause(err)
		}
		return nil, fault.Newf(fault.TargetLost, "target %s gave no answer", t.ID).WithOutcome(fault.Unknown).WithCause(err)
	}
	a := q.Dialect.Answer(resp.Header)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest, a.NotRun:
		_ = resp.Body.Close()
		f := fault.Newf(fault.Overloaded, "target %s did not run the request (status %d)", t.ID, resp.StatusCode)
		f.Field = a.AtFault
		if resp.StatusCode == http.StatusMisdirectedRequest {
			f.Code = fault.Leaving
		}
		return nil, f
	case a.ID != "" && a.ID != q.ask.ID:
		_ = resp.Body.Close()
		return nil, fault.Newf(fault.TargetLost, "target %s sent the answer of another request", t.ID).WithOutcome(fault.Unknown)
	case resp.StatusCode/100 == 2 && !a.Sealed, resp.Header.Get("Content-Encoding") != "":
		_ = resp.Body.Close()
		return nil, fault.Newf(fault.TargetLost, "target %s sent an answer without its seal", t.ID).WithOutcome(fault.Unknown)
	}
	return resp, nil
}

// readAnswer reads the body. A server failure is returned with the answer, so
// that it can be passed on if no other target may run the request.
func (q *request) readAnswer(resp *http.Response) (*answer, *fault.Error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, fault.New(fault.TargetLost, "the answer of the target broke off").WithOutcome(fault.Unknown).WithCause(err)
	}
	if len(body) > maxAnswerBytes {
		return nil, fault.Newf(fault.TooLarge, "the answer of the target has more than %d bytes", maxAnswerBytes).WithOutcome(fault.Unknown)
	}
	a := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		return a, fault.Newf(fault.TargetLost, "the target answered with status %d", resp.StatusCode).WithOutcome(fault.Unknown)
	}
	return a, nil
}

// deliver passes a whole answer on.
func (q *request) deliver(a *answer) {
	copyHeaders(q.w.Header(), a.header)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	q.first = q.Clock.Now()
	q.w.WriteHeader(a.status)
	_, err := q.w.Write(a.body)
	if err != nil {
		q.finish(a.status, "Partial", fault.New(fault.Canceled, "the answer could not be written").WithCause(err))
		return
	}
	q.finish(a.status, "Answered", nil)
}

package proxy

import (
	"context"
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
	// maxSends is the maximum number of targets that a request is sent to,
	// including those that refuse it.
	maxSends = 4
	// minHedgeDelay is the minimum delay before a repeatable request is also
	// sent to a second target because the first has not answered.
	minHedgeDelay = 150 * time.Millisecond
	// hedgeLatencyFactor times the mean latency of the service is the hedge
	// delay if it is longer than minHedgeDelay.
	hedgeLatencyFactor = 3
)

type (
	// response is a complete response of a plain service.
	response struct {
		status int
		header http.Header
		body   []byte
		// unframed is true if the body ended with its connection. Only the target
		// knows whether it is whole.
		unframed bool
	}

	// attempt is the result of sending a request to one target.
	attempt struct {
		target   topo.Target
		response *response
		err      *fault.Error
	}
)

// servePlain answers a request that is not served as a stream, with retries and
// hedging as the route allows.
func (q *request) servePlain() {
	ctx, cancel := timer.WithTimeout(q.r.Context(), q.Clock, q.remaining())
	defer cancel()
	attempts := make(chan attempt, maxSends)
	var tried []string
	pending := 0
	send := func(retry bool) *fault.Error {
		if err := q.listError(); err != nil {
			return err
		}
		t, err := q.pickPlainTarget(tried)
		if err != nil {
			return err
		}
		if retry && !q.Retries.Take(q.service.Name) {
			return fault.New(fault.Overloaded, "the retry budget of the service is exhausted")
		}
		if !q.Limits.Take(t) {
			return fault.Newf(fault.TargetLimit, "target %s has reached the limit that it named", t.ID)
		}
		if q.sendCount == 0 {
			if err := q.beginRun(); err != nil {
				return err
			}
		}
		tried = append(tried, t.ID)
		q.sendCount++
		q.pathLog += " " + t.ID
		q.noteCrossing(t, crossedPlain)
		pending++
		go func() { attempts <- q.sendPlain(ctx, t) }()
		return nil
	}
	if err := q.sendFirst(func() *fault.Error { return send(false) }); err != nil {
		q.refuse(err)
		return
	}
	q.possibleRuns++
	hedge := timer.New(q.Clock, q.hedgeDelay())
	defer hedge.Stop()
	var last *fault.Error
	for {
		select {
		case a := <-attempts:
			pending--
			if a.err == nil {
				q.writeResponse(a.response)
				return
			}
			last = lessCertain(last, a.err)
			if a.err.Outcome == fault.NotRun {
				q.possibleRuns--
			}
			if a.err.Code == fault.Outdated {
				// Nothing was sent, so the target may be chosen again.
				tried = slices.DeleteFunc(tried, func(id string) bool { return id == a.target.ID })
			}
			if q.mayRetry(a.err) {
				err := send(true)
				if err == nil {
					q.possibleRuns++
					continue
				}
				if err.Code == fault.TargetPause {
					last = lessCertain(last, err)
				}
			}
			if pending > 0 {
				continue
			}
			if a.response != nil && last.Outcome != fault.NotRun && !impliesNotRun(a.response.status) {
				q.writeResponse(a.response)
				return
			}
			q.refuse(last)
			return
		case <-hedge.C:
			if q.route.Semantics == topo.Repeatable && q.possibleRuns < q.route.Attempts && send(true) == nil {
				q.possibleRuns++
			}
		case <-q.abortCalls:
			q.refuse(fault.New(fault.Leaving, "the gateway stopped before the response").WithOutcome(fault.Unknown))
			return
		case <-ctx.Done():
			q.refuse(q.interruption(last))
			return
		}
	}
}

// sendFirst calls send, again and again while the targets have reached their limits
// or pause, and one is likely to take the request within capacityWaitShare of the
// objective, or while the target list is being refreshed.
func (q *request) sendFirst(send func() *fault.Error) *fault.Error {
	wait := limitWait{request: q, until: q.plainWaitEnd()}
	defer wait.end()
	for {
		err := send()
		switch {
		case err == nil:
			return nil
		case err.Code == fault.Outdated:
			err = q.awaitList(refreshTimeout)
		case err.Code == fault.TargetPause:
			err = q.awaitPause(err, wait.until)
		case err.Code == fault.TargetLimit:
			err = wait.sleep(err)
		}
		if err != nil {
			return err
		}
	}
}

// plainWaitEnd returns the time until which a request of a plain service may wait for a
// target.
func (q *request) plainWaitEnd() time.Time {
	return q.arrived.Add(time.Duration(capacityWaitShare * float64(q.route.Objective)))
}

// interruption returns the error for a request whose deadline has passed or
// whose caller has disconnected.
func (q *request) interruption(last *fault.Error) *fault.Error {
	if q.r.Context().Err() != nil {
		return fault.New(fault.Canceled, "the caller disconnected").WithOutcome(fault.Unknown)
	}
	e := fault.New(fault.Deadline, "no response before the deadline of the route or the caller").WithOutcome(fault.Unknown)
	if last != nil {
		e = e.WithCause(last)
	}
	return e
}

// lessCertain returns a, the earlier error, if the request may have run in spite
// of it, and b otherwise.
func lessCertain(a, b *fault.Error) *fault.Error {
	if a != nil && a.Outcome != fault.NotRun {
		return a
	}
	return b
}

// mayRetry reports whether the request may be sent to another target after a
// failure.
func (q *request) mayRetry(err *fault.Error) bool {
	if q.r.Context().Err() != nil || q.sendCount >= maxSends || q.remaining() <= 0 {
		return false
	}
	if err.Outcome == fault.NotRun {
		return true
	}
	return q.route.Semantics == topo.Repeatable && q.possibleRuns < q.route.Attempts
}

func (q *request) hedgeDelay() time.Duration {
	return max(minHedgeDelay, hedgeLatencyFactor*q.latencies.serviceLatency(q.service.Name))
}

// pickPlainTarget returns the unused target with the lowest expected latency.
func (q *request) pickPlainTarget(tried []string) (topo.Target, *fault.Error) {
	loads := q.Ledger.TotalLoads()
	var best *topo.Target
	bestScore := 0.0
	limited := false
	pause := time.Duration(0) // the shortest
	targets := q.Fleets.Section().Value().ServiceTargets(q.service.Name)
	for i := range targets {
		t := &targets[i]
		standing := q.Limits.Standing(*t)
		switch reason := plainExclusion(*t, standing, slices.Contains(tried, t.ID)); reason {
		case "":
			if score := q.plainCost(*t, loads[t.ID]).total(); best == nil || score < bestScore {
				best, bestScore = t, score
			}
		case ExcludedLimited:
			limited = true
		}
		if p := standing.PausedFor; t.State == topo.Ready && p > 0 && !standing.Leaving && (pause == 0 || p < pause) {
			pause = p
		}
	}
	switch {
	case best == nil && limited:
		return topo.Target{}, fault.Newf(fault.TargetLimit, "the targets of service %q have reached the limits that they named", q.service.Name)
	case best == nil && pause > 0:
		return topo.Target{}, fault.Newf(fault.TargetPause, "the targets of service %q want nothing at present", q.service.Name).WithRetryAfter(pause)
	case best == nil:
		return topo.Target{}, fault.Newf(fault.NoTarget, "service %q has no target left to try", q.service.Name)
	}
	return *best, nil
}

// sendPlain sends the request to one target and reads the complete response.
func (q *request) sendPlain(ctx context.Context, t topo.Target) (out attempt) {
	out.target = t
	defer q.catchPanic(&out.err)
	start := q.Clock.Now()
	ticket := q.Ledger.OpenPlain(t)
	defer ticket.Close()
	resp, err := q.roundTrip(ctx, []topo.Target{t}, TargetHeaders{LastEvent: q.headers.LastEvent})
	if err == nil {
		out.response, err = q.readResponse(resp)
	}
	took := q.Clock.Now().Sub(start)
	out.err = err
	switch {
	case err == nil:
		q.latencies.recordSuccess(q.service.Name, t.ID, took)
		q.Ledger.ClearSuspicion(t)
	case ctx.Err() != nil:
		// An abandoned request still shows that the target is slow.
		q.latencies.recordAbandoned(t.ID, took)
	case err.Code == fault.Outdated:
		q.noteUnsent(t, err)
	case err.Code == fault.Overloaded && err.Outcome != fault.NotRun:
		// The gateway had no room for the response, which says nothing of the target.
	default:
		q.latencies.recordFailure(t.ID)
		q.suspectIf(err.Code == fault.Unavailable, t, err)
		_ = level.Info(q.Log).Log("event", "TryFailed", "request", q.headers.ID, "target", t.ID, "outcome", string(err.Outcome),
			"took", took.Round(time.Millisecond), "err", err)
	}
	return out
}

// suspectIf marks t as suspected if failing is true, so that all gateways avoid
// it for some time.
func (q *request) suspectIf(failing bool, t topo.Target, cause error) {
	if failing && q.Ledger.RecordFailure(t) {
		_ = level.Warn(q.Log).Log("event", "TargetDoubted", "target", t.ID, "born", t.Started, "request", q.headers.ID, "err", cause)
	}
}

// roundTrip sends the request to the first target of a path and returns the response
// with its body unread. The outcome of an error is NotRun only if the target certainly
// has not run the request.
func (q *request) roundTrip(ctx context.Context, path []topo.Target, send TargetHeaders) (*http.Response, *fault.Error) {
	t := path[0]
	var connected, reused atomic.Bool
	dialStart := q.Clock.Now()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(info.Reused)
		now := q.Clock.Now()
		q.dials.record(t.DataCentre, now.Sub(dialStart), now)
	}}
	check := q.checkSend(t, path)
	req := q.outgoing(httptrace.WithClientTrace(check.context(ctx), trace), t, send)
	resp, err := q.Client.Transport.RoundTrip(req)
	if failure := check.failure.Load(); failure != nil {
		return nil, failure
	}
	if err != nil {
		if !connected.Load() {
			return nil, fault.Newf(fault.Unavailable, "connecting to target %s failed", t.ID).WithCause(err)
		}
		return nil, fault.Newf(fault.TargetLost, "target %s gave no answer", t.ID).WithOutcome(fault.Unknown).WithCause(err)
	}
	a := q.Dialect.ReadResponse(resp.Header)
	if q.isOwnResponse(a, reused.Load()) {
		q.noteAnswer(t, resp.StatusCode, a)
	}
	switch {
	case !q.isOwnResponse(a, reused.Load()):
		_ = resp.Body.Close()
		return nil, fault.Newf(fault.TargetLost, "target %s sent the response of another request", t.ID).WithOutcome(fault.Unknown)
	case resp.StatusCode == http.StatusMisdirectedRequest, a.NotRun:
		_ = resp.Body.Close()
		f := fault.Newf(fault.Overloaded, "target %s did not run the request (status %d)", t.ID, resp.StatusCode)
		f.Field = a.RefusedBy
		if resp.StatusCode == http.StatusMisdirectedRequest {
			f.Code = fault.Leaving
		}
		return nil, f
	case resp.StatusCode/100 == 2 && !a.Sealed, resp.Header.Get("Content-Encoding") != "":
		_ = resp.Body.Close()
		return nil, fault.Newf(fault.TargetLost, "target %s sent an unsealed or encoded response", t.ID).WithOutcome(fault.Unknown)
	}
	return resp, nil
}

// isOwnResponse reports whether a response is that of this request. Refusals need
// not name an ID; without one a response belongs to the request that was the first
// on its connection.
func (q *request) isOwnResponse(a ResponseHeaders, reused bool) bool {
	if a.ID == "" {
		return !reused
	}
	return a.ID == q.headers.ID
}

// readResponse reads the body. For a failure of the target it returns both the
// response and an error, so that the response can be passed on if no other target
// may run the request. A status that implies that the request has not run is a
// failure too: roundTrip handles the targets that state so, and any other may have
// run it.
func (q *request) readResponse(resp *http.Response) (*response, *fault.Error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := q.buffers.readAll(q.r.Context(), q.room, resp.Body, resp.ContentLength)
	if err != nil {
		return nil, err
	}
	a := &response{status: resp.StatusCode, header: resp.Header, body: body, unframed: isUnframed(resp)}
	if a.unframed && len(body) == 0 && a.status/100 == 2 && q.r.Method != http.MethodHead {
		return nil, fault.New(fault.TargetLost, "the target's connection ended before the first byte of the body").WithOutcome(fault.Unknown)
	}
	if resp.StatusCode >= http.StatusInternalServerError || impliesNotRun(resp.StatusCode) {
		return a, fault.Newf(fault.TargetLost, "the target responded with status %d", resp.StatusCode).WithOutcome(fault.Unknown)
	}
	return a, nil
}

// writeResponse sends a complete response to the caller.
func (q *request) writeResponse(resp *response) {
	copyHeaders(q.w.Header(), resp.header)
	if resp.unframed {
		// A length would vouch for the body. Without one, it ends with the
		// connection, as that of the target did.
		q.w.Header().Set("Transfer-Encoding", "identity")
		q.w.Header().Set("Connection", "close")
	} else {
		q.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	q.firstByte = q.Clock.Now()
	q.w.WriteHeader(resp.status)
	_, err := q.w.Write(resp.body)
	if err != nil {
		q.recordOutcome(resp.status, "Partial", fault.New(fault.Canceled, "writing the response failed").WithCause(err))
		return
	}
	q.recordOutcome(resp.status, "Answered", nil)
}

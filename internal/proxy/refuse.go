package proxy

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"shallotcourse/internal/fault"
)

const (
	// minRetryAfter is the minimum Retry-After for a lack of capacity; a
	// request in progress takes longer than that.
	minRetryAfter = 400 * time.Millisecond
	// maxUnavailableRetryAfter is the maximum Retry-After when a dependency is
	// unavailable for an unknown time.
	maxUnavailableRetryAfter = 1600 * time.Millisecond
	// retryAfterShare is the maximum part of the caller's remaining time that
	// Retry-After may take up, so that the rest is left for the answer.
	retryAfterShare = 0.7
	// minRepairRetryAfter and maxRepairRetryAfter bound the random Retry-After
	// while no target holds some of the layers; loading them takes about that
	// long.
	minRepairRetryAfter = 1200 * time.Millisecond
	maxRepairRetryAfter = 3 * time.Second
	// abandonedBodyTime bounds the read of a body behind a refusal, so that a
	// caller that still sends is not reset before it has read the refusal.
	abandonedBodyTime = 500 * time.Millisecond
)

const (
	// HintNone is for failures that a retry does not mend.
	HintNone HintKind = "None"
	// HintPaced hints let refused callers return one after another, by rank.
	HintPaced HintKind = "Paced"
	// HintNamed hints are times that are known, such as the end of a hold.
	HintNamed HintKind = "Named"
	// HintRepair hints last until layers are likely to be loaded.
	HintRepair HintKind = "Repair"
	// HintRefresh hints last until the store is likely to have been read.
	HintRefresh HintKind = "Refresh"
	// HintElsewhere hints are short, since another gateway can take the request.
	HintElsewhere HintKind = "Elsewhere"
)

// HintKind is how the Retry-After of a refusal is chosen.
type HintKind string

// refuse sends an error of the gateway itself to the caller and logs it. A
// status that implies that the request has not run is sent only if that is
// certain. If the caller has left, it aborts the connection and does not return.
func (q *request) refuse(err error) {
	e := fault.As(err)
	if e.Code == fault.Canceled {
		q.recordOutcome(e.Status(), "Canceled", err)
		// Without it, the server would send an empty response with status 200 to
		// a caller that has only closed its side of the connection.
		panic(http.ErrAbortHandler)
	}
	q.abandonBody()
	status := e.Status()
	if e.Outcome != fault.NotRun && impliesNotRun(status) {
		status = http.StatusBadGateway
	}
	h := q.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set(fault.Header, string(e.Outcome))
	if after := q.retryAfter(e); after > 0 && impliesNotRun(status) {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	q.w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = q.w.Write([]byte(e.Detail + "\n"))
	q.recordOutcome(status, string(e.Outcome), err)
}

// abandonBody makes the server send the response before the rest of the request's
// body, which it would otherwise await without a deadline, and bounds the time in
// which it reads and drops that rest.
func (q *request) abandonBody() {
	if q.bodyRead || q.r.ContentLength == 0 {
		return
	}
	q.w.Header().Set("Connection", "close")
	q.writer.SetIdle(abandonedBodyTime)
	// A writer that does not support deadlines belongs to no connection.
	_ = http.NewResponseController(q.w).SetReadDeadline(q.Clock.Now().Add(abandonedBodyTime))
}

func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// retryAfter returns the delay after which a retry is likely to succeed,
// bounded by the caller's remaining time; 0 if a retry does not help.
func (q *request) retryAfter(e *fault.Error) time.Duration {
	after := q.baseRetryAfter(e)
	// A held request is refused again however often its caller returns.
	if q.deadline.IsZero() || after <= minRetryAfter || e.Code == fault.Held {
		return after
	}
	if most := max(minRetryAfter, time.Duration(retryAfterShare*float64(q.remaining()))); after > most {
		return most/2 + rand.N(most/2)
	}
	return after
}

func (q *request) baseRetryAfter(e *fault.Error) time.Duration {
	switch hintOf(e) {
	case HintPaced:
		rank := q.Sched.Rank(q.service.Name, q.priority)
		return q.Returns.NextHint(q.service.Name, rank, max(time.Duration(1+rank)*minRetryAfter, e.RetryAfter))
	case HintNamed:
		return e.RetryAfter
	case HintRepair:
		return minRepairRetryAfter + rand.N(maxRepairRetryAfter-minRepairRetryAfter)
	case HintRefresh:
		return minRetryAfter + rand.N(maxUnavailableRetryAfter-minRetryAfter)
	case HintElsewhere:
		return time.Duration(1+rand.IntN(100)) * time.Millisecond
	}
	return 0
}

// hintOf returns the kind of the retry hint of a refusal.
func hintOf(e *fault.Error) HintKind {
	if e.Code == fault.TargetPause || e.Code == fault.Overloaded {
		return HintPaced
	}
	if e.RetryAfter > 0 {
		return HintNamed
	}
	switch e.Code {
	case fault.LimitReached, fault.TargetLimit:
		return HintPaced
	case fault.NoTarget:
		return HintRepair
	case fault.Outdated, fault.Unavailable:
		return HintRefresh
	case fault.Leaving:
		return HintElsewhere
	}
	return HintNone
}

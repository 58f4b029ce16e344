package proxy

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"shallotcourse/internal/fault"
)

const (
	// comeBackLeast is the least time after which refused callers come back;
	// a request in flight lasts longer.
	comeBackLeast = 400 * time.Millisecond
	// comeBackMost bounds the spread of callers that find no room because
	// something is away for an unknown time.
	comeBackMost = 1600 * time.Millisecond
	// comeBackShare is the part of a caller's time after which it comes back at
	// the latest, so that some is left for the answer.
	comeBackShare = 0.7
	// repairLeast and repairMost spread the return of callers while layers are
	// missing; loading them takes about that long.
	repairLeast = 1200 * time.Millisecond
	repairMost  = 3 * time.Second
)

// refuse answers with a failure of the gateway's own and logs it. A status
// that promises that the request has not run is used only where that is so.
func (q *request) refuse(err error) {
	e := fault.As(err)
	if e.Code == fault.Canceled {
		q.finish(e.Status(), "Canceled", err)
		return
	}
	status := e.Status()
	if e.Outcome != fault.NotRun && promisesNotRun(status) {
		status = http.StatusBadGateway
	}
	h := q.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set(fault.Header, string(e.Outcome))
	if after := q.retryAfter(e); after > 0 && promisesNotRun(status) {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	q.w.WriteHeader(status)
	// A failed write means that the caller has left.
	_, _ = q.w.Write([]byte(e.Detail + "\n"))
	q.finish(status, string(e.Outcome), err)
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// retryAfter says when waiting is likely to help, within the caller's time.
func (q *request) retryAfter(e *fault.Error) time.Duration {
	after := q.helpsAfter(e)
	if q.end.IsZero() || after <= comeBackLeast {
		return after
	}
	if most := max(comeBackLeast, time.Duration(comeBackShare*float64(q.left()))); after > most {
		return most/2 + rand.N(most/2)
	}
	return after
}

func (q *request) helpsAfter(e *fault.Error) time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	switch e.Code {
	case fault.Overloaded, fault.LimitReached:
		return q.Returns.Next(q.service.Name, comeBackLeast)
	case fault.NoTarget:
		return repairLeast + rand.N(repairMost-repairLeast)
	case fault.Unavailable:
		return comeBackLeast + rand.N(comeBackMost-comeBackLeast)
	case fault.Leaving:
		// Another entry can take the request at once.
		return time.Duration(1+rand.IntN(100)) * time.Millisecond
	}
	return 0
}

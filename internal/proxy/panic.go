package proxy

import (
	"net/http"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
)

// endPanic ends only the request of a handler that panics: with 500 if nothing
// has been sent, and otherwise by aborting the connection, so that the response
// does not look complete. It is deferred.
func (q *request) endPanic(headWritten func() bool) {
	value := recover()
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler {
		panic(value)
	}
	err := fault.Recovered(value)
	q.logPanic(err)
	if headWritten() {
		q.recordOutcome(http.StatusOK, "Partial", err)
		panic(http.ErrAbortHandler)
	}
	q.refuse(err)
}

// catchPanic turns a panic in a goroutine of the request into its failure. It is
// deferred.
func (q *request) catchPanic(failure **fault.Error) {
	if value := recover(); value != nil {
		*failure = fault.Recovered(value)
		q.logPanic(*failure)
	}
}

// background runs work for the request that nobody waits for.
func (q *request) background(work func()) {
	go func() {
		var failure *fault.Error
		defer q.catchPanic(&failure)
		work()
	}()
}

func (q *request) logPanic(err *fault.Error) {
	q.Metrics.GetOrCreateCounter("shallotcourse_panics_total").Inc()
	_ = level.Error(q.Log).Log("event", "Panic", "request", q.headers.ID, "err", err)
}

// headTracker records whether the status of the response has been sent.
type headTracker struct {
	http.ResponseWriter
	written bool
}

// WriteHeader implements http.ResponseWriter.
func (w *headTracker) WriteHeader(status int) {
	w.written = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *headTracker) Write(b []byte) (int, error) {
	w.written = true
	return w.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController the writer of the connection.
func (w *headTracker) Unwrap() http.ResponseWriter { return w.ResponseWriter }

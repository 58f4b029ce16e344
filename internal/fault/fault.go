// Package fault defines the typed failures that shallotcourse reports to its
// callers and operators, each with an outcome, an HTTP status and an optional
// retry hint.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// NotRun means that no part of the request had any effect.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have taken effect.
	Unknown Outcome = "Unknown"
	// Partial means that a part of the answer was delivered.
	Partial Outcome = "Partial"

	// Header carries the outcome of a failed request.
	Header = "Shallotcourse-Outcome"
)

const (
	// BadInput is a request that the client must correct.
	BadInput Code = "BadInput"
	// Unauthorized is a missing or wrong key.
	Unauthorized Code = "Unauthorized"
	// NotFound is a name that the configuration does not have.
	NotFound Code = "NotFound"
	// Conflict is a write whose expected revision is not the current one.
	Conflict Code = "Conflict"
	// KeyReused is an idempotency key that was used with another body.
	KeyReused Code = "KeyReused"
	// TooLarge is a body, header or row over its limit.
	TooLarge Code = "TooLarge"
	// Overloaded is an early refusal because the wait would pass the deadline.
	Overloaded Code = "Overloaded"
	// LimitReached is a client account over its rate or concurrency limit.
	LimitReached Code = "LimitReached"
	// NoTarget means that no chain of targets covers the model or service.
	NoTarget Code = "NoTarget"
	// Leaving means that the process or target accepts no new work.
	Leaving Code = "Leaving"
	// Unavailable means that a dependency did not answer.
	Unavailable Code = "Unavailable"
	// Deadline means that the deadline of the request passed.
	Deadline Code = "Deadline"
	// TargetLost means that the target or its agent was lost after dispatch.
	TargetLost Code = "TargetLost"
	// Canceled means that the caller gave the request up.
	Canceled Code = "Canceled"
	// HistoryLost means that a feed no longer reaches back far enough.
	HistoryLost Code = "HistoryLost"
	// Malformed is a message or row that does not decode.
	Malformed Code = "Malformed"
	// Internal is a broken invariant of this process.
	Internal Code = "Internal"
)

type (
	// Outcome tells what is known about the effect of a failed request.
	Outcome string

	// Code names the kind of a failure.
	Code string

	// Error is a failure of a request or an operation.
	Error struct {
		// Code is never empty.
		Code Code
		// Outcome is never empty; NotRun only when no effect is possible.
		Outcome Outcome
		// Detail is safe to show to the caller.
		Detail string
		// Field is the path of the offending input field, if any.
		Field string
		// Revision is the current revision of the resource in a Conflict; 0
		// when the resource is absent.
		Revision uint64
		// RetryAfter is positive only where Outcome is NotRun.
		RetryAfter time.Duration
		// Cause is kept for logs and is not shown to the caller.
		Cause error
	}
)

// New returns a failure with no effect (NotRun).
func New(code Code, detail string) *Error {
	return &Error{Code: code, Outcome: NotRun, Detail: detail}
}

// Newf is New with a formatted detail.
func Newf(code Code, format string, args ...any) *Error {
	return New(code, fmt.Sprintf(format, args...))
}

// Invalid returns a BadInput failure of one field.
func Invalid(field string, value any, allowed string) *Error {
	e := Newf(BadInput, "%s is %#v; allowed: %s", field, value, allowed)
	e.Field = field
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Outcome, e.Detail, e.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithOutcome returns a copy with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	if o != NotRun {
		c.RetryAfter = 0
	}
	return &c
}

// WaitHelps reports whether the same request may succeed later.
func (e *Error) WaitHelps() bool {
	switch e.Code {
	case Overloaded, LimitReached, NoTarget, Leaving, Unavailable, Deadline, TargetLost:
		return true
	}
	return false
}

// WithRetryAfter returns a copy with a retry hint, or without one where
// waiting does not help.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	if !e.WaitHelps() {
		d = 0
	}
	c.RetryAfter = d
	return &c
}

// WithCause returns a copy with a cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.Cause = cause
	return &c
}

// Status returns the HTTP status of the failure.
func (e *Error) Status() int {
	switch e.Code {
	case BadInput, Malformed:
		return http.StatusBadRequest
	case Unauthorized:
		return http.StatusUnauthorized
	case NotFound:
		return http.StatusNotFound
	case Conflict, KeyReused:
		return http.StatusConflict
	case HistoryLost:
		return http.StatusGone
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case LimitReached:
		return http.StatusTooManyRequests
	case Overloaded, NoTarget, Leaving, Unavailable:
		return http.StatusServiceUnavailable
	case Deadline:
		return http.StatusGatewayTimeout
	case TargetLost:
		return http.StatusBadGateway
	case Canceled:
		return 499
	case Internal:
		return http.StatusInternalServerError
	}
	return http.StatusInternalServerError
}

// As returns the failure in err's chain, or an Internal failure that wraps
// err with an unknown outcome.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Outcome: Unknown, Detail: "internal failure", Cause: err}
}

// Is reports whether err is a failure with the given code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// Package fault defines the error type that shallotcourse returns to callers and
// operators. An error has a code, the outcome of the request, an HTTP status and
// an optional retry hint.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// NotRun means that the request had no effect.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have taken effect.
	Unknown Outcome = "Unknown"
	// Partial means that only a part of the answer was delivered.
	Partial Outcome = "Partial"

	// Header is the HTTP header with the outcome of a failed request.
	Header = "Shallotcourse-Outcome"
)

const (
	// BadInput means that the request is invalid and the client must correct
	// it.
	BadInput Code = "BadInput"
	// Unauthorized means that the key is missing or wrong.
	Unauthorized Code = "Unauthorized"
	// NotFound means that nothing exists under the requested name or path.
	NotFound Code = "NotFound"
	// Conflict means that the request does not match the current state, such
	// as a write whose expected revision is not the current one.
	Conflict Code = "Conflict"
	// KeyReused means that the idempotency key or change identifier was used
	// for a different request before.
	KeyReused Code = "KeyReused"
	// TooLarge means that a body, header, prompt or row exceeds its limit.
	TooLarge Code = "TooLarge"
	// Overloaded means that the request was refused for lack of capacity,
	// such as when its wait would exceed the deadline.
	Overloaded Code = "Overloaded"
	// LimitReached means that the client account has reached its rate or
	// concurrency limit.
	LimitReached Code = "LimitReached"
	// TargetLimit means that the targets which could take the request have reached
	// the limits that they named.
	TargetLimit Code = "TargetLimit"
	// TargetPause means that the targets which could take the request want nothing
	// for some time.
	TargetPause Code = "TargetPause"
	// NoTarget means that the available targets do not cover the model or
	// service.
	NoTarget Code = "NoTarget"
	// Held means that targets ended under a part of the prompt, and that requests
	// with it are not sent for some time.
	Held Code = "Held"
	// Outdated means that a decision relied on data that is too old, or that has
	// changed since.
	Outdated Code = "Outdated"
	// Leaving means that the process or target accepts no new work.
	Leaving Code = "Leaving"
	// Unavailable means that a dependency did not answer.
	Unavailable Code = "Unavailable"
	// Deadline means that the deadline of the request passed.
	Deadline Code = "Deadline"
	// TargetLost means that the target or its agent failed after the request
	// was sent to it.
	TargetLost Code = "TargetLost"
	// Canceled means that the caller canceled the request.
	Canceled Code = "Canceled"
	// HistoryLost means that a feed no longer has the changes after the
	// requested version.
	HistoryLost Code = "HistoryLost"
	// Malformed means that a message or row cannot be decoded.
	Malformed Code = "Malformed"
	// Internal means that an invariant of this process is violated.
	Internal Code = "Internal"
)

type (
	// Outcome is what is known about the effect of a failed request.
	Outcome string

	// Code is the kind of a failure.
	Code string

	// Error is the failure of a request or an operation.
	Error struct {
		// Code is never empty.
		Code Code
		// Outcome is never empty. It is NotRun only when the request certainly
		// had no effect.
		Outcome Outcome
		// Detail is a description that may be shown to the caller.
		Detail string
		// Field is the path of the invalid input field, if any.
		Field string
		// Revision is the current revision of the resource that a Conflict is
		// about; 0 when the resource is absent.
		Revision uint64
		// RetryAfter is the time to wait before a retry; 0 without a hint. It is
		// positive only when Outcome is NotRun.
		RetryAfter time.Duration
		// Cause is for logs only; it is not shown to the caller.
		Cause error
	}
)

// New returns a failure with outcome NotRun.
func New(code Code, detail string) *Error {
	return &Error{Code: code, Outcome: NotRun, Detail: detail}
}

// Newf is like New with a formatted detail.
func Newf(code Code, format string, args ...any) *Error {
	return New(code, fmt.Sprintf(format, args...))
}

// Invalid returns a BadInput failure for the value of one field.
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

// WithOutcome returns a copy with the given outcome. Unless that is NotRun, the
// copy has no retry hint.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	if o != NotRun {
		c.RetryAfter = 0
	}
	return &c
}

// Retryable reports whether the same request may succeed when it is sent again
// later.
func (e *Error) Retryable() bool {
	switch e.Code {
	case Overloaded, LimitReached, TargetLimit, TargetPause, NoTarget, Held, Outdated, Leaving, Unavailable, Deadline, TargetLost:
		return true
	}
	return false
}

// WithRetryAfter returns a copy with a retry hint, or without one when a later
// retry cannot succeed either.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	if !e.Retryable() {
		d = 0
	}
	c.RetryAfter = d
	return &c
}

// WithCause returns a copy with the given cause.
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
	case Overloaded, TargetLimit, TargetPause, NoTarget, Held, Outdated, Leaving, Unavailable:
		return http.StatusServiceUnavailable
	case Deadline:
		return http.StatusGatewayTimeout
	case TargetLost:
		return http.StatusBadGateway
	case Canceled:
		return 499 // nginx's status for a request that the client canceled
	case Internal:
		return http.StatusInternalServerError
	}
	return http.StatusInternalServerError
}

// As returns the first Error in err's chain. Without one, it returns an Internal
// failure with outcome Unknown that wraps err.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Outcome: Unknown, Detail: "internal failure", Cause: err}
}

// Is reports whether the first Error in err's chain has the given code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

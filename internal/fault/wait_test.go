package fault_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fault"
)

// Guards against retry hints on failures that a later retry cannot resolve.
func TestRetryHintsOnlyWhereWaitingHelps(t *testing.T) {
	is := is.New(t)
	for _, code := range []fault.Code{fault.Unauthorized, fault.Conflict, fault.KeyReused, fault.BadInput, fault.NotFound, fault.TooLarge} {
		is.Equal(fault.New(code, "").WithRetryAfter(time.Second).RetryAfter, time.Duration(0))
	}
	for _, code := range []fault.Code{fault.Overloaded, fault.LimitReached, fault.NoTarget, fault.Leaving, fault.Unavailable} {
		is.Equal(fault.New(code, "").WithRetryAfter(time.Second).RetryAfter, time.Second)
	}
}

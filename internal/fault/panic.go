package fault

import "runtime/debug"

// Recovered returns the failure for a recovered panic, with the stack as its
// cause. The outcome is Unknown, since the panic may lie anywhere in the work.
func Recovered(value any) *Error {
	return Newf(Internal, "unexpected failure: %v", value).WithOutcome(Unknown).WithCause(&panicStack{string(debug.Stack())})
}

// panicStack is the stack of a panic.
type panicStack struct{ text string }

// Error implements error.
func (p *panicStack) Error() string { return p.text }

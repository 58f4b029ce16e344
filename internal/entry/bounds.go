package entry

import "time"

// Bounds are the limits of one entry process.
type Bounds struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes int
	// Queue is the maximum number of requests that wait for dispatch at one
	// gate.
	Queue int
	// Concurrency is the initial limit of dispatched requests per model
	// version, which adapts from there, and the fixed limit of all service
	// calls.
	Concurrency int
	// FirstToken is the time within which the first token of an answer is due.
	FirstToken time.Duration
	// Request is the timeout of a model request.
	Request time.Duration
	// Call is the timeout of a call to a service that sets none.
	Call time.Duration
	// Relink is how long a link may be down before the stages at its target are
	// replaced.
	Relink time.Duration
	// BalancerLag is the time until the balancer has noticed that the entry is
	// not ready.
	BalancerLag time.Duration
	// WriteTimeout is the timeout of one write of a streamed answer to a caller
	// that does not read.
	WriteTimeout time.Duration
	// TargetsPerGroup is the minimum number of links to each group of
	// interchangeable targets. With few entries there are more, so that every
	// target is linked.
	TargetsPerGroup int
	// CallRetries is the maximum number of retries of a service call.
	CallRetries int
}

func (b Bounds) withDefaults() Bounds {
	setDefault(&b.BodyBytes, 8<<20)
	setDefault(&b.HeaderBytes, 32<<10)
	setDefault(&b.Queue, 2000)
	setDefault(&b.Concurrency, 1000)
	setDefault(&b.FirstToken, 950*time.Millisecond)
	setDefault(&b.Request, 5*time.Minute)
	setDefault(&b.Call, 10*time.Second)
	setDefault(&b.Relink, 250*time.Millisecond)
	setDefault(&b.BalancerLag, 3*time.Second)
	setDefault(&b.WriteTimeout, 10*time.Second)
	setDefault(&b.TargetsPerGroup, 4)
	setDefault(&b.CallRetries, 2)
	return b
}

// setDefault sets a field that is zero.
func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

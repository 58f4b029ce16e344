package entry

import "time"

// Bounds are the limits of one entry process.
type Bounds struct {
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// Queue bounds the requests that wait for dispatch.
	Queue int
	// Concurrency bounds the dispatched requests of this entry at the start;
	// it adapts from there.
	Concurrency int
	// FirstToken is the time within which the first token is due.
	FirstToken time.Duration
	// Request bounds the whole time of a model request.
	Request time.Duration
	// Call bounds a service call whose service sets no timeout.
	Call time.Duration
	// Relink is the time in which a lost link may come back before the stages
	// behind it are replaced.
	Relink time.Duration
	// BalancerLag is the time until the balancer has noticed that the entry
	// is not ready.
	BalancerLag time.Duration
	// WriteTimeout bounds one write to a caller that does not read.
	WriteTimeout time.Duration
	// TargetsPerGroup is the least number of links to interchangeable targets;
	// there are more while few entries share them.
	TargetsPerGroup int
	// CallRetries bounds the retries of one repeatable call.
	CallRetries int
}

func (b Bounds) withDefaults() Bounds {
	set(&b.BodyBytes, 8<<20)
	set(&b.HeaderBytes, 32<<10)
	set(&b.Queue, 2000)
	set(&b.Concurrency, 1000)
	set(&b.FirstToken, 950*time.Millisecond)
	set(&b.Request, 5*time.Minute)
	set(&b.Call, 10*time.Second)
	set(&b.Relink, 250*time.Millisecond)
	set(&b.BalancerLag, 3*time.Second)
	set(&b.WriteTimeout, 10*time.Second)
	set(&b.TargetsPerGroup, 4)
	set(&b.CallRetries, 2)
	return b
}

func set[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

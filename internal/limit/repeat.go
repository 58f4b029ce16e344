package limit

import (
	"sync"
	"time"

	"shallotcourse/internal/timer"
)

const (
	// repeatParts divides the window of Repeats; counts leave it one part at a
	// time.
	repeatParts = 10
	// repeatShare is the part of the allowance that entries use together. The
	// rest covers entries that start anew and repeats of the last moments that
	// other entries count later.
	repeatShare = 0.8
)

type (
	// RepeatBounds is what all entries together may send more than once.
	RepeatBounds struct {
		// Window is the span that the bound holds for.
		Window time.Duration
		// Ratio is the part of the requests, and Slack the number on top, that
		// may be sent again within Window.
		Ratio float64
		Slack int
	}

	// Repeats bounds the requests of each service that this entry sends to a
	// target more than once. The slack is shared by the number of entries.
	Repeats struct {
		clock   timer.Service
		bounds  RepeatBounds
		entries func() int
		// start is where the parts count from; differences to it are steady.
		start time.Time

		mu       sync.Mutex
		services map[string]*repeatWindow
	}

	repeatWindow struct {
		// part is the index of the newest part.
		part     int64
		requests [repeatParts]int
		repeats  [repeatParts]int
	}
)

// NewRepeats returns a bound. Entries returns how many entries share it.
func NewRepeats(clock timer.Service, b RepeatBounds, entries func() int) *Repeats {
	return &Repeats{clock: clock, bounds: b, entries: entries, start: clock.Now(), services: map[string]*repeatWindow{}}
}

// Request counts a request of a caller.
func (r *Repeats) Request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	w.requests[w.part%repeatParts]++
}

// Take counts a repeat and reports whether it is allowed.
func (r *Repeats) Take(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	requests, repeats := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := repeatShare * (r.bounds.Ratio*float64(requests) + float64(r.bounds.Slack)/float64(max(1, r.entries())))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.part%repeatParts]++
	return true
}

func (r *Repeats) window(service string) *repeatWindow {
	w := r.services[service]
	if w == nil {
		w = &repeatWindow{}
		r.services[service] = w
	}
	part := int64(r.clock.Now().Sub(r.start)/max(1, r.bounds.Window/repeatParts)) + 1
	for steps := 0; w.part < part && steps < repeatParts; steps++ {
		w.part++
		if steps == 0 && part-w.part >= repeatParts {
			w.part = part - repeatParts + 1
		}
		w.requests[w.part%repeatParts], w.repeats[w.part%repeatParts] = 0, 0
	}
	return w
}

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
	// repeatShare is the part of the allowance that entries use. The rest
	// covers entries that start anew, and repeats that the others do not know
	// of yet.
	repeatShare = 0.7
	// repeatLag is the time in which entries hear of one another's repeats,
	// with one report lost.
	repeatLag = 500 * time.Millisecond
	// repeatSilence is how long the counts of another entry hold.
	repeatSilence = 2 * time.Second
	// freshAlone and freshShared are the parts that an entry uses in its first
	// window, because it does not know what its last lifetime has used.
	freshAlone  = 0.25
	freshShared = 0.5
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

	// RepeatCount is what an entry has counted within the window.
	RepeatCount struct{ Requests, Repeats int }

	// Repeats bounds the requests of each service that are sent to a target
	// more than once. Entries tell one another their counts; what is left is
	// divided among them anew in each repeatLag, so that all together stay
	// within it although they hear late. An entry that does not hear the
	// others keeps to its equal part.
	Repeats struct {
		clock   timer.Service
		bounds  RepeatBounds
		entries func() int
		// start is where the parts count from; differences to it are steady.
		start time.Time

		mu       sync.Mutex
		services map[string]*repeatWindow
		others   map[string]otherCount
	}

	repeatWindow struct {
		// part is the index of the newest part.
		part     int64
		requests [repeatParts]int
		repeats  [repeatParts]int
		// lag is the index of the newest repeatLag, and taken the repeats in it.
		lag   int64
		taken int
	}

	otherCount struct {
		at     time.Time
		counts map[string]RepeatCount
	}
)

// NewRepeats returns a bound. Entries returns how many entries share it.
func NewRepeats(clock timer.Service, b RepeatBounds, entries func() int) *Repeats {
	return &Repeats{
		clock: clock, bounds: b, entries: entries, start: clock.Now(), services: map[string]*repeatWindow{},
		others: map[string]otherCount{},
	}
}

// Request counts a request of a caller.
func (r *Repeats) Request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	w.requests[w.part%repeatParts]++
}

// Own returns the counts of this entry, for the others.
func (r *Repeats) Own() map[string]RepeatCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]RepeatCount, len(r.services))
	for name := range r.services {
		out[name] = r.window(name).count()
	}
	return out
}

// Hear replaces the counts of a lifetime of another entry. Those of one that
// has ended go on counting for a window.
func (r *Repeats) Hear(incarnation string, counts map[string]RepeatCount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others[incarnation] = otherCount{r.clock.Now(), counts}
}

// Take counts a repeat and reports whether it is allowed.
func (r *Repeats) Take(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	own := w.count()
	entries := max(1, r.entries())
	alone, shared := 1.0, 1.0
	if r.clock.Now().Sub(r.start) < r.bounds.Window {
		alone, shared = freshAlone, freshShared
	}
	part := repeatShare * (r.bounds.Ratio*float64(own.Requests) + float64(r.bounds.Slack)/float64(entries))
	allowed := float64(own.Repeats+1) <= alone*part
	if sum, all := r.sum(service, own, entries); all {
		left := shared*repeatShare*(r.bounds.Ratio*float64(sum.Requests)+float64(r.bounds.Slack)) - float64(sum.Repeats-w.taken)
		allowed = float64(w.taken+1) <= left/float64(2*entries)
	}
	if !allowed {
		return false
	}
	w.repeats[w.part%repeatParts]++
	w.taken++
	return true
}

// sum adds the counts of the others, and reports whether all were heard.
func (r *Repeats) sum(service string, own RepeatCount, entries int) (RepeatCount, bool) {
	heard := 1
	now := r.clock.Now()
	for incarnation, o := range r.others {
		if now.Sub(o.at) > r.bounds.Window {
			delete(r.others, incarnation)
			continue
		}
		own.Requests += o.counts[service].Requests
		own.Repeats += o.counts[service].Repeats
		if now.Sub(o.at) <= repeatSilence {
			heard++
		}
	}
	return own, heard >= entries
}

func (w *repeatWindow) count() RepeatCount {
	var c RepeatCount
	for i := range w.requests {
		c.Requests += w.requests[i]
		c.Repeats += w.repeats[i]
	}
	return c
}

func (r *Repeats) window(service string) *repeatWindow {
	w := r.services[service]
	if w == nil {
		w = &repeatWindow{}
		r.services[service] = w
	}
	since := r.clock.Now().Sub(r.start)
	if lag := int64(since / repeatLag); lag != w.lag {
		w.lag, w.taken = lag, 0
	}
	part := int64(since/max(1, r.bounds.Window/repeatParts)) + 1
	for steps := 0; w.part < part && steps < repeatParts; steps++ {
		w.part++
		if steps == 0 && part-w.part >= repeatParts {
			w.part = part - repeatParts + 1
		}
		w.requests[w.part%repeatParts], w.repeats[w.part%repeatParts] = 0, 0
	}
	return w
}

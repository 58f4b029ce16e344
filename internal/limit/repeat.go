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
	// repeatLags is the number of starts of repeatLag whose totals are kept:
	// as many as counts hold.
	repeatLags = int64(repeatSilence/repeatLag) + 1
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

	// Life is the counts of a lifetime of an entry, of some time ago.
	Life struct {
		Age    time.Duration
		Counts map[string]RepeatCount
	}

	// Repeats bounds the requests of each service that are sent to a target
	// more than once. Entries tell one another their counts; what is left is
	// divided among them anew in each repeatLag, so that all together stay
	// within it although they hear late. What an entry takes before it has
	// heard all others again comes out of one such division. An entry that
	// misses some of the others keeps to its equal part besides.
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
		// total is the number of repeats in this lifetime. lag is the index of
		// the newest repeatLag, and totals holds the total at the start of each
		// of the last ones.
		total  int
		lag    int64
		totals [repeatLags]int
		// together is the total when all entries were heard last.
		together int
	}

	otherCount struct {
		at     time.Time
		counts map[string]RepeatCount
		// totals holds the own totals at that time.
		totals map[string]int
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

// Hear replaces the counts of a lifetime of another entry, which are of some
// time ago. Those of one that has ended go on counting for a window.
func (r *Repeats) Hear(incarnation string, counts map[string]RepeatCount, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.clock.Now().Add(-max(0, age))
	if !at.After(r.others[incarnation].at) {
		return
	}
	totals := make(map[string]int, len(r.services))
	for name := range r.services {
		totals[name] = r.window(name).totalAt(age)
	}
	r.others[incarnation] = otherCount{at, counts, totals}
}

// Lives returns the counts of all other lifetimes with their ages.
func (r *Repeats) Lives() map[string]Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	out := make(map[string]Life, len(r.others))
	for incarnation, o := range r.others {
		if age := now.Sub(o.at); age <= r.bounds.Window {
			out[incarnation] = Life{age, o.counts}
		}
	}
	return out
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
	k := r.known(service, own)
	if k.entries >= entries {
		w.together = k.together
	}
	// Repeats since the others were heard last are counted apart from those
	// that they know of.
	taken := min(own.Repeats, w.total-min(w.totals[w.lag%repeatLags], w.together))
	left := shared*repeatShare*(r.bounds.Ratio*float64(k.sum.Requests)+float64(r.bounds.Slack)) - float64(k.sum.Repeats-taken)
	allowed := float64(taken+1) <= left/float64(2*entries)
	if k.entries < entries {
		part := repeatShare * (r.bounds.Ratio*float64(own.Requests) + float64(r.bounds.Slack)/float64(entries))
		allowed = float64(own.Repeats+1) <= alone*part && (allowed || !k.others)
	}
	if !allowed {
		return false
	}
	w.repeats[w.part%repeatParts]++
	w.total++
	return true
}

// knownCounts is what an entry knows of all entries.
type knownCounts struct {
	sum RepeatCount
	// others says that the sum is not only of this entry.
	others bool
	// entries is the number of those heard of late, this one included, and
	// together the own total when the first of them was heard last.
	entries, together int
}

func (r *Repeats) known(service string, own RepeatCount) knownCounts {
	k := knownCounts{sum: own, entries: 1, together: r.services[service].total}
	now := r.clock.Now()
	for incarnation, o := range r.others {
		if now.Sub(o.at) > r.bounds.Window {
			delete(r.others, incarnation)
			continue
		}
		k.sum.Requests += o.counts[service].Requests
		k.sum.Repeats += o.counts[service].Repeats
		k.others = true
		if now.Sub(o.at) <= repeatSilence {
			k.entries++
			k.together = min(k.together, o.totals[service])
		}
	}
	return k
}

// totalAt returns the total of some time ago or before.
func (w *repeatWindow) totalAt(age time.Duration) int {
	if age <= 0 {
		return w.total
	}
	back := min(int64(age/repeatLag)+1, repeatLags-1)
	return w.totals[max(0, w.lag-back)%repeatLags]
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
	for lag := int64(since / repeatLag); w.lag < lag; {
		w.lag = max(w.lag+1, lag-repeatLags+1)
		w.totals[w.lag%repeatLags] = w.total
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

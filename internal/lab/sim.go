// Package lab holds measuring tools for developers: an emulator of targets that
// runs the routing and admission packages in simulated time, a load generator, and
// measurements of the router's cost and of how its resource use grows.
package lab

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

type (
	// sim is a discrete-event simulation. Events at the same time run in the
	// order in which they were added, so that a seed determines the result.
	sim struct {
		now    time.Time
		random *rand.Rand
		// demandRandom is used only for the demand, so that all policies get the
		// same callers.
		demandRandom *rand.Rand
		events       eventHeap
		lastOrder    uint64
	}

	// event is a function that runs at a simulated time.
	event struct {
		due   time.Time
		order uint64
		run   func()
	}

	// eventHeap has the next event first.
	eventHeap []event
)

func newSim(seed uint64) *sim {
	return &sim{now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 1)), demandRandom: rand.New(rand.NewPCG(seed, 2))}
}

// after runs f when d has passed.
func (s *sim) after(d time.Duration, f func()) {
	s.lastOrder++
	heap.Push(&s.events, event{due: s.now.Add(max(d, 0)), order: s.lastOrder, run: f})
}

// every runs f at a fixed interval, first after d.
func (s *sim) every(d time.Duration, f func()) {
	s.after(d, func() {
		f()
		s.every(d, f)
	})
}

// run runs the events up to a time, given since the start.
func (s *sim) run(end time.Duration) {
	limit := time.Unix(0, 0).Add(end)
	for len(s.events) > 0 && !s.events[0].due.After(limit) {
		e := heap.Pop(&s.events).(event)
		s.now = e.due
		e.run()
	}
	s.now = limit
}

// elapsed returns the simulated time since the start.
func (s *sim) elapsed() time.Duration { return s.now.Sub(time.Unix(0, 0)) }

// exponential draws an exponentially distributed interval between requests.
func (s *sim) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.demandRandom.ExpFloat64() * float64(mean))
}

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].due.Equal(h[j].due) {
		return h[i].due.Before(h[j].due)
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

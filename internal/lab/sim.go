// Package lab holds tools for developers: an emulator of targets that drives
// the decision packages, a load generator, and the measurement of capacity
// slopes.
package lab

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

type (
	// sim is a discrete-event clock. Events at the same time run in the order
	// in which they were added, so that a seed gives one result.
	sim struct {
		now    time.Time
		random *rand.Rand
		// demand draws the callers, so that all policies see the same ones.
		demand *rand.Rand
		events eventHeap
		added  uint64
	}

	event struct {
		due   time.Time
		order uint64
		run   func()
	}

	eventHeap []event
)

func newSim(seed uint64) *sim {
	return &sim{now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 1)), demand: rand.New(rand.NewPCG(seed, 2))}
}

// after runs f when d has passed.
func (s *sim) after(d time.Duration, f func()) {
	s.added++
	heap.Push(&s.events, event{due: s.now.Add(max(d, 0)), order: s.added, run: f})
}

// every runs f at each interval.
func (s *sim) every(d time.Duration, f func()) {
	s.after(d, func() {
		f()
		s.every(d, f)
	})
}

// run handles the events up to the end.
func (s *sim) run(end time.Duration) {
	limit := time.Unix(0, 0).Add(end)
	for len(s.events) > 0 && !s.events[0].due.After(limit) {
		e := heap.Pop(&s.events).(event)
		s.now = e.due
		e.run()
	}
	s.now = limit
}

// since returns the time since the start.
func (s *sim) since() time.Duration { return s.now.Sub(time.Unix(0, 0)) }

// exponential returns a random interval between callers with the given mean.
func (s *sim) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.demand.ExpFloat64() * float64(mean))
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

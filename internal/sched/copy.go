package sched

import "time"

// Queue is the place of a request among those that wait for room at this gateway.
type Queue struct {
	// Waiting is the number of other requests of the service that wait, Before that of
	// those that go before this one.
	Waiting, Before int
	// Estimate is the time after which those and this one may have started; 0 if it is
	// not known.
	Estimate time.Duration
}

// Copy returns a Scheduler with the state of this one. What happens to a request can be
// tried there without a change to this one.
func (s *Scheduler) Copy() *Scheduler {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &Scheduler{
		clock: s.clock, start: s.start, version: s.version, waiters: s.waiters, services: map[string]*service{}, waiting: map[string][]*Waiter{},
	}
	for name, v := range s.services {
		c := &service{}
		for _, r := range v.ranks {
			copied := *r
			c.ranks = append(c.ranks, &copied)
		}
		out.services[name] = c
	}
	for name, waiting := range s.waiting {
		for _, w := range waiting {
			copied := *w
			copied.scheduler, copied.woken = out, make(chan struct{}, 1)
			out.waiting[name] = append(out.waiting[name], &copied)
		}
	}
	return out
}

// Queue returns the place of the request; it is zero for the nil Waiter.
func (w *Waiter) Queue() Queue {
	if w == nil {
		return Queue{}
	}
	estimate := w.Estimate()
	w.scheduler.mu.Lock()
	defer w.scheduler.mu.Unlock()
	return Queue{Waiting: len(w.scheduler.waiting[w.service]) - 1, Before: w.placesBefore(), Estimate: estimate}
}

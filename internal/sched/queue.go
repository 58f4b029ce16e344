package sched

import "time"

const (
	// agingObjectives is the time in which a waiting request gains a rank, in objectives
	// of its own. Work that can wait is thus passed over for a bounded time.
	agingObjectives = 2
	// defaultObjective takes the place of an objective that is not declared.
	defaultObjective = time.Second
)

type (
	// Waiter is a request that waits for room at this gateway. The nil Waiter belongs to
	// a request that keeps no order: it always has its turn.
	Waiter struct {
		scheduler *Scheduler
		service   string
		request   Request
		// rank is that at the begin of the wait.
		rank int
		// since and deadline, of the objective, are times since the Scheduler's start.
		since, deadline time.Duration
		// aging is the time in which the request gains a rank.
		aging time.Duration
		// number is larger than those of the waiters before.
		number uint64
		// woken has a buffer of one element.
		woken chan struct{}
	}
)

// Wait adds a request that arrived at the given time to those that wait for room. The
// result is nil if the service has no ranks.
func (s *Scheduler) Wait(name string, q Request, arrived time.Time) *Waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	if v == nil {
		return nil
	}
	s.waiters++
	since := arrived.Sub(s.start)
	w := &Waiter{
		scheduler: s, service: name, request: q, rank: v.rankOf(q.Priority), since: since, deadline: since + q.objective(),
		aging: agingObjectives * q.objective(), number: s.waiters, woken: make(chan struct{}, 1),
	}
	if v.belowFloor(s.clock.Now(), w.rank) {
		w.rank = 0
	}
	s.waiting[name] = append(s.waiting[name], w)
	return w
}

func (q Request) objective() time.Duration {
	if q.Objective > 0 {
		return q.Objective
	}
	return defaultObjective
}

// Turn reports whether the request may look for room now: no more urgent one waits, and
// no earlier one of its rank that needs as little room or less.
func (w *Waiter) Turn() bool {
	if w == nil {
		return true
	}
	w.scheduler.mu.Lock()
	defer w.scheduler.mu.Unlock()
	now := w.scheduler.age()
	rank := w.agedRank(now)
	for _, o := range w.scheduler.waiting[w.service] {
		r := o.agedRank(now)
		if r < rank || r == rank && o.request.Need <= w.request.Need && o.before(w) {
			return false
		}
	}
	return true
}

// Woken returns the channel on which the request learns that one before it has left.
func (w *Waiter) Woken() <-chan struct{} {
	if w == nil {
		return nil
	}
	return w.woken
}

// Leave ends the wait and wakes the request that is first now. It may be called more
// than once.
func (w *Waiter) Leave() {
	if w == nil {
		return
	}
	s := w.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.age()
	all := s.waiting[w.service]
	var first *Waiter
	at, firstRank := -1, 0
	for i, o := range all {
		if o == w {
			at = i
			continue
		}
		if r := o.agedRank(now); first == nil || r < firstRank || r == firstRank && o.before(first) {
			first, firstRank = o, r
		}
	}
	if at < 0 {
		return
	}
	all[at] = all[len(all)-1]
	all[len(all)-1] = nil
	if s.waiting[w.service] = all[:len(all)-1]; first == nil {
		delete(s.waiting, w.service)
		return
	}
	select {
	case first.woken <- struct{}{}:
	default:
	}
}

// Estimate returns the time after which the requests before this one and itself may
// have started, at the highest rate of starts in the last seconds; 0 if none is known.
func (w *Waiter) Estimate() time.Duration {
	if w == nil {
		return 0
	}
	s := w.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[w.service]
	if v == nil {
		return 0
	}
	perSecond := v.peakStarts(s.clock.Now())
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(1+w.placesBefore()) / float64(perSecond) * float64(time.Second))
}

// placesBefore returns the number of requests that wait before this one. The caller
// holds the lock.
func (w *Waiter) placesBefore() int {
	s := w.scheduler
	now := s.age()
	places, rank := 0, w.agedRank(now)
	for _, o := range s.waiting[w.service] {
		if r := o.agedRank(now); r < rank || r == rank && o.before(w) {
			places++
		}
	}
	return places
}

// age returns the time since the start.
func (s *Scheduler) age() time.Duration { return s.clock.Now().Sub(s.start) }

// peakStarts returns the largest number of starts in one second of the window.
func (v *service) peakStarts(now time.Time) int {
	var sums [windowSeconds]int
	peak := 0
	for _, r := range v.ranks {
		r.starts.advance(now)
		for i, c := range r.starts.counts {
			sums[i] += c.requests
			peak = max(peak, sums[i])
		}
	}
	return peak
}

// before reports whether the objective of w has the earlier deadline; among equal ones,
// whether w came first.
func (w *Waiter) before(o *Waiter) bool {
	return w.deadline < o.deadline || w.deadline == o.deadline && w.number < o.number
}

// agedRank is the rank less one for each time of aging, so that it may be negative.
func (w *Waiter) agedRank(now time.Duration) int {
	waited := now - w.since
	if waited < w.aging {
		return w.rank
	}
	return w.rank - int(waited/w.aging)
}

// LongestObjective returns the longest objective of the requests that are no more
// urgent than a priority; 0 if the service has no ranks.
func (s *Scheduler) LongestObjective(name string, priority int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	if v == nil {
		return 0
	}
	longest := time.Duration(0)
	for _, r := range v.ranks[v.rankOf(priority):] {
		longest = max(longest, r.longest)
	}
	return longest
}

// Rank returns the rank of a priority, 0 for the most urgent and for services without
// ranks.
func (s *Scheduler) Rank(name string, priority int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.services[name]; v != nil {
		return v.rankOf(priority)
	}
	return 0
}

// Package sched decides which requests to a service go first when its targets have too
// little room for all. It ranks requests by the priorities that the configuration
// declares, keeps room for the more urgent ranks, and orders the requests that wait at
// this gateway. It has no network and no messages of its own: all gateways derive the
// same limits from the configuration, the shared loads and their own arrivals.
package sched

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/timer"
)

const (
	// MaxPriority is the least urgent priority that targets know.
	MaxPriority = 9
	// promptShare is the part of the objective that targets may spend on the prompts
	// queued before a request; the rest is for the request itself.
	promptShare = 0.7
	// reserveTime is the length of time whose urgent arrivals have room kept for them. It
	// is the lag of the shared loads: later arrivals find the room that others give back.
	// With 1.5 s, the least urgent rank lost over a third of its requests at usual load.
	reserveTime = 500 * time.Millisecond
	// maxReserve bounds the reserve, as a share of the room that new requests may fill.
	maxReserve = 0.4
	// floorShare is the share of the mean service of the other ranks below which a rank
	// is treated as the most urgent. The promise is a quarter; the margin is for the lag
	// of the counts.
	floorShare = 0.35
	// minFloorArrivals is the number of arrivals in the window from which a rank's
	// service is judged.
	minFloorArrivals = 8
)

type (
	// Class describes some requests to a service, as the configuration declares them.
	Class struct {
		Priority int
		// Objective is the target time to the first event; 0 is none.
		Objective time.Duration
	}

	// Request is what the decisions depend on of a request.
	Request struct {
		Class
		// Need is the memory that the request takes, in tokens times layers.
		Need float64
	}

	// Fleet is what a gateway knows of the others and of the targets.
	Fleet struct {
		// Gateways is the number of gateways that send requests to the service.
		Gateways int
		// Capacity is the memory of the service's targets for requests, in tokens times
		// layers.
		Capacity float64
	}

	// Limits bounds the load of the targets that a request may be sent to.
	Limits struct {
		// MaxPromptWait is the longest time that the prompts queued before the request
		// may take; 0 is no bound.
		MaxPromptWait time.Duration
		// MaxFill is the share of a target's memory that may be in use with the request.
		MaxFill float64
	}

	// Scheduler holds the ranks of the services with unequal priorities, the arrivals of
	// each rank at this gateway, and the requests that wait here. It is safe for
	// concurrent use.
	Scheduler struct {
		clock timer.Service
		start time.Time

		mu sync.Mutex
		// version is that of the configuration that services come from.
		version uint64
		// services holds only the services with at least two ranks.
		services map[string]*service
		// waiting holds the requests that wait, in any order, by service.
		waiting map[string][]*Waiter
		// waiters is the number of requests that have ever waited.
		waiters uint64
	}

	// service is the state of one service.
	service struct {
		// ranks are in the order of their priorities, the most urgent first.
		ranks []*rank
	}

	// rank is one of the distinct priorities of a service.
	rank struct {
		priority int
		// shortest and longest bound the objectives of the rank's requests; 0 if none of
		// them has one.
		shortest, longest time.Duration
		// arrivals counts the requests that came to this gateway, starts those of them
		// that were sent to a target.
		arrivals, starts window
	}
)

// New returns a Scheduler without ranks.
func New(clock timer.Service) *Scheduler {
	return &Scheduler{clock: clock, start: clock.Now(), services: map[string]*service{}, waiting: map[string][]*Waiter{}}
}

// Base returns the limits of requests whose service has no ranks.
func Base(objective time.Duration) Limits {
	return Limits{MaxPromptWait: time.Duration(promptShare * float64(objective)), MaxFill: chain.MaxFill}
}

// Clamp returns the priority that targets know for a configured one.
func Clamp(priority int) int { return min(max(priority, 0), MaxPriority) }

// Configure replaces the ranks by those of a version of the configuration, unless a
// newer one is known. Counts of ranks that remain are kept.
func (s *Scheduler) Configure(version uint64, classes map[string][]Class) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.version {
		return
	}
	s.version = version
	services := map[string]*service{}
	for name, cs := range classes {
		if v := newService(cs, s.services[name]); len(v.ranks) > 1 {
			services[name] = v
		}
	}
	s.services = services
}

// newService returns a service with the ranks of some classes. It takes over the state
// of the one before, which may be nil.
func newService(classes []Class, before *service) *service {
	v := &service{}
	byPriority := map[int]*rank{}
	for _, c := range classes {
		p := Clamp(c.Priority)
		r := byPriority[p]
		if r == nil {
			r = &rank{priority: p}
			byPriority[p] = r
			v.ranks = append(v.ranks, r)
		}
		if c.Objective > 0 && (r.shortest == 0 || c.Objective < r.shortest) {
			r.shortest = c.Objective
		}
		r.longest = max(r.longest, c.Objective)
	}
	slices.SortFunc(v.ranks, func(a, b *rank) int { return cmp.Compare(a.priority, b.priority) })
	if before == nil {
		return v
	}
	for _, r := range before.ranks {
		if now := byPriority[r.priority]; now != nil {
			now.arrivals, now.starts = r.arrivals, r.starts
		}
	}
	return v
}

// rankOf returns the rank of a priority. One that is not configured, because the
// configuration has just changed, belongs to the next less urgent rank.
func (v *service) rankOf(priority int) int {
	p := Clamp(priority)
	for i, r := range v.ranks {
		if r.priority >= p {
			return i
		}
	}
	return len(v.ranks) - 1
}

// Ranked reports whether a service has unequal priorities. The other methods change
// nothing for services that have not.
func (s *Scheduler) Ranked(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services[name] != nil
}

// Arrived counts a new request.
func (s *Scheduler) Arrived(name string, q Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.services[name]; v != nil {
		v.ranks[v.rankOf(q.Priority)].arrivals.add(s.clock.Now(), q.Need)
	}
}

// Started counts a request that was sent to a target for the first time.
func (s *Scheduler) Started(name string, q Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.services[name]; v != nil {
		v.ranks[v.rankOf(q.Priority)].starts.add(s.clock.Now(), q.Need)
	}
}

// Room returns the limits of a new request. A more urgent request never has lower
// limits than a less urgent one.
func (s *Scheduler) Room(name string, q Request, f Fleet) Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	if v == nil {
		return Base(q.Objective)
	}
	return v.room(v.rankOf(q.Priority), q.Objective, v.reserves(s.clock.Now(), f))
}

// room returns the limits of a rank, given the reserves of all ranks.
func (v *service) room(rank int, objective time.Duration, reserves []float64) Limits {
	l := Base(objective).less(reserves[rank])
	for _, r := range v.ranks[:rank] {
		// No longer than what is left of the wait of any more urgent rank.
		wait := Base(r.shortest).less(reserves[rank]).MaxPromptWait
		if wait > 0 && (l.MaxPromptWait == 0 || wait < l.MaxPromptWait) {
			l.MaxPromptWait = wait
		}
	}
	return l
}

// reserves returns the share of the room that each rank leaves to more urgent ones: what
// their measured arrivals need within reserveTime. It never falls from one rank to the
// next, and is 0 for a rank that is served too little and for those before it.
func (v *service) reserves(now time.Time, f Fleet) []float64 {
	out := make([]float64, len(v.ranks))
	need := 0.0
	for i, r := range v.ranks {
		if f.Capacity > 0 {
			out[i] = min(maxReserve, need*reserveTime.Seconds()/(chain.MaxFill*f.Capacity))
		}
		_, perSecond := r.arrivals.rate(now)
		need += perSecond * float64(max(1, f.Gateways))
	}
	for i := len(out) - 1; i > 0; i-- {
		if v.belowFloor(now, i) {
			clear(out[:i+1])
			break
		}
	}
	return out
}

// belowFloor reports whether a rank is served too little: a smaller part of its requests
// than floorShare of the mean part of the other ranks.
func (v *service) belowFloor(now time.Time, rank int) bool {
	own, judged := v.ranks[rank].served(now)
	if !judged {
		return false
	}
	sum, n := 0.0, 0
	for i, r := range v.ranks {
		if part, ok := r.served(now); ok && i != rank {
			sum += part
			n++
		}
	}
	return n > 0 && own < floorShare*sum/float64(n)
}

// served returns the part of the rank's requests in the window that were sent to a
// target, and whether there were enough to tell.
func (r *rank) served(now time.Time) (float64, bool) {
	arrivals, starts := r.arrivals.count(now), r.starts.count(now)
	if arrivals < minFloorArrivals {
		return 0, false
	}
	return min(1, float64(starts)/float64(arrivals)), true
}

package sched

import (
	"maps"
	"slices"
	"time"
)

// RankStatus is the state of one rank of a service, for operators.
type RankStatus struct {
	Service  string
	Priority int
	// Limits are those of requests with the shortest objective of the rank.
	Limits Limits
	// PerSecond is the rate of requests that arrive at this gateway, Served the part of
	// them that was sent to a target, over the last seconds.
	PerSecond, Served float64
	// Waiting is the number of requests that wait here.
	Waiting int
	// BelowFloor is true while the rank is treated as the most urgent because it was
	// served too little.
	BelowFloor bool
}

// Status returns the ranks of all services; fleet tells what is known of each service.
func (s *Scheduler) Status(fleet func(service string) Fleet) []RankStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var out []RankStatus
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		reserves := v.reserves(now, fleet(name))
		for i, r := range v.ranks {
			row := RankStatus{Service: name, Priority: r.priority, Limits: v.room(i, r.shortest, reserves), BelowFloor: v.belowFloor(now, i)}
			row.PerSecond, _ = r.arrivals.rate(now)
			if arrived := r.arrivals.count(now); arrived > 0 {
				row.Served = min(1, float64(r.starts.count(now))/float64(arrived))
			}
			for _, w := range s.waiting[name] {
				if Clamp(w.request.Priority) == r.priority {
					row.Waiting++
				}
			}
			out = append(out, row)
		}
	}
	return out
}

// less returns the limits without a share of each.
func (l Limits) less(share float64) Limits {
	return Limits{MaxPromptWait: time.Duration((1 - share) * float64(l.MaxPromptWait)), MaxFill: (1 - share) * l.MaxFill}
}

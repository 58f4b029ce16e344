package limit

import (
	"math/rand/v2"
	"sync"
	"time"

	"shallotcourse/internal/timer"
)

const (
	// returnSeconds is the time over which the rate of served requests is
	// measured.
	returnSeconds = 5
	// returnShare is the part of the served rate at which refused callers are
	// told to come back, on top of the new ones.
	returnShare = 0.3
)

type (
	// Returns tells refused callers when to come back: one after another, at
	// a part of the rate at which requests are served.
	Returns struct {
		clock timer.Service

		mu       sync.Mutex
		services map[string]*returning
	}

	returning struct {
		spread Spread
		// second is the index of the newest count of served requests.
		second int64
		served [returnSeconds]int
	}
)

// NewReturns returns hints for callers of any service.
func NewReturns(clock timer.Service) *Returns {
	return &Returns{clock: clock, services: map[string]*returning{}}
}

// Served counts a request that was served.
func (r *Returns) Served(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.at(service)
	s.served[s.second%returnSeconds]++
}

// Next returns a time to come back after, at least the given one.
func (r *Returns) Next(service string, least time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.at(service)
	served := 0
	for _, n := range s.served {
		served += n
	}
	var after time.Duration
	s.spread, after = s.spread.Next(r.clock.Now(), least, returnShare*float64(served)/returnSeconds, rand.Float64())
	return after
}

func (r *Returns) at(service string) *returning {
	s := r.services[service]
	if s == nil {
		s = &returning{}
		r.services[service] = s
	}
	now := r.clock.Now().Unix()
	for s.second = max(s.second, now-returnSeconds); s.second < now; {
		s.second++
		s.served[s.second%returnSeconds] = 0
	}
	return s
}

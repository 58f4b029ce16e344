package limit

import (
	"math/rand/v2"
	"sync"
	"time"

	"shallotcourse/internal/timer"
)

const (
	// servedWindowSeconds is the length of the window over which the rate of
	// served requests is measured.
	servedWindowSeconds = 5
	// returnRateShare is the rate at which refused callers are to return, as a
	// part of the served rate. They come in addition to new requests.
	returnRateShare = 0.3
)

type (
	// RetryPacer computes retry hints by service. Refused callers return one after
	// another, at a part of the rate at which requests are served. It is safe for
	// concurrent use.
	RetryPacer struct {
		clock timer.Service

		mu       sync.Mutex
		services map[string]*servicePacer
	}

	servicePacer struct {
		// hints holds the hints of each rank of requests, the most urgent first.
		hints []RetryHints
		// second is the Unix time of the newest count in served, a ring buffer of
		// the requests served in each second.
		second int64
		served [servedWindowSeconds]int
	}
)

// NewRetryPacer returns a RetryPacer. Hints for a service are spaced one second
// apart until enough calls of Served give a higher rate of returning callers.
func NewRetryPacer(clock timer.Service) *RetryPacer {
	return &RetryPacer{clock: clock, services: map[string]*servicePacer{}}
}

// Served counts a served request.
func (r *RetryPacer) Served(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(service)
	s.served[s.second%servedWindowSeconds]++
}

// NextHint returns the time after which a refused caller should return. It is
// at least minimum, but bounded by maxRetryAfter. Callers of a rank, 0 for the most
// urgent, return after those of more urgent ranks; a service without ranks has only 0.
func (r *RetryPacer) NextHint(service string, rank int, minimum time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(service)
	served := 0
	for _, n := range s.served {
		served += n
	}
	for len(s.hints) <= rank {
		s.hints = append(s.hints, RetryHints{})
	}
	hints := s.hints[rank]
	for _, h := range s.hints[:rank] {
		if h.nextSlot.After(hints.nextSlot) {
			hints = h
		}
	}
	var after time.Duration
	s.hints[rank], after = hints.Next(r.clock.Now(), minimum, returnRateShare*float64(served)/servedWindowSeconds, rand.Float64())
	return after
}

// state returns the state of a service after clearing expired counts.
func (r *RetryPacer) state(service string) *servicePacer {
	s := r.services[service]
	if s == nil {
		s = &servicePacer{}
		r.services[service] = s
	}
	now := r.clock.Now().Unix()
	for s.second = max(s.second, now-servedWindowSeconds); s.second < now; {
		s.second++
		s.served[s.second%servedWindowSeconds] = 0
	}
	return s
}

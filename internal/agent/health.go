package agent

import (
	"sync"
	"time"

	"shallotcourse/internal/fault"
)

const (
	// failureThreshold is the number of consecutive failures after which the
	// target gets no new work. A single failure may be accidental.
	failureThreshold = 3

	// minBackoff and maxBackoff bound how long the target gets no new work
	// before it is tried again. The time doubles with each failed trial.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// health is a circuit breaker that withholds new work from a target that
// keeps failing. A target that hangs appears idle, and would otherwise
// attract the requests of every entry.
type health struct {
	mu           sync.Mutex
	failures     int
	backoff      time.Duration
	blockedUntil time.Time
}

// record records the result of a request to the target. Only Unavailable and
// Deadline errors count as failures: other errors are reported by the target
// itself, which shows that it works.
func (h *health) record(now time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !fault.Is(err, fault.Unavailable) && !fault.Is(err, fault.Deadline) {
		h.failures, h.backoff, h.blockedUntil = 0, 0, time.Time{}
		return
	}
	h.failures++
	if h.failures < failureThreshold || now.Before(h.blockedUntil) {
		return
	}
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.blockedUntil = now.Add(h.backoff)
}

// allowsWork reports whether the target may be given new work.
func (h *health) allowsWork(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !now.Before(h.blockedUntil)
}

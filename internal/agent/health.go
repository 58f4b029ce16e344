package agent

import (
	"sync"
	"time"

	"shallotcourse/internal/fault"
)

const (
	// unhealthyAfter is the number of failures in a row that close the target
	// to new work; a single one may be an accident.
	unhealthyAfter = 3

	// firstClosed and longestClosed bound how long the target stays closed
	// before it is tried again; the time doubles with each failed trial.
	firstClosed   = 500 * time.Millisecond
	longestClosed = 10 * time.Second
)

// health closes a target that keeps failing to new work, because a target
// that hangs looks idle and would attract the requests of every entry.
type health struct {
	mu       sync.Mutex
	failures int
	closed   time.Duration
	until    time.Time
}

// record takes the result of a request to the target. Failures that the
// target reported itself say that it works.
func (h *health) record(now time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !fault.Is(err, fault.Unavailable) && !fault.Is(err, fault.Deadline) {
		h.failures, h.closed, h.until = 0, 0, time.Time{}
		return
	}
	h.failures++
	if h.failures < unhealthyAfter || now.Before(h.until) {
		return
	}
	h.closed = min(max(2*h.closed, firstClosed), longestClosed)
	h.until = now.Add(h.closed)
}

// open reports whether new work may be tried.
func (h *health) open(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !now.Before(h.until)
}

package limit

import "time"

// maxRetryAfter is the upper bound of a retry hint. Hints that would exceed it
// are drawn at random from its upper half.
const maxRetryAfter = 30 * time.Second

// RetryHints spaces retry hints one service interval apart, so that refused
// callers do not all return at the same time.
type RetryHints struct {
	// nextSlot is the earliest time that the next hint may point to.
	nextSlot time.Time
}

// Next returns the next hint, which is at least wait unless maxRetryAfter bounds
// it. Callers are served at perSecond, which is taken as at least 1; the random
// value is in [0, 1).
func (s RetryHints) Next(now time.Time, wait time.Duration, perSecond, random float64) (RetryHints, time.Duration) {
	slot := now.Add(wait)
	if s.nextSlot.After(slot) {
		slot = s.nextSlot
	}
	interval := time.Second
	if perSecond > 1 {
		interval = time.Duration(float64(time.Second) / perSecond)
	}
	s.nextSlot = slot.Add(interval)
	if after := slot.Sub(now); after < maxRetryAfter {
		return s, after + time.Duration(random*float64(interval))
	}
	s.nextSlot = now.Add(maxRetryAfter)
	return s, maxRetryAfter/2 + time.Duration(random*float64(maxRetryAfter/2))
}

package limit

import "time"

// maxRetryAfter bounds a retry hint. Beyond it the hints are spread at random
// over the upper half.
const maxRetryAfter = 30 * time.Second

// Spread gives out retry hints that are one service interval apart, so that
// refused callers do not return as one wave.
type Spread struct {
	// promised is the time up to which hints were given out.
	promised time.Time
}

// Next returns the next hint: not before the wait has passed. The random value
// is in [0, 1).
func (s Spread) Next(now time.Time, wait time.Duration, perSecond, random float64) (Spread, time.Duration) {
	slot := now.Add(wait)
	if s.promised.After(slot) {
		slot = s.promised
	}
	interval := time.Second
	if perSecond > 1 {
		interval = time.Duration(float64(time.Second) / perSecond)
	}
	s.promised = slot.Add(interval)
	if after := slot.Sub(now); after < maxRetryAfter {
		return s, after + time.Duration(random*float64(interval))
	}
	s.promised = now.Add(maxRetryAfter)
	return s, maxRetryAfter/2 + time.Duration(random*float64(maxRetryAfter/2))
}

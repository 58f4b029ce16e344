package plat

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

// Bucket is a token bucket that uses the timer service. A nil Bucket admits
// everything.
type Bucket struct{ limiter *rate.Limiter }

// NewBucket returns a bucket, or nil when perSecond is 0.
func NewBucket(perSecond float64, burst int) *Bucket {
	if perSecond <= 0 {
		return nil
	}
	return &Bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, burst))}
}

// Take takes n tokens, or returns the time until they are available and takes
// none. A full bucket admits more tokens than the burst; the next caller then
// waits until the excess has been refilled.
func (b *Bucket) Take(now time.Time, n int64) (time.Duration, bool) {
	if b == nil {
		return 0, true
	}
	burst := int64(b.limiter.Burst())
	part := min(n, burst)
	r := b.limiter.ReserveN(now, int(part))
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return wait, false
	}
	for rest := n - part; rest > 0; rest -= burst {
		b.limiter.ReserveN(now, int(min(rest, burst)))
	}
	return 0, true
}

// Wait waits for one token until the context ends.
func (b *Bucket) Wait(ctx context.Context, clock timer.Service) error {
	if b == nil {
		return nil
	}
	r := b.limiter.ReserveN(clock.Now(), 1)
	err := timer.Sleep(ctx, clock, r.DelayFrom(clock.Now()))
	if err != nil {
		r.CancelAt(clock.Now())
		return fault.New(fault.Unavailable, "canceled while waiting for the rate limit of platform calls").WithCause(err)
	}
	return nil
}

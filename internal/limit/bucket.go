// Package limit decides over the admission of requests: account limits, a
// weighted fair queue, early refusal, quota lent between entries, and the
// retry budget. It is pure; the caller passes the time and random values.
// No type of it is safe for concurrent use.
package limit

import "time"

const (
	// successShare is the number of retries that each success allows.
	successShare = 0.1
	// budgetWindow is the time over which successes count as recent.
	budgetWindow = 10 * time.Second
	// floorPerSecond and floorBurst allow a few retries without any success,
	// so that a process with little traffic can retry at all.
	floorPerSecond = 0.5
	floorBurst     = 3
)

type (
	// Bucket is a token bucket. The zero Bucket is empty.
	Bucket struct {
		// RatePerSecond tokens are added up to Burst.
		RatePerSecond float64
		Burst         float64
		tokens        float64
		at            time.Time
	}

	// Budget bounds retries to a share of recent successes.
	Budget struct {
		floor Bucket
		// earned fades over the window.
		earned float64
		at     time.Time
	}
)

// NewBucket returns a full bucket.
func NewBucket(ratePerSecond, burst float64, now time.Time) Bucket {
	return Bucket{RatePerSecond: ratePerSecond, Burst: burst, tokens: burst, at: now}
}

// With returns the bucket with another rate and burst.
func (b Bucket) With(ratePerSecond, burst float64, now time.Time) Bucket {
	b = b.filled(now)
	b.RatePerSecond, b.Burst = ratePerSecond, burst
	b.tokens = min(b.tokens, burst)
	return b
}

// Take takes a token. Without one it returns the time until there is one.
func (b Bucket) Take(now time.Time) (Bucket, time.Duration) {
	b = b.filled(now)
	if b.tokens >= 1 {
		b.tokens--
		return b, 0
	}
	if b.RatePerSecond <= 0 {
		return b, time.Hour
	}
	return b, time.Duration((1 - b.tokens) / b.RatePerSecond * float64(time.Second))
}

// Give returns a token that was taken for nothing.
func (b Bucket) Give() Bucket {
	b.tokens = min(b.Burst, b.tokens+1)
	return b
}

func (b Bucket) filled(now time.Time) Bucket {
	if d := now.Sub(b.at); d > 0 {
		b.tokens = min(b.Burst, b.tokens+d.Seconds()*b.RatePerSecond)
		b.at = now
	}
	return b
}

// NewBudget returns a budget that allows the first few retries.
func NewBudget(now time.Time) Budget {
	return Budget{floor: NewBucket(floorPerSecond, floorBurst, now), at: now}
}

// Succeeded adds the share of one success.
func (b Budget) Succeeded(now time.Time) Budget {
	b = b.faded(now)
	b.earned += successShare
	return b
}

// Retry takes one retry from the budget, or returns false.
func (b Budget) Retry(now time.Time) (Budget, bool) {
	b = b.faded(now)
	if b.earned >= 1 {
		b.earned--
		return b, true
	}
	floor, wait := b.floor.Take(now)
	b.floor = floor
	return b, wait == 0
}

// faded lets what was earned fade over the window.
func (b Budget) faded(now time.Time) Budget {
	if d := now.Sub(b.at); d > 0 {
		b.earned *= max(0, 1-d.Seconds()/budgetWindow.Seconds())
		b.at = now
	}
	return b
}

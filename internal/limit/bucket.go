// Package limit implements admission control: rate limits of client accounts, a
// weighted fair queue, an adaptive concurrency limit, quota that entries lend
// one another, and bounds on retries. Its types do no I/O. Unless they take a
// clock, the caller passes the time and random values, and they are not safe for
// concurrent use.
package limit

import "time"

const (
	// retriesPerSuccess is the number of retries that each success adds to the
	// budget.
	retriesPerSuccess = 0.1
	// budgetWindow is the time over which retries earned by successes expire.
	budgetWindow = 10 * time.Second
	// floorPerSecond and floorBurst allow a few retries regardless of successes,
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
		updated       time.Time
	}

	// RetryBudget limits retries to a share of recent successes.
	RetryBudget struct {
		floor Bucket
		// earned is the number of retries left from successes; it decays over
		// budgetWindow.
		earned  float64
		updated time.Time
	}
)

// NewBucket returns a full bucket.
func NewBucket(ratePerSecond, burst float64, now time.Time) Bucket {
	return Bucket{RatePerSecond: ratePerSecond, Burst: burst, tokens: burst, updated: now}
}

// With returns the bucket with another rate and burst. It keeps the tokens that
// fit into the new burst.
func (b Bucket) With(ratePerSecond, burst float64, now time.Time) Bucket {
	b = b.refilled(now)
	b.RatePerSecond, b.Burst = ratePerSecond, burst
	b.tokens = min(b.tokens, burst)
	return b
}

// Take takes a token and returns 0. If there is none, it returns the time until
// one is available.
func (b Bucket) Take(now time.Time) (Bucket, time.Duration) {
	b = b.refilled(now)
	if b.tokens >= 1 {
		b.tokens--
		return b, 0
	}
	if b.RatePerSecond <= 0 {
		return b, time.Hour
	}
	return b, time.Duration((1 - b.tokens) / b.RatePerSecond * float64(time.Second))
}

// Refund puts back a token whose request was not admitted after all.
func (b Bucket) Refund() Bucket {
	b.tokens = min(b.Burst, b.tokens+1)
	return b
}

func (b Bucket) refilled(now time.Time) Bucket {
	if d := now.Sub(b.updated); d > 0 {
		b.tokens = min(b.Burst, b.tokens+d.Seconds()*b.RatePerSecond)
		b.updated = now
	}
	return b
}

// NewRetryBudget returns a budget that holds only the minimum of floorBurst
// retries.
func NewRetryBudget(now time.Time) RetryBudget {
	return RetryBudget{floor: NewBucket(floorPerSecond, floorBurst, now), updated: now}
}

// Succeeded adds retriesPerSuccess to the budget.
func (b RetryBudget) Succeeded(now time.Time) RetryBudget {
	b = b.decayed(now)
	b.earned += retriesPerSuccess
	return b
}

// Retry takes one retry from the budget. It returns false if none is left.
func (b RetryBudget) Retry(now time.Time) (RetryBudget, bool) {
	b = b.decayed(now)
	if b.earned >= 1 {
		b.earned--
		return b, true
	}
	floor, wait := b.floor.Take(now)
	b.floor = floor
	return b, wait == 0
}

// decayed returns the budget with the earned retries reduced by the time since
// the last update.
func (b RetryBudget) decayed(now time.Time) RetryBudget {
	if d := now.Sub(b.updated); d > 0 {
		b.earned *= max(0, 1-d.Seconds()/budgetWindow.Seconds())
		b.updated = now
	}
	return b
}

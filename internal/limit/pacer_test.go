package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/limit"
	"shallotcourse/internal/timer"
)

// Guards against refused callers that, in a burst above what can be served, all
// return during the burst or faster than they can be served, and against
// unbounded hints for a service that has not served any request yet.
func TestRefusedCallersComeBackOneByOne(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	r := limit.NewRetryPacer(clock)
	for range 5 {
		for range 20 {
			r.Served("s")
		}
		clock.Advance(time.Second)
	}
	const minimum = 400 * time.Millisecond
	due := map[int]int{}
	for range 60 {
		after := r.NextHint("s", 0, minimum)
		is.True(after >= minimum)
		due[int(after/time.Second)]++
	}
	for second, n := range due {
		is.True(second < 15)
		is.True(n <= 8) // 0.3 of 20 per second, plus rounding
	}
	clock.Advance(20 * time.Second)
	is.True(r.NextHint("s", 0, minimum) < 3*time.Second) // no earlier hint is still due
	for range 1000 {
		is.True(r.NextHint("new", 0, minimum) <= 31*time.Second)
	}
}

// Guards against less urgent callers that return before more urgent ones, and against
// less urgent ones whose number delays the return of the others.
func TestUrgentCallersComeBackFirst(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	r := limit.NewRetryPacer(clock)
	for range 100 {
		r.Served("s")
	}
	const minimum = 400 * time.Millisecond
	var latest time.Duration
	for range 10 {
		r.NextHint("s", 2, minimum)
	}
	for range 10 {
		latest = r.NextHint("s", 0, minimum)
		is.True(latest < 4*time.Second) // 6 return a second
	}
	is.True(r.NextHint("s", 1, minimum) >= latest-200*time.Millisecond)
	is.True(r.NextHint("s", 2, minimum) >= latest-200*time.Millisecond)
}

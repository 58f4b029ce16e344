package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/limit"
	"shallotcourse/internal/timer"
)

// Pattern: a burst above what can be served. Guards against refused callers
// that all come back while it lasts, or faster than they can be served, and
// against hints without end for a service that serves nothing yet.
func TestRefusedCallersComeBackOneByOne(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	r := limit.NewReturns(clock)
	for range 5 {
		for range 20 {
			r.Served("s")
		}
		clock.Advance(time.Second)
	}
	const least = 400 * time.Millisecond
	due := map[int]int{}
	for range 60 {
		after := r.Next("s", least)
		is.True(after >= least)
		due[int(after/time.Second)]++
	}
	for second, n := range due {
		is.True(second < 15)
		is.True(n <= 8) // three tenths of 20 a second, and the edges
	}
	clock.Advance(20 * time.Second)
	is.True(r.Next("s", least) < 3*time.Second) // nobody waits any more
	for range 1000 {
		is.True(r.Next("new", least) <= 31*time.Second)
	}
}

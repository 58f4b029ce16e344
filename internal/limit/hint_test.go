package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against retry hints near zero. Requests that the targets refused end
// within milliseconds and must not count in the drain rate.
func TestUnservedRequestsGiveNoDrainRate(t *testing.T) {
	is := is.New(t)
	g := NewGate(Bounds{Queue: 10, Start: 100, Min: 1, Max: 100, Target: time.Second})
	now := time.Unix(0, 0)
	for range 20 {
		is.True(g.Enter("a", 1, time.Second, now).Admitted)
	}
	g.Leave(2 * time.Second)
	served := g.DrainPerSecond()
	for range 10 {
		g.LeaveUnserved()
	}
	is.Equal(g.DrainPerSecond(), served)
	is.Equal(g.InUse(), 9)
}

// Guards against hints that reach the maximum in the first second, before any
// request has ended: capacity would stay unused long after it became free.
func TestHintsBeforeFirstEnd(t *testing.T) {
	is := is.New(t)
	g := NewGate(Bounds{Queue: 10, Start: 50, Min: 1, Max: 50, Target: time.Second})
	now := time.Unix(0, 0)
	for range 50 {
		is.True(g.Enter("a", 1, time.Second, now).Admitted)
	}
	var last time.Duration
	for range 100 {
		last = g.RetryAfter(now, 0.5)
	}
	is.True(last >= time.Second)
	is.True(last <= 3*time.Second) // 100 hints at 50 requests per second
}

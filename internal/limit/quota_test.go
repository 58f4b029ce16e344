package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against an account that is refused at its second entry although most of
// its limit is unused, because the first loan took all of it.
func TestFirstLoanLeavesRoom(t *testing.T) {
	is := is.New(t)
	var l Lender
	limit := Rates{PerSecond: 1000, Burst: 100, Concurrency: 100}
	now := time.Unix(0, 0)
	first := l.Lend(limit, "a", 10, 2, now)
	second := l.Lend(limit, "b", 10, 2, now)
	is.True(first >= 400)
	is.True(second >= 400)
	is.True(first+second <= 1000)

	var busy Lender
	first = busy.Lend(limit, "a", 5000, 2, now)
	second = busy.Lend(limit, "b", 10, 2, now)
	is.Equal(first, 900.0)
	is.Equal(second, 10.0) // its whole demand
}

// Guards against loans that together exceed the limit of the account, or leave it
// unused while one entry has demand, in any order of requests.
func TestLoansStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Lender
		limit := Rates{PerSecond: 100}
		names := []string{"a", "b", "c", "d"}
		now := time.Unix(0, 0)
		type held struct {
			granted float64
			until   time.Time
		}
		loans := map[string]held{}
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "borrower")
			wanted := rapid.Float64Range(0, 300).Draw(t, "wanted")
			loans[name] = held{l.Lend(limit, name, wanted, len(names), now), now.Add(QuotaPeriod)}
			sum := 0.0
			for _, h := range loans {
				if now.Before(h.until) {
					sum += h.granted
				}
			}
			if sum > limit.PerSecond+1e-9 {
				t.Fatalf("loans of %v exceed the limit of %v", sum, limit.PerSecond)
			}
		}
		for _, name := range names {
			now = now.Add(QuotaPeriod)
			if got := l.Lend(limit, name, 300, len(names), now); got < 0.2*limit.PerSecond/float64(len(names))-1e-9 {
				t.Fatalf("%s got %v after all loans ended", name, got)
			}
		}
	})
}

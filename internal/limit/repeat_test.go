package limit_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"shallotcourse/internal/limit"
	"shallotcourse/internal/timer"
)

var repeatBounds = limit.RepeatBounds{Window: 10 * time.Second, Ratio: 0.2, Slack: 200}

// Guards against an entry that uses what all share, while it cannot hear the
// others.
func TestRepeatsAlone(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	r := limit.NewRepeats(clock, repeatBounds, func() int { return 5 })
	taken := 0
	for range 1000 {
		if r.Take("s") {
			taken++
		}
	}
	is.True(taken > 0)
	is.True(taken <= 200/5)
	clock.Advance(11 * time.Second)
	is.True(r.Take("s")) // the window is over
}

// Guards against repeats of all entries together above the bound, in any
// window, while entries come and go, hear late or not at all. Each entry that
// starts anew counts from nothing.
func TestRepeatsOfAllEntries(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(time.Unix(1000, 0))
		n := rapid.IntRange(2, 6).Draw(t, "entries")
		entries, lives := make([]*limit.Repeats, n), make([]int, n)
		for i := range entries {
			lives[i] = i
			entries[i] = limit.NewRepeats(clock, repeatBounds, func() int { return n })
		}
		const tick = 100 * time.Millisecond
		window := int(repeatBounds.Window / tick)
		requests, repeats := []int{}, []int{}
		restarts := 0
		for range 150 {
			asked, taken := 0, 0
			storm := rapid.IntRange(0, 3).Draw(t, "storm") == 0
			for i, e := range entries {
				for range rapid.IntRange(0, 2).Draw(t, "requests") {
					e.Request("s")
					asked++
				}
				if storm {
					for range 40 {
						if e.Take("s") {
							taken++
						}
					}
				}
				if restarts == 0 && rapid.IntRange(0, 400).Draw(t, "restart") == 0 {
					entries[i] = limit.NewRepeats(clock, repeatBounds, func() int { return n })
					lives[i] += n
					restarts++
				}
			}
			if rapid.IntRange(0, 2).Draw(t, "hear") > 0 {
				for i, e := range entries {
					for j, other := range entries {
						if i != j {
							e.Hear(strconv.Itoa(lives[j]), other.Own(), 0)
						}
					}
				}
			}
			requests, repeats = append(requests, asked), append(repeats, taken)
			clock.Advance(tick)
			sumRequests, sumRepeats := 0, 0
			for k := max(0, len(requests)-window); k < len(requests); k++ {
				sumRequests += requests[k]
				sumRepeats += repeats[k]
			}
			// The requests of the window before count too where it had more.
			before := 0
			for k := max(0, len(requests)-2*window); k < max(0, len(requests)-window); k++ {
				before += requests[k]
			}
			if bound := repeatBounds.Ratio*float64(max(sumRequests, before)) + float64(repeatBounds.Slack); float64(sumRepeats) > bound {
				t.Fatalf("%d repeats of %d requests within a window; allowed: %.0f", sumRepeats, sumRequests, bound)
			}
		}
	})
}

// exchange is a set of entries that hear one another, but for those cut off.
type exchange struct {
	clock   *timer.Manual
	entries []*limit.Repeats
	taken   []int
}

const exchangeTick = 200 * time.Millisecond

// newExchange returns n entries that are past their first window.
func newExchange(n int) *exchange {
	e := &exchange{clock: timer.NewManual(time.Unix(1000, 0))}
	for range n {
		e.entries = append(e.entries, limit.NewRepeats(e.clock, repeatBounds, func() int { return n }))
	}
	for range int(repeatBounds.Window/exchangeTick) + 1 {
		e.tick(0, false)
	}
	return e
}

// tick lets the entries that are not in cut hear one another and, in a storm,
// take all repeats that they may.
func (e *exchange) tick(cut uint, storm bool) {
	for i, r := range e.entries {
		for j, other := range e.entries {
			if i != j && cut&(1<<i|1<<j) == 0 {
				r.Hear(strconv.Itoa(j), other.Own(), 0)
			}
		}
	}
	taken := 0
	for _, r := range e.entries {
		for storm && r.Take("s") {
			taken++
		}
	}
	e.taken = append(e.taken, taken)
	e.clock.Advance(exchangeTick)
}

// worst returns the most repeats in any window.
func (e *exchange) worst() int {
	most, sum := 0, 0
	for i, n := range e.taken {
		sum += n
		if past := i - int(repeatBounds.Window/exchangeTick); past >= 0 {
			sum -= e.taken[past]
		}
		most = max(most, sum)
	}
	return most
}

// Guards against many entries that all stop hearing one another, and each go
// on from counts that grow old.
func TestRepeatsWhenAllAreCutOff(t *testing.T) {
	t.Parallel()
	for _, n := range []int{2, 6, 30, 60} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			is := is.New(t)
			e := newExchange(n)
			for range 60 {
				e.tick(1<<n-1, true)
			}
			is.True(e.worst() <= repeatBounds.Slack)
		})
	}
}

// Guards against counts that are passed on by others and arrive late.
func TestRepeatsHeardLate(t *testing.T) {
	t.Parallel()
	for _, late := range []int{1, 3, 6, 9} {
		t.Run(strconv.Itoa(late), func(t *testing.T) {
			is := is.New(t)
			e := newExchange(30)
			said := make([][]map[string]limit.RepeatCount, 0, 100)
			for tick := range 100 {
				own := make([]map[string]limit.RepeatCount, len(e.entries))
				for i, r := range e.entries {
					own[i] = r.Own()
				}
				said = append(said, own)
				for i, r := range e.entries {
					for j := range e.entries {
						if i != j && tick >= late {
							r.Hear(strconv.Itoa(j), said[tick-late][j], time.Duration(late)*exchangeTick)
						}
					}
				}
				e.tick(1<<30-1, true)
			}
			t.Logf("at most %d of %d", e.worst(), repeatBounds.Slack)
			is.True(e.worst() <= repeatBounds.Slack)
		})
	}
}

// Explores every way to cut three entries off, step by step, while each takes
// all that it may.
func TestRepeatsUnderAllCuts(t *testing.T) {
	t.Parallel()
	const (
		entries = 3
		steps   = 4
		ticks   = 4
	)
	worst, paths := 0, 0
	for path := range uint(1) << (entries * steps) {
		e := newExchange(entries)
		for step := range steps {
			for range ticks {
				e.tick(path>>(entries*step)&(1<<entries-1), true)
			}
		}
		paths++
		worst = max(worst, e.worst())
	}
	t.Logf("%d paths, at most %d of %d repeats", paths, worst, repeatBounds.Slack)
	is.New(t).True(worst <= repeatBounds.Slack)
}

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

var repeatBounds = limit.RetryBounds{Window: 10 * time.Second, Ratio: 0.2, Slack: 200}

// Guards against a gateway that uses the allowance of all gateways although it
// receives no counts from the others.
func TestRepeatsAlone(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	r := limit.NewRetryLimiter(clock, repeatBounds, func() int { return 5 })
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

// Guards against more retries of all gateways together than allowed, in any window,
// while gateways restart and receive counts late or not at all. A gateway that
// restarts has no counts of its previous incarnation.
func TestRepeatsOfAllEntries(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(time.Unix(1000, 0))
		n := rapid.IntRange(2, 6).Draw(t, "entries")
		gateways, incarnations := make([]*limit.RetryLimiter, n), make([]int, n)
		for i := range gateways {
			incarnations[i] = i
			gateways[i] = limit.NewRetryLimiter(clock, repeatBounds, func() int { return n })
		}
		const tick = 100 * time.Millisecond
		window := int(repeatBounds.Window / tick)
		requests, retries := []int{}, []int{}
		restarts := 0
		for range 150 {
			requested, taken := 0, 0
			retry := rapid.IntRange(0, 3).Draw(t, "storm") == 0
			for i, g := range gateways {
				for range rapid.IntRange(0, 2).Draw(t, "requests") {
					g.CountRequest("s")
					requested++
				}
				if retry {
					for range 40 {
						if g.Take("s") {
							taken++
						}
					}
				}
				if restarts == 0 && rapid.IntRange(0, 400).Draw(t, "restart") == 0 {
					gateways[i] = limit.NewRetryLimiter(clock, repeatBounds, func() int { return n })
					incarnations[i] += n
					restarts++
				}
			}
			if rapid.IntRange(0, 2).Draw(t, "hear") > 0 {
				for i, g := range gateways {
					for j, other := range gateways {
						if i != j {
							g.StorePeerCounts(strconv.Itoa(incarnations[j]), other.LocalCounts(), 0)
						}
					}
				}
			}
			requests, retries = append(requests, requested), append(retries, taken)
			clock.Advance(tick)
			sumRequests, sumRetries := 0, 0
			for k := max(0, len(requests)-window); k < len(requests); k++ {
				sumRequests += requests[k]
				sumRetries += retries[k]
			}
			// The allowance may stem from the requests of the previous window if
			// it had more.
			previous := 0
			for k := max(0, len(requests)-2*window); k < max(0, len(requests)-window); k++ {
				previous += requests[k]
			}
			if bound := repeatBounds.Ratio*float64(max(sumRequests, previous)) + float64(repeatBounds.Slack); float64(sumRetries) > bound {
				t.Fatalf("%d retries for %d requests within a window, want at most %.0f", sumRetries, sumRequests, bound)
			}
		}
	})
}

// cluster is a set of gateways that exchange their counts, except for those that
// are isolated.
type cluster struct {
	clock    *timer.Manual
	gateways []*limit.RetryLimiter
	// taken holds the number of retries taken in each tick.
	taken []int
}

const clusterTick = 200 * time.Millisecond

// newCluster returns n gateways that are past their first window.
func newCluster(n int) *cluster {
	c := &cluster{clock: timer.NewManual(time.Unix(1000, 0))}
	for range n {
		c.gateways = append(c.gateways, limit.NewRetryLimiter(c.clock, repeatBounds, func() int { return n }))
	}
	for range int(repeatBounds.Window/clusterTick) + 1 {
		c.tick(0, false)
	}
	return c
}

// tick advances the clock by clusterTick after the gateways have exchanged their
// counts, except for those in the bit set isolated, and, if retry is set, have
// taken all retries that they are allowed.
func (c *cluster) tick(isolated uint, retry bool) {
	for i, r := range c.gateways {
		for j, other := range c.gateways {
			if i != j && isolated&(1<<i|1<<j) == 0 {
				r.StorePeerCounts(strconv.Itoa(j), other.LocalCounts(), 0)
			}
		}
	}
	taken := 0
	for _, r := range c.gateways {
		for retry && r.Take("s") {
			taken++
		}
	}
	c.taken = append(c.taken, taken)
	c.clock.Advance(clusterTick)
}

// maxInWindow returns the maximum number of retries in any window.
func (c *cluster) maxInWindow() int {
	most, sum := 0, 0
	for i, n := range c.taken {
		sum += n
		if past := i - int(repeatBounds.Window/clusterTick); past >= 0 {
			sum -= c.taken[past]
		}
		most = max(most, sum)
	}
	return most
}

// Guards against too many retries when all gateways stop receiving counts and go on
// with outdated ones.
func TestRepeatsWhenAllAreCutOff(t *testing.T) {
	t.Parallel()
	for _, n := range []int{2, 6, 30, 60} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(n)
			for range 60 {
				c.tick(1<<n-1, true)
			}
			is.True(c.maxInWindow() <= repeatBounds.Slack)
		})
	}
}

// Guards against too many retries when counts are forwarded and arrive late.
func TestRepeatsHeardLate(t *testing.T) {
	t.Parallel()
	for _, late := range []int{1, 3, 6, 9} {
		t.Run(strconv.Itoa(late), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(30)
			sent := make([][]map[string]limit.RetryCount, 0, 100)
			for tick := range 100 {
				own := make([]map[string]limit.RetryCount, len(c.gateways))
				for i, r := range c.gateways {
					own[i] = r.LocalCounts()
				}
				sent = append(sent, own)
				for i, r := range c.gateways {
					for j := range c.gateways {
						if i != j && tick >= late {
							r.StorePeerCounts(strconv.Itoa(j), sent[tick-late][j], time.Duration(late)*clusterTick)
						}
					}
				}
				c.tick(1<<30-1, true)
			}
			t.Logf("at most %d retries in a window, limit %d", c.maxInWindow(), repeatBounds.Slack)
			is.True(c.maxInWindow() <= repeatBounds.Slack)
		})
	}
}

// Guards against too many retries in any sequence of network partitions: explores
// every way to isolate three gateways in four steps, while each takes all retries
// that it is allowed.
func TestRepeatsUnderAllCuts(t *testing.T) {
	t.Parallel()
	const (
		gateways = 3
		steps    = 4
		ticks    = 4
	)
	worst, paths := 0, 0
	for path := range uint(1) << (gateways * steps) {
		c := newCluster(gateways)
		for step := range steps {
			for range ticks {
				c.tick(path>>(gateways*step)&(1<<gateways-1), true)
			}
		}
		paths++
		worst = max(worst, c.maxInWindow())
	}
	t.Logf("%d paths, at most %d retries in a window, limit %d", paths, worst, repeatBounds.Slack)
	is.New(t).True(worst <= repeatBounds.Slack)
}

package sched_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"shallotcourse/internal/sched"
	"shallotcourse/internal/script"
	"shallotcourse/internal/timer"
)

const (
	tick = 20 * time.Millisecond
	// shareLag is the time after which gateways see one another's load.
	shareLag = 200 * time.Millisecond
	// triedTargets is the number of targets that a request compares. With all, the
	// gateways would choose the same target until they learn of one another's choices.
	triedTargets = 8
	// equalParts is the difference from which two parts served are not equal.
	equalParts = 0.005
	// maxAttempts is how often a caller comes, with its first attempt.
	maxAttempts = 4
)

type (
	// load is the script's load on a fleet of targets with a number of places each. A
	// request holds a place for one second at least and for hold on average.
	load struct {
		gateways, targets, places int
		hold, length              time.Duration
		bursts                    []burst
		// lost targets take nothing from lostAt on.
		lost   int
		lostAt time.Duration
	}

	// burst sets the rate of one rank to some percent of the usual one for some time.
	burst struct {
		rank     int
		percent  int
		from, to time.Duration
	}

	// policy says how waiting requests are ordered and limited.
	policy string

	// loadRun is one run of a load under a policy.
	loadRun struct {
		load
		policy   policy
		random   *rand.Rand
		clock    *timer.Manual
		gateway  []*loadGateway
		used     []int
		seen     []int
		ends     map[time.Duration][]int
		returns  map[time.Duration][]*caller
		came, ok []int
	}

	loadGateway struct {
		*sched.Scheduler
		waiting []*caller
		// own holds this gateway's starts since seen was taken, by target.
		own []int
	}

	// caller is a request with all its attempts.
	caller struct {
		rank, attempts int
		class          sched.Class
		// first is when the first attempt came, arrived when the current one did.
		first, arrived time.Time
		waiter         *sched.Waiter
	}
)

const (
	ranked policy = "ranked"
	// firstCome serves the waiting in the order of arrival, and lets each wait for 0.4
	// of its objective, as gateways did before they had ranks.
	firstCome policy = "firstCome"
	// strict serves the more urgent first, without reserve or floor.
	strict policy = "strict"
)

// perSecond is the usual rate of each rank.
var perSecond = []float64{154, 82, 50}

// Guards against urgent requests that are served less than those that can wait, and
// against work that can wait and is starved, in bursts and while targets are lost. The
// figures of the baselines are logged.
func TestLoads(t *testing.T) {
	script.Run(t, "testdata/loads.txtar", func(t *testing.T) func(script.Line) []string {
		l := load{}
		return func(line script.Line) []string {
			switch line.Name {
			case "fleet":
				l = load{gateways: line.Int("gateways"), targets: line.Int("targets"), places: line.Int("places"), hold: line.Duration("hold"), length: line.Duration("length")}
			case "burst":
				l.bursts = append(l.bursts, burst{line.Int("rank"), line.Int("percent"), line.Duration("from"), line.Duration("to")})
			case "lose":
				l.lost, l.lostAt = line.Int("targets"), line.Duration("at")
			case "served":
				got, before := l.run(ranked), 0.0
				t.Logf("%-9s %.3f", ranked, got)
				for _, p := range []policy{firstCome, strict} {
					baseline := l.run(p)
					t.Logf("%-9s %.3f", p, baseline)
					before = max(before, baseline[0])
				}
				out := checkServed(got, line.Ints("least"))
				if got[0] < before-equalParts {
					out = append(out, fmt.Sprintf("rank 0 had %.3f with a baseline", before))
				}
				return out
			default:
				t.Fatalf("unknown input %q", line.Name)
			}
			return nil
		}
	})
}

// checkServed compares the parts served on time with the least ones in percent.
func checkServed(got []float64, least []int) []string {
	var out []string
	for i, g := range got {
		if g < float64(least[i])/100 {
			out = append(out, fmt.Sprintf("rank %d has %.3f", i, g))
		}
		if i > 0 && got[i-1] < g-equalParts {
			out = append(out, fmt.Sprintf("rank %d has less than rank %d", i-1, i))
		}
	}
	if rest := (got[0] + got[1]) / 2; got[2] < rest/4 {
		out = append(out, "rank 2 is starved")
	}
	return append(out, "checked")
}

// run returns the part of the callers of each rank that were served on time.
func (l load) run(p policy) []float64 {
	r := &loadRun{
		load: l, policy: p, random: rand.New(rand.NewPCG(1, 2)), clock: timer.NewManual(time.Unix(1000, 0)), used: make([]int, l.targets),
		seen: make([]int, l.targets), ends: map[time.Duration][]int{}, returns: map[time.Duration][]*caller{}, came: make([]int, 3), ok: make([]int, 3),
	}
	for range l.gateways {
		g := &loadGateway{Scheduler: sched.New(r.clock), own: make([]int, l.targets)}
		g.Configure(1, ranks)
		r.gateway = append(r.gateway, g)
	}
	for at := time.Duration(0); at < l.length; at += tick {
		r.step(at)
	}
	out := make([]float64, 3)
	for i := range out {
		out[i] = float64(r.ok[i]) / float64(r.came[i])
	}
	return out
}

func (r *loadRun) step(at time.Duration) {
	for _, t := range r.ends[at] {
		r.used[t]--
	}
	if at%shareLag == 0 {
		copy(r.seen, r.used)
		for _, g := range r.gateway {
			clear(g.own)
		}
	}
	for rank, rate := range perSecond {
		for _, b := range r.bursts {
			if b.rank == rank && at >= b.from && at < b.to {
				rate *= float64(b.percent) / 100
			}
		}
		for range r.poisson(rate * tick.Seconds()) {
			r.came[rank]++
			r.arrive(&caller{rank: rank, class: ranks["s"][rank]})
		}
	}
	for _, c := range r.returns[at] {
		r.arrive(c)
	}
	for _, g := range r.gateway {
		r.serve(g, at)
	}
	r.clock.Advance(tick)
}

func (r *loadRun) poisson(mean float64) int {
	n := 0
	for sum := r.random.ExpFloat64(); sum < mean; sum += r.random.ExpFloat64() {
		n++
	}
	return n
}

func (r *loadRun) arrive(c *caller) {
	g := r.gateway[r.random.IntN(len(r.gateway))]
	c.attempts++
	c.arrived = r.clock.Now()
	if c.attempts == 1 {
		c.first = c.arrived
	}
	q := sched.Request{Class: c.class, Need: 1}
	g.Arrived("s", q)
	if r.policy == ranked {
		c.waiter = g.Wait("s", q, c.arrived)
	}
	g.waiting = append(g.waiting, c)
}

// serve lets the waiting requests of a gateway look for room, and refuses those whose
// wait is over.
func (r *loadRun) serve(g *loadGateway, at time.Duration) {
	now := r.clock.Now()
	if r.policy == strict {
		slices.SortStableFunc(g.waiting, func(a, b *caller) int { return cmp.Compare(a.rank, b.rank) })
	}
	for again := true; again; {
		again = false
		g.waiting = slices.DeleteFunc(g.waiting, func(c *caller) bool {
			if !c.waiter.Turn() || !r.start(g, c, at) {
				return false
			}
			c.waiter.Leave()
			again = r.policy == ranked
			return true
		})
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(c *caller) bool {
		left := r.maxWait(g, c) - now.Sub(c.arrived)
		if left > 0 && (now.After(c.arrived) || c.waiter.Estimate() <= left) {
			return false
		}
		c.waiter.Leave()
		if c.attempts < maxAttempts {
			after := time.Duration((0.4 + 0.4*r.random.Float64()) * float64(time.Second))
			if r.policy == ranked {
				after *= time.Duration(1 + c.rank)
			}
			r.returns[at+after.Truncate(tick)] = append(r.returns[at+after.Truncate(tick)], c)
		}
		return true
	})
}

func (r *loadRun) maxWait(g *loadGateway, c *caller) time.Duration {
	if r.policy == firstCome {
		return c.class.Objective * 4 / 10
	}
	return min(g.LongestObjective("s", c.class.Priority)*4/10, c.class.Objective*8/10)
}

// start sends the request to the least loaded of some targets, if the gateway sees room
// there. A target without a place refuses.
func (r *loadRun) start(g *loadGateway, c *caller, at time.Duration) bool {
	targets := r.targets
	if r.lost > 0 && at >= r.lostAt {
		targets -= r.lost
	}
	limit := sched.Base(c.class.Objective)
	q := sched.Request{Class: c.class, Need: 1}
	if r.policy == ranked {
		limit = g.Room("s", q, sched.Fleet{Gateways: r.gateways, Capacity: float64(targets * r.places)})
	}
	load := func(t int) int { return r.seen[t] + g.own[t] }
	best := r.random.IntN(targets)
	for range triedTargets {
		if t := r.random.IntN(targets); load(t) < load(best) {
			best = t
		}
	}
	if float64(load(best)+1) > limit.MaxFill*float64(r.places) || r.used[best] >= r.places {
		return false
	}
	r.used[best]++
	g.own[best]++
	end := at + (time.Second + time.Duration(2*r.random.Float64()*float64(r.hold-time.Second))).Truncate(tick)
	r.ends[end] = append(r.ends[end], best)
	g.Started("s", q)
	if r.clock.Now().Sub(c.first) <= c.class.Objective {
		r.ok[c.rank]++
	}
	return true
}

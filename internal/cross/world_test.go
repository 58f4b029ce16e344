package cross_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/cross"
	"shallotcourse/internal/topo"
)

const (
	worldStep = 5 * time.Millisecond
	// worldGateways is the number of gateways in each data centre. Each has new loads
	// every reportInterval, which are as old as that, at a time of its own.
	worldGateways  = 4
	reportInterval = 200 * time.Millisecond
	worldAnswer    = 200
	worldBytes     = 40_000
	worldDelay     = 400 * time.Microsecond
	maxWait        = 350 * time.Millisecond
	objective      = 500 * time.Millisecond
	// pipeWindow is the time over which the bytes on the pipe are counted, and
	// partWindow that over which requests are counted that leave: a request takes 2 to
	// 4 s, so that faster changes do not move the loads.
	pipeWindow = 10 * time.Second
	partWindow = 10 * time.Second
	// maxDeviations is the number of standard deviations of a count of requests that is
	// put down to chance.
	maxDeviations = 4
)

type (
	// world simulates data centres of one target each, which has memory for a number
	// of requests and reads one prompt after the other. chain.Choose picks the target.
	world struct {
		sites  []*worldSite
		events []worldEvent
		// pipe is the capacity in bytes per second that the gateways believe, and
		// realPipe that of the connection.
		pipe, realPipe float64
		// regular is true if requests arrive at equal intervals and at the gateways in
		// turn, instead of at random.
		regular bool
		// restart is when one gateway of each site starts anew; 0 is never.
		restart time.Duration
	}

	worldSite struct {
		name                 string
		slots, rate, prompts float64
		token                time.Duration
		// age is the age of the loads that the gateways elsewhere have of the site,
		// beside reportInterval.
		age               time.Duration
		inFlight, arrived int
		// ends holds the number of requests that end in each step.
		ends      map[time.Duration]int
		readUntil time.Duration
		// due is the part of a request that has not arrived yet.
		due     float64
		history []worldLoad
	}

	worldLoad struct {
		inFlight, slots float64
		wait, token     time.Duration
	}

	// worldEvent changes a site at a time.
	worldEvent struct {
		at    time.Duration
		apply func()
	}

	// worldRun is the state and the result of one run with one rule.
	worldRun struct {
		*world
		rule                         string
		length, now, pipeUntil       time.Duration
		random                       *rand.Rand
		gateways                     [][]*worldGateway
		asked, good, refused, passed int
		// closedGot counts the requests to closed data centres while others had room.
		closedGot int
		// lasted is the time that the answers took together.
		lasted time.Duration
		// window is the number of bytes over the pipe in the current pipeWindow, and
		// busiest the largest number per second in one.
		window, busiest float64
		// parts holds the parts sent away by the first site over time.
		parts []float64
	}

	worldGateway struct {
		decider *cross.Decider
		meter   cross.Meter
		input   cross.Input
		// known holds the loads of the sites as they were at knownAt.
		known   []worldLoad
		knownAt time.Duration
		// sends holds what the gateway has sent within partWindow.
		sends []worldSend
		// all counts the requests sent in the second half of the run, and away those
		// among them that left.
		all, away float64
	}

	worldSend struct {
		at       time.Duration
		from, to int
	}
)

func (s *worldSite) load(now time.Duration) worldLoad {
	n := float64(s.inFlight)
	return worldLoad{n, s.slots, max(0, s.readUntil-now), time.Duration(float64(s.token) * (1 + n/max(1, s.slots)))}
}

// run plays the world with one rule, and leaves the sites as they were declared.
func (w *world) run(rule string, length time.Duration) *worldRun {
	r := &worldRun{world: w, rule: rule, length: length, random: rand.New(rand.NewPCG(1, 1)), gateways: make([][]*worldGateway, len(w.sites))}
	for i, s := range w.sites {
		declared := *s
		defer func() { *s = declared }()
		s.ends = map[time.Duration]int{}
		for range worldGateways {
			r.gateways[i] = append(r.gateways[i], &worldGateway{decider: cross.New()})
		}
	}
	events := slices.Clone(w.events)
	for ; r.now < length; r.now += worldStep {
		for ; len(events) > 0 && events[0].at <= r.now; events = events[1:] {
			events[0].apply()
		}
		if r.now%pipeWindow == 0 {
			r.window = 0
		}
		for i := range w.sites {
			r.step(i)
		}
		if r.now%reportInterval == 0 {
			r.parts = append(r.parts, r.sentAway())
		}
	}
	return r
}

// step ends and begins the requests of a site that are due.
func (r *worldRun) step(home int) {
	s, gateways := r.sites[home], r.gateways[home]
	if r.restart > 0 && r.now == r.restart {
		gateways[1] = &worldGateway{decider: cross.New()}
	}
	s.inFlight -= s.ends[r.now]
	delete(s.ends, r.now)
	s.history = append(s.history, s.load(r.now))
	for i, g := range gateways {
		if offset := time.Duration(i) * reportInterval / worldGateways; r.now >= reportInterval+worldStep && (r.now+offset)%reportInterval == 0 {
			r.report(home, g)
		}
	}
	if s.due += s.rate * worldStep.Seconds(); !r.regular {
		s.due += r.random.Float64() - 0.5
	}
	for ; s.due >= 1; s.due-- {
		turn := r.random.IntN(worldGateways)
		if s.arrived++; r.regular {
			turn = s.arrived % worldGateways
		}
		r.arrive(home, gateways[turn])
	}
}

// report gives a gateway the loads as they were a reportInterval ago.
func (r *worldRun) report(home int, g *worldGateway) {
	g.known, g.knownAt = nil, r.now-reportInterval
	g.input = cross.Input{
		Home: r.sites[home].name, Delays: map[string]time.Duration{}, RequestBytes: worldBytes, PipeBytes: r.pipe, Gateways: worldGateways * len(r.sites),
		AnswerTokens: worldAnswer, Objective: objective,
	}
	for _, s := range r.sites {
		l := s.history[g.knownAt/worldStep]
		g.known = append(g.known, l)
		g.input.DataCentres = append(g.input.DataCentres, cross.Figures{Name: s.name, Ready: int(l.slots), Complete: l.slots > 0, Age: s.age})
		g.input.Delays[s.name] = max(worldDelay, r.pipeUntil-r.now)
	}
	g.sends = slices.DeleteFunc(g.sends, func(s worldSend) bool { return s.at < r.now-partWindow })
}

// perOwn is the number of requests of all gateways for each one of a gateway of a site, at
// most the number of gateways, as limit.RetryLimiter counts.
func (r *worldRun) perOwn(home int) float64 {
	sum := 0.0
	for _, s := range r.sites {
		sum += s.rate
	}
	return min(float64(worldGateways*len(r.sites)), worldGateways*sum/max(1, r.sites[home].rate))
}

// fillCost is what chain multiplies the time of a token by.
func fillCost(fill float64) float64 { return 1 + 2*fill*fill }

// choose returns the site of a request, or -1 if none has room. What all are expected to
// have sent since the known loads counts for the cost of a site; not for its room, since
// none of the requests that have ended since is known.
func (r *worldRun) choose(home int, g *worldGateway) int {
	m := &topo.Model{Layers: 1, TokenMegabytes: 1, Step: time.Millisecond, Cards: map[string]topo.Card{}}
	req := chain.Request{Tokens: 1, DataCentre: r.sites[home].name, Layers: topo.Layers{To: 1}, Crossings: map[string]chain.Crossing{}}
	var open []chain.Candidate
	for i, l := range g.known {
		s, expected := r.sites[i], l.inFlight
		for j := len(g.sends) - 1; j >= 0 && g.sends[j].at >= g.knownAt; j-- {
			if g.sends[j].to == i {
				expected += r.perOwn(home)
			}
		}
		switch m.Cards[s.name] = (topo.Card{Megabytes: l.slots, Pace: 1}); r.rule {
		case "never":
			req.Confined, req.Crossings[s.name] = true, chain.Crossing{Closed: i != home}
		case "cheapest":
			req.Crossings[s.name] = chain.Crossing{}
		}
		if l.slots > 0 && l.wait <= maxWait {
			slow := float64(l.token) / float64(m.Step) * fillCost(expected/l.slots) / fillCost(l.inFlight/l.slots)
			target := topo.Target{ID: s.name, Address: s.name, DataCentre: s.name, Card: s.name, Held: req.Layers}
			open = append(open, chain.Candidate{Target: target, Load: chain.Load{TokenLayers: l.inFlight}, SlowFactor: slow})
		}
	}
	if r.rule == "costs" {
		g.input.UsedBytes = g.meter.Rate(time.Unix(1000, 0).Add(r.now))
		for _, c := range g.decider.Costs(g.input) {
			req.Crossings[c.DataCentre] = chain.Crossing{Cost: c.PerToken, Closed: c.Closed != ""}
			req.Confined = req.Confined || c.Closed.Forbids() && g.known[home].slots > 0
		}
	}
	hops, err := chain.Choose(m, open, req)
	if err != nil {
		return -1
	}
	to := hops[0].Target.DataCentre
	if req.Crossings[to].Closed {
		open = slices.DeleteFunc(open, func(c chain.Candidate) bool { return req.Crossings[c.DataCentre].Closed })
		if _, err := chain.Choose(m, open, req); err == nil || req.Confined {
			r.closedGot++
		}
	}
	return slices.IndexFunc(r.sites, func(s *worldSite) bool { return s.name == to })
}

// arrive sends one request to the chosen site, and home if that has no memory left.
func (r *worldRun) arrive(home int, g *worldGateway) {
	r.asked++
	to := r.choose(home, g)
	if to >= 0 && float64(r.sites[to].inFlight) >= r.sites[to].slots {
		to = home
	}
	if to < 0 || float64(r.sites[to].inFlight) >= r.sites[to].slots {
		r.refused++
		return
	}
	late, s := time.Duration(0), r.sites[to]
	if to != home {
		r.passed++
		g.meter.Add(time.Unix(1000, 0).Add(r.now), worldBytes)
		r.window += worldBytes
		r.busiest = max(r.busiest, r.window/pipeWindow.Seconds())
		r.pipeUntil = max(r.pipeUntil, r.now) + time.Duration(worldBytes/r.realPipe*float64(time.Second))
		late = cross.Trips*worldDelay + r.pipeUntil - r.now
	}
	g.sends = append(g.sends, worldSend{r.now, home, to})
	if r.now >= r.length/2 {
		g.all++
		g.away += float64(min(1, max(to-home, home-to)))
	}
	s.readUntil = max(s.readUntil, r.now) + time.Duration(float64(time.Second)/s.prompts)
	first := s.readUntil - r.now
	took := first + worldAnswer*s.load(r.now).token
	s.inFlight++
	s.ends[(r.now+took).Truncate(worldStep)+worldStep]++
	if r.lasted += took + late; first+late <= objective {
		r.good++
	}
}

// sentAway returns the part of the requests that the first site sent away in partWindow.
func (r *worldRun) sentAway() float64 {
	away, all := 0, 0
	for _, g := range r.gateways[0] {
		for _, s := range g.sends {
			away += min(1, s.to)
		}
		all += len(g.sends)
	}
	return float64(away) / float64(max(1, all))
}

// spread is the largest difference between the parts that a gateway and all of its site
// sent away in the second half of the run, beyond what chance explains.
func (r *worldRun) spread() float64 {
	out := 0.0
	for _, gateways := range r.gateways {
		away, all := 0.0, 0.0
		for _, g := range gateways {
			away, all = away+g.away, all+g.all
		}
		for _, g := range gateways {
			chance := maxDeviations * math.Sqrt(0.25/max(1, g.all))
			out = max(out, math.Abs(g.away/max(1, g.all)-away/max(1, all))-max(0, chance-maxSwing))
		}
	}
	return out
}

// swing is the difference between the largest and the smallest part that the first site
// sends away in the last third of the run.
func (r *worldRun) swing() float64 {
	last := r.parts[len(r.parts)*2/3:]
	return slices.Max(last) - slices.Min(last)
}

// percent returns a number of requests in percent of all.
func (r *worldRun) percent(n int) float64 { return 100 * float64(n) / float64(max(1, r.asked)) }

// mean is the mean time of an answer.
func (r *worldRun) mean() time.Duration { return r.lasted / time.Duration(max(1, r.asked-r.refused)) }

// show returns the result in percent of the requests.
func (r *worldRun) show() string {
	return fmt.Sprintf("%-8s good %.1f refused %.1f crossed %.1f, answers %v, at most %.0f kB/s, swing %.2f", r.rule, r.percent(r.good),
		r.percent(r.refused), r.percent(r.passed), r.mean().Round(time.Millisecond), r.busiest/1000, r.swing())
}

package cross_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"shallotcourse/internal/cross"
)

const (
	worldStep = 5 * time.Millisecond
	// worldGateways is the number of gateways in each data centre. Each has new loads
	// every reportInterval, which are as old as that, at a time of its own.
	worldGateways  = 4
	reportInterval = 200 * time.Millisecond
	worldAnswer    = 200
	worldBytes     = 40_000
	maxKnownFill   = 0.92
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
	// world simulates data centres whose targets have memory for a number of requests
	// and read one prompt after the other.
	world struct {
		sites  []*worldSite
		events []worldEvent
		delay  time.Duration
		// pipe is the capacity in bytes per second that the gateways believe, and
		// realPipe that of the connection.
		pipe, realPipe     float64
		maxWait, objective time.Duration
		// regular is true if requests arrive at equal intervals and at the gateways in
		// turn, instead of at random.
		regular bool
		// restart is when one gateway of each site starts anew; 0 is never.
		restart time.Duration
	}

	worldSite struct {
		name        string
		slots, rate float64
		prompts     float64
		token       time.Duration
		// age is the age of the loads that the gateways elsewhere have of the site,
		// beside reportInterval.
		age time.Duration

		inFlight, arrived int
		// ends holds the number of requests that end in each step.
		ends      map[time.Duration]int
		readUntil time.Duration
		// due is the part of a request that has not arrived yet.
		due     float64
		history []worldFigures
	}

	worldFigures struct {
		cross.Figures
		inFlight, slots   float64
		wait, read, token time.Duration
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
		length                       time.Duration
		random                       *rand.Rand
		now, pipeUntil               time.Duration
		gateways                     map[string][]*worldGateway
		asked, good, refused, passed int
		// closedGot counts the requests that went to a closed data centre although
		// another had room.
		closedGot int
		// lasted is the time that the answers took together.
		lasted time.Duration
		// window is the number of bytes over the pipe in the current pipeWindow, and
		// busiest the largest number per second in one.
		window, busiest float64
		// parts holds the parts sent away by the first site over time.
		parts []float64
		// loads is the loadSwing at the end.
		loads float64
	}

	worldGateway struct {
		decider *cross.Decider
		meter   cross.Meter
		// known holds the loads as they were at knownAt.
		known   []worldFigures
		knownAt time.Duration
		input   cross.Input
		// sends holds what the gateway has sent within partWindow.
		sends []worldSend
		// all counts the requests sent in the second half of the run, and away those
		// among them that left.
		all, away float64
	}

	worldSend struct {
		at time.Duration
		to string
	}
)

func newWorld() *world {
	return &world{delay: 400 * time.Microsecond, pipe: 5e8, realPipe: 5e8, maxWait: 350 * time.Millisecond, objective: 500 * time.Millisecond}
}

// figures returns the load of a site now.
func (s *worldSite) figures(now time.Duration) worldFigures {
	f := worldFigures{Figures: cross.Figures{Name: s.name, Ready: int(s.slots), Complete: s.slots > 0, Age: s.age}, inFlight: float64(s.inFlight), slots: max(1, s.slots)}
	f.wait, f.read = max(0, s.readUntil-now), time.Duration(float64(time.Second)/max(1, s.prompts))
	f.token = time.Duration(float64(s.token) * (1 + f.inFlight/f.slots))
	return f
}

// run plays the world with one rule, and leaves the sites as they were declared.
func (w *world) run(rule string, length time.Duration, seed uint64) *worldRun {
	r := &worldRun{world: w, rule: rule, length: length, random: rand.New(rand.NewPCG(seed, 1)), gateways: map[string][]*worldGateway{}}
	for _, s := range w.sites {
		declared := *s
		defer func() { *s = declared }()
		s.ends = map[time.Duration]int{}
		for range worldGateways {
			r.gateways[s.name] = append(r.gateways[s.name], &worldGateway{decider: cross.New()})
		}
	}
	events := slices.Clone(w.events)
	for ; r.now < length; r.now += worldStep {
		for len(events) > 0 && events[0].at <= r.now {
			events[0].apply()
			events = events[1:]
		}
		if r.now%pipeWindow == 0 {
			r.window = 0
		}
		for i, s := range w.sites {
			if r.restart > 0 && r.now == r.restart {
				r.gateways[s.name][1] = &worldGateway{decider: cross.New()}
			}
			s.inFlight -= s.ends[r.now]
			delete(s.ends, r.now)
			s.history = append(s.history, s.figures(r.now))
			for g, gateway := range r.gateways[s.name] {
				r.report(s, gateway, time.Duration(g)*reportInterval/worldGateways)
			}
			if i == 0 {
				r.parts = append(r.parts, sentAway(s.name, r.gateways[s.name]...))
			}
			if s.due += s.rate * worldStep.Seconds(); !r.regular {
				s.due += r.random.Float64() - 0.5
			}
			for ; s.due >= 1; s.due-- {
				turn := r.random.IntN(worldGateways)
				if s.arrived++; r.regular {
					turn = s.arrived % worldGateways
				}
				r.arrive(s, r.gateways[s.name][turn])
			}
		}
	}
	r.loads = r.loadSwing()
	return r
}

// report gives a gateway the loads as they were a reportInterval ago.
func (r *worldRun) report(home *worldSite, g *worldGateway, offset time.Duration) {
	at := int((r.now - reportInterval) / worldStep)
	if (r.now+offset)%reportInterval != 0 || at < 0 || at >= len(r.sites[len(r.sites)-1].history) {
		return
	}
	g.known, g.knownAt = nil, r.now-reportInterval
	g.input = cross.Input{
		Home: home.name, Delays: map[string]time.Duration{}, RequestBytes: worldBytes, PipeBytes: r.pipe, Gateways: worldGateways * len(r.sites),
		AnswerTokens: worldAnswer, Objective: r.objective,
	}
	for _, s := range r.sites {
		f := s.history[at]
		g.known, g.input.DataCentres = append(g.known, f), append(g.input.DataCentres, f.Figures)
		g.input.Delays[s.name] = max(r.delay, r.pipeUntil-r.now)
	}
	g.sends = slices.DeleteFunc(g.sends, func(s worldSend) bool { return s.at < r.now-partWindow })
}

// perOwn is the number of requests of all gateways for each one of a gateway of a site, at
// most the number of gateways, as limit.RetryLimiter counts.
func (r *worldRun) perOwn(home *worldSite) float64 {
	sum := 0.0
	for _, s := range r.sites {
		sum += s.rate
	}
	return min(float64(worldGateways*len(r.sites)), worldGateways*sum/max(1, home.rate))
}

// sentAway returns the part of the requests that gateways of a site send away.
func sentAway(home string, gateways ...*worldGateway) float64 {
	away, all := 0, 0
	for _, g := range gateways {
		all += len(g.sends)
		for _, s := range g.sends {
			if s.to != home {
				away++
			}
		}
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

// costs returns the costs of crossing that a gateway knows of.
func (r *worldRun) costs(g *worldGateway) map[string]cross.Cost {
	out := map[string]cross.Cost{}
	g.input.UsedBytes = g.meter.Rate(time.Unix(1000, 0).Add(r.now))
	for _, c := range g.decider.Costs(g.input) {
		out[c.DataCentre] = c
	}
	return out
}

// sentSince counts the requests that the gateway has sent to a site since the loads that
// it knows.
func (g *worldGateway) sentSince(site string) float64 {
	n := 0.0
	for i := len(g.sends) - 1; i >= 0 && g.sends[i].at >= g.knownAt; i-- {
		if g.sends[i].to == site {
			n++
		}
	}
	return n
}

// order returns the data centres that a gateway tries for a request, by its rule. Except
// for the cheapest by the reported loads, it counts what all are expected to have sent
// since, as the ledger does.
func (r *worldRun) order(home *worldSite, g *worldGateway, costs map[string]cross.Cost) []string {
	cost, names := map[string]float64{}, []string(nil)
	for _, f := range g.known {
		away := f.Name != home.name
		expected := f.inFlight
		if r.rule != "cheapest" {
			expected += r.perOwn(home) * g.sentSince(f.Name)
		}
		if r.rule == "never" && away || r.rule == "costs" && costs[f.Name].Closed.Forbids() && home.slots > 0 ||
			f.inFlight+1 > maxKnownFill*f.slots || f.wait > r.maxWait {
			continue
		}
		fill := expected / f.slots
		c := f.token.Seconds() * (1 + 2*fill*fill)
		switch {
		case r.rule == "cheapest":
			c = (f.wait + f.read + f.token).Seconds()
			if away {
				c += cross.Trips * r.delay.Seconds()
			}
		case away && r.rule == "costs":
			if c += costs[f.Name].PerToken.Seconds(); costs[f.Name].Closed != "" {
				c += time.Hour.Seconds()
			}
		case away:
			c += 0.002
		}
		cost[f.Name], names = c, append(names, f.Name)
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(cost[a], cost[b]) })
	return names
}

// arrive sends one request to the first data centre that takes it.
func (r *worldRun) arrive(home *worldSite, g *worldGateway) {
	r.asked++
	late, costs := time.Duration(0), r.costs(g)
	order := r.order(home, g, costs)
	for i, name := range order {
		s := r.sites[slices.IndexFunc(r.sites, func(s *worldSite) bool { return s.name == name })]
		away := s != home
		if away {
			late += cross.Trips * r.delay
		}
		now := s.figures(r.now)
		if now.inFlight >= s.slots {
			continue
		}
		if away {
			r.pass(g)
			late += r.pipeUntil - r.now
		}
		if c := costs[name].Closed; c != "" && (i == 0 && len(order) > 1 || c.Forbids()) {
			r.closedGot++
		}
		g.sends = append(g.sends, worldSend{r.now, name})
		if r.now >= r.length/2 {
			g.all++
			if away {
				g.away++
			}
		}
		s.readUntil = max(s.readUntil, r.now) + now.read
		first := s.readUntil - r.now
		s.inFlight++
		took := first + worldAnswer*now.token
		r.lasted += took + late
		s.ends[(r.now+took).Truncate(worldStep)+worldStep]++
		if first+late <= r.objective {
			r.good++
		}
		return
	}
	r.refused++
}

// pass sends a request over the pipe.
func (r *worldRun) pass(g *worldGateway) {
	r.passed++
	g.meter.Add(time.Unix(1000, 0).Add(r.now), worldBytes)
	r.window += worldBytes
	r.busiest = max(r.busiest, r.window/pipeWindow.Seconds())
	r.pipeUntil = max(r.pipeUntil, r.now) + time.Duration(worldBytes/r.realPipe*float64(time.Second))
}

// swing is the difference between the largest and the smallest part that the first site
// sends away in the last third of the run.
func (r *worldRun) swing() float64 {
	last := r.parts[len(r.parts)*2/3:]
	return slices.Max(last) - slices.Min(last)
}

// loadSwing is the largest change of the load of a site in the last third of the run, in
// parts of its memory.
func (r *worldRun) loadSwing() float64 {
	out := 0.0
	for _, s := range r.sites {
		low, high := s.slots, 0.0
		for _, f := range s.history[len(s.history)*2/3:] {
			low, high = min(low, f.inFlight), max(high, f.inFlight)
		}
		out = max(out, (high-low)/max(1, s.slots))
	}
	return out
}

// percent returns a number of requests in percent of all.
func (r *worldRun) percent(n int) float64 { return 100 * float64(n) / float64(max(1, r.asked)) }

// mean is the mean time of an answer.
func (r *worldRun) mean() time.Duration { return r.lasted / time.Duration(max(1, r.asked-r.refused)) }

// show returns the result in percent of the requests.
func (r *worldRun) show() string {
	return fmt.Sprintf("%-8s good %.1f refused %.1f crossed %.1f, answers %v, at most %.0f kB/s, swing %.2f, of loads %.2f", r.rule, r.percent(r.good),
		r.percent(r.refused), r.percent(r.passed), r.mean().Round(time.Millisecond), r.busiest/1000, r.swing(), r.loads)
}

package cross_test

import (
	"cmp"
	"fmt"
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
	// pipeWindow is the time over which the bytes on the pipe are counted. Requests are
	// picked by hash, so that their number in a second varies by chance.
	pipeWindow = 10 * time.Second
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
		// regular is true if requests arrive at equal intervals instead of at random.
		regular bool
		// restart is when one gateway of each site starts anew; 0 is never.
		restart time.Duration
	}

	worldSite struct {
		name        string
		slots, rate float64
		prompts     float64
		token       time.Duration

		inFlight int
		// ends holds the number of requests that end in each step.
		ends      map[time.Duration]int
		readUntil time.Duration
		// due is the part of a request that has not arrived yet.
		due     float64
		history []cross.Figures
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
		random                       *rand.Rand
		now, pipeUntil               time.Duration
		gateways                     map[string][]*worldGateway
		asked, good, refused, passed int
		bySite, goodBySite           map[string]int
		// window is the number of bytes over the pipe in the current pipeWindow, and
		// busiest the largest number per second in one.
		window, busiest float64
		// parts holds the parts sent away by the first site over time.
		parts []float64
	}

	worldGateway struct {
		decider  *cross.Decider
		known    []cross.Figures
		decision cross.Decision
	}
)

func newWorld() *world {
	return &world{delay: 400 * time.Microsecond, pipe: 5e8, realPipe: 5e8, maxWait: 350 * time.Millisecond, objective: 500 * time.Millisecond}
}

// figures returns the load of a site now.
func (s *worldSite) figures(now time.Duration) cross.Figures {
	f := cross.Figures{Name: s.name, Ready: int(s.slots), Complete: s.slots > 0, InFlight: float64(s.inFlight)}
	f.Free = max(0, maxKnownFill*s.slots-f.InFlight)
	f.Wait, f.Read = max(0, s.readUntil-now), time.Duration(float64(time.Second)/max(1, s.prompts))
	f.Token = time.Duration(float64(s.token) * (1 + f.InFlight/max(1, s.slots)))
	return f
}

// run plays the world with one rule, and leaves the sites as they were declared.
func (w *world) run(rule string, length time.Duration, seed uint64) *worldRun {
	r := &worldRun{world: w, rule: rule, random: rand.New(rand.NewPCG(seed, 1)), gateways: map[string][]*worldGateway{}, bySite: map[string]int{}, goodBySite: map[string]int{}}
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
				r.gateways[s.name][1].decider = cross.New()
			}
			s.inFlight -= s.ends[r.now]
			delete(s.ends, r.now)
			s.history = append(s.history, s.figures(r.now))
			for g, gateway := range r.gateways[s.name] {
				r.report(s, gateway, time.Duration(g)*reportInterval/worldGateways)
			}
			if i == 0 {
				r.parts = append(r.parts, r.sentAway(s))
			}
			if s.due += s.rate * worldStep.Seconds(); !r.regular {
				s.due += r.random.Float64() - 0.5
			}
			for ; s.due >= 1; s.due-- {
				r.arrive(s, r.gateways[s.name][r.random.IntN(worldGateways)])
			}
		}
	}
	return r
}

// report gives a gateway the loads as they were a reportInterval ago, and has it decide.
func (r *worldRun) report(home *worldSite, g *worldGateway, offset time.Duration) {
	at := int((r.now - reportInterval) / worldStep)
	if (r.now+offset)%reportInterval != 0 || at < 0 {
		return
	}
	in := cross.Input{
		At: time.Unix(1000, 0).Add(r.now), Home: home.name, Arrivals: home.rate, Delays: map[string]time.Duration{}, RequestBytes: worldBytes, PipeBytes: r.pipe,
		AnswerTokens: worldAnswer, MaxWait: r.maxWait, Refusal: r.objective,
	}
	for _, s := range r.sites {
		if at >= len(s.history) {
			return
		}
		in.DataCentres, in.Delays[s.name] = append(in.DataCentres, s.history[at]), max(r.delay, r.pipeUntil-r.now)
	}
	g.known, g.decision = in.DataCentres, g.decider.Shares(in)
}

func (r *worldRun) sentAway(s *worldSite) float64 { return r.gateways[s.name][0].sentAway() }

// sentAway returns the part of the requests that the gateway sends away.
func (g *worldGateway) sentAway() float64 {
	if shares := g.decision.Shares; shares != nil {
		return 1 - shares[0].Part
	}
	return 0
}

// spread is the largest difference between the parts that gateways of one site send away.
func (r *worldRun) spread() float64 {
	out := 0.0
	for _, gateways := range r.gateways {
		for _, g := range gateways {
			out = max(out, g.sentAway()-gateways[0].sentAway(), gateways[0].sentAway()-g.sentAway())
		}
	}
	return out
}

// order returns the data centres that a gateway tries for a request, by its rule.
func (r *worldRun) order(home *worldSite, g *worldGateway) []cross.Figures {
	cost := func(f cross.Figures) float64 {
		fill := f.InFlight / max(1, f.InFlight+f.Free)
		out := f.Token.Seconds() * (1 + 2*fill*fill)
		switch {
		case r.rule == "cheapest":
			out = (f.Wait + f.Read + f.Token).Seconds()
			if f.Name != home.name {
				out += cross.Trips * r.delay.Seconds()
			}
		case f.Name != home.name:
			out += 0.002
		}
		return out
	}
	picked := ""
	if r.rule == "shares" {
		picked = cross.Pick(g.decision.Shares, fmt.Sprint(r.asked))
	}
	out := slices.DeleteFunc(slices.Clone(g.known), func(f cross.Figures) bool {
		away := f.Name != home.name
		if r.rule == "shares" && g.decision.Confined && away && f.Name != picked {
			return true
		}
		return f.Free < 1 || f.Wait > r.maxWait || r.rule == "never" && away
	})
	slices.SortStableFunc(out, func(a, b cross.Figures) int {
		if a.Name == picked || b.Name == picked {
			return cmp.Compare(b2i(b.Name == picked), b2i(a.Name == picked))
		}
		return cmp.Compare(cost(a), cost(b))
	})
	return out
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// arrive sends one request to the first data centre that takes it.
func (r *worldRun) arrive(home *worldSite, g *worldGateway) {
	r.asked++
	r.bySite[home.name]++
	late := time.Duration(0)
	for _, f := range r.order(home, g) {
		s := r.sites[slices.IndexFunc(r.sites, func(s *worldSite) bool { return s.name == f.Name })]
		away := s != home
		if away {
			late += cross.Trips * r.delay
		}
		now := s.figures(r.now)
		if now.InFlight >= s.slots {
			continue
		}
		if away {
			r.passed++
			r.window += worldBytes
			r.busiest = max(r.busiest, r.window/pipeWindow.Seconds())
			r.pipeUntil = max(r.pipeUntil, r.now) + time.Duration(worldBytes/r.realPipe*float64(time.Second))
			late += r.pipeUntil - r.now
		}
		s.readUntil = max(s.readUntil, r.now) + now.Read
		first := s.readUntil - r.now
		s.inFlight++
		s.ends[(r.now+first+worldAnswer*now.Token).Truncate(worldStep)+worldStep]++
		if first+late <= r.objective {
			r.good++
			r.goodBySite[home.name]++
		}
		return
	}
	r.refused++
}

// swing is the difference between the largest and the smallest part that the first site
// sends away in the last third of the run.
func (r *worldRun) swing() float64 {
	last := r.parts[len(r.parts)*2/3:]
	return slices.Max(last) - slices.Min(last)
}

// percent returns a number of requests in percent of all.
func (r *worldRun) percent(n int) float64 { return 100 * float64(n) / float64(max(1, r.asked)) }

// show returns the result in percent of the requests.
func (r *worldRun) show() string {
	first := r.sites[0].name
	return fmt.Sprintf("%-8s good %.1f (%s %.1f) refused %.1f crossed %.1f, at most %.0f kB/s", r.rule, r.percent(r.good), first,
		100*float64(r.goodBySite[first])/float64(max(1, r.bySite[first])), r.percent(r.refused), r.percent(r.passed), r.busiest/1000)
}

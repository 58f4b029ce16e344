package cross_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"shallotcourse/internal/cross"
	"shallotcourse/internal/script"
)

const (
	// tolerance is the difference in percent that a run of 60 s shows by chance.
	tolerance = 1.0
	// maxSwing is the largest change of the part that leaves in a third of a run of
	// steady demand that is put down to the random arrivals.
	maxSwing = 0.1
)

// Guards against costs by which fewer requests are served, or answers take longer, than
// when all stay at home, each one goes to whichever data centre looks cheapest, or fixed
// costs are added, and against requests that go to closed data centres. Each case runs the same
// requests under each rule; -v shows the figures.
func TestRulesCompared(t *testing.T) {
	script.Run(t, "testdata/rules/*.txtar", func(t *testing.T) func(script.Line) []string {
		w := &world{pipe: 5e8, realPipe: 5e8}
		return func(l script.Line) []string {
			switch l.Name {
			case "pipe":
				w.pipe, w.realPipe = float64(l.Int("named")), float64(l.Int("real"))
			case "site":
				w.sites = append(w.sites, &worldSite{
					name: l.Text("name"), slots: float64(l.Int("slots")), rate: float64(l.Int("rate")), prompts: float64(l.Int("prompts")), token: l.Duration("token"),
				})
			case "change":
				w.events = append(w.events, worldEvent{l.Duration("at"), func() { changeSite(w, l) }})
			case "run":
				return compareRules(t, w, l.Duration("for"))
			default:
				t.Fatalf("unknown input %q", l.Name)
			}
			return nil
		}
	})
}

// compareRules runs each rule and returns how the costs compare with the best of the others.
func compareRules(t *testing.T, w *world, length time.Duration) []string {
	r := w.run("costs", length)
	best, shortest := 0.0, time.Hour
	for _, rule := range []string{"never", "cheapest", "fixed"} {
		other := w.run(rule, length)
		t.Log(other.show())
		best = max(best, other.percent(other.good))
		if other.percent(other.good) >= r.percent(r.good)-tolerance/2 {
			shortest = min(shortest, other.mean())
		}
	}
	t.Log(r.show())
	return []string{
		fmt.Sprintf("serves as many as the best other rule: %v", r.percent(r.good) >= best-tolerance),
		fmt.Sprintf("answers as fast as rules that serve as many: %v", r.mean().Seconds() <= shortest.Seconds()*(1+tolerance/100)),
		fmt.Sprintf("sends away at the end: %v", r.parts[len(r.parts)-1] > 0),
		fmt.Sprintf("steady at the end: %v", r.swing() <= maxSwing),
		fmt.Sprintf("within the pipe: %v", r.busiest <= w.pipe),
		fmt.Sprintf("to closed data centres: %v", r.closedGot),
	}
}

func changeSite(w *world, l script.Line) {
	for _, s := range w.sites {
		if s.name != l.Text("site") {
			continue
		}
		if l.Text("rate") != "" {
			s.rate = float64(l.Int("rate"))
		}
		if l.Text("slots") != "" {
			s.slots = float64(l.Int("slots"))
		}
		s.age = l.Duration("age")
	}
}

// Guards against wrong costs and reasons for given figures. Each case describes the
// failure that it guards against.
func TestCosts(t *testing.T) {
	script.Run(t, "testdata/costs.txtar", func(t *testing.T) func(script.Line) []string {
		d, figures := cross.New(), cross.Figures{Name: "b", Ready: 5, Complete: true}
		in := cross.Input{
			Home: "a", Delays: map[string]time.Duration{"b": 400 * time.Microsecond}, RequestBytes: 40_000, PipeBytes: 5e8, Gateways: 4, AnswerTokens: 200,
			Objective: 500 * time.Millisecond,
		}
		return func(l script.Line) []string {
			switch l.Name {
			case "dc":
				figures.Ready, figures.Complete, figures.Age = l.Int("ready"), !l.Bool("partial"), l.Duration("age")
			case "delay":
				in.Delays["b"] = l.Duration("time")
			case "used":
				in.UsedBytes = float64(l.Int("bytes"))
			case "unnamed":
				delete(in.Delays, "b")
			case "costs":
				in.DataCentres = []cross.Figures{figures, {Name: "a", Ready: 5, Complete: true}}
				costs := d.Costs(in)
				if len(costs) == 0 {
					return []string{"none"}
				}
				c := costs[0]
				return []string{strings.TrimSpace(fmt.Sprintf("%s %v %s", c.DataCentre, c.PerToken.Round(100*time.Nanosecond), c.Closed))}
			default:
				t.Fatalf("unknown input %q", l.Name)
			}
			return nil
		}
	})
}

// Guards against parts that oscillate under steady demand, against gateways that decide
// otherwise by the same loads, against more bytes over the pipe than it carries, and
// against requests that go to closed data centres.
func TestSteadyDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, demand := &world{}, rapid.SampledFrom([]float64{0.5, 1}).Draw(t, "demand")
		for _, name := range []string{"a", "b", "c"}[:rapid.IntRange(2, 3).Draw(t, "sites")] {
			slots := rapid.Float64Range(300, 800).Draw(t, "slots")
			// A request takes about 3 s.
			w.sites = append(w.sites, &worldSite{
				name: name, slots: slots, rate: demand * slots / 3 * rapid.Float64Range(0.4, 1.6).Draw(t, "load"),
				prompts: slots / 3 * rapid.Float64Range(1.1, 3).Draw(t, "prompts"), token: rapid.SampledFrom([]time.Duration{7, 10, 13}).Draw(t, "token") * time.Millisecond,
			})
		}
		w.pipe = rapid.SampledFrom([]float64{4e6, 16e6, 2e8}).Draw(t, "pipe")
		w.realPipe, w.regular, w.restart = w.pipe, true, 10*time.Second
		w.sites[1].age = rapid.SampledFrom([]time.Duration{0, 2 * time.Second}).Draw(t, "age")
		r := w.run("costs", 40*time.Second)
		// Beyond what the memory holds, requests are refused by loads up to 0.4 s old
		// under each rule, and loads change by a fifth even if none leaves.
		if fits := r.percent(r.refused) <= tolerance; fits && r.swing() > maxSwing {
			t.Fatalf("the part that leaves changes by %.2f", r.swing())
		}
		if r.spread() > maxSwing {
			t.Fatalf("gateways with the same loads differ by %.2f", r.spread())
		}
		if r.busiest > w.pipe {
			t.Fatalf("%.0f bytes per second over a pipe of %.0f", r.busiest, w.pipe)
		}
		if r.closedGot > 0 {
			t.Fatalf("%d requests to closed data centres", r.closedGot)
		}
	})
}

// Guards against a meter that forgets what has just crossed or keeps what crossed long ago.
func TestMeter(t *testing.T) {
	is := is.New(t)
	var m cross.Meter
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		m.Add(now, 1000)
	}
	is.True(m.Rate(now) > 95_000 && m.Rate(now) < 105_000)
	is.True(m.Rate(now.Add(10*time.Second)) < 1000)
}

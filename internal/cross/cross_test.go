package cross_test

import (
	"fmt"
	"slices"
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
	// maxSwing is the largest change of the share in a third of a run of steady demand
	// that is put down to the random arrivals.
	maxSwing = 0.1
)

// Guards against shares that serve fewer requests than to keep all at home, to send each
// one to whichever data centre looks cheapest, or to add fixed costs, and against shares
// that oscillate. Each case runs the same requests under each rule; -v shows the figures.
func TestRulesCompared(t *testing.T) {
	script.Run(t, "testdata/rules/*.txtar", func(t *testing.T) func(script.Line) []string {
		w := newWorld()
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

// compareRules runs each rule and returns how the shares compare with the best of the
// others.
func compareRules(t *testing.T, w *world, length time.Duration) []string {
	runs := map[string]*worldRun{}
	best := 0.0
	for _, rule := range []string{"never", "cheapest", "fixed", "shares"} {
		r := w.run(rule, length, 1)
		runs[rule] = r
		if t.Log(r.show()); rule != "shares" {
			best = max(best, r.percent(r.good))
		}
	}
	r := runs["shares"]
	t.Logf("sent away by %s: at most %.2f, at the end %.2f, swing %.2f", w.sites[0].name, slices.Max(r.parts), r.parts[len(r.parts)-1], r.swing())
	return []string{
		fmt.Sprintf("serves as many as the best other rule: %v", r.percent(r.good) >= best-tolerance),
		fmt.Sprintf("crosses less than cheapest and fixed: %v", r.passed < runs["cheapest"].passed && r.passed < runs["fixed"].passed),
		fmt.Sprintf("sends away at the end: %v", r.parts[len(r.parts)-1] > 0),
		fmt.Sprintf("steady at the end: %v", r.swing() <= maxSwing),
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
	}
}

// Guards against wrong shares and reasons for given figures. Each case describes the
// failure that it guards against.
func TestDecisions(t *testing.T) {
	script.Run(t, "testdata/decide.txtar", func(t *testing.T) func(script.Line) []string {
		d, figures := cross.New(), map[string]cross.Figures{}
		in := cross.Input{
			At: time.Unix(1000, 0), Home: "a", Delays: map[string]time.Duration{"b": 400 * time.Microsecond, "c": 400 * time.Microsecond}, RequestBytes: 40_000,
			PipeBytes: 5e8, AnswerTokens: 200, MaxWait: 350 * time.Millisecond, Refusal: 500 * time.Millisecond,
		}
		return func(l script.Line) []string {
			switch l.Name {
			case "pipe":
				in.PipeBytes = float64(l.Int("bytes"))
			case "dc":
				figures[l.Text("name")] = cross.Figures{
					Name: l.Text("name"), Ready: l.Int("ready"), Complete: !l.Bool("partial"), InFlight: float64(l.Int("inflight")), Free: float64(l.Int("free")),
					Wait: l.Duration("wait"), Read: 10 * time.Millisecond, Token: 10*time.Millisecond + l.Duration("slower"), Age: l.Duration("age"),
				}
			case "after":
				in.DataCentres = nil
				for _, f := range figures {
					in.DataCentres = append(in.DataCentres, f)
				}
				var out cross.Decision
				for end := in.At.Add(l.Duration("time")); in.At.Before(end); {
					in.At = in.At.Add(100 * time.Millisecond)
					out = d.Shares(in)
				}
				return []string{showDecision(out)}
			default:
				t.Fatalf("unknown input %q", l.Name)
			}
			return nil
		}
	})
}

func showDecision(d cross.Decision) string {
	var parts []string
	for _, s := range d.Shares {
		parts = append(parts, fmt.Sprintf("%s %.2f %s", s.DataCentre, s.Part, s.Reason))
	}
	if d.Confined {
		parts = append(parts, "confined")
	}
	return strings.Join(parts, ", ")
}

// Guards against shares that oscillate under steady demand, against gateways that decide
// otherwise by the same loads, and against more bytes over the pipe than it carries.
func TestSteadyDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for _, name := range []string{"a", "b", "c"}[:rapid.IntRange(2, 3).Draw(t, "sites")] {
			slots := rapid.Float64Range(300, 800).Draw(t, "slots")
			// A request takes about 3 s, and half a site's memory or more is in use.
			w.sites = append(w.sites, &worldSite{
				name: name, slots: slots, rate: slots / 3 * rapid.Float64Range(0.4, 1.6).Draw(t, "load"),
				prompts: slots / 3 * rapid.Float64Range(1.1, 3).Draw(t, "prompts"), token: rapid.SampledFrom([]time.Duration{7, 10, 13}).Draw(t, "token") * time.Millisecond,
			})
		}
		w.pipe = rapid.SampledFrom([]float64{4e6, 16e6, 2e8}).Draw(t, "pipe")
		w.realPipe, w.regular, w.restart = w.pipe, true, 10*time.Second
		r := w.run("shares", 40*time.Second, 1)
		if r.swing() > maxSwing {
			t.Fatalf("the share changes by %.2f", r.swing())
		}
		if r.spread() > maxSwing {
			t.Fatalf("gateways with the same loads differ by %.2f", r.spread())
		}
		if r.busiest > w.pipe {
			t.Fatalf("%.0f bytes per second over a pipe of %.0f", r.busiest, w.pipe)
		}
	})
}

// Guards against requests that are not spread by the shares, or that are picked for
// another data centre at another gateway or when they are repeated.
func TestPick(t *testing.T) {
	is := is.New(t)
	shares := []cross.Share{{DataCentre: "a", Part: 0.6}, {DataCentre: "b", Part: 0.3}, {DataCentre: "c", Part: 0.1}}
	counts := map[string]int{}
	for i := range 10_000 {
		id := fmt.Sprint("request-", i)
		counts[cross.Pick(shares, id)]++
		is.Equal(cross.Pick(shares, id), cross.Pick(slices.Clone(shares), id))
	}
	for _, s := range shares {
		is.True(counts[s.DataCentre] > int(9000*s.Part) && counts[s.DataCentre] < int(11000*s.Part))
	}
	is.Equal(cross.Pick(nil, "request"), "")
}

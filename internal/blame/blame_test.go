package blame_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"shallotcourse/internal/blame"
	"shallotcourse/internal/script"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// tick is the interval of the gateways' reports.
const tick = 200 * time.Millisecond

type (
	// gateway is a tracker with the reports that wait for it.
	gateway struct {
		*blame.Tracker
		reporter *blame.Reporter
		name     string
		group    string
		leads    bool
		// cut gateways exchange no reports; paused ones receive them late.
		cut, paused bool
	}

	// network connects gateways: all with one another, or those of a group with
	// its leader and leaders among themselves.
	network struct {
		clock    *timer.Manual
		gateways []*gateway
		// drop is the number of reports that are lost next.
		drop int
	}
)

func (n *network) add(name, group string, leads bool) {
	g := &gateway{name: name, group: group, leads: leads}
	n.gateways = append(n.gateways, g)
	n.start(g)
}

// start gives a gateway an empty tracker, as after a restart.
func (n *network) start(g *gateway) {
	g.Tracker = blame.New(blame.Options{Clock: n.clock, Log: log.NewNopLogger(), Instance: g.name})
	g.reporter = g.NewReporter()
	g.SetPeers(func(r blame.Report) { n.send(g, r, "") }, func(string) bool { return g.name == "g0" })
}

func (n *network) linked(a, b *gateway) bool {
	if a == b || a.cut || b.cut || a.paused || b.paused {
		return false
	}
	return a.group == "" || a.leads && b.leads || a.group == b.group && (a.leads || b.leads)
}

func (n *network) send(from *gateway, r blame.Report, except string) {
	for _, to := range n.gateways {
		if !n.linked(from, to) || to.name == except {
			continue
		}
		if n.drop > 0 {
			n.drop--
			continue
		}
		if fresh := to.Merge(from.name, r); to.leads && !fresh.Empty() {
			n.send(to, fresh, from.name)
		}
	}
}

func (n *network) wait(d time.Duration) {
	for ; d > 0; d -= tick {
		n.clock.Advance(min(d, tick))
		for _, g := range n.gateways {
			if r := g.reporter.Report(g.leads); !g.paused && !r.Empty() {
				n.send(g, r, "")
			}
		}
	}
}

func (n *network) get(t *testing.T, name string) *gateway {
	i := slices.IndexFunc(n.gateways, func(g *gateway) bool { return g.name == name })
	if i < 0 {
		t.Fatalf("no gateway %q", name)
	}
	return n.gateways[i]
}

// connect exchanges everything that two gateways know, as a new link does.
func (n *network) connect(g *gateway) {
	for _, other := range n.gateways {
		if n.linked(g, other) {
			g.Merge(other.name, other.FullReport())
			other.Merge(g.name, g.FullReport())
		}
	}
}

func verdict(h *blame.Hold) string {
	if h == nil {
		return "sent"
	}
	return "held " + strings.Join(h.Parts, ",")
}

// Guards against requests that are sent on although their prompts end targets
// (BUDGET) and against sound requests that are held with them (LOST): evidence
// scattered over gateways, in groups and with lost reports, parts that sound
// requests share, targets that are lost together, several parts at once, and a
// part that ends targets no longer.
func TestBlame(t *testing.T) {
	script.Run(t, "testdata/*.txtar", func(t *testing.T) func(script.Line) []string {
		n := &network{clock: timer.NewManual(time.Unix(1000, 0))}
		return func(l script.Line) []string {
			switch l.Name {
			case "mesh":
				for i := range l.Int("gateways") {
					n.add(fmt.Sprintf("g%d", i), "", false)
				}
			case "groups":
				for i := range l.Int("gateways") {
					n.add(fmt.Sprintf("g%d", i), fmt.Sprint(i%2), i < 2)
				}
			case "end":
				n.get(t, l.Text("at")).Ended(topo.Target{ID: l.Text("target"), Started: 1}, strings.Split(l.Text("prompt"), ","))
			case "running":
				n.get(t, l.Text("at")).Running(strings.Split(l.Text("prompt"), ","))
			case "survived":
				n.get(t, l.Text("at")).Survived(strings.Split(l.Text("prompt"), ","))
			case "wait":
				n.wait(l.Duration("for"))
			case "drop":
				n.drop = l.Int("reports")
			case "cut", "pause":
				g := n.get(t, l.Text("at"))
				g.cut, g.paused = l.Name == "cut", l.Name == "pause"
			case "connect":
				g := n.get(t, l.Text("at"))
				g.cut, g.paused = false, false
				n.connect(g)
			case "resume":
				n.get(t, l.Text("at")).paused = false
			case "restart":
				g := n.get(t, l.Text("at"))
				n.start(g)
				n.connect(g)
			case "check":
				return []string{verdict(n.get(t, l.Text("at")).Check(strings.Split(l.Text("prompt"), ",")))}
			case "check-all":
				var out []string
				for _, g := range n.gateways {
					v := verdict(g.Held(strings.Split(l.Text("prompt"), ",")))
					if !slices.Contains(out, v) {
						out = append(out, v)
					}
				}
				return out
			default:
				t.Fatalf("unknown input %q", l.Name)
			}
			return nil
		}
	})
}

// Guards against state that grows without bound under made-up parts, each in few
// requests, and against a part that ends targets and is missed among them.
func TestBlameBounded(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	b := blame.New(blame.Options{Clock: clock, Log: log.NewNopLogger(), Instance: "g0"})
	for i := range 20000 {
		b.Survived([]string{fmt.Sprintf("made-up-%d", i), "x"})
	}
	start := time.Now()
	for i := range 150 {
		clock.Advance(200 * time.Millisecond)
		target := topo.Target{ID: fmt.Sprintf("t%d", i)}
		for j := range 40 {
			b.Ended(target, []string{fmt.Sprintf("p%d", i/3), fmt.Sprintf("q%d-%d", i, j), fmt.Sprintf("r%d-%d", i, j)})
		}
	}
	is.True(time.Since(start) < 20*time.Second)
	r := b.FullReport()
	is.True(len(r.Ends) <= 64)
	is.True(len(r.Holds) <= 64)
	is.True(len(r.Survivals) <= 64)
	for _, e := range r.Ends {
		is.True(len(e.Cases) <= 32)
	}
	is.True(b.Check([]string{"p49", "new", "z"}) != nil)
	is.True(b.Check([]string{"other", "new", "z"}) == nil)

	last := r.Ends[len(r.Ends)-1].Cases
	for i := range 3 {
		running := map[string]time.Duration{}
		for _, c := range last[10*i : 10*(i+1)] {
			running[c.Prompt[1]] = 0
		}
		for j := range 40 {
			running[fmt.Sprintf("made-up-%d-%d", i, j)] = 0
		}
		b.Merge(fmt.Sprintf("g%d", i+1), blame.Report{Running: running})
	}
	is.Equal(len(b.NewReporter().Report(true).Running), 30) // only suspects
	for _, e := range r.Ends {
		for _, c := range e.Cases {
			b.Merge("g1", blame.Report{Running: map[string]time.Duration{c.Prompt[1]: 0}})
			b.Running(c.Prompt)
		}
	}
	is.True(len(b.NewReporter().Report(true).Running) <= 64)
	is.True(len(b.NewReporter().Report(false).Running) <= 64)
}

// Guards against a report of another gateway with impossible values that changes
// what this one knows.
func TestBlameBadReports(t *testing.T) {
	is := is.New(t)
	b := blame.New(blame.Options{Clock: timer.NewManual(time.Unix(1000, 0)), Log: log.NewNopLogger(), Instance: "g0"})
	fresh := b.Merge("g1", blame.Report{
		Ends: []blame.End{
			{Target: "t", Age: -time.Hour, Cases: []blame.Case{{Prompt: []string{"a", "b"}}}},
			{Target: "t", Age: time.Hour, Cases: []blame.Case{{Prompt: []string{"a", "b"}}}},
			{Target: "t", Cases: []blame.Case{{Prompt: nil}, {Prompt: []string{"b"}}}},
		},
		Survivals: map[string]time.Duration{"a": -time.Hour, "b": time.Hour},
		Running:   map[string]time.Duration{"a": -time.Hour, "b": time.Hour},
		Holds:     []blame.Hold{{}, {Parts: []string{"a"}, Left: 100 * time.Hour}, {Parts: []string{"a"}, Left: -100 * time.Hour}},
	})
	is.True(fresh.Empty())
	is.True(b.FullReport().Empty())

	b.Ended(topo.Target{ID: "t"}, []string{"a", "b"})
	b.Merge("g1", blame.Report{Running: map[string]time.Duration{"a": -time.Hour}})
	is.Equal(len(b.NewReporter().Report(true).Running), 0)
	b.Merge("g1", blame.Report{Running: map[string]time.Duration{"a": time.Hour}})
	is.Equal(len(b.NewReporter().Report(true).Running), 0)
}

package limit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/limit"
	"shallotcourse/internal/script"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

type (
	// fleetGateway is a gateway with its own view of the others.
	fleetGateway struct {
		*limit.TargetLimiter
		limit.Gateway
		list *gatewayList
		// cut gateways exchange no reports, frozen ones do nothing.
		cut, frozen bool
	}

	gatewayList struct {
		version uint64
		others  []limit.Gateway
	}

	// limitFleet is a set of gateways that use a target with a limit.
	limitFleet struct {
		clock    *timer.Manual
		gateways []*fleetGateway
		// drop is the share of reports that are lost.
		drop   float64
		random *rand.Rand
	}
)

func (l *gatewayList) Version() uint64           { return l.version }
func (l *gatewayList) Gateways() []limit.Gateway { return l.others }

func newLimitFleet() *limitFleet {
	return &limitFleet{clock: timer.NewManual(time.Unix(1000, 0)), random: rand.New(rand.NewPCG(1, 2))}
}

func (f *limitFleet) add(name, dc string) *fleetGateway {
	g := &fleetGateway{Gateway: limit.Gateway{Instance: name, DataCentre: dc}, list: &gatewayList{}}
	g.TargetLimiter = limit.NewTargetLimiter(f.clock, g.Gateway, g.list)
	g.SetPublish(func(l []limit.TargetLimit) { f.send(g, l) })
	f.gateways = append(f.gateways, g)
	return g
}

// list gives a gateway the current list of the others.
func (f *limitFleet) list(g *fleetGateway) {
	g.list.version++
	g.list.others = nil
	for _, o := range f.gateways {
		if o != g {
			g.list.others = append(g.list.others, o.Gateway)
		}
	}
}

func (f *limitFleet) listAll() {
	for _, g := range f.gateways {
		f.list(g)
	}
}

func (f *limitFleet) send(from *fleetGateway, limits []limit.TargetLimit) {
	for _, to := range f.gateways {
		if to != from && !from.cut && !to.cut && !to.frozen && f.random.Float64() >= f.drop {
			to.Merge(limits)
		}
	}
}

func (f *limitFleet) report() {
	for _, g := range f.gateways {
		if l := g.Report(false, false); !g.frozen && len(l) > 0 {
			f.send(g, l)
		}
	}
}

func (f *limitFleet) get(t *testing.T, name string) *fleetGateway {
	i := slices.IndexFunc(f.gateways, func(g *fleetGateway) bool { return g.Instance == name })
	if i < 0 {
		t.Fatalf("no gateway %q", name)
	}
	return f.gateways[i]
}

// Guards against requests beyond a limit that was named (LIMIT): one that changes,
// ends or comes from an earlier incarnation, an older answer that arrives late, a
// target that takes none; and against callers that wait for what cannot come. Also
// against requests to a target that has said that it leaves (DRAIN), and against one
// that is held back because an earlier incarnation said so; and against requests
// during a pause that a target has asked this gateway for, and other gateways that
// keep to it (BUDGET).
func TestTargetLimiter(t *testing.T) {
	script.Run(t, "testdata/target/*.txtar", func(t *testing.T) func(script.Line) []string {
		f := newLimitFleet()
		target := topo.Target{ID: "t", Started: 1, DataCentre: "x"}
		return func(l script.Line) []string {
			switch l.Name {
			case "gateways":
				for i := range l.Int("n") {
					f.add(fmt.Sprintf("g%d", i), []string{"x", "y"}[i%2])
				}
				f.listAll()
				f.clock.Advance(10 * time.Second)
			case "named":
				var rate float64
				if _, err := fmt.Sscan(l.Text("rate"), &rate); err != nil {
					t.Fatal(err)
				}
				f.get(t, l.Text("at")).Named(target, rate)
			case "not-named":
				f.get(t, l.Text("at")).NotNamed(target)
			case "late":
				f.get(t, l.Text("at")).Merge([]limit.TargetLimit{{Target: "t", Started: 1, Ended: l.Bool("ended"), PerSecond: 5, Age: l.Duration("age")}})
			case "restart":
				target.Started++
			case "list-lags":
				target.Started--
			case "leaves":
				f.get(t, l.Text("at")).Leaves(target)
			case "pauses":
				f.get(t, l.Text("at")).Pauses(target, l.Duration("for"))
			case "paused":
				var out []string
				for _, g := range f.gateways {
					left := g.Standing(target).PausedFor
					if took := g.Take(target); took != (left == 0) {
						t.Fatalf("paused for %s, taken %v", left, took)
					}
					out = append(out, left.String())
				}
				return []string{strings.Join(out, " ")}
			case "late-leave":
				f.get(t, l.Text("at")).Merge([]limit.TargetLimit{{Target: "t", Started: int64(l.Int("started")), PerSecond: -1, Leaving: true, Age: time.Second}})
			case "list":
				for _, g := range f.gateways {
					g.NoteList(topo.NewFleet(topo.Version{Number: 1}, []topo.Target{target}))
				}
			case "unlisted":
				for range l.Duration("for") / time.Minute {
					f.clock.Advance(time.Minute)
					for _, g := range f.gateways {
						g.NoteList(topo.Fleet{})
					}
				}
			case "link":
				from, to := f.get(t, l.Text("from")), f.get(t, l.Text("to"))
				to.cut = false
				to.Merge(from.Report(true, true))
			case "leaving":
				var out []string
				for _, g := range f.gateways {
					if g.Standing(target).Leaving {
						out = append(out, g.Instance)
					}
				}
				return []string{fmt.Sprintf("known to %v, %d kept", out, len(f.gateways[0].Leaving()))}
			case "wait":
				for range l.Duration("for") / (100 * time.Millisecond) {
					f.clock.Advance(100 * time.Millisecond)
					f.report()
				}
			case "cut":
				f.get(t, l.Text("at")).cut = true
			case "send":
				sent := 0
				for range l.Duration("for") / (100 * time.Millisecond) {
					for _, g := range f.gateways {
						if g.Take(target) {
							sent++
						}
					}
					f.clock.Advance(100 * time.Millisecond)
				}
				return []string{fmt.Sprint(sent)}
			case "queue":
				g, out := f.get(t, l.Text("at")), 0
				for range 10 {
					if _, ok := g.Wait("s", []topo.Target{target}, f.clock.Now().Add(l.Duration("for"))); ok {
						out++
					}
				}
				return []string{fmt.Sprint(out)}
			default:
				t.Fatalf("unknown input %q", l.Name)
			}
			return nil
		}
	})
}

// Guards against a sum over gateways beyond the limit while gateways come, go,
// freeze, lose reports or cannot hear one another, each with far more requests than
// its share.
func TestTargetLimiterTogether(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 2.9, 20, 100} {
		for _, gateways := range []int{1, 5, 24, 100} {
			t.Run(fmt.Sprintf("%d gateways, limit %g", gateways, rate), func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet()
				f.drop = 0.2
				target := topo.Target{ID: "t", Started: 1, DataCentre: "x"}
				for i := range gateways {
					f.add(fmt.Sprintf("g%03d", i), []string{"x", "y", "z"}[i%3])
				}
				f.listAll()
				f.clock.Advance(10 * time.Second)
				f.gateways[0].Named(target, rate)
				var sent []time.Time
				for tick := range 600 {
					f.change(tick)
					for _, g := range f.gateways {
						for range 3 {
							if !g.frozen && g.Take(target) {
								sent = append(sent, f.clock.Now())
								g.Named(target, rate)
							}
						}
					}
					f.clock.Advance(50 * time.Millisecond)
					if tick%4 == 3 {
						f.report()
					}
				}
				most := 0
				for i, first := 0, 0; i < len(sent); i++ {
					for sent[i].Sub(sent[first]) > 4*time.Second {
						first++
					}
					most = max(most, i-first+1)
				}
				t.Logf("%d requests in 30 s, at most %d in 4 s", len(sent), most)
				is.True(float64(most) <= 1.5*rate*4+5)
				is.True(float64(len(sent)) >= 0.4*rate*30-2) // the limit is used
			})
		}
	}
}

// change lets gateways come, go and freeze in turn.
func (f *limitFleet) change(tick int) {
	switch g := f.gateways[tick%len(f.gateways)]; {
	case tick == 100:
		f.list(f.add("new1", "x")) // the others do not know of it yet
	case tick == 160:
		f.listAll()
	case tick == 200:
		g.cut = true
	case tick == 260:
		g.frozen = true
	case tick == 340:
		for _, g := range f.gateways {
			g.frozen, g.cut = false, false
		}
	case tick == 400 && len(f.gateways) > 2:
		f.gateways = slices.Delete(f.gateways, 1, 2)
	case tick == 430:
		f.listAll()
	}
}

// Guards against limits that grow without bound with made-up targets, and against
// impossible values in reports of other gateways.
func TestTargetLimiterBounded(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet()
	g := f.add("g0", "x")
	for i := range 3000 {
		f.clock.Advance(time.Millisecond)
		g.Named(topo.Target{ID: fmt.Sprint(i), Started: 1}, 1)
	}
	is.Equal(len(g.Limits()), 1024)
	f.clock.Advance(2 * time.Minute)
	is.Equal(len(g.Limits()), 0)
	is.Equal(len(g.Merge([]limit.TargetLimit{
		{PerSecond: 1}, {Target: "a", PerSecond: -1}, {Target: "a", PerSecond: 1e300}, {Target: "a", PerSecond: 1, Age: -time.Second},
		{Target: "a", PerSecond: 1, Age: time.Hour}, {Target: "a", Ended: true},
		{Leaving: true}, {Target: "a", Leaving: true, Age: -time.Second},
	})), 0)
	is.Equal(len(g.Limits()), 0)
	is.Equal(len(g.Leaving()), 0)
	for i := range 3000 {
		g.Leaves(topo.Target{ID: fmt.Sprint(i), Started: 1})
		f.clock.Advance(time.Millisecond)
	}
	is.Equal(len(g.Leaving()), 1024)
	is.True(g.Standing(topo.Target{ID: "2999", Started: 1}).Leaving) // the newest are kept
	for i := range 3000 {
		g.Pauses(topo.Target{ID: fmt.Sprint(i), Started: 1}, time.Duration(i+1)*time.Second)
	}
	is.Equal(len(g.Paused()), 1024)
	is.Equal(g.Paused()[1023].Left, 10*time.Minute) // bounded
	f.clock.Advance(10 * time.Minute)
	is.Equal(len(g.Paused()), 0)
}

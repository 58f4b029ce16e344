package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"shallotcourse/internal/script"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

// Runs the cases in testdata; each describes the failure that it guards against.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txtar", func(t *testing.T) func(script.Line) []string {
		w := &routeScript{random: rand.New(rand.NewPCG(1, 2))}
		return func(l script.Line) []string {
			if l.Name == "target" {
				w.targets = append(w.targets, target(l))
				return nil
			}
			return w.apply(l)
		}
	})
}

// routeScript is the state of one case in testdata.
type routeScript struct {
	targets []Target
	random  *rand.Rand
}

func target(l script.Line) Target {
	from, to, _ := strings.Cut(l.Text("layers"), "-")
	layers := resrc.LayerRange{From: atoi(from), To: atoi(to)}
	t := Target{Name: l.Text("name"), OwnAtReport: l.Int("own")}
	t.Spec = resrc.Target{DataCentre: l.Text("dc"), Region: l.Text("region"), Draining: l.Bool("draining")}
	if a := l.Text("adapter"); a != "" {
		t.Spec.Adapters = []string{a}
	}
	t.Load = wire.Load{
		Target: t.Name, Open: l.Int("open"), Limit: 8, QueueDelay: l.Duration("queue"), StepTime: l.Duration("step"),
		Ready: l.Text("ready") != "false", Leaving: l.Bool("leaving"), Version: "v1", Layers: layers,
	}
	if n := l.Int("limit"); n > 0 {
		t.Load.Limit = n
	}
	if v := l.Text("version"); v != "" {
		t.Load.Version = v
	}
	return t
}

func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

func list(s string) []string { return strings.FieldsFunc(s, func(r rune) bool { return r == ',' }) }

func set(names []string) map[string]bool {
	m := map[string]bool{}
	for _, n := range names {
		m[n] = true
	}
	return m
}

func (w *routeScript) apply(l script.Line) []string {
	v := NewView(w.targets)
	q := Query{Version: "v1", Adapter: l.Text("adapter"), Layers: l.Int("layers"), Exclude: set(list(l.Text("exclude")))}
	q.DataCentre, q.Region = l.Text("dc"), l.Text("region")
	own, n, _ := strings.Cut(l.Text("own"), ":")
	q.Own = func(target string) int {
		if target == own {
			return atoi(n)
		}
		return 0
	}
	if l.Name == "room" {
		n, ok := FreeCapacity(v, q.Version, q.Layers, q.Own)
		if !ok {
			return []string{"none"}
		}
		return []string{strconv.Itoa(n)}
	}
	var p Policy = Cheapest{}
	switch l.Text("policy") {
	case "roundrobin":
		p = &RoundRobin{}
	case "leastloaded":
		p = LeastLoaded{}
	}
	var old []wire.Stage
	for _, name := range list(l.Text("chain")) {
		t, _ := v.Get(name)
		old = append(old, t.Stage())
	}
	var out []string
	for range 200 {
		chain, ok := p.Choose(v, q, w.random)
		if l.Name == "replace" {
			chain, ok = Replace(v, q, old, set(list(l.Text("dead"))), w.random)
		}
		out = append(out, render(chain, ok))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func render(chain []wire.Stage, ok bool) string {
	if !ok {
		return "none"
	}
	var names []string
	for _, s := range chain {
		names = append(names, s.Target)
	}
	return strings.Join(names, " ")
}

// Guards against a chain with a gap, or with a wrong or excluded stage, against one
// whose cost exceeds the lowest by more than Tolerance, and against a chain that is
// not found, in random views.
func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 4
		var targets []Target
		for i := range rapid.IntRange(0, 12).Draw(t, "targets") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, layers).Draw(t, "to")
			targets = append(targets, Target{
				Name: fmt.Sprint("t", i),
				Spec: resrc.Target{DataCentre: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "dc"), Region: "r"},
				Load: wire.Load{
					Ready: rapid.IntRange(0, 9).Draw(t, "ready") > 0, Version: "v1", Limit: 4,
					Layers: resrc.LayerRange{From: from, To: to}, Open: rapid.IntRange(0, 6).Draw(t, "open"),
				},
			})
		}
		v := NewView(targets)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		q := Query{Version: "v1", Layers: layers, DataCentre: "x", Region: "r"}
		chain, ok := Choose(v, q, random)
		best := cheapestCost(v, q)
		if !ok {
			if best < unreachable {
				t.Fatal("no chain found, although one exists")
			}
			return
		}
		next := 0
		for _, s := range chain {
			target, _ := v.Get(s.Target)
			if s.Layers.From != next || !target.Admits() || target.Load.Layers != s.Layers {
				t.Fatalf("stage %v leaves a gap, or its target does not admit work or holds other layers", s)
			}
			next = s.Layers.To
		}
		if c := chainCost(v, q, chain); next != layers || float64(c) > float64(best)*(1+Tolerance)+1 {
			t.Fatalf("cost %v, lowest cost %v, up to layer %d", c, best, next)
		}
		failed := map[string]bool{rapid.SampledFrom(chain).Draw(t, "dead").Target: true}
		replaced, ok := Replace(v, q, chain, failed, random)
		for _, s := range chain {
			if kept := slices.Contains(replaced, s); ok && kept == failed[s.Target] {
				t.Fatalf("stage %v: kept %v", s, kept)
			}
		}
	})
}

// cheapestCost returns the lowest cost of all chains, found by exhaustive search.
func cheapestCost(v View, q Query) (best time.Duration) {
	best = unreachable
	var extend func(chain []wire.Stage, layer int)
	extend = func(chain []wire.Stage, layer int) {
		if layer == q.Layers {
			best = min(best, chainCost(v, q, chain))
			return
		}
		for _, t := range v.Targets() {
			if usable(t, q) && t.Load.Layers.From == layer {
				extend(append(chain[:len(chain):len(chain)], t.Stage()), t.Load.Layers.To)
			}
		}
	}
	extend(nil, 0)
	return best
}

// chainCost returns the cost of a chain without own work at its targets.
func chainCost(v View, q Query, chain []wire.Stage) time.Duration {
	sum := time.Duration(0)
	at := func(i int) location {
		t, _ := v.Get(chain[i%len(chain)].Target)
		return location{t.Spec.DataCentre, t.Spec.Region}
	}
	for i, s := range chain {
		t, _ := v.Get(s.Target)
		sum += t.stepDelay(0) + hopDelay(at(i), at(i+1))
	}
	return sum + hopDelay(location{q.DataCentre, q.Region}, at(0))
}

// Guards against an owner or a subset that changes although its members stay, and
// against keys that are distributed unevenly.
func TestRendezvous(t *testing.T) {
	is := is.New(t)
	var members []string
	for i := range 20 {
		members = append(members, fmt.Sprint("entry-", i))
	}
	counts := map[string]int{}
	for i := range 2000 {
		key := fmt.Sprint("account-", i)
		owner := Owner(key, members)
		counts[owner]++
		fewer := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == "entry-7" })
		if owner != "entry-7" {
			is.Equal(Owner(key, fewer), owner)
		}
		before, after := Subset(key, members, 5), Subset(key, fewer, 5)
		same := 0
		for _, m := range after {
			if slices.Contains(before, m) {
				same++
			}
		}
		is.True(same >= 4)
	}
	for _, m := range members {
		is.True(counts[m] > 50 && counts[m] < 150) // about 100 each
	}
	is.Equal(Owner("x", nil), "")
}

// Guards against prompts with the same prefix that go to different targets although
// all are idle, and against a prefix that attracts work to a busy target.
func TestAffinity(t *testing.T) {
	is := is.New(t)
	var targets []Target
	for i := range 8 {
		targets = append(targets, Target{Name: fmt.Sprint("t", i), Load: wire.Load{
			Ready: true, Version: "v1", Limit: 8, StepTime: defaultStepTime, Layers: resrc.LayerRange{From: 0, To: 4},
		}})
	}
	random := rand.New(rand.NewPCG(1, 1))
	q := Query{Version: "v1", Layers: 4, Prefix: PrefixHash(make([]uint32, 64), 64)}
	first, _ := Choose(NewView(targets), q, random)
	for range 50 {
		chain, _ := Choose(NewView(targets), q, random)
		is.Equal(chain, first)
	}
	q.Own = func(target string) int {
		if target == first[0].Target {
			return 8
		}
		return 0
	}
	chain, _ := Choose(NewView(targets), q, random)
	is.True(chain[0].Target != first[0].Target)
	is.Equal(PrefixHash([]uint32{1}, 64), uint64(0))
}

package place_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotcourse/internal/place"
	"shallotcourse/internal/script"
	"shallotcourse/internal/topo"
)

// small is a model of 20 layers for the test scripts; large has the size of a
// deployed model and is used by the property tests.
var (
	small = &topo.Model{
		Layers: 20, LayerMegabytes: 100, TokenMegabytes: 0.01, Step: time.Millisecond, Stride: 1,
		UsualPrompt: 10, UsualAnswer: 10,
		Cards: map[string]topo.Card{"Big": {Megabytes: 2000, Pace: 1, ReadPace: 1}, "Slow": {Megabytes: 1000, Pace: 4, ReadPace: 4}, "Tiny": {Megabytes: 300, Pace: 4, ReadPace: 4}},
	}
	large = &topo.Model{
		Layers: 80, LayerMegabytes: 1750, TokenMegabytes: 0.011475, Step: 1020 * time.Microsecond,
		StepPerRequest: 7140 * time.Nanosecond, StepPerThousand: 9560 * time.Nanosecond, Stride: 3, Chunk: 512,
		ReadPerSecond: 105000, UsualPrompt: 774, UsualAnswer: 203, Load: 14 * time.Second, LoadsAtOnce: 5,
		Cards: map[string]topo.Card{
			"A": {Megabytes: 72000, Pace: 2.4, ReadPace: 3.2}, "B": {Megabytes: 43200, Pace: 5.6, ReadPace: 2.7},
			"C": {Megabytes: 21600, Pace: 16, ReadPace: 8.2},
		},
	}
)

// Guards against holes that stay open, against moving targets that are the only
// holders of their layers, and against taking memory that requests need.
func TestPlan(t *testing.T) {
	script.Run(t, "testdata/*.txtar", func(t *testing.T) func(script.Line) []string {
		var targets []place.Target
		return func(l script.Line) []string {
			switch l.Name {
			case "target":
				target := place.Target{
					Target: topo.Target{ID: l.Text("id"), DataCentre: l.Text("dc"), Card: l.Text("card")},
					Busy:   l.Bool("busy"), UsedMegabytes: float64(l.Int("used")),
				}
				if h := l.Ints("held"); h != nil {
					target.Held = topo.Layers{From: h[0], To: h[1]}
				}
				target.Next = target.Held
				if n := l.Ints("next"); n != nil {
					target.Next = topo.Layers{From: n[0], To: n[1]}
				}
				targets = append(targets, target)
				return nil
			case "plan":
				var out []string
				for _, o := range place.Plan(small, targets, false) {
					out = append(out, fmt.Sprintf("%s %s=%d-%d", o.Why, o.Target.ID, o.Layers.From, o.Layers.To))
				}
				return out
			case "bound":
				var out []string
				for _, b := range place.Bounds(small, targets) {
					out = append(out, fmt.Sprintf("%s %.0f of %.0f at %d-%d", strings.Join(b.DataCentres, "+"), b.Requests, b.Best, b.Binding.From, b.Binding.To))
				}
				return out
			}
			t.Fatalf("unknown input %q", l.Name)
			return nil
		}
	})
}

// drawTargets draws the targets of one to three data centres.
func drawTargets(t *rapid.T) []place.Target {
	var out []place.Target
	for dc := range rapid.IntRange(1, 3).Draw(t, "data centres") {
		for _, card := range []string{"A", "B", "C"} {
			for i := range rapid.IntRange(0, 6).Draw(t, "cards") {
				out = append(out, place.Target{Target: topo.Target{
					ID: fmt.Sprintf("%s-%d-%d", card, dc, i), DataCentre: fmt.Sprintf("dc%d", dc), Card: card,
				}})
			}
		}
	}
	return out
}

// applyOrders applies orders and describes the first one that its target cannot
// hold; it returns "" if there is none.
func applyOrders(targets []place.Target, orders []place.Order) string {
	for _, o := range orders {
		i := slices.IndexFunc(targets, func(t place.Target) bool { return t.ID == o.Target.ID })
		if float64(o.Layers.Len())*large.LayerMegabytes > large.Cards[targets[i].Card].Megabytes {
			return fmt.Sprintf("%s is ordered to hold %d layers", o.Target.ID, o.Layers.Len())
		}
		if o.Layers.From < 0 || o.Layers.To > large.Layers || o.Layers.Len() == 0 {
			return fmt.Sprintf("%s is ordered to hold %d to %d", o.Target.ID, o.Layers.From, o.Layers.To)
		}
		targets[i].Held, targets[i].Next = o.Layers, o.Layers
	}
	return ""
}

func coveredLayers(targets []place.Target) int {
	held := map[int]bool{}
	for _, t := range targets {
		for l := t.Held.From; l < t.Held.To; l++ {
			held[l] = true
		}
	}
	return len(held)
}

// Guards against orders beyond a target's memory, against orders that open a
// hole, and against plans that never converge, while targets are lost and come
// back empty in any order.
func TestPlansKeepWhatIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		memory := 0.0
		for _, target := range targets {
			memory += large.Cards[target.Card].Megabytes
		}
		for step := range 4 {
			for round := 0; ; round++ {
				before := coveredLayers(targets)
				orders := place.Plan(large, targets, false)
				if len(orders) == 0 {
					break
				}
				if problem := applyOrders(targets, orders); problem != "" {
					t.Fatal(problem)
				}
				if after := coveredLayers(targets); after < before {
					t.Fatalf("step %d: %d layers were held, %d are after %v", step, before, after, orders)
				}
				if round > 40 {
					t.Fatalf("step %d: orders do not end after %d rounds, last orders %v", step, round, orders)
				}
			}
			if memory >= 1.6*float64(large.Layers)*large.LayerMegabytes && coveredLayers(targets) < large.Layers {
				t.Fatalf("step %d: memory for %.1f copies, but %d of %d layers are held", step,
					memory/float64(large.Layers)/large.LayerMegabytes, coveredLayers(targets), large.Layers)
			}
			if len(targets) == 0 {
				return
			}
			// One is lost and comes back empty.
			i := rapid.IntRange(0, len(targets)-1).Draw(t, "lost")
			targets[i].Held, targets[i].Next = topo.Layers{}, topo.Layers{}
		}
	})
}

// Guards against plans that depend on the order of the input targets.
func TestPlanIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		first := place.Plan(large, slices.Clone(targets), false)
		again := place.Plan(large, rapid.Permutation(targets).Draw(t, "order"), false)
		if !slices.EqualFunc(first, again, func(a, b place.Order) bool {
			return a.Target.ID == b.Target.ID && a.Layers == b.Layers && a.Why == b.Why
		}) {
			t.Fatalf("%v\n%v", first, again)
		}
	})
}

// Guards against a first copy of the model that is complete too late: all
// targets start empty at once, and only LoadsAtOnce loads run at full speed, so
// the orders of one copy must come first.
func TestFirstCopyIsInTime(t *testing.T) {
	const (
		// recovery is the longest allowed time from the start to a complete copy,
		// of which coldStart passes until the planner holds its lease and the
		// number of targets has settled.
		recovery  = 12 * time.Second
		coldStart = 3 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		orders := place.Plan(large, targets, false)
		ends := make([]time.Duration, large.LoadsAtOnce)
		held := map[int]bool{}
		for _, o := range orders {
			slices.Sort(ends)
			ends[0] += large.Load * time.Duration(o.Layers.Len()) / time.Duration(large.Layers)
			if ends[0] > recovery-coldStart {
				break
			}
			for l := o.Layers.From; l < o.Layers.To; l++ {
				held[l] = true
			}
		}
		if problem := applyOrders(targets, orders); problem != "" {
			t.Fatal(problem)
		}
		if coveredLayers(targets) == large.Layers && len(held) < large.Layers {
			t.Fatalf("only %d layers are held %s after the start; first orders: %v", len(held), recovery, orders[:min(len(orders), 12)])
		}
	})
}

// Guards against a first plan of a large deployment that takes longer than the
// planner waits for targets to start.
func TestPlanOfManyTargets(t *testing.T) {
	const (
		settleTime = 6 * time.Second
		targets    = 3000
	)
	var all []place.Target
	for i := range targets {
		all = append(all, place.Target{Target: topo.Target{
			ID: fmt.Sprintf("t%04d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Card: []string{"A", "B", "B", "C", "C", "C", "C"}[i%7],
		}})
	}
	start := time.Now()
	orders := place.Plan(large, all, false)
	if took := time.Since(start); took > settleTime {
		t.Fatalf("the plan took %s", took)
	}
	if len(orders) != targets {
		t.Fatalf("%d orders for %d empty targets", len(orders), targets)
	}
}

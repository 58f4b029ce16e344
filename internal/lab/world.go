package lab

import (
	"fmt"
	"time"

	"shallotcourse/internal/limit"
	"shallotcourse/internal/route"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const (
	version = "v1"
	layers  = 12
	ranges  = 3
	entries = 3
	// regionDelay is the one-way delay between data centres of a region.
	regionDelay = 500 * time.Microsecond
	localDelay  = 50 * time.Microsecond
	// slowLink is the delay of targets on a slow link.
	slowLink        = 5 * time.Millisecond
	firstTokenBound = 950 * time.Millisecond
	betweenBound    = 45 * time.Millisecond
	meanPrompt      = 200
	meanAnswer      = 60
)

type (
	// Settings are those of the operator.
	Settings struct {
		// Concurrency of each of the three entries at the start.
		Concurrency int
		// Sessions bounds those of an agent relative to the engine's batch. In
		// a chain of three, one session in three is at a stage.
		Sessions float64
	}

	// plan is one run of the emulator.
	plan struct {
		name   string
		policy func() route.Policy
		// refuse is early refusal; without it everything is queued.
		refuse bool
		// retry lets refused and tired callers come back.
		retry bool
		// patience is the wait for the first token after which a caller
		// gives up.
		patience time.Duration
		seed     uint64
		settings Settings
	}

	world struct {
		*sim
		plan     plan
		targets  []*target
		byName   map[string]*target
		entries  []*entryState
		accounts []*accountState
		result   tally
	}

	// entryState holds the decision state of one entry process.
	entryState struct {
		world   *world
		gate    *limit.Gate
		policy  route.Policy
		view    route.View
		own     map[string]int
		waiting map[uint64]*session
		place   resrc.Target
	}

	accountState struct {
		name   string
		weight int
		// wanted counts requests of its callers, done those answered.
		wanted, done int
	}

	// tally collects what happened.
	tally struct {
		first, gaps, hints                      []time.Duration
		tries, done, refused, abandoned, tokens int
		work, wasted                            float64
		// byTenth counts tokens at callers by tenth of a second.
		byTenth []int
	}
)

// kinds lists the accelerators. A full batch takes about 6 ms on all of them,
// but the sizes of the batches differ.
var kinds = []speed{
	{"a6", 2500 * time.Microsecond, 240 * time.Microsecond, 16},
	{"a5", 2500 * time.Microsecond, 320 * time.Microsecond, 12},
	{"a4", 2500 * time.Microsecond, 480 * time.Microsecond, 8},
	{"a3", 2500 * time.Microsecond, 640 * time.Microsecond, 6},
	{"a2", 2500 * time.Microsecond, 960 * time.Microsecond, 4},
	{"a1", 2500 * time.Microsecond, 1920 * time.Microsecond, 2},
}

func newWorld(p plan) *world {
	w := &world{sim: newSim(p.seed), plan: p, byName: map[string]*target{}}
	// One target of each kind holds each range, in three data centres; one in
	// five is behind a slow link.
	for i := range len(kinds) * ranges {
		r := i % ranges
		t := &target{sim: w.sim, name: fmt.Sprintf("t%02d", i), kind: kinds[(i/ranges)%len(kinds)], sessions: p.settings.Sessions}
		t.limit = min(limitStart, t.bound())
		t.spec = resrc.Target{
			DataCentre: fmt.Sprint("dc", (i/ranges+r)%3), Region: "r", Version: version, Accelerator: t.kind.name,
			Layers: resrc.LayerRange{From: r * layers / ranges, To: (r + 1) * layers / ranges},
		}
		if i%5 == 4 {
			t.spec.DataCentre = "dc-slow"
		}
		w.targets, w.byName[t.name] = append(w.targets, t), t
	}
	bounds := limit.Bounds{Queue: 2000, Start: p.settings.Concurrency, Min: min(16, p.settings.Concurrency), Max: 4 * p.settings.Concurrency, Target: firstTokenBound}
	if !p.refuse {
		bounds.Queue = 1 << 20
	}
	for i := range entries {
		e := &entryState{world: w, gate: limit.NewGate(bounds), policy: p.policy(), own: map[string]int{}, waiting: map[uint64]*session{}}
		e.place = resrc.Target{DataCentre: fmt.Sprint("dc", i), Region: "r"}
		var known []route.Target
		for _, t := range w.targets {
			known = append(known, t.known())
		}
		e.view = route.NewView(known)
		w.entries = append(w.entries, e)
		w.every(100*time.Millisecond, func() { e.serve(e.gate.Adapt(w.now)) })
	}
	for i, t := range w.targets {
		w.every(adaptPeriod, t.adapt)
		w.after(time.Duration(i)*reportPeriod/time.Duration(len(w.targets)), func() { w.every(reportPeriod, func() { w.report(t) }) })
	}
	for i := range 10 {
		// Two of ten accounts are large.
		a := &accountState{name: fmt.Sprintf("account-%d", i), weight: 1}
		if i < 2 {
			a.weight = 4
		}
		w.accounts = append(w.accounts, a)
	}
	return w
}

// report sends the load of a target to all entries, where it arrives later.
func (w *world) report(t *target) {
	l := t.report()
	w.after(regionDelay, func() {
		for _, e := range w.entries {
			if t.down {
				e.view = e.view.WithoutLoad(t.name)
				continue
			}
			e.view = e.view.WithLoad(l, e.own[t.name])
		}
	})
}

func (e *entryState) choose(exclude map[string]bool) ([]wire.Stage, bool) {
	return e.policy.Choose(e.view, route.Query{
		Version: version, Layers: layers, DataCentre: e.place.DataCentre, Region: e.place.Region,
		Exclude: exclude, Own: func(name string) int { return e.own[name] },
	}, e.world.random)
}

func (e *entryState) count(chain []wire.Stage, n int) {
	for _, st := range chain {
		e.own[st.Target] += n
	}
}

// serve dispatches waiting requests.
func (e *entryState) serve(ids []uint64) {
	for _, id := range ids {
		s := e.waiting[id]
		delete(e.waiting, id)
		s.dispatch(nil)
	}
}

// caller returns a new caller of a random account: half of all callers belong
// to the two large accounts.
func (w *world) caller() *caller {
	a := w.accounts[2+w.demand.IntN(8)]
	if w.demand.IntN(2) == 0 {
		a = w.accounts[w.demand.IntN(2)]
	}
	a.wanted++
	return &caller{
		account: a, world: w,
		prompt: meanPrompt/2 + w.demand.IntN(meanPrompt), answer: meanAnswer/2 + w.demand.IntN(meanAnswer),
	}
}

// bound returns the requests per second that the engines allow: the least sum
// of rates at full batches over the ranges of layers.
func (w *world) bound() float64 {
	var sums [ranges]float64
	for _, t := range w.targets {
		if !t.down {
			sums[t.spec.Layers.From*ranges/layers] += t.rate(meanPrompt, meanAnswer)
		}
	}
	return min(sums[0], sums[1], sums[2])
}

func hopDelay(a, b *target) time.Duration {
	switch {
	case a.spec.DataCentre == b.spec.DataCentre:
		return localDelay
	case a.spec.DataCentre == "dc-slow" || b.spec.DataCentre == "dc-slow":
		return slowLink
	}
	return regionDelay
}

func (r *tally) emit(at time.Duration) {
	i := int(at / (100 * time.Millisecond))
	for len(r.byTenth) <= i {
		r.byTenth = append(r.byTenth, 0)
	}
	r.byTenth[i]++
	r.tokens++
}

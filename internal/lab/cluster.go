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
	// ranges is the number of parts into which the layers are split; each target
	// has one.
	ranges  = 3
	entries = 3
	// regionDelay is the one-way latency between data centres of a region.
	regionDelay = 500 * time.Microsecond
	localDelay  = 50 * time.Microsecond
	// slowLinkDelay is the one-way latency of targets behind a slow link.
	slowLinkDelay = 5 * time.Millisecond
	// firstTokenBound and tokenGapBound are the latency objectives at the 95th
	// percentile.
	firstTokenBound = 950 * time.Millisecond
	tokenGapBound   = 45 * time.Millisecond
	// meanPrompt and meanAnswer are lengths in tokens.
	meanPrompt = 200
	meanAnswer = 60
)

type (
	// Settings are the operator's settings that the emulator varies.
	Settings struct {
		// Concurrency is the initial concurrency limit of each of the three
		// entries.
		Concurrency int
		// Sessions is the maximum number of sessions of an agent, as a multiple
		// of the engine's batch size. In a chain of three stages, one session in
		// three is at a given stage at a time.
		Sessions float64
	}

	// scenario configures one run of the emulator.
	scenario struct {
		name      string
		newPolicy func() route.Policy
		// refuseEarly refuses requests that would wait too long; without it all
		// are queued.
		refuseEarly bool
		// retry makes callers retry requests that were refused or that timed
		// out at firstTokenTimeout.
		retry bool
		// firstTokenTimeout is the time after which a caller without a token
		// cancels its request.
		firstTokenTimeout time.Duration
		seed              uint64
		settings          Settings
	}

	// cluster emulates entries, targets and the accounts of their callers.
	cluster struct {
		*sim
		scenario scenario
		targets  []*target
		byName   map[string]*target
		entries  []*entryState
		accounts []*accountState
		result   counters
	}

	// entryState is the routing and admission state of one entry. ownOpen
	// counts its open sessions by target.
	entryState struct {
		cluster  *cluster
		gate     *limit.Gate
		policy   route.Policy
		view     route.View
		ownOpen  map[string]int
		waiting  map[uint64]*session
		location resrc.Target
	}

	// accountState is a client account.
	accountState struct {
		name   string
		weight int
		// requested counts the callers, answered those that have their answer.
		requested, answered int
	}

	// counters are the results of a run. work and wasted are engine work in
	// decode steps.
	counters struct {
		first, gaps, hints                         []time.Duration
		attempts, done, refused, abandoned, tokens int
		work, wasted                               float64
		// byTenth counts the tokens received by callers by tenth of a second.
		byTenth []int
	}
)

// accelerators lists the emulated accelerator kinds. A full batch takes about 6 ms
// on all of them, but the batch sizes differ.
var accelerators = []accelerator{
	{"a6", 2500 * time.Microsecond, 240 * time.Microsecond, 16},
	{"a5", 2500 * time.Microsecond, 320 * time.Microsecond, 12},
	{"a4", 2500 * time.Microsecond, 480 * time.Microsecond, 8},
	{"a3", 2500 * time.Microsecond, 640 * time.Microsecond, 6},
	{"a2", 2500 * time.Microsecond, 960 * time.Microsecond, 4},
	{"a1", 2500 * time.Microsecond, 1920 * time.Microsecond, 2},
}

func newCluster(p scenario) *cluster {
	w := &cluster{sim: newSim(p.seed), scenario: p, byName: map[string]*target{}}
	// For each accelerator kind and range of layers there is one target. The
	// targets are spread over three data centres; one in five is behind a slow
	// link.
	for i := range len(accelerators) * ranges {
		r := i % ranges
		t := &target{sim: w.sim, name: fmt.Sprintf("t%02d", i), accelerator: accelerators[(i/ranges)%len(accelerators)], sessions: p.settings.Sessions}
		t.limit = min(limitStart, t.maxSessions())
		t.spec = resrc.Target{
			DataCentre: fmt.Sprint("dc", (i/ranges+r)%3), Region: "r", Version: version, Accelerator: t.accelerator.name,
			Layers: resrc.LayerRange{From: r * layers / ranges, To: (r + 1) * layers / ranges},
		}
		if i%5 == 4 {
			t.spec.DataCentre = "dc-slow"
		}
		w.targets, w.byName[t.name] = append(w.targets, t), t
	}
	bounds := limit.Bounds{Queue: 2000, Start: p.settings.Concurrency, Min: min(16, p.settings.Concurrency), Max: 4 * p.settings.Concurrency, Target: firstTokenBound}
	if !p.refuseEarly {
		bounds.Queue = 1 << 20
	}
	for i := range entries {
		e := &entryState{cluster: w, gate: limit.NewGate(bounds), policy: p.newPolicy(), ownOpen: map[string]int{}, waiting: map[uint64]*session{}}
		e.location = resrc.Target{DataCentre: fmt.Sprint("dc", i), Region: "r"}
		var targets []route.Target
		for _, t := range w.targets {
			targets = append(targets, t.routeTarget())
		}
		e.view = route.NewView(targets)
		w.entries = append(w.entries, e)
		w.every(100*time.Millisecond, func() { e.dispatchWaiting(e.gate.Adapt(w.now)) })
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

// report sends the load report of a target to all entries, where it arrives after
// regionDelay.
func (w *cluster) report(t *target) {
	l := t.report()
	w.after(regionDelay, func() {
		for _, e := range w.entries {
			if t.down {
				e.view = e.view.WithoutLoad(t.name)
				continue
			}
			e.view = e.view.WithLoad(l, e.ownOpen[t.name])
		}
	})
}

func (e *entryState) chooseChain(exclude map[string]bool) ([]wire.Stage, bool) {
	return e.policy.Choose(e.view, route.Query{
		Version: version, Layers: layers, DataCentre: e.location.DataCentre, Region: e.location.Region,
		Exclude: exclude, Own: func(name string) int { return e.ownOpen[name] },
	}, e.cluster.random)
}

// addOpen adds n to the entry's open sessions at each target of the chain.
func (e *entryState) addOpen(chain []wire.Stage, n int) {
	for _, st := range chain {
		e.ownOpen[st.Target] += n
	}
}

// dispatchWaiting dispatches the waiting requests with the given tickets.
func (e *entryState) dispatchWaiting(ids []uint64) {
	for _, id := range ids {
		s := e.waiting[id]
		delete(e.waiting, id)
		s.dispatch(nil)
	}
}

// newCaller returns a caller of a random account. Half of all callers belong to
// the two large accounts.
func (w *cluster) newCaller() *caller {
	a := w.accounts[2+w.demandRandom.IntN(8)]
	if w.demandRandom.IntN(2) == 0 {
		a = w.accounts[w.demandRandom.IntN(2)]
	}
	a.requested++
	return &caller{
		account: a, cluster: w,
		prompt: meanPrompt/2 + w.demandRandom.IntN(meanPrompt), answer: meanAnswer/2 + w.demandRandom.IntN(meanAnswer),
	}
}

// maxRequestRate returns the requests per second that the engines can serve with
// full batches: the lowest total rate of any range of layers.
func (w *cluster) maxRequestRate() float64 {
	var sums [ranges]float64
	for _, t := range w.targets {
		if !t.down {
			sums[t.spec.Layers.From*ranges/layers] += t.maxRequestRate(meanPrompt, meanAnswer)
		}
	}
	return min(sums[0], sums[1], sums[2])
}

// hopDelay returns the one-way latency between two targets.
func hopDelay(a, b *target) time.Duration {
	switch {
	case a.spec.DataCentre == b.spec.DataCentre:
		return localDelay
	case a.spec.DataCentre == "dc-slow" || b.spec.DataCentre == "dc-slow":
		return slowLinkDelay
	}
	return regionDelay
}

func (r *counters) countToken(at time.Duration) {
	i := int(at / (100 * time.Millisecond))
	for len(r.byTenth) <= i {
		r.byTenth = append(r.byTenth, 0)
	}
	r.byTenth[i]++
	r.tokens++
}

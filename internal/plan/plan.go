package plan

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/peers"
	"shallotcourse/internal/place"
	"shallotcourse/internal/proxy"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// every is the interval between two looks at the placement.
	every = 200 * time.Millisecond
	// settle is how long the number of targets must stay the same before the
	// first layers are placed: targets start within some seconds of one
	// another, and moving layers costs loads.
	settle = 1200 * time.Millisecond
	// settleMost bounds the wait for settle.
	settleMost = 6 * time.Second
	// deadLooks is the number of reports in a row that a doubted target must
	// fail to give before its layers are placed elsewhere.
	deadLooks = 2
	// lookEvery is the interval between reports of a doubted target, lookLimit
	// the bound of one.
	lookEvery = 300 * time.Millisecond
	lookLimit = 250 * time.Millisecond
	// deadLife is how long the gateways avoid a dead target after the planner
	// has last named it.
	deadLife = time.Second
	// lateLeast is the number of late pauses of streams, at all gateways, from
	// which the targets are asked for their pace, surveyEvery the least time
	// between two surveys, and slowPace what counts as slow.
	lateLeast   = 3
	surveyEvery = 700 * time.Millisecond
	slowPace    = 1.2
	// orderLimit bounds one order, reportLimit one report.
	orderLimit  = time.Second
	reportLimit = 500 * time.Millisecond
	// orderSlack is how much longer than computed a load may take before the
	// planner looks at the target as if nothing had been ordered.
	orderSlack = 3 * time.Second
	// claimSpread keeps gateways from claiming the lease at the same moment.
	claimSpread = 600 * time.Millisecond
	// tellFor is how long the others are told what a target said.
	tellFor = 2 * time.Second
)

type (
	// Options is what the planner works with.
	Options struct {
		Instance, Incarnation string
		Source                follow.Source
		Clock                 timer.Service
		Steady                follow.Clock
		Log                   log.Logger
		Metrics               *metrics.Set
		Configs               *follow.Configs
		Fleets                *follow.Fleets
		Ledger                *ledger.Ledger
		Peers                 *peers.Peers
		Engines               proxy.Engines
		// FirstStart says that the whole deployment starts for the first time,
		// and Quiet that no request has come yet: loads are fast until then.
		FirstStart bool
		Quiet      func() bool
	}

	// Planner places layers on targets while this gateway holds the lease.
	Planner struct {
		Options
		lease lease
		// delay spreads the claims of several gateways.
		delay time.Duration

		// rounds is held by a round, and by the release.
		rounds   sync.Mutex
		released bool
		// late counts late pauses since the last survey, surveyed is its time.
		late     int
		surveyed time.Duration

		// settled says that the first placement was decided; count is the
		// number of targets, which has not changed since stable.
		settled bool
		count   int
		stable  time.Duration
		noticed time.Duration

		// queue holds the orders of each service that wait for loads to end;
		// the rest of a plan is only good with its beginning.
		queue map[string][]place.Order

		mu sync.Mutex
		// orders holds what was ordered and is not seen done.
		orders map[string]order
		// looks holds the doubted targets that are asked for reports.
		looks map[string]looks
		// told holds what targets said, for the other gateways.
		told map[string]told
		// history explains the placement to operators.
		history map[string]Placement
	}

	order struct {
		layers topo.Layers
		born   int64
		until  time.Duration
	}

	// looks is what came of asking a doubted target for reports.
	looks struct {
		born int64
		// failed counts the reports in a row that it did not give.
		failed int
		last   time.Duration
	}

	told struct {
		target topo.Target
		until  time.Duration
	}

	// Placement says why a target holds its layers.
	Placement struct {
		Layers topo.Layers
		Why    string
		Since  time.Time
	}
)

// New returns a planner; Run starts it.
func New(o Options) *Planner {
	return &Planner{
		Options: o, queue: map[string][]place.Order{}, orders: map[string]order{}, told: map[string]told{}, looks: map[string]looks{}, history: map[string]Placement{},
		delay: rand.N(claimSpread),
		lease: lease{source: o.Source, steady: o.Steady, log: o.Log, instance: o.Instance, incarnation: o.Incarnation},
	}
}

// Run plans until the context ends.
func (p *Planner) Run(ctx context.Context) {
	ticks, cancel := p.Clock.Every(every)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			p.round(ctx)
		}
	}
}

// Release gives the lease up at a stop, for good.
func (p *Planner) Release(ctx context.Context) {
	p.rounds.Lock()
	defer p.rounds.Unlock()
	p.released = true
	p.lease.release(ctx)
	p.Peers.Plans(0, nil, nil)
}

// History returns why targets hold their layers, as far as this gateway
// decided it.
func (p *Planner) History() map[string]Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]Placement, len(p.history))
	for id, h := range p.history {
		out[id] = h
	}
	return out
}

func (p *Planner) round(ctx context.Context) {
	p.rounds.Lock()
	defer p.rounds.Unlock()
	if p.released {
		return
	}
	heard, ago := p.Peers.Planner()
	config := p.Configs.Section().Value()
	if config.Version == 0 || p.Fleets.Section().Value().Len() == 0 {
		return
	}
	if p.lease.term == 0 && (ago < silentFor+p.delay || !p.Peers.MayPlan()) {
		return
	}
	planning := p.lease.hold(ctx, heard, ago)
	deaths := p.deaths()
	p.Ledger.HearDead(deaths)
	p.Peers.Plans(p.lease.term, p.telling(), deaths)
	if !planning {
		p.settled = false
		p.forget()
		return
	}
	for _, s := range config.Services() {
		if s.Model != nil {
			p.service(ctx, s)
		}
	}
}

// forget drops what only a planner keeps up to date.
func (p *Planner) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.orders)
	clear(p.queue)
	clear(p.looks)
}

// service plans the targets of one model.
func (p *Planner) service(ctx context.Context, s topo.Service) {
	targets, busy := p.view(ctx, s)
	p.follow(ctx, targets)
	p.survey(ctx, targets)
	if !p.ready(targets) {
		return
	}
	loads := max(1, s.Model.LoadsAtOnce) - busy
	if p.FirstStart && p.Quiet() {
		loads = len(targets)
	}
	if len(p.queue[s.Name]) == 0 {
		p.queue[s.Name] = place.Plan(s.Model, targets)
	}
	for loads > 0 && len(p.queue[s.Name]) > 0 {
		o := p.queue[s.Name][0]
		p.queue[s.Name] = p.queue[s.Name][1:]
		if current(o, targets) {
			p.send(ctx, s.Model, o)
			loads--
		}
	}
}

// current reports whether the target of an order is as it was when the order
// was planned.
func current(o place.Order, targets []place.Target) bool {
	for _, t := range targets {
		if t.ID == o.Target.ID {
			return !t.Busy && t.Born == o.Target.Born && t.Held == o.Target.Held
		}
	}
	return false
}

// view returns the targets that count for the placement, and the number of
// loads in progress.
func (p *Planner) view(ctx context.Context, s topo.Service) ([]place.Target, int) {
	now := p.Steady()
	var out []place.Target
	busy := 0
	loads := p.Ledger.Loads()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.Fleets.Section().Value().Of(s.Name) {
		if t.State != topo.Ready || p.dead(ctx, t) {
			continue
		}
		v := place.Target{
			Target: t, Next: t.Held, Busy: t.Loading, UsedMegabytes: loads[t.ID].TokenLayers * s.Model.TokenMegabytes,
		}
		if o, ok := p.orders[t.ID]; ok {
			switch {
			case o.born != t.Born || now > o.until:
				delete(p.orders, t.ID)
			default:
				v.Next, v.Busy = o.layers, true
			}
		}
		if v.Busy {
			busy++
		}
		out = append(out, v)
	}
	return out, busy
}

// ready reports whether the first layers may be placed.
func (p *Planner) ready(targets []place.Target) bool {
	if p.settled {
		return true
	}
	now := p.Steady()
	if p.noticed == 0 {
		p.noticed = now
	}
	for _, t := range targets {
		if t.Next.Len() > 0 {
			p.settled = true
			return true
		}
	}
	if len(targets) != p.count {
		p.count, p.stable = len(targets), now
	}
	p.settled = now-p.stable >= settle || now-p.noticed >= settleMost
	return p.settled
}

// send gives an order. It stays on record when its answer is lost, since it
// may be carried out later.
func (p *Planner) send(ctx context.Context, m *topo.Model, o place.Order) {
	t := o.Target
	load := time.Duration(float64(m.Load) * float64(o.Layers.Len()) / float64(max(1, m.Layers)))
	p.mu.Lock()
	p.orders[t.ID] = order{layers: o.Layers, born: t.Born, until: p.Steady() + 2*load + orderSlack}
	p.mu.Unlock()
	go func() {
		call, cancel := timer.WithTimeout(ctx, p.Clock, orderLimit)
		defer cancel()
		r, err := p.Engines.Report(call, t)
		if err == nil && (r.Held != t.Held || r.Loading || r.Born != t.Born) {
			err = fault.Newf(fault.Conflict, "the target holds layers %d to %d", r.Held.From, r.Held.To)
			p.hear(t, r)
		}
		if err == nil {
			t.Sequence = r.Sequence
			err = p.Engines.Place(call, t, o.Layers)
		}
		p.Metrics.GetOrCreateCounter("shallotcourse_orders_total").Inc()
		_ = level.Info(p.Log).Log("event", "Order", "target", t.ID, "born", t.Born, "sequence", t.Sequence, "from", o.Layers.From,
			"to", o.Layers.To, "held", t.Held.Len(), "why", o.Why, "term", p.lease.term, "load", load, "err", err)
		p.mu.Lock()
		defer p.mu.Unlock()
		switch {
		case err == nil:
			p.history[t.ID] = Placement{Layers: o.Layers, Why: o.Why, Since: p.Clock.Now()}
		case fault.As(err).Outcome == fault.NotRun:
			// The report tells the state that the order did not fit.
			p.orders[t.ID] = order{layers: t.Held, born: t.Born, until: p.Steady() + reportLimit}
		}
	}()
}

package plan

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/peers"
	"shallotcourse/internal/place"
	"shallotcourse/internal/proxy"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// roundInterval is the interval between two planning rounds.
	roundInterval = 200 * time.Millisecond
	// settleTime is how long the number of targets must stay the same before the
	// first layers are placed: targets start within a few seconds of one
	// another, and to move layers later means to load them again.
	settleTime = 1200 * time.Millisecond
	// maxSettleTime bounds the wait for a stable number of targets.
	maxSettleTime = 6 * time.Second
	// maxFailedPolls is the number of consecutive failed polls after which a
	// suspected target counts as unresponsive and its layers are placed
	// elsewhere.
	maxFailedPolls = 2
	// pollInterval is the interval between polls of a suspected target,
	// pollTimeout the time limit of one poll.
	pollInterval = 300 * time.Millisecond
	pollTimeout  = 250 * time.Millisecond
	// unresponsiveTTL is how long the gateways avoid an unresponsive target after
	// the planner has last reported it.
	unresponsiveTTL = time.Second
	// minLatePauses is the number of overlong pauses of streams, at all gateways,
	// from which all targets are polled for their pace, paceCheckInterval the
	// shortest time between two such checks, and slowPace the pace above which a
	// target counts as slow.
	minLatePauses     = 3
	paceCheckInterval = 700 * time.Millisecond
	slowPace          = 1.2
	// orderTimeout is the time limit of sending one order, reportTimeout that of
	// polling the progress of one.
	orderTimeout  = time.Second
	reportTimeout = 500 * time.Millisecond
	// freeLoadSpeedup is how many times faster loads are before the first
	// request.
	freeLoadSpeedup = 10
	// maxOrdersInFlight bounds the orders that wait for an answer, and
	// maxOrderPolls the targets that are polled for the progress of their order in
	// one round. A first placement orders all targets of a deployment at once.
	maxOrdersInFlight = 48
	maxOrderPolls     = 48
	// orderSlack is added to twice the computed load time; an order that takes
	// longer than that is dropped, and the target is planned for again.
	orderSlack = 3 * time.Second
	// maxClaimDelay bounds the random delay that keeps gateways from claiming the
	// lease at the same moment.
	maxClaimDelay = 600 * time.Millisecond
	// reportTTL is how long a target's report is sent to the other gateways.
	reportTTL = time.Second
)

type (
	// Options are the settings and dependencies of a planner.
	Options struct {
		Instance, Incarnation string
		Source                follow.Source
		Clock                 timer.Service
		BootClock             follow.BootClock
		Log                   log.Logger
		Metrics               *metrics.Set
		Configs               *follow.Configs
		Fleets                *follow.Fleets
		Ledger                *ledger.Ledger
		Peers                 *peers.Peers
		Engines               proxy.Engines
		Limits                *limit.TargetLimiter
		// FirstStart says that the whole deployment starts for the first time, and
		// NoRequestsYet reports whether no request has arrived yet. While both hold,
		// loads are fast and their number is not limited.
		FirstStart    bool
		NoRequestsYet func() bool
	}

	// Planner places layers on targets while this gateway holds the lease.
	Planner struct {
		Options
		lease lease
		// leaseChecked is the lease's checked time while this gateway holds it, and
		// 0 otherwise, for the goroutines that send orders.
		leaseChecked atomic.Int64
		// claimDelay is a random delay that spreads the claims of the gateways.
		claimDelay time.Duration

		// roundMu is held during a round and during the release of the lease.
		roundMu  sync.Mutex
		released bool
		// latePauses counts overlong pauses since the last check of paces;
		// paceCheckedAt is the time at which paces were last polled.
		latePauses    int
		paceCheckedAt time.Duration
		// boundsAt is the time at which the metrics of the bounds were last set.
		boundsAt time.Duration

		// settled says that the first layers may be placed. Until then,
		// targetCount is the number of targets, which has not changed since
		// countSince, and waitingSince the start of the wait.
		settled      bool
		targetCount  int
		countSince   time.Duration
		waitingSince time.Duration

		// queue holds the orders of each service that wait for loads to end. A
		// plan is carried out to its end before a new one is made, since its later
		// orders are only useful after its first ones.
		queue map[string][]place.Order
		// layouts holds the layout of each service at its last plan.
		layouts map[string]layout

		mu sync.Mutex
		// orders holds the orders that targets have not yet reported as done.
		orders map[string]order
		// polls holds the suspected targets that are being polled.
		polls map[string]pollState
		// reports holds the latest reports of targets, to be sent to the other
		// gateways.
		reports map[string]targetReport
		// lastPlacements holds the last order that each target has accepted, for
		// display to operators.
		lastPlacements map[string]Placement
		// sending holds a value for each order that waits for an answer.
		sending chan struct{}
		// nextPoll is the number of the target that is polled first in the next
		// round.
		nextPoll int
	}

	// layout is what a plan depends on.
	layout struct {
		freeLoads bool
		// pressed says for each group whether it is short of memory.
		pressed []bool
		targets []placed
	}

	// placed is the state of a target in a layout.
	placed struct {
		id         string
		started    int64
		held, next topo.Layers
		busy       bool
	}

	// order is an order that was sent to a target and may be in progress.
	order struct {
		layers  topo.Layers
		started int64
		// pollFrom is the time from which the target is polled for the end of the
		// load, and until the time at which the order is dropped if it is not done.
		pollFrom, until time.Duration
	}

	// pollState is the result of polling a suspected target.
	pollState struct {
		started int64
		// failed counts the consecutive failed polls.
		failed int
		// last is the time of the last poll.
		last time.Duration
	}

	// targetReport is a target with the values of its last report. It is sent to
	// the other gateways until the given time.
	targetReport struct {
		target topo.Target
		until  time.Duration
	}

	// Placement is an order that a target has accepted: the layers to hold, the
	// reason for them and the time.
	Placement struct {
		Layers topo.Layers
		Why    string
		Since  time.Time
	}
)

// New returns a planner; Run starts it.
func New(o Options) *Planner {
	return &Planner{
		Options: o, queue: map[string][]place.Order{}, layouts: map[string]layout{}, orders: map[string]order{}, reports: map[string]targetReport{}, polls: map[string]pollState{}, lastPlacements: map[string]Placement{},
		sending:    make(chan struct{}, maxOrdersInFlight),
		claimDelay: rand.N(maxClaimDelay),
		lease:      lease{source: o.Source, clock: o.BootClock, log: o.Log, instance: o.Instance, incarnation: o.Incarnation},
	}
}

// Run plans until the context ends.
func (p *Planner) Run(ctx context.Context) {
	ticks, cancel := p.Clock.Every(roundInterval)
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

// Release gives up the lease when the gateway stops; the planner does nothing
// afterwards.
func (p *Planner) Release(ctx context.Context) {
	p.roundMu.Lock()
	defer p.roundMu.Unlock()
	p.released = true
	p.leaseChecked.Store(0)
	p.lease.release(ctx)
	p.Peers.SetPlan(topo.Version{}, nil, nil)
}

// Plans reports whether this gateway holds the lease and acts on it.
func (p *Planner) Plans() bool { return p.mayAct() == nil }

// LastPlacements returns the last order of this gateway that each target has
// accepted.
func (p *Planner) LastPlacements() map[string]Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]Placement, len(p.lastPlacements))
	for id, h := range p.lastPlacements {
		out[id] = h
	}
	return out
}

// round claims or renews the lease if needed, and plans all model services while
// this gateway holds it.
func (p *Planner) round(ctx context.Context) {
	p.roundMu.Lock()
	defer p.roundMu.Unlock()
	if p.released {
		return
	}
	otherTerm, silence := p.Peers.OtherPlanner()
	config := p.Configs.Section().Value()
	if config.Version == 0 || p.Fleets.Section().Value().Len() == 0 {
		return
	}
	if !p.lease.held() && (silence < plannerTimeout+p.claimDelay || !p.Peers.MayPlan()) {
		return
	}
	planning := p.lease.hold(ctx, otherTerm, silence)
	p.leaseChecked.Store(0)
	if planning {
		p.leaseChecked.Store(int64(p.lease.checked))
	}
	unresponsive := p.unresponsiveTargets()
	p.Ledger.SetUnresponsive(unresponsive)
	reports := p.recentReports()
	p.Fleets.Overlay(reports...)
	p.Peers.SetPlan(p.lease.term, reports, unresponsive)
	if !planning {
		p.settled = false
		p.dropPlannerState()
		return
	}
	p.updateBoundMetrics()
	for _, s := range config.Services() {
		if s.Model != nil {
			p.planService(ctx, s)
		}
	}
}

// dropPlannerState clears the state that is kept up to date only while this
// gateway holds the lease.
func (p *Planner) dropPlannerState() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.orders)
	clear(p.queue)
	clear(p.layouts)
	clear(p.polls)
}

// planService plans the targets of one model service and sends the orders for
// which loads are free.
func (p *Planner) planService(ctx context.Context, s topo.Service) {
	targets, busy := p.serviceTargets(ctx, s)
	p.pollOrdered(ctx, targets)
	p.checkPaces(ctx, targets)
	if !p.targetsSettled(targets) {
		return
	}
	loads := max(1, s.Model.LoadsAtOnce) - busy
	freeLoads := p.FirstStart && p.NoRequestsYet()
	if freeLoads {
		loads = len(targets)
	}
	if len(p.queue[s.Name]) == 0 && p.layoutChanged(s, targets, freeLoads) {
		p.queue[s.Name] = place.Plan(s.Model, targets, freeLoads)
	}
	for loads > 0 && len(p.queue[s.Name]) > 0 {
		o := p.queue[s.Name][0]
		if p.Limits.Standing(o.Target).PausedFor > 0 {
			return
		}
		p.queue[s.Name] = p.queue[s.Name][1:]
		if stillCurrent(o, targets) {
			p.sendOrder(ctx, o, loadTime(s.Model, o.Layers.Len(), freeLoads))
			loads--
		}
	}
}

// layoutChanged reports whether a service's targets or their layers differ from
// those of the last plan, and records them. The same layout gives the same plan;
// its orders have been sent by then.
func (p *Planner) layoutChanged(s topo.Service, targets []place.Target, freeLoads bool) bool {
	next := layout{freeLoads: freeLoads, pressed: place.Pressed(s.Model, targets), targets: make([]placed, len(targets))}
	for i, t := range targets {
		next.targets[i] = placed{t.ID, t.Started, t.Held, t.Next, t.Busy}
	}
	last, known := p.layouts[s.Name]
	if known && last.freeLoads == freeLoads && slices.Equal(last.pressed, next.pressed) && slices.Equal(last.targets, next.targets) {
		return false
	}
	p.layouts[s.Name] = next
	return true
}

// stillCurrent reports whether the target of an order is unchanged since the
// order was planned.
func stillCurrent(o place.Order, targets []place.Target) bool {
	for _, t := range targets {
		if t.ID == o.Target.ID {
			return !t.Busy && t.Started == o.Target.Started && t.Held == o.Target.Held
		}
	}
	return false
}

// serviceTargets returns the targets of a service that are ready, responsive and
// not leaving, and the number of loads in progress.
func (p *Planner) serviceTargets(ctx context.Context, s topo.Service) ([]place.Target, int) {
	now := p.BootClock()
	var out []place.Target
	busy := 0
	loads := p.Ledger.TotalLoads()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.Fleets.Section().Value().ServiceTargets(s.Name) {
		if t.State != topo.Ready || p.Limits.Standing(t).Leaving || p.checkUnresponsive(ctx, t) {
			continue
		}
		v := place.Target{
			Target: t, Next: t.Held, Busy: t.Loading, UsedMegabytes: loads[t.ID].TokenLayers * s.Model.TokenMegabytes,
		}
		if o, ok := p.orders[t.ID]; ok {
			switch {
			case o.started != t.Started || now > o.until:
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

// targetsSettled reports whether layers may be placed: some target already holds
// layers, the number of targets is stable, or the wait for that is over.
func (p *Planner) targetsSettled(targets []place.Target) bool {
	if p.settled {
		return true
	}
	now := p.BootClock()
	if p.waitingSince == 0 {
		p.waitingSince = now
	}
	for _, t := range targets {
		if t.Next.Len() > 0 {
			p.settled = true
			return true
		}
	}
	if len(targets) != p.targetCount {
		p.targetCount, p.countSince = len(targets), now
	}
	p.settled = now-p.countSince >= settleTime || now-p.waitingSince >= maxSettleTime
	return p.settled
}

// mayAct returns an error unless the lease was checked a short time ago. A pause of
// the process may lie between a plan and its orders.
func (p *Planner) mayAct() error {
	checked := time.Duration(p.leaseChecked.Load())
	if age := p.BootClock() - checked; checked == 0 || age > maxUnchecked {
		return fault.Newf(fault.Leaving, "the planner's lease was last checked %s ago", age.Round(time.Millisecond))
	}
	return nil
}

// loadTime is the time that a target takes to load some layers.
func loadTime(m *topo.Model, layers int, free bool) time.Duration {
	load := time.Duration(float64(m.Load) * float64(layers) / float64(max(1, m.Layers)))
	if free {
		return load / freeLoadSpeedup
	}
	return load
}

// askBeforeOrder returns the state of a target that is to get an order, unless it has
// said since the plan was made that it takes none.
func (p *Planner) askBeforeOrder(ctx context.Context, t topo.Target) (proxy.Report, error) {
	if err := p.takesWork(t); err != nil {
		return proxy.Report{}, err
	}
	return p.Engines.Report(ctx, t)
}

// takesWork returns an error if the target has said that it takes no work.
func (p *Planner) takesWork(t topo.Target) error {
	if p.Limits.Standing(t).TakesWork() {
		return nil
	}
	return fault.Newf(fault.Leaving, "target %s has said that it takes no work", t.ID)
}

// sendOrder sends an order in the background. The order stays on record if its
// answer is lost, since the target may still carry it out.
func (p *Planner) sendOrder(ctx context.Context, o place.Order, load time.Duration) {
	t, term := o.Target, p.lease.term
	now := p.BootClock()
	p.mu.Lock()
	p.orders[t.ID] = order{layers: o.Layers, started: t.Started, pollFrom: now + load, until: now + 2*load + orderSlack}
	p.mu.Unlock()
	go func() {
		select {
		case p.sending <- struct{}{}:
			defer func() { <-p.sending }()
		case <-ctx.Done():
			return
		}
		call, cancel := timer.WithTimeout(ctx, p.Clock, orderTimeout)
		defer cancel()
		r, err := p.askBeforeOrder(call, t)
		if err == nil && (r.Held != t.Held || r.Loading || r.Started != t.Started) {
			err = fault.Newf(fault.Conflict, "the target holds layers %d to %d", r.Held.From, r.Held.To)
			p.applyReport(t, r)
		}
		if err == nil {
			err = p.takesWork(t)
		}
		if err == nil {
			err = p.mayAct()
		}
		if err == nil {
			t.Sequence = r.Sequence
			err = p.Engines.Place(call, t, o.Layers)
		}
		p.Metrics.GetOrCreateCounter("shallotcourse_orders_total").Inc()
		_ = level.Info(p.Log).Log("event", "Order", "target", t.ID, "born", t.Started, "sequence", t.Sequence, "from", o.Layers.From,
			"to", o.Layers.To, "held", t.Held.Len(), "why", o.Why, "term", term, "load", load, "err", err)
		p.mu.Lock()
		defer p.mu.Unlock()
		switch {
		case err == nil:
			p.lastPlacements[t.ID] = Placement{Layers: o.Layers, Why: o.Why, Since: p.Clock.Now()}
		case fault.As(err).Outcome == fault.NotRun:
			// The target's state did not fit the order. This entry makes
			// pollOrdered poll it for its state.
			p.orders[t.ID] = order{layers: t.Held, started: t.Started, until: p.BootClock() + reportTimeout}
		}
	}()
}

package lab

import (
	"time"

	"shallotcourse/internal/limit"
	"shallotcourse/internal/route"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const (
	// prefillChunk is the maximum number of prompt positions in one batch.
	prefillChunk = 128
	// prefillShare is the cost of a prompt position relative to a decode step.
	prefillShare = 1.0 / 16

	// The agent's meter is not exported; the emulated agent has these constants
	// of its own: the weight of the newest step in a moving average, the factor
	// by which the baseline may rise per step, and session limits.
	smoothing    = 0.1
	baselineRise = 1.001
	limitMin     = 4
	limitStart   = 8
	adaptPeriod  = 50 * time.Millisecond
	reportPeriod = 200 * time.Millisecond
)

type (
	// accelerator is an accelerator kind. A batch of n decode steps takes fixed
	// + n*step; batch is the maximum number of steps in one.
	accelerator struct {
		name  string
		fixed time.Duration
		step  time.Duration
		batch int
	}

	// target emulates an engine with continuous batching, and the admission
	// control and load reports of its agent.
	target struct {
		sim         *sim
		spec        resrc.Target
		name        string
		accelerator accelerator
		queue       []*workItem
		busy        bool
		down        bool
		// open is the number of open sessions, limit the most that the agent
		// admits, computed from capacity.
		open     int
		capacity limit.Capacity
		// sessions is the operator's limit of sessions as a multiple of the
		// batch size.
		sessions float64
		limit    float64
		// baseline, meanStep and queueDelay are in seconds; see recordStep.
		baseline   float64
		meanStep   float64
		queueDelay float64
		samples    int
		// busyTime is the total time of all batches.
		busyTime time.Duration
	}

	// workItem is a step of one session at one stage.
	workItem struct {
		session  *session
		count    int
		queuedAt time.Time
		// positions is the weighted size of the step, which was passed to
		// capacity.Begin; inFlight is its result.
		positions int
		inFlight  int
	}
)

// maxRequestRate returns the requests per second that the target can serve with full
// batches, for the given lengths of prompt and answer.
func (t *target) maxRequestRate(prompt, answer float64) float64 {
	per := t.accelerator.fixed.Seconds()/float64(t.accelerator.batch) + t.accelerator.step.Seconds()
	return 1 / (answer*per + prompt*t.accelerator.step.Seconds()*prefillShare)
}

func (t *target) maxSessions() float64 { return t.sessions * float64(t.accelerator.batch) }

// submit queues a step of count positions and starts a batch if the engine is idle.
func (t *target) submit(s *session, count int) {
	// Prompt positions are weighted by their cost relative to decode steps.
	positions := max(1, int(float64(count)*prefillShare))
	t.queue = append(t.queue, &workItem{
		session: s, count: count, queuedAt: t.sim.now, positions: positions, inFlight: t.capacity.Begin(positions),
	})
	t.startBatch()
}

// startBatch runs a batch of queued decode steps and prompt chunks, unless one is
// running.
func (t *target) startBatch() {
	if t.busy || t.down {
		return
	}
	var (
		batch   []*workItem
		rest    []*workItem
		prefill = prefillChunk
		cost    = t.accelerator.fixed
	)
	for _, p := range t.queue {
		switch {
		case p.session.ended:
			t.capacity.End(p.positions, p.inFlight, 0, false)
		case p.count == 1 && len(batch) < t.accelerator.batch:
			batch = append(batch, p)
			cost += t.accelerator.step
		case p.count > 1 && prefill > 0:
			n := min(prefill, p.count)
			prefill -= n
			cost += time.Duration(float64(n) * float64(t.accelerator.step) * prefillShare)
			p.session.work += float64(n) * prefillShare
			if p.count -= n; p.count > 0 {
				rest = append(rest, p)
			} else {
				batch = append(batch, p)
			}
		default:
			rest = append(rest, p)
		}
	}
	t.queue = rest
	if len(batch) == 0 && prefill == prefillChunk {
		return
	}
	t.busy = true
	t.busyTime += cost
	t.sim.after(cost, func() {
		t.busy = false
		for _, p := range batch {
			t.finishItem(p)
		}
		t.startBatch()
	})
}

func (t *target) finishItem(p *workItem) {
	elapsed := t.sim.now.Sub(p.queuedAt)
	live := !p.session.ended && !t.down
	t.capacity.End(p.positions, p.inFlight, elapsed, live && p.count == 1)
	if !live {
		return
	}
	if p.count == 1 {
		p.session.work++
		t.recordStep(elapsed)
	}
	p.session.stageDone()
}

// recordStep updates the moving averages of step time and queue delay. The
// baseline is the shortest step time; it rises slowly, so that it adapts when the
// engine becomes slower.
func (t *target) recordStep(elapsed time.Duration) {
	s := elapsed.Seconds()
	t.samples++
	if t.meanStep == 0 {
		t.meanStep, t.baseline = s, s
		return
	}
	t.baseline = min(s, t.baseline*baselineRise)
	t.meanStep += smoothing * (s - t.meanStep)
	t.queueDelay += smoothing * (s - t.baseline - t.queueDelay)
}

// adapt sets the session limit as the agent does.
func (t *target) adapt() {
	t.capacity.Interval(adaptPeriod)
	share := 1.0 / ranges
	goal := time.Duration(share * float64(tokenGapBound))
	if n, ok := t.capacity.Sessions(goal, share); ok {
		t.limit = min(t.maxSessions(), max(limitMin, n))
	}
}

// report returns the load report of the agent. The queue delay decays while the
// target is idle.
func (t *target) report() wire.Load {
	if t.samples == 0 && len(t.queue) == 0 {
		t.queueDelay /= 2
	}
	t.samples = 0
	return t.load()
}

func (t *target) load() wire.Load {
	return wire.Load{
		Target: t.name, Open: t.open, Waiting: len(t.queue), Limit: int(t.limit), Ready: !t.down,
		QueueDelay: time.Duration(t.queueDelay * float64(time.Second)),
		StepTime:   time.Duration(t.meanStep * float64(time.Second)), Version: version, Layers: t.spec.Layers,
	}
}

func (t *target) routeTarget() route.Target {
	return route.Target{Name: t.name, Spec: t.spec, Load: t.load()}
}

package lab

import (
	"time"

	"shallotcourse/internal/limit"
	"shallotcourse/internal/route"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const (
	// prefillChunk bounds the prompt positions in one batch.
	prefillChunk = 128
	// prefillShare is the time of a prompt position relative to a decode step.
	prefillShare = 1.0 / 16

	// The agent's meter is not exported; these are its constants.
	meterWeight  = 0.1
	serviceRise  = 1.001
	limitMin     = 4
	limitStart   = 8
	adaptPeriod  = 50 * time.Millisecond
	reportPeriod = 200 * time.Millisecond
)

type (
	// speed is a kind of accelerator: a batch of n steps takes fixed + n*step.
	speed struct {
		name  string
		fixed time.Duration
		step  time.Duration
		batch int
	}

	// target emulates an engine with continuous batching and its agent's
	// admission.
	target struct {
		sim   *sim
		spec  resrc.Target
		name  string
		kind  speed
		queue []*piece
		busy  bool
		down  bool
		// open is the exact number of sessions; limit follows from capacity.
		open     int
		capacity limit.Capacity
		// sessions is the operator's bound of sessions relative to the batch.
		sessions float64
		limit    float64
		service  float64
		step     float64
		delay    float64
		samples  int
		// spent is the time that batches took.
		spent time.Duration
	}

	// piece is the work of one session at one stage.
	piece struct {
		session *session
		count   int
		since   time.Time
		// positions and inFlight are what the agent counted at the beginning.
		positions int
		inFlight  int
	}
)

// rate returns how many requests a second the target can serve at full batches.
func (t *target) rate(prompt, answer float64) float64 {
	per := t.kind.fixed.Seconds()/float64(t.kind.batch) + t.kind.step.Seconds()
	return 1 / (answer*per + prompt*t.kind.step.Seconds()*prefillShare)
}

func (t *target) bound() float64 { return t.sessions * float64(t.kind.batch) }

// submit queues work and starts a batch if the engine is idle.
func (t *target) submit(s *session, count int) {
	// A prompt position costs less than a decode step and counts accordingly.
	positions := max(1, int(float64(count)*prefillShare))
	t.queue = append(t.queue, &piece{
		session: s, count: count, since: t.sim.now, positions: positions, inFlight: t.capacity.Begin(positions),
	})
	t.next()
}

func (t *target) next() {
	if t.busy || t.down {
		return
	}
	var (
		batch   []*piece
		rest    []*piece
		prefill = prefillChunk
		cost    = t.kind.fixed
	)
	for _, p := range t.queue {
		switch {
		case p.session.ended:
			t.capacity.End(p.positions, p.inFlight, 0, false)
		case p.count == 1 && len(batch) < t.kind.batch:
			batch = append(batch, p)
			cost += t.kind.step
		case p.count > 1 && prefill > 0:
			n := min(prefill, p.count)
			prefill -= n
			cost += time.Duration(float64(n) * float64(t.kind.step) * prefillShare)
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
	t.spent += cost
	t.sim.after(cost, func() {
		t.busy = false
		for _, p := range batch {
			t.finish(p)
		}
		t.next()
	})
}

func (t *target) finish(p *piece) {
	elapsed := t.sim.now.Sub(p.since)
	live := !p.session.ended && !t.down
	t.capacity.End(p.positions, p.inFlight, elapsed, live && p.count == 1)
	if !live {
		return
	}
	if p.count == 1 {
		p.session.work++
		t.measure(elapsed)
	}
	p.session.passed()
}

func (t *target) measure(elapsed time.Duration) {
	s := elapsed.Seconds()
	t.samples++
	if t.step == 0 {
		t.step, t.service = s, s
		return
	}
	t.service = min(s, t.service*serviceRise)
	t.step += meterWeight * (s - t.step)
	t.delay += meterWeight * (s - t.service - t.delay)
}

// adapt sets the limit as the agent does.
func (t *target) adapt() {
	t.capacity.Interval(adaptPeriod)
	share := 1.0 / ranges
	goal := time.Duration(share * float64(betweenBound))
	if n, ok := t.capacity.Sessions(goal, share); ok {
		t.limit = min(t.bound(), max(limitMin, n))
	}
}

// report returns the load as the agent sends it.
func (t *target) report() wire.Load {
	if t.samples == 0 && len(t.queue) == 0 {
		t.delay /= 2
	}
	t.samples = 0
	return t.load()
}

func (t *target) load() wire.Load {
	return wire.Load{
		Target: t.name, Open: t.open, Waiting: len(t.queue), Limit: int(t.limit), Ready: !t.down,
		QueueDelay: time.Duration(t.delay * float64(time.Second)),
		StepTime:   time.Duration(t.step * float64(time.Second)), Version: version, Layers: t.spec.Layers,
	}
}

func (t *target) known() route.Target {
	return route.Target{Name: t.name, Spec: t.spec, Load: t.load()}
}

package agent

import (
	"context"
	"sync"
	"time"

	"shallotcourse/internal/store"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const (
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.1

	// serviceRise lets the least step time follow an engine that becomes
	// slower: it doubles in about 700 samples that are all above it.
	serviceRise = 1.001

	// stepFactor times the usual step time is the step timeout, where that is
	// longer than the configured one.
	stepFactor = 20

	// adaptsPerReport is how often the limit adapts between two load reports.
	adaptsPerReport = 4

	// notable is the change of the limit that is reported at once.
	notable = 1.1
)

type (
	// meter measures the engine's steps.
	meter struct {
		mu      sync.Mutex
		waiting int
		// service is the least time of a decode step, raised slowly.
		service float64
		// step and delay are moving averages in seconds.
		step  float64
		delay float64
		// samples counts those since the last report.
		samples int
	}

	// limiter adapts the number of admitted sessions to the queue delay. The
	// engine's own load reports lag and are not used.
	limiter struct {
		bounds Bounds
		target time.Duration
		value  float64
	}
)

// begin counts a waiting step.
func (m *meter) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting++
}

// end counts an answered step. Only decode steps are measured, since the time
// of a prefill depends on its length.
func (m *meter) end(elapsed time.Duration, count int, ok bool) {
	m.mu.Lock()
	m.waiting--
	m.mu.Unlock()
	if count == 1 {
		m.record(elapsed, ok)
	}
}

// record adds the time of one decode step or call.
func (m *meter) record(elapsed time.Duration, ok bool) {
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := elapsed.Seconds()
	m.samples++
	if m.step == 0 {
		m.step, m.service = s, s
		return
	}
	m.service = min(s, m.service*serviceRise)
	m.step += smoothing * (s - m.step)
	m.delay += smoothing * (s - m.service - m.delay)
}

// report returns the measures. Without new samples the delay fades, since an
// idle engine has no queue.
func (m *meter) report() (waiting int, delay, step time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.samples == 0 && m.waiting == 0 {
		m.delay /= 2
	}
	m.samples = 0
	return m.waiting, seconds(m.delay), seconds(m.step)
}

func (m *meter) stepTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return seconds(m.step)
}

func newLimiter(b Bounds, target time.Duration) limiter {
	return limiter{bounds: b, target: target, value: float64(b.Initial)}
}

func (l *limiter) limit() int { return int(l.value) }

// adapt lowers the limit in proportion while the delay is too long, and raises
// it by steps while it is in use.
func (l *limiter) adapt(delay time.Duration, used int) {
	const (
		lower = 0.95
		raise = 0.05
	)
	switch {
	case delay > l.target && used > 0:
		// What is not used cannot cause the delay.
		l.value = max(float64(l.bounds.Min), min(l.value, 2*float64(used))*lower)
	case delay <= l.target && float64(used) >= l.value*0.8:
		l.value = min(float64(l.bounds.Max), l.value+1+l.value*raise)
	}
}

func (a *Agent) reportLoad(ctx context.Context) error {
	ticks, cancel := a.cfg.Timer.Every(a.cfg.Times.Report)
	defer cancel()
	adapt, stop := a.cfg.Timer.Every(a.cfg.Times.Report / adaptsPerReport)
	defer stop()
	sent := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-adapt:
			// Entries that know an old limit refuse callers for nothing.
			if now := a.adaptSessions(); float64(now) > notable*float64(sent) || notable*float64(now) < float64(sent) {
				sent = now
				a.sendLoad()
			}
			continue
		case <-ticks:
		}
		_, delay, _ := a.meter.report()
		if a.cfg.Engine == nil {
			a.mu.Lock()
			a.limit.adapt(delay, len(a.sessions)+a.calls)
			a.mu.Unlock()
		}
		a.sendLoad()
	}
}

// adaptSessions sets the limit of an engine's sessions by its capacity, and
// returns the limit in force.
func (a *Agent) adaptSessions() int {
	a.capacity.interval(a.cfg.Times.Report / adaptsPerReport)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cfg.Engine == nil {
		return a.limit.limit()
	}
	share := 1.0
	if v, ok := store.Spec[resrc.ModelVersion](a.cfg.Config.Value(), a.held.Version); ok && v.Layers > 0 {
		share = float64(a.held.Layers.To-a.held.Layers.From) / float64(v.Layers)
	}
	goal := time.Duration(share * float64(a.cfg.Limits.BetweenTokens))
	if n, ok := a.capacity.sessions(goal, share); ok {
		a.limit.value = min(float64(a.limit.bounds.Max), max(float64(a.limit.bounds.Min), n))
	}
	return a.limit.limit()
}

func (a *Agent) sendLoad() {
	m := a.load()
	for _, p := range a.entryPeers() {
		_ = p.Send(m)
	}
}

// load returns the exact load now.
func (a *Agent) load() wire.Load {
	draining := a.draining()
	a.meter.mu.Lock()
	waiting, delay, step := a.meter.waiting, seconds(a.meter.delay), seconds(a.meter.step)
	a.meter.mu.Unlock()
	a.mu.RLock()
	defer a.mu.RUnlock()
	leaving := a.leaving || draining
	return wire.Load{
		Target: a.cfg.Target, Open: len(a.sessions) + a.calls, Waiting: waiting, QueueDelay: delay, StepTime: step,
		Limit: a.limit.limit(), Ready: a.ready && !leaving && a.health.open(a.cfg.Timer.Now()), Leaving: leaving, Version: a.held.Version, Layers: a.held.Layers,
	}
}

func (a *Agent) stepTimeout() time.Duration {
	return max(a.cfg.Times.Step, stepFactor*a.meter.stepTime())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

package agent

import (
	"context"
	"time"

	"shallotcourse/internal/store"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const (
	// adaptsPerReport is how often the limit adapts between two load reports.
	adaptsPerReport = 4

	// notableLimit is the change of the limit that is reported at once.
	notableLimit = 1.1
)

// limiter adapts the number of admitted sessions to the queue delay. The
// engine's own load reports lag and are not used.
type limiter struct {
	bounds Bounds
	target time.Duration
	value  float64
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
	var reports reporter
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-adapt:
			// Entries that know an old limit refuse callers for nothing.
			if now := a.adaptSessions(); float64(now) > notableLimit*float64(sent) || notableLimit*float64(now) < float64(sent) {
				sent = now
				reports.due(a.sendLoad(), a.cfg.Timer.Now())
			}
			continue
		case <-ticks:
		}
		a.meter.report(a.cfg.Times.Report)
		_, delay, _ := a.meter.load()
		if a.cfg.Engine == nil {
			a.mu.Lock()
			a.limit.adapt(delay, len(a.sessions)+a.calls)
			a.mu.Unlock()
		}
		if reports.due(a.load(), a.cfg.Timer.Now()) {
			a.sendLoad()
		}
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

// sendLoad reports the load to all linked entries and returns the report.
func (a *Agent) sendLoad() wire.Load {
	m := a.load()
	for _, p := range a.entryPeers() {
		_ = p.Send(m)
	}
	return m
}

// load returns the exact load now.
func (a *Agent) load() wire.Load {
	draining := a.draining()
	waiting, delay, step := a.meter.load()
	a.mu.RLock()
	defer a.mu.RUnlock()
	leaving := a.leaving || draining
	return wire.Load{
		Target: a.cfg.Target, Open: len(a.sessions) + a.calls, Waiting: waiting, QueueDelay: delay, StepTime: step,
		Limit: a.limit.limit(), Ready: a.ready && !leaving && a.health.open(a.cfg.Timer.Now()), Leaving: leaving, Version: a.held.Version, Layers: a.held.Layers,
	}
}

func (a *Agent) stepTimeout() time.Duration {
	_, _, step := a.meter.load()
	return max(a.cfg.Times.Step, stepFactor*step)
}

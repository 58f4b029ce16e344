package agent

import (
	"context"
	"time"

	"shallotcourse/internal/wire"
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
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		a.meter.report(a.cfg.Times.Report)
		_, delay, _ := a.meter.load()
		a.mu.Lock()
		a.limit.adapt(delay, len(a.sessions)+a.calls)
		a.mu.Unlock()
		a.sendLoad()
	}
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

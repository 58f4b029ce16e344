package agent

import (
	"context"
	"sync"
	"time"

	"shallotcourse/internal/limit"
	"shallotcourse/internal/store"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const (
	// adaptsPerReport is how often the limit adapts between two load reports.
	adaptsPerReport = 4
)

// capacity guards the measurement of what the engine can take.
type capacity struct {
	mu sync.Mutex
	limit.Capacity
}

// begin counts the positions of a step and returns how many are in flight.
func (c *capacity) begin(positions int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Begin(positions)
}

// end counts an answered step, which began with a number in flight.
func (c *capacity) end(positions, inFlight int, elapsed time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.End(positions, inFlight, elapsed, ok)
}

// adapt ends an interval of the measurement and returns the sessions that the
// engine can take; false while nothing was measured.
func (c *capacity) adapt(interval, goal time.Duration, share float64) (float64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Interval(interval)
	return c.Sessions(goal, share)
}

func (a *Agent) reportLoad(ctx context.Context) error {
	ticks, cancel := a.cfg.Timer.Every(a.cfg.Times.Report)
	defer cancel()
	adapt, stop := a.cfg.Timer.Every(a.cfg.Times.Report / adaptsPerReport)
	defer stop()
	var reports reporter
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-adapt:
			if !reports.limitMoved(a.adaptSessions()) {
				continue
			}
		case <-ticks:
			a.meter.report(a.cfg.Times.Report)
		}
		if l := a.load(); reports.due(l, a.cfg.Timer.Now()) {
			a.sendLoad(l)
		}
	}
}

// adaptSessions sets the limit of an engine's sessions by its capacity, and
// returns the limit in force. That of a plain service stays: its calls differ
// in length by nature, so a long call tells nothing about a queue.
func (a *Agent) adaptSessions() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cfg.Engine == nil {
		return a.limit
	}
	share := 1.0
	if v, ok := store.Spec[resrc.ModelVersion](a.cfg.Config.Value(), a.held.Version); ok && v.Layers > 0 {
		share = float64(a.held.Layers.To-a.held.Layers.From) / float64(v.Layers)
	}
	goal := time.Duration(share * float64(a.cfg.Limits.BetweenTokens))
	if n, ok := a.capacity.adapt(a.cfg.Times.Report/adaptsPerReport, goal, share); ok {
		b := a.cfg.Limits.Sessions
		a.limit = min(b.Max, max(b.Min, int(n)))
	}
	return a.limit
}

// sendLoad reports the load to all linked entries.
func (a *Agent) sendLoad(l wire.Load) {
	for _, p := range a.entryPeers() {
		_ = p.Send(l)
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
		Limit: a.limit, Ready: a.ready && !leaving && a.health.open(a.cfg.Timer.Now()), Leaving: leaving, Version: a.held.Version, Layers: a.held.Layers,
	}
}

func (a *Agent) stepTimeout() time.Duration {
	_, _, step := a.meter.load()
	return max(a.cfg.Times.Step, stepFactor*step)
}

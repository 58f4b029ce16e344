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
	// limitUpdatesPerReport is how often the limit is updated per report
	// interval.
	limitUpdatesPerReport = 4
)

// capacity is a limit.Capacity that is safe for concurrent use.
type capacity struct {
	mu sync.Mutex
	limit.Capacity
}

// begin adds the positions of a step to those in flight and returns their
// number.
func (c *capacity) begin(positions int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Begin(positions)
}

// end records a completed step. inFlight is the number that begin returned.
func (c *capacity) end(positions, inFlight int, elapsed time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.End(positions, inFlight, elapsed, ok)
}

// adapt ends a measurement interval and returns the number of sessions that
// the engine can serve within the goal, or false if nothing has been measured
// yet.
func (c *capacity) adapt(interval, goal time.Duration, share float64) (float64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Interval(interval)
	return c.Sessions(goal, share)
}

// reportLoad updates the session limit and sends load reports until the
// context ends.
func (a *Agent) reportLoad(ctx context.Context) error {
	ticks, cancel := a.cfg.Timer.Every(a.cfg.Times.Report)
	defer cancel()
	adapt, stop := a.cfg.Timer.Every(a.cfg.Times.Report / limitUpdatesPerReport)
	defer stop()
	var reports reportFilter
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-adapt:
			if !reports.limitChanged(a.updateLimit()) {
				continue
			}
		case <-ticks:
			a.meter.endInterval(a.cfg.Times.Report)
		}
		if l := a.currentLoad(); reports.shouldSend(l, a.cfg.Timer.Now()) {
			a.sendLoad(l)
		}
	}
}

// updateLimit sets the session limit of an engine from its measured capacity,
// and returns the limit in force. The limit of a plain service is fixed: the
// duration of its calls varies by nature, so a long call does not indicate a
// queue.
func (a *Agent) updateLimit() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cfg.Engine == nil {
		return a.limit
	}
	share := 1.0
	if v, ok := store.Spec[resrc.ModelVersion](a.cfg.Config.Value(), a.engineState.Version); ok && v.Layers > 0 {
		share = float64(a.engineState.Layers.To-a.engineState.Layers.From) / float64(v.Layers)
	}
	goal := time.Duration(share * float64(a.cfg.Limits.BetweenTokens))
	if n, ok := a.capacity.adapt(a.cfg.Times.Report/limitUpdatesPerReport, goal, share); ok {
		b := a.cfg.Limits.Sessions
		a.limit = min(b.Max, max(b.Min, int(n)))
	}
	return a.limit
}

// sendLoad sends a load report to all linked entries.
func (a *Agent) sendLoad(l wire.Load) {
	for _, p := range a.entryPeers() {
		_ = p.Send(l)
	}
}

// currentLoad returns a load report with the current values.
func (a *Agent) currentLoad() wire.Load {
	draining := a.draining()
	waiting, delay, step := a.meter.measured()
	a.mu.RLock()
	defer a.mu.RUnlock()
	leaving := a.leaving || draining
	return wire.Load{
		Target: a.cfg.Target, Open: len(a.sessions) + a.calls, Waiting: waiting, QueueDelay: delay, StepTime: step,
		Limit: a.limit, Ready: a.ready && !leaving && a.health.allowsWork(a.cfg.Timer.Now()), Leaving: leaving, Version: a.engineState.Version, Layers: a.engineState.Layers,
	}
}

// stepTimeout returns the timeout of a step: the configured one, or
// stepTimeoutFactor times the usual step time if that is longer.
func (a *Agent) stepTimeout() time.Duration {
	_, _, step := a.meter.measured()
	return max(a.cfg.Times.Step, stepTimeoutFactor*step)
}

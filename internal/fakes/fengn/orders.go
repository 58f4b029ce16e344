package fengn

import (
	"slices"
	"time"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
)

type (
	// Stats counts what the engine has executed.
	Stats struct {
		// Orders holds the accepted orders with their fencing tokens.
		Orders []engine.Order
		// Rejected counts orders that were rejected for an outdated fencing
		// token.
		Rejected int
		// Runs holds, by session ID, how often each position was computed since
		// it was last truncated. Closed sessions are included.
		Runs map[string][]int
		// Positions is the number of positions computed in all sessions.
		Positions int
	}

	timedReport struct {
		at     time.Time
		report engine.LoadReport
	}
)

// reportInterval is the shortest time between two load reports.
const reportInterval = 50 * time.Millisecond

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.stats
	out.Orders = slices.Clone(out.Orders)
	out.Runs = make(map[string][]int, len(e.stats.Runs))
	for id, runs := range e.stats.Runs {
		out.Runs[id] = slices.Clone(runs)
	}
	return out
}

// State returns the version, layers and adapters that are loaded.
func (e *Engine) State() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.Adapters = slices.Clone(s.Adapters)
	return s
}

func (s *Stats) count(id string, position int) {
	runs := s.Runs[id]
	for len(runs) <= position {
		runs = append(runs, 0)
	}
	runs[position]++
	s.Runs[id] = runs
	s.Positions++
}

func (s *Stats) discard(id string, position int) {
	if runs := s.Runs[id]; len(runs) > position {
		s.Runs[id] = runs[:position]
	}
}

// acceptOrder checks the fencing token of an order and returns how long the
// order takes.
func (e *Engine) acceptOrder(o engine.Order) (time.Duration, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.faults.RefuseOrders:
		return 0, fault.New(fault.Unavailable, "injected fault: orders are refused")
	case !e.cfg.IgnoreFence && o.Fence < e.fence:
		e.stats.Rejected++
		return 0, fault.Newf(fault.Conflict, "fencing token %d is older than %d", o.Fence, e.fence)
	case e.state.Loading:
		return 0, fault.New(fault.Unavailable, "another order is running")
	}
	e.fence = max(e.fence, o.Fence)
	e.stats.Orders = append(e.stats.Orders, o)
	if o.Kind == engine.OrderRole || o.Kind == engine.OrderUnloadAdapter {
		return 0, nil
	}
	e.state.Loading = true
	d := e.cfg.LoadTime
	if e.cfg.LoadBytesPerSecond > 0 {
		d += time.Duration(float64(o.Bytes) / float64(e.cfg.LoadBytesPerSecond) * float64(time.Second))
	}
	return d, nil
}

// applyOrder changes the state as an accepted order demands. Loading a version
// closes all sessions.
func (e *Engine) applyOrder(o engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Loading = false
	switch o.Kind {
	case engine.OrderLoad:
		for _, s := range e.sessions {
			e.closeSession(s)
		}
		e.cache.clear()
		e.state.Version, e.state.Layers, e.state.Adapters = o.Version, o.Layers, nil
	case engine.OrderLoadAdapter:
		if !slices.Contains(e.state.Adapters, o.Adapter) {
			e.state.Adapters = append(slices.Clone(e.state.Adapters), o.Adapter)
		}
	case engine.OrderUnloadAdapter:
		e.state.Adapters = slices.DeleteFunc(slices.Clone(e.state.Adapters), func(a string) bool { return a == o.Adapter })
	case engine.OrderRole:
		e.state.Role = o.Role
	}
}

// runOrder executes an order and returns when it has taken effect.
func (e *Engine) runOrder(o engine.Order) error {
	d, err := e.acceptOrder(o)
	if err != nil {
		return err
	}
	e.sleep(d)
	e.applyOrder(o)
	return nil
}

func (e *Engine) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	done := make(chan struct{})
	e.cfg.Timer.After(d, func() { close(done) })
	<-done
}

// loadReport returns the newest load report that is at least LoadLag old, or the
// oldest one if none is.
func (e *Engine) loadReport() engine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Timer.Now()
	if n := len(e.reports); n == 0 || now.Sub(e.reports[n-1].at) >= reportInterval {
		r := engine.LoadReport{Sessions: len(e.sessions), Waiting: len(e.queue), Running: len(e.batch), CachedBlocks: e.cache.order.Len()}
		e.reports = append(e.reports, timedReport{now, r})
	}
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.LoadLag {
		e.reports = e.reports[1:]
	}
	r := e.reports[0].report
	r.Age = now.Sub(e.reports[0].at)
	return r
}

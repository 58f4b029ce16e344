package fengn

import (
	"slices"
	"time"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
)

type (
	// Stats counts what the engine executed, for tests.
	Stats struct {
		// Orders holds the executed orders with their fencing tokens.
		Orders []engine.Order
		// Rejected counts orders with an old fencing token.
		Rejected int
		// Runs holds, for each session ever opened, how often the layers of
		// each position were run since the position was last truncated.
		Runs map[string][]int
		// Positions counts all positions run.
		Positions int
	}

	timedReport struct {
		at     time.Time
		report engine.LoadReport
	}
)

// reportEvery is the interval at which load reports are sampled.
const reportEvery = 50 * time.Millisecond

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

// State returns what the engine holds.
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

func (s *Stats) forget(id string, position int) {
	if runs := s.Runs[id]; len(runs) > position {
		s.Runs[id] = runs[:position]
	}
}

// begin of an order: checks the fencing token and returns the order's time.
func (e *Engine) accept(o engine.Order) (time.Duration, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.faults.RefuseOrders:
		return 0, fault.New(fault.Unavailable, "orders are refused")
	case !e.cfg.IgnoreFence && o.Fence < e.fence:
		e.stats.Rejected++
		return 0, fault.Newf(fault.Conflict, "fencing token %d is older than %d", o.Fence, e.fence)
	case e.state.Loading:
		return 0, fault.New(fault.Unavailable, "an order is running")
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

// complete puts an accepted order into effect.
func (e *Engine) complete(o engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Loading = false
	switch o.Kind {
	case engine.OrderLoad:
		for _, s := range e.sessions {
			e.drop(s)
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

// order runs an order and returns when it is in effect.
func (e *Engine) order(o engine.Order) error {
	d, err := e.accept(o)
	if err != nil {
		return err
	}
	e.sleep(d)
	e.complete(o)
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

// load returns the newest report that is at least LoadLag old.
func (e *Engine) load() engine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Timer.Now()
	if n := len(e.reports); n == 0 || now.Sub(e.reports[n-1].at) >= reportEvery {
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

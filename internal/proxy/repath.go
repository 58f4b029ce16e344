package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// reportLife is how long a report serves all streams of its target.
	reportLife = 100 * time.Millisecond
	// reportLimit bounds a report; a target answers it without a slot.
	reportLimit = 350 * time.Millisecond
	// checkEvery is the least time between two reports of a target that refuses
	// its part of paths; some more requests are refused meanwhile.
	checkEvery = 300 * time.Millisecond
	// repathLimit bounds the order for a new path.
	repathLimit = 500 * time.Millisecond
)

type (
	// reports shares the reports of targets between streams.
	reports struct {
		mu    sync.Mutex
		calls map[string]*reportCall
		// checked is when targets were last asked because they refused.
		checked map[string]time.Time
	}

	reportCall struct {
		at     time.Time
		done   chan struct{}
		report Report
		err    error
	}
)

func (r *reports) init() {
	r.calls, r.checked = map[string]*reportCall{}, map[string]time.Time{}
}

// due reports whether a target that refused is to be asked again.
func (r *reports) due(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.checked[id]) < checkEvery {
		return false
	}
	r.checked[id] = now
	return true
}

// report returns what a target says of itself, at most reportLife old.
func (s *Server) report(ctx context.Context, t topo.Target) (Report, error) {
	s.reports.mu.Lock()
	c := s.reports.calls[t.ID]
	if c != nil && s.Clock.Now().Sub(c.at) < reportLife {
		s.reports.mu.Unlock()
		select {
		case <-c.done:
			return c.report, c.err
		case <-ctx.Done():
			return Report{}, fault.New(fault.Canceled, "the caller left").WithCause(ctx.Err())
		}
	}
	c = &reportCall{at: s.Clock.Now(), done: make(chan struct{})}
	s.reports.calls[t.ID] = c
	s.reports.mu.Unlock()
	// The report serves other streams too, so it outlives this one.
	call, cancel := timer.WithTimeout(context.Background(), s.Clock, reportLimit)
	defer cancel()
	c.report, c.err = s.Engines.Report(call, t)
	close(c.done)
	return c.report, c.err
}

// check asks a target that refused its part of a path what it holds. The list
// may not know that it has restarted or given layers up, and would send all
// other requests there too.
func (s *stream) check(t topo.Target) {
	if !s.reports.due(t.ID, s.Clock.Now()) {
		return
	}
	r, err := s.report(context.Background(), t)
	if err != nil {
		s.doubtIf(true, t, err)
		return
	}
	if r.Born == t.Born && r.Held == t.Held {
		return
	}
	s.Fleets.Overlay(r.Of(t))
	_ = level.Info(s.Log).Log("event", "TargetDiffers", "target", t.ID, "born", r.Born, "listed", t.Born, "from", r.Held.From,
		"to", r.Held.To, "listedFrom", t.Held.From, "listedTo", t.Held.To, "request", s.ask.ID)
}

// throughDoubted reports whether a target of the path is avoided by now.
func (s *stream) throughDoubted() bool {
	for _, h := range s.hops {
		if s.Ledger.Doubted(h.Target) {
			return true
		}
	}
	return false
}

// suspect asks a target whose stream broke off whether it still lives; one
// broken answer alone is no reason to avoid it.
func (s *stream) suspect(t topo.Target, cause error) {
	if _, err := s.report(context.Background(), t); err != nil {
		s.doubtIf(true, t, fault.New(fault.TargetLost, "a stream broke off and the target does not answer").WithCause(cause))
	}
}

// unstall looks for the reason of a silence. It returns how long to wait for
// the next look, or the failure that ends the stream at its first target.
func (s *stream) unstall(lastMove time.Time) (time.Duration, *fault.Error) {
	first := s.hops[0].Target
	if s.Ledger.Doubted(first) {
		return 0, fault.Newf(fault.TargetLost, "the first target %s fails", first.ID).WithOutcome(s.outcome())
	}
	if !s.throughDoubted() {
		if wait, failure := s.blame(first); wait > 0 || failure != nil {
			return wait, failure
		}
	}
	return s.repath(s.Clock.Now().Sub(lastMove))
}

// blame asks the first target which other the request waits for. It returns a
// wait if the request is not stalled.
func (s *stream) blame(first topo.Target) (time.Duration, *fault.Error) {
	r, err := s.report(s.r.Context(), first)
	if err != nil {
		s.doubtIf(s.r.Context().Err() == nil, first, err)
		return 0, fault.Newf(fault.TargetLost, "the first target %s does not answer", first.ID).WithOutcome(s.outcome()).WithCause(err)
	}
	address, stalled := r.Stalled[s.ask.ID]
	if !stalled {
		return laterQuiet, nil
	}
	for _, h := range s.hops {
		if h.Target.Address == address {
			s.doubtIf(true, h.Target, fault.Newf(fault.TargetLost, "target %s waits for it", first.ID))
			s.avoid[h.Target.ID] = true
			return 0, nil
		}
	}
	return laterQuiet, nil
}

// repath replaces the targets of the path that fail, and keeps the others
// with what they have read.
func (s *stream) repath(silent time.Duration) (time.Duration, *fault.Error) {
	if s.repaths++; s.repaths > maxRepaths {
		return 0, fault.New(fault.TargetLost, "no new path is left to try").WithOutcome(s.outcome())
	}
	hops, err := s.replaced()
	if (err != nil || crossings(hops) > crossings(s.hops)) && s.betterElsewhere() {
		return 0, fault.New(fault.TargetLost, "the path has no substitute in its data centre").WithOutcome(s.outcome())
	}
	if err != nil {
		_ = level.Warn(s.Log).Log("event", "NoNewPath", "request", s.ask.ID, "silent", silent, "err", err)
		return laterQuiet, nil
	}
	ctx, cancel := timer.WithTimeout(s.r.Context(), s.Clock, repathLimit)
	defer cancel()
	err = s.Engines.Repath(ctx, s.hops[0].Target, s.ask.ID, HopsOf(hops))
	f := fault.As(err)
	switch {
	case err == nil:
		_ = level.Info(s.Log).Log("event", "Repath", "request", s.ask.ID, "silent", silent.Round(time.Millisecond),
			"events", s.events, "before", pathText(s.hops), "after", pathText(hops))
		s.Metrics.GetOrCreateCounter("shallotcourse_repaths_total").Inc()
		s.hops = hops
		s.ticket.Move(hops)
		s.path += " >" + pathText(hops)
		return repathQuiet, nil
	case f.Code == fault.Conflict:
		for _, h := range hops {
			if h.Target.Address == f.Field {
				s.avoid[h.Target.ID] = true
			}
		}
		_ = level.Info(s.Log).Log("event", "RepathRefused", "request", s.ask.ID, "at", f.Field, "err", err)
		return time.Millisecond, nil
	case f.Code == fault.NotFound:
		_ = level.Info(s.Log).Log("event", "RepathTooLate", "request", s.ask.ID, "err", err)
		return laterQuiet, nil
	}
	s.doubtIf(s.r.Context().Err() == nil && f.Code == fault.Unavailable, s.hops[0].Target, err)
	return 0, fault.Newf(fault.TargetLost, "the first target %s takes no new path", s.hops[0].Target.ID).WithOutcome(s.outcome()).WithCause(err)
}

// crossings counts the hops from one data centre to another.
func crossings(hops []chain.Hop) int {
	n := 0
	for i := 1; i < len(hops); i++ {
		if hops[i].Target.DataCentre != hops[i-1].Target.DataCentre {
			n++
		}
	}
	return n
}

// betterElsewhere reports whether the stream can go on in another data centre
// from its last event. That reads its tokens again, but moves none of them
// between data centres, as substitutes in another one would.
func (s *stream) betterElsewhere() bool {
	if !s.mayResume() {
		return false
	}
	hops, err := s.choose(false)
	return err == nil && crossings(hops) == 0
}

// replaced returns the path with other targets in place of those that fail.
func (s *stream) replaced() ([]chain.Hop, error) {
	used := map[string]bool{}
	bad := func(h chain.Hop) bool { return s.avoid[h.Target.ID] || s.Ledger.Doubted(h.Target) }
	for _, h := range s.hops {
		if !bad(h) {
			used[h.Target.ID] = true
		}
	}
	candidates := s.candidates()
	var out []chain.Hop
	for i, h := range s.hops {
		if i == 0 || !bad(h) {
			out = append(out, h)
			continue
		}
		dc := out[len(out)-1].Target.DataCentre
		part, err := chain.Choose(s.service.Model, candidates, chain.Ask{
			Tokens: s.tokens, After: dc, Cross: s.Settings.CrossCost, Layers: h.Layers, Used: used, Forced: true,
		})
		if err != nil {
			return nil, err
		}
		for _, p := range part {
			used[p.Target.ID] = true
		}
		out = append(out, part...)
	}
	return out, nil
}

package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// reportMaxAge is how long a status report is shared by the streams of a
	// target.
	reportMaxAge = 100 * time.Millisecond
	// reportTimeout bounds a poll of a target, which answers it without using a
	// slot.
	reportTimeout = 350 * time.Millisecond
	// minCheckInterval is the minimum time between two checks of a target that
	// refuses its part of paths; some more requests are refused meanwhile.
	minCheckInterval = 300 * time.Millisecond
	// repathTimeout bounds the call that changes the path of a request.
	repathTimeout = 500 * time.Millisecond
)

type (
	// reportCache shares the status reports of targets between streams.
	reportCache struct {
		mu    sync.Mutex
		calls map[string]*reportCall
		// lastChecked holds the time of the last check of each target that
		// refused.
		lastChecked map[string]time.Time
	}

	reportCall struct {
		at     time.Time
		done   chan struct{}
		report Report
		err    error
	}
)

func (r *reportCache) init() {
	r.calls, r.lastChecked = map[string]*reportCall{}, map[string]time.Time{}
}

// checkDue reports whether a target that refused is to be checked again, and
// records the check.
func (r *reportCache) checkDue(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastChecked[id]) < minCheckInterval {
		return false
	}
	r.lastChecked[id] = now
	return true
}

// fetchReport returns the status report of a target, at most reportMaxAge old.
func (s *Server) fetchReport(ctx context.Context, t topo.Target) (Report, error) {
	s.reports.mu.Lock()
	c := s.reports.calls[t.ID]
	if c != nil && s.Clock.Now().Sub(c.at) < reportMaxAge {
		s.reports.mu.Unlock()
		select {
		case <-c.done:
			return c.report, c.err
		case <-ctx.Done():
			return Report{}, fault.New(fault.Canceled, "the caller disconnected").WithCause(ctx.Err())
		}
	}
	c = &reportCall{at: s.Clock.Now(), done: make(chan struct{})}
	s.reports.calls[t.ID] = c
	s.reports.mu.Unlock()
	// Other streams share the report, so the poll must not end with this one.
	call, cancel := timer.WithTimeout(context.Background(), s.Clock, reportTimeout)
	defer cancel()
	c.report, c.err = s.Engines.Report(call, t)
	close(c.done)
	return c.report, c.err
}

// checkListing polls a target that refused its part of a path and compares the
// report with the target list. The list may not yet show that the target has
// restarted or unloaded layers, and would direct all other requests to it too.
func (s *stream) checkListing(t topo.Target) {
	if !s.Limits.Standing(t).TakesWork() || !s.reports.checkDue(t.ID, s.Clock.Now()) {
		return
	}
	r, err := s.fetchReport(context.Background(), t)
	if err != nil {
		s.suspectIf(true, t, err)
		return
	}
	if r.Started == t.Started && r.Held == t.Held {
		return
	}
	s.Fleets.Overlay(r.Apply(t))
	_ = level.Info(s.Log).Log("event", "TargetDiffers", "target", t.ID, "born", r.Started, "listed", t.Started, "from", r.Held.From,
		"to", r.Held.To, "listedFrom", t.Held.From, "listedTo", t.Held.To, "request", s.headers.ID)
}

// pathSuspected reports whether a target of the path is suspected.
func (s *stream) pathSuspected() bool {
	for _, h := range s.hops {
		if s.Ledger.Suspected(h.Target) {
			return true
		}
	}
	return false
}

// probe polls a target whose stream broke off and marks it as suspected if it
// does not answer. One broken stream alone is no reason to avoid a target. One that
// leaves is avoided already.
func (s *stream) probe(b brokenRun, cause error) {
	if s.Limits.Standing(b.target).Leaving {
		return
	}
	r, err := s.fetchReport(context.Background(), b.target)
	s.noteProof(b.target, r, err)
	if err != nil {
		s.suspectIf(true, b.target, fault.New(fault.TargetLost, "a stream broke off and the target does not answer a poll").WithCause(cause))
	}
	if b.young {
		s.confirmEnd(b)
	}
}

// handleSilence looks for the cause of a silence and changes the path if a
// target fails. It returns the silence to allow until the next check, or the
// error that ends the stream at its first target.
func (s *stream) handleSilence() (time.Duration, *fault.Error) {
	first := s.hops[0].Target
	if s.Ledger.Suspected(first) {
		return 0, fault.Newf(fault.TargetLost, "the first target %s is suspected", first.ID).WithOutcome(s.outcome())
	}
	if !s.pathSuspected() {
		if wait, failure := s.findStalledTarget(first); wait > 0 || failure != nil {
			return wait, failure
		}
	}
	return s.repath(s.Clock.Now().Sub(s.lastEventAt))
}

// findStalledTarget asks the first target which other target the request waits
// for, and marks that one as suspected. It returns the silence to allow if the
// request is not stalled.
func (s *stream) findStalledTarget(first topo.Target) (time.Duration, *fault.Error) {
	r, err := s.fetchReport(s.r.Context(), first)
	s.noteProof(first, r, err)
	if err != nil {
		s.suspectIf(s.r.Context().Err() == nil, first, err)
		return 0, fault.Newf(fault.TargetLost, "the first target %s does not answer a poll", first.ID).WithOutcome(s.outcome()).WithCause(err)
	}
	address, stalled := r.Stalled[s.headers.ID]
	if !stalled {
		return eventSilence, nil
	}
	for _, h := range s.hops {
		if h.Target.Address == address {
			s.suspectIf(true, h.Target, fault.Newf(fault.TargetLost, "target %s reports a request that waits for this target", first.ID))
			s.excluded[h.Target.ID] = true
			if broken := s.brokenRun(h.Target); broken.young {
				s.background(func() { s.confirmEnd(broken) })
			}
			return 0, nil
		}
	}
	return eventSilence, nil
}

// repath replaces the failing targets of the path; the others keep the state of
// the tokens that they have processed.
func (s *stream) repath(silent time.Duration) (time.Duration, *fault.Error) {
	if h := s.Prompts.Held(s.headers.PromptParts); h != nil && !s.survived {
		return 0, s.heldError(h).WithOutcome(s.outcome())
	}
	if s.repaths++; s.repaths > maxRepaths {
		return 0, fault.New(fault.TargetLost, "the maximum number of path changes is reached").WithOutcome(s.outcome())
	}
	hops, err := s.substitutePath()
	if (err != nil || crossings(hops) > crossings(s.hops)) && s.canResumeElsewhere() {
		return 0, fault.New(fault.TargetLost, "no substitute target in the data centre of the path").WithOutcome(s.outcome())
	}
	if first := s.hops[0].Target; !s.Limits.Standing(first).TakesWork() && s.canResumeElsewhere() {
		return 0, fault.Newf(fault.TargetLost, "the first target %s takes no new path", first.ID).WithOutcome(s.outcome())
	}
	if err != nil {
		_ = level.Warn(s.Log).Log("event", "NoNewPath", "request", s.headers.ID, "silent", silent, "err", err)
		return eventSilence, nil
	}
	substitutes := s.substitutes(hops)
	if err := s.mayReach(substitutes); err != nil {
		s.noteUnsent(s.hops[0].Target, err)
		return eventSilence, nil
	}
	ctx, cancel := timer.WithTimeout(s.r.Context(), s.Clock, repathTimeout)
	defer cancel()
	check := s.checkSend(s.hops[0].Target, substitutes)
	err = s.Engines.Repath(check.context(ctx), s.hops[0].Target, s.headers.ID, HopsOf(hops))
	f := fault.As(err)
	switch {
	case check.failure.Load() != nil:
		s.noteUnsent(s.hops[0].Target, check.failure.Load())
		return eventSilence, nil
	case err == nil:
		_ = level.Info(s.Log).Log("event", "Repath", "request", s.headers.ID, "silent", silent.Round(time.Millisecond),
			"events", s.events, "before", pathText(s.hops), "after", pathText(hops))
		s.Metrics.GetOrCreateCounter("shallotcourse_repaths_total").Inc()
		s.hops = hops
		s.ticket.Move(hops)
		s.pathLog += " >" + pathText(hops)
		return repathSilence, nil
	case f.Code == fault.Conflict:
		s.excludeRefusing(hops, f.Field)
		_ = level.Info(s.Log).Log("event", "RepathRefused", "request", s.headers.ID, "at", f.Field, "err", err)
		return time.Millisecond, nil
	case f.Code == fault.NotFound:
		_ = level.Info(s.Log).Log("event", "RepathTooLate", "request", s.headers.ID, "err", err)
		return eventSilence, nil
	}
	s.suspectIf(s.r.Context().Err() == nil && f.Code == fault.Unavailable, s.hops[0].Target, err)
	return 0, fault.Newf(fault.TargetLost, "changing the path at the first target %s failed", s.hops[0].Target.ID).WithOutcome(s.outcome()).WithCause(err)
}

// substitutes returns the targets of a new path that are not on the current one. The
// others run the request already.
func (s *stream) substitutes(hops []chain.Hop) []topo.Target {
	return slices.DeleteFunc(targetsOf(hops), func(t topo.Target) bool {
		return slices.ContainsFunc(s.hops, func(h chain.Hop) bool { return h.Target.ID == t.ID })
	})
}

// excludeRefusing excludes the target at an address from the next paths. Without
// an address, some substitute has no room; all of them are excluded, since the
// same path would be refused again.
func (s *stream) excludeRefusing(hops []chain.Hop, address string) {
	kept := map[string]bool{}
	for _, h := range s.hops {
		kept[h.Target.ID] = true
	}
	for _, h := range hops {
		if h.Target.Address == address || address == "" && !kept[h.Target.ID] {
			s.excluded[h.Target.ID] = true
		}
	}
}

// crossings returns the number of hops from one data centre to another.
func crossings(hops []chain.Hop) int {
	n := 0
	for i := 1; i < len(hops); i++ {
		if hops[i].Target.DataCentre != hops[i-1].Target.DataCentre {
			n++
		}
	}
	return n
}

// canResumeElsewhere reports whether the stream can resume from its last event
// on a path within one data centre. The targets there process all its tokens
// again, but none of its traffic crosses data centres, as it would with a
// substitute in another one.
func (s *stream) canResumeElsewhere() bool {
	defer s.excludeCurrent()()
	if !s.mayResume() {
		return false
	}
	hops, err := s.choosePath(false)
	return err == nil && crossings(hops) == 0
}

// substitutePath returns the path with other targets in place of the failing
// ones.
func (s *stream) substitutePath() ([]chain.Hop, error) {
	used := map[string]bool{}
	failing := func(h chain.Hop) bool { return s.excluded[h.Target.ID] || s.Ledger.Suspected(h.Target) }
	for _, h := range s.hops {
		if !failing(h) {
			used[h.Target.ID] = true
		}
	}
	candidates := s.candidates()
	var out []chain.Hop
	for i, h := range s.hops {
		if i == 0 || !failing(h) {
			out = append(out, h)
			continue
		}
		dc := out[len(out)-1].Target.DataCentre
		substitutes, err := s.chooseSubstitutes(candidates, chain.Request{
			Tokens: s.tokens, PrevDataCentre: dc, Cross: s.Settings.CrossCost, Layers: h.Layers, Excluded: used,
		})
		if err != nil {
			return nil, err
		}
		for _, p := range substitutes {
			used[p.Target.ID] = true
		}
		out = append(out, substitutes...)
	}
	return out, nil
}

// chooseSubstitutes returns targets with room for the request if there are any.
// Otherwise it ignores capacity, since the ledger counts answers that may never
// get as long as expected.
func (s *stream) chooseSubstitutes(candidates []chain.Candidate, req chain.Request) ([]chain.Hop, error) {
	hops, err := chain.Choose(s.service.Model, candidates, req)
	if fault.Is(err, fault.Overloaded) {
		req.Forced = true
		return chain.Choose(s.service.Model, candidates, req)
	}
	return hops, err
}

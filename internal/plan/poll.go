package plan

import (
	"context"
	"slices"
	"strings"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/ledger"
	"shallotcourse/internal/place"
	"shallotcourse/internal/proxy"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// checkUnresponsive reports whether a suspected target has failed to answer
// maxFailedPolls consecutive polls. If the next poll is due, it starts one in the
// background. The target is polled until it answers or leaves the target list, so
// it remains unresponsive after the suspicion has expired. The caller holds p.mu.
func (p *Planner) checkUnresponsive(ctx context.Context, t topo.Target) bool {
	now := p.BootClock()
	state, known := p.polls[t.ID]
	if known && state.started != t.Started {
		delete(p.polls, t.ID)
		state, known = pollState{}, false
	}
	if !known && !p.Ledger.Suspected(t) {
		return false
	}
	if (!known || now-state.last >= pollInterval) && p.takesWork(t) == nil {
		state.started, state.last = t.Started, now
		p.polls[t.ID] = state
		go p.pollSuspected(ctx, t)
	}
	return state.failed >= maxFailedPolls
}

// pollSuspected polls a suspected target once and ends the suspicion if it
// answers.
func (p *Planner) pollSuspected(ctx context.Context, t topo.Target) {
	call, cancel := timer.WithTimeout(ctx, p.Clock, pollTimeout)
	defer cancel()
	_, err := p.Engines.Report(call, t)
	p.mu.Lock()
	defer p.mu.Unlock()
	state, known := p.polls[t.ID]
	switch {
	case !known || state.started != t.Started || ctx.Err() != nil:
		return
	case err == nil:
		if state.failed >= maxFailedPolls {
			_ = level.Info(p.Log).Log("event", "TargetAlive", "target", t.ID, "born", t.Started, "looks", state.failed)
		}
		delete(p.polls, t.ID)
		p.Ledger.ClearSuspicion(t)
		return
	}
	if state.failed++; state.failed == maxFailedPolls {
		_ = level.Warn(p.Log).Log("event", "TargetDead", "target", t.ID, "born", t.Started, "from", t.Held.From, "to", t.Held.To, "err", err)
	}
	p.polls[t.ID] = state
}

// unresponsiveTargets returns the unresponsive targets, to be sent to all
// gateways.
func (p *Planner) unresponsiveTargets() []ledger.Suspicion {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []ledger.Suspicion
	for id, state := range p.polls {
		if _, listed := p.Fleets.Section().Value().Target(id); !listed {
			delete(p.polls, id)
			continue
		}
		if state.failed >= maxFailedPolls {
			out = append(out, ledger.Suspicion{ID: id, Started: state.started, Left: unresponsiveTTL})
		}
	}
	slices.SortFunc(out, func(a, b ledger.Suspicion) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// pollOrdered polls targets whose loads should have ended, at most maxOrderPolls
// of them. The next call goes on where this one stopped.
func (p *Planner) pollOrdered(ctx context.Context, targets []place.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.BootClock()
	polls := 0
	for i := range targets {
		t := targets[(p.nextPoll+i)%len(targets)]
		o, ok := p.orders[t.ID]
		if !ok || p.takesWork(t.Target) != nil || now < o.pollFrom || now > o.until {
			continue
		}
		if polls++; polls > maxOrderPolls {
			p.nextPoll = (p.nextPoll + i) % len(targets)
			return
		}
		go p.pollOrder(ctx, t.Target, o)
	}
}

// checkPaces polls all targets that hold layers for their pace while streams
// pause too long, and goes on polling the slow ones until they are fast again.
func (p *Planner) checkPaces(ctx context.Context, targets []place.Target) {
	now := p.BootClock()
	p.latePauses += p.Peers.TakeLatePauses()
	if now-p.paceCheckedAt < paceCheckInterval {
		return
	}
	all := p.latePauses >= minLatePauses
	p.latePauses = 0
	for _, t := range targets {
		if p.takesWork(t.Target) != nil {
			continue
		}
		if all && t.Next.Len() > 0 || t.Pace > slowPace {
			p.paceCheckedAt = now
			go p.pollPace(ctx, t.Target)
		}
	}
}

// pollPace polls a target for its pace, and distributes the report to all
// gateways if the target is slow or was slow before.
func (p *Planner) pollPace(ctx context.Context, t topo.Target) {
	call, cancel := timer.WithTimeout(ctx, p.Clock, pollTimeout)
	defer cancel()
	r, err := p.Engines.Report(call, t)
	if err != nil {
		// The streams that wait for the target detect whether it is lost.
		_ = level.Debug(p.Log).Log("event", "ReportFailed", "target", t.ID, "err", err)
		return
	}
	slow, wasSlow := r.Pace > slowPace, t.Pace > slowPace
	if slow != wasSlow {
		_ = level.Info(p.Log).Log("event", "TargetPace", "target", t.ID, "pace", r.Pace, "before", t.Pace)
	}
	if slow || wasSlow {
		p.applyReport(t, r)
	}
}

// pollOrder polls a target whose order is in progress and removes the order once
// it is done.
func (p *Planner) pollOrder(ctx context.Context, t topo.Target, o order) {
	call, cancel := timer.WithTimeout(ctx, p.Clock, reportTimeout)
	defer cancel()
	r, err := p.Engines.Report(call, t)
	if err != nil {
		_ = level.Debug(p.Log).Log("event", "ReportFailed", "target", t.ID, "err", err)
		return
	}
	p.mu.Lock()
	if !r.Loading && r.Held == o.layers && p.orders[t.ID] == o {
		delete(p.orders, t.ID)
		_ = level.Info(p.Log).Log("event", "OrderDone", "target", t.ID, "from", r.Held.From, "to", r.Held.To, "sequence", r.Sequence)
	}
	p.mu.Unlock()
	p.applyReport(t, r)
}

// applyReport keeps a target's report, which the next round applies to this
// gateway's target list and sends to the other gateways.
func (p *Planner) applyReport(t topo.Target, r proxy.Report) {
	next := r.Apply(t)
	p.mu.Lock()
	p.reports[t.ID] = targetReport{next, p.BootClock() + reportTTL}
	p.mu.Unlock()
}

// recentReports returns the targets with recent reports, to be sent to the other
// gateways.
func (p *Planner) recentReports() []topo.Target {
	now := p.BootClock()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []topo.Target
	for id, t := range p.reports {
		if now > t.until {
			delete(p.reports, id)
			continue
		}
		out = append(out, t.target)
	}
	slices.SortFunc(out, func(a, b topo.Target) int { return strings.Compare(a.ID, b.ID) })
	return out
}

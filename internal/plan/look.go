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

// dead reports whether a doubted target gives no reports. It is asked until it
// gives one or leaves the list, so that it stays dead when doubts run out. The
// caller holds the lock.
func (p *Planner) dead(ctx context.Context, t topo.Target) bool {
	now := p.Steady()
	l, known := p.looks[t.ID]
	if known && l.born != t.Born {
		delete(p.looks, t.ID)
		l, known = looks{}, false
	}
	if !known && !p.Ledger.Doubted(t) {
		return false
	}
	if !known || now-l.last >= lookEvery {
		l.born, l.last = t.Born, now
		p.looks[t.ID] = l
		go p.lookAtDoubted(ctx, t)
	}
	return l.failed >= deadLooks
}

func (p *Planner) lookAtDoubted(ctx context.Context, t topo.Target) {
	call, cancel := timer.WithTimeout(ctx, p.Clock, lookLimit)
	defer cancel()
	_, err := p.Engines.Report(call, t)
	p.mu.Lock()
	defer p.mu.Unlock()
	l, known := p.looks[t.ID]
	switch {
	case !known || l.born != t.Born || ctx.Err() != nil:
		return
	case err == nil:
		if l.failed >= deadLooks {
			_ = level.Info(p.Log).Log("event", "TargetAlive", "target", t.ID, "born", t.Born, "looks", l.failed)
		}
		delete(p.looks, t.ID)
		p.Ledger.Worked(t)
		return
	}
	if l.failed++; l.failed == deadLooks {
		_ = level.Warn(p.Log).Log("event", "TargetDead", "target", t.ID, "born", t.Born, "from", t.Held.From, "to", t.Held.To, "err", err)
	}
	p.looks[t.ID] = l
}

// deaths returns the targets that are dead, for all gateways.
func (p *Planner) deaths() []ledger.Doubt {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []ledger.Doubt
	for id, l := range p.looks {
		if _, listed := p.Fleets.Section().Value().Target(id); !listed {
			delete(p.looks, id)
			continue
		}
		if l.failed >= deadLooks {
			out = append(out, ledger.Doubt{ID: id, Born: l.born, Left: deadLife})
		}
	}
	slices.SortFunc(out, func(a, b ledger.Doubt) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// follow asks the targets with orders how far they are.
func (p *Planner) follow(ctx context.Context, targets []place.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range targets {
		o, ok := p.orders[t.ID]
		if !ok || p.Steady() > o.until {
			continue
		}
		go p.look(ctx, t.Target, o)
	}
}

// survey asks the targets for their pace while streams pause, and goes on with
// those that are slow until they are not.
func (p *Planner) survey(ctx context.Context, targets []place.Target) {
	now := p.Steady()
	p.late += p.Peers.TakeLate()
	if now-p.surveyed < surveyEvery {
		return
	}
	all := p.late >= lateLeast
	p.late = 0
	for _, t := range targets {
		if all && t.Next.Len() > 0 || t.Pace > slowPace {
			p.surveyed = now
			go p.lookAtPace(ctx, t.Target)
		}
	}
}

// lookAtPace tells all gateways when the pace of a target has changed.
func (p *Planner) lookAtPace(ctx context.Context, t topo.Target) {
	call, cancel := timer.WithTimeout(ctx, p.Clock, lookLimit)
	defer cancel()
	r, err := p.Engines.Report(call, t)
	if err != nil {
		// The streams that wait for the target find out whether it is lost.
		_ = level.Debug(p.Log).Log("event", "ReportFailed", "target", t.ID, "err", err)
		return
	}
	slow, was := r.Pace > slowPace, t.Pace > slowPace
	if slow != was {
		_ = level.Info(p.Log).Log("event", "TargetPace", "target", t.ID, "pace", r.Pace, "before", t.Pace)
	}
	if slow || was {
		p.hear(t, r)
	}
}

// look takes over what a target with an order says of itself.
func (p *Planner) look(ctx context.Context, t topo.Target, o order) {
	call, cancel := timer.WithTimeout(ctx, p.Clock, reportLimit)
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
	p.hear(t, r)
}

// hear takes over what a target says of itself.
func (p *Planner) hear(t topo.Target, r proxy.Report) {
	next := r.Of(t)
	p.mu.Lock()
	p.told[t.ID] = told{next, p.Steady() + tellFor}
	p.mu.Unlock()
	p.Fleets.Overlay(next)
}

// telling returns what targets said lately, for the other gateways.
func (p *Planner) telling() []topo.Target {
	now := p.Steady()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []topo.Target
	for id, t := range p.told {
		if now > t.until {
			delete(p.told, id)
			continue
		}
		out = append(out, t.target)
	}
	slices.SortFunc(out, func(a, b topo.Target) int { return strings.Compare(a.ID, b.ID) })
	return out
}

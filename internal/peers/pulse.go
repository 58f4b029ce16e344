package peers

import (
	"github.com/go-kit/log/level"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/topo"
	"shallotcourse/internal/wire"
)

// pulse returns what this gateway tells of itself.
func (p *Peers) pulse() wire.Pulse {
	out := wire.Pulse{Use: uses(p.Ledger.Own()), Doubts: p.doubts(), Repeats: counts(p.Repeats.Own())}
	out.Late = p.Ledger.TakeLate()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late += out.Late
	out.Term, out.Targets = p.term, p.targets
	for _, d := range p.deaths {
		out.Dead = append(out.Dead, wire.Doubt(d))
	}
	return out
}

func (p *Peers) doubts() []wire.Doubt {
	var out []wire.Doubt
	for _, d := range p.Ledger.Doubts() {
		out = append(out, wire.Doubt(d))
	}
	return out
}

func counts(of map[string]limit.RepeatCount) map[string]wire.RepeatCount {
	out := make(map[string]wire.RepeatCount, len(of))
	for service, c := range of {
		out[service] = wire.RepeatCount(c)
	}
	return out
}

func uses(of map[string]chain.Load) map[string]wire.Use {
	out := make(map[string]wire.Use, len(of))
	for id, l := range of {
		out[id] = wire.Use(l)
	}
	return out
}

func loads(of map[string]wire.Use) map[string]chain.Load {
	out := make(map[string]chain.Load, len(of))
	for id, u := range of {
		out[id] = chain.Load(u)
	}
	return out
}

// hearPulse takes over what a gateway tells of itself.
func (p *Peers) hearPulse(from wire.Hello, m wire.Pulse) {
	p.Ledger.Hear(from.Instance, loads(m.Use))
	p.hearLife(from.Incarnation, wire.Life{Counts: m.Repeats})
	p.hearDoubts(from.Instance, m.Doubts)
	p.mu.Lock()
	p.late += m.Late
	p.lateGroup += m.Late
	p.heard[from.Instance] = heard{at: p.Steady(), incarnation: from.Incarnation, pulse: m}
	p.mu.Unlock()
	p.hearPlanner(m.Term, m.Targets, m.Dead)
}

func (p *Peers) hearLife(incarnation string, l wire.Life) {
	if incarnation == p.Incarnation {
		return
	}
	of := make(map[string]limit.RepeatCount, len(l.Counts))
	for service, c := range l.Counts {
		of[service] = limit.RepeatCount(c)
	}
	p.Repeats.Hear(incarnation, of, l.Age)
}

// hearDoubts enters the doubts of others. A leader passes new ones on at once.
func (p *Peers) hearDoubts(from string, doubts []wire.Doubt) {
	var fresh []wire.Doubt
	for _, d := range doubts {
		if p.Ledger.HearDoubt(ledger.Doubt(d)) {
			fresh = append(fresh, d)
			_ = level.Info(p.Log).Log("event", "TargetDoubted", "target", d.ID, "from", from, "left", d.Left)
		}
	}
	if fresh == nil || !p.Arrangement().Leads {
		return
	}
	for instance, l := range p.linked() {
		if instance != from {
			p.send(l, wire.Alarm{Doubts: fresh})
		}
	}
}

// hearPlanner takes over what a planner tells, directly or through a leader.
func (p *Peers) hearPlanner(term uint64, targets []topo.Target, deaths []wire.Doubt) {
	for _, t := range targets {
		p.Fleets.Overlay(t)
	}
	if term == 0 {
		return
	}
	dead := make([]ledger.Doubt, len(deaths))
	for i, d := range deaths {
		dead[i] = ledger.Doubt(d)
	}
	p.Ledger.HearDead(dead)
	p.mu.Lock()
	defer p.mu.Unlock()
	if term >= p.planner {
		p.planner, p.plannerAt = term, p.Steady()
		p.passed, p.passedAt = wire.Pulse{Term: term, Targets: targets, Dead: deaths}, p.plannerAt
	}
}

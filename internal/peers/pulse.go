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
func (p *Peers) pulse() wire.GatewayState {
	out := wire.GatewayState{Loads: uses(p.Ledger.Own()), Suspicions: p.doubts(), Retries: counts(p.Repeats.Own())}
	out.LatePauses = p.Ledger.TakeLate()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late += out.LatePauses
	out.Term, out.Targets = p.term, p.targets
	for _, d := range p.deaths {
		out.Unresponsive = append(out.Unresponsive, wire.Suspicion(d))
	}
	return out
}

func (p *Peers) doubts() []wire.Suspicion {
	var out []wire.Suspicion
	for _, d := range p.Ledger.Doubts() {
		out = append(out, wire.Suspicion(d))
	}
	return out
}

func counts(of map[string]limit.RepeatCount) map[string]wire.RetryCount {
	out := make(map[string]wire.RetryCount, len(of))
	for service, c := range of {
		out[service] = wire.RetryCount(c)
	}
	return out
}

func uses(of map[string]chain.Load) map[string]wire.TargetLoad {
	out := make(map[string]wire.TargetLoad, len(of))
	for id, l := range of {
		out[id] = wire.TargetLoad(l)
	}
	return out
}

func loads(of map[string]wire.TargetLoad) map[string]chain.Load {
	out := make(map[string]chain.Load, len(of))
	for id, u := range of {
		out[id] = chain.Load(u)
	}
	return out
}

// hearPulse takes over what a gateway tells of itself.
func (p *Peers) hearPulse(from wire.Hello, m wire.GatewayState) {
	p.Ledger.Hear(from.Instance, loads(m.Loads))
	p.hearLife(from.Incarnation, wire.IncarnationCounts{Counts: m.Retries})
	p.hearDoubts(from.Instance, m.Suspicions)
	p.mu.Lock()
	p.late += m.LatePauses
	p.lateGroup += m.LatePauses
	p.heard[from.Instance] = heard{at: p.Steady(), incarnation: from.Incarnation, pulse: m}
	p.mu.Unlock()
	p.hearPlanner(m.Term, m.Targets, m.Unresponsive)
}

func (p *Peers) hearLife(incarnation string, l wire.IncarnationCounts) {
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
func (p *Peers) hearDoubts(from string, doubts []wire.Suspicion) {
	var fresh []wire.Suspicion
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
			p.send(l, wire.SuspicionAlert{Suspicions: fresh})
		}
	}
}

// hearPlanner takes over what a planner tells, directly or through a leader.
func (p *Peers) hearPlanner(term uint64, targets []topo.Target, deaths []wire.Suspicion) {
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
		p.passed, p.passedAt = wire.GatewayState{Term: term, Targets: targets, Unresponsive: deaths}, p.plannerAt
	}
}

package peers

import (
	"github.com/go-kit/log/level"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/link"
	"shallotcourse/internal/topo"
	"shallotcourse/internal/wire"
)

// ownState returns the state of this gateway.
func (p *Peers) ownState() wire.GatewayState {
	out := wire.GatewayState{Loads: targetLoads(p.Ledger.OwnLoads()), Suspicions: p.suspicions(), Retries: retryCounts(p.Retries.LocalCounts())}
	out.LatePauses, out.Config = p.Ledger.TakeLatePauses(), p.Configs.Section().Value().Version
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latePauses += out.LatePauses
	out.Term, out.TermEra, out.Targets = p.ownTerm.Number, p.ownTerm.Era, p.ownTargets
	for _, s := range p.ownUnresponsive {
		out.Unresponsive = append(out.Unresponsive, wire.Suspicion(s))
	}
	return out
}

func (p *Peers) suspicions() []wire.Suspicion {
	var out []wire.Suspicion
	for _, s := range p.Ledger.Suspicions() {
		out = append(out, wire.Suspicion(s))
	}
	return out
}

func retryCounts(in map[string]limit.RetryCount) map[string]wire.RetryCount {
	out := make(map[string]wire.RetryCount, len(in))
	for service, c := range in {
		out[service] = wire.RetryCount(c)
	}
	return out
}

func targetLoads(in map[string]chain.Load) map[string]wire.TargetLoad {
	out := make(map[string]wire.TargetLoad, len(in))
	for id, l := range in {
		out[id] = wire.TargetLoad(l)
	}
	return out
}

func chainLoads(in map[string]wire.TargetLoad) map[string]chain.Load {
	out := make(map[string]chain.Load, len(in))
	for id, l := range in {
		out[id] = chain.Load(l)
	}
	return out
}

// receiveGatewayState records the state of another gateway.
func (p *Peers) receiveGatewayState(peer link.Peer, m wire.GatewayState) {
	from := peer.Hello()
	p.receiveConfigVersion(peer, m.Config)
	p.Ledger.SetPeerLoads(from.Instance, chainLoads(m.Loads))
	p.receiveCounts(from.Incarnation, wire.IncarnationCounts{Counts: m.Retries})
	p.receiveSuspicions(from.Instance, m.Suspicions)
	p.mu.Lock()
	p.latePauses += m.LatePauses
	p.unsentLatePauses += m.LatePauses
	p.lastReceived[from.Instance] = received{at: p.BootClock(), incarnation: from.Incarnation, state: m}
	p.mu.Unlock()
	p.receivePlannerUpdate(m.PlannerTerm(), m.Targets, m.Unresponsive)
}

func (p *Peers) receiveCounts(incarnation string, l wire.IncarnationCounts) {
	if incarnation == p.Incarnation {
		return
	}
	counts := make(map[string]limit.RetryCount, len(l.Counts))
	for service, c := range l.Counts {
		counts[service] = limit.RetryCount(c)
	}
	p.Retries.StorePeerCounts(incarnation, counts, l.Age)
}

// receiveSuspicions records the suspicions of another gateway. A leader
// forwards new ones at once.
func (p *Peers) receiveSuspicions(from string, suspicions []wire.Suspicion) {
	var fresh []wire.Suspicion
	for _, s := range suspicions {
		if p.Ledger.AddPeerSuspicion(ledger.Suspicion(s)) {
			fresh = append(fresh, s)
			_ = level.Info(p.Log).Log("event", "TargetDoubted", "target", s.ID, "from", from, "left", s.Left)
		}
	}
	if fresh == nil || !p.Topology().Leads {
		return
	}
	for instance, l := range p.links() {
		if instance != from {
			p.send(l, wire.SuspicionAlert{Suspicions: fresh})
		}
	}
}

// receivePlannerUpdate records an update of the planner, received directly or
// through a leader.
func (p *Peers) receivePlannerUpdate(term topo.Version, targets []topo.Target, unresponsive []wire.Suspicion) {
	p.Fleets.Overlay(targets...)
	if term.IsZero() {
		return
	}
	suspects := make([]ledger.Suspicion, len(unresponsive))
	for i, s := range unresponsive {
		suspects[i] = ledger.Suspicion(s)
	}
	p.Ledger.SetUnresponsive(suspects)
	p.mu.Lock()
	defer p.mu.Unlock()
	if term.Compare(p.otherTerm) >= 0 {
		p.otherTerm, p.otherTermAt = term, p.BootClock()
		p.plannerUpdate, p.plannerUpdateAt = wire.GatewayState{Term: term.Number, TermEra: term.Era, Targets: targets, Unresponsive: unresponsive}, p.otherTermAt
	}
}

package peers

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/link"
	"shallotcourse/internal/wire"
)

// updateTopology adapts the topology and the links to the list of
// gateways and to which of them are reachable.
func (p *Peers) updateTopology(links map[string]link.Peer) {
	members, version := p.Members.List()
	if version == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.BootClock()
	p.updateReachability(links, now)
	followed := false
	for instance, last := range p.lastReceived {
		if now-last.at < stateTimeout {
			followed = followed || last.state.Follow
			continue
		}
		if last.state.Follow {
			// The follower has switched to another leader, whose states contain
			// its loads.
			p.Ledger.RemovePeerLoads(instance)
		}
		delete(p.lastReceived, instance)
	}
	before := p.topology
	p.topology = topologyOf(p.Self, members, func(instance string) bool { return p.isDown(instance, now) }, followed)
	p.updateLinks(before.Links, p.topology.Links)
	p.updateStartDials(now, members)
	if before.Mesh == p.topology.Mesh && before.Leader == p.topology.Leader && before.Leads == p.topology.Leads {
		return
	}
	p.topologyChangedAt = now
	p.sentLoads = [2]map[string]wire.TargetLoad{}
	if !p.topology.Mesh && !before.Mesh {
		// The new leader's sum covers all gateways; keeping the former leader's
		// would count loads twice.
		p.Ledger.RemovePeerLoads(before.Leader)
	}
	_ = level.Info(p.Log).Log("event", "Arranged", "mesh", p.topology.Mesh, "group", p.topology.Group,
		"leader", p.topology.Leader, "leads", p.topology.Leads, "before", before.Leader, "gateways", 1+len(members), "links", len(p.topology.Links))
}

// updateReachability records which of the gateways that this one dials have no
// link, and whether the leader has stopped sending.
func (p *Peers) updateReachability(links map[string]link.Peer, now time.Duration) {
	wanted := map[string]bool{}
	for _, m := range p.topology.Links {
		wanted[m.Instance] = true
		if _, ok := links[m.Instance]; ok {
			delete(p.unlinkedSince, m.Instance)
		} else if _, ok := p.unlinkedSince[m.Instance]; !ok {
			p.unlinkedSince[m.Instance] = now
		}
	}
	for instance := range p.unlinkedSince {
		if !wanted[instance] {
			delete(p.unlinkedSince, instance)
		}
	}
	for instance, until := range p.avoidedUntil {
		if now > until {
			delete(p.avoidedUntil, instance)
		}
	}
	if leader := p.topology.Leader; !p.topology.Mesh && !p.topology.Leads && now-max(p.topologyChangedAt, p.lastReceived[leader].at) > leaderTimeout {
		_ = level.Info(p.Log).Log("event", "LeaderSilent", "leader", leader, "silent", now-p.lastReceived[leader].at)
		p.avoidedUntil[leader] = now + leaderAvoidance
	}
}

func (p *Peers) isDown(instance string, now time.Duration) bool {
	since, ok := p.unlinkedSince[instance]
	_, avoided := p.avoidedUntil[instance]
	return avoided || ok && now-since >= linkDownTimeout
}

func (p *Peers) updateLinks(before, after []Member) {
	dialled := map[string]int{}
	for _, m := range before {
		dialled[m.Address]++
	}
	for _, m := range after {
		if dialled[m.Address]--; dialled[m.Address] < 0 {
			p.Links.Want(m.Address)
		}
	}
	for address, n := range dialled {
		for range n {
			p.Links.Unwant(address)
		}
	}
}

// mayPrune reports whether this gateway deletes the row of another one that has
// stopped. In groups only leaders do so: for the members of their own group and
// for the gateways that they dial.
func (p *Peers) mayPrune(other Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.topology.Mesh || p.topology.Leads && (slices.Contains(p.topology.Links, other) || slices.Contains(p.topology.Members, other))
}

// sendToLeader sends the state of this gateway to its leader.
func (p *Peers) sendToLeader(links map[string]link.Peer, leader string) {
	l, ok := links[leader]
	if !ok {
		return
	}
	m := p.ownState()
	m.Follow = true
	p.mu.Lock()
	p.sentLoads = [2]map[string]wire.TargetLoad{p.sentLoads[1], m.Loads}
	p.mu.Unlock()
	p.send(l, m)
}

// sendAsLeader sends the state of the group to the other leaders, and the state
// of all gateways to the followers.
func (p *Peers) sendAsLeader(links map[string]link.Peer) {
	own, counts := p.ownState(), p.incarnationCounts()
	followers, leaders := p.followersAndLeaders()
	group := p.groupState(own, counts)
	p.Links.Broadcast(p.globalState(group, counts), func(hello wire.Hello) bool { return followers[hello.Instance] })
	for instance, l := range links {
		if leaders[instance] {
			p.send(l, group)
		}
	}
}

// followersAndLeaders returns the instances of this gateway's followers and of
// the other leaders.
func (p *Peers) followersAndLeaders() (followers, leaders map[string]bool) {
	followers, leaders = map[string]bool{}, map[string]bool{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.topology.Links {
		leaders[m.Instance] = true
	}
	for instance, last := range p.lastReceived {
		switch {
		case last.state.Follow:
			followers[instance] = true
			delete(leaders, instance)
		case last.group != "":
			leaders[instance] = true
		}
	}
	return followers, leaders
}

// incarnationCounts returns the retry counts of all known incarnations, or nil
// in rounds that do not send them.
func (p *Peers) incarnationCounts() map[string]wire.IncarnationCounts {
	if p.groupStateRounds++; p.groupStateRounds%groupStatesPerCounts != 0 {
		return nil
	}
	out := map[string]wire.IncarnationCounts{p.Incarnation: {Counts: retryCounts(p.Retries.LocalCounts())}}
	for incarnation, l := range p.Retries.PeerCounts() {
		out[incarnation] = wire.IncarnationCounts{Age: l.Age, Counts: retryCounts(l.Counts)}
	}
	return out
}

// groupState returns the sum of the states of this gateway and its followers.
func (p *Peers) groupState(own wire.GatewayState, counts map[string]wire.IncarnationCounts) wire.GroupState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := wire.GroupState{
		Group: p.topology.Group, Config: own.Config, Loads: own.Loads, Suspicions: own.Suspicions, LatePauses: own.LatePauses + p.unsentLatePauses,
		Term: own.Term, TermEra: own.TermEra, Targets: own.Targets, Unresponsive: own.Unresponsive,
	}
	p.unsentLatePauses = 0
	if counts != nil {
		out.Incarnations = map[string]wire.IncarnationCounts{p.Incarnation: counts[p.Incarnation]}
	}
	for _, last := range p.lastReceived {
		if !last.state.Follow {
			continue
		}
		for id, l := range last.state.Loads {
			out.Loads[id] = wire.TargetLoad(chain.Load(out.Loads[id]).Plus(chain.Load(l)))
		}
		if l, ok := counts[last.incarnation]; ok {
			out.Incarnations[last.incarnation] = l
		}
		if last.state.PlannerTerm().Compare(out.PlannerTerm()) > 0 {
			out.Term, out.TermEra = last.state.Term, last.state.TermEra
			out.Targets, out.Unresponsive = last.state.Targets, last.state.Unresponsive
		}
	}
	return out
}

// globalState returns the sum of the states of all gateways, for followers.
func (p *Peers) globalState(group wire.GroupState, counts map[string]wire.IncarnationCounts) wire.GroupState {
	out := group
	out.AllGateways, out.Incarnations, out.Loads = true, counts, targetLoads(p.Ledger.TotalLoads())
	_, out.Members = p.Members.List()
	out.Config = p.Configs.Section().Value().Version
	last := p.Fleets.LastChange()
	out.List, out.ListEra = last.Number, last.Era
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.BootClock()-p.plannerUpdateAt < plannerUpdateTTL && p.plannerUpdate.PlannerTerm().Compare(out.PlannerTerm()) > 0 {
		out.Term, out.TermEra = p.plannerUpdate.Term, p.plannerUpdate.TermEra
		out.Targets, out.Unresponsive = p.plannerUpdate.Targets, p.plannerUpdate.Unresponsive
	}
	return out
}

// receiveGroupState records the state that a leader sent.
func (p *Peers) receiveGroupState(peer link.Peer, m wire.GroupState) {
	from := peer.Hello()
	if !m.AllGateways {
		p.receiveConfigVersion(peer, m.Config)
	}
	p.mu.Lock()
	now := p.BootClock()
	if m.AllGateways && (p.topology.Leads || p.topology.Mesh || from.Instance != p.topology.Leader) {
		// Only followers of the sender use the sum, and this gateway is none
		// any more.
		p.mu.Unlock()
		return
	}
	p.lastReceived[from.Instance] = received{at: now, incarnation: from.Incarnation, group: m.Group, allGateways: m.AllGateways}
	loads := chainLoads(m.Loads)
	if m.AllGateways {
		// The sum contains this gateway's own loads, presumably those of the
		// second-to-last state that it sent.
		for id, l := range p.sentLoads[0] {
			loads[id] = loads[id].Minus(chain.Load(l))
		}
		p.Ledger.SetAllPeerLoads(from.Instance, loads)
	} else {
		p.Ledger.SetPeerLoads(from.Instance, loads)
		p.latePauses += m.LatePauses
		for instance, last := range p.lastReceived {
			if last.group == m.Group && instance != from.Instance && now-last.at > 2*stateInterval {
				// The group has a new leader, whose sum replaces that of the
				// former one.
				p.Ledger.RemovePeerLoads(instance)
				delete(p.lastReceived, instance)
			}
		}
	}
	p.mu.Unlock()
	for incarnation, l := range m.Incarnations {
		p.receiveCounts(incarnation, l)
	}
	p.receiveSuspicions(from.Instance, m.Suspicions)
	p.receivePlannerUpdate(m.PlannerTerm(), m.Targets, m.Unresponsive)
	if m.AllGateways {
		p.receiveLeaderVersions(m)
	}
}

package peers

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/link"
	"shallotcourse/internal/wire"
)

// rearrange brings the links in line with the list of gateways and with which
// of them answer.
func (p *Peers) rearrange(links map[string]link.Peer) {
	members, version := p.Members.List()
	if version == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Steady()
	p.watchLinks(links, now)
	followed := false
	for instance, h := range p.heard {
		if now-h.at < followerLife {
			followed = followed || h.pulse.Follow
			continue
		}
		if h.pulse.Follow {
			// It tells another leader now.
			p.Ledger.Forget(instance)
		}
		delete(p.heard, instance)
	}
	before := p.at
	p.at = arrange(p.Self, members, func(instance string) bool { return p.down(instance, now) }, followed)
	p.relink(before.Links, p.at.Links)
	if before.Mesh == p.at.Mesh && before.Leader == p.at.Leader && before.Leads == p.at.Leads {
		return
	}
	p.since = now
	p.sent = [2]map[string]wire.TargetLoad{}
	if !p.at.Mesh && !before.Mesh {
		// A leader tells of all; what another one told would count twice.
		p.Ledger.Forget(before.Leader)
	}
	_ = level.Info(p.Log).Log("event", "Arranged", "mesh", p.at.Mesh, "group", p.at.Group, "leader", p.at.Leader, "leads", p.at.Leads,
		"before", before.Leader, "gateways", 1+len(members), "links", len(p.at.Links))
}

// watchLinks notes which gateways of the arrangement have no link, and whether
// the leader has fallen silent.
func (p *Peers) watchLinks(links map[string]link.Peer, now time.Duration) {
	wanted := map[string]bool{}
	for _, m := range p.at.Links {
		wanted[m.Instance] = true
		if _, ok := links[m.Instance]; ok {
			delete(p.unlinked, m.Instance)
		} else if _, ok := p.unlinked[m.Instance]; !ok {
			p.unlinked[m.Instance] = now
		}
	}
	for instance := range p.unlinked {
		if !wanted[instance] {
			delete(p.unlinked, instance)
		}
	}
	for instance, until := range p.shunned {
		if now > until {
			delete(p.shunned, instance)
		}
	}
	if leader := p.at.Leader; !p.at.Mesh && !p.at.Leads && now-max(p.since, p.heard[leader].at) > leaderSilent {
		_ = level.Info(p.Log).Log("event", "LeaderSilent", "leader", leader, "silent", now-p.heard[leader].at)
		p.shunned[leader] = now + leaderShunned
	}
}

func (p *Peers) down(instance string, now time.Duration) bool {
	since, ok := p.unlinked[instance]
	_, shunned := p.shunned[instance]
	return shunned || ok && now-since >= unlinkedFor
}

func (p *Peers) relink(before, after []Member) {
	had := map[string]int{}
	for _, m := range before {
		had[m.Address]++
	}
	for _, m := range after {
		if had[m.Address]--; had[m.Address] < 0 {
			p.Links.Want(m.Address)
		}
	}
	for address, n := range had {
		for range n {
			p.Links.Unwant(address)
		}
	}
}

// duty reports whether this gateway deletes the row of another one that is
// gone: leaders do so for their groups and for leaders that they miss.
func (p *Peers) duty(other Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at.Mesh || p.at.Leads && (slices.Contains(p.at.Links, other) || slices.Contains(p.at.Members, other))
}

// follow tells the leader what this gateway does.
func (p *Peers) follow(links map[string]link.Peer, leader string) {
	l, ok := links[leader]
	if !ok {
		return
	}
	m := p.pulse()
	m.Follow = true
	p.mu.Lock()
	p.sent = [2]map[string]wire.TargetLoad{p.sent[1], m.Loads}
	p.mu.Unlock()
	p.send(l, m)
}

// lead tells the other leaders of the group, and the followers of all.
func (p *Peers) lead(links map[string]link.Peer) {
	own, lives := p.pulse(), p.lives()
	followers, leaders := p.audience()
	group := p.digest(own, lives)
	p.Links.Broadcast(p.digestOfAll(group, lives), func(h wire.Hello) bool { return followers[h.Instance] })
	for instance, l := range links {
		if leaders[instance] {
			p.send(l, group)
		}
	}
}

// audience returns the followers of this gateway and the other leaders.
func (p *Peers) audience() (followers, leaders map[string]bool) {
	followers, leaders = map[string]bool{}, map[string]bool{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.at.Links {
		leaders[m.Instance] = true
	}
	for instance, h := range p.heard {
		switch {
		case h.pulse.Follow:
			followers[instance] = true
			delete(leaders, instance)
		case h.group != "":
			leaders[instance] = true
		}
	}
	return followers, leaders
}

// lives returns the counts of all known lifetimes, or nil if it is not time to
// tell them.
func (p *Peers) lives() map[string]wire.IncarnationCounts {
	if p.digests++; p.digests%livesEvery != 0 {
		return nil
	}
	out := map[string]wire.IncarnationCounts{p.Incarnation: {Counts: counts(p.Repeats.Own())}}
	for incarnation, l := range p.Repeats.Lives() {
		out[incarnation] = wire.IncarnationCounts{Age: l.Age, Counts: counts(l.Counts)}
	}
	return out
}

// digest returns the sum of the group.
func (p *Peers) digest(own wire.GatewayState, lives map[string]wire.IncarnationCounts) wire.GroupState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := wire.GroupState{
		Group: p.at.Group, Loads: own.Loads, Suspicions: own.Suspicions, LatePauses: own.LatePauses + p.lateGroup, Term: own.Term, Targets: own.Targets, Unresponsive: own.Unresponsive,
	}
	p.lateGroup = 0
	if lives != nil {
		out.Incarnations = map[string]wire.IncarnationCounts{p.Incarnation: lives[p.Incarnation]}
	}
	for _, h := range p.heard {
		if !h.pulse.Follow {
			continue
		}
		for id, u := range h.pulse.Loads {
			out.Loads[id] = wire.TargetLoad(chain.Load(out.Loads[id]).Plus(chain.Load(u)))
		}
		if l, ok := lives[h.incarnation]; ok {
			out.Incarnations[h.incarnation] = l
		}
		if h.pulse.Term > out.Term {
			out.Term, out.Targets, out.Unresponsive = h.pulse.Term, h.pulse.Targets, h.pulse.Unresponsive
		}
	}
	return out
}

// digestOfAll returns the sum of all gateways, for followers.
func (p *Peers) digestOfAll(group wire.GroupState, lives map[string]wire.IncarnationCounts) wire.GroupState {
	out := group
	out.AllGateways, out.Incarnations, out.Loads = true, lives, uses(p.Ledger.Loads())
	_, out.Members = p.Members.List()
	out.Config, out.List = p.Configs.Section().Value().Version, p.Fleets.Newest()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Steady()-p.passedAt < planningLife && p.passed.Term > out.Term {
		out.Term, out.Targets, out.Unresponsive = p.passed.Term, p.passed.Targets, p.passed.Unresponsive
	}
	return out
}

// hearDigest takes over what a leader tells.
func (p *Peers) hearDigest(from wire.Hello, m wire.GroupState) {
	p.mu.Lock()
	now := p.Steady()
	if m.AllGateways && (p.at.Leads || p.at.Mesh || from.Instance != p.at.Leader) {
		// Meant for a follower that this gateway is no longer.
		p.mu.Unlock()
		return
	}
	p.heard[from.Instance] = heard{at: now, incarnation: from.Incarnation, group: m.Group, leader: m.AllGateways}
	use := loads(m.Loads)
	if m.AllGateways {
		// What this gateway told is part of the sum.
		for id, u := range p.sent[0] {
			use[id] = use[id].Minus(chain.Load(u))
		}
		p.Ledger.HearAll(from.Instance, use)
	} else {
		p.Ledger.Hear(from.Instance, use)
		p.late += m.LatePauses
		for instance, h := range p.heard {
			if h.group == m.Group && instance != from.Instance && now-h.at > 2*pulseEvery {
				// The group has a new leader, which tells of it now.
				p.Ledger.Forget(instance)
				delete(p.heard, instance)
			}
		}
	}
	p.mu.Unlock()
	for incarnation, l := range m.Incarnations {
		p.hearLife(incarnation, l)
	}
	p.hearDoubts(from.Instance, m.Suspicions)
	p.hearPlanner(m.Term, m.Targets, m.Unresponsive)
	if m.AllGateways {
		p.notice(m)
	}
}

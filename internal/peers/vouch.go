package peers

import (
	"slices"
	"strings"
	"time"

	"shallotcourse/internal/link"
	"shallotcourse/internal/wire"
)

const (
	// vouchFrom is the age of the configuration from which other gateways are
	// asked: two waits at the store and a little more. It leaves them a second
	// to answer before keys are refused.
	vouchFrom = 3300 * time.Millisecond
	// vouchTargetsFrom is the same for the list of targets.
	vouchTargetsFrom = 4500 * time.Millisecond
	// vouchPeers is how many gateways are asked at once.
	vouchPeers = 3
	// vouchLife bounds the wait for an answer.
	vouchLife = 2 * time.Second
	// followEvery is the time between two questions to the leader, followPause
	// the least time if the leader has told of something new. With the leader's
	// own wait at the store, a follower's configuration stays younger than the
	// age from which it reads the store itself.
	followEvery = 600 * time.Millisecond
	followPause = 150 * time.Millisecond
)

// questions is what is asked of other gateways.
type questions struct {
	// asked holds the times of open questions by their echo.
	asked map[uint64]time.Duration
	echo  uint64
	last  time.Duration
	// told holds the versions that the leader told last.
	told wire.GroupState
}

// ask sends a question to the leader, or to some gateways if the store does not
// answer.
func (p *Peers) ask(links map[string]link.Peer) {
	configAge, listAge := p.Configs.Age(), p.Fleets.Age()
	if p.Follows() {
		p.askLeader(links)
	}
	if configAge < vouchFrom && listAge < vouchTargetsFrom {
		return
	}
	names := make([]string, 0, len(links))
	for instance := range links {
		names = append(names, instance)
	}
	slices.SortFunc(names, strings.Compare)
	question := p.question(listAge > vouchTargetsFrom)
	for i := range min(vouchPeers, len(names)) {
		// Questions go round, since some of the others may be cut off too.
		p.send(links[names[(int(question.Echo)+i)%len(names)]], question)
	}
}

// notice asks the leader at once for what it has and this gateway has not.
func (p *Peers) notice(m wire.GroupState) {
	p.mu.Lock()
	p.told = m
	p.mu.Unlock()
	p.askLeader(p.linked())
}

// askLeader asks the leader if it is time to, or if it has told of versions
// that this gateway lacks.
func (p *Peers) askLeader(links map[string]link.Peer) {
	p.mu.Lock()
	told, leader, pause := p.told, p.at.Leader, p.Steady()-p.last
	p.mu.Unlock()
	newer := told.Config > p.Configs.Section().Value().Version || told.List > p.Fleets.Section().Value().Version
	if l, ok := links[leader]; ok && (pause >= followEvery || newer && pause >= followPause) {
		p.send(l, p.question(true))
	}
}

// question returns a new question.
func (p *Peers) question(targets bool) wire.SyncRequest {
	_, members := p.Members.List()
	config, list := p.Configs.Section().Value().Version, p.Fleets.Section().Value().Version
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Steady()
	for echo, at := range p.asked {
		if now-at > vouchLife {
			delete(p.asked, echo)
		}
	}
	p.echo++
	p.asked[p.echo], p.last = now, now
	return wire.SyncRequest{Echo: p.echo, ConfigVersion: config, WantTargets: targets, TargetsVersion: list, MembersVersion: members}
}

func (p *Peers) answer(m wire.SyncRequest) wire.SyncResponse {
	config := p.Configs.Section().Value()
	out := wire.SyncResponse{Echo: m.Echo, ConfigVersion: config.Version, ConfigAge: p.Configs.Age(), TargetsAge: -1}
	if config.Version > m.ConfigVersion {
		out.Config = config.Raw
	}
	if m.WantTargets {
		age := p.Fleets.Age()
		out.TargetsVersion, out.Targets, out.Removed, out.Incremental = p.Fleets.Since(m.TargetsVersion)
		out.TargetsAge = age
	}
	if members, version := p.Members.List(); version != 0 && m.MembersVersion != version {
		out.Members = append(members, p.Self)
	}
	return out
}

// vouched takes an answer over. What it says was true its age before the
// answer, so at least that long before the question plus the way back.
func (p *Peers) vouched(instance string, m wire.SyncResponse) {
	p.mu.Lock()
	at, known := p.asked[m.Echo]
	delete(p.asked, m.Echo)
	p.mu.Unlock()
	if !known {
		return
	}
	if m.ConfigVersion > 0 {
		p.Configs.Vouched(m.ConfigVersion, m.Config, at-m.ConfigAge, instance)
	}
	switch {
	case m.TargetsAge < 0 || m.TargetsVersion == 0:
	case m.Incremental:
		p.Fleets.VouchedChanges(m.TargetsVersion, m.Targets, m.Removed, at-m.TargetsAge, instance)
	default:
		p.Fleets.Vouched(m.TargetsVersion, m.Targets, at-m.TargetsAge, instance)
	}
	if !p.Follows() {
		return
	}
	if len(m.Members) > 0 {
		p.Members.Learn(m.Members)
	} else {
		p.Members.Confirm()
	}
}

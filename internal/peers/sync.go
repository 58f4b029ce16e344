package peers

import (
	"maps"
	"slices"
	"time"

	"shallotcourse/internal/follow"
	"shallotcourse/internal/link"
	"shallotcourse/internal/topo"
	"shallotcourse/internal/wire"
)

const (
	// maxSyncPeers is the number of gateways that are asked at once.
	maxSyncPeers = 3
	// syncTimeout bounds the wait for a response.
	syncTimeout = 2 * time.Second
	// minLeaderSyncInterval is the minimum time between two sync requests to the
	// leader if it has newer versions.
	minLeaderSyncInterval = 150 * time.Millisecond
	// newerConfigPatience is how long a newer configuration that another gateway
	// has may still arrive from the store.
	newerConfigPatience = 2 * stateInterval
)

// syncState tracks the sync requests to other gateways.
type syncState struct {
	// pendingSyncs holds the times of unanswered requests by their echo.
	pendingSyncs map[uint64]time.Duration
	lastEcho     uint64
	// lastLeaderSyncAt is when the leader was last asked by requestLeaderSync.
	lastLeaderSyncAt time.Duration
	// syncRounds counts the rounds in which other gateways than the leader were asked.
	syncRounds int
	// newerConfig is the newest version of the configuration that another gateway
	// has and this one lacks, since newerConfigSince or the last request for it.
	newerConfig      uint64
	newerConfigSince time.Duration
	// leaderState is the last GroupState from the leader, for the versions in
	// it.
	leaderState wire.GroupState
}

// requestSync sends a sync request to the leader, and to some other gateways if
// the store does not answer.
func (p *Peers) requestSync(links map[string]link.Peer) {
	if p.Follows() {
		p.requestLeaderSync(links)
	}
	p.askOthers(links)
}

// askOthers sends a sync request to some other gateways if calls to the store fail, or
// if what this gateway has is too old.
func (p *Peers) askOthers(links map[string]link.Peer) {
	configLimit, listLimit := p.syncAges()
	config := p.Configs.Failing() || p.Configs.Age() >= configLimit
	list := p.Fleets.Failing() || p.Fleets.Age() >= listLimit
	if !config && !list {
		return
	}
	p.mu.Lock()
	p.syncRounds++
	round := p.syncRounds
	p.mu.Unlock()
	for _, instance := range p.syncTargets(links, round) {
		// Each request has its own echo, since the first response need not be the
		// newest.
		p.send(links[instance], p.newSyncRequest(list))
	}
}

// syncTargets returns the gateways to ask in a round, leaders first: followers have what
// a leader has told them, which may be the one that asks. Successive rounds begin with
// different gateways, since some of them may have lost the store too.
func (p *Peers) syncTargets(links map[string]link.Peer, round int) []string {
	_, isLeader := p.followersAndLeaders()
	var leaders, others []string
	for _, instance := range slices.Sorted(maps.Keys(links)) {
		if isLeader[instance] {
			leaders = append(leaders, instance)
		} else {
			others = append(others, instance)
		}
	}
	var out []string
	for _, names := range [][]string{leaders, others} {
		for i := range min(maxSyncPeers-len(out), len(names)) {
			out = append(out, names[(round+i)%len(names)])
		}
	}
	return out
}

// syncAges returns the ages of the configuration and of the target list from which
// other gateways are asked for them.
func (p *Peers) syncAges() (config, list time.Duration) {
	switch p.Role() {
	case follow.Leader:
		return p.Times.Config.LeaderSyncAge, p.Times.Targets.LeaderSyncAge
	case follow.Follower:
		return min(p.Times.Config.SyncAge, p.Times.Config.FollowerSyncAge), p.Times.Targets.FollowerSyncAge
	}
	return p.Times.Config.SyncAge, p.Times.Targets.SyncAge
}

// receiveLeaderVersions records the versions that the leader has, and asks at
// once for those that this gateway lacks.
func (p *Peers) receiveLeaderVersions(m wire.GroupState) {
	p.mu.Lock()
	p.leaderState = m
	p.mu.Unlock()
	p.requestLeaderSync(p.links())
}

// requestLeaderSync sends a sync request to the leader if one is due, or if the
// leader has newer versions than this gateway.
func (p *Peers) requestLeaderSync(links map[string]link.Peer) {
	p.mu.Lock()
	now := p.BootClock()
	leaderState, leader, pause := p.leaderState, p.topology.Leader, now-p.lastLeaderSyncAt
	p.mu.Unlock()
	list := topo.Version{Era: leaderState.ListEra, Number: leaderState.List}
	newer := leaderState.Config > p.Configs.Section().Value().Version || list.Compare(p.Fleets.Section().Value().Version) > 0
	if l, ok := links[leader]; ok && (pause >= p.Times.LeaderSync || newer && pause >= minLeaderSyncInterval) {
		p.mu.Lock()
		p.lastLeaderSyncAt = now
		p.mu.Unlock()
		p.send(l, p.newSyncRequest(true))
	}
}

// receiveConfigVersion records the version of the configuration that another
// gateway has, and asks for it if the store does not show it: the store may have
// come back from an older copy.
func (p *Peers) receiveConfigVersion(peer link.Peer, version uint64) {
	own := p.Configs.Section().Value().Version
	p.mu.Lock()
	now := p.BootClock()
	if own >= p.newerConfig {
		p.newerConfig, p.newerConfigSince = 0, now
	}
	p.newerConfig = max(p.newerConfig, version)
	due := version > own && now-p.newerConfigSince > newerConfigPatience
	if due {
		p.newerConfigSince = now
	}
	p.mu.Unlock()
	if due {
		p.send(peer, p.newSyncRequest(false))
	}
}

// newSyncRequest returns a sync request with a new echo and drops unanswered
// ones after syncTimeout.
func (p *Peers) newSyncRequest(targets bool) wire.SyncRequest {
	_, members := p.Members.List()
	config, list := p.Configs.Section().Value().Version, p.Fleets.Section().Value().Version
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.BootClock()
	for echo, at := range p.pendingSyncs {
		if now-at > syncTimeout {
			delete(p.pendingSyncs, echo)
		}
	}
	p.lastEcho++
	p.pendingSyncs[p.lastEcho] = now
	return wire.SyncRequest{Echo: p.lastEcho, ConfigVersion: config, WantTargets: targets, TargetsVersion: list.Number, TargetsEra: list.Era, MembersVersion: members}
}

func (p *Peers) syncResponse(m wire.SyncRequest) wire.SyncResponse {
	config := p.Configs.Section().Value()
	out := wire.SyncResponse{Echo: m.Echo, ConfigVersion: config.Version, ConfigAge: p.Configs.Age(), TargetsAge: -1}
	if config.Version > m.ConfigVersion {
		out.Config = config.Raw
	}
	if m.WantTargets {
		age := p.Fleets.Age()
		var version topo.Version
		version, out.Targets, out.Removed, out.Incremental = p.Fleets.ChangesSince(topo.Version{Era: m.TargetsEra, Number: m.TargetsVersion})
		out.TargetsVersion, out.TargetsEra, out.TargetsAge = version.Number, version.Era, age
	}
	if members, version := p.Members.List(); version != 0 && m.MembersVersion != version {
		out.Members = append(members, p.Self)
	}
	return out
}

// receiveSyncResponse applies the response of another gateway. Ages in it are
// counted back from the time of the request, not of the response, so the data
// is never taken for newer than it is.
func (p *Peers) receiveSyncResponse(instance string, m wire.SyncResponse) {
	p.mu.Lock()
	at, known := p.pendingSyncs[m.Echo]
	delete(p.pendingSyncs, m.Echo)
	p.mu.Unlock()
	if !known {
		return
	}
	if m.ConfigVersion > 0 {
		p.Configs.ApplySync(m.ConfigVersion, m.Config, at-m.ConfigAge, instance)
	}
	version := topo.Version{Era: m.TargetsEra, Number: m.TargetsVersion}
	switch {
	case m.TargetsAge < 0 || m.TargetsVersion == 0:
	case m.Incremental:
		p.Fleets.ApplySyncChanges(version, m.Targets, m.Removed, at-m.TargetsAge, instance)
	default:
		p.Fleets.ApplySync(version, m.Targets, at-m.TargetsAge, instance)
	}
	if !p.Follows() {
		return
	}
	p.Members.observeLeaderEra(m.TargetsEra)
	if len(m.Members) > 0 {
		p.Members.SetFromLeader(m.Members)
	} else {
		p.Members.ConfirmFromLeader()
	}
}

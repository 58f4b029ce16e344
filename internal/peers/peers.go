// Package peers exchanges state between gateways: their work in flight, the
// targets that they suspect, and the configuration and target list in force.
package peers

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/blame"
	"shallotcourse/internal/bounds"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/link"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
	"shallotcourse/internal/wire"
)

const (
	// stateInterval is the interval at which GatewayState and GroupState are
	// sent. Work in flight lasts seconds, whereas a failing target pauses its
	// streams within tenths of a second.
	stateInterval = bounds.StateInterval
	// groupStateLag is the delay with which loads arrive through one or two
	// leaders.
	groupStateLag = 3 * stateInterval / 2
	// groupStatesPerCounts is the number of GroupState messages of which one
	// holds the retry counts. They then arrive through two leaders within a
	// second.
	groupStatesPerCounts = 2
	// linkDownTimeout is the time without a link after which a gateway counts
	// as down. Dialling takes a few milliseconds.
	linkDownTimeout = 400 * time.Millisecond
	// leaderTimeout is the time without a GroupState after which a follower
	// turns to the next leader. It avoids the former one for leaderAvoidance.
	leaderTimeout   = 700 * time.Millisecond
	leaderAvoidance = 2 * time.Second
	// stateTimeout is how long the last state received from a gateway remains
	// valid; it covers five intervals.
	stateTimeout = time.Second
	// plannerUpdateTTL is how long a leader forwards the last update from the
	// planner.
	plannerUpdateTTL = 400 * time.Millisecond
)

type (
	// Options holds the dependencies of Peers.
	Options struct {
		Self      Member
		Members   *Members
		Links     *link.Group
		Clock     timer.Service
		BootClock follow.BootClock
		Log       log.Logger
		Configs   *follow.Configs
		Fleets    *follow.Fleets
		Ledger    *ledger.Ledger
		Prompts   *blame.Tracker
		Limits    *limit.TargetLimiter
		Retries   *limit.RetryLimiter
		// Times holds the times that follow from the bounds of the deployment.
		Times bounds.Times
		// Incarnation is the incarnation of this process.
		Incarnation string
	}

	// Peers exchanges state with the other gateways. It implements
	// link.Handler.
	Peers struct {
		Options
		// links returns one link to each connected gateway.
		links func() map[string]link.Peer

		mu sync.Mutex
		// topology is the place of this gateway in the exchange of state, and
		// topologyChangedAt when its Mesh, Leader or Leads last changed.
		topology          Topology
		topologyChangedAt time.Duration
		// unlinkedSince holds the time since which gateways that this one dials
		// have had no link. avoidedUntil holds the time until which a leader
		// that has sent no GroupState for leaderTimeout counts as down.
		unlinkedSince, avoidedUntil map[string]time.Duration
		// lastReceived holds the last state received from each gateway.
		lastReceived map[string]received
		// groupStateRounds counts the ticks at which this gateway has sent
		// GroupState messages as a leader; only Run uses it.
		groupStateRounds int
		// prompts builds the regular reports on prompts; only Run uses it.
		prompts *blame.Reporter
		// sentLoads holds the loads in the last two states sent to the leader,
		// the older first.
		sentLoads [2]map[string]wire.TargetLoad
		// startedAt is when this gateway started. startDials holds the gateways
		// that it dials since then although it is for them to dial.
		startedAt  time.Duration
		startDials map[string]Member

		syncState
		plannerState
	}

	// received is the last state received from a gateway.
	received struct {
		at          time.Duration
		incarnation string
		// state is set if the gateway sent a GatewayState, and group if it sent
		// a GroupState.
		state wire.GatewayState
		group string
		// allGateways is set if that GroupState covers all gateways.
		allGateways bool
	}

	// plannerState holds what is received from the planner, or sent by this
	// gateway as the planner.
	plannerState struct {
		// ownTerm is the version of the planner's lease if this gateway holds
		// it; otherwise zero.
		ownTerm topo.Version
		// ownTargets and ownUnresponsive are sent with each GatewayState.
		ownTargets      []topo.Target
		ownUnresponsive []ledger.Suspicion
		// otherTerm is the newest lease version received from another gateway
		// that plans, and otherTermAt when it was last received.
		otherTerm   topo.Version
		otherTermAt time.Duration
		// plannerUpdate is the last update received from a planner. A leader
		// forwards it to its followers.
		plannerUpdate   wire.GatewayState
		plannerUpdateAt time.Duration
		// latePauses counts the late pauses of streams at all gateways since
		// TakeLatePauses was last called, and unsentLatePauses those reported by
		// gateways since the last GroupState was built.
		latePauses, unsentLatePauses int
	}
)

// New returns Peers; Run starts the exchange.
func New(o Options) *Peers {
	p := &Peers{
		Options: o, topology: Topology{Mesh: true}, unlinkedSince: map[string]time.Duration{}, avoidedUntil: map[string]time.Duration{},
		lastReceived: map[string]received{}, syncState: syncState{pendingSyncs: map[uint64]time.Duration{}},
		prompts: o.Prompts.NewReporter(), startedAt: o.BootClock(), startDials: map[string]Member{},
	}
	p.links = p.linksByInstance
	o.Prompts.SetPeers(p.publishPrompts, p.ownsHold)
	o.Limits.SetPublish(p.publishLimits)
	o.Members.setMayPrune(p.mayPrune)
	// Followers get the list from a leader that lacks the store, so it does not wait
	// until what it has is old.
	onFailure := func() { p.askOthers(p.links()) }
	o.Configs.SetOnFailure(onFailure)
	o.Fleets.SetOnFailure(onFailure)
	return p
}

// Run sends states and sync requests until the context ends.
func (p *Peers) Run(ctx context.Context) {
	ticks, cancel := p.Clock.Every(stateInterval)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			p.tick()
		}
	}
}

func (p *Peers) tick() {
	links := p.links()
	p.updateTopology(links)
	switch topology := p.Topology(); {
	case topology.Mesh:
		p.Links.Broadcast(p.ownState(), nil)
	case topology.Leads:
		p.sendAsLeader(links)
	default:
		p.sendToLeader(links, topology.Leader)
	}
	p.requestSync(links)
	p.reportPrompts()
	p.reportLimits()
}

// linksByInstance returns one link to each connected gateway.
func (p *Peers) linksByInstance() map[string]link.Peer {
	out := map[string]link.Peer{}
	for _, l := range p.Links.Peers() {
		out[l.Hello().Instance] = l
	}
	return out
}

// SetPlan sets the lease version under which this gateway plans, the targets'
// status reports and the unresponsive targets. They are sent with each state.
func (p *Peers) SetPlan(term topo.Version, targets []topo.Target, unresponsive []ledger.Suspicion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownTerm, p.ownTargets, p.ownUnresponsive = term, targets, unresponsive
}

// MayPlan reports whether this gateway may claim the planner's lease. In a full
// mesh every gateway may. In groups only leaders may, since followers receive the
// state of other gateways only through their leader.
func (p *Peers) MayPlan() bool {
	topology := p.Topology()
	return topology.Mesh || topology.Leads
}

// Follows reports whether a leader keeps this gateway up to date.
func (p *Peers) Follows() bool { return p.Role() == follow.Follower }

// Role returns the role of this gateway in reading the store.
func (p *Peers) Role() follow.Role {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.topology.Leads:
		return follow.Leader
	case !p.topology.Mesh && p.lastReceived[p.topology.Leader].allGateways:
		return follow.Follower
	}
	return follow.Standalone
}

// Topology returns the current place of this gateway in the exchange of state.
func (p *Peers) Topology() Topology {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.topology
}

// LoadLag returns the number of other gateways and the lag of the state known
// of them.
func (p *Peers) LoadLag() (others int, lag time.Duration) {
	if p.Topology().Mesh {
		return p.Members.Others(), stateInterval
	}
	return p.Members.Others(), groupStateLag
}

// TakeLatePauses returns the number of late pauses of streams at all gateways
// since the last call.
func (p *Peers) TakeLatePauses() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.latePauses
	p.latePauses = 0
	return n
}

// OtherPlanner returns the newest lease version under which another gateway
// plans, and the time since it was last received.
func (p *Peers) OtherPlanner() (term topo.Version, ago time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.otherTerm.IsZero() {
		return topo.Version{}, time.Hour
	}
	return p.otherTerm, p.BootClock() - p.otherTermAt
}

// LinkUp implements link.Handler.
func (p *Peers) LinkUp(peer link.Peer) {
	_ = level.Info(p.Log).Log("event", "PeerUp", "peer", peer.Hello().Instance, "incarnation", peer.Hello().Incarnation)
	// The other gateway may have restarted or missed reports.
	p.sendAll(peer)
	if peer.Hello().Revision > p.Configs.Section().Value().Version {
		p.send(peer, p.newSyncRequest(false))
	}
}

// LinkDown implements link.Handler.
func (p *Peers) LinkDown(peer link.Peer, reason error) {
	_ = level.Info(p.Log).Log("event", "PeerDown", "peer", peer.Hello().Instance, "err", reason)
}

// Receive implements link.Handler.
func (p *Peers) Receive(peer link.Peer, m wire.Message) {
	switch m := m.(type) {
	case wire.GatewayState:
		p.receiveGatewayState(peer, m)
	case wire.GroupState:
		p.receiveGroupState(peer, m)
	case wire.SuspicionAlert:
		p.receiveSuspicions(peer.Hello().Instance, m.Suspicions)
		p.receivePrompts(peer.Hello().Instance, m.Prompts)
		p.receiveLimits(peer.Hello().Instance, m.Limits)
	case wire.SyncRequest:
		p.send(peer, p.syncResponse(m))
	case wire.SyncResponse:
		p.receiveSyncResponse(peer.Hello().Instance, m)
	}
}

func (p *Peers) send(to link.Peer, m wire.Message) {
	if err := to.Send(m); err != nil {
		_ = level.Debug(p.Log).Log("event", "MessageNotSent", "peer", to.Hello().Instance, "err", err)
	}
}

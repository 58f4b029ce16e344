// Package peers lets gateways tell one another what they have in flight, which
// targets fail, and how fresh their configuration is.
package peers

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/link"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
	"shallotcourse/internal/wire"
)

const (
	// pulseEvery is the interval of Pulse and Digest. Work in flight lasts
	// seconds, and a failing target costs its streams a pause within tenths of
	// one.
	pulseEvery = 200 * time.Millisecond
	// groupLag is the time in which work is heard of through a leader or two.
	groupLag = 3 * pulseEvery / 2
	// livesEvery is the number of digests of which one holds the counts of
	// repeats: over two leaders they arrive within a second.
	livesEvery = 2
	// unlinkedFor is the time without a link after which a gateway counts as
	// down. A dial takes some milliseconds.
	unlinkedFor = 400 * time.Millisecond
	// leaderSilent is the time without a digest after which a follower turns
	// to the next leader, for leaderShunned.
	leaderSilent  = 700 * time.Millisecond
	leaderShunned = 2 * time.Second
	// followerLife is how long a follower's last pulse counts; it covers five
	// of them.
	followerLife = time.Second
	// planningLife is how long a leader passes on what a planner said.
	planningLife = 400 * time.Millisecond
)

type (
	// Options is what the exchange works with.
	Options struct {
		Self    Member
		Members *Members
		Links   *link.Group
		Clock   timer.Service
		Steady  follow.Clock
		Log     log.Logger
		Configs *follow.Configs
		Fleets  *follow.Fleets
		Ledger  *ledger.Ledger
		Repeats *limit.Repeats
		// Incarnation is that of this process.
		Incarnation string
	}

	// Peers exchanges messages with the other gateways. It is a link.Handler.
	Peers struct {
		Options

		mu sync.Mutex
		// at is the arrangement in force, and since the time from which this
		// gateway has its part in it.
		at    Arrangement
		since time.Duration
		// unlinked holds since when gateways of the arrangement have no link,
		// shunned until when leaders count as down.
		unlinked, shunned map[string]time.Duration
		// heard holds what was heard from other gateways last.
		heard map[string]heard
		// digests counts the digests; only Run uses it.
		digests int
		// sent is the work in the last two pulses to a leader.
		sent [2]map[string]wire.TargetLoad

		questions
		planning
	}

	// heard is what a gateway told last.
	heard struct {
		at          time.Duration
		incarnation string
		// pulse is that of a follower, group the group of a leader.
		pulse wire.GatewayState
		group string
		// leader says that it told all that a leader knows.
		leader bool
	}

	// planning is what is known of the planner and told by it.
	planning struct {
		// term is the lease that this gateway plans under, or 0.
		term uint64
		// targets are told with the next pulses.
		targets []topo.Target
		deaths  []ledger.Doubt
		// planner is the newest lease that another gateway plans under, and
		// plannerAt when it said so last.
		planner   uint64
		plannerAt time.Duration
		// passed is what a planner said last, for a leader's followers.
		passed   wire.GatewayState
		passedAt time.Duration
		// late counts the late pauses of all gateways since it was last taken,
		// and lateGroup those that the other leaders were not told yet.
		late, lateGroup int
	}
)

// New returns an exchange; Run starts it.
func New(o Options) *Peers {
	p := &Peers{
		Options: o, at: Arrangement{Mesh: true}, unlinked: map[string]time.Duration{}, shunned: map[string]time.Duration{},
		heard: map[string]heard{}, questions: questions{asked: map[uint64]time.Duration{}},
	}
	o.Members.pruneIf(p.duty)
	return p
}

// Run sends pulses and questions until the context ends.
func (p *Peers) Run(ctx context.Context) {
	ticks, cancel := p.Clock.Every(pulseEvery)
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
	links := p.linked()
	p.rearrange(links)
	switch at := p.Arrangement(); {
	case at.Mesh:
		p.Links.Broadcast(p.pulse(), nil)
	case at.Leads:
		p.lead(links)
	default:
		p.follow(links, at.Leader)
	}
	p.ask(links)
}

// linked returns one link to each linked gateway.
func (p *Peers) linked() map[string]link.Peer {
	out := map[string]link.Peer{}
	for _, l := range p.Links.Peers() {
		out[l.Hello().Instance] = l
	}
	return out
}

// Plans sets the lease that this gateway plans under, what targets told it and
// which of them are dead.
func (p *Peers) Plans(term uint64, targets []topo.Target, deaths []ledger.Doubt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.term, p.targets, p.deaths = term, targets, deaths
}

// MayPlan reports whether this gateway may claim the planner's lease: only
// leaders hear of all others without a detour.
func (p *Peers) MayPlan() bool {
	at := p.Arrangement()
	return at.Mesh || at.Leads
}

// Follows reports whether a leader keeps this gateway up to date.
func (p *Peers) Follows() bool { return p.Part() == follow.Told }

// Part returns the part that this gateway has in reading the store.
func (p *Peers) Part() follow.Part {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.at.Leads:
		return follow.Reads
	case !p.at.Mesh && p.heard[p.at.Leader].leader:
		return follow.Told
	}
	return follow.Alone
}

// Arrangement returns whom this gateway exchanges with.
func (p *Peers) Arrangement() Arrangement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at
}

// Unheard returns the number of other gateways and the time by which what is
// known of them lags behind.
func (p *Peers) Unheard() (others int, lag time.Duration) {
	if p.Arrangement().Mesh {
		return p.Members.Others(), pulseEvery
	}
	return p.Members.Others(), groupLag
}

// TakeLate returns the number of late pauses of streams, at all gateways, since
// the last call.
func (p *Peers) TakeLate() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.late
	p.late = 0
	return n
}

// Planner returns the newest lease that another gateway plans under and the
// time since it said so.
func (p *Peers) Planner() (term uint64, ago time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planner == 0 {
		return 0, time.Hour
	}
	return p.planner, p.Steady() - p.plannerAt
}

// LinkUp implements link.Handler.
func (p *Peers) LinkUp(peer link.Peer) {
	_ = level.Info(p.Log).Log("event", "PeerUp", "peer", peer.Hello().Instance, "incarnation", peer.Hello().Incarnation)
}

// LinkDown implements link.Handler.
func (p *Peers) LinkDown(peer link.Peer, reason error) {
	_ = level.Info(p.Log).Log("event", "PeerDown", "peer", peer.Hello().Instance, "err", reason)
}

// Receive implements link.Handler.
func (p *Peers) Receive(peer link.Peer, m wire.Message) {
	switch m := m.(type) {
	case wire.GatewayState:
		p.hearPulse(peer.Hello(), m)
	case wire.GroupState:
		p.hearDigest(peer.Hello(), m)
	case wire.SuspicionAlert:
		p.hearDoubts(peer.Hello().Instance, m.Suspicions)
	case wire.SyncRequest:
		p.send(peer, p.answer(m))
	case wire.SyncResponse:
		p.vouched(peer.Hello().Instance, m)
	}
}

func (p *Peers) send(to link.Peer, m wire.Message) {
	if err := to.Send(m); err != nil {
		_ = level.Debug(p.Log).Log("event", "MessageNotSent", "peer", to.Hello().Instance, "err", err)
	}
}

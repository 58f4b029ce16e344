package peers

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"shallotcourse/internal/blame"
	"shallotcourse/internal/bounds"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/link"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
	"shallotcourse/internal/wire"
)

// calmLinkTime is the time of a message between two gateways.
const calmLinkTime = 5 * time.Millisecond

type (
	// listSource is a store whose target list changes at no time.
	listSource struct {
		follow.Source
		lost atomic.Bool
	}

	// countingLink counts the messages that are sent on it.
	countingLink struct {
		link.Peer
		sent int
	}

	// peerLink is a link to another gateway of the test.
	peerLink struct {
		link.Peer
		from, to *Peers
	}
)

func (s *listSource) call(ctx context.Context, wait time.Duration) error {
	if s.lost.Load() || timer.Sleep(ctx, timer.System{}, wait+4*time.Millisecond) != nil || s.lost.Load() {
		return fault.New(fault.Unavailable, "connection reset")
	}
	return nil
}

// Targets implements follow.Source.
func (s *listSource) Targets(ctx context.Context, after topo.Version, wait time.Duration) (follow.TargetPage, error) {
	if after.IsZero() {
		wait = 0
	}
	return follow.TargetPage{Complete: after.IsZero(), Version: topo.Version{Number: 1}}, s.call(ctx, wait)
}

// Era implements follow.Source.
func (*listSource) Era() uint64 { return 0 }

func (l peerLink) Hello() wire.Hello { return wire.Hello{Instance: l.to.Self.Instance} }

func (l peerLink) Send(m wire.Message) error {
	go func() {
		time.Sleep(calmLinkTime)
		l.to.Receive(peerLink{from: l.to, to: l.from}, m)
	}()
	return nil
}

func (l *countingLink) Send(wire.Message) error {
	l.sent++
	return nil
}

func newTestPeers(name string, source follow.Source, times bounds.Times) *Peers {
	start, clock, logger := time.Now(), timer.System{}, log.NewNopLogger()
	bootClock := func() time.Duration { return time.Minute + time.Since(start) }
	members := NewMembers(Member{Instance: name}, nil, nil, clock, logger, func(int) {})
	p := New(Options{
		Self: Member{Instance: name}, Members: members, Clock: clock, BootClock: bootClock, Log: logger, Times: times,
		Configs: follow.NewConfigs(source, clock, bootClock, logger), Fleets: follow.NewFleets(source, clock, bootClock, logger),
		Ledger: ledger.New(clock), Prompts: blame.New(blame.Options{Clock: clock, Log: logger, Instance: name}),
		Limits: limit.NewTargetLimiter(clock, limit.Gateway{}, members),
	})
	p.topology = Topology{Leads: true, Leader: name}
	p.Fleets.SetTimes(times.Targets)
	p.Fleets.SetRole(p.Role)
	return p
}

// newGroup returns leaders that lack the store while the source is lost, and another one
// that has it. The followers of the first have nothing. All answer before the leader that
// has the store does.
func newGroup(followers, leaders int, times bounds.Times) (cut []*Peers, source *listSource, sound *Peers) {
	source = &listSource{}
	sound = newTestPeers("sound", &listSource{}, times)
	sound.links = func() map[string]link.Peer { return nil }
	for i := range leaders {
		cut = append(cut, newTestPeers(fmt.Sprint("cut", i), source, times))
	}
	for i, p := range cut {
		links := map[string]link.Peer{}
		for _, other := range append(slices.Clone(cut), sound) {
			if other != p {
				links[other.Self.Instance] = peerLink{from: p, to: other}
				p.lastReceived[other.Self.Instance] = received{group: other.Self.Instance}
			}
		}
		for n := range followers {
			name := fmt.Sprint("follower", i, "-", n)
			links[name] = peerLink{from: p, to: newTestPeers(name, nil, times)}
			p.lastReceived[name] = received{state: wire.GatewayState{Follow: true}}
		}
		p.links = func() map[string]link.Peer { return links }
	}
	return cut, source, sound
}

// oldestLists returns the greatest age of the lists of leaders in calm and while they
// lack the store.
func oldestLists(t *testing.T, followers, leaders int) (calm, outage time.Duration) {
	times := bounds.Derive(bounds.Bounds{Drain: 3 * time.Second, ConfigApply: 3 * time.Second, KeyLife: 5 * time.Second})
	cut, source, sound := newGroup(followers, leaders, times)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, p := range append(slices.Clone(cut), sound) {
		wg.Go(func() { p.Fleets.Run(ctx) })
		wg.Go(func() {
			for timer.Sleep(ctx, timer.System{}, stateInterval) == nil {
				p.askOthers(p.links())
			}
		})
	}
	oldest := func(span time.Duration) (age time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for _, p := range cut {
				age = max(age, p.Fleets.Age())
			}
		}
		return age
	}
	time.Sleep(5 * time.Second)
	calm = oldest(10 * time.Second)
	source.lost.Store(true)
	outage = oldest(7 * time.Second)
	source.lost.Store(false)
	time.Sleep(2 * time.Second) // a pause and a long poll
	for _, p := range cut {
		if p.Fleets.Failing() {
			t.Errorf("the store is back and counts as failing at %s", p.Self.Instance)
		}
	}
	cancel()
	wg.Wait()
	time.Sleep(4 * calmLinkTime) // messages in flight
	t.Logf("oldest list in calm %s, in the outage %s", calm, outage)
	return calm, outage
}

// Guards against a leader that lacks the store and goes on with its old target list,
// which its followers use too (DRAIN), although another leader has the store: it asks
// late, takes the first of several answers for all, or asks its own followers. Other
// leaders may lack the store too.
func TestLeaderWithoutStoreAsksOthersAtOnce(t *testing.T) {
	for _, c := range []struct{ followers, leaders int }{{0, 1}, {2, 1}, {10, 1}, {10, 2}, {10, 4}} {
		t.Run(fmt.Sprint(c.followers, " followers, ", c.leaders, " leaders"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				calm, outage := oldestLists(t, c.followers, c.leaders)
				// What the leader with the store has is as old. It is asked once each
				// interval, or in turn with the others if they are more than a round.
				rounds := (c.leaders + maxSyncPeers - 1) / maxSyncPeers
				is.True(outage <= calm+time.Duration(rounds)*stateInterval+4*calmLinkTime)
			})
		})
	}
}

// Guards against a follower that no longer asks its leader for the list, because it asks
// other gateways all the time.
func TestFollowerThatAsksOthersAsksItsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		times := bounds.Derive(bounds.Default)
		follower, leader := newTestPeers("f", nil, times), &countingLink{}
		follower.topology = Topology{Leader: "l"}
		follower.lastReceived["l"] = received{allGateways: true}
		links := map[string]link.Peer{"l": leader}
		const span = 10 * time.Second
		for range span / stateInterval {
			time.Sleep(stateInterval)
			follower.requestLeaderSync(links)
			_ = follower.newSyncRequest(true) // to another gateway
		}
		is.True(leader.sent >= int(span/(times.LeaderSync+stateInterval)))
	})
}

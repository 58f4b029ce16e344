package follow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"shallotcourse/internal/bounds"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// groupOutage is how long the leader lacks the store, from groupCalm on.
	groupCalm   = 5 * time.Second
	groupOutage = 7 * time.Second
	// lookInterval is the time between two looks at the followers.
	lookInterval = 40 * time.Millisecond
	// sendTime is the time from the choice of a target to the arrival of a request.
	sendTime = 250 * time.Millisecond
)

type (
	// drainStore is a store with a target that drains from some time on. Its version
	// rises with each change, also of others.
	drainStore struct {
		mu       sync.Mutex
		version  uint64
		draining bool
		calls    int
		// changed is closed at the next change.
		changed chan struct{}
	}

	// drainSource is the store as one gateway reaches it.
	drainSource struct {
		follow.Source
		store *drainStore
		// latency is the time of a call, beside its wait. lost is true while the
		// gateway lacks the store.
		latency time.Duration
		mu      sync.Mutex
		lost    bool
	}

	// groupCase is an order and timing of the steps.
	groupCase struct {
		gateways int
		times    bounds.Times
		bound    time.Duration
		// drainAt is when the target drains, from the start of the outage.
		drainAt time.Duration
		// leaderLatency is the time of the leader's calls while it has the store, and
		// keepsStore is true if it never loses it.
		leaderLatency time.Duration
		keepsStore    bool
	}
)

// Targets implements follow.Source.
func (s *drainSource) Targets(ctx context.Context, after topo.Version, wait time.Duration) (follow.TargetPage, error) {
	changed := s.store.countCall(after)
	if s.isLost() {
		return follow.TargetPage{}, fault.New(fault.Unavailable, "connection reset")
	}
	_ = timer.Sleep(ctx, timer.System{}, s.latency)
	// Without a wait there is no timer: a channel timer of zero duration in a synctest
	// bubble crashes the race detector of Go 1.26.
	if changed != nil && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	if s.isLost() || ctx.Err() != nil {
		return follow.TargetPage{}, fault.New(fault.Unavailable, "connection reset")
	}
	return s.store.page(after), nil
}

// Era implements follow.Source.
func (*drainSource) Era() uint64 { return 0 }

func (s *drainSource) isLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

func (s *drainSource) setLost(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = lost
}

// countCall counts a call, and returns the channel that is closed at the next change,
// or nil if there has been one since a version.
func (s *drainStore) countCall(after topo.Version) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if after.Number < s.version {
		return nil
	}
	return s.changed
}

func (s *drainStore) page(after topo.Version) follow.TargetPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := topo.Target{ID: "t", Started: 1, Service: "s", Address: "t:1"}
	if s.draining {
		target.State = topo.Draining
	}
	page := follow.TargetPage{Complete: after.IsZero(), Version: topo.Version{Number: s.version}}
	if after.Number < s.version {
		page.Targets = []topo.Target{target}
	}
	return page
}

func (s *drainStore) change(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.draining = draining
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *drainStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// followLeader asks the leader for its list again and again.
func followLeader(ctx context.Context, f, leader *follow.Fleets, now follow.BootClock, every time.Duration) {
	for timer.Sleep(ctx, timer.System{}, every) == nil {
		asked, own := now(), f.Section().Value().Version
		if leader.Section().Value().Read == 0 {
			continue
		}
		version, targets, removed, changes := leader.ChangesSince(own)
		if changes {
			f.ApplySyncChanges(version, targets, removed, asked-leader.Age(), "leader")
			continue
		}
		f.ApplySync(version, targets, asked-leader.Age(), "leader")
	}
}

// run returns how long after the target drained the last follower has learned of it,
// and the calls to the store before the outage and from then on.
func (c groupCase) run(t *testing.T) (slowest time.Duration, calm, outage int) {
	start := time.Now()
	now := func() time.Duration { return time.Minute + time.Since(start) }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	store := &drainStore{version: 1, changed: make(chan struct{})}
	source := &drainSource{store: store, latency: c.leaderLatency}
	var wg sync.WaitGroup
	newGateway := func(s *drainSource, role follow.Role) *follow.Fleets {
		f := follow.NewFleets(s, timer.System{}, now, log.NewNopLogger())
		f.SetTimes(c.times.Targets)
		f.SetRole(func() follow.Role { return role })
		wg.Go(func() { f.Run(ctx) })
		return f
	}
	leader := newGateway(source, follow.Leader)
	followers := make([]*follow.Fleets, c.gateways-1)
	for i := range followers {
		followers[i] = newGateway(&drainSource{store: store, latency: 4 * time.Millisecond}, follow.Follower)
		// The followers' requests are spread over their interval.
		offset := c.times.LeaderSync * time.Duration(i) / time.Duration(len(followers))
		wg.Go(func() {
			_ = timer.Sleep(ctx, timer.System{}, offset)
			followLeader(ctx, followers[i], leader, now, c.times.LeaderSync+bounds.StateInterval)
		})
	}
	time.Sleep(groupCalm / 2)
	// What followers have read themselves is no longer the newest.
	store.change(false)
	time.Sleep(groupCalm / 2)
	calm = store.count()
	source.setLost(!c.keepsStore)
	time.Sleep(c.drainAt)
	store.change(true)
	drained := time.Now()
	pending := followers
	for len(pending) > 0 && time.Since(drained) < groupOutage {
		time.Sleep(lookInterval)
		var still []*follow.Fleets
		for _, f := range pending {
			if target, ok := f.Section().Value().Target("t"); ok && target.State == topo.Ready {
				still = append(still, f)
			}
		}
		pending = still
	}
	slowest = time.Since(drained)
	time.Sleep(max(0, groupOutage-c.drainAt-slowest))
	outage = store.count() - calm
	cancel()
	wg.Wait()
	return slowest, calm, outage
}

// Guards against followers that send requests to a target that has left (DRAIN),
// because their leader lacks the store or is slow and they go on with its old list,
// at bounds of different deployments.
func TestFollowersLearnOfDrainsInTime(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for _, gateways := range []int{6, 9, 30, 103} {
			t.Run(fmt.Sprintf("%s, %d gateways", bound, gateways), func(t *testing.T) {
				t.Parallel()
				times := bounds.Derive(bounds.Bounds{Drain: bound, ConfigApply: bound, KeyLife: 5 * time.Second})
				step := 130 * time.Millisecond
				if gateways > 30 {
					step *= 4
				}
				c := groupCase{gateways: gateways, times: times, bound: bound, leaderLatency: 4 * time.Millisecond}
				for at := time.Duration(0); at < bound+500*time.Millisecond; at += step {
					c.drainAt = at
					synctest.Test(t, c.check)
				}
				c.leaderLatency, c.keepsStore = 600*time.Millisecond, true
				for at := time.Duration(0); at < 2*time.Second; at += step {
					c.drainAt = at
					synctest.Test(t, c.check)
				}
			})
		}
	}
}

func (c groupCase) check(t *testing.T) {
	slowest, calm, outage := c.run(t)
	if slowest+sendTime > c.bound {
		t.Errorf("drain %s after the start (leader keeps the store: %t): known to all after %s, %d calls before and %d after the start",
			c.drainAt, c.keepsStore, slowest, calm, outage)
	}
}

package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/board"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/store"
	"shallotcourse/internal/timer"
	"shallotcourse/pkg/resrc"
)

// Guards against links from all entries to all targets, and against a target
// that no entry links.
func TestWantedCoversTargets(t *testing.T) {
	for _, size := range []struct{ entries, perGroup, atMost int }{
		{1, 18, 18}, {3, 10, 10}, {10, 18, 8}, {410, 18, 4},
	} {
		t.Run(fmt.Sprintf("%d entries", size.entries), func(t *testing.T) {
			is := is.New(t)
			var targets []resrc.Resource
			for i := range size.perGroup {
				targets = append(targets, resrc.Resource{Name: fmt.Sprintf("t-%d", i), Spec: resrc.Target{
					Region: fmt.Sprintf("region-%d", i%3), Agent: fmt.Sprintf("10.0.0.%d:1", i), Version: "oak-1",
				}})
			}
			covered := map[string]int{}
			for i := range size.entries {
				e := &Entry{cfg: Config{
					Instance: fmt.Sprintf("entry-%d", i), Region: fmt.Sprintf("region-%d", i%3),
					Entries: func() int { return size.entries },
				}, peers: newPeers(), bounds: Bounds{}.withDefaults()}
				wanted := e.agentsToLink(targets)
				is.True(len(wanted) <= size.atMost)
				for _, address := range wanted {
					covered[address]++
				}
			}
			is.Equal(len(covered), size.perGroup) // every target is linked
		})
	}
}

// Guards against an entry without links to targets of other regions.
func TestWantedKeepsOtherRegion(t *testing.T) {
	is := is.New(t)
	var targets []resrc.Resource
	for i := range 12 {
		region := "near"
		if i >= 6 {
			region = "far"
		}
		targets = append(targets, resrc.Resource{Name: fmt.Sprintf("t-%d", i), Spec: resrc.Target{
			Region: region, Agent: region + fmt.Sprint(i), Version: "oak-1",
		}})
	}
	far, near := 0, 0
	for i := range 100 {
		e := &Entry{cfg: Config{
			Instance: fmt.Sprintf("entry-%d", i), Region: "near", Entries: func() int { return 410 },
		}, peers: newPeers(), bounds: Bounds{}.withDefaults()}
		for _, address := range e.agentsToLink(targets) {
			if address[:3] == "far" {
				far++
			} else {
				near++
			}
		}
	}
	is.True(near >= 300)
	is.True(far >= 20)
}

// Guards against an entry that has lost the links to all others and applies the
// entire limit of an account by itself.
func TestCutOffEntryAppliesItsShare(t *testing.T) {
	is := is.New(t)
	// The entry is not started, so that no other goroutine uses its fields.
	e := New(Config{
		Instance: "e", Timer: timer.System{}, Links: noLinks{}, Table: &memoryTable{rows: map[string]plat.Row{}},
		Snapshot: board.New(store.NewSnapshot(1, nil)), Tokenizer: byteTokenizer{}, Entries: func() int { return 10 },
	})
	a := e.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.accountState("any", resrc.ClientAccount{RequestsPerSecond: 100, Burst: 50, Concurrency: 40, Weight: 1}, e.cfg.Timer.Now())
	is.Equal(c.rates.PerSecond, 10.0)
	is.Equal(c.rates.Concurrency, 4)
}

// Guards against accounts that are never removed, and arrivals that add up, at
// an entry that is not linked to all others and therefore requests no quota.
func TestCutOffEntryForgetsAccounts(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(0, 0))
	e := &Entry{cfg: Config{
		Entries: func() int { return 10 }, Timer: clock, Snapshot: board.New(store.NewSnapshot(1, nil)),
	}, peers: newPeers(), bounds: Bounds{}.withDefaults()}
	a := newAdmission(e)
	a.accountState("any", resrc.ClientAccount{RequestsPerSecond: 1, Burst: 1, Concurrency: 1}, clock.Now()).arrivals = 7
	a.accounts["any"].lastUsed = clock.Now()
	a.renewQuota(clock.Now())
	is.Equal(a.accounts["any"].arrivals, 0)
	clock.Advance(2 * accountIdleTimeout)
	a.renewQuota(clock.Now())
	is.Equal(len(a.accounts), 0)
}

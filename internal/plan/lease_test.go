package plan

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
)

// memoryTable is one row with conditional writes.
type memoryTable struct {
	follow.Source
	version uint64
	value   []byte
	// down fails all calls; lost does writes without an answer.
	down, lost bool
}

func (m *memoryTable) Rows(context.Context, string) ([]follow.Row, error) {
	if m.down {
		return nil, fault.New(fault.Unavailable, "down")
	}
	if m.value == nil {
		return nil, nil
	}
	return []follow.Row{{Key: leaseKey, Value: m.value, Version: m.version}}, nil
}

func (m *memoryTable) Commit(_ context.Context, _ string, w follow.Write) (uint64, error) {
	if m.down {
		return 0, fault.New(fault.Unavailable, "down")
	}
	current := m.version
	if m.value == nil {
		current = 0
	}
	if w.Version != current {
		return 0, fault.New(fault.Conflict, "not the version")
	}
	m.version++
	m.value = w.Value
	if w.Delete {
		m.value = nil
	}
	if m.lost {
		return 0, fault.New(fault.Unavailable, "lost").WithOutcome(fault.Unknown)
	}
	return m.version, nil
}

func newLease(table *memoryTable, now *time.Duration, name string) *lease {
	return &lease{
		source: table, steady: func() time.Duration { return *now }, log: log.NewNopLogger(),
		instance: name, incarnation: name + "-1",
	}
}

// Guards against a planner that stays away although nobody plans, and against
// one that takes the lease from a planner that is heard.
func TestLeaseIsClaimedFromTheSilent(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	table, now := &memoryTable{}, time.Minute
	one, two := newLease(table, &now, "one"), newLease(table, &now, "two")
	is.True(one.hold(ctx, 0, time.Hour))
	is.True(!two.hold(ctx, one.term, 0)) // heard
	now += 10 * time.Second
	is.True(two.hold(ctx, one.term, 10*time.Second)) // silent
	is.True(two.term > one.term)
	is.True(!one.hold(ctx, two.term, 0)) // hears a newer term
	is.True(one.term == 0)
}

// Guards against a new gateway that takes the lease before it could hear the
// planner.
func TestLeaseOfAnUnheardPlanner(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	table, now := &memoryTable{}, time.Minute
	one, two := newLease(table, &now, "one"), newLease(table, &now, "two")
	is.True(one.hold(ctx, 0, time.Hour))
	is.True(!two.hold(ctx, 0, time.Hour))
	now += claimEvery
	is.True(!two.hold(ctx, 0, time.Hour))
	now += unheardFor
	is.True(two.hold(ctx, 0, time.Hour))
}

// Guards against a planner that gives up because its own renewal lost its
// answer, or because the store is down.
func TestLeaseOutlastsTheStore(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	table, now := &memoryTable{}, time.Minute
	one := newLease(table, &now, "one")
	is.True(one.hold(ctx, 0, time.Hour))
	table.lost = true
	now += renewEvery
	is.True(one.hold(ctx, 0, time.Hour)) // done, not answered
	table.lost = false
	now += renewEvery
	is.True(one.hold(ctx, 0, time.Hour)) // conflict with its own row
	is.Equal(one.term, table.version)
	table.down = true
	now += 10 * renewEvery
	is.True(one.hold(ctx, 0, time.Hour))
	one.release(ctx)
	is.Equal(one.term, uint64(0))
}

// Guards against two gateways that both believe to hold the newest lease,
// while the store fails, answers get lost and links are cut. A planner that
// wakes up may plan until its next renewal or the next pulse; its orders carry
// the state that it has read.
func TestLeaseHasOneNewestHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		table, now := &memoryTable{}, time.Minute
		leases := make([]*lease, rapid.IntRange(2, 4).Draw(t, "gateways"))
		for i := range leases {
			leases[i] = newLease(table, &now, strconv.Itoa(i))
		}
		heardAt := make([]time.Duration, len(leases))
		heard := make([]uint64, len(leases))
		for range 200 {
			now += 200 * time.Millisecond
			table.down = rapid.IntRange(0, 5).Draw(t, "down") == 0
			table.lost = rapid.IntRange(0, 5).Draw(t, "lost") == 0
			for i, l := range leases {
				if rapid.IntRange(0, 3).Draw(t, "frozen") == 0 {
					continue
				}
				l.hold(ctx, heard[i], now-heardAt[i])
				for j := range leases {
					if j != i && l.term > 0 && rapid.Bool().Draw(t, "linked") {
						if l.term >= heard[j] {
							heard[j], heardAt[j] = l.term, now
						}
					}
				}
			}
			seen := map[uint64]bool{}
			for _, l := range leases {
				if l.term > 0 && seen[l.term] {
					t.Fatalf("two gateways hold the lease of term %d", l.term)
				}
				seen[l.term] = true
				if l.term > table.version {
					t.Fatalf("term %d is newer than the row, %d", l.term, table.version)
				}
			}
		}
	})
}

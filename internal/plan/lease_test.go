package plan

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/place"
	"shallotcourse/internal/proxy"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

// memoryTable is an in-memory store with one row and conditional writes. It can
// come back from an older copy.
type memoryTable struct {
	version, era uint64
	value        []byte
	// down makes all calls fail; lost makes writes succeed without an answer.
	down, lost bool
}

// tableClient is one gateway's client of a memoryTable.
type tableClient struct {
	follow.Source
	table *memoryTable
	// seen is the newest era of a response.
	seen uint64
}

func (c *tableClient) Era() uint64 { return c.seen }

func (c *tableClient) Rows(context.Context, string) ([]follow.Row, error) {
	m := c.table
	if m.down {
		return nil, fault.New(fault.Unavailable, "down")
	}
	c.seen = m.era
	if m.value == nil {
		return nil, nil
	}
	return []follow.Row{{Key: leaseKey, Value: m.value, Version: m.rowVersion()}}, nil
}

func (c *tableClient) Commit(_ context.Context, _ string, w follow.Write) (topo.Version, error) {
	m := c.table
	if m.down {
		return topo.Version{}, fault.New(fault.Unavailable, "down")
	}
	conflict := fault.New(fault.Conflict, "the row has another version")
	if !w.Version.IsZero() && w.Version.Era != c.seen {
		return topo.Version{}, conflict
	}
	current := m.version
	if m.value == nil {
		current = 0
	}
	if w.Version.Number != current {
		c.seen = m.era
		return topo.Version{}, conflict
	}
	m.version++
	m.value = w.Value
	if w.Delete {
		m.value = nil
	}
	if m.lost {
		return topo.Version{}, fault.New(fault.Unavailable, "lost").WithOutcome(fault.Unknown)
	}
	c.seen = m.era
	if !w.Version.IsZero() && w.Version.Era != m.era {
		return topo.Version{}, conflict.WithOutcome(fault.Unknown)
	}
	return topo.Version{Era: m.era, Number: m.version}, nil
}

func (m *memoryTable) rowVersion() topo.Version {
	return topo.Version{Era: m.era, Number: m.version}
}

// restore replaces the state by an older copy.
func (m *memoryTable) restore(older memoryTable) {
	m.version, m.value = older.version, older.value
	m.era++
}

func newLease(table *memoryTable, now *time.Duration, name string) *lease {
	return &lease{
		source: &tableClient{table: table}, clock: func() time.Duration { return *now }, log: log.NewNopLogger(),
		instance: name, incarnation: name + "-1",
	}
}

// Guards against a lease that nobody claims although its holder has gone silent,
// and against a claim while the holder is still heard from.
func TestLeaseIsClaimedFromTheSilent(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	table, now := &memoryTable{}, time.Minute
	one, two := newLease(table, &now, "one"), newLease(table, &now, "two")
	is.True(one.hold(ctx, topo.Version{}, time.Hour))
	is.True(!two.hold(ctx, one.term, 0)) // just heard from
	now += 10 * time.Second
	is.True(two.hold(ctx, one.term, 10*time.Second)) // silent
	is.True(two.term.Compare(one.term) > 0)
	is.True(!one.hold(ctx, two.term, 0)) // receives a newer term
	is.True(!one.held())
}

// Guards against a new gateway that claims the lease before it could receive
// anything from the planner, because the link to the planner is not up yet. It
// waits until the row has been unchanged for unknownHolderGrace. The zero term
// and time.Hour as arguments of hold mean that no state of another planner was received.
func TestLeaseOfAnUnheardPlanner(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	table, now := &memoryTable{}, time.Minute
	one, two := newLease(table, &now, "one"), newLease(table, &now, "two")
	is.True(one.hold(ctx, topo.Version{}, time.Hour))
	is.True(!two.hold(ctx, topo.Version{}, time.Hour))
	now += claimInterval
	is.True(!two.hold(ctx, topo.Version{}, time.Hour))
	now += unknownHolderGrace
	is.True(two.hold(ctx, topo.Version{}, time.Hour))
}

// Guards against a planner that loses the lease because the answer to its own
// renewal was lost, or because the store is down.
func TestLeaseOutlastsTheStore(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	table, now := &memoryTable{}, time.Minute
	one := newLease(table, &now, "one")
	is.True(one.hold(ctx, topo.Version{}, time.Hour))
	table.lost = true
	now += renewInterval
	is.True(one.hold(ctx, topo.Version{}, time.Hour)) // written, but not answered
	table.lost = false
	now += renewInterval
	is.True(one.hold(ctx, topo.Version{}, time.Hour)) // conflict with its own row
	is.Equal(one.term, table.rowVersion())
	table.down = true
	now += 10 * renewInterval
	is.True(one.hold(ctx, topo.Version{}, time.Hour))
	one.release(ctx)
	is.True(!one.held())
}

// Guards against a planner that goes on after a pause with a lease that another
// gateway has claimed meanwhile, before it has received anything from that one.
func TestLeaseIsCheckedAfterAPause(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	for _, pause := range []time.Duration{plannerTimeout + unknownHolderGrace, 3 * time.Second, 10 * time.Second} {
		table, now := &memoryTable{}, time.Minute
		one, two := newLease(table, &now, "one"), newLease(table, &now, "two")
		is.True(one.hold(ctx, topo.Version{}, time.Hour))
		now += pause
		is.True(two.hold(ctx, one.term, pause))
		is.True(!one.hold(ctx, topo.Version{}, time.Hour)) // pause
	}
}

// pausingEngines pauses the process between the report and the order.
type pausingEngines struct {
	proxy.Engines
	now              *time.Duration
	pause            time.Duration
	reported, placed chan struct{}
}

func (e *pausingEngines) Report(context.Context, topo.Target) (proxy.Report, error) {
	*e.now += e.pause
	close(e.reported)
	return proxy.Report{}, nil
}

func (e *pausingEngines) Place(context.Context, topo.Target, topo.Layers) error {
	e.placed <- struct{}{}
	return nil
}

// Guards against an order that is sent although the planner's lease may have run
// out in a pause after the plan was made.
func TestNoOrderAfterAPause(t *testing.T) {
	for _, c := range []struct {
		pause time.Duration
		sent  int
	}{{0, 1}, {maxUnchecked / 2, 1}, {plannerTimeout, 0}, {10 * time.Second, 0}} {
		is := is.New(t)
		now := time.Minute
		engines := &pausingEngines{now: &now, pause: c.pause, reported: make(chan struct{}), placed: make(chan struct{}, 1)}
		p := New(Options{
			Source: &tableClient{table: &memoryTable{}}, Clock: timer.System{}, BootClock: func() time.Duration { return now }, Log: log.NewNopLogger(),
			Metrics: metrics.NewSet(), Engines: engines, Fleets: follow.NewFleets(nil, timer.System{}, nil, log.NewNopLogger()),
			Limits: limit.NewTargetLimiter(timer.System{}, limit.Gateway{}, nil),
		})
		is.True(p.lease.hold(context.Background(), topo.Version{}, time.Hour))
		p.leaseChecked.Store(int64(p.lease.checked))
		p.sendOrder(context.Background(), place.Order{Target: topo.Target{ID: "a"}, Layers: topo.Layers{To: 8}}, time.Second)
		<-engines.reported
		for range cap(p.sending) {
			p.sending <- struct{}{} // the last one when the order has ended
		}
		is.Equal(len(engines.placed), c.sent) // orders
	}
}

// Guards against two gateways that both take theirs for the newest lease, while
// the store fails or comes back from an older copy, answers are lost, links are cut
// and gateways freeze. A planner that was frozen may plan until its next renewal or
// the next state message that it receives; its orders are safe because they name
// the state that they expect.
func TestLeaseHasOneNewestHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		table, now := &memoryTable{era: 1}, time.Minute
		older := *table
		leases := make([]*lease, rapid.IntRange(2, 4).Draw(t, "gateways"))
		for i := range leases {
			leases[i] = newLease(table, &now, strconv.Itoa(i))
		}
		receivedAt := make([]time.Duration, len(leases))
		received := make([]topo.Version, len(leases))
		for range 200 {
			now += 200 * time.Millisecond
			table.down = rapid.IntRange(0, 5).Draw(t, "down") == 0
			table.lost = rapid.IntRange(0, 5).Draw(t, "lost") == 0
			switch rapid.IntRange(0, 20).Draw(t, "copy") {
			case 0:
				older = *table
			case 1:
				table.restore(older)
			}
			for i, l := range leases {
				if rapid.IntRange(0, 3).Draw(t, "frozen") == 0 {
					continue
				}
				l.hold(ctx, received[i], now-receivedAt[i])
				for j := range leases {
					if j != i && l.held() && rapid.Bool().Draw(t, "linked") {
						if l.term.Compare(received[j]) >= 0 {
							received[j], receivedAt[j] = l.term, now
						}
					}
				}
			}
			seen := map[topo.Version]bool{}
			for _, l := range leases {
				if l.held() && seen[l.term] {
					t.Fatalf("two gateways hold the lease of term %s", l.term)
				}
				seen[l.term] = true
				if l.term.Era == table.era && l.term.Number > table.version {
					t.Fatalf("term %s is newer than the row, %d", l.term, table.version)
				}
			}
		}
	})
}

// Guards against a planner that keeps a term of an earlier era, which others drop,
// and against one that goes on beside a gateway that claimed the lease after the
// restore.
func TestLeaseAfterARestore(t *testing.T) {
	for _, c := range []struct {
		name string
		// before is what happens between the copy and the restore.
		before func(table *memoryTable, renew, takeOver func())
		// claimed lets another gateway claim the lease in the new era.
		claimed, held bool
	}{
		{"the copy has an older row", func(_ *memoryTable, renew, _ func()) { renew() }, false, true},
		{"the copy has the same row", func(*memoryTable, func(), func()) {}, false, true},
		{"the copy has no row", func(m *memoryTable, renew, _ func()) { renew(); m.value = nil }, false, true},
		{"the copy names an earlier holder", func(_ *memoryTable, _, takeOver func()) { takeOver() }, false, true},
		{"another gateway has claimed since", func(_ *memoryTable, renew, _ func()) { renew() }, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, ctx := is.New(t), context.Background()
			table, now := &memoryTable{era: 1}, time.Minute
			one, two := newLease(table, &now, "one"), newLease(table, &now, "two")
			is.True(one.hold(ctx, topo.Version{}, time.Hour))
			older := *table
			holder, other := one, two
			renew := func() {
				for range 3 {
					now += renewInterval
					is.True(holder.hold(ctx, topo.Version{}, time.Hour))
				}
			}
			c.before(&older, renew, func() {
				is.True(two.hold(ctx, one.term, time.Hour))
				is.True(!one.hold(ctx, two.term, 0))
				holder, other = two, one
			})
			before := holder.term
			table.restore(older)
			_, err := holder.source.Rows(ctx, "other")
			is.NoErr(err)
			if c.claimed {
				is.True(!other.hold(ctx, topo.Version{}, time.Hour))
				now += unknownHolderGrace
				is.True(other.hold(ctx, topo.Version{}, time.Hour))
			}
			now += roundInterval
			is.Equal(holder.hold(ctx, topo.Version{}, time.Hour), c.held)
			if c.held {
				is.Equal(holder.term, table.rowVersion())
				is.True(holder.term.Compare(before) > 0)
				is.True(!other.hold(ctx, holder.term, 0))
			}
		})
	}
}

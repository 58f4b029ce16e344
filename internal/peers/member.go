package peers

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/link"
	"shallotcourse/internal/timer"
)

const (
	// memberTable holds a row for each gateway.
	memberTable = "gateways"
	// memberFirst is the pause between readings while gateways start, and
	// memberEvery the one after memberSettled.
	memberFirst   = 500 * time.Millisecond
	memberEvery   = 5 * time.Second
	memberSettled = 4 * time.Second
	// memberLost is the time without a link after which the row of a gateway
	// is deleted; a live one writes it again.
	memberLost = 20 * time.Second
)

type (
	// Member is a gateway in the store.
	Member struct {
		Instance string
		// Address accepts links.
		Address    string
		DataCentre string
	}

	// Members keeps this gateway's row and links to the others.
	Members struct {
		self   Member
		source follow.Source
		clock  timer.Service
		log    log.Logger
		links  *link.Group

		// count is the number of gateways, this one included.
		count func(int)
		// linked is when each other gateway was last seen on a link.
		linked map[string]time.Time
		wanted map[string]Member
		// left says that the row must not be written again.
		left atomic.Bool
	}
)

// NewMembers returns the membership of self. Count is told the number of
// gateways.
func NewMembers(self Member, source follow.Source, links *link.Group, clock timer.Service, logger log.Logger, count func(int)) *Members {
	return &Members{
		self: self, source: source, clock: clock, log: logger, links: links, count: count,
		linked: map[string]time.Time{}, wanted: map[string]Member{},
	}
}

// Run keeps the membership until the context ends, and leaves then.
func (m *Members) Run(ctx context.Context) {
	start := m.clock.Now()
	failing := false
	for ctx.Err() == nil {
		pause := memberEvery
		if m.clock.Now().Sub(start) < memberSettled {
			pause = memberFirst
		}
		err := m.round(ctx)
		if err != nil {
			pause = memberFirst
		}
		if (err != nil) != failing && ctx.Err() == nil {
			_ = level.Info(m.log).Log("event", "MembershipSource", "failing", err != nil, "err", err)
			failing = err != nil
		}
		_ = timer.Sleep(ctx, m.clock, pause)
	}
}

// Leave deletes this gateway's row for good.
func (m *Members) Leave(ctx context.Context) {
	m.left.Store(true)
	if _, err := m.source.Commit(ctx, memberTable, follow.Write{Key: m.self.Instance, Delete: true}); err != nil {
		_ = level.Warn(m.log).Log("event", "MemberRowKept", "err", err)
	}
}

func (m *Members) round(ctx context.Context) error {
	rows, err := m.source.Rows(ctx, memberTable)
	if err != nil {
		return err
	}
	own := false
	seen := map[string]follow.Row{}
	members := map[string]Member{}
	for _, r := range rows {
		var other Member
		if err := json.Unmarshal(r.Value, &other); err != nil || other.Instance != r.Key {
			_ = level.Error(m.log).Log("event", "MemberMalformed", "key", r.Key, "err", err)
			continue
		}
		if other.Instance == m.self.Instance {
			own = other == m.self
			continue
		}
		members[r.Key], seen[r.Key] = other, r
	}
	if !own && !m.left.Load() {
		if err := m.write(ctx); err != nil {
			return err
		}
	}
	m.follow(members)
	return m.prune(ctx, seen)
}

func (m *Members) write(ctx context.Context) error {
	value, err := json.Marshal(m.self)
	if err != nil {
		return fault.New(fault.Internal, "member row does not encode").WithCause(err)
	}
	_, err = m.source.Commit(ctx, memberTable, follow.Write{Key: m.self.Instance, Value: value})
	return err
}

// follow links to the members. Of two gateways, the one whose name is first
// dials.
func (m *Members) follow(members map[string]Member) {
	for key, other := range members {
		if m.wanted[key] == other {
			continue
		}
		if old, ok := m.wanted[key]; ok {
			m.links.Unwant(old.Address)
		}
		m.wanted[key] = other
		if m.self.Instance < other.Instance {
			m.links.Want(other.Address)
		}
		_ = level.Info(m.log).Log("event", "MemberListed", "member", key, "address", other.Address, "dataCentre", other.DataCentre)
	}
	for key, old := range m.wanted {
		if _, ok := members[key]; !ok {
			m.links.Unwant(old.Address)
			delete(m.wanted, key)
			delete(m.linked, key)
			_ = level.Info(m.log).Log("event", "MemberGone", "member", key)
		}
	}
	m.count(1 + len(members))
}

// prune deletes the rows of gateways that nobody here is linked to for long.
func (m *Members) prune(ctx context.Context, rows map[string]follow.Row) error {
	now := m.clock.Now()
	for _, p := range m.links.Peers() {
		m.linked[p.Hello().Instance] = now
	}
	for key, row := range rows {
		at, ok := m.linked[key]
		if !ok {
			m.linked[key] = now
			continue
		}
		if now.Sub(at) < memberLost {
			continue
		}
		_, err := m.source.Commit(ctx, memberTable, follow.Write{Key: key, Delete: true, Conditional: true, Version: row.Version})
		_ = level.Info(m.log).Log("event", "MemberPruned", "member", key, "silent", now.Sub(at), "err", err)
		if err != nil && !fault.Is(err, fault.Conflict) {
			return err
		}
	}
	return nil
}

package peers

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/link"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
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
	Member = wire.Member

	// Members keeps this gateway's row and the list of the others.
	Members struct {
		self   Member
		source follow.Source
		clock  timer.Service
		log    log.Logger
		links  *link.Group

		// count is the number of gateways, this one included.
		count func(int)
		// left says that the row must not be written again.
		left atomic.Bool

		mu     sync.Mutex
		others map[string]Member
		// version stands for the list, or is 0 before it was read.
		version uint64
		// learnt is when the list was last learnt from the leader.
		learnt time.Time
		// duty reports whether this gateway prunes the row of another one.
		duty func(Member) bool
		// linked is when each other gateway was last seen on a link.
		linked map[string]time.Time
	}
)

// NewMembers returns the membership of self. Count is told the number of
// gateways.
func NewMembers(self Member, source follow.Source, links *link.Group, clock timer.Service, logger log.Logger, count func(int)) *Members {
	return &Members{
		self: self, source: source, clock: clock, log: logger, links: links, count: count,
		linked: map[string]time.Time{}, others: map[string]Member{}, duty: func(Member) bool { return true },
	}
}

// pruneIf sets what reports whether this gateway deletes the row of another one
// that is gone.
func (m *Members) pruneIf(duty func(Member) bool) { m.duty = duty }

// Run keeps the membership until the context ends, and leaves then.
func (m *Members) Run(ctx context.Context) {
	start := m.clock.Now()
	failing := false
	for ctx.Err() == nil {
		pause := memberEvery
		if m.clock.Now().Sub(start) < memberSettled {
			pause = memberFirst
		}
		if m.told() {
			_ = timer.Sleep(ctx, m.clock, pause)
			continue
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

// List returns the other gateways and the version of the list.
func (m *Members) List() ([]Member, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.others)), m.version
}

// Others returns the number of the other gateways.
func (m *Members) Others() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.others)
}

// Learn takes over the list of the leader, which names all gateways. A list
// without this one is not taken: its row is missing in the store.
func (m *Members) Learn(members []Member) {
	others := map[string]Member{}
	own := false
	for _, other := range members {
		if other.Instance == m.self.Instance {
			own = other == m.self
			continue
		}
		others[other.Instance] = other
	}
	if own {
		m.follow(others)
		m.Confirm()
	}
}

// Confirm records that the leader has the same list.
func (m *Members) Confirm() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.learnt = m.clock.Now()
}

// told reports whether a leader keeps the list up to date.
func (m *Members) told() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Now().Sub(m.learnt) < memberEvery
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
	return m.prune(ctx, members, seen)
}

func (m *Members) write(ctx context.Context) error {
	value, err := json.Marshal(m.self)
	if err != nil {
		return fault.New(fault.Internal, "member row does not encode").WithCause(err)
	}
	_, err = m.source.Commit(ctx, memberTable, follow.Write{Key: m.self.Instance, Value: value})
	return err
}

// follow replaces the list of the other gateways.
func (m *Members) follow(members map[string]Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, other := range members {
		if m.others[key] != other {
			_ = level.Info(m.log).Log("event", "MemberListed", "member", key, "address", other.Address, "dataCentre", other.DataCentre)
		}
	}
	for key := range m.others {
		if _, ok := members[key]; !ok {
			delete(m.linked, key)
			_ = level.Info(m.log).Log("event", "MemberGone", "member", key)
		}
	}
	m.others = members
	all := append(slices.Collect(maps.Values(members)), m.self)
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Instance, b.Instance) })
	h := fnv.New64a()
	for _, member := range all {
		_, _ = h.Write([]byte(member.Instance + "\x00" + member.Address + "\x00")) // never fails
	}
	m.version = h.Sum64()
	m.count(len(all))
}

// prune deletes the rows of gateways that nobody here is linked to for long.
func (m *Members) prune(ctx context.Context, members map[string]Member, rows map[string]follow.Row) error {
	m.see()
	for key, row := range rows {
		silent, lost := m.silent(members[key])
		if !lost {
			continue
		}
		_, err := m.source.Commit(ctx, memberTable, follow.Write{Key: key, Delete: true, Conditional: true, Version: row.Version})
		_ = level.Info(m.log).Log("event", "MemberPruned", "member", key, "silent", silent, "err", err)
		if err != nil && !fault.Is(err, fault.Conflict) {
			return err
		}
	}
	return nil
}

// see notes which gateways are linked.
func (m *Members) see() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, p := range m.links.Peers() {
		m.linked[p.Hello().Instance] = now
	}
}

// silent returns the time since a gateway was linked, and whether its row is
// to be deleted by this one.
func (m *Members) silent(other Member) (time.Duration, bool) {
	duty := m.duty(other)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	at, ok := m.linked[other.Instance]
	if !ok || !duty {
		m.linked[other.Instance] = now
		return 0, false
	}
	return now.Sub(at), now.Sub(at) >= memberLost
}

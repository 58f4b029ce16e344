package peers

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/link"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
)

const (
	// gatewayTable is the table with one row for each gateway.
	gatewayTable = "gateways"
	// startReadInterval is the interval at which the table is read during
	// startPeriod, while other gateways may start too, and after errors. Later
	// it is read every readInterval.
	startReadInterval = 500 * time.Millisecond
	readInterval      = 5 * time.Second
	startPeriod       = 4 * time.Second
	// pruneTimeout is the time without a link after which the row of a gateway
	// is deleted. A gateway that is still running writes its row again.
	pruneTimeout = 20 * time.Second
	// maxFollowerDelay bounds the random time after which followers write their
	// rows again after the store has come back from an older copy.
	maxFollowerDelay = 2 * time.Second
	// rowGracePeriod is how long the rows of linked gateways may be missing after
	// the store has come back from an older copy.
	rowGracePeriod = readInterval + startReadInterval
)

type (
	// Member is a gateway as listed in the store.
	Member = wire.Member

	// Members keeps this gateway's row in the store and the list of the other
	// gateways.
	Members struct {
		self   Member
		source follow.Source
		clock  timer.Service
		log    log.Logger
		links  *link.Group

		// onCount is called with the number of gateways, including this one.
		onCount func(int)
		// left is set once the row must not be written again.
		left atomic.Bool

		mu     sync.Mutex
		others map[string]Member
		// version is a hash of the list, or 0 before the list was first read.
		version uint64
		// confirmedAt is when the leader last sent or confirmed the list.
		confirmedAt time.Time
		// mayPrune reports whether this gateway deletes the row of another one
		// that has stopped.
		mayPrune func(Member) bool
		// lastLinked is when each other gateway was last seen with a link.
		lastLinked map[string]time.Time
		// leaderEra is the newest era of the store that a leader has named.
		leaderEra atomic.Uint64
		// era is the era of the store at the last reading of the table, and
		// keptUntil the end of the grace period that began with it; only Run uses
		// them.
		era       uint64
		keptUntil time.Time
	}
)

// NewMembers returns the membership of self. The function count is called with
// the number of gateways, including this one.
func NewMembers(self Member, source follow.Source, links *link.Group, clock timer.Service, logger log.Logger, count func(int)) *Members {
	return &Members{
		self: self, source: source, clock: clock, log: logger, links: links, onCount: count,
		lastLinked: map[string]time.Time{}, others: map[string]Member{}, mayPrune: func(Member) bool { return true },
	}
}

// setMayPrune sets the function that reports whether this gateway deletes the
// row of another one that has stopped.
func (m *Members) setMayPrune(mayPrune func(Member) bool) { m.mayPrune = mayPrune }

// Run keeps the row and the list up to date until the context ends.
func (m *Members) Run(ctx context.Context) {
	start := m.clock.Now()
	failing := false
	for ctx.Err() == nil {
		pause := readInterval
		if m.clock.Now().Sub(start) < startPeriod {
			pause = startReadInterval
		}
		if m.keptByLeader() && !m.restored() {
			m.sleep(ctx, pause)
			continue
		}
		err := m.refresh(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			_ = level.Info(m.log).Log("event", "MembershipSource", "failing", err != nil, "err", err)
			failing = err != nil
		}
		if err != nil {
			_ = timer.Sleep(ctx, m.clock, startReadInterval)
			continue
		}
		m.sleep(ctx, pause)
	}
}

// sleep waits for a pause, or until the store has come back from an older copy,
// which may lack this gateway's row. Followers then wait a random time, as they are
// many.
func (m *Members) sleep(ctx context.Context, pause time.Duration) {
	for end := m.clock.Now().Add(pause); ctx.Err() == nil && m.clock.Now().Before(end); {
		_ = timer.Sleep(ctx, m.clock, min(startReadInterval/5, end.Sub(m.clock.Now())))
		if !m.restored() {
			continue
		}
		if m.keptByLeader() {
			_ = timer.Sleep(ctx, m.clock, rand.N(maxFollowerDelay))
		}
		return
	}
}

// restored reports whether the store has come back from an older copy since the
// table was last read.
func (m *Members) restored() bool {
	return max(m.source.Era(), m.leaderEra.Load()) > m.era && m.era > 0
}

// observeLeaderEra records the era of the store that a leader has read.
func (m *Members) observeLeaderEra(era uint64) {
	for known := m.leaderEra.Load(); era > known && !m.leaderEra.CompareAndSwap(known, era); {
		known = m.leaderEra.Load()
	}
}

// Leave deletes this gateway's row and keeps it from being written again.
func (m *Members) Leave(ctx context.Context) {
	m.left.Store(true)
	if _, err := m.source.Commit(ctx, gatewayTable, follow.Write{Key: m.self.Instance, Delete: true}); err != nil {
		_ = level.Warn(m.log).Log("event", "MemberRowKept", "err", err)
	}
}

// List returns the other gateways and the version of the list.
func (m *Members) List() ([]Member, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.others)), m.version
}

// Version returns the version of the list.
func (m *Members) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Gateways implements limit.Gateways.
func (m *Members) Gateways() []limit.Gateway {
	others, _ := m.List()
	out := make([]limit.Gateway, len(others))
	for i, o := range others {
		out[i] = limit.Gateway{Instance: o.Instance, DataCentre: o.DataCentre}
	}
	return out
}

// Others returns the number of the other gateways.
func (m *Members) Others() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.others)
}

// SetFromLeader replaces the list by that of the leader, which holds all
// gateways. It ignores a list in which this gateway is absent or has other
// values: the row of this gateway in the store is then missing or outdated, and
// Run writes it again because the list is not confirmed.
func (m *Members) SetFromLeader(members []Member) {
	others := map[string]Member{}
	listed := false
	for _, other := range members {
		if other.Instance == m.self.Instance {
			listed = other == m.self
			continue
		}
		others[other.Instance] = other
	}
	if listed {
		m.setOthers(others)
		m.ConfirmFromLeader()
	}
}

// ConfirmFromLeader records that the leader has the same list.
func (m *Members) ConfirmFromLeader() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmedAt = m.clock.Now()
}

// keptByLeader reports whether a leader keeps the list up to date.
func (m *Members) keptByLeader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Now().Sub(m.confirmedAt) < readInterval
}

// refresh reads the list of gateways from the store, writes this gateway's own row
// if it is missing or differs and the gateway is not leaving, and prunes the rows of
// the others.
func (m *Members) refresh(ctx context.Context) error {
	rows, err := m.source.Rows(ctx, gatewayTable)
	if err != nil {
		return err
	}
	m.observeEra()
	listed := false
	rowsByName := map[string]follow.Row{}
	members := map[string]Member{}
	for _, r := range rows {
		var other Member
		if err := json.Unmarshal(r.Value, &other); err != nil || other.Instance != r.Key || !m.isPossible(other) {
			_ = level.Error(m.log).Log("event", "MemberMalformed", "key", r.Key, "err", err)
			continue
		}
		if other.Instance == m.self.Instance {
			listed = other == m.self
			continue
		}
		members[r.Key], rowsByName[r.Key] = other, r
	}
	if !listed && !m.left.Load() {
		if err := m.writeRow(ctx); err != nil {
			return err
		}
	}
	m.setOthers(m.withLinked(members))
	return m.prune(ctx, members, rowsByName)
}

// isPossible reports whether a row can be that of a gateway. No other gateway has
// the address of this one.
func (m *Members) isPossible(other Member) bool {
	address, err := netip.ParseAddrPort(other.Address)
	return err == nil && address.Port() > 0 && other.Instance != "" && other.DataCentre != "" && other.MilliCores >= 0 &&
		(other.Instance == m.self.Instance || other.Address != m.self.Address)
}

// observeEra begins a grace period if the table was read from an older copy of the
// store.
func (m *Members) observeEra() {
	era := m.source.Era()
	if m.era > 0 && era > m.era {
		m.keptUntil = m.clock.Now().Add(rowGracePeriod)
		_ = level.Info(m.log).Log("event", "MembersRestored", "era", era, "before", m.era)
	}
	m.era = era
}

// withLinked adds gateways that are linked and were listed before, while their rows
// may be missing from the store.
func (m *Members) withLinked(members map[string]Member) map[string]Member {
	if !m.clock.Now().Before(m.keptUntil) {
		return members
	}
	out := maps.Clone(members)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.links.Peers() {
		name := p.Hello().Instance
		if other, ok := m.others[name]; ok && members[name] == (Member{}) {
			out[name] = other
		}
	}
	return out
}

func (m *Members) writeRow(ctx context.Context) error {
	value, err := json.Marshal(m.self)
	if err != nil {
		return fault.New(fault.Internal, "cannot encode gateway row").WithCause(err)
	}
	_, err = m.source.Commit(ctx, gatewayTable, follow.Write{Key: m.self.Instance, Value: value})
	return err
}

// setOthers replaces the list of the other gateways.
func (m *Members) setOthers(members map[string]Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, other := range members {
		if m.others[key] != other {
			_ = level.Info(m.log).Log("event", "MemberListed", "member", key, "address", other.Address, "dataCentre", other.DataCentre)
		}
	}
	for key := range m.others {
		if _, ok := members[key]; !ok {
			delete(m.lastLinked, key)
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
	m.onCount(len(all))
}

// prune deletes the rows of gateways that have had no link to this one for
// pruneTimeout.
func (m *Members) prune(ctx context.Context, members map[string]Member, rows map[string]follow.Row) error {
	m.recordLinked()
	for key, row := range rows {
		unlinked, lost := m.unlinkedTime(members[key])
		if !lost {
			continue
		}
		_, err := m.source.Commit(ctx, gatewayTable, follow.Write{Key: key, Delete: true, Conditional: true, Version: row.Version})
		_ = level.Info(m.log).Log("event", "MemberPruned", "member", key, "silent", unlinked, "err", err)
		if err != nil && !fault.Is(err, fault.Conflict) {
			return err
		}
	}
	return nil
}

// recordLinked records which gateways have a link.
func (m *Members) recordLinked() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, p := range m.links.Peers() {
		m.lastLinked[p.Hello().Instance] = now
	}
}

// unlinkedTime returns the time since a gateway last had a link, and whether
// this gateway must delete its row.
func (m *Members) unlinkedTime(other Member) (time.Duration, bool) {
	mayPrune := m.mayPrune(other)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	at, ok := m.lastLinked[other.Instance]
	if !ok || !mayPrune {
		m.lastLinked[other.Instance] = now
		return 0, false
	}
	return now.Sub(at), now.Sub(at) >= pruneTimeout
}

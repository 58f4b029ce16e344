// Package plan runs the planner, which decides the placement of model layers and
// sends the orders to the targets. One gateway plans at a time: the one that
// holds the lease, a row in the store.
package plan

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
	"shallotcourse/internal/topo"
)

const (
	leaseTable = "leases"
	leaseKey   = "planner"
	// renewInterval is the interval at which the holder renews the lease in the
	// store. Between renewals another gateway may have claimed it; orders are safe
	// all the same, because a target accepts an order only in the state that the
	// planner has seen.
	renewInterval = 4 * time.Second
	// plannerTimeout is the time without a state message of the planner after
	// which another gateway claims the lease; they come five times a second.
	plannerTimeout = 1200 * time.Millisecond
	// unknownHolderGrace is how long the row of a holder that this gateway has
	// received nothing from must stay unchanged before the lease is claimed; the
	// link to the holder may not be up yet.
	unknownHolderGrace = 1500 * time.Millisecond
	// maxUnchecked is how long the holder acts after it has last checked the lease.
	// It is shorter than plannerTimeout, so that a holder that was paused does not
	// act beside the gateway that took over meanwhile.
	maxUnchecked = plannerTimeout - roundInterval
	// maxRenewTime is the longest time that a call to the store takes before it
	// fails, and some slack.
	maxRenewTime = 1500 * time.Millisecond
	// claimInterval is the interval between attempts to claim the lease.
	claimInterval = 500 * time.Millisecond
	// restoreInterval is the interval between attempts to write the row again
	// after the store was restored.
	restoreInterval = 500 * time.Millisecond
)

// lease is this gateway's view of the lease row.
type lease struct {
	source      follow.Source
	clock       follow.BootClock
	log         log.Logger
	instance    string
	incarnation string

	// term is the version of the row while this gateway holds the lease. It may
	// be of an earlier era of the store until the row is written again.
	term    topo.Version
	renewed time.Duration
	// checked is the time at which hold last found that this gateway holds the
	// lease.
	checked time.Duration
	// lastRestore is the time of the last attempt to write the row again after the
	// store was restored; 0 makes the next round try.
	lastRestore time.Duration
	// lastRead is the time of the last attempt to claim the lease, seenVersion the
	// version of the row that was read then, and seenSince the time at which that
	// version was first read.
	lastRead, seenSince time.Duration
	seenVersion         topo.Version
}

// leaseRow is the JSON form of the row's value.
type leaseRow struct {
	Instance, Incarnation string
	// Era is the era of the store in which the row was written. In a later one,
	// the row is a part of an older copy.
	Era uint64 `json:",omitempty"`
}

// hold renews or claims the lease if needed and reports whether this gateway
// plans. The argument otherTerm is the newest term received from another planner,
// and silence the time since that planner's last state message.
func (l *lease) hold(ctx context.Context, otherTerm topo.Version, silence time.Duration) bool {
	now := l.clock()
	if l.held() && otherTerm.Compare(l.term) > 0 {
		l.markLost("another gateway has a newer term", otherTerm)
	}
	held := false
	switch {
	case l.held() && l.term.Era < l.source.Era():
		held = l.restore(ctx, now)
	case l.held() && now-l.renewed < renewInterval && now-l.checked <= maxUnchecked:
		held = true
	case l.held():
		// Due, or this process was paused and another gateway may have taken over.
		held = l.renew(ctx, now)
	case silence >= plannerTimeout:
		held = l.claim(ctx, otherTerm, now)
	}
	if !held {
		return false
	}
	// A longer call means that this process was paused meanwhile.
	if after := l.clock(); after-now <= maxRenewTime {
		now = after
	}
	l.checked = now
	return true
}

func (l *lease) markLost(why string, otherTerm topo.Version) {
	_ = level.Info(l.log).Log("event", "PlannerLost", "term", l.term, "heard", otherTerm, "why", why)
	l.term = topo.Version{}
}

// held reports whether this gateway holds the lease as far as it knows.
func (l *lease) held() bool { return !l.term.IsZero() }

// renew rewrites the row, which gives it a new version. If the store does not
// answer, the lease is kept: no other gateway can claim it meanwhile, and an
// earlier claim is noticed by the newer term that its holder sends.
func (l *lease) renew(ctx context.Context, now time.Duration) bool {
	version, err := l.write(ctx, l.term)
	switch {
	case err == nil:
		l.term, l.renewed = version, now
	case fault.Is(err, fault.Conflict):
		// The row may be this gateway's own, written without an answer.
		if !l.adoptOwnRow(ctx) {
			l.markLost("another gateway wrote the lease row", topo.Version{})
		}
	default:
		l.notRenewed(now, err)
	}
	return l.held()
}

func (l *lease) notRenewed(now time.Duration, err error) {
	_ = level.Info(l.log).Log("event", "PlannerNotRenewed", "term", l.term, "era", l.source.Era(), "age", now-l.renewed, "err", err)
	l.renewed = now - renewInterval + renewInterval/4
}

// restore writes the row again after the store has come back from an older copy.
// The row in the copy may be older than the lease, and name an earlier holder or
// none; a row of the present era is another gateway's claim. If the store does
// not answer, the lease is kept as in renew.
func (l *lease) restore(ctx context.Context, now time.Duration) bool {
	if l.lastRestore > 0 && now-l.lastRestore < restoreInterval && now-l.checked <= maxUnchecked {
		return true
	}
	l.lastRestore = now
	row, value, err := l.read(ctx)
	if err != nil {
		l.notRenewed(now, err)
		return true
	}
	if value.Incarnation != l.incarnation && !row.Version.IsZero() && value.Era >= row.Version.Era {
		l.markLost("another gateway claimed the lease after a restore", row.Version)
		return false
	}
	term, err := l.write(ctx, row.Version)
	switch {
	case err == nil:
		_ = level.Info(l.log).Log("event", "PlannerRestored", "term", term, "before", l.term, "row", row.Version, "holder", value.Instance)
		l.term, l.renewed = term, now
	case fault.Is(err, fault.Conflict):
		// The next round reads the row again.
		l.lastRestore = 0
		return false
	default:
		l.notRenewed(now, err)
	}
	return true
}

// claim takes over the lease of a planner that is not heard from. If this
// gateway does not know the holder of the row, it waits for unknownHolderGrace
// first.
func (l *lease) claim(ctx context.Context, otherTerm topo.Version, now time.Duration) bool {
	if l.lastRead > 0 && now-l.lastRead < claimInterval {
		return false
	}
	l.lastRead = now
	row, value, err := l.read(ctx)
	if err != nil {
		return false
	}
	if row.Version != l.seenVersion {
		l.seenVersion, l.seenSince = row.Version, now
	}
	// The process before this one, with the same instance, has ended.
	own := value.Instance == l.instance && value.Incarnation != l.incarnation
	unknownHolder := !row.Version.IsZero() && row.Version != otherTerm && !own
	if unknownHolder && now-l.seenSince < unknownHolderGrace {
		return false
	}
	term, err := l.write(ctx, row.Version)
	if err != nil {
		_ = level.Info(l.log).Log("event", "PlannerNotClaimed", "version", row.Version, "err", err)
		return false
	}
	l.term, l.renewed = term, now
	_ = level.Info(l.log).Log("event", "PlannerClaimed", "term", term, "before", row.Version, "holder", value.Instance)
	return true
}

// read returns the row and its value. An absent row has the zero version.
func (l *lease) read(ctx context.Context) (follow.Row, leaseRow, error) {
	rows, err := l.source.Rows(ctx, leaseTable)
	if err != nil {
		return follow.Row{}, leaseRow{}, err
	}
	for _, r := range rows {
		if r.Key != leaseKey {
			continue
		}
		var value leaseRow
		if err := json.Unmarshal(r.Value, &value); err != nil {
			_ = level.Error(l.log).Log("event", "LeaseMalformed", "key", r.Key, "err", err)
		}
		return r, value, nil
	}
	return follow.Row{}, leaseRow{}, nil
}

func (l *lease) write(ctx context.Context, version topo.Version) (topo.Version, error) {
	value, err := json.Marshal(leaseRow{l.instance, l.incarnation, l.source.Era()})
	if err != nil {
		return topo.Version{}, fault.New(fault.Internal, "cannot encode the lease row").WithCause(err)
	}
	return l.source.Commit(ctx, leaseTable, follow.Write{Key: leaseKey, Value: value, Conditional: true, Version: version})
}

// adoptOwnRow reads the row and, if this process wrote it, takes its version as
// the term. It reports false if the row is absent or another process wrote it; if
// the row cannot be read, or is of a later era, the lease is kept for restore.
func (l *lease) adoptOwnRow(ctx context.Context) bool {
	row, value, err := l.read(ctx)
	if err != nil || l.term.Era < l.source.Era() {
		return true
	}
	if value.Incarnation != l.incarnation {
		return false
	}
	l.term, l.renewed = row.Version, l.clock()
	return true
}

// release deletes the row, so that another gateway can plan at once.
func (l *lease) release(ctx context.Context) {
	if !l.held() {
		return
	}
	_, err := l.source.Commit(ctx, leaseTable, follow.Write{Key: leaseKey, Delete: true, Conditional: true, Version: l.term})
	_ = level.Info(l.log).Log("event", "PlannerReleased", "term", l.term, "err", err)
	l.term = topo.Version{}
}

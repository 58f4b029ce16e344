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
)

// lease is this gateway's view of the lease row.
type lease struct {
	source      follow.Source
	clock       follow.BootClock
	log         log.Logger
	instance    string
	incarnation string

	// term is the version of the row while this gateway holds the lease.
	term    uint64
	renewed time.Duration
	// checked is the time at which hold last found that this gateway holds the
	// lease.
	checked time.Duration
	// lastRead is the time of the last attempt to claim the lease, seenVersion the
	// version of the row that was read then, and seenSince the time at which that
	// version was first read.
	lastRead, seenSince time.Duration
	seenVersion         uint64
}

// hold renews or claims the lease if needed and reports whether this gateway
// plans. The argument otherTerm is the newest term received from another planner,
// and silence the time since that planner's last state message.
func (l *lease) hold(ctx context.Context, otherTerm uint64, silence time.Duration) bool {
	now := l.clock()
	if l.term > 0 && otherTerm > l.term {
		l.markLost("another gateway has a newer term", otherTerm)
	}
	held := false
	switch {
	case l.term > 0 && now-l.renewed < renewInterval && now-l.checked <= maxUnchecked:
		held = true
	case l.term > 0:
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

func (l *lease) markLost(why string, otherTerm uint64) {
	_ = level.Info(l.log).Log("event", "PlannerLost", "term", l.term, "era", l.source.Era(), "heard", otherTerm, "why", why)
	l.term = 0
}

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
			l.markLost("another gateway wrote the lease row", 0)
		}
	default:
		_ = level.Info(l.log).Log("event", "PlannerNotRenewed", "term", l.term, "era", l.source.Era(), "age", now-l.renewed, "err", err)
		l.renewed = now - renewInterval + renewInterval/4
	}
	return l.term > 0
}

// claim takes over the lease of a planner that is not heard from. If this
// gateway does not know the holder of the row, it waits for unknownHolderGrace
// first.
func (l *lease) claim(ctx context.Context, otherTerm uint64, now time.Duration) bool {
	if l.lastRead > 0 && now-l.lastRead < claimInterval {
		return false
	}
	l.lastRead = now
	row, holder, err := l.read(ctx)
	if err != nil {
		return false
	}
	if row.Version.Number != l.seenVersion {
		l.seenVersion, l.seenSince = row.Version.Number, now
	}
	unknownHolder := row.Version.Number != 0 && row.Version.Number != otherTerm && holder != l.instance
	if unknownHolder && now-l.seenSince < unknownHolderGrace {
		return false
	}
	term, err := l.write(ctx, row.Version.Number)
	if err != nil {
		_ = level.Info(l.log).Log("event", "PlannerNotClaimed", "version", row.Version, "era", l.source.Era(), "err", err)
		return false
	}
	l.term, l.renewed = term, now
	_ = level.Info(l.log).Log("event", "PlannerClaimed", "term", term, "era", l.source.Era(), "before", row.Version, "holder", holder)
	return true
}

// read returns the row and its holder: the incarnation of this process if it
// wrote the row itself, otherwise the instance that did. An absent row has
// version 0.
func (l *lease) read(ctx context.Context) (follow.Row, string, error) {
	rows, err := l.source.Rows(ctx, leaseTable)
	if err != nil {
		return follow.Row{}, "", err
	}
	for _, r := range rows {
		if r.Key != leaseKey {
			continue
		}
		var holder struct{ Instance, Incarnation string }
		if err := json.Unmarshal(r.Value, &holder); err != nil {
			_ = level.Error(l.log).Log("event", "LeaseMalformed", "key", r.Key, "err", err)
		}
		if holder.Incarnation == l.incarnation {
			return r, l.incarnation, nil
		}
		return r, holder.Instance, nil
	}
	return follow.Row{}, "", nil
}

func (l *lease) write(ctx context.Context, version uint64) (uint64, error) {
	value, err := json.Marshal(struct{ Instance, Incarnation string }{l.instance, l.incarnation})
	if err != nil {
		return 0, fault.New(fault.Internal, "cannot encode the lease row").WithCause(err)
	}
	written, err := l.source.Commit(ctx, leaseTable, follow.Write{Key: leaseKey, Value: value, Conditional: true, Version: l.version(version)})
	return written.Number, err
}

// version returns the version with a number in the current era; 0 is none.
func (l *lease) version(number uint64) topo.Version {
	if number == 0 {
		return topo.Version{}
	}
	return topo.Version{Era: l.source.Era(), Number: number}
}

// adoptOwnRow reads the row and, if this process wrote it, takes its version as
// the term. It reports false if the row is absent or another process wrote it; if
// the row cannot be read, the lease is kept.
func (l *lease) adoptOwnRow(ctx context.Context) bool {
	row, holder, err := l.read(ctx)
	if err != nil {
		return true
	}
	if holder != l.incarnation {
		return false
	}
	l.term, l.renewed = row.Version.Number, l.clock()
	return true
}

// release deletes the row, so that another gateway can plan at once.
func (l *lease) release(ctx context.Context) {
	if l.term == 0 {
		return
	}
	_, err := l.source.Commit(ctx, leaseTable, follow.Write{Key: leaseKey, Delete: true, Conditional: true, Version: l.version(l.term)})
	_ = level.Info(l.log).Log("event", "PlannerReleased", "term", l.term, "era", l.source.Era(), "err", err)
	l.term = 0
}

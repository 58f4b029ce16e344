// Package plan runs the planner of layer placement. One gateway plans at a
// time; the store decides which.
package plan

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/follow"
)

const (
	leaseTable = "leases"
	leaseKey   = "planner"
	// renewEvery is the interval at which the holder proves in the store that
	// it still holds the lease. Between the proofs, orders are safe because
	// targets accept them only in the state that the planner has seen.
	renewEvery = 4 * time.Second
	// silentFor is the time without a pulse of the planner after which another
	// gateway claims the lease; pulses come five times a second.
	silentFor = 1200 * time.Millisecond
	// unheardFor is how long the row of a gateway that was never heard must
	// stay; its link may not be up yet.
	unheardFor = 1500 * time.Millisecond
	// claimEvery is the interval between looks at the row of another gateway.
	claimEvery = 500 * time.Millisecond
)

// lease is this gateway's view of the planner's row.
type lease struct {
	source      follow.Source
	steady      follow.Clock
	log         log.Logger
	instance    string
	incarnation string

	// term is the version of the row while this gateway holds the lease.
	term    uint64
	renewed time.Duration
	// looked is the time of the last look at the row of another gateway, seen
	// its version and since when it has that version.
	looked, since time.Duration
	seen          uint64
}

// hold keeps or claims the lease and reports whether this gateway plans.
// Heard is the lease of another planner, and ago the time since its pulse.
func (l *lease) hold(ctx context.Context, heard uint64, ago time.Duration) bool {
	now := l.steady()
	if l.term > 0 && heard > l.term {
		l.lose("another gateway plans", heard)
	}
	switch {
	case l.term > 0 && now-l.renewed < renewEvery:
		return true
	case l.term > 0:
		return l.renew(ctx, now)
	case ago < silentFor:
		return false
	}
	return l.claim(ctx, heard, now)
}

func (l *lease) lose(why string, heard uint64) {
	_ = level.Info(l.log).Log("event", "PlannerLost", "term", l.term, "heard", heard, "why", why)
	l.term = 0
}

// renew writes the row anew. A store that does not answer leaves the lease as
// it is: nobody else can claim it either, or is heard once it has.
func (l *lease) renew(ctx context.Context, now time.Duration) bool {
	version, err := l.write(ctx, l.term)
	switch {
	case err == nil:
		l.term, l.renewed = version, now
	case fault.Is(err, fault.Conflict):
		// The row may be this gateway's own, written without an answer.
		if !l.own(ctx) {
			l.lose("the row is another's", 0)
		}
	default:
		_ = level.Info(l.log).Log("event", "PlannerNotRenewed", "term", l.term, "age", now-l.renewed, "err", err)
		l.renewed = now - renewEvery + renewEvery/4
	}
	return l.term > 0
}

// claim takes the lease over from a gateway that is silent. One that was never
// heard gets time to be heard first.
func (l *lease) claim(ctx context.Context, heard uint64, now time.Duration) bool {
	if l.looked > 0 && now-l.looked < claimEvery {
		return false
	}
	l.looked = now
	row, holder, err := l.read(ctx)
	if err != nil {
		return false
	}
	if row.Version != l.seen {
		l.seen, l.since = row.Version, now
	}
	strange := row.Version != 0 && row.Version != heard && holder != l.instance
	if strange && now-l.since < unheardFor {
		return false
	}
	term, err := l.write(ctx, row.Version)
	if err != nil {
		_ = level.Info(l.log).Log("event", "PlannerNotClaimed", "version", row.Version, "err", err)
		return false
	}
	l.term, l.renewed = term, now
	_ = level.Info(l.log).Log("event", "PlannerClaimed", "term", term, "before", row.Version, "holder", holder)
	return true
}

// read returns the row and the instance that wrote it; an absent row has
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
		return 0, fault.New(fault.Internal, "lease does not encode").WithCause(err)
	}
	return l.source.Commit(ctx, leaseTable, follow.Write{Key: leaseKey, Value: value, Conditional: true, Version: version})
}

// own reads the row and takes its version over if this process wrote it.
func (l *lease) own(ctx context.Context) bool {
	row, holder, err := l.read(ctx)
	if err != nil {
		return true
	}
	if holder != l.incarnation {
		return false
	}
	l.term, l.renewed = row.Version, l.steady()
	return true
}

// release gives the lease up, so that another gateway plans at once.
func (l *lease) release(ctx context.Context) {
	if l.term == 0 {
		return
	}
	_, err := l.source.Commit(ctx, leaseTable, follow.Write{Key: leaseKey, Delete: true, Conditional: true, Version: l.term})
	_ = level.Info(l.log).Log("event", "PlannerReleased", "term", l.term, "err", err)
	l.term = 0
}

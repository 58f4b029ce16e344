package agent

import (
	"time"

	"shallotcourse/internal/wire"
)

const (
	// quietReport is the interval of reports while the load hardly changes.
	// Reports every 200 ms were most of an entry's control traffic.
	quietReport = time.Second
	// notableShare is the change of a count that is reported at once.
	notableShare = 0.2
	// notableCount is the least change of a count that is reported at once.
	notableCount = 4
	// notableLimit is the factor by which the limit has to change for a report
	// at once: entries that know an old limit refuse callers for nothing.
	notableLimit = 1.1
	// notableDelay is the change of the queue delay that is reported at once.
	notableDelay = 5 * time.Millisecond
)

// reporter decides which load reports are worth sending. Entries correct their
// view by their own work, so small changes in between matter little.
type reporter struct {
	last wire.Load
	at   time.Time
}

// due reports whether the load has to be sent now, and takes it as sent.
func (r *reporter) due(l wire.Load, now time.Time) bool {
	if !r.at.IsZero() && now.Sub(r.at) < quietReport && !notable(r.last, l) {
		return false
	}
	r.last, r.at = l, now
	return true
}

// limitMoved reports whether the limit differs notably from the last report.
func (r *reporter) limitMoved(limit int) bool { return notableLimits(r.last.Limit, limit) }

func notable(a, b wire.Load) bool {
	if a.Ready != b.Ready || a.Leaving != b.Leaving || a.Version != b.Version || a.Layers != b.Layers {
		return true
	}
	return notableCounts(a.Open, b.Open) || notableLimits(a.Limit, b.Limit) ||
		(a.QueueDelay-b.QueueDelay).Abs() >= notableDelay
}

func notableCounts(a, b int) bool {
	d := max(a-b, b-a)
	return d >= notableCount && float64(d) >= notableShare*float64(max(a, b))
}

func notableLimits(a, b int) bool {
	return float64(max(a, b)) > notableLimit*float64(min(a, b))
}

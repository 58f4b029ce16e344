package agent

import (
	"time"

	"shallotcourse/internal/wire"
)

const (
	// maxReportInterval is the interval of reports while the load hardly
	// changes. Sending a report every 200 ms made up most of an entry's
	// control traffic.
	maxReportInterval = time.Second
	// minCountShare is the minimum relative change of a count that is
	// reported at once.
	minCountShare = 0.2
	// minCountChange is the minimum absolute change of a count that is
	// reported at once. It applies in addition to minCountShare.
	minCountChange = 4
	// minLimitFactor is the factor by which the limit must change to be
	// reported at once. Entries with an outdated limit refuse requests that
	// could be served.
	minLimitFactor = 1.1
	// minDelayChange is the change of the queue delay that is reported at
	// once.
	minDelayChange = 5 * time.Millisecond
)

// reportFilter decides which load reports are sent. Between reports, entries
// adjust their view of the load by the work that they send, so small changes
// matter little.
type reportFilter struct {
	last   wire.Load
	sentAt time.Time
}

// shouldSend reports whether a load report must be sent now. If so, it is
// recorded as sent.
func (r *reportFilter) shouldSend(l wire.Load, now time.Time) bool {
	if !r.sentAt.IsZero() && now.Sub(r.sentAt) < maxReportInterval && !significantChange(r.last, l) {
		return false
	}
	r.last, r.sentAt = l, now
	return true
}

// limitChanged reports whether the limit differs significantly from the one
// last reported.
func (r *reportFilter) limitChanged(limit int) bool { return limitChanged(r.last.Limit, limit) }

// significantChange reports whether two load reports differ enough to send
// the second one at once.
func significantChange(a, b wire.Load) bool {
	if a.Ready != b.Ready || a.Leaving != b.Leaving || a.Version != b.Version || a.Layers != b.Layers {
		return true
	}
	return countChanged(a.Open, b.Open) || limitChanged(a.Limit, b.Limit) ||
		(a.QueueDelay-b.QueueDelay).Abs() >= minDelayChange
}

func countChanged(a, b int) bool {
	d := max(a-b, b-a)
	return d >= minCountChange && float64(d) >= minCountShare*float64(max(a, b))
}

func limitChanged(a, b int) bool {
	return float64(max(a, b)) > minLimitFactor*float64(min(a, b))
}

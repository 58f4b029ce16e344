package cmds

import (
	"fmt"
	"runtime/debug"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/conf"
)

// heapShare is the share of MemoryMegabytes that the Go runtime may use before it
// collects garbage more often.
const heapShare = 0.6

// crowdReasons are the reasons for which connections are evicted and requests or
// connections refused.
var crowdReasons = []string{
	callersReason, checksReason, operatorsReason, linksReason,
	string(budget.Full), string(budget.Size), string(budget.Account), string(budget.GaveWay), string(budget.Stalled),
}

// callerStatus shows what callers hold, and how many of them were refused or evicted
// since the start of the process.
type callerStatus struct {
	MemoryBytes, MemoryBound     int64
	Connections, ConnectionBound int
	// Refused and Evicted hold the counts by reason.
	Refused, Evicted map[string]uint64
}

// limitHeap sets the heap from which the Go runtime collects garbage more often.
func limitHeap(megabytes int) {
	debug.SetMemoryLimit(int64(heapShare * float64(megabytes) * (1 << 20)))
}

// boundCallers creates the budget of the process, before its listeners, and exports
// the figures of its callers.
func (d *daemon) boundCallers(s conf.Callers, megabytes int) {
	d.budget = budget.New(budget.Options{Bytes: s.Bytes(megabytes), Clock: d.clock})
	d.crowd.budget = d.budget
	gauge := func(name string, value func(callerStatus) float64) {
		d.metrics.NewGauge("shallotcourse_"+name, func() float64 { return value(d.callerStatus()) })
	}
	gauge("caller_memory_bytes", func(s callerStatus) float64 { return float64(s.MemoryBytes) })
	gauge("caller_memory_bound_bytes", func(s callerStatus) float64 { return float64(s.MemoryBound) })
	gauge("caller_connections", func(s callerStatus) float64 { return float64(s.Connections) })
	for _, reason := range crowdReasons {
		label := fmt.Sprintf("{Reason=%q}", reason)
		gauge("callers_refused_total"+label, func(s callerStatus) float64 { return float64(s.Refused[reason]) })
		gauge("callers_evicted_total"+label, func(s callerStatus) float64 { return float64(s.Evicted[reason]) })
	}
}

func (d *daemon) callerStatus() callerStatus {
	stats, counts := d.budget.Stats(), d.crowd.counts()
	out := callerStatus{MemoryBytes: stats.Used, MemoryBound: stats.Bound, Refused: counts.Refused, Evicted: counts.Evicted}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.listeners {
		if l.conns.budget != nil {
			out.Connections, out.ConnectionBound = l.conns.size(), l.conns.limits.Connections
		}
	}
	return out
}

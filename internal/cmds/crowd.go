package cmds

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/timer"
)

// crowdLogInterval is the least time between two log lines on evicted and refused
// callers.
const crowdLogInterval = 5 * time.Second

type (
	// crowdCounts holds numbers of connections by reason.
	crowdCounts struct{ Evicted, Refused map[string]uint64 }

	// crowd counts the connections that were evicted or refused, and reports the
	// counts once per crowdLogInterval at most.
	crowd struct {
		clock timer.Service
		// report gets the counts since the last report. It may be nil.
		report func(crowdCounts)
		// budget is set before the first connection and counts what gives way for
		// lack of memory. It may be nil.
		budget *budget.Budget

		mu    sync.Mutex
		total crowdCounts
		// reported is the total at the last report.
		reported crowdCounts
		// waiting is true until crowdLogInterval has passed since the last report.
		waiting bool
	}
)

func newCrowd(clock timer.Service, report func(crowdCounts)) *crowd {
	return &crowd{clock: clock, report: report, total: newCrowdCounts(), reported: newCrowdCounts()}
}

func newCrowdCounts() crowdCounts {
	return crowdCounts{Evicted: map[string]uint64{}, Refused: map[string]uint64{}}
}

// noteEvicted counts a connection that was closed to make room.
func (c *crowd) noteEvicted(reason string) {
	c.mu.Lock()
	c.total.Evicted[reason]++
	c.mu.Unlock()
	c.reportNew()
}

// noteRefused counts a connection that was closed at a bound.
func (c *crowd) noteRefused(reason string) {
	c.mu.Lock()
	c.total.Refused[reason]++
	c.mu.Unlock()
	c.reportNew()
}

// noteMemory reports what the budget has counted.
func (c *crowd) noteMemory() { c.reportNew() }

// counts returns the totals, with those of the budget.
func (c *crowd) counts() crowdCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := crowdCounts{Evicted: maps.Clone(c.total.Evicted), Refused: maps.Clone(c.total.Refused)}
	if c.budget == nil {
		return out
	}
	stats := c.budget.Stats()
	for reason, n := range stats.Evicted {
		out.Evicted[string(reason)] += n
	}
	for reason, n := range stats.Refused {
		out.Refused[string(reason)] += n
	}
	return out
}

// reportNew reports what has been counted since the last report, unless that was
// less than crowdLogInterval ago.
func (c *crowd) reportNew() {
	if fresh, ok := c.takeNew(); ok {
		if c.report != nil {
			c.report(fresh)
		}
		c.clock.After(crowdLogInterval, func() {
			c.mu.Lock()
			c.waiting = false
			c.mu.Unlock()
			c.reportNew()
		})
	}
}

func (c *crowd) takeNew() (fresh crowdCounts, ok bool) {
	total := c.counts()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		return fresh, false
	}
	fresh = total.since(c.reported)
	if len(fresh.Evicted)+len(fresh.Refused) == 0 {
		return fresh, false
	}
	c.reported, c.waiting = total, true
	return fresh, true
}

// since returns the counts that have grown, less the earlier ones.
func (c crowdCounts) since(before crowdCounts) crowdCounts {
	grown := func(now, before map[string]uint64) map[string]uint64 {
		out := map[string]uint64{}
		for reason, n := range now {
			if n > before[reason] {
				out[reason] = n - before[reason]
			}
		}
		return out
	}
	return crowdCounts{Evicted: grown(c.Evicted, before.Evicted), Refused: grown(c.Refused, before.Refused)}
}

// countsText returns the counts in the order of their reasons.
func countsText(counts map[string]uint64) string {
	var texts []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		texts = append(texts, fmt.Sprintf("%s:%d", reason, counts[reason]))
	}
	return strings.Join(texts, ",")
}

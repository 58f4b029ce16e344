package limit

import (
	"slices"
	"strings"
	"time"

	"shallotcourse/internal/topo"
)

const (
	// maxPause bounds the pauses that are kept to. A longer one is more likely to be
	// in a wrong unit, and would take a sound target out of use unnoticed; one that
	// wants nothing for longer can say so again.
	maxPause = 10 * time.Minute
	// maxPauses bounds the pauses that are kept; the one that ends first is dropped.
	maxPauses = 1024
)

type (
	// Pause is the time for which a target wants nothing from this gateway.
	Pause struct {
		Target  string
		Started int64
		// Age is the time since it began, Left the time until it ends; positive.
		Age, Left time.Duration
	}

	pause struct {
		started      int64
		since, until time.Time
	}
)

// Pauses records that a target has said in a refusal that it wants nothing from this
// gateway for some time. An earlier pause that ends later stays in force. It reports
// whether the target did not pause before. Other gateways are not told.
func (l *TargetLimiter) Pauses(t topo.Target, d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	until := now.Add(min(d, maxPause))
	known := l.pauses[t.ID]
	switch {
	case d <= 0, known != nil && t.Started < known.started:
		return false
	case known != nil && t.Started == known.started && now.Before(known.until):
		known.until = later(known.until, until)
		return false
	case known == nil && len(l.pauses) >= maxPauses:
		l.dropPause()
	}
	l.pauses[t.ID] = &pause{started: t.Started, since: now, until: until}
	return true
}

// Paused returns the pauses in force, in the order of the targets' IDs.
func (l *TargetLimiter) Paused() []Pause {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var out []Pause
	for id, k := range l.pauses {
		if !now.Before(k.until) {
			delete(l.pauses, id)
			continue
		}
		out = append(out, Pause{Target: id, Started: k.started, Age: now.Sub(k.since), Left: k.until.Sub(now)})
	}
	slices.SortFunc(out, func(a, b Pause) int { return strings.Compare(a.Target, b.Target) })
	return out
}

// pausedFor returns how long a target wants nothing from this gateway; 0 if it takes
// requests. The caller holds the lock.
func (l *TargetLimiter) pausedFor(t topo.Target) time.Duration {
	k := l.pauses[t.ID]
	if k == nil || t.Started > k.started {
		return 0
	}
	return max(0, k.until.Sub(l.clock.Now()))
}

func (l *TargetLimiter) dropPause() {
	first := ""
	for id, k := range l.pauses {
		if first == "" || k.until.Before(l.pauses[first].until) {
			first = id
		}
	}
	delete(l.pauses, first)
}

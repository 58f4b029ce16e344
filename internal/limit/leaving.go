package limit

import (
	"time"

	"shallotcourse/internal/topo"
)

const (
	// maxLeaves bounds the leaving targets that are kept. The one that was listed
	// longest ago is dropped first.
	maxLeaves = 1024
	// leaveMaxUnlisted is how long a leaving target is kept that is not listed any
	// more. The list may come back from an older copy and name it again.
	leaveMaxUnlisted = 10 * time.Minute
	// noLimit is the PerSecond of an entry that says nothing about a limit. Builds
	// that know only limits ignore such entries.
	noLimit = -1
)

type (
	// Standing is what a target has said of whether it takes requests now.
	Standing struct {
		// Leaving is set once the target has said that it leaves.
		Leaving bool
		// PausedFor is how long it wants nothing from this gateway; 0 if it takes
		// requests.
		PausedFor time.Duration
		// Full is set while its limit leaves this gateway no place.
		Full bool
	}

	// leave is a target that has said that it leaves.
	leave struct {
		started int64
		// saidAt is when it said so, learnedAt when this gateway learned of it, and
		// listedAt when the target was last in the list.
		saidAt, learnedAt, listedAt time.Time
		// seenBy is the gateway that it said so to.
		seenBy string
	}
)

// TakesWork reports whether the target may get anything new at all, be it as a
// later part of a path.
func (s Standing) TakesWork() bool { return !s.Leaving && s.PausedFor <= 0 }

// Standing returns what a target has said of whether it takes requests now.
func (l *TargetLimiter) Standing(t topo.Target) Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.inForce(t)
	return Standing{
		Leaving: l.isLeaving(t), PausedFor: l.pausedFor(t), Full: k != nil && (k.share <= 0 || l.clock.Now().Before(k.next)),
	}
}

// Leaves records that a target has said in an answer to this gateway that it
// leaves. It reports whether that was unknown.
func (l *TargetLimiter) Leaves(t topo.Target) bool {
	return l.note(TargetLimit{Target: t.ID, Started: t.Started, PerSecond: noLimit, Leaving: true, SeenBy: l.self.Instance})
}

// Leaving returns the targets that have said that they leave, in the order of their
// IDs.
func (l *TargetLimiter) Leaving() []TargetLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sortedByTarget(l.collectLeaves(func(*leave) bool { return true }))
}

// NoteList takes note of the target list. It forgets pauses and leaving targets of
// which the list has a newer incarnation, pauses that are over, and leaving targets
// that have been missing for long.
func (l *TargetLimiter) NoteList(list topo.Fleet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for id, k := range l.pauses {
		if t, listed := list.Target(id); listed && t.Started > k.started || !now.Before(k.until) {
			delete(l.pauses, id)
		}
	}
	for id, k := range l.leaves {
		t, listed := list.Target(id)
		switch {
		case listed && t.Started > k.started, !listed && now.Sub(k.listedAt) > leaveMaxUnlisted:
			delete(l.leaves, id)
		case listed:
			k.listedAt = now
		}
	}
}

// isLeaving reports whether an incarnation, or a newer one of the same target that
// is not listed yet, has said that it leaves. The caller holds the lock.
func (l *TargetLimiter) isLeaving(t topo.Target) bool {
	k := l.leaves[t.ID]
	return k != nil && t.Started <= k.started
}

// applyLeave records that a target leaves, and reports whether that was unknown. The
// caller holds the lock.
func (l *TargetLimiter) applyLeave(m TargetLimit) bool {
	known := l.leaves[m.Target]
	if known != nil && m.Started <= known.started {
		return false
	}
	if known == nil && len(l.leaves) >= maxLeaves {
		l.dropLeave()
	}
	now := l.clock.Now()
	l.leaves[m.Target] = &leave{started: m.Started, saidAt: now.Add(-m.Age), learnedAt: now, listedAt: now, seenBy: m.SeenBy}
	return true
}

func (l *TargetLimiter) dropLeave() {
	oldest := ""
	for id, k := range l.leaves {
		if oldest == "" || k.listedAt.Before(l.leaves[oldest].listedAt) {
			oldest = id
		}
	}
	delete(l.leaves, oldest)
}

// collectLeaves returns the leaving targets that the filter selects. The caller
// holds the lock.
func (l *TargetLimiter) collectLeaves(filter func(*leave) bool) []TargetLimit {
	now := l.clock.Now()
	var out []TargetLimit
	for id, k := range l.leaves {
		if filter(k) {
			out = append(out, TargetLimit{
				Target: id, Started: k.started, PerSecond: noLimit, Leaving: true, Age: now.Sub(k.saidAt), SeenBy: k.seenBy,
			})
		}
	}
	return out
}

// Package ledger keeps what a gateway knows of the targets beyond the target
// list: the work in flight at each, and which of them are suspected after a
// failure or unresponsive.
package ledger

import (
	"math"
	"sync"
	"time"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// peerLoadTTL is how long another gateway's loads count after its last report;
	// up to ten lost reports in a row do no harm.
	peerLoadTTL = 2500 * time.Millisecond
	// firstSuspicionTime is how long a target is avoided after its first failure.
	// A target that crashed leaves the target list within three heartbeats.
	firstSuspicionTime = 1500 * time.Millisecond
	// maxSuspicionTime bounds the doubling of firstSuspicionTime.
	maxSuspicionTime = 8 * time.Second
	// maxLag bounds the lag that ExpectedLoads takes into account.
	maxLag = 500 * time.Millisecond
	// failureMemory is the time without a failure after which the next one counts
	// as the first.
	failureMemory = 12 * time.Second
	// endMemory is how long the end of a target is remembered. It is longer than
	// any request lasts that may have run there.
	endMemory = time.Minute
)

type (
	// Suspicion describes a suspected target, which failed and is avoided for some
	// time.
	Suspicion struct {
		ID string
		// Started is the start time of the suspected incarnation.
		Started int64
		// Left is the time for which the target is still avoided.
		Left time.Duration
	}

	// Ledger holds the loads and suspicions that a gateway knows of. It is safe for
	// concurrent use.
	Ledger struct {
		clock timer.Service

		mu sync.Mutex
		// ownLoads holds the loads of this gateway by target, peerLoads those of
		// the other gateways by instance.
		ownLoads  map[string]chain.Load
		peerLoads map[string]peerLoad
		// recentOpens holds the requests that were opened within maxLag, oldest
		// first.
		recentOpens []recentOpen
		suspicions  map[string]suspicion
		// unresponsive holds the targets that the planner found unresponsive.
		unresponsive map[string]suspicion
		// ended holds the incarnations of targets that have certainly ended, by ID.
		ended map[string]endedTarget
		// changed is closed and replaced when a suspicion or an unresponsive
		// target is added.
		changed chan struct{}
		// late counts overlong pauses of streams since the last call of
		// TakeLatePauses.
		late int
	}

	// peerLoad is the last load report of another gateway.
	peerLoad struct {
		at    time.Time
		loads map[string]chain.Load
	}

	// recentOpen is a request that was opened lately, for ExpectedLoads.
	recentOpen struct {
		at             time.Time
		tokens, unread int
		hops           []chain.Hop
	}

	// suspicion is the state of a target that failed or is unresponsive.
	suspicion struct {
		started int64
		until   time.Time
		// last is the time of the last failure, duration the length of the
		// suspicion that it caused.
		last     time.Time
		duration time.Duration
	}

	// endedTarget is an incarnation that has ended, and when that was learned.
	endedTarget struct {
		started int64
		at      time.Time
	}

	// Ticket is the record of a request in flight.
	Ticket struct {
		ledger *Ledger
		tokens int
		// unread is the number of prompt tokens until the prompt has been read, 0
		// afterwards.
		unread int
		hops   []chain.Hop
	}
)

// New returns an empty ledger.
func New(clock timer.Service) *Ledger {
	return &Ledger{
		clock: clock, ownLoads: map[string]chain.Load{}, peerLoads: map[string]peerLoad{}, suspicions: map[string]suspicion{}, unresponsive: map[string]suspicion{},
		ended:   map[string]endedTarget{},
		changed: make(chan struct{}),
	}
}

// Open adds a request that passes through hops. It needs memory for the given
// number of tokens; prompt is the number of those to be read before its first
// event.
func (l *Ledger) Open(tokens, prompt int, hops []chain.Hop) *Ticket {
	t := &Ticket{ledger: l, tokens: tokens, unread: prompt, hops: hops}
	l.mu.Lock()
	defer l.mu.Unlock()
	t.addToOwnLoads(1)
	now := l.clock.Now()
	for len(l.recentOpens) > 0 && now.Sub(l.recentOpens[0].at) > maxLag {
		l.recentOpens = l.recentOpens[1:]
	}
	l.recentOpens = append(l.recentOpens, recentOpen{now, tokens, prompt, hops})
	return t
}

// Move replaces the hops of a request.
func (t *Ticket) Move(hops []chain.Hop) {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	t.addToOwnLoads(-1)
	t.hops = hops
	t.addToOwnLoads(1)
}

// PromptRead records that the prompt has been read.
func (t *Ticket) PromptRead() {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	if t.unread == 0 {
		return
	}
	t.addToOwnLoads(-1)
	t.unread = 0
	t.addToOwnLoads(1)
}

// Close removes the request.
func (t *Ticket) Close() { t.Move(nil) }

// addToOwnLoads adds the request to the gateway's own loads, or removes it if sign
// is -1. The caller holds the ledger's lock.
func (t *Ticket) addToOwnLoads(sign int) {
	for i, h := range t.hops {
		u := t.ledger.ownLoads[h.Target.ID]
		u.TokenLayers += float64(sign * t.tokens * h.Layers.Len())
		u.Running += sign
		u.Unread += sign * t.unread
		if i == 0 {
			u.First += sign
		}
		if u.Running <= 0 {
			delete(t.ledger.ownLoads, h.Target.ID)
			continue
		}
		t.ledger.ownLoads[h.Target.ID] = u
	}
}

// OwnLoads returns the load of this gateway at each target.
func (l *Ledger) OwnLoads() map[string]chain.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]chain.Load, len(l.ownLoads))
	for id, u := range l.ownLoads {
		out[id] = u
	}
	return out
}

// SetPeerLoads replaces the loads of another gateway.
func (l *Ledger) SetPeerLoads(instance string, loads map[string]chain.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerLoads[instance] = peerLoad{l.clock.Now(), loads}
}

// SetAllPeerLoads replaces the loads of all other gateways by one report, which
// contains the sum of theirs.
func (l *Ledger) SetAllPeerLoads(instance string, loads map[string]chain.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.peerLoads)
	l.peerLoads[instance] = peerLoad{l.clock.Now(), loads}
}

// RemovePeerLoads removes the loads of another gateway. It is called when the
// report of a third gateway contains them.
func (l *Ledger) RemovePeerLoads(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peerLoads, instance)
}

// ReportAges returns the time since the last load report of each other gateway that
// still counts.
func (l *Ledger) ReportAges() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	out := make(map[string]time.Duration, len(l.peerLoads))
	for instance, p := range l.peerLoads {
		if age := now.Sub(p.at); age <= peerLoadTTL {
			out[instance] = age
		}
	}
	return out
}

// ExpectedLoads returns the load of all gateways at each target, including the
// requests that the others are expected to have opened since their last
// reports: for each one that this gateway has opened within the lag, othersPerOwn.
// Without these, all gateways would fill the same free capacity at once.
func (l *Ledger) ExpectedLoads(othersPerOwn float64, lag time.Duration) map[string]chain.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.allLoads()
	now := l.clock.Now()
	others := int(math.Round(othersPerOwn))
	for _, o := range l.recentOpens {
		if now.Sub(o.at) > lag {
			continue
		}
		for i, h := range o.hops {
			more := chain.Load{TokenLayers: othersPerOwn * float64(o.tokens*h.Layers.Len()), Running: others, Unread: int(othersPerOwn * float64(o.unread))}
			if i == 0 {
				more.First = others
			}
			out[h.Target.ID] = out[h.Target.ID].Plus(more)
		}
	}
	return out
}

// TotalLoads returns the load of all gateways at each target.
func (l *Ledger) TotalLoads() map[string]chain.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allLoads()
}

// allLoads implements TotalLoads. The caller holds the lock.
func (l *Ledger) allLoads() map[string]chain.Load {
	out := make(map[string]chain.Load, len(l.ownLoads))
	add := func(loads map[string]chain.Load) {
		for id, u := range loads {
			out[id] = out[id].Plus(u)
		}
	}
	add(l.ownLoads)
	now := l.clock.Now()
	for instance, p := range l.peerLoads {
		if now.Sub(p.at) > peerLoadTTL {
			delete(l.peerLoads, instance)
			continue
		}
		add(p.loads)
	}
	return out
}

// RecordFailure records a failure of a target, which is then avoided for a time
// that doubles with each failure. It reports whether the suspicion is new.
func (l *Ledger) RecordFailure(t topo.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	d, known := l.suspicions[t.ID]
	if known && d.started == t.Started && now.Before(d.until) {
		return false
	}
	if known && d.started == t.Started && now.Sub(d.last) < failureMemory {
		d.duration = min(2*d.duration, maxSuspicionTime)
	} else {
		d = suspicion{started: t.Started, duration: firstSuspicionTime}
	}
	d.last, d.until = now, now.Add(d.duration)
	l.suspicions[t.ID] = d
	l.notifyChanged()
	return true
}

// AddPeerSuspicion adds a suspicion of another gateway and reports whether it
// is new.
func (l *Ledger) AddPeerSuspicion(h Suspicion) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	d, known := l.suspicions[h.ID]
	if known && (d.started > h.Started || now.Before(d.until)) {
		return false
	}
	// A suspicion that is sent back to its source must not be renewed by that.
	if h.Left < 100*time.Millisecond || known && d.started == h.Started && now.Sub(d.last) < 2*d.duration {
		return false
	}
	l.suspicions[h.ID] = suspicion{started: h.Started, until: now.Add(min(h.Left, maxSuspicionTime)), last: now, duration: max(firstSuspicionTime, min(h.Left, maxSuspicionTime))}
	l.notifyChanged()
	return true
}

// Suspected reports whether a target is suspected or unresponsive and therefore
// avoided.
func (l *Ledger) Suspected(t topo.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isSuspected(t, l.clock.Now())
}

// SuspectedAmong returns the IDs of those targets that are avoided.
func (l *Ledger) SuspectedAmong(targets []topo.Target) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.suspicions) == 0 && len(l.unresponsive) == 0 {
		return nil
	}
	out := map[string]bool{}
	now := l.clock.Now()
	for _, t := range targets {
		if l.isSuspected(t, now) {
			out[t.ID] = true
		}
	}
	return out
}

func (l *Ledger) isSuspected(t topo.Target, now time.Time) bool {
	d, ok := l.suspicions[t.ID]
	return ok && d.started == t.Started && now.Before(d.until) || l.isUnresponsive(t, now)
}

// Unresponsive reports whether the planner found a target unresponsive.
func (l *Ledger) Unresponsive(t topo.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isUnresponsive(t, l.clock.Now())
}

// RecordEnd records that an incarnation of a target has certainly ended.
func (l *Ledger) RecordEnd(t topo.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for id, e := range l.ended {
		if now.Sub(e.at) > endMemory {
			delete(l.ended, id)
		}
	}
	l.ended[t.ID] = endedTarget{t.Started, now}
}

// Ended reports whether the incarnation of a target has certainly ended.
func (l *Ledger) Ended(t topo.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.ended[t.ID]
	return ok && e.started == t.Started
}

func (l *Ledger) isUnresponsive(t topo.Target, now time.Time) bool {
	d, ok := l.unresponsive[t.ID]
	return ok && d.started == t.Started && now.Before(d.until)
}

// SetUnresponsive adds targets that the planner found unresponsive.
func (l *Ledger) SetUnresponsive(targets []Suspicion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	changed := false
	for _, h := range targets {
		d := l.unresponsive[h.ID]
		changed = changed || d.started != h.Started || now.After(d.until)
		l.unresponsive[h.ID] = suspicion{started: h.Started, until: now.Add(h.Left)}
	}
	for id, d := range l.unresponsive {
		if now.Sub(d.until) > failureMemory {
			delete(l.unresponsive, id)
		}
	}
	if changed {
		l.notifyChanged()
	}
}

// Suspicions returns the current suspicions, without the targets that are only
// unresponsive.
func (l *Ledger) Suspicions() []Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var out []Suspicion
	for id, d := range l.suspicions {
		switch {
		case now.Before(d.until):
			out = append(out, Suspicion{ID: id, Started: d.started, Left: d.until.Sub(now)})
		case now.Sub(d.last) > failureMemory:
			delete(l.suspicions, id)
		}
	}
	return out
}

// notifyChanged wakes those that wait on Changed. The caller holds the lock.
func (l *Ledger) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the next suspicion or
// unresponsive target is added.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// OpenPlain adds a request to a target of a plain service.
func (l *Ledger) OpenPlain(t topo.Target) *Ticket { return l.Open(0, 0, []chain.Hop{{Target: t}}) }

// ClearSuspicion ends the suspicion of a target that answers, and resets its
// count of failures.
func (l *Ledger) ClearSuspicion(t topo.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.suspicions[t.ID]; ok && d.started == t.Started {
		delete(l.suspicions, t.ID)
	}
}

// CountLatePause counts a pause of a stream that was longer than its route
// allows.
func (l *Ledger) CountLatePause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late++
}

// TakeLatePauses returns the number of overlong pauses since the last call.
func (l *Ledger) TakeLatePauses() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.late
	l.late = 0
	return n
}

package limit

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// minGatewayShare is the minimum rate, in requests per second, that a gateway
	// gets of a target's limit. With a lower limit, fewer gateways use the target.
	minGatewayShare = 0.5
	// minTargetRate is the rate, in requests per second of all gateways together,
	// at which a target is asked that names a lower limit. Without any request, its
	// end would not be noticed.
	minTargetRate = 0.1
	// firstShare reduces the share of a gateway within firstShareTime after its
	// start, in which the others may not know of it yet.
	firstShare     = 0.5
	firstShareTime = 6 * time.Second
	// unusedTime is the time for which an unused part of a share may be used later.
	unusedTime = 100 * time.Millisecond
	// targetLimitMaxAge is the time without an answer of the target after which
	// its limit is forgotten.
	targetLimitMaxAge = time.Minute
	// maxTargetLimits bounds the limits that are kept; the oldest are dropped.
	maxTargetLimits = 1024
	// changeRepeatTime is how long a change of a limit is part of each report, so
	// that lost reports do no harm. Confirmations of the same limit are reported
	// every confirmationInterval.
	changeRepeatTime     = 2 * time.Second
	confirmationInterval = 2 * time.Second
	// maxNamedRate bounds the limits that are accepted, in requests per second.
	maxNamedRate = 1e9
	// describedLimits is the number of limits that a description names.
	describedLimits = 5
)

type (
	// TargetLimit is what a target said of itself in an answer to any gateway: the
	// limit that the last answer named, or that it leaves.
	TargetLimit struct {
		Target string
		// Started is the start time of the target's incarnation.
		Started int64
		// Ended is set if the answer named no limit any more.
		Ended bool `cbor:",omitempty"`
		// PerSecond is the requests per second that the target takes from all
		// gateways together; not negative.
		PerSecond float64
		// Age is the time since the answer, and SeenBy the gateway that got it.
		Age    time.Duration
		SeenBy string
		// Leaving is set in an entry which says that the target leaves, and nothing
		// about a limit.
		Leaving bool `cbor:",omitempty"`
		// Share is the part of PerSecond that the reporting gateway uses itself.
		Share float64 `cbor:"-"`
	}

	// Gateway is a gateway that shares the limits of targets.
	Gateway struct{ Instance, DataCentre string }

	// Gateways is the list of the other gateways. Version changes with it.
	Gateways interface {
		Version() uint64
		Gateways() []Gateway
	}

	// TargetLimiter holds what targets say in their answers of whether they take
	// requests now. It keeps the requests of all gateways to a target within the
	// limit that the target names. Each gateway of a fixed choice gets an equal
	// share, so that gateways that cannot hear one another keep to the limit too.
	// It is safe for concurrent use.
	TargetLimiter struct {
		clock    timer.Service
		self     Gateway
		gateways Gateways
		start    time.Time

		mu sync.Mutex
		// limits is keyed by the target's ID.
		limits map[string]*namedLimit
		// leaves is keyed by the target's ID.
		leaves map[string]*leave
		// pauses is keyed by the target's ID.
		pauses map[string]*pause
		// waiting counts the requests that wait for the limits of a service's
		// targets.
		waiting map[string]int
		publish func([]TargetLimit)
	}

	namedLimit struct {
		started int64
		ended   bool
		rate    float64
		// at is when the last answer arrived, changed when this gateway learned of
		// the last change, and reported when the limit was last part of a report.
		at, changed, reported time.Time
		seenBy                string
		// share is the own rate, and rank the own place among the gateways that use
		// the target, both for the conditions in basis. share is 0 before they are
		// known.
		share float64
		rank  int
		basis shareBasis
		// next is when this gateway may send the next request.
		next time.Time
	}
)

// shareBasis is what the own share of a limit depends on. The zero value stands for
// a share that is to be computed.
type shareBasis struct {
	known   bool
	version uint64
	// first is set within firstShareTime.
	first bool
}

// NewTargetLimiter returns a TargetLimiter without limits.
func NewTargetLimiter(clock timer.Service, self Gateway, gateways Gateways) *TargetLimiter {
	return &TargetLimiter{
		clock: clock, self: self, gateways: gateways, start: clock.Now(), limits: map[string]*namedLimit{}, leaves: map[string]*leave{},
		pauses: map[string]*pause{}, waiting: map[string]int{}, publish: func([]TargetLimit) {},
	}
}

// SetPublish sets the function that sends changes to the other gateways.
func (l *TargetLimiter) SetPublish(publish func([]TargetLimit)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publish = publish
}

// Named records that a target has named a limit in an answer to this gateway. It
// reports whether that is a change.
func (l *TargetLimiter) Named(t topo.Target, perSecond float64) bool {
	return l.note(TargetLimit{Target: t.ID, Started: t.Started, PerSecond: perSecond, SeenBy: l.self.Instance})
}

// NotNamed records that a target has named no limit in an answer to this gateway.
// It reports whether that is a change.
func (l *TargetLimiter) NotNamed(t topo.Target) bool {
	l.mu.Lock()
	known := l.limits[t.ID]
	l.mu.Unlock()
	if known == nil {
		return false
	}
	return l.note(TargetLimit{Target: t.ID, Started: t.Started, Ended: true, SeenBy: l.self.Instance})
}

func (l *TargetLimiter) note(m TargetLimit) bool {
	l.mu.Lock()
	changed := l.apply(m)
	publish := l.publish
	l.mu.Unlock()
	if changed {
		publish([]TargetLimit{m})
	}
	return changed
}

// apply records what a target named, unless something newer is known, and reports
// whether that is a change. The caller holds the lock.
func (l *TargetLimiter) apply(m TargetLimit) bool {
	if m.Leaving {
		return l.applyLeave(m)
	}
	now := l.clock.Now()
	at := now.Add(-m.Age)
	k := l.limits[m.Target]
	switch {
	case k == nil || m.Started > k.started:
		if k == nil && m.Ended {
			return false
		}
		l.makeRoom()
		k = &namedLimit{started: m.Started, ended: true}
		l.limits[m.Target] = k
	case m.Started < k.started || !at.After(k.at):
		return false
	}
	k.at, k.seenBy = at, m.SeenBy
	if k.ended == m.Ended && (m.Ended || k.rate == m.PerSecond) {
		return false
	}
	k.ended, k.rate, k.changed, k.share, k.basis = m.Ended, m.PerSecond, now, 0, shareBasis{}
	return true
}

// makeRoom drops the limit with the oldest answer if there are too many. The caller
// holds the lock.
func (l *TargetLimiter) makeRoom() {
	if len(l.limits) < maxTargetLimits {
		return
	}
	oldest := ""
	for id, k := range l.limits {
		if oldest == "" || k.at.Before(l.limits[oldest].at) {
			oldest = id
		}
	}
	delete(l.limits, oldest)
}

// Take reports whether a request may be sent to a target now, and counts it if so.
func (l *TargetLimiter) Take(t topo.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isLeaving(t) || l.pausedFor(t) > 0 {
		return false
	}
	k := l.inForce(t)
	if k == nil {
		return true
	}
	now := l.clock.Now()
	if k.share <= 0 || now.Before(k.next) {
		return false
	}
	k.next = later(k.next, now.Add(-unusedTime)).Add(seconds(1 / k.share))
	return true
}

// inForce returns the limit of a target with its share up to date, or nil. The
// caller holds the lock.
func (l *TargetLimiter) inForce(t topo.Target) *namedLimit {
	k := l.limits[t.ID]
	if k == nil || k.ended || k.started != t.Started {
		return nil
	}
	now := l.clock.Now()
	if now.Sub(k.at) > targetLimitMaxAge {
		delete(l.limits, t.ID)
		return nil
	}
	basis := shareBasis{known: true, version: l.gateways.Version(), first: now.Sub(l.start) < firstShareTime}
	if basis != k.basis {
		k.basis = basis
		l.updateShare(k, t, now)
	}
	return k
}

// updateShare computes the own share of a limit. The caller holds the lock.
func (l *TargetLimiter) updateShare(k *namedLimit, t topo.Target, now time.Time) {
	before := k.share
	k.share, k.rank = shareOf(l.self, l.gateways.Gateways(), t, k.rate)
	if k.basis.first {
		k.share *= firstShare
	}
	if k.share <= 0 {
		return
	}
	// Gateways begin one after another, not all at once.
	first := now.Add(seconds(float64(k.rank+1) / max(k.rate, minTargetRate)))
	if before <= 0 || k.next.After(first) {
		k.next = first
	}
}

// shareOf returns the requests per second that a gateway may send to a target with
// the given limit, and its place among those that may send any.
func shareOf(self Gateway, others []Gateway, t topo.Target, rate float64) (share float64, rank int) {
	rate = max(rate, minTargetRate)
	users := min(max(1, int(rate/minGatewayShare)), len(others)+1)
	own := preference(self, t)
	for _, g := range others {
		if preference(g, t).before(own) {
			rank++
		}
	}
	if rank >= users {
		return 0, rank
	}
	return rate / float64(users), rank
}

// rankKey orders the gateways that may use a target: those in its data centre first.
type rankKey struct {
	remote   int
	hash     uint64
	instance string
}

func preference(g Gateway, t topo.Target) rankKey {
	h := fnv.New64a()
	_, _ = h.Write([]byte(g.Instance + "\x00" + t.ID)) // never fails
	k := rankKey{hash: h.Sum64(), instance: g.Instance}
	if g.DataCentre != t.DataCentre {
		k.remote = 1
	}
	return k
}

func (k rankKey) before(o rankKey) bool {
	return cmp.Or(cmp.Compare(k.remote, o.remote), cmp.Compare(k.hash, o.hash), cmp.Compare(k.instance, o.instance)) < 0
}

// Wait registers a request that waits until some time for one of the targets of a
// service to take a request. It returns false if those that wait already will use up
// all that the limits allow until then. The returned function ends the wait.
func (l *TargetLimiter) Wait(service string, targets []topo.Target, until time.Time) (leave func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	free := 0
	for _, t := range targets {
		if k := l.inForce(t); k != nil && !l.isLeaving(t) && l.pausedFor(t) <= 0 && k.share > 0 && until.After(k.next) {
			free += 1 + int(until.Sub(later(k.next, l.clock.Now())).Seconds()*k.share)
		}
	}
	if free <= l.waiting[service] {
		return nil, false
	}
	l.waiting[service]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.waiting[service]--; l.waiting[service] == 0 {
			delete(l.waiting, service)
		}
	}, true
}

// Limits returns the limits in force, in the order of the targets' IDs.
func (l *TargetLimiter) Limits() []TargetLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sortedByTarget(l.collect(func(k *namedLimit) bool { return !k.ended }))
}

// Describe returns the limits in force of some targets for the log.
func (l *TargetLimiter) Describe(targets []topo.Target) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, t := range targets {
		if k := l.inForce(t); k != nil && len(out) < describedLimits {
			out = append(out, fmt.Sprintf("%s takes %g/s, %.2g/s from here, said %s ago to %s", t.ID, k.rate, k.share,
				l.clock.Now().Sub(k.at).Round(time.Millisecond), k.seenBy))
		}
	}
	return strings.Join(out, "; ")
}

// Report returns what other gateways need: changes, new leaves, and limits that an answer has
// confirmed since they were last reported. With relay, it also contains what other
// gateways have seen; with all, everything.
func (l *TargetLimiter) Report(relay, all bool) []TargetLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	out := l.collectLeaves(func(k *leave) bool {
		return all || (relay || k.seenBy == l.self.Instance) && now.Sub(k.learnedAt) <= changeRepeatTime
	})
	return sortedByTarget(append(out, l.collect(func(k *namedLimit) bool {
		switch {
		case all:
			return true
		case !relay && k.seenBy != l.self.Instance:
			return false
		case now.Sub(k.changed) <= changeRepeatTime, k.at.After(k.reported) && now.Sub(k.reported) >= confirmationInterval:
			k.reported = now
			return true
		}
		return false
	})...))
}

// collect returns the limits that the filter selects, and drops those that are too
// old. The caller holds the lock.
func (l *TargetLimiter) collect(filter func(*namedLimit) bool) []TargetLimit {
	now := l.clock.Now()
	var out []TargetLimit
	for id, k := range l.limits {
		if now.Sub(k.at) > targetLimitMaxAge {
			delete(l.limits, id)
			continue
		}
		if filter(k) {
			out = append(out, TargetLimit{
				Target: id, Started: k.started, Ended: k.ended, PerSecond: k.rate, Age: now.Sub(k.at), SeenBy: k.seenBy, Share: k.share,
			})
		}
	}
	return out
}

func sortedByTarget(limits []TargetLimit) []TargetLimit {
	slices.SortFunc(limits, func(a, b TargetLimit) int { return strings.Compare(a.Target, b.Target) })
	return limits
}

// Merge records what other gateways have been told, and returns what changed.
func (l *TargetLimiter) Merge(limits []TargetLimit) []TargetLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var fresh []TargetLimit
	for _, m := range limits {
		valid := m.Leaving || m.PerSecond >= 0 && m.PerSecond <= maxNamedRate && m.Age <= targetLimitMaxAge
		if valid && m.Target != "" && m.Age >= 0 && l.apply(m) {
			fresh = append(fresh, m)
		}
	}
	return fresh
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

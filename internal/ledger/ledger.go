// Package ledger keeps what entries know of the targets beyond the list: the
// work in flight at each, and which of them fail or are slow.
package ledger

import (
	"sync"
	"time"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// peerLife is how long another entry's work counts after its last report;
	// ten reports may be lost first.
	peerLife = 2500 * time.Millisecond
	// firstDoubt is how long a target is avoided after a failure. A target
	// that crashed leaves the list within three heartbeats of it.
	firstDoubt = 1500 * time.Millisecond
	// maxDoubt bounds the doubling of firstDoubt.
	maxDoubt = 8 * time.Second
	// mostLag bounds the lag of Expected.
	mostLag = 500 * time.Millisecond
	// forgive is the time without failure after which the next one counts as
	// the first.
	forgive = 12 * time.Second
)

type (
	// Doubt is a target that fails.
	Doubt struct {
		ID   string
		Born int64
		// Left is how long the target is still avoided.
		Left time.Duration
	}

	// Ledger is safe for use by several goroutines.
	Ledger struct {
		clock timer.Service

		mu    sync.Mutex
		own   map[string]chain.Load
		peers map[string]peer
		// opened holds the requests that were entered within mostLag, in order.
		opened []opening
		doubts map[string]doubt
		// dead holds the targets that the planner has found dead.
		dead map[string]doubt
		// changed is closed and replaced when a new doubt is entered.
		changed chan struct{}
		// late counts pauses of streams since it was last taken.
		late int
	}

	peer struct {
		at  time.Time
		use map[string]chain.Load
	}

	opening struct {
		at             time.Time
		tokens, unread int
		hops           []chain.Hop
	}

	doubt struct {
		born  int64
		until time.Time
		// last is the time of the last failure, span the length of the doubt
		// that it caused.
		last time.Time
		span time.Duration
	}

	// Ticket is a request's entry in the ledger.
	Ticket struct {
		ledger *Ledger
		tokens int
		// unread is the tokens of the prompt until the first event.
		unread int
		hops   []chain.Hop
	}
)

// New returns an empty ledger.
func New(clock timer.Service) *Ledger {
	return &Ledger{
		clock: clock, own: map[string]chain.Load{}, peers: map[string]peer{}, doubts: map[string]doubt{}, dead: map[string]doubt{},
		changed: make(chan struct{}),
	}
}

// Open enters a request that passes through hops. Tokens is what it needs
// memory for, and prompt what is to be read before its first event.
func (l *Ledger) Open(tokens, prompt int, hops []chain.Hop) *Ticket {
	t := &Ticket{ledger: l, tokens: tokens, unread: prompt, hops: hops}
	l.mu.Lock()
	defer l.mu.Unlock()
	t.add(1)
	now := l.clock.Now()
	for len(l.opened) > 0 && now.Sub(l.opened[0].at) > mostLag {
		l.opened = l.opened[1:]
	}
	l.opened = append(l.opened, opening{now, tokens, prompt, hops})
	return t
}

// Move replaces the hops of a request.
func (t *Ticket) Move(hops []chain.Hop) {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	t.add(-1)
	t.hops = hops
	t.add(1)
}

// Read records that the prompt has been read.
func (t *Ticket) Read() {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	if t.unread == 0 {
		return
	}
	t.add(-1)
	t.unread = 0
	t.add(1)
}

// Close removes the request.
func (t *Ticket) Close() { t.Move(nil) }

func (t *Ticket) add(sign int) {
	for i, h := range t.hops {
		u := t.ledger.own[h.Target.ID]
		u.TokenLayers += float64(sign * t.tokens * h.Layers.Len())
		u.Running += sign
		u.Unread += sign * t.unread
		if i == 0 {
			u.First += sign
		}
		if u.Running <= 0 {
			delete(t.ledger.own, h.Target.ID)
			continue
		}
		t.ledger.own[h.Target.ID] = u
	}
}

// Own returns this entry's work at each target.
func (l *Ledger) Own() map[string]chain.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]chain.Load, len(l.own))
	for id, u := range l.own {
		out[id] = u
	}
	return out
}

// Hear replaces what is known of another entry's work.
func (l *Ledger) Hear(instance string, use map[string]chain.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[instance] = peer{l.clock.Now(), use}
}

// HearAll replaces what is known of the work of all other entries.
func (l *Ledger) HearAll(instance string, use map[string]chain.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.peers)
	l.peers[instance] = peer{l.clock.Now(), use}
}

// Forget drops the work of another entry, which others have taken into theirs.
func (l *Ledger) Forget(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, instance)
}

// Expected returns the work of all entries at each target, with what the others
// are expected to have entered since they told of theirs: as much as this one
// within the lag. Without it, all entries would fill the same room at once.
func (l *Ledger) Expected(others int, lag time.Duration) map[string]chain.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.loads()
	now := l.clock.Now()
	for _, o := range l.opened {
		if now.Sub(o.at) > lag {
			continue
		}
		for i, h := range o.hops {
			more := chain.Load{TokenLayers: float64(others * o.tokens * h.Layers.Len()), Running: others, Unread: others * o.unread}
			if i == 0 {
				more.First = others
			}
			out[h.Target.ID] = out[h.Target.ID].Plus(more)
		}
	}
	return out
}

// Loads returns the work of all entries at each target.
func (l *Ledger) Loads() map[string]chain.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loads()
}

func (l *Ledger) loads() map[string]chain.Load {
	out := make(map[string]chain.Load, len(l.own))
	add := func(use map[string]chain.Load) {
		for id, u := range use {
			out[id] = out[id].Plus(u)
		}
	}
	add(l.own)
	now := l.clock.Now()
	for instance, p := range l.peers {
		if now.Sub(p.at) > peerLife {
			delete(l.peers, instance)
			continue
		}
		add(p.use)
	}
	return out
}

// Failed enters a failure of a target: it is avoided for a time that doubles
// with each failure. It reports whether the target was trusted before.
func (l *Ledger) Failed(t topo.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	d, known := l.doubts[t.ID]
	if known && d.born == t.Born && now.Before(d.until) {
		return false
	}
	if known && d.born == t.Born && now.Sub(d.last) < forgive {
		d.span = min(2*d.span, maxDoubt)
	} else {
		d = doubt{born: t.Born, span: firstDoubt}
	}
	d.last, d.until = now, now.Add(d.span)
	l.doubts[t.ID] = d
	l.tellChanged()
	return true
}

// HearDoubt enters a doubt of another entry and reports whether it is new.
func (l *Ledger) HearDoubt(h Doubt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	d, known := l.doubts[h.ID]
	if known && (d.born > h.Born || now.Before(d.until)) {
		return false
	}
	// A doubt that came back to its source must not live on by that.
	if h.Left < 100*time.Millisecond || known && d.born == h.Born && now.Sub(d.last) < 2*d.span {
		return false
	}
	l.doubts[h.ID] = doubt{born: h.Born, until: now.Add(min(h.Left, maxDoubt)), last: now, span: max(firstDoubt, min(h.Left, maxDoubt))}
	l.tellChanged()
	return true
}

// Doubted reports whether a target is avoided.
func (l *Ledger) Doubted(t topo.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	d, ok := l.doubts[t.ID]
	if ok && d.born == t.Born && now.Before(d.until) {
		return true
	}
	return l.isDead(t, now)
}

// Dead reports whether the planner has found a target dead.
func (l *Ledger) Dead(t topo.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isDead(t, l.clock.Now())
}

func (l *Ledger) isDead(t topo.Target, now time.Time) bool {
	d, ok := l.dead[t.ID]
	return ok && d.born == t.Born && now.Before(d.until)
}

// HearDead enters the targets that the planner has found dead.
func (l *Ledger) HearDead(dead []Doubt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	changed := false
	for _, h := range dead {
		d := l.dead[h.ID]
		changed = changed || d.born != h.Born || now.After(d.until)
		l.dead[h.ID] = doubt{born: h.Born, until: now.Add(h.Left)}
	}
	for id, d := range l.dead {
		if now.Sub(d.until) > forgive {
			delete(l.dead, id)
		}
	}
	if changed {
		l.tellChanged()
	}
}

// Doubts returns the targets that are avoided.
func (l *Ledger) Doubts() []Doubt {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var out []Doubt
	for id, d := range l.doubts {
		switch {
		case now.Before(d.until):
			out = append(out, Doubt{ID: id, Born: d.born, Left: d.until.Sub(now)})
		case now.Sub(d.last) > forgive:
			delete(l.doubts, id)
		}
	}
	return out
}

// tellChanged ends the wait for a new doubt. The caller holds the lock.
func (l *Ledger) tellChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the next doubt is entered.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// OpenPlain enters a request to a target of a plain service.
func (l *Ledger) OpenPlain(t topo.Target) *Ticket { return l.Open(0, 0, []chain.Hop{{Target: t}}) }

// Worked ends the count of failures of a target that answers.
func (l *Ledger) Worked(t topo.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.doubts[t.ID]; ok && d.born == t.Born {
		delete(l.doubts, t.ID)
	}
}

// Late counts a pause of a stream that its caller finds too long.
func (l *Ledger) Late() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late++
}

// TakeLate returns the number of such pauses since the last call.
func (l *Ledger) TakeLate() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.late
	l.late = 0
	return n
}

package agent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/link"
	"shallotcourse/internal/once"
	"shallotcourse/internal/order"
	"shallotcourse/internal/store"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

// Agent implements link.Handler. It holds no lock over I/O: mu guards the maps
// and flags only, and each session has its own lock.
type Agent struct {
	cfg   Config
	meter *meter
	steps *batcher
	dials *dials
	// capacity measures what the engine can take.
	capacity capacity
	// serial counts sessions.
	serial atomic.Uint64
	// health follows the target's failures.
	health health

	mu       sync.RWMutex
	sessions map[string]*session
	// entries maps the incarnation of an entry to its newest link.
	entries map[string]link.Peer
	// calls counts running service calls.
	calls int
	// leaving is never unset.
	leaving bool
	// ready says that the engine holds what the target declares and that no
	// order is about to break a session.
	ready bool
	held  engine.State
	// limit bounds open sessions and running calls.
	limit int

	journalMu sync.Mutex
	journal   *once.Journal
	// waiters holds the entries to be told of a running call's outcome.
	waiters map[string][]string

	leaseMu sync.Mutex
	lease   *order.Lease
}

var _ link.Handler = (*Agent)(nil)

// New returns an agent; call Run to start it.
func New(cfg Config) *Agent {
	cfg = cfg.withDefaults()
	a := &Agent{
		cfg:      cfg,
		meter:    &meter{varied: cfg.Engine == nil},
		sessions: make(map[string]*session),
		entries:  make(map[string]link.Peer),
		ready:    cfg.Engine == nil,
		limit:    cfg.firstLimit(),
		journal:  once.NewJournal(cfg.Incarnation, cfg.Limits.Calls),
		waiters:  make(map[string][]string),
		lease:    order.NewLease(cfg.Incarnation, cfg.Limits.Rules),
	}
	a.steps = newBatcher(a)
	a.dials = newDials(cfg.Dialer, cfg.Timer)
	return a
}

// Run serves until the context ends, and then drains: new work is refused, and
// Run returns when the work in flight has ended or the drain time is over.
func (a *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return a.reportLoad(work) })
	g.Go(func() error { return a.sweep(work) })
	if a.cfg.Engine != nil {
		g.Go(func() error { return a.reconcile(work) })
		g.Go(func() error { return a.tickLease(work) })
	}
	<-ctx.Done()
	a.Leave()
	a.awaitIdle()
	stop()
	err := g.Wait()
	a.freeAll()
	return err
}

// Leave refuses new work from now on and announces it.
func (a *Agent) Leave() {
	a.mu.Lock()
	already := a.leaving
	a.leaving = true
	a.mu.Unlock()
	if already {
		return
	}
	for _, p := range a.entryPeers() {
		_ = p.Send(wire.Leaving{Target: a.cfg.Target})
	}
	a.sendLoad(a.load())
}

// left reports whether the agent takes no new work for good.
func (a *Agent) left() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.leaving
}

// Idle reports whether no session is open and no call is running.
func (a *Agent) Idle() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return len(a.sessions)+a.calls == 0
}

func (a *Agent) awaitIdle() {
	const poll = 20 * time.Millisecond
	ticks, cancel := a.cfg.Timer.Every(poll)
	defer cancel()
	end := a.cfg.Timer.Now().Add(a.cfg.Times.Drain)
	for !a.Idle() && a.cfg.Timer.Now().Before(end) {
		<-ticks
	}
}

// sweep frees sessions that nobody uses any more.
func (a *Agent) sweep(ctx context.Context) error {
	ticks, cancel := a.cfg.Timer.Every(a.cfg.Times.Unused / 8)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		since := a.cfg.Timer.Now().Add(-a.cfg.Times.Unused)
		for _, s := range a.allSessions() {
			s.expire(since)
		}
	}
}

func (a *Agent) freeAll() {
	for _, s := range a.allSessions() {
		s.end()
	}
	a.steps.close()
}

// LinkUp implements link.Handler: sessions rebind to the new link.
func (a *Agent) LinkUp(p link.Peer) {
	h := p.Hello()
	if h.Role == wire.RoleEntry {
		a.mu.Lock()
		a.entries[h.Incarnation] = p
		a.mu.Unlock()
		for _, s := range a.allSessions() {
			s.entryUp(h.Incarnation)
		}
		_ = p.Send(a.load())
		return
	}
	for _, s := range a.allSessions() {
		s.successorUp(h.Address)
	}
}

// LinkDown implements link.Handler.
func (a *Agent) LinkDown(p link.Peer, _ error) {
	h := p.Hello()
	if h.Role != wire.RoleEntry {
		for _, s := range a.allSessions() {
			s.successorDown(h.Address)
		}
		return
	}
	a.mu.Lock()
	current := a.entries[h.Incarnation] == p
	if current {
		delete(a.entries, h.Incarnation)
	}
	a.mu.Unlock()
	if !current {
		return
	}
	for _, s := range a.allSessions() {
		s.entryDown(h.Incarnation)
	}
}

// Receive implements link.Handler.
func (a *Agent) Receive(p link.Peer, m wire.Message) {
	switch m := m.(type) {
	case wire.Open:
		a.open(p, m)
	case wire.Start:
		a.withSession(p, m.Request, m.Attempt, func(s *session) { s.start(p, m) })
	case wire.Step:
		a.withSession(p, m.Request, m.Attempt, func(s *session) { s.step(p, m) })
	case wire.Token:
		a.withSession(p, m.Request, m.Attempt, func(s *session) { s.token(p, m) })
	case wire.Resync:
		a.withSession(p, m.Request, m.Attempt, func(s *session) { s.resync(p, m) })
	case wire.Cancel:
		if s, ok := a.session(m.Request); ok {
			s.cancel(m.Attempt)
		}
	case wire.Finished:
		if s, ok := a.session(m.Request); ok {
			s.end()
		}
	case wire.Stale:
		if s, ok := a.session(m.Request); ok {
			s.stale(p, m)
		}
	case wire.Call:
		a.call(p, m)
	case wire.Query:
		a.query(p, m)
	}
}

// withSession answers Stale for a request that is not known here.
func (a *Agent) withSession(p link.Peer, request string, attempt int, f func(*session)) {
	s, ok := a.session(request)
	if !ok {
		_ = p.Send(wire.Stale{Request: request, Rejected: attempt})
		return
	}
	f(s)
}

func (a *Agent) session(request string) (*session, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	s, ok := a.sessions[request]
	return s, ok
}

func (a *Agent) allSessions() []*session {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return slices.Collect(maps.Values(a.sessions))
}

func (a *Agent) entryPeers() []link.Peer {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return slices.Collect(maps.Values(a.entries))
}

func (a *Agent) entry(incarnation string) (link.Peer, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	p, ok := a.entries[incarnation]
	return p, ok
}

// draining reports whether the operator asked the target to drain.
func (a *Agent) draining() bool {
	t, ok := store.Spec[resrc.Target](a.cfg.Config.Value(), a.cfg.Target)
	return ok && t.Draining
}

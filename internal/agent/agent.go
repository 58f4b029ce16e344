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

// Agent implements link.Handler. No lock is held during I/O: mu guards only
// the maps and flags below it, and each session has its own lock.
type Agent struct {
	cfg     Config
	meter   *meter
	batcher *batcher
	links   *linkPool
	// capacity estimates how many sessions the engine can serve.
	capacity capacity
	// lastSerial is the serial number of the newest session.
	lastSerial atomic.Uint64
	// health withholds new work from a target that keeps failing.
	health health

	mu       sync.RWMutex
	sessions map[string]*session
	// entries maps the incarnation of an entry to its newest link.
	entries map[string]link.Peer
	// calls is the number of running service calls.
	calls int
	// leaving is set when the agent starts to drain, and is never reset.
	leaving bool
	// ready is true while the engine has loaded what the target's resource
	// declares and no order is about to close sessions.
	ready bool
	// engineState is the last known state of the engine.
	engineState engine.State
	// limit is the maximum number of open sessions plus running calls.
	limit int

	journalMu sync.Mutex
	journal   *once.Journal
	// waiters maps the nonce of a running call to the incarnations of the
	// entries that wait for its outcome.
	waiters map[string][]string

	leaseMu sync.Mutex
	lease   *order.Lease
}

var _ link.Handler = (*Agent)(nil)

// New returns an agent. It does nothing until Run is called.
func New(cfg Config) *Agent {
	cfg = cfg.withDefaults()
	a := &Agent{
		cfg:      cfg,
		meter:    &meter{isService: cfg.Engine == nil},
		sessions: make(map[string]*session),
		entries:  make(map[string]link.Peer),
		ready:    cfg.Engine == nil,
		limit:    cfg.initialLimit(),
		journal:  once.NewJournal(cfg.Incarnation, cfg.Limits.Calls),
		waiters:  make(map[string][]string),
		lease:    order.NewLease(cfg.Incarnation, cfg.Limits.Rules),
	}
	a.batcher = newBatcher(a)
	a.links = newLinkPool(cfg.Dialer, cfg.Timer)
	return a
}

// Run serves until the context ends, and then drains: the agent refuses new
// work, and Run returns when the work in flight has ended or the drain
// timeout has passed.
func (a *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return a.reportLoad(work) })
	g.Go(func() error { return a.expireSessions(work) })
	if a.cfg.Engine != nil {
		g.Go(func() error { return a.reconcile(work) })
		g.Go(func() error { return a.tickLease(work) })
	}
	<-ctx.Done()
	a.Leave()
	a.awaitIdle()
	stop()
	err := g.Wait()
	a.endAllSessions()
	return err
}

// Leave makes the agent refuse new work from now on, and announces it to all
// linked entries.
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
	a.sendLoad(a.currentLoad())
}

// isLeaving reports whether the agent has permanently stopped accepting new
// work.
func (a *Agent) isLeaving() bool {
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

// awaitIdle waits until the agent is idle, at most for Times.Drain.
func (a *Agent) awaitIdle() {
	const poll = 20 * time.Millisecond
	ticks, cancel := a.cfg.Timer.Every(poll)
	defer cancel()
	deadline := a.cfg.Timer.Now().Add(a.cfg.Times.Drain)
	for !a.Idle() && a.cfg.Timer.Now().Before(deadline) {
		<-ticks
	}
}

// expireSessions ends sessions that have received no message for
// Times.Unused.
func (a *Agent) expireSessions(ctx context.Context) error {
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

// endAllSessions ends all sessions and closes the connection that carries
// their steps.
func (a *Agent) endAllSessions() {
	for _, s := range a.allSessions() {
		s.end()
	}
	a.batcher.close()
}

// LinkUp implements link.Handler. Sessions continue on the new link.
func (a *Agent) LinkUp(p link.Peer) {
	h := p.Hello()
	if h.Role == wire.RoleEntry {
		a.mu.Lock()
		a.entries[h.Incarnation] = p
		a.mu.Unlock()
		for _, s := range a.allSessions() {
			s.entryLinkUp(h.Incarnation)
		}
		_ = p.Send(a.currentLoad())
		return
	}
	for _, s := range a.allSessions() {
		s.successorLinkUp(h.Address)
	}
}

// LinkDown implements link.Handler.
func (a *Agent) LinkDown(p link.Peer, _ error) {
	h := p.Hello()
	if h.Role != wire.RoleEntry {
		for _, s := range a.allSessions() {
			s.successorLinkDown(h.Address)
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
		s.entryLinkDown(h.Incarnation)
	}
}

// Receive implements link.Handler.
func (a *Agent) Receive(p link.Peer, m wire.Message) {
	switch m := m.(type) {
	case wire.Open:
		a.handleOpen(p, m)
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
		a.handleCall(p, m)
	case wire.Query:
		a.handleQuery(p, m)
	}
}

// withSession calls f with the session of a request, or answers Stale if
// there is none.
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

func (a *Agent) entryPeer(incarnation string) (link.Peer, bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	p, ok := a.entries[incarnation]
	return p, ok
}

// draining reports whether the operator has set the target to drain.
func (a *Agent) draining() bool {
	t, ok := store.Spec[resrc.Target](a.cfg.Config.Value(), a.cfg.Target)
	return ok && t.Draining
}

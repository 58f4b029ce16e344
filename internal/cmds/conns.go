package cmds

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/timer"
)

const (
	// lateRequestPeriod is how long requests are still answered on open
	// connections after the listener has closed.
	lateRequestPeriod = 200 * time.Millisecond
	// connPollInterval is the interval at which a stop looks at the connections.
	connPollInterval = 5 * time.Millisecond
	// maxEvictionTries bounds the connections that are examined to make room for
	// one new connection.
	maxEvictionTries = 64
)

type (
	// connSet holds the open connections of a server. http.Server.Shutdown drops
	// requests that it reads after it was called; a stop with a connSet answers
	// them, and ends only connections on which no request has begun to arrive.
	connSet struct {
		clock timer.Service
		// limits, crowd and budget are set before the first connection. budget is
		// nil on listeners that are not for callers.
		limits connLimits
		crowd  *crowd
		budget *budget.Budget

		// mu also guards the state of the connections.
		mu sync.Mutex
		// conns holds the connections that a stop waits for.
		conns map[*callerConn]struct{}
		// open is the number of connections that hold a descriptor. It includes
		// hijacked ones.
		open int
		// evictable holds the connections in a phase that may be evicted, in order
		// of the time at which they entered it.
		evictable list.List
	}

	// connKey is the context key of a request's callerConn.
	connKey struct{}
)

func newConnSet(clock timer.Service) *connSet {
	return &connSet{
		clock: clock, limits: connLimits{Head: headerTimeout}, crowd: newCrowd(clock, nil), conns: map[*callerConn]struct{}{},
	}
}

// add returns the connection to serve in place of c. At the bound it evicts the
// connection that has been idle or half-read for longest; if there is none, it
// closes c and returns nil.
func (s *connSet) add(c *net.TCPConn) *callerConn {
	if s.full() && !s.evictLongest() {
		_ = c.Close()
		s.crowd.noteRefused(s.limits.Reason)
		return nil
	}
	out := &callerConn{TCPConn: c, set: s}
	if s.budget != nil {
		out.claim = s.budget.Open(out.evict)
		out.claim.SetPhase(budget.Idle)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[out] = struct{}{}
	s.open++
	s.enter(out, idle)
	return out
}

// full reports whether a connection must be evicted before one is added.
func (s *connSet) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Connections > 0 && s.open >= s.limits.Connections
}

func (s *connSet) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// enter changes the phase of a connection. The caller holds the lock.
func (s *connSet) enter(c *callerConn, p connPhase) {
	if c.phase == closed {
		return
	}
	c.phase = p
	if c.place != nil {
		s.evictable.Remove(c.place)
		c.place = nil
	}
	if p.evictable() {
		c.place = s.evictable.PushBack(c)
	}
	if p == closed {
		s.open--
	}
}

// longest returns the connection that has been idle or half-read for longest. An
// idle connection with unread bytes is passed over, since a request has arrived
// on it. The caller holds the lock.
func (s *connSet) longest() *callerConn {
	e := s.evictable.Front()
	for range maxEvictionTries {
		if e == nil {
			return nil
		}
		if c := e.Value.(*callerConn); c.phase != idle || c.unread() == 0 {
			return c
		}
		e = e.Next()
	}
	return nil
}

// evictLongest closes the connection that has been idle or half-read for longest,
// and reports whether there is one.
func (s *connSet) evictLongest() bool {
	s.mu.Lock()
	c := s.longest()
	if c != nil {
		s.enter(c, closed)
	}
	s.mu.Unlock()
	if c == nil {
		return false
	}
	_ = c.TCPConn.Close()
	s.crowd.noteEvicted(s.limits.Reason)
	return true
}

// remove removes a connection whose server has ended.
func (s *connSet) remove(c *callerConn) {
	defer c.claim.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(c, closed)
	delete(s.conns, c)
}

func (s *connSet) list() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*callerConn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// noteState is an http.Server.ConnState hook.
func (s *connSet) noteState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.endRequest()
	case http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.enter(c, hijacked)
		delete(s.conns, c)
	}
}

// withConn is an http.Server.ConnContext hook.
func (s *connSet) withConn(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*callerConn)
	if !ok {
		return ctx
	}
	if c.claim != nil {
		ctx = budget.WithUnsent(budget.WithClaim(ctx, c.claim), c.unsent)
	}
	return context.WithValue(ctx, connKey{}, c)
}

// end waits until all connections have closed, or ctx ends. Connections that
// still await a request after lateRequestPeriod are ended.
func (s *connSet) end(ctx context.Context) {
	late := s.clock.Now().Add(lateRequestPeriod)
	for {
		open := s.list()
		if len(open) == 0 {
			return
		}
		if !s.clock.Now().Before(late) {
			for _, c := range open {
				c.endIfIdle()
			}
		}
		if timer.Sleep(ctx, s.clock, connPollInterval) != nil {
			return
		}
	}
}

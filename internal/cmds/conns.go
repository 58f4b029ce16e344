package cmds

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"shallotcourse/internal/timer"
)

const (
	// lateRequestPeriod is how long requests are still answered on open
	// connections after the listener has closed.
	lateRequestPeriod = 200 * time.Millisecond
	// connPollInterval is the interval at which a stop looks at the connections.
	connPollInterval = 5 * time.Millisecond
	// lingerTimeout and lingerBytes bound what is read and dropped from a caller
	// that still sends when its connection is closed.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 4 << 20
)

type (
	// connSet holds the open connections of a server. http.Server.Shutdown drops
	// requests that it reads after it was called; a stop with a connSet answers
	// them, and ends only connections on which no request has begun to arrive.
	connSet struct {
		clock timer.Service

		mu    sync.Mutex
		conns map[*callerConn]struct{}
	}

	// callerConn is a connection of a connSet.
	callerConn struct {
		*net.TCPConn
		set *connSet

		mu sync.Mutex
		// awaiting is true while no byte of the next request has been read.
		awaiting bool
		// ending is true while the read of an awaiting connection is interrupted.
		ending bool
		// hijacked is true once the connection no longer belongs to the server.
		hijacked bool
		closing  bool
	}

	// connKey is the context key of a request's callerConn.
	connKey struct{}
)

func newConnSet(clock timer.Service) *connSet {
	return &connSet{clock: clock, conns: map[*callerConn]struct{}{}}
}

// add returns the connection to serve in place of c.
func (s *connSet) add(c *net.TCPConn) *callerConn {
	out := &callerConn{TCPConn: c, set: s, awaiting: true}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[out] = struct{}{}
	return out
}

func (s *connSet) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.awaiting = true
	case http.StateHijacked:
		c.hijacked, c.awaiting = true, false
		s.remove(c)
	}
}

// withConn is an http.Server.ConnContext hook.
func (s *connSet) withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// noteRequest marks the connection of a request as in use. A request that was
// read together with the one before it has not done so by a read of its own.
func (s *connSet) noteRequest(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.awaiting = false
	}
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
				c.endIfAwaiting()
			}
		}
		if timer.Sleep(ctx, s.clock, connPollInterval) != nil {
			return
		}
	}
}

// endIfAwaiting interrupts the read of a connection that awaits a request. The
// interrupted Read decides whether one has arrived meanwhile. The server may
// have changed the deadline since the last call, so it is set again.
func (c *callerConn) endIfAwaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaiting {
		c.ending = true
		_ = c.SetReadDeadline(c.set.clock.Now())
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if !c.noteRead(n, err) {
			return n, err
		}
	}
}

// noteRead records the result of a read and reports whether it is to be repeated,
// because it was interrupted although data had arrived.
func (c *callerConn) noteRead(n int, err error) (again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	again = c.ending && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.unread() > 0
	if n > 0 {
		c.awaiting = false
	}
	if c.ending && (n > 0 || again) {
		c.ending, c.awaiting = false, false
		_ = c.SetReadDeadline(c.set.clock.Now().Add(headerTimeout))
	}
	return again
}

// unread returns the number of bytes that have arrived and are not read.
func (c *callerConn) unread() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return n
}

// Close implements net.Conn. Closing a connection with unread bytes resets it,
// which may destroy an answer on its way, so they are read first.
func (c *callerConn) Close() error {
	c.mu.Lock()
	if c.closing || c.hijacked {
		c.mu.Unlock()
		return c.TCPConn.Close()
	}
	c.closing = true
	c.mu.Unlock()
	if c.unread() == 0 {
		defer c.set.remove(c)
		return c.TCPConn.Close()
	}
	go c.linger()
	return nil
}

func (c *callerConn) linger() {
	defer c.set.remove(c)
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(c.set.clock.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	_ = c.TCPConn.Close()
}

package cmds

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

// queueCheckTime is how long a stopping listener waits for a queued connection
// before it takes its queue for empty. Handshakes that have begun end meanwhile.
const queueCheckTime = 20 * time.Millisecond

// stopListener is a listener that returns the connections that the kernel has
// queued before it closes. The kernel resets queued connections when a listener
// closes, although their callers may already have sent a request.
type stopListener struct {
	*net.TCPListener
	clock  timer.Service
	conns  *connSet
	closed chan struct{}

	mu sync.Mutex
	// stopping is set by Stop. The deadline is changed under the same lock, so
	// that Stop does not interrupt an Accept that empties the queue.
	stopping bool

	// once guards closeErr, the result of the first Close.
	once     sync.Once
	closeErr error
}

func listenTCP(address string, clock timer.Service) (*stopListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil, fault.Newf(fault.Internal, "the listener on %s is no TCP listener", address)
	}
	return &stopListener{TCPListener: t, clock: clock, conns: newConnSet(clock), closed: make(chan struct{})}, nil
}

// Accept implements net.Listener. Once the listener has stopped and its queue is
// empty, it closes the listener and returns http.ErrServerClosed.
func (l *stopListener) Accept() (net.Conn, error) {
	for {
		stopping := l.prepareAccept()
		c, err := l.AcceptTCP()
		switch {
		case err == nil:
			if conn := l.conns.add(c); conn != nil {
				return conn, nil
			}
			continue
		case errors.Is(err, os.ErrDeadlineExceeded) && (!stopping && l.isStopping() || l.queued()):
			// Stop has interrupted the call, or the deadline passed before the
			// call looked at the queue.
			continue
		case stopping:
			_ = l.Close()
			return nil, http.ErrServerClosed
		}
		return nil, err
	}
}

// prepareAccept bounds the next accept if the listener has stopped, and reports
// whether it has.
func (l *stopListener) prepareAccept() (stopping bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		_ = l.SetDeadline(l.clock.Now().Add(queueCheckTime))
	}
	return l.stopping
}

// queued reports whether the kernel holds a connection to accept.
func (l *stopListener) queued() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) })
	return n > 0
}

func (l *stopListener) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping
}

// interruptAccept ends an Accept that waits and makes the next ones empty the
// queue.
func (l *stopListener) interruptAccept() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	_ = l.SetDeadline(l.clock.Now())
}

// Close implements net.Listener. Only the first call has an effect, so that
// http.Server.Close does not fail after Stop.
func (l *stopListener) Close() error {
	l.once.Do(func() {
		l.closeErr = l.TCPListener.Close()
		close(l.closed)
	})
	return l.closeErr
}

// refuseNew makes the kernel refuse new connections, so that the queue can be
// emptied while callers go on connecting: the socket is bound to a network
// interface that does not exist. Handshakes that have begun still end in the queue.
func (l *stopListener) refuseNew() {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	// Without it, only callers that connect in the last moment are reset.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, math.MaxInt32)
	})
}

// Stop closes the listener once its queue is empty, or when ctx ends.
func (l *stopListener) Stop(ctx context.Context) {
	l.refuseNew()
	l.interruptAccept()
	select {
	case <-l.closed:
	case <-ctx.Done():
		_ = l.Close()
	}
}

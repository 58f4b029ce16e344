package cmds

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

// queueCheckTime is how long a stopping listener waits for a queued connection
// before it takes its queue for empty.
const queueCheckTime = 5 * time.Millisecond

// stopListener is a listener that returns the connections that the kernel has
// queued before it closes. The kernel resets queued connections when a listener
// closes, although their callers may already have sent a request.
type stopListener struct {
	*net.TCPListener
	clock    timer.Service
	stopping atomic.Bool
	closed   chan struct{}
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
	return &stopListener{TCPListener: t, clock: clock, closed: make(chan struct{})}, nil
}

// Accept implements net.Listener. Once the listener has stopped and its queue is
// empty, it closes the listener and returns http.ErrServerClosed.
func (l *stopListener) Accept() (net.Conn, error) {
	for {
		stopping := l.stopping.Load()
		if stopping {
			_ = l.SetDeadline(l.clock.Now().Add(queueCheckTime))
		}
		c, err := l.TCPListener.Accept()
		switch {
		case err == nil:
			return c, nil
		case !stopping && l.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			// Stop has interrupted the call; connections may be queued.
			continue
		case stopping:
			_ = l.Close()
			return nil, http.ErrServerClosed
		}
		return nil, err
	}
}

// Close implements net.Listener. Only the first call has an effect, so that
// http.Server.Shutdown does not fail after Stop.
func (l *stopListener) Close() error {
	l.once.Do(func() {
		l.closeErr = l.TCPListener.Close()
		close(l.closed)
	})
	return l.closeErr
}

// Stop closes the listener once its queue is empty, or when ctx ends.
func (l *stopListener) Stop(ctx context.Context) {
	l.stopping.Store(true)
	// Interrupts an Accept that waits.
	_ = l.SetDeadline(l.clock.Now())
	select {
	case <-l.closed:
	case <-ctx.Done():
		_ = l.Close()
	}
}

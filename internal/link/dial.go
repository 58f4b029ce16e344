package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"
	"github.com/gorilla/websocket"

	"shallotcourse/internal/httpc"
)

// maxUpgradeBytes bounds what is read before a connection has become a link. The
// WebSocket library reads the head of the response to its end, however long it is.
const maxUpgradeBytes = 64 << 10

type (
	// upgradeConn is a dialled connection, whose reads are bounded until it is
	// upgraded. Only the goroutine that reads changes it.
	upgradeConn struct {
		net.Conn
		left     int
		upgraded bool
	}

	// Dialer keeps links to the requested addresses.
	Dialer struct {
		group *Group

		mu     sync.Mutex
		loops  map[string]*dialLoop
		closed bool
	}

	// dialLoop keeps a link to one address.
	dialLoop struct {
		address string
		// refs is the number of calls of Want minus those of Unwant.
		refs   int
		cancel context.CancelFunc

		mu sync.Mutex
		// current is the last established link; nil before the first one.
		current *conn
	}
)

// Read implements net.Conn.
func (c *upgradeConn) Read(b []byte) (int, error) {
	if c.upgraded {
		return c.Conn.Read(b)
	}
	if c.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// Want keeps a link to the address until Unwant has been called as often as
// Want.
func (d *Dialer) Want(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if loop, ok := d.loops[address]; ok || d.closed {
		if ok {
			loop.refs++
		}
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	loop := &dialLoop{address: address, refs: 1, cancel: cancel}
	d.loops[address] = loop
	go d.keepConnected(ctx, loop)
}

// Unwant reverts one call of Want. The last one closes the link.
func (d *Dialer) Unwant(address string) {
	d.mu.Lock()
	loop, ok := d.loops[address]
	if ok {
		loop.refs--
		ok = loop.refs == 0
	}
	if ok {
		delete(d.loops, address)
	}
	d.mu.Unlock()
	if ok {
		loop.cancel()
	}
}

// Peer returns the established link to an address.
func (d *Dialer) Peer(address string) (Peer, bool) {
	d.mu.Lock()
	loop, ok := d.loops[address]
	d.mu.Unlock()
	if !ok {
		return nil, false
	}
	loop.mu.Lock()
	defer loop.mu.Unlock()
	if loop.current == nil {
		return nil, false
	}
	return loop.current, loop.current.isOpen()
}

func (d *Dialer) cancelAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, loop := range d.loops {
		loop.cancel()
	}
	clear(d.loops)
}

// keepConnected dials until the context ends. After a link that lasted for at
// least Silence it redials at once. A link that ends earlier counts as a
// failure, so that a peer that accepts and closes links is not dialled in a
// tight loop.
func (d *Dialer) keepConnected(ctx context.Context, loop *dialLoop) {
	config := d.group.config
	delays := newBackoff(config)
	for ctx.Err() == nil {
		start := d.group.elapsed()
		c, err := d.dial(ctx, loop)
		if err == nil {
			select {
			case <-ctx.Done():
				c.Close(errUnwanted)
			case <-c.done:
			}
			if d.group.stopped() {
				return
			}
			if d.group.elapsed()-start >= config.Silence {
				delays.Reset()
				continue
			}
		} else if ctx.Err() == nil {
			level.Info(config.Logger).Log("msg", "dial failed", "address", loop.address, "err", err)
		}
		d.pause(ctx, delays.NextBackOff())
	}
}

func newBackoff(c Config) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.BackoffFirst
	b.MaxInterval = c.BackoffMax
	b.Multiplier = 2
	b.RandomizationFactor = 0.5
	b.Reset()
	return b
}

// pause waits on the timer service, or until the context ends.
func (d *Dialer) pause(ctx context.Context, wait time.Duration) {
	elapsed := make(chan struct{})
	cancel := d.group.config.Timer.After(wait, func() { close(elapsed) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-elapsed:
	}
}

// dial makes one attempt to establish a link. It fails after DialTimeout or when
// the context ends. It returns a link that is already closed, and no error, if
// that happens just as the link is established: the loops of the link run by
// then, so the caller treats it as a link that ended early.
func (d *Dialer) dial(ctx context.Context, loop *dialLoop) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer d.group.config.Timer.After(d.group.config.DialTimeout, cancel)()
	// The upgrade and the exchange of Hello ignore ctx; closing the connection
	// aborts them. stopAbort prevents that, and reports false if it is too late.
	// It is replaced once there is a connection.
	stopAbort := func() bool { return true }
	var upgrading *upgradeConn
	dialer := websocket.Dialer{
		ReadBufferSize: readBufferBytes, WriteBufferSize: writeBufferBytes, WriteBufferPool: writeBufferPool,
		NetDialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			stopAbort = context.AfterFunc(ctx, func() { _ = c.Close() })
			upgrading = &upgradeConn{Conn: httpc.Watch(c), left: maxUpgradeBytes}
			return upgrading, nil
		},
	}
	ws, resp, err := dialer.DialContext(ctx, "ws://"+loop.address+Path, nil)
	if err != nil {
		return nil, errLinkDown.WithCause(err)
	}
	if err := httpc.CheckNames(resp.Header); err != nil {
		_ = ws.Close()
		return nil, errLinkDown.WithCause(err)
	}
	upgrading.upgraded = true
	c, err := d.group.establish(ws, loop.address, loop.set)
	if err != nil {
		stopAbort()
		d.group.closeConn(ws, err, nil)
		return nil, err
	}
	if !stopAbort() {
		c.Close(errHelloTimeout)
	}
	return c, nil
}

// set makes c the link that Peer returns.
func (l *dialLoop) set(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = c
}

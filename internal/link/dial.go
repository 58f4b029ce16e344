package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"
	"github.com/gorilla/websocket"
)

type (
	// Dialer keeps the wanted addresses connected.
	Dialer struct {
		group *Group

		mu     sync.Mutex
		wanted map[string]*wanted
		closed bool
	}

	// wanted is one address and the loop that keeps it connected.
	wanted struct {
		address string
		// users counts the calls of Want without Unwant.
		users  int
		cancel context.CancelFunc

		mu sync.Mutex
		// current is nil while no link is established.
		current *conn
	}
)

// Want keeps a link to the address until Unwant has been called as often as
// Want.
func (d *Dialer) Want(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w, ok := d.wanted[address]; ok || d.closed {
		if ok {
			w.users++
		}
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &wanted{address: address, users: 1, cancel: cancel}
	d.wanted[address] = w
	go d.keep(ctx, w)
}

// Unwant undoes one call of Want; the last one closes the link.
func (d *Dialer) Unwant(address string) {
	d.mu.Lock()
	w, ok := d.wanted[address]
	if ok {
		w.users--
		ok = w.users == 0
	}
	if ok {
		delete(d.wanted, address)
	}
	d.mu.Unlock()
	if ok {
		w.cancel()
	}
}

// Peer returns the established link to a wanted address.
func (d *Dialer) Peer(address string) (Peer, bool) {
	d.mu.Lock()
	w, ok := d.wanted[address]
	d.mu.Unlock()
	if !ok {
		return nil, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current == nil {
		return nil, false
	}
	return w.current, w.current.open()
}

func (d *Dialer) unwantAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, w := range d.wanted {
		w.cancel()
	}
	clear(d.wanted)
}

// keep dials until the address is no longer wanted. The first redial after a
// link that lasted comes at once; a link that ends early counts as a failure,
// so that a peer that accepts and closes is not dialled in a tight loop.
func (d *Dialer) keep(ctx context.Context, w *wanted) {
	config := d.group.config
	waits := newWaits(config)
	for ctx.Err() == nil {
		begun := d.group.elapsed()
		c, err := d.dial(ctx, w)
		if err == nil {
			select {
			case <-ctx.Done():
				c.Close(errUnwanted)
			case <-c.done:
			}
			if d.group.stopped() {
				return
			}
			if d.group.elapsed()-begun >= config.Silence {
				waits.Reset()
				continue
			}
		} else if ctx.Err() == nil {
			level.Info(config.Logger).Log("msg", "dial failed", "address", w.address, "err", err)
		}
		d.pause(ctx, waits.NextBackOff())
	}
}

func newWaits(c Config) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.BackoffFirst
	b.MaxInterval = c.BackoffMax
	b.Multiplier = 2
	b.RandomizationFactor = 0.5
	b.Reset()
	return b
}

// pause waits for d by the timer service.
func (d *Dialer) pause(ctx context.Context, wait time.Duration) {
	passed := make(chan struct{})
	cancel := d.group.config.Timer.After(wait, func() { close(passed) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-passed:
	}
}

func (d *Dialer) dial(ctx context.Context, w *wanted) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer d.group.config.Timer.After(d.group.config.DialTimeout, cancel)()
	// Upgrade and Hello do not watch ctx; closing the connection ends them.
	stop := func() bool { return true }
	dialer := websocket.Dialer{
		ReadBufferSize: readBuffer, WriteBufferSize: writeBuffer, WriteBufferPool: writeBuffers,
		NetDialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err == nil {
				stop = context.AfterFunc(ctx, func() { _ = c.Close() })
			}
			return c, err
		},
	}
	ws, _, err := dialer.DialContext(ctx, "ws://"+w.address+Path, nil)
	if err != nil {
		return nil, errDown.WithCause(err)
	}
	c, err := d.group.establish(ws, w.address, w.set)
	if err != nil {
		stop()
		d.group.end(ws, err, nil)
		return nil, err
	}
	if !stop() {
		c.Close(errHelloLate)
	}
	return c, nil
}

func (w *wanted) set(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current = c
}

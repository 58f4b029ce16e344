package agent

import (
	"sync"
	"time"

	"shallotcourse/internal/timer"
)

// linger is how long a link to another agent outlives its last session, so
// that chains of the same targets do not dial for each request.
const linger = 30 * time.Second

type (
	// dials keeps links to those agents only that are next stages of sessions
	// here, so that links are never all-to-all.
	dials struct {
		dialer Dialer
		timer  timer.Service

		mu    sync.Mutex
		users map[string]*users
	}

	users struct {
		count int
		// cancel stops the end of the link; nil while there are users.
		cancel func()
	}
)

func newDials(d Dialer, t timer.Service) *dials {
	return &dials{dialer: d, timer: t, users: make(map[string]*users)}
}

// acquire asks for a link until release has been called as often.
func (d *dials) acquire(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, ok := d.users[address]
	if !ok {
		u = &users{}
		d.users[address] = u
		d.dialer.Want(address)
	}
	u.count++
	if u.cancel != nil {
		u.cancel()
		u.cancel = nil
	}
}

func (d *dials) release(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, ok := d.users[address]
	if !ok {
		return
	}
	u.count--
	if u.count == 0 {
		u.cancel = d.timer.After(linger, func() { d.expire(address, u) })
	}
}

func (d *dials) expire(address string, u *users) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// The timer may have fired while a new session took the link.
	if u.count > 0 || u.cancel == nil || d.users[address] != u {
		return
	}
	delete(d.users, address)
	d.dialer.Unwant(address)
}

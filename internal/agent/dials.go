package agent

import (
	"sync"
	"time"

	"shallotcourse/internal/timer"
)

// idleLinkTimeout is how long a link to another agent is kept after its last
// session has ended, so that requests over the same chain need not dial
// again.
const idleLinkTimeout = 30 * time.Second

type (
	// linkPool maintains links only to those agents that are the next stage
	// of a local session, so that agents are not linked all-to-all.
	linkPool struct {
		dialer Dialer
		timer  timer.Service

		mu    sync.Mutex
		links map[string]*linkUsers
	}

	// linkUsers counts the sessions that use a link.
	linkUsers struct {
		count int
		// cancelExpiry stops the timer that closes the unused link; nil while
		// the link is in use.
		cancelExpiry func()
	}
)

func newLinkPool(d Dialer, t timer.Service) *linkPool {
	return &linkPool{dialer: d, timer: t, links: make(map[string]*linkUsers)}
}

// acquire requests a link to an address. Each call must be matched by one
// call of release.
func (lp *linkPool) acquire(address string) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	u, ok := lp.links[address]
	if !ok {
		u = &linkUsers{}
		lp.links[address] = u
		lp.dialer.Want(address)
	}
	u.count++
	if u.cancelExpiry != nil {
		u.cancelExpiry()
		u.cancelExpiry = nil
	}
}

// release undoes one call of acquire. An unused link is closed after
// idleLinkTimeout.
func (lp *linkPool) release(address string) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	u, ok := lp.links[address]
	if !ok {
		return
	}
	u.count--
	if u.count == 0 {
		u.cancelExpiry = lp.timer.After(idleLinkTimeout, func() { lp.expire(address, u) })
	}
}

// expire closes a link that is still unused when its timer fires.
func (lp *linkPool) expire(address string, u *linkUsers) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	// A session may have acquired the link just as the timer fired.
	if u.count > 0 || u.cancelExpiry == nil || lp.links[address] != u {
		return
	}
	delete(lp.links, address)
	lp.dialer.Unwant(address)
}

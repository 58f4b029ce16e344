package link

import (
	"sync"

	"shallotcourse/internal/wire"
)

type (
	// latest shows a handler one link to each incarnation of a peer.
	latest struct {
		next Handler

		mu sync.Mutex
		// links holds the open links of each incarnation, the newest last.
		links map[string][]Peer
	}
)

// Latest returns a handler that keeps next on a live link while a peer has
// several: when the newest link ends and an older one is still open, next sees
// LinkUp of the older one again before LinkDown. Messages of all links are
// passed on. LinkUp of a peer that next has seen before may come while it
// handles a message of that peer.
func Latest(next Handler) Handler {
	return &latest{next: next, links: map[string][]Peer{}}
}

// LinkUp implements Handler.
func (l *latest) LinkUp(p Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := p.Hello().Incarnation
	l.links[key] = append(l.links[key], p)
	l.next.LinkUp(p)
}

// Receive implements Handler.
func (l *latest) Receive(p Peer, m wire.Message) { l.next.Receive(p, m) }

// LinkDown implements Handler. The lock is held over the calls, so that the
// handler sees ups and downs of one peer in their order.
func (l *latest) LinkDown(p Peer, reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := p.Hello().Incarnation
	open := l.links[key]
	newest := len(open) > 0 && open[len(open)-1] == p
	var rest []Peer
	for _, other := range open {
		if other != p {
			rest = append(rest, other)
		}
	}
	l.links[key] = rest
	if len(rest) == 0 {
		delete(l.links, key)
	} else if newest {
		l.next.LinkUp(rest[len(rest)-1])
	}
	l.next.LinkDown(p, reason)
}

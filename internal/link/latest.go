package link

import (
	"sync"

	"shallotcourse/internal/wire"
)

type (
	// newestLink keeps a handler on one link to each incarnation of a peer.
	newestLink struct {
		next Handler

		mu sync.Mutex
		// links holds the open links to each incarnation, the newest last.
		links map[string][]Peer
	}
)

// NewestLink returns a handler that keeps next on an open link while a peer has
// several: when the newest link ends and an older one is still open, next
// receives LinkUp for the older one again, followed by LinkDown for the ended
// one. Messages of all links are passed on. LinkUp for a peer that next already
// knows may be called while next handles a message of that peer.
func NewestLink(next Handler) Handler {
	return &newestLink{next: next, links: map[string][]Peer{}}
}

// LinkUp implements Handler.
func (l *newestLink) LinkUp(p Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := p.Hello().Incarnation
	l.links[key] = append(l.links[key], p)
	l.next.LinkUp(p)
}

// Receive implements Handler.
func (l *newestLink) Receive(p Peer, m wire.Message) { l.next.Receive(p, m) }

// LinkDown implements Handler. The lock is held during the calls, so that the
// handler receives LinkUp and LinkDown of a peer in order.
func (l *newestLink) LinkDown(p Peer, reason error) {
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

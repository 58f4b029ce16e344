// Package link maintains WebSocket links between processes: Hello exchange,
// heartbeats, redialling and bounded send queues.
package link

import (
	"shallotcourse/internal/wire"
)

type (
	// Peer is the other end of one link.
	Peer interface {
		// Hello returns the Hello message of the peer.
		Hello() wire.Hello
		// Send queues a message without blocking. It fails when the link is
		// down or its queue is full. A full queue closes the link, since a peer
		// that does not read cannot be distinguished from a silent one.
		Send(m wire.Message) error
		// Close ends the link for the given reason.
		Close(reason error)
		// Done is closed when the link has ended.
		Done() <-chan struct{}
	}

	// Handler receives the events of links. The calls for one Peer come one
	// after another, in order, and LinkDown is the last. A process may have
	// several links to one instance: one in each direction, and a new link may
	// be established before LinkDown of a silent one. A handler therefore
	// identifies links by Peer, not by instance. Heartbeats are passed on too,
	// because they carry the revision of the peer.
	Handler interface {
		LinkUp(p Peer)
		Receive(p Peer, m wire.Message)
		LinkDown(p Peer, reason error)
	}

	// Handlers passes each call to several handlers in order.
	Handlers []Handler
)

var _ Handler = Handlers(nil)

// LinkUp implements Handler.
func (hs Handlers) LinkUp(p Peer) {
	for _, h := range hs {
		h.LinkUp(p)
	}
}

// Receive implements Handler.
func (hs Handlers) Receive(p Peer, m wire.Message) {
	for _, h := range hs {
		h.Receive(p, m)
	}
}

// LinkDown implements Handler.
func (hs Handlers) LinkDown(p Peer, reason error) {
	for _, h := range hs {
		h.LinkDown(p, reason)
	}
}

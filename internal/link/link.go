// Package link keeps WebSocket links between processes: hello, heartbeat,
// redial and bounded sending.
package link

import (
	"shallotcourse/internal/wire"
)

type (
	// Peer is the other end of one connection.
	Peer interface {
		// Hello returns what the peer said of itself.
		Hello() wire.Hello
		// Send queues a message without blocking. It fails when the link is
		// down or its queue is full; a full queue closes the link, since a
		// peer that does not read cannot be told from a silent one.
		Send(m wire.Message) error
		// Close ends the connection for the given reason.
		Close(reason error)
		// Done is closed when the connection has ended.
		Done() <-chan struct{}
	}

	// Handler receives what happens on links. The calls for one Peer come
	// one after another, in order, and LinkDown is the last. A process may
	// have several links to one instance: one in each direction, and a new
	// link may come up before LinkDown of a silent one, so a handler tells
	// links apart by Peer and not by instance. Heartbeats are received too,
	// because they carry the peer's revision.
	Handler interface {
		LinkUp(p Peer)
		Receive(p Peer, m wire.Message)
		LinkDown(p Peer, reason error)
	}

	// Handlers passes each call to several handlers in turn.
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

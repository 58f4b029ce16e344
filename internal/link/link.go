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
	// one after another, in order, and LinkDown is the last.
	Handler interface {
		LinkUp(p Peer)
		Receive(p Peer, m wire.Message)
		LinkDown(p Peer, reason error)
	}
)

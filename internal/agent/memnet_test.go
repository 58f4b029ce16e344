package agent

import (
	"sync"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/link"
	"shallotcourse/internal/wire"
)

type (
	// memNet is an in-memory network that replaces link.Dialer in tests.
	memNet struct {
		mu        sync.Mutex
		byAddress map[string]*endpoint
		endpoints []*endpoint
		// down is the set of addresses that cannot be dialled.
		down map[string]bool
	}

	// endpoint is one process on the network.
	endpoint struct {
		net     *memNet
		hello   wire.Hello
		handler link.Handler
		mu      sync.Mutex
		dialled map[string]*memPeer
	}

	// memPeer is one direction of a connection: messages sent on it are
	// received by the handler of the remote endpoint.
	memPeer struct {
		// local is the sending endpoint. The remote one receives from the
		// queue of this memPeer through reverse, the opposite direction.
		local, remote *endpoint
		reverse       *memPeer
		queue         chan wire.Message
		done          chan struct{}
		once          *sync.Once
		mu            sync.Mutex
		// dropping discards all messages sent, which simulates a connection
		// that stops delivering data without closing.
		dropping bool
	}
)

func newMemNet() *memNet {
	return &memNet{byAddress: map[string]*endpoint{}, down: map[string]bool{}}
}

// addEndpoint adds a process to the network. Its handler must be set before
// the first link.
func (n *memNet) addEndpoint(h wire.Hello) *endpoint {
	e := &endpoint{net: n, hello: h, dialled: map[string]*memPeer{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints = append(n.endpoints, e)
	if h.Address != "" {
		n.byAddress[h.Address] = e
	}
	return e
}

// Want implements Dialer. It dials immediately, and only once.
func (e *endpoint) Want(address string) { e.dial(address) }

// Unwant implements Dialer.
func (e *endpoint) Unwant(string) {}

// Peer implements Dialer.
func (e *endpoint) Peer(address string) (link.Peer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.dialled[address]
	if !ok {
		return nil, false
	}
	return p, true
}

// dial connects to an address, unless it is already connected, unknown or
// down.
func (e *endpoint) dial(address string) *memPeer {
	e.net.mu.Lock()
	other, ok := e.net.byAddress[address]
	down := e.net.down[address]
	e.net.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, up := e.dialled[address]; up || !ok || down {
		return p
	}
	done, once := make(chan struct{}), &sync.Once{}
	const queue = 10000
	forward := &memPeer{local: e, remote: other, queue: make(chan wire.Message, queue), done: done, once: once}
	backward := &memPeer{local: other, remote: e, queue: make(chan wire.Message, queue), done: done, once: once}
	forward.reverse, backward.reverse = backward, forward
	e.dialled[address] = forward
	go other.serve(backward)
	go e.serve(forward)
	return forward
}

// serve delivers the events of one end of a link to the handler of the
// endpoint.
func (e *endpoint) serve(p *memPeer) {
	e.handler.LinkUp(p)
	for {
		select {
		case m := <-p.reverse.queue:
			e.handler.Receive(p, m)
		case <-p.done:
			e.mu.Lock()
			for address, other := range e.dialled {
				if other == p {
					delete(e.dialled, address)
				}
			}
			e.mu.Unlock()
			e.handler.LinkDown(p, nil)
			return
		}
	}
}

// Hello implements link.Peer.
func (p *memPeer) Hello() wire.Hello { return p.remote.hello }

// Send implements link.Peer.
func (p *memPeer) Send(m wire.Message) error {
	p.mu.Lock()
	dropping := p.dropping
	p.mu.Unlock()
	if dropping {
		return nil
	}
	select {
	case <-p.done:
		return fault.New(fault.Unavailable, "link is down")
	case p.queue <- m:
		return nil
	default:
		p.Close(nil)
		return fault.New(fault.Unavailable, "queue is full")
	}
}

// Close implements link.Peer.
func (p *memPeer) Close(error) { p.once.Do(func() { close(p.done) }) }

// Done implements link.Peer.
func (p *memPeer) Done() <-chan struct{} { return p.done }

func (p *memPeer) dropMessages() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropping = true
}

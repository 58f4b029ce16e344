package agent

import (
	"sync"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/link"
	"shallotcourse/internal/wire"
)

type (
	// memNet links agents in memory, in place of link.Dialer.
	memNet struct {
		mu       sync.Mutex
		handlers map[string]*end
		ends     []*end
		// down holds addresses that cannot be dialled.
		down map[string]bool
	}

	// end is one process on the network.
	end struct {
		net     *memNet
		hello   wire.Hello
		handler link.Handler
		mu      sync.Mutex
		dialled map[string]*memPeer
	}

	// memPeer is one direction of a connection: what is sent on it reaches
	// the handler of the remote end.
	memPeer struct {
		// local sends; remote receives through twin.
		local, remote *end
		twin          *memPeer
		queue         chan wire.Message
		done          chan struct{}
		once          *sync.Once
		// lossy drops what is sent, as a silent connection does.
		mu    sync.Mutex
		lossy bool
	}
)

func newMemNet() *memNet {
	return &memNet{handlers: map[string]*end{}, down: map[string]bool{}}
}

// join adds a process; its handler is set before the first link.
func (n *memNet) join(h wire.Hello) *end {
	e := &end{net: n, hello: h, dialled: map[string]*memPeer{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends = append(n.ends, e)
	if h.Address != "" {
		n.handlers[h.Address] = e
	}
	return e
}

// Want implements Dialer: it dials at once.
func (e *end) Want(address string) { e.dial(address) }

// Unwant implements Dialer.
func (e *end) Unwant(string) {}

// Peer implements Dialer.
func (e *end) Peer(address string) (link.Peer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.dialled[address]
	if !ok {
		return nil, false
	}
	return p, true
}

func (e *end) dial(address string) *memPeer {
	e.net.mu.Lock()
	other, ok := e.net.handlers[address]
	down := e.net.down[address]
	e.net.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, up := e.dialled[address]; up || !ok || down {
		return p
	}
	done, once := make(chan struct{}), &sync.Once{}
	const queue = 10000
	there := &memPeer{local: e, remote: other, queue: make(chan wire.Message, queue), done: done, once: once}
	back := &memPeer{local: other, remote: e, queue: make(chan wire.Message, queue), done: done, once: once}
	there.twin, back.twin = back, there
	e.dialled[address] = there
	go other.serve(back)
	go e.serve(there)
	return there
}

// serve runs the handler of one end of a link.
func (e *end) serve(p *memPeer) {
	e.handler.LinkUp(p)
	for {
		select {
		case m := <-p.twin.queue:
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
	lossy := p.lossy
	p.mu.Unlock()
	if lossy {
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

func (p *memPeer) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lossy = true
}

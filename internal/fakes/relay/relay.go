// Package relay is a TCP relay for tests. It can make open connections go
// silent while new ones work, delay what passes, and cut connections.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"shallotcourse/internal/timer"
)

// bufferedChunks bounds what a delayed direction holds, as a network does.
const bufferedChunks = 64

// holdPoll is the interval at which a direction that is kept back looks whether
// it is switched on again.
const holdPoll = 10 * time.Millisecond

type (
	// Relay passes TCP connections on to one target address.
	Relay struct {
		target   string
		listener net.Listener
		clock    timer.Service
		bytes    atomic.Uint64
		accepted atomic.Uint64

		mu sync.Mutex
		// pairs holds the open connections.
		pairs map[*pair]struct{}
		// state is read for each new connection and each chunk.
		state  state
		closed bool
	}

	// Stats counts what passed since the start.
	Stats struct {
		// Bytes counts both directions.
		Bytes    uint64
		Accepted uint64
		Open     int
	}

	state struct {
		delay time.Duration
		// rate bounds each direction in bytes per second; 0 is no bound.
		rate int
		// refuse closes new connections, mute makes them silent.
		refuse, mute bool
		// holdTo keeps what goes to the target, holdFrom what comes from it.
		holdTo, holdFrom bool
	}

	// pair is a connection and its continuation to the target.
	pair struct {
		relay *Relay
		a, b  net.Conn
		// silent is closed when the pair stops passing bytes for good.
		silent chan struct{}
		once   sync.Once
		done   chan struct{}
		end    sync.Once
	}

	chunk struct {
		data []byte
		due  time.Time
	}
)

// Start listens on an address and relays to the target.
func Start(listen, target string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrap(err, "cannot listen")
	}
	r := &Relay{target: target, listener: l, clock: timer.System{}, pairs: map[*pair]struct{}{}}
	go r.accept()
	return r, nil
}

// Address returns the address to connect to.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Silence makes all open connections silent for good: nothing passes in either
// direction, not even the end of the connection. New connections work.
func (r *Relay) Silence() {
	for _, p := range r.open() {
		p.silence()
	}
}

// Mute makes new connections silent from the start, until it is switched off.
func (r *Relay) Mute(on bool) { r.change(func(s *state) { s.mute = on }) }

// Refuse closes new connections at once, until it is switched off.
func (r *Relay) Refuse(on bool) { r.change(func(s *state) { s.refuse = on }) }

// OneWay keeps back what goes to the target, or what comes from it, until it is
// switched off; nothing is lost.
func (r *Relay) OneWay(toTarget, on bool) {
	r.change(func(s *state) {
		if toTarget {
			s.holdTo = on
		} else {
			s.holdFrom = on
		}
	})
}

// Delay holds back what passes in each direction.
func (r *Relay) Delay(d time.Duration) { r.change(func(s *state) { s.delay = d }) }

// Rate bounds the bytes per second of each direction of each connection; 0 is
// no bound.
func (r *Relay) Rate(bytesPerSecond int) { r.change(func(s *state) { s.rate = bytesPerSecond }) }

// Cut closes all open connections.
func (r *Relay) Cut() {
	for _, p := range r.open() {
		p.close()
	}
}

// Stats returns the counters.
func (r *Relay) Stats() Stats {
	return Stats{Bytes: r.bytes.Load(), Accepted: r.accepted.Load(), Open: len(r.open())}
}

// Close stops listening and closes all connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.Cut()
}

func (r *Relay) change(f func(*state)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.state)
}

func (r *Relay) now() state {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

func (r *Relay) open() []*pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*pair, 0, len(r.pairs))
	for p := range r.pairs {
		out = append(out, p)
	}
	return out
}

func (r *Relay) accept() {
	for {
		a, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.accepted.Add(1)
		go r.serve(a)
	}
}

func (r *Relay) serve(a net.Conn) {
	s := r.now()
	if s.refuse {
		_ = a.Close()
		return
	}
	b, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = a.Close()
		return
	}
	p := &pair{relay: r, a: a, b: b, silent: make(chan struct{}), done: make(chan struct{})}
	r.mu.Lock()
	closed := r.closed
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	if closed {
		p.close()
		return
	}
	if s.mute {
		p.silence()
	}
	go p.pass(a, b)
	go p.pass(b, a)
}

func (p *pair) silence() { p.once.Do(func() { close(p.silent) }) }

func (p *pair) close() {
	p.end.Do(func() {
		close(p.done)
		_ = p.a.Close()
		_ = p.b.Close()
		p.relay.mu.Lock()
		delete(p.relay.pairs, p)
		p.relay.mu.Unlock()
	})
}

// pass copies one direction until its source ends. The end of a silent pair is
// not passed on.
func (p *pair) pass(from, to net.Conn) {
	chunks := make(chan chunk, bufferedChunks)
	go p.deliver(chunks, to)
	defer close(chunks)
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.silent:
			// Waiting here lets the sender's buffers fill up, as they do when
			// packets are lost.
			<-p.done
			return
		default:
		}
		if n > 0 {
			due := p.relay.clock.Now().Add(p.relay.now().delay)
			select {
			case chunks <- chunk{append([]byte(nil), buffer[:n]...), due}:
			case <-p.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes chunks when they are due and closes the pair after the last.
func (p *pair) deliver(chunks <-chan chunk, to net.Conn) {
	for c := range chunks {
		p.wait(c.due)
		for p.held(to) {
			p.wait(p.relay.clock.Now().Add(holdPoll))
		}
		select {
		case <-p.silent:
			continue
		default:
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
		p.relay.bytes.Add(uint64(len(c.data)))
		if rate := p.relay.now().rate; rate > 0 {
			p.wait(p.relay.clock.Now().Add(time.Duration(len(c.data)) * time.Second / time.Duration(rate)))
		}
	}
	select {
	case <-p.silent:
	default:
		p.close()
	}
}

// held reports whether the direction towards to is kept back.
func (p *pair) held(to net.Conn) bool {
	select {
	case <-p.done:
		return false
	default:
	}
	s := p.relay.now()
	return s.holdTo && to == p.b || s.holdFrom && to == p.a
}

func (p *pair) wait(due time.Time) {
	d := due.Sub(p.relay.clock.Now())
	if d <= 0 {
		return
	}
	passed := make(chan struct{})
	cancel := p.relay.clock.After(d, func() { close(passed) })
	defer cancel()
	select {
	case <-passed:
	case <-p.done:
	}
}

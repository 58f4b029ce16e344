// Package relay is a TCP relay that injects network faults in tests. It can
// silently drop the traffic of open connections while new ones work, delay or
// throttle traffic, and close or refuse connections.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"shallotcourse/internal/timer"
)

// maxQueuedChunks is the number of chunks that are queued in one direction of a
// connection before the relay stops reading, as a network with full buffers does.
const maxQueuedChunks = 64

// pausePollInterval is how often a paused direction checks whether it has been
// resumed.
const pausePollInterval = 10 * time.Millisecond

type (
	// Relay forwards TCP connections to one target address.
	Relay struct {
		target   string
		listener net.Listener
		clock    timer.Service
		bytes    atomic.Uint64
		accepted atomic.Uint64

		mu sync.Mutex
		// pairs holds the open connections, also silenced ones.
		pairs map[*pair]struct{}
		// faults is read for each new connection and each chunk.
		faults faultState
		closed bool
	}

	// Stats are counters since the start, and the number of open connections.
	Stats struct {
		// Bytes is the number of bytes forwarded in both directions.
		Bytes    uint64
		Accepted uint64
		Open     int
	}

	faultState struct {
		delay time.Duration
		// rate limits each direction of a connection, in bytes per second; 0 is
		// unlimited.
		rate int
		// refuse closes new connections, mute silences them.
		refuse, mute bool
		// pauseToTarget holds back the traffic to the target, pauseFromTarget that
		// from it.
		pauseToTarget, pauseFromTarget bool
	}

	// pair is an accepted connection and the one to the target that continues
	// it.
	pair struct {
		relay          *Relay
		client, server net.Conn
		// silent is closed when the pair stops forwarding for good.
		silent      chan struct{}
		silenceOnce sync.Once
		done        chan struct{}
		closeOnce   sync.Once
	}

	// chunk is data to be written at a time.
	chunk struct {
		data []byte
		due  time.Time
	}
)

// Start listens on an address and forwards its connections to the target.
func Start(listen, target string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrap(err, "cannot listen for connections to relay")
	}
	r := &Relay{target: target, listener: l, clock: timer.System{}, pairs: map[*pair]struct{}{}}
	go r.accept()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Silence drops all traffic of the open connections from now on, in both
// directions, without closing them; neither end learns that the other has closed.
// New connections work.
func (r *Relay) Silence() {
	for _, p := range r.openPairs() {
		p.silence()
	}
}

// SilenceNew silences new connections from their start, until it is switched off.
func (r *Relay) SilenceNew(on bool) { r.setFaults(func(s *faultState) { s.mute = on }) }

// RefuseNew closes new connections at once, until it is switched off.
func (r *Relay) RefuseNew(on bool) { r.setFaults(func(s *faultState) { s.refuse = on }) }

// PauseDirection holds back the traffic to the target, or the traffic from it,
// until it is switched off. Nothing is lost.
func (r *Relay) PauseDirection(toTarget, on bool) {
	r.setFaults(func(s *faultState) {
		if toTarget {
			s.pauseToTarget = on
		} else {
			s.pauseFromTarget = on
		}
	})
}

// SetDelay adds latency to each direction.
func (r *Relay) SetDelay(d time.Duration) { r.setFaults(func(s *faultState) { s.delay = d }) }

// SetRateLimit limits the bytes per second of each direction of each connection;
// 0 is unlimited.
func (r *Relay) SetRateLimit(bytesPerSecond int) {
	r.setFaults(func(s *faultState) { s.rate = bytesPerSecond })
}

// Cut closes all open connections, also silenced ones.
func (r *Relay) Cut() {
	for _, p := range r.openPairs() {
		p.close()
	}
}

// Stats returns the counters.
func (r *Relay) Stats() Stats {
	return Stats{Bytes: r.bytes.Load(), Accepted: r.accepted.Load(), Open: len(r.openPairs())}
}

// Close stops listening and closes all connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.Cut()
}

func (r *Relay) setFaults(f func(*faultState)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.faults)
}

func (r *Relay) currentFaults() faultState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

func (r *Relay) openPairs() []*pair {
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
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.accepted.Add(1)
		go r.serve(client)
	}
}

// serve connects an accepted connection to the target.
func (r *Relay) serve(client net.Conn) {
	s := r.currentFaults()
	if s.refuse {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &pair{relay: r, client: client, server: server, silent: make(chan struct{}), done: make(chan struct{})}
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
	go p.copyFrom(client, server)
	go p.copyFrom(server, client)
}

func (p *pair) silence() { p.silenceOnce.Do(func() { close(p.silent) }) }

func (p *pair) close() {
	p.closeOnce.Do(func() {
		close(p.done)
		_ = p.client.Close()
		_ = p.server.Close()
		p.relay.mu.Lock()
		delete(p.relay.pairs, p)
		p.relay.mu.Unlock()
	})
}

// copyFrom copies one direction until its source is closed. It does not forward
// the close of a silenced pair.
func (p *pair) copyFrom(from, to net.Conn) {
	chunks := make(chan chunk, maxQueuedChunks)
	go p.deliver(chunks, to)
	defer close(chunks)
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.silent:
			// The unread data fills the sender's buffers, as it would if
			// all packets were lost.
			<-p.done
			return
		default:
		}
		if n > 0 {
			due := p.relay.clock.Now().Add(p.relay.currentFaults().delay)
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

// deliver writes chunks at their due times, and closes the pair after the last
// one.
func (p *pair) deliver(chunks <-chan chunk, to net.Conn) {
	for c := range chunks {
		p.sleepUntil(c.due)
		for p.paused(to) {
			p.sleepUntil(p.relay.clock.Now().Add(pausePollInterval))
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
		if rate := p.relay.currentFaults().rate; rate > 0 {
			p.sleepUntil(p.relay.clock.Now().Add(time.Duration(len(c.data)) * time.Second / time.Duration(rate)))
		}
	}
	select {
	case <-p.silent:
	default:
		p.close()
	}
}

// paused reports whether the traffic towards to is held back.
func (p *pair) paused(to net.Conn) bool {
	select {
	case <-p.done:
		return false
	default:
	}
	s := p.relay.currentFaults()
	return s.pauseToTarget && to == p.server || s.pauseFromTarget && to == p.client
}

// sleepUntil waits for a time or the close of the pair.
func (p *pair) sleepUntil(due time.Time) {
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

package link

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gorilla/websocket"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

const (
	// closeWait bounds the time to send the peer a close frame and to wait for
	// it to close its end.
	closeWait = 250 * time.Millisecond
	// flushWait bounds the time to write queued messages before a stop.
	flushWait = time.Second
	flushPoll = 5 * time.Millisecond

	// maxLateTicks bounds the consecutive late ticks that postpone the
	// detection of silence. A process whose ticks are always late must still
	// detect silent peers.
	maxLateTicks = 4
)

type (
	// Group is the set of links of one process. Dialled and accepted links
	// share the configuration and the handler. A peer may have a link in each
	// direction.
	Group struct {
		*Dialer
		*Acceptor
		config Config
		start  time.Time
		stats  stats

		mu sync.Mutex
		// conns holds the established links.
		conns  map[*conn]struct{}
		closed bool
		stop   chan struct{}
	}

	// Stats counts the traffic of all links since the start.
	Stats struct {
		Links                   int
		MessagesIn, MessagesOut uint64
		FramesIn, FramesOut     uint64
		BytesIn, BytesOut       uint64
	}

	stats struct {
		messagesIn, messagesOut atomic.Uint64
		framesIn, framesOut     atomic.Uint64
		bytesIn, bytesOut       atomic.Uint64
	}

	// silenceDetector decides which links have timed out. It does not count the
	// time during which this process itself did not run.
	silenceDetector struct {
		// lastTick is the time of the last tick.
		lastTick time.Duration
		// graceEnd is the time of the last late tick that counted as a pause of
		// this process; silence before it is ignored.
		graceEnd time.Duration
		// lateTicks counts consecutive late ticks, up to maxLateTicks.
		lateTicks int
	}
)

// NewGroup returns a group without links and starts its heartbeats.
func NewGroup(c Config) *Group {
	c = c.withDefaults()
	g := &Group{config: c, start: c.Timer.Now(), conns: map[*conn]struct{}{}, stop: make(chan struct{})}
	g.Dialer = &Dialer{group: g, loops: map[string]*dialLoop{}}
	g.Acceptor = &Acceptor{group: g}
	ticks, cancel := c.Timer.Every(c.Heartbeat)
	go g.monitor(ticks, cancel)
	return g
}

// NewDialer returns the dialling half of a new group.
func NewDialer(c Config) *Dialer { return NewGroup(c).Dialer }

// NewAcceptor returns the accepting half of a new group.
func NewAcceptor(c Config) *Acceptor { return NewGroup(c).Acceptor }

// Peers returns the peers of all established links.
func (g *Group) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Peer, 0, len(g.conns))
	for c := range g.conns {
		out = append(out, c)
	}
	return out
}

// Broadcast sends a message to each peer that the filter selects; a nil filter
// selects all. The link of a peer whose queue is full is closed.
func (g *Group) Broadcast(m wire.Message, filter func(wire.Hello) bool) {
	b, err := wire.Encode(m)
	if err != nil {
		level.Error(g.config.Logger).Log("msg", "message not sent", "err", err)
		return
	}
	for _, p := range g.Peers() {
		if filter == nil || filter(p.Hello()) {
			_ = p.(*conn).sendEncoded(b)
		}
	}
}

// Stats returns the counters of the group.
func (g *Group) Stats() Stats {
	g.mu.Lock()
	links := len(g.conns)
	g.mu.Unlock()
	s := &g.stats
	return Stats{
		Links:      links,
		MessagesIn: s.messagesIn.Load(), MessagesOut: s.messagesOut.Load(),
		FramesIn: s.framesIn.Load(), FramesOut: s.framesOut.Load(),
		BytesIn: s.bytesIn.Load(), BytesOut: s.bytesOut.Load(),
	}
}

// Stop prevents new links, writes the queued messages within flushWait, and
// closes all links.
func (g *Group) Stop() {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return
	}
	g.closed = true
	close(g.stop)
	conns := make([]*conn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	g.mu.Unlock()
	g.flush(conns)
	for _, c := range conns {
		c.Close(errStopped)
	}
	for _, c := range conns {
		<-c.connClosed
	}
	g.cancelAll()
}

// flush waits until the queues of the connections are written, for at most
// flushWait.
func (g *Group) flush(conns []*conn) {
	ticks, cancel := g.config.Timer.Every(flushPoll)
	defer cancel()
	for end := g.elapsed() + flushWait; g.elapsed() < end; <-ticks {
		if !slices.ContainsFunc(conns, func(c *conn) bool { return c.isOpen() && !c.queue.empty() }) {
			return
		}
	}
}

// establish exchanges Hello on a new connection and starts its loops. The
// caller bounds the exchange by closing ws. The function publish is called with
// the link before the handler is.
func (g *Group) establish(ws *websocket.Conn, dialedAddress string, publish func(*conn)) (*conn, error) {
	own, err := wire.Encode(g.config.Hello())
	if err != nil {
		return nil, err
	}
	if err := ws.WriteMessage(websocket.BinaryMessage, own); err != nil {
		return nil, errLinkDown.WithCause(err)
	}
	hello, err := readHello(ws)
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(wire.MaxBytes + maxBatchBytes)
	c := &conn{group: g, ws: ws, hello: hello, dialedAddress: dialedAddress}
	c.done, c.readDone, c.connClosed = make(chan struct{}), make(chan struct{}), make(chan struct{})
	c.queue = newSendQueue(g.config.QueueMessages, g.config.QueueBytes)
	c.markReceived()
	if !g.add(c) {
		return nil, errStopped
	}
	publish(c)
	level.Info(g.config.Logger).Log("msg", "link up", "peer", hello.Instance, "incarnation", hello.Incarnation)
	go c.readLoop()
	go c.writeLoop()
	return c, nil
}

func readHello(ws *websocket.Conn) (wire.Hello, error) {
	ws.SetReadLimit(maxHelloBytes)
	_, b, err := ws.ReadMessage()
	if err != nil {
		return wire.Hello{}, readError(err)
	}
	m, err := wire.Decode(b)
	if err != nil {
		return wire.Hello{}, err
	}
	hello, ok := m.(wire.Hello)
	if !ok || hello.Instance == "" || hello.Incarnation == "" {
		return wire.Hello{}, errNoHello
	}
	if hello.Version != wire.Version {
		return hello, fault.Newf(fault.BadInput, "protocol version %d is not supported; expected %d", hello.Version, wire.Version)
	}
	return hello, nil
}

// closeConn closes a connection. If the peer may still be reachable, it first
// sends a close frame with the reason and waits for the peer to close its end,
// for at most closeWait: closing at once would lose data in flight in both
// directions. The channel readDone is closed when the read loop has ended; it is
// nil if there is none.
func (g *Group) closeConn(ws *websocket.Conn, reason error, readDone <-chan struct{}) {
	defer func() { _ = ws.Close() }()
	if !canSendClose(reason) {
		return
	}
	timeout := make(chan struct{})
	cancel := g.config.Timer.After(closeWait, func() {
		_ = ws.Close()
		close(timeout)
	})
	defer cancel()
	frame := websocket.FormatCloseMessage(closeCode, closeText(reason))
	if ws.WriteControl(websocket.CloseMessage, frame, time.Time{}) != nil || readDone == nil {
		return
	}
	select {
	case <-readDone:
	case <-timeout:
	}
}

// canSendClose reports whether a close frame may still reach the peer.
func canSendClose(reason error) bool {
	return !fault.Is(reason, fault.Deadline) && !fault.Is(reason, fault.Unavailable) &&
		!fault.Is(reason, fault.Overloaded)
}

func (g *Group) stopped() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

func (g *Group) add(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.conns[c] = struct{}{}
	return true
}

func (g *Group) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

func (g *Group) elapsed() time.Duration { return g.config.Timer.Now().Sub(g.start) }

// monitor sends heartbeats and closes links that have timed out.
func (g *Group) monitor(ticks <-chan time.Time, cancel func()) {
	defer cancel()
	var detector silenceDetector
	for {
		select {
		case <-g.stop:
			return
		case <-ticks:
			detector = detector.withTick(g.elapsed(), 2*g.config.Heartbeat)
			g.checkLinks(detector)
		}
	}
}

func (g *Group) checkLinks(detector silenceDetector) {
	b, err := wire.Encode(wire.Heartbeat{Revision: g.config.Hello().Revision})
	if err != nil {
		level.Error(g.config.Logger).Log("msg", "heartbeat not sent", "err", err)
		return
	}
	for _, p := range g.Peers() {
		c := p.(*conn)
		switch {
		case detector.timedOut(c.lastReceived.Load(), g.config.Silence):
			go c.Close(errSilent)
		case c.writeStart.Load() > 0 && detector.timedOut(c.writeStart.Load(), g.config.WriteTimeout):
			go c.Close(errWriteTimeout)
		default:
			_ = c.sendEncoded(b)
		}
	}
}

// withTick returns the state after a tick. A tick more than limit after the
// last one means that this process did not run in between. Silence during that
// time does not show that a peer has failed, so the timeouts start again now.
func (d silenceDetector) withTick(now, limit time.Duration) silenceDetector {
	if now-d.lastTick <= limit {
		return silenceDetector{lastTick: now, graceEnd: d.graceEnd}
	}
	if d.lateTicks >= maxLateTicks {
		return silenceDetector{lastTick: now, graceEnd: d.graceEnd, lateTicks: d.lateTicks}
	}
	return silenceDetector{lastTick: now, graceEnd: now, lateTicks: d.lateTicks + 1}
}

// timedOut reports whether more than limit has passed since a time, or since
// graceEnd if that is later.
func (d silenceDetector) timedOut(since int64, limit time.Duration) bool {
	return d.lastTick-max(time.Duration(since), d.graceEnd) > limit
}

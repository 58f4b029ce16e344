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
	// closeWait bounds the attempt to tell the peer why a link ends and the
	// wait for the peer to close its end.
	closeWait = 250 * time.Millisecond
	// flushWait bounds the writing of queued messages before a stop.
	flushWait = time.Second
	flushPoll = 5 * time.Millisecond

	// maxGaps bounds the consecutive late ticks that postpone the detection of
	// silence; a process that is always late must still detect silent peers.
	maxGaps = 4
)

type (
	// Group is the set of links of one process. The links that it dials and
	// those that it accepts share the configuration and the handler. A peer
	// may have a link in each direction.
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

	// Stats counts what passed over all links since the start.
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

	// watch decides which links are silent; it holds the state of the gap rule.
	watch struct {
		// last is the time of the last tick.
		last time.Duration
		// grace is the end of the last gap; silence before it does not count.
		grace time.Duration
		gaps  int
	}
)

// NewGroup returns a group without links and starts its heartbeats.
func NewGroup(c Config) *Group {
	c = c.withDefaults()
	g := &Group{config: c, start: c.Timer.Now(), conns: map[*conn]struct{}{}, stop: make(chan struct{})}
	g.Dialer = &Dialer{group: g, wanted: map[string]*wanted{}}
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

// Broadcast sends a message to each peer that the filter selects; nil selects
// all. A peer whose queue is full loses its link.
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

// Stop makes no new links, writes what is queued on the open ones within a
// bound, and closes them.
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
		<-c.gone
	}
	g.unwantAll()
}

// flush waits until the queues of the connections are written.
func (g *Group) flush(conns []*conn) {
	ticks, cancel := g.config.Timer.Every(flushPoll)
	defer cancel()
	for end := g.elapsed() + flushWait; g.elapsed() < end; <-ticks {
		if !slices.ContainsFunc(conns, func(c *conn) bool { return c.open() && !c.out.empty() }) {
			return
		}
	}
}

// establish exchanges Hello on a fresh connection and starts its loops. The
// caller bounds its time by closing ws. The link is announced to publish before
// the handler learns of it.
func (g *Group) establish(ws *websocket.Conn, dialed string, publish func(*conn)) (*conn, error) {
	own, err := wire.Encode(g.config.Hello())
	if err != nil {
		return nil, err
	}
	if err := ws.WriteMessage(websocket.BinaryMessage, own); err != nil {
		return nil, errDown.WithCause(err)
	}
	hello, err := readHello(ws)
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(wire.MaxBytes + batchBytes)
	c := &conn{group: g, ws: ws, hello: hello, dialed: dialed}
	c.done, c.unread, c.gone = make(chan struct{}), make(chan struct{}), make(chan struct{})
	c.out = newOutbox(g.config.QueueMessages, g.config.QueueBytes)
	c.touch()
	if !g.add(c) {
		return nil, errStopped
	}
	publish(c)
	level.Info(g.config.Logger).Log("msg", "link up", "peer", hello.Instance, "incarnation", hello.Incarnation)
	go c.read()
	go c.write()
	return c, nil
}

func readHello(ws *websocket.Conn) (wire.Hello, error) {
	ws.SetReadLimit(helloBytes)
	_, b, err := ws.ReadMessage()
	if err != nil {
		return wire.Hello{}, readFailure(err)
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
		return hello, fault.Newf(fault.BadInput, "protocol version is %d; allowed: %d", hello.Version, wire.Version)
	}
	return hello, nil
}

// end closes a connection. If the peer can still be reached, it is told why,
// and its own end is awaited within closeWait, since closing first would lose
// what it has sent or has not received yet. The channel is closed when nothing
// more is to be read; it is nil if there is no reader.
func (g *Group) end(ws *websocket.Conn, reason error, unread <-chan struct{}) {
	defer func() { _ = ws.Close() }()
	if !tellPeer(reason) {
		return
	}
	late := make(chan struct{})
	cancel := g.config.Timer.After(closeWait, func() {
		_ = ws.Close()
		close(late)
	})
	defer cancel()
	frame := websocket.FormatCloseMessage(closeCode, closeText(reason))
	if ws.WriteControl(websocket.CloseMessage, frame, time.Time{}) != nil || unread == nil {
		return
	}
	select {
	case <-unread:
	case <-late:
	}
}

// tellPeer reports whether a close frame can still reach the peer.
func tellPeer(reason error) bool {
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

// monitor sends heartbeats and closes silent links.
func (g *Group) monitor(ticks <-chan time.Time, cancel func()) {
	defer cancel()
	var w watch
	for {
		select {
		case <-g.stop:
			return
		case <-ticks:
			w = w.withTick(g.elapsed(), 2*g.config.Heartbeat)
			g.tick(w)
		}
	}
}

func (g *Group) tick(w watch) {
	b, err := wire.Encode(wire.Heartbeat{Revision: g.config.Hello().Revision})
	if err != nil {
		level.Error(g.config.Logger).Log("msg", "heartbeat not sent", "err", err)
		return
	}
	for _, p := range g.Peers() {
		c := p.(*conn)
		switch {
		case w.passed(c.received.Load(), g.config.Silence):
			go c.Close(errSilent)
		case c.writing.Load() > 0 && w.passed(c.writing.Load(), g.config.WriteTimeout):
			go c.Close(errStuck)
		default:
			_ = c.sendEncoded(b)
		}
	}
}

// withTick returns the state after a tick. A tick that is later than limit is
// a gap: this process did not run, so the silence of its peers proves nothing
// and they get a whole timeout from now on.
func (w watch) withTick(now, limit time.Duration) watch {
	if now-w.last <= limit {
		return watch{last: now, grace: w.grace}
	}
	if w.gaps >= maxGaps {
		return watch{last: now, grace: w.grace, gaps: w.gaps}
	}
	return watch{last: now, grace: now, gaps: w.gaps + 1}
}

// passed reports whether more than limit has passed since a time.
func (w watch) passed(since int64, limit time.Duration) bool {
	return w.last-max(time.Duration(since), w.grace) > limit
}

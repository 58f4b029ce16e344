package link

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"github.com/matryer/is"

	"shallotcourse/internal/fakes/relay"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

// waitTimeout bounds each wait of a test; it allows for a busy machine.
const waitTimeout = 20 * time.Second

type (
	// recorder is a Handler that records its calls.
	recorder struct {
		mu       sync.Mutex
		messages []wire.Message
		downs    []error
		ups      int
	}

	// testGroup is a Group that accepts links at address.
	testGroup struct {
		*Group
		address string
		events  *recorder
	}
)

func (r *recorder) LinkUp(Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ups++
}

func (r *recorder) Receive(_ Peer, m wire.Message) {
	if _, ok := m.(wire.Heartbeat); ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
}

func (r *recorder) LinkDown(_ Peer, reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.downs = append(r.downs, reason)
}

func (r *recorder) counts() (ups, messages, downs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ups, len(r.messages), len(r.downs)
}

// firstDownReason returns the reason of the first LinkDown.
func (r *recorder) firstDownReason() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.downs[0]
}

func hello(name string) func() wire.Hello {
	return func() wire.Hello {
		return wire.Hello{Version: wire.Version, Role: wire.RoleEntry, Instance: name, Incarnation: name + "-1"}
	}
}

func newTestGroup(t testing.TB, c Config) *testGroup {
	t.Helper()
	events := &recorder{}
	if c.Handler == nil {
		c.Handler = events
	}
	if c.Hello == nil {
		c.Hello = hello("end")
	}
	g := NewGroup(c)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: g}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { g.Stop(); _ = server.Close() })
	return &testGroup{Group: g, address: l.Addr().String(), events: events}
}

func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for start := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(start) > waitTimeout {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func waitForPeer(t testing.TB, d *testGroup, address string, old Peer) Peer {
	t.Helper()
	var found Peer
	waitFor(t, "a new link to "+address, func() bool {
		p, ok := d.Peer(address)
		found = p
		return ok && p != old
	})
	return found
}

// Guards against lost or reordered messages in either direction, against
// received data that later frames overwrite, and against a link that outlives
// the last Unwant.
func TestBothDirections(t *testing.T) {
	is := is.New(t)
	a, b := newTestGroup(t, Config{Hello: hello("a")}), newTestGroup(t, Config{Hello: hello("b")})
	a.Want(b.address)
	a.Want(b.address)
	p := waitForPeer(t, a, b.address, nil)
	is.Equal(p.Hello().Instance, "b")
	is.Equal(Dialed(p), b.address)
	content := func(i int) []byte { return bytes.Repeat([]byte{'0' + byte(i%10)}, 100) }
	for i := range 1000 {
		is.NoErr(p.Send(wire.Step{Position: i, Data: content(i)}))
		is.NoErr(p.Send(wire.Changes{Changes: []resrc.Change{{Body: content(i)}}}))
	}
	waitFor(t, "2000 messages", func() bool { _, n, _ := b.events.counts(); return n == 2000 })
	b.events.mu.Lock()
	for i := range 1000 {
		is.Equal(b.events.messages[2*i], wire.Step{Position: i, Data: content(i)})
		is.Equal([]byte(b.events.messages[2*i+1].(wire.Changes).Changes[0].Body), content(i))
	}
	b.events.mu.Unlock()
	b.Broadcast(wire.Leaving{Target: "t"}, nil)
	waitFor(t, "the answer", func() bool { _, n, _ := a.events.counts(); return n == 1 })
	a.Unwant(b.address)
	_, ok := a.Peer(b.address)
	is.True(ok) // one call of Want is left
	a.Unwant(b.address)
	waitFor(t, "the end of the link", func() bool { _, _, downs := b.events.counts(); return downs == 1 })
	is.True(fault.Is(b.events.firstDownReason(), fault.Canceled))
}

// Guards against waiting for a silent connection to end: a silent link must be
// replaced by a new one although its connection never ends by itself.
func TestSilentLinkIsReplaced(t *testing.T) {
	is := is.New(t)
	fast := Config{Heartbeat: 50 * time.Millisecond, Silence: 500 * time.Millisecond}
	a, b := newTestGroup(t, fast), newTestGroup(t, fast)
	r, err := relay.Start("127.0.0.1:0", b.address)
	is.NoErr(err)
	defer r.Close()
	a.Want(r.Address())
	old := waitForPeer(t, a, r.Address(), nil)
	// The dialling side is up first; the other side must have received its
	// Hello too.
	waitFor(t, "the link at the other side", func() bool { ups, _, _ := b.events.counts(); return ups == 1 })
	r.Silence()
	fresh := waitForPeer(t, a, r.Address(), old)
	is.NoErr(fresh.Send(wire.Pull{Since: 7}))
	waitFor(t, "a message on the new link", func() bool { _, n, _ := b.events.counts(); return n == 1 })
	waitFor(t, "the old link's end at both sides", func() bool {
		_, _, downA := a.events.counts()
		_, _, downB := b.events.counts()
		return downA == 1 && downB == 1
	})
	is.Equal(a.events.firstDownReason(), error(errSilent))
	is.Equal(b.events.firstDownReason(), error(errSilent))
	r.Cut()
	waitForPeer(t, a, r.Address(), fresh)
}

// Guards against a dial or a Hello exchange that hangs on a connection without
// data, and against a dialer that gives up after failures.
func TestDialSurvivesMuteAndRefusal(t *testing.T) {
	is := is.New(t)
	c := Config{DialTimeout: 100 * time.Millisecond}
	a, b := newTestGroup(t, c), newTestGroup(t, Config{})
	r, err := relay.Start("127.0.0.1:0", b.address)
	is.NoErr(err)
	defer r.Close()
	r.SilenceNew(true)
	a.Want(r.Address())
	waitFor(t, "dials over mute connections", func() bool { return r.Stats().Accepted >= 2 })
	r.SilenceNew(false)
	r.RefuseNew(true)
	refusals := r.Stats().Accepted + 2
	waitFor(t, "dials that are refused", func() bool { return r.Stats().Accepted >= refusals })
	r.RefuseNew(false)
	waitForPeer(t, a, r.Address(), nil)
}

// Guards against a stop that drops messages queued before it, and against one
// that hangs on a silent link.
func TestStopWritesQueuedMessages(t *testing.T) {
	is := is.New(t)
	const n = 2000
	a, b := newTestGroup(t, Config{Hello: hello("a")}), newTestGroup(t, Config{Hello: hello("b")})
	a.Want(b.address)
	p := waitForPeer(t, a, b.address, nil)
	body := make([]byte, 4<<10)
	for range n {
		is.NoErr(p.Send(wire.Call{Body: body}))
	}
	a.Stop()
	waitFor(t, "the end of the link", func() bool { _, _, downs := b.events.counts(); return downs == 1 })
	_, messages, _ := b.events.counts()
	is.Equal(messages, n)
	is.True(fault.Is(b.events.firstDownReason(), fault.Leaving))

	c := newTestGroup(t, Config{Hello: hello("c")})
	r, err := relay.Start("127.0.0.1:0", b.address)
	is.NoErr(err)
	defer r.Close()
	c.Want(r.Address())
	waitForPeer(t, c, r.Address(), nil)
	r.Silence()
	start := time.Now()
	c.Stop()
	is.True(time.Since(start) < waitTimeout/2)
}

// Guards against a large message that takes longer than both timeouts on a slow
// link and is therefore taken for silence or a blocked write, and against a
// message that arrives incomplete.
func TestLargeMessageOnSlowLink(t *testing.T) {
	is := is.New(t)
	c := Config{Heartbeat: 100 * time.Millisecond, Silence: time.Second, WriteTimeout: time.Second}
	a, b := newTestGroup(t, c), newTestGroup(t, c)
	r, err := relay.Start("127.0.0.1:0", b.address)
	is.NoErr(err)
	defer r.Close()
	a.Want(r.Address())
	p := waitForPeer(t, a, r.Address(), nil)
	r.SetRateLimit(4 << 20)
	body := bytes.Repeat([]byte("large"), 3<<20)
	start := time.Now()
	is.NoErr(p.Send(wire.Call{Body: body}))
	waitFor(t, "the message", func() bool { _, n, _ := b.events.counts(); return n == 1 })
	is.True(time.Since(start) > 2*time.Second)
	b.events.mu.Lock()
	is.True(bytes.Equal(b.events.messages[0].(wire.Call).Body, body))
	b.events.mu.Unlock()
	_, _, downs := a.events.counts()
	is.Equal(downs, 0)
}

// Guards against a peer of another version, an incomplete Hello, a malformed
// message or an oversized frame reaching the handler. Each must close the
// connection with its typed reason.
func TestBadPeerIsRefused(t *testing.T) {
	encode := func(m wire.Message) []byte { b, _ := wire.Encode(m); return b }
	good := encode(hello("x")())
	other := hello("x")()
	other.Version++
	for _, c := range []struct {
		name   string
		frames [][]byte
		reason fault.Code
	}{
		{"version", [][]byte{encode(other)}, fault.BadInput},
		{"no hello", [][]byte{encode(wire.Pull{})}, fault.Malformed},
		{"empty hello", [][]byte{encode(wire.Hello{Version: wire.Version})}, fault.Malformed},
		{"large hello", [][]byte{make([]byte, maxHelloBytes+1)}, fault.TooLarge},
		{"second hello", [][]byte{good, good}, fault.Malformed},
		{"malformed", [][]byte{good, {0xff}}, fault.Malformed},
		{"unknown type", [][]byte{good, {0xd9, 0xff, 0xff, 0xa0}}, fault.Malformed},
		{"half a message", [][]byte{good, good[:9]}, fault.Malformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestGroup(t, Config{})
			ws, _, err := websocket.DefaultDialer.Dial("ws://"+b.address+Path, nil)
			is.NoErr(err)
			defer ws.Close()
			for _, f := range c.frames {
				is.NoErr(ws.WriteMessage(websocket.BinaryMessage, f))
			}
			for err = nil; err == nil; {
				_, _, err = ws.ReadMessage()
			}
			is.True(fault.Is(readError(err), c.reason))
			_, messages, _ := b.events.counts()
			is.Equal(messages, 0)
		})
	}
}

// Guards against an unbounded send queue, and against a sender that blocks on a
// peer that does not read.
func TestFullQueueClosesLink(t *testing.T) {
	is := is.New(t)
	unblock := make(chan struct{})
	defer close(unblock)
	a := newTestGroup(t, Config{QueueMessages: 4, QueueBytes: 1 << 20})
	b := newTestGroup(t, Config{Handler: &blockingHandler{unblock: unblock}})
	a.Want(b.address)
	p := waitForPeer(t, a, b.address, nil)
	big := wire.Call{Body: make([]byte, 1<<20)}
	waitFor(t, "a full queue", func() bool { return fault.Is(p.Send(big), fault.Overloaded) })
	<-p.Done()
	is.True(fault.Is(p.Send(big), fault.Unavailable))
}

type blockingHandler struct {
	recorder
	unblock chan struct{}
}

func (b *blockingHandler) Receive(Peer, wire.Message) { <-b.unblock }

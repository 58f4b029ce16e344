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

// patience bounds each wait of a test; it is generous for a busy machine.
const patience = 20 * time.Second

type (
	// recorder is a Handler that keeps what happened.
	recorder struct {
		mu       sync.Mutex
		messages []wire.Message
		downs    []error
		ups      int
	}

	end struct {
		*Group
		address string
		seen    *recorder
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

// down returns the reason of the first link that went down.
func (r *recorder) down() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.downs[0]
}

func hello(name string) func() wire.Hello {
	return func() wire.Hello {
		return wire.Hello{Version: wire.Version, Role: wire.RoleEntry, Instance: name, Incarnation: name + "-1"}
	}
}

func newEnd(t testing.TB, c Config) *end {
	t.Helper()
	seen := &recorder{}
	if c.Handler == nil {
		c.Handler = seen
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
	return &end{Group: g, address: l.Addr().String(), seen: seen}
}

func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for begun := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > patience {
			t.Fatalf("not seen in time: %s", what)
		}
	}
}

func peerOf(t testing.TB, d *end, address string, old Peer) Peer {
	t.Helper()
	var found Peer
	until(t, "a new link to "+address, func() bool {
		p, ok := d.Peer(address)
		found = p
		return ok && p != old
	})
	return found
}

// Guards against lost or reordered messages in either direction, against
// received bytes that are overwritten by later frames, and against a Want that
// is not undone.
func TestBothDirections(t *testing.T) {
	is := is.New(t)
	a, b := newEnd(t, Config{Hello: hello("a")}), newEnd(t, Config{Hello: hello("b")})
	a.Want(b.address)
	a.Want(b.address)
	p := peerOf(t, a, b.address, nil)
	is.Equal(p.Hello().Instance, "b")
	is.Equal(Dialed(p), b.address)
	content := func(i int) []byte { return bytes.Repeat([]byte{'0' + byte(i%10)}, 100) }
	for i := range 1000 {
		is.NoErr(p.Send(wire.Step{Position: i, Data: content(i)}))
		is.NoErr(p.Send(wire.Changes{Changes: []resrc.Change{{Body: content(i)}}}))
	}
	until(t, "2000 messages", func() bool { _, n, _ := b.seen.counts(); return n == 2000 })
	b.seen.mu.Lock()
	for i := range 1000 {
		is.Equal(b.seen.messages[2*i], wire.Step{Position: i, Data: content(i)})
		is.Equal([]byte(b.seen.messages[2*i+1].(wire.Changes).Changes[0].Body), content(i))
	}
	b.seen.mu.Unlock()
	b.Broadcast(wire.Leaving{Target: "t"}, nil)
	until(t, "the answer", func() bool { _, n, _ := a.seen.counts(); return n == 1 })
	a.Unwant(b.address)
	_, ok := a.Peer(b.address)
	is.True(ok) // one user is left
	a.Unwant(b.address)
	until(t, "the end of the link", func() bool { _, _, downs := b.seen.counts(); return downs == 1 })
	is.True(fault.Is(b.seen.down(), fault.Canceled))
}

// Guards against waiting for an old connection: a silent link is replaced by a
// new one although the old connection never ends by itself.
func TestSilentLinkIsReplaced(t *testing.T) {
	is := is.New(t)
	fast := Config{Heartbeat: 50 * time.Millisecond, Silence: 500 * time.Millisecond}
	a, b := newEnd(t, fast), newEnd(t, fast)
	r, err := relay.Start("127.0.0.1:0", b.address)
	is.NoErr(err)
	defer r.Close()
	a.Want(r.Address())
	old := peerOf(t, a, r.Address(), nil)
	// The dialling side is up first; the other side must have its Hello too.
	until(t, "the link at the other side", func() bool { ups, _, _ := b.seen.counts(); return ups == 1 })
	r.Silence()
	fresh := peerOf(t, a, r.Address(), old)
	is.NoErr(fresh.Send(wire.Pull{Since: 7}))
	until(t, "a message on the new link", func() bool { _, n, _ := b.seen.counts(); return n == 1 })
	until(t, "the old link's end at both sides", func() bool {
		_, _, downA := a.seen.counts()
		_, _, downB := b.seen.counts()
		return downA == 1 && downB == 1
	})
	is.Equal(a.seen.down(), error(errSilent))
	is.Equal(b.seen.down(), error(errSilent))
	r.Cut()
	peerOf(t, a, r.Address(), fresh)
}

// Guards against a dial or a Hello that hangs on a mute connection, and
// against dialling that stops after failures.
func TestDialSurvivesMuteAndRefusal(t *testing.T) {
	is := is.New(t)
	c := Config{DialTimeout: 100 * time.Millisecond}
	a, b := newEnd(t, c), newEnd(t, Config{})
	r, err := relay.Start("127.0.0.1:0", b.address)
	is.NoErr(err)
	defer r.Close()
	r.Mute(true)
	a.Want(r.Address())
	until(t, "dials over mute connections", func() bool { return r.Stats().Accepted >= 2 })
	r.Mute(false)
	r.Refuse(true)
	more := r.Stats().Accepted + 2
	until(t, "dials that are refused", func() bool { return r.Stats().Accepted >= more })
	r.Refuse(false)
	peerOf(t, a, r.Address(), nil)
}

// Guards against a planned stop that drops messages which were queued before
// it, and against one that hangs on a silent link.
func TestStopWritesQueuedMessages(t *testing.T) {
	is := is.New(t)
	const n = 2000
	a, b := newEnd(t, Config{Hello: hello("a")}), newEnd(t, Config{Hello: hello("b")})
	a.Want(b.address)
	p := peerOf(t, a, b.address, nil)
	body := make([]byte, 4<<10)
	for range n {
		is.NoErr(p.Send(wire.Call{Body: body}))
	}
	a.Stop()
	until(t, "the end of the link", func() bool { _, _, downs := b.seen.counts(); return downs == 1 })
	_, messages, _ := b.seen.counts()
	is.Equal(messages, n)
	is.True(fault.Is(b.seen.down(), fault.Leaving))

	c := newEnd(t, Config{Hello: hello("c")})
	r, err := relay.Start("127.0.0.1:0", b.address)
	is.NoErr(err)
	defer r.Close()
	c.Want(r.Address())
	peerOf(t, c, r.Address(), nil)
	r.Silence()
	begun := time.Now()
	c.Stop()
	is.True(time.Since(begun) < patience/2)
}

// Guards against a large message that counts as silence or as a stuck write
// on a link that needs longer than both timeouts for it, and against a message
// that arrives incomplete.
func TestLargeMessageOnSlowLink(t *testing.T) {
	is := is.New(t)
	c := Config{Heartbeat: 100 * time.Millisecond, Silence: time.Second, WriteTimeout: time.Second}
	a, b := newEnd(t, c), newEnd(t, c)
	r, err := relay.Start("127.0.0.1:0", b.address)
	is.NoErr(err)
	defer r.Close()
	a.Want(r.Address())
	p := peerOf(t, a, r.Address(), nil)
	r.Rate(4 << 20)
	body := bytes.Repeat([]byte("large"), 3<<20)
	begun := time.Now()
	is.NoErr(p.Send(wire.Call{Body: body}))
	until(t, "the message", func() bool { _, n, _ := b.seen.counts(); return n == 1 })
	is.True(time.Since(begun) > 2*time.Second)
	b.seen.mu.Lock()
	is.True(bytes.Equal(b.seen.messages[0].(wire.Call).Body, body))
	b.seen.mu.Unlock()
	_, _, downs := a.seen.counts()
	is.Equal(downs, 0)
}

// Guards against a peer of another version, an incomplete Hello, a malformed
// message or an oversized frame that reaches a handler. Each must close the
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
		{"large hello", [][]byte{make([]byte, helloBytes+1)}, fault.TooLarge},
		{"second hello", [][]byte{good, good}, fault.Malformed},
		{"malformed", [][]byte{good, {0xff}}, fault.Malformed},
		{"unknown type", [][]byte{good, {0xd9, 0xff, 0xff, 0xa0}}, fault.Malformed},
		{"half a message", [][]byte{good, good[:9]}, fault.Malformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newEnd(t, Config{})
			ws, _, err := websocket.DefaultDialer.Dial("ws://"+b.address+Path, nil)
			is.NoErr(err)
			defer ws.Close()
			for _, f := range c.frames {
				is.NoErr(ws.WriteMessage(websocket.BinaryMessage, f))
			}
			for err = nil; err == nil; {
				_, _, err = ws.ReadMessage()
			}
			is.True(fault.Is(readFailure(err), c.reason))
			_, messages, _ := b.seen.counts()
			is.Equal(messages, 0)
		})
	}
}

// Guards against an unbounded send queue and against a caller that blocks on a
// peer that does not read.
func TestFullQueueClosesLink(t *testing.T) {
	is := is.New(t)
	stuck := make(chan struct{})
	defer close(stuck)
	a := newEnd(t, Config{QueueMessages: 4, QueueBytes: 1 << 20})
	b := newEnd(t, Config{Handler: &blocker{stuck: stuck}})
	a.Want(b.address)
	p := peerOf(t, a, b.address, nil)
	big := wire.Call{Body: make([]byte, 1<<20)}
	until(t, "a full queue", func() bool { return fault.Is(p.Send(big), fault.Overloaded) })
	<-p.Done()
	is.True(fault.Is(p.Send(big), fault.Unavailable))
}

type blocker struct {
	recorder
	stuck chan struct{}
}

func (b *blocker) Receive(Peer, wire.Message) { <-b.stuck }

package link

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

type (
	namedPeer struct {
		Peer
		name string
	}

	trace struct{ calls []string }
)

func (p namedPeer) Hello() wire.Hello { return wire.Hello{Incarnation: p.name[:1]} }

func (t *trace) LinkUp(p Peer)                  { t.add("up", p) }
func (t *trace) Receive(p Peer, _ wire.Message) { t.add("message", p) }
func (t *trace) LinkDown(p Peer, _ error)       { t.add("down", p) }

func (t *trace) add(what string, p Peer) {
	t.calls = append(t.calls, fmt.Sprintf("%s %s", what, p.(namedPeer).name))
}

// Guards against a handler that treats a peer as lost although a second link to
// it is open.
func TestLatestFallsBackToOpenLink(t *testing.T) {
	is := is.New(t)
	seen := &trace{}
	h := NewestLink(seen)
	a1, a2, b1 := namedPeer{name: "a1"}, namedPeer{name: "a2"}, namedPeer{name: "b1"}
	reason := fault.New(fault.Unavailable, "test")
	h.LinkUp(a1)
	h.LinkUp(b1)
	h.LinkUp(a2)
	h.Receive(a1, wire.Pull{})
	h.LinkDown(a2, reason)
	h.LinkUp(a2)
	h.LinkDown(a1, reason)
	h.LinkDown(a2, reason)
	is.Equal(seen.calls, []string{
		"up a1", "up b1", "up a2", "message a1", "up a1", "down a2", "up a2", "down a1", "down a2",
	})
}

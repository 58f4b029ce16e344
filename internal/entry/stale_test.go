package entry

import (
	"testing"

	"github.com/matryer/is"

	"shallotcourse/internal/wire"
)

// recordingLink is a link that records the messages sent on it.
type recordingLink struct {
	hello wire.Hello
	sent  []wire.Message
}

func (r *recordingLink) Hello() wire.Hello         { return r.hello }
func (r *recordingLink) Send(m wire.Message) error { r.sent = append(r.sent, m); return nil }
func (r *recordingLink) Close(error)               {}
func (r *recordingLink) Done() <-chan struct{}     { return nil }

// Guards against a stage that goes on running for a request that has ended,
// because the message that released it was lost with a link.
func TestTokenOfEndedRequestIsStale(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Bounds{})
	p := &recordingLink{hello: wire.Hello{Role: wire.RoleAgent, Target: "b", Incarnation: "i"}}
	f.entry.Receive(p, wire.Token{Request: "ended", Attempt: 3, Position: 9})
	is.Equal(p.sent, []wire.Message{wire.Stale{Request: "ended", Rejected: 3}})
}

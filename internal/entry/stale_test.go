package entry

import (
	"testing"

	"github.com/matryer/is"

	"shallotcourse/internal/wire"
)

// recorder is a link that keeps what is sent on it.
type recorder struct {
	hello wire.Hello
	sent  []wire.Message
}

func (r *recorder) Hello() wire.Hello         { return r.hello }
func (r *recorder) Send(m wire.Message) error { r.sent = append(r.sent, m); return nil }
func (r *recorder) Close(error)               {}
func (r *recorder) Done() <-chan struct{}     { return nil }

// Guards against a stage that runs on for a request that has ended, because
// the message that freed it was lost with a link.
func TestTokenOfEndedRequestIsStale(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, Bounds{})
	p := &recorder{hello: wire.Hello{Role: wire.RoleAgent, Target: "b", Incarnation: "i"}}
	w.entry.Receive(p, wire.Token{Request: "ended", Attempt: 3, Position: 9})
	is.Equal(p.sent, []wire.Message{wire.Stale{Request: "ended", Rejected: 3}})
}

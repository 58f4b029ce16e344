package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/steps"
	"shallotcourse/internal/wire"
)

// discardWriter is an http.ResponseWriter that discards its output.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header                   { return d.header }
func (discardWriter) Write(b []byte) (int, error)             { return len(b), nil }
func (discardWriter) WriteHeader(int)                         {}
func (discardWriter) Flush()                                  {}
func (discardWriter) SetWriteDeadline(time.Time) (err error)  { return nil }
func (discardWriter) SetReadDeadline(t time.Time) (err error) { return nil }

// BenchmarkToken measures the work of the entry for one token of a stream, from
// the message to the server-sent event, with many concurrent requests.
func BenchmarkToken(b *testing.B) {
	e := newFixture(b, Bounds{}).entry
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		id := newID()
		s := &streamSink{
			builder: responseBuilder{id: id, model: "oak"}, decoder: textDecoder{tokenizer: byteTokenizer{}},
			w: budget.NewWriter(discardWriter{http.Header{}}, httptest.NewRequest(http.MethodPost, "/", nil), e.cfg.Timer, time.Second),
		}
		s.control = http.NewResponseController(s.w)
		box := newMailbox(1 << 20)
		e.requests.add(id, box)
		sess := &session{entry: e, sink: s, mailbox: box, job: job{params: steps.Params{Request: id, Prompt: []uint32{1}, MaxTokens: 1 << 30}}}
		sess.lastToken = e.cfg.Timer.Now()
		sess.coordinator = runningCoordinator(sess.params)
		var events []steps.Event
		for position := 1; pb.Next(); position++ {
			m := wire.Token{Request: id, Attempt: 1, Position: position, Value: 'a'}
			e.requests.post(id, steps.MessageReceived{Target: "a", Message: m})
			<-box.wake
			events = box.take(events)
			for _, ev := range events {
				sess.handle(ev)
			}
			_ = s.flush()
		}
	})
}

func runningCoordinator(p steps.Params) steps.Coordinator {
	p.MaxAttempts = 1
	c, _ := steps.NewCoordinator(p)
	c, _ = c.Next(steps.ChainChosen{Chain: []wire.Stage{{Target: "a"}}})
	c, _ = c.Next(steps.MessageReceived{Target: "a", Message: wire.Opened{Request: p.Request, Attempt: 1}})
	return c
}

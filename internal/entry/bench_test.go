package entry

import (
	"net/http"
	"testing"
	"time"

	"shallotcourse/internal/steps"
	"shallotcourse/internal/wire"
)

// discard is a caller that reads everything at once.
type discard struct{ header http.Header }

func (d discard) Header() http.Header                   { return d.header }
func (discard) Write(b []byte) (int, error)             { return len(b), nil }
func (discard) WriteHeader(int)                         {}
func (discard) Flush()                                  {}
func (discard) SetWriteDeadline(time.Time) (err error)  { return nil }
func (discard) SetReadDeadline(t time.Time) (err error) { return nil }

// BenchmarkToken measures the entry's work for one token of a stream, from the
// message to the event, with many requests at once.
func BenchmarkToken(b *testing.B) {
	e := newWorld(b, Bounds{}).entry
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		id := newID()
		s := &stream{
			form: form{id: id, model: "oak"}, decoder: decoder{tokenizer: tokenBytes{}}, w: discard{http.Header{}},
			timer: e.cfg.Timer, timeout: time.Second,
		}
		s.control = http.NewResponseController(s.w)
		box := newMailbox(1 << 20)
		e.open.add(id, box)
		x := &session{entry: e, sink: s, box: box, job: job{plan: steps.Plan{Request: id, Prompt: []uint32{1}, MaxTokens: 1 << 30}}}
		x.last = e.cfg.Timer.Now()
		x.coord = runningCoord(x.plan)
		var events []steps.Event
		for position := 1; pb.Next(); position++ {
			m := wire.Token{Request: id, Attempt: 1, Position: position, Value: 'a'}
			e.open.post(id, steps.Received{Target: "a", Message: m})
			<-box.wake
			events = box.take(events)
			for _, ev := range events {
				x.handle(ev)
			}
			_ = s.flush()
		}
	})
}

func runningCoord(p steps.Plan) steps.Coord {
	p.MaxAttempts = 1
	c, _ := steps.NewCoord(p)
	c, _ = c.Next(steps.Chosen{Chain: []wire.Stage{{Target: "a"}}})
	c, _ = c.Next(steps.Received{Target: "a", Message: wire.Opened{Request: p.Request, Attempt: 1}})
	return c
}

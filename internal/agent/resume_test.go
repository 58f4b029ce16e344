package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
)

// Guards against an answer that waits, or is given up, because the only
// replacement of its lost stage is at its adaptive limit.
func TestResumedRequestPassesAdaptiveLimit(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.stage(0, 6, 0, func(c *Config) { c.Limits.Sessions = Bounds{Initial: 1, Min: 1, Max: 2} })
	open := func(id string, resume bool) {
		w.entry.send(p, wire.Open{
			Request: id, Attempt: 2, Chain: []wire.Stage{p.stage}, Version: testVersion, Prompt: []uint32{1}, MaxTokens: 1, Resume: resume,
		})
	}
	w.request("r", 1, p).begin()
	open("new", false)
	is.Equal(next(w, func(m wire.Refused) bool { return m.Request == "new" }).Reason, wire.RefusedFull)
	open("moved", true)
	is.Equal(next(w, func(m wire.Opened) bool { return m.Request == "moved" }).Attempt, 2)
	open("beyond", true)
	is.Equal(next(w, func(m wire.Refused) bool { return m.Request == "beyond" }).Reason, wire.RefusedFull) // the hard limit holds
}

// Guards against a plain service that refuses calls because long ones follow
// short ones: their length is no sign of a queue.
func TestServiceLimitIsFixed(t *testing.T) {
	is := is.New(t)
	a := New(Config{Timer: timer.System{}, Limits: Limits{Sessions: Bounds{Initial: 8, Min: 2, Max: 64}}})
	for range 100 {
		a.meter.record(time.Millisecond, true)
		a.meter.record(time.Second, true)
		a.meter.report(200 * time.Millisecond)
		is.Equal(a.adaptSessions(), 64)
	}
}

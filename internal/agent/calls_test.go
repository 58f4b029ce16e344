package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fserv"
	"shallotcourse/internal/wire"
)

func booking(id, nonce string, p *place) wire.Call {
	return wire.Call{
		ID: id, Nonce: nonce, Incarnation: p.stage.Target + "-i", Method: "POST", Path: "/bookings",
		Header: map[string][]string{fserv.KeyHeader: {id}, "Idempotency-Key": {id}}, Body: []byte("{}"), Deadline: 5 * time.Second,
	}
}

func (w *world) outcome(id string) wire.Outcome {
	w.t.Helper()
	return next(w, func(m wire.Outcome) bool { return m.ID == id && m.State != wire.OutcomeRunning })
}

// Guards P4 when calls and queries are repeated.
func TestCallTakesEffectOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.service()
	p.serv.SetFaults(fserv.Faults{Delay: 50 * time.Millisecond})
	for range 3 {
		w.entry.send(p, booking("a", "1", p))
	}
	w.entry.send(p, wire.Query{ID: "a", Nonce: "1"})
	is.Equal(next(w, func(m wire.Outcome) bool { return true }).State, wire.OutcomeRunning)
	o := w.outcome("a")
	is.Equal(o.State, wire.OutcomeDone)
	is.Equal(o.Status, 201)
	w.entry.send(p, booking("a", "1", p))
	is.Equal(w.outcome("a").Body, o.Body)
	is.Equal(p.serv.Effects(), map[string]int{"a": 1})
}

// Guards P3: after NeverSeen a late call has no effect.
func TestNeverSeenFences(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.service()
	w.entry.send(p, wire.Query{ID: "a", Nonce: "1"})
	is.Equal(w.outcome("a").State, wire.OutcomeNeverSeen)
	w.entry.send(p, booking("a", "1", p))
	w.entry.send(p, booking("b", "2", p))
	is.Equal(w.outcome("b").State, wire.OutcomeDone)
	is.Equal(p.serv.Effects(), map[string]int{"b": 1})
}

// Guards P4 when the service drops the connection: the call is never sent
// again, and its outcome is Unknown whether or not it took effect.
func TestDroppedCallIsUnknown(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.service()
	for i, f := range []fserv.Faults{{DropBefore: true, Drops: 1}, {DropAfter: true, Drops: 1}} {
		id := string(rune('a' + i))
		p.serv.SetFaults(f)
		w.entry.send(p, booking(id, id, p))
		is.Equal(w.outcome(id).State, wire.OutcomeUnknown)
		w.entry.send(p, booking(id, id, p))
		is.Equal(w.outcome(id).State, wire.OutcomeUnknown)
	}
	is.Equal(p.serv.Effects(), map[string]int{"b": 1})
}

// Guards against a lost result when the entry's link breaks during a call: the
// outcome goes to its new link.
func TestOutcomeFollowsTheEntry(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.service()
	p.serv.SetFaults(fserv.Faults{Delay: 100 * time.Millisecond})
	w.entry.send(p, booking("a", "1", p))
	w.eventually("call is running", func() bool { return !p.agent.Idle() })
	old, _ := w.entry.end.Peer(p.stage.Address)
	old.Close(nil)
	w.eventually("link is redialled", func() bool {
		w.entry.end.dial(p.stage.Address)
		now, up := w.entry.end.Peer(p.stage.Address)
		return up && now != old
	})
	w.entry.send(p, wire.Query{ID: "a", Nonce: "1"})
	is.Equal(w.outcome("a").State, wire.OutcomeDone)
	is.Equal(p.serv.Effects(), map[string]int{"a": 1})
}

// Guards P5 and P6 for calls, and P3 for a call that is refused.
func TestLeavingRefusesCalls(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.service()
	p.serv.SetFaults(fserv.Faults{Delay: 100 * time.Millisecond})
	w.entry.send(p, booking("a", "1", p))
	w.eventually("call is running", func() bool { return !p.agent.Idle() })
	p.agent.Leave()
	w.entry.send(p, booking("b", "2", p))
	is.Equal(w.outcome("b").State, wire.OutcomeNotRun)
	is.Equal(w.outcome("a").State, wire.OutcomeDone)
	w.entry.send(p, booking("b", "2", p))
	is.Equal(w.outcome("b").State, wire.OutcomeNotRun)
	is.Equal(p.serv.Effects(), map[string]int{"a": 1})
}

package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fserv"
	"shallotcourse/internal/wire"
)

func bookingCall(id, nonce string, ta *testAgent) wire.Call {
	return wire.Call{
		ID: id, Nonce: nonce, Incarnation: ta.stage.Target + "-i", Method: "POST", Path: "/bookings",
		Header: map[string][]string{fserv.KeyHeader: {id}, "Idempotency-Key": {id}}, Body: []byte("{}"), Deadline: 5 * time.Second,
	}
}

// outcome waits for the final outcome of a call.
func (tc *testCluster) outcome(id string) wire.Outcome {
	tc.t.Helper()
	return awaitMessage(tc, func(m wire.Outcome) bool { return m.ID == id && m.State != wire.OutcomeRunning })
}

// Guards against a call that takes effect twice because it, or a query about
// it, is sent repeatedly (P4).
func TestCallTakesEffectOnce(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startService()
	ta.service.SetFaults(fserv.Faults{Delay: 50 * time.Millisecond})
	for range 3 {
		tc.entry.send(ta, bookingCall("a", "1", ta))
	}
	tc.entry.send(ta, wire.Query{ID: "a", Nonce: "1"})
	is.Equal(awaitMessage(tc, func(m wire.Outcome) bool { return true }).State, wire.OutcomeRunning)
	o := tc.outcome("a")
	is.Equal(o.State, wire.OutcomeDone)
	is.Equal(o.Status, 201)
	tc.entry.send(ta, bookingCall("a", "1", ta))
	is.Equal(tc.outcome("a").Body, o.Body)
	is.Equal(ta.service.Effects(), map[string]int{"a": 1})
}

// Guards against a call that arrives late and takes effect after a query for
// it was answered with NeverSeen (P3).
func TestNeverSeenFences(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startService()
	tc.entry.send(ta, wire.Query{ID: "a", Nonce: "1"})
	is.Equal(tc.outcome("a").State, wire.OutcomeNeverSeen)
	tc.entry.send(ta, bookingCall("a", "1", ta))
	tc.entry.send(ta, bookingCall("b", "2", ta))
	is.Equal(tc.outcome("b").State, wire.OutcomeDone)
	is.Equal(ta.service.Effects(), map[string]int{"b": 1})
}

// Guards against sending a call again after the service has dropped its
// connection (P4). The outcome must be Unknown whether or not the call took
// effect.
func TestDroppedCallIsUnknown(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startService()
	for i, f := range []fserv.Faults{{DropBefore: true, Drops: 1}, {DropAfter: true, Drops: 1}} {
		id := string(rune('a' + i))
		ta.service.SetFaults(f)
		tc.entry.send(ta, bookingCall(id, id, ta))
		is.Equal(tc.outcome(id).State, wire.OutcomeUnknown)
		tc.entry.send(ta, bookingCall(id, id, ta))
		is.Equal(tc.outcome(id).State, wire.OutcomeUnknown)
	}
	is.Equal(ta.service.Effects(), map[string]int{"b": 1})
}

// Guards against a lost outcome when the link of the entry breaks during a
// call: the entry asks for it with a Query on the new link and receives it there,
// and the call is not run again.
func TestOutcomeFollowsTheEntry(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startService()
	ta.service.SetFaults(fserv.Faults{Delay: 100 * time.Millisecond})
	tc.entry.send(ta, bookingCall("a", "1", ta))
	tc.eventually("call is running", func() bool { return !ta.agent.Idle() })
	old, _ := tc.entry.endpoint.Peer(ta.stage.Address)
	old.Close(nil)
	tc.eventually("link is redialled", func() bool {
		tc.entry.endpoint.dial(ta.stage.Address)
		current, up := tc.entry.endpoint.Peer(ta.stage.Address)
		return up && current != old
	})
	tc.entry.send(ta, wire.Query{ID: "a", Nonce: "1"})
	is.Equal(tc.outcome("a").State, wire.OutcomeDone)
	is.Equal(ta.service.Effects(), map[string]int{"a": 1})
}

// Guards against a leaving agent that accepts new calls (P5) or drops running
// ones (P6), and against a refused call that runs when it is sent again (P3).
func TestLeavingRefusesCalls(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	ta := tc.startService()
	ta.service.SetFaults(fserv.Faults{Delay: 100 * time.Millisecond})
	tc.entry.send(ta, bookingCall("a", "1", ta))
	tc.eventually("call is running", func() bool { return !ta.agent.Idle() })
	ta.agent.Leave()
	tc.entry.send(ta, bookingCall("b", "2", ta))
	is.Equal(tc.outcome("b").State, wire.OutcomeNotRun)
	is.Equal(tc.outcome("a").State, wire.OutcomeDone)
	tc.entry.send(ta, bookingCall("b", "2", ta))
	is.Equal(tc.outcome("b").State, wire.OutcomeNotRun)
	is.Equal(ta.service.Effects(), map[string]int{"a": 1})
}

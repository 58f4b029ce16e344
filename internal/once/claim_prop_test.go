package once

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/wire"
)

type (
	// attempt is one attempt to run the call; all attempts use the same key.
	attempt struct {
		claim Claim
		state ClaimResolver
		step  ClaimStep
		sent  bool
	}

	// claimSimulation simulates a claim row, an agent, and a network that delays
	// and duplicates calls.
	claimSimulation struct {
		t             *rapid.T
		row           Claim
		version       uint64
		delayedWrites []WriteRow
		attempts      []*attempt
		network       []wire.Call
		journal       *Journal
		restarts      int
		dispatches    int
	}
)

// TestMain raises the number of random runs, since some faults occur in only one
// of several thousand.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("4000")
	}
	os.Exit(m.Run())
}

// Guards against a call with an idempotency key that takes effect more than once
// (P4), or is reported as NotRun after it was sent. Writes are lost, delayed or
// refused, agents do not answer or restart, and calls arrive late or twice.
func TestOneEffectPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &claimSimulation{t: t}
		w.restart()
		for range rapid.IntRange(0, 120).Draw(t, "actions") {
			w.randomAction()
			if w.dispatches > 1 {
				t.Fatalf("%d effects", w.dispatches)
			}
		}
	})
}

func (w *claimSimulation) restart() {
	w.restarts++
	w.journal = NewJournal(strconv.Itoa(w.restarts), DefaultLimits)
}

func (w *claimSimulation) randomInt(n int) int { return rapid.IntRange(0, n-1).Draw(w.t, "n") }

func (w *claimSimulation) randomAction() {
	switch n := w.randomInt(100); {
	case n < 8 && len(w.attempts) < 4:
		w.begin()
	case n < 60 && len(w.attempts) > 0:
		w.advance(w.attempts[w.randomInt(len(w.attempts))])
	case n < 75 && len(w.network) > 0:
		i := w.randomInt(len(w.network))
		w.deliver(w.network[i])
		if w.randomInt(4) > 0 { // some messages arrive twice
			w.network = append(w.network[:i:i], w.network[i+1:]...)
		}
	case n < 85 && len(w.delayedWrites) > 0:
		i := w.randomInt(len(w.delayedWrites))
		w.apply(w.delayedWrites[i])
		w.delayedWrites = append(w.delayedWrites[:i:i], w.delayedWrites[i+1:]...)
	case n < 88:
		w.restart()
	case n < 96 && len(w.attempts) > 0:
		w.recordOutcome(w.attempts[w.randomInt(len(w.attempts))])
	}
}

func (w *claimSimulation) begin() {
	a := &attempt{claim: Claim{Nonce: strconv.Itoa(len(w.attempts)), ID: "c", Incarnation: w.journal.incarnation}}
	a.state, a.step = Begin(a.claim)
	w.attempts = append(w.attempts, a)
}

func (w *claimSimulation) advance(a *attempt) {
	var ev ClaimEvent
	switch s := a.step.(type) {
	case WriteRow:
		ev = w.write(s)
	case ReadRow:
		switch {
		case w.randomInt(5) == 0:
			ev = TableUnavailable{}
		case w.version == 0:
			ev = RowAbsent{}
		default:
			ev = RowFound{w.row, w.version}
		}
	case QueryAgent:
		ev = w.queryAgent(s.Claim)
	case Wait:
		ev = Waited{}
		if w.randomInt(6) == 0 {
			ev = Expired{}
		}
	case Proceed:
		if !a.sent {
			a.sent = true
			w.network = append(w.network, wire.Call{ID: a.claim.ID, Nonce: a.claim.Nonce, Incarnation: a.claim.Incarnation})
		}
		return
	case Fail:
		if a.sent && s.Failure.Outcome == fault.NotRun {
			w.t.Fatal("a call that was sent is reported NotRun")
		}
		return
	default:
		return
	}
	a.state, a.step = a.state.Next(ev)
}

// write applies the write and reports the result, applies it but loses the
// result, or delays it.
func (w *claimSimulation) write(s WriteRow) ClaimEvent {
	switch w.randomInt(6) {
	case 0:
		w.apply(s)
		return WriteLost{}
	case 1:
		w.delayedWrites = append(w.delayedWrites, s)
		return WriteLost{}
	}
	if !w.apply(s) {
		return WriteConflict{}
	}
	return Written{}
}

func (w *claimSimulation) apply(s WriteRow) bool {
	if s.Version != w.version {
		return false
	}
	w.row = s.Claim
	w.version++
	return true
}

func (w *claimSimulation) queryAgent(c Claim) ClaimEvent {
	switch {
	case w.randomInt(5) == 0:
		return AgentUnreachable{}
	case c.Incarnation != w.journal.incarnation:
		return AgentEnded{}
	}
	return AgentAnswered{w.journal.Query(wire.Query{ID: c.ID, Nonce: c.Nonce}, time.Time{})}
}

func (w *claimSimulation) deliver(c wire.Call) {
	if _, ok := w.journal.Call(c, time.Time{}).(Dispatch); !ok {
		return
	}
	w.dispatches++
	if w.randomInt(2) == 0 {
		w.journal.Done(wire.Outcome{ID: c.ID, Nonce: c.Nonce, State: wire.OutcomeDone}, time.Time{})
	}
}

// recordOutcome writes the outcome of a sent call into the claim row, as the
// entry does before it returns the result to its caller.
func (w *claimSimulation) recordOutcome(a *attempt) {
	if !a.sent || w.version == 0 || w.row.Nonce != a.claim.Nonce || w.row.State != ClaimOpen {
		return
	}
	if a.claim.Incarnation != w.journal.incarnation {
		w.write(WriteRow{w.row.WithOutcome(wire.Outcome{State: wire.OutcomeUnknown}), w.version})
		return
	}
	o := w.journal.Query(wire.Query{ID: a.claim.ID, Nonce: a.claim.Nonce}, time.Time{})
	w.write(WriteRow{w.row.WithOutcome(o), w.version})
}

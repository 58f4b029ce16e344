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
	// attempt is one attempt of a caller under the same key.
	attempt struct {
		mine  Claim
		state Settle
		step  ClaimStep
		sent  bool
	}

	// claimWorld is a table row, an agent and a slow network.
	claimWorld struct {
		t        *rapid.T
		row      Claim
		version  uint64
		late     []WriteRow
		attempts []*attempt
		network  []wire.Call
		journal  *Journal
		restarts int
		effects  int
	}
)

// TestMain raises the number of random runs: some faults show in one of several
// thousand only.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("4000")
	}
	os.Exit(m.Run())
}

// Guards P4 for keyed calls: with lost, late and refused writes, silent and
// restarted agents, and calls that arrive late, a key takes effect at most
// once, and no attempt is told NotRun after its call was sent.
func TestOneEffectPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &claimWorld{t: t}
		w.restart()
		for range rapid.IntRange(0, 120).Draw(t, "actions") {
			w.act()
			if w.effects > 1 {
				t.Fatalf("%d effects", w.effects)
			}
		}
	})
}

func (w *claimWorld) restart() {
	w.restarts++
	w.journal = NewJournal(strconv.Itoa(w.restarts), DefaultLimits)
}

func (w *claimWorld) draw(n int) int { return rapid.IntRange(0, n-1).Draw(w.t, "n") }

func (w *claimWorld) act() {
	switch n := w.draw(100); {
	case n < 8 && len(w.attempts) < 4:
		w.begin()
	case n < 60 && len(w.attempts) > 0:
		w.advance(w.attempts[w.draw(len(w.attempts))])
	case n < 75 && len(w.network) > 0:
		i := w.draw(len(w.network))
		w.deliver(w.network[i])
		if w.draw(4) > 0 { // some messages arrive twice
			w.network = append(w.network[:i:i], w.network[i+1:]...)
		}
	case n < 85 && len(w.late) > 0:
		i := w.draw(len(w.late))
		w.apply(w.late[i])
		w.late = append(w.late[:i:i], w.late[i+1:]...)
	case n < 88:
		w.restart()
	case n < 96 && len(w.attempts) > 0:
		w.record(w.attempts[w.draw(len(w.attempts))])
	}
}

func (w *claimWorld) begin() {
	a := &attempt{mine: Claim{Nonce: strconv.Itoa(len(w.attempts)), ID: "c", Incarnation: w.journal.incarnation}}
	a.state, a.step = Begin(a.mine)
	w.attempts = append(w.attempts, a)
}

func (w *claimWorld) advance(a *attempt) {
	var ev ClaimEvent
	switch s := a.step.(type) {
	case WriteRow:
		ev = w.write(s)
	case ReadRow:
		switch {
		case w.draw(5) == 0:
			ev = TableDown{}
		case w.version == 0:
			ev = RowAbsent{}
		default:
			ev = RowFound{w.row, w.version}
		}
	case AskAgent:
		ev = w.ask(s.Claim)
	case Wait:
		ev = Waited{}
		if w.draw(6) == 0 {
			ev = Expired{}
		}
	case Proceed:
		if !a.sent {
			a.sent = true
			w.network = append(w.network, wire.Call{ID: a.mine.ID, Nonce: a.mine.Nonce, Incarnation: a.mine.Incarnation})
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

// write answers truthfully, loses the answer, or applies the write later.
func (w *claimWorld) write(s WriteRow) ClaimEvent {
	switch w.draw(6) {
	case 0:
		w.apply(s)
		return WriteLost{}
	case 1:
		w.late = append(w.late, s)
		return WriteLost{}
	}
	if !w.apply(s) {
		return WriteRefused{}
	}
	return Written{}
}

func (w *claimWorld) apply(s WriteRow) bool {
	if s.Version != w.version {
		return false
	}
	w.row = s.Claim
	w.version++
	return true
}

func (w *claimWorld) ask(c Claim) ClaimEvent {
	switch {
	case w.draw(5) == 0:
		return AgentSilent{}
	case c.Incarnation != w.journal.incarnation:
		return AgentGone{}
	}
	return AgentSaid{w.journal.Query(wire.Query{ID: c.ID, Nonce: c.Nonce}, time.Time{})}
}

func (w *claimWorld) deliver(c wire.Call) {
	if _, ok := w.journal.Call(c, time.Time{}).(Dispatch); !ok {
		return
	}
	w.effects++
	if w.draw(2) == 0 {
		w.journal.Done(wire.Outcome{ID: c.ID, Nonce: c.Nonce, State: wire.OutcomeDone}, time.Time{})
	}
}

// record writes the outcome of a sent call, as the entry does before it
// releases the answer.
func (w *claimWorld) record(a *attempt) {
	if !a.sent || w.version == 0 || w.row.Nonce != a.mine.Nonce || w.row.State != ClaimOpen {
		return
	}
	if a.mine.Incarnation != w.journal.incarnation {
		w.write(WriteRow{w.row.WithOutcome(wire.Outcome{State: wire.OutcomeUnknown}), w.version})
		return
	}
	o := w.journal.Query(wire.Query{ID: a.mine.ID, Nonce: a.mine.Nonce}, time.Time{})
	w.write(WriteRow{w.row.WithOutcome(o), w.version})
}

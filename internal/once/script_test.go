package once

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotcourse/internal/script"
	"shallotcourse/internal/wire"
)

// Runs the scripts in testdata against a Journal for incarnation i1. The comment
// in each case names the failure that it guards against.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txtar", func(t *testing.T) func(script.Line) []string {
		j := NewJournal("i1", Limits{Retention: time.Minute, Entries: 3, Bytes: 10})
		now := time.Unix(0, 0)
		return func(l script.Line) []string {
			now = now.Add(l.Duration("after"))
			id, nonce := l.Text("id"), l.Text("nonce")
			switch l.Name {
			case "call":
				incarnation := "i1"
				if l.Text("incarnation") != "" {
					incarnation = l.Text("incarnation")
				}
				switch d := j.Call(wire.Call{ID: id, Nonce: nonce, Incarnation: incarnation}, now).(type) {
				case Dispatch:
					return []string{"Dispatch"}
				case Drop:
					return []string{"Drop"}
				case Answer:
					return []string{fmt.Sprintf("Answer %s %d bytes", d.Outcome.State, len(d.Outcome.Body))}
				}
			case "done":
				j.Done(wire.Outcome{ID: id, Nonce: nonce, State: wire.OutcomeDone, Body: make([]byte, l.Int("bytes"))}, now)
				return nil
			case "query":
				return []string{string(j.Query(wire.Query{ID: id, Nonce: nonce}, now).State)}
			}
			t.Fatalf("unknown input %s", l.Name)
			return nil
		}
	})
}

// Guards against a nonce that is dispatched twice (P4), that is dispatched after
// it was reported as NeverSeen (P3), or that is reported as NeverSeen or NotRun
// after it was dispatched, for any order of calls, queries and expiries.
func TestJournalNeverLies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := NewJournal("i1", Limits{Retention: time.Minute, Entries: 4, Bytes: 100})
		now := time.Unix(0, 0)
		dispatched, denied := map[string]bool{}, map[string]bool{}
		seen := func(nonce string, o wire.Outcome) {
			if o.State != wire.OutcomeNeverSeen && o.State != wire.OutcomeNotRun {
				return
			}
			denied[nonce] = denied[nonce] || o.State == wire.OutcomeNeverSeen
			if dispatched[nonce] {
				t.Fatalf("nonce %s was dispatched and then reported as %s", nonce, o.State)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "inputs") {
			nonce := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "nonce")
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 2).Draw(t, "input") {
			case 0:
				switch d := j.Call(wire.Call{ID: "id", Nonce: nonce, Incarnation: "i1"}, now).(type) {
				case Dispatch:
					if dispatched[nonce] || denied[nonce] {
						t.Fatalf("nonce %s was dispatched again or after a fence", nonce)
					}
					dispatched[nonce] = true
				case Answer:
					seen(nonce, d.Outcome)
				}
			case 1:
				seen(nonce, j.Query(wire.Query{ID: "id", Nonce: nonce}, now))
			case 2:
				j.Done(wire.Outcome{ID: "id", Nonce: nonce, State: wire.OutcomeDone, Body: make([]byte, 40)}, now)
			}
		}
	})
}

// Package once decides whether an agent dispatches a call that must take
// effect at most once. It is pure; the caller passes the time.
package once

import (
	"time"

	"shallotcourse/internal/wire"
)

type (
	// Limits bound the memory of a journal.
	Limits struct {
		// Retention is the least time that a result or a fence is kept. A
		// query after it gets Unknown, never NeverSeen: forgotten nonces stay
		// in a filter, whose errors only turn other answers into Unknown.
		Retention time.Duration
		// Entries bounds the calls and fences kept. When all are younger than
		// Retention, new calls are refused as NotRun.
		Entries int
		// Bytes bounds the results kept; the oldest lose their bodies first.
		Bytes int
	}

	// Journal holds the calls of one agent incarnation. It is not safe for
	// concurrent use.
	Journal struct {
		incarnation string
		limits      Limits
		entries     map[key]*entry
		// settled holds finished and fenced entries, the oldest first.
		settled []*entry
		// bytes is the size of the bodies of settled entries.
		bytes int
		// bodies is the index in settled of the oldest body that is kept.
		bodies    int
		forgotten filter
	}

	key struct{ id, nonce string }

	entry struct {
		key     key
		outcome wire.Outcome
		fenced  bool
		// since is the time at which the entry was settled.
		since time.Time
	}

	// Decision says what to do with a call.
	Decision interface{ decision() }

	// Dispatch sends the call to the service now; answer with Done.
	Dispatch struct{}

	// Answer returns the outcome without sending the call.
	Answer struct{ Outcome wire.Outcome }

	// Drop ignores the call: its caller was told that it never ran.
	Drop struct{}
)

// DefaultLimits keep results for 15 minutes, longer than any caller waits. At
// 72 calls a second the journal is full; with the filter and bodies of 128
// bytes it then takes 39 MB (measured) of the 64 MB that a node may use.
var DefaultLimits = Limits{Retention: 15 * time.Minute, Entries: 1 << 16, Bytes: 8 << 20}

func (Dispatch) decision() {}
func (Answer) decision()   {}
func (Drop) decision()     {}

// NewJournal returns the empty journal of an incarnation.
func NewJournal(incarnation string, limits Limits) *Journal {
	return &Journal{incarnation: incarnation, limits: limits, entries: make(map[key]*entry)}
}

// Call decides on a call; it returns Dispatch at most once per nonce.
func (j *Journal) Call(m wire.Call, now time.Time) Decision {
	j.expire(now)
	k := key{m.ID, m.Nonce}
	e, ok := j.entries[k]
	switch {
	case ok && e.fenced:
		return Drop{}
	case ok:
		return Answer{e.outcome}
	case m.Incarnation != j.incarnation:
		return Answer{outcome(k, wire.OutcomeNotRun, "the call was meant for another agent incarnation")}
	case j.forgotten.has(k):
		return Answer{outcome(k, wire.OutcomeUnknown, "the call is no longer remembered")}
	case len(j.entries) >= j.limits.Entries:
		return Answer{outcome(k, wire.OutcomeNotRun, "the call journal is full")}
	}
	j.entries[k] = &entry{key: k, outcome: outcome(k, wire.OutcomeRunning, "")}
	return Dispatch{}
}

// Done records the outcome of a dispatched call.
func (j *Journal) Done(m wire.Outcome, now time.Time) {
	e, ok := j.entries[key{m.ID, m.Nonce}]
	if !ok || e.outcome.State != wire.OutcomeRunning {
		return
	}
	e.outcome = m
	j.settle(e, now)
}

// Query returns the outcome of a call. A nonce that was never seen is fenced:
// a Call with it that arrives later is dropped.
func (j *Journal) Query(m wire.Query, now time.Time) wire.Outcome {
	j.expire(now)
	k := key{m.ID, m.Nonce}
	if e, ok := j.entries[k]; ok {
		return e.outcome
	}
	if j.forgotten.has(k) {
		return outcome(k, wire.OutcomeUnknown, "the call is no longer remembered")
	}
	if len(j.entries) >= j.limits.Entries {
		// Without room for a fence, a late Call could still be dispatched.
		return outcome(k, wire.OutcomeUnknown, "the call journal is full")
	}
	e := &entry{key: k, outcome: outcome(k, wire.OutcomeNeverSeen, ""), fenced: true}
	j.entries[k] = e
	j.settle(e, now)
	return e.outcome
}

// Running returns the number of dispatched calls without an outcome.
func (j *Journal) Running() int { return len(j.entries) - len(j.settled) }

func (j *Journal) settle(e *entry, now time.Time) {
	e.since = now
	j.settled = append(j.settled, e)
	j.bytes += len(e.outcome.Body)
	for j.bytes > j.limits.Bytes && j.bodies < len(j.settled) {
		j.dropBody(j.settled[j.bodies])
		j.bodies++
	}
}

// dropBody keeps the fact that a call ran, but not its result.
func (j *Journal) dropBody(e *entry) {
	if len(e.outcome.Body) == 0 {
		return
	}
	j.bytes -= len(e.outcome.Body)
	e.outcome = outcome(e.key, wire.OutcomeUnknown, "the result is no longer kept")
}

// expire forgets entries past their retention; their nonces stay in the
// filter.
func (j *Journal) expire(now time.Time) {
	n := 0
	for n < len(j.settled) && now.Sub(j.settled[n].since) >= j.limits.Retention {
		e := j.settled[n]
		j.bytes -= len(e.outcome.Body)
		delete(j.entries, e.key)
		j.forgotten.add(e.key)
		n++
	}
	if n == 0 {
		return
	}
	j.settled = append([]*entry(nil), j.settled[n:]...)
	j.bodies = max(0, j.bodies-n)
}

func outcome(k key, state wire.OutcomeState, detail string) wire.Outcome {
	return wire.Outcome{ID: k.id, Nonce: k.nonce, State: state, Detail: detail}
}

// Package once makes calls to services take effect at most once. Journal runs in
// an agent and decides whether a call is dispatched to the service.
// ClaimResolver runs in an entry and decides, by a claim row in the table,
// which attempt may send a call that has an idempotency key. Both perform no
// I/O and read no clock; the caller passes the time.
package once

import (
	"time"

	"shallotcourse/internal/wire"
)

type (
	// Limits bound the memory of a Journal.
	Limits struct {
		// Retention is the minimum time for which a result or a fence is kept.
		// After it, a query is answered with Unknown, never with NeverSeen,
		// because removed nonces stay in a Bloom filter. A false positive of
		// the filter can only turn another answer into Unknown.
		Retention time.Duration
		// Entries bounds the number of calls and fences. When none of them has
		// exceeded Retention, new calls are refused with NotRun.
		Entries int
		// Bytes bounds the total size of the stored response bodies. The
		// oldest results are dropped first; they then read as Unknown.
		Bytes int
	}

	// Journal records the calls received by one agent incarnation. It is not
	// safe for concurrent use.
	Journal struct {
		incarnation string
		limits      Limits
		entries     map[callKey]*journalEntry
		// settled holds finished and fenced entries, sorted by settledAt.
		settled []*journalEntry
		// bytes is the total size of the bodies in settled.
		bytes int
		// oldestBody is the index in settled of the first entry whose body has
		// not been dropped.
		oldestBody int
		// removedNonces contains the nonces of removed entries.
		removedNonces filter
	}

	// callKey identifies one attempt of a call.
	callKey struct{ id, nonce string }

	// journalEntry is a call that was dispatched, or a nonce that was fenced.
	journalEntry struct {
		key     callKey
		outcome wire.Outcome
		// fenced is true if a Query arrived before any Call, so that a later
		// Call must not be dispatched.
		fenced bool
		// settledAt is the time at which the entry was settled.
		settledAt time.Time
	}

	// Decision is what the caller must do with a call.
	Decision interface{ decision() }

	// Dispatch sends the call to the service now. The caller reports the result
	// with Journal.Done.
	Dispatch struct{}

	// Answer returns the outcome without sending the call to the service.
	Answer struct{ Outcome wire.Outcome }

	// Drop ignores the call, because NeverSeen was already reported for its
	// nonce.
	Drop struct{}
)

// DefaultLimits keep results for 15 minutes, longer than any caller waits. A
// constant rate of 72 calls per second fills the journal. With the filter and
// bodies of 128 bytes it then takes 39 MB of the 64 MB that a node may use.
var DefaultLimits = Limits{Retention: 15 * time.Minute, Entries: 1 << 16, Bytes: 8 << 20}

func (Dispatch) decision() {}
func (Answer) decision()   {}
func (Drop) decision()     {}

// NewJournal returns an empty journal for an agent incarnation.
func NewJournal(incarnation string, limits Limits) *Journal {
	return &Journal{incarnation: incarnation, limits: limits, entries: make(map[callKey]*journalEntry)}
}

// Call decides what to do with a call. It returns Dispatch at most once per
// nonce.
func (j *Journal) Call(m wire.Call, now time.Time) Decision {
	j.removeExpired(now)
	k := callKey{m.ID, m.Nonce}
	e, ok := j.entries[k]
	switch {
	case ok && e.fenced:
		return Drop{}
	case ok:
		return Answer{e.outcome}
	case m.Incarnation != j.incarnation:
		return Answer{newOutcome(k, wire.OutcomeNotRun, "the call was addressed to another agent incarnation")}
	case j.removedNonces.has(k):
		return Answer{newOutcome(k, wire.OutcomeUnknown, "the journal no longer holds the call")}
	case len(j.entries) >= j.limits.Entries:
		return Answer{newOutcome(k, wire.OutcomeNotRun, "the call journal is full")}
	}
	j.entries[k] = &journalEntry{key: k, outcome: newOutcome(k, wire.OutcomeRunning, "")}
	return Dispatch{}
}

// Done records the outcome of a dispatched call.
func (j *Journal) Done(m wire.Outcome, now time.Time) {
	e, ok := j.entries[callKey{m.ID, m.Nonce}]
	if !ok || e.outcome.State != wire.OutcomeRunning {
		return
	}
	e.outcome = m
	j.settle(e, now)
}

// Query returns the outcome of a call. A nonce that has not been received yet
// is fenced: a Call with it that arrives later is dropped.
func (j *Journal) Query(m wire.Query, now time.Time) wire.Outcome {
	j.removeExpired(now)
	k := callKey{m.ID, m.Nonce}
	if e, ok := j.entries[k]; ok {
		return e.outcome
	}
	if j.removedNonces.has(k) {
		return newOutcome(k, wire.OutcomeUnknown, "the journal no longer holds the call")
	}
	if len(j.entries) >= j.limits.Entries {
		// A fence cannot be stored, so a late Call could still be dispatched.
		return newOutcome(k, wire.OutcomeUnknown, "the call journal is full")
	}
	e := &journalEntry{key: k, outcome: newOutcome(k, wire.OutcomeNeverSeen, ""), fenced: true}
	j.entries[k] = e
	j.settle(e, now)
	return e.outcome
}

// Running returns the number of dispatched calls without an outcome.
func (j *Journal) Running() int { return len(j.entries) - len(j.settled) }

// settle records that an entry is finished or fenced, and drops the oldest
// bodies until the rest is within the limit.
func (j *Journal) settle(e *journalEntry, now time.Time) {
	e.settledAt = now
	j.settled = append(j.settled, e)
	j.bytes += len(e.outcome.Body)
	for j.bytes > j.limits.Bytes && j.oldestBody < len(j.settled) {
		j.dropBody(j.settled[j.oldestBody])
		j.oldestBody++
	}
}

// dropBody discards the result of a call; the outcome becomes Unknown.
func (j *Journal) dropBody(e *journalEntry) {
	if len(e.outcome.Body) == 0 {
		return
	}
	j.bytes -= len(e.outcome.Body)
	e.outcome = newOutcome(e.key, wire.OutcomeUnknown, "the result was dropped to free memory")
}

// removeExpired removes entries that have exceeded their retention and adds
// their nonces to the filter.
func (j *Journal) removeExpired(now time.Time) {
	n := 0
	for n < len(j.settled) && now.Sub(j.settled[n].settledAt) >= j.limits.Retention {
		e := j.settled[n]
		j.bytes -= len(e.outcome.Body)
		delete(j.entries, e.key)
		j.removedNonces.add(e.key)
		n++
	}
	if n == 0 {
		return
	}
	j.settled = append([]*journalEntry(nil), j.settled[n:]...)
	j.oldestBody = max(0, j.oldestBody-n)
}

func newOutcome(k callKey, state wire.OutcomeState, detail string) wire.Outcome {
	return wire.Outcome{ID: k.id, Nonce: k.nonce, State: state, Detail: detail}
}

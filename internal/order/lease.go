// Package order decides who may send orders to a target and which orders bring
// it to its desired state. It is pure; the caller passes the time.
package order

import (
	"time"
)

type (
	// Owner is the value of the row Owner/{Target}.
	Owner struct {
		// Holder is the agent incarnation that claimed the target.
		Holder string
		// Epoch grows by one with each claim and is the fencing token of the
		// orders under it.
		Epoch uint64
		// Lease is the time for which the claim holds after its write.
		Lease time.Duration
		// Released says that the holder sends no more orders under the epoch.
		Released bool
		// Revision is the configuration revision that the holder acts on; it
		// never decreases from one owner to the next.
		Revision uint64
	}

	// Rules are the times of the lease protocol.
	Rules struct {
		Lease time.Duration
		// LongestOrder bounds one order from its sending to its end.
		LongestOrder time.Duration
		// Gap is the longest time between two ticks. A longer one means that
		// the process was paused and must claim again.
		Gap time.Duration
		// ChecksFencing says that the engine rejects old epochs itself, so
		// that a new owner need not wait for orders that are still running.
		ChecksFencing bool
	}

	// Lease is one agent's view of the ownership of its target. Claims are
	// made only while there are orders to send, since a claim kept alive by
	// every agent would use up the table's writes.
	Lease struct {
		self  string
		rules Rules
		// revision is the configuration revision in force in this process.
		revision uint64
		// epoch is the claimed epoch; 0 if none is held.
		epoch uint64
		// claimed is the revision in the row of the claim.
		claimed uint64
		// until is the end of the claim by this process's monotonic clock,
		// counted from before its write was sent.
		until time.Time
		tick  time.Time
		// row is the last version read; since is when it was first seen.
		row   uint64
		owner Owner
		since time.Time
		read  bool
		// written is a write whose outcome is not known yet.
		written   Owner
		writtenAt time.Time
	}

	// Step is what to do next about a lease.
	Step interface{ step() }

	// Read asks for the row; answer with Observed.
	Read struct{}

	// Wait asks to come back after some time, with a new Read.
	Wait struct{ For time.Duration }

	// Commit asks to write the row if it still has the version; answer with
	// Written.
	Commit struct {
		Version uint64
		Owner   Owner
	}

	// Behind asks to wait until the configuration has the revision that an
	// earlier owner acted on.
	Behind struct{ Revision uint64 }

	// Held says that the claim holds.
	Held struct{}
)

func (Read) step()   {}
func (Wait) step()   {}
func (Commit) step() {}
func (Behind) step() {}
func (Held) step()   {}

// NewLease returns the lease view of an agent incarnation.
func NewLease(self string, rules Rules) *Lease { return &Lease{self: self, rules: rules} }

// SetChecksFencing follows a change of the target's declaration.
func (l *Lease) SetChecksFencing(checks bool) { l.rules.ChecksFencing = checks }

// SetRevision sets the configuration revision that the orders follow from.
func (l *Lease) SetRevision(revision uint64) { l.revision = revision }

// Tick records that the process is running. After a gap the claim is given up.
func (l *Lease) Tick(now time.Time) {
	if !l.tick.IsZero() && now.Sub(l.tick) > l.rules.Gap {
		l.epoch = 0
	}
	l.tick = now
}

// May returns the epoch for an order sent now, and whether one may be sent.
// It is checked just before each order.
func (l *Lease) May(now time.Time) (uint64, bool) {
	paused := now.Sub(l.tick) > l.rules.Gap
	return l.epoch, l.epoch > 0 && now.Before(l.until) && !paused
}

// Next returns what to do to hold the target. A claim is renewed in its last
// half, and before an order from a newer revision than the row holds.
func (l *Lease) Next(now time.Time) Step {
	if _, ok := l.May(now); ok && l.until.Sub(now) > l.rules.Lease/2 && l.claimed >= l.revision {
		return Held{}
	}
	if !l.read {
		return Read{}
	}
	// A holder that was frozen for long wakes up with an old configuration, and
	// would bring the target back to a state that was replaced meanwhile.
	if l.revision < l.owner.Revision {
		l.read = false
		return Behind{l.owner.Revision}
	}
	if l.epoch > 0 && l.owner.Holder == l.self && l.owner.Epoch == l.epoch && now.Before(l.until) {
		return l.commit(l.epoch)
	}
	if wait := l.wait(now); wait > 0 {
		l.read = false
		return Wait{wait}
	}
	return l.commit(l.owner.Epoch + 1)
}

// wait returns how long another owner's claim must still be respected.
func (l *Lease) wait(now time.Time) time.Duration {
	if l.row == 0 || l.owner.Released || l.owner.Holder == l.self {
		return 0
	}
	respected := l.owner.Lease
	if !l.rules.ChecksFencing {
		respected += l.rules.LongestOrder
	}
	return respected - now.Sub(l.since)
}

func (l *Lease) commit(epoch uint64) Step {
	l.read = false
	return Commit{l.row, Owner{Holder: l.self, Epoch: epoch, Lease: l.rules.Lease, Revision: l.revision}}
}

// Observed records the row; version 0 means that it is absent. A change of
// the version restarts the wait for its owner.
func (l *Lease) Observed(version uint64, owner Owner, now time.Time) {
	if version != l.row || l.since.IsZero() {
		l.row, l.owner, l.since = version, owner, now
	}
	l.read = true
	if owner == l.written && l.written.Epoch > 0 {
		// The write whose answer was lost did take effect.
		l.hold(l.written, l.writtenAt)
	}
	if l.epoch > 0 && (owner.Holder != l.self || owner.Epoch != l.epoch) {
		l.epoch = 0
	}
	l.written = Owner{}
}

// Written records the outcome of a Commit that was sent at the given time.
// Known is false when the write may or may not have taken effect; the row is
// then read back.
func (l *Lease) Written(c Commit, sent time.Time, ok, known bool) {
	l.read = false
	switch {
	case c.Owner.Released:
	case ok:
		l.hold(c.Owner, sent)
	case !known:
		l.written, l.writtenAt = c.Owner, sent
	}
}

func (l *Lease) hold(o Owner, sent time.Time) {
	l.epoch, l.claimed = o.Epoch, o.Revision
	l.until = sent.Add(l.rules.Lease)
}

// Release returns the write that lets the next owner claim at once. It is
// called when no order is running; false if nothing is held.
func (l *Lease) Release() (Commit, bool) {
	if l.epoch == 0 || !l.read || l.owner.Holder != l.self || l.owner.Epoch != l.epoch {
		l.epoch = 0
		return Commit{}, false
	}
	l.epoch = 0
	l.read = false
	released := l.owner
	released.Released = true
	return Commit{l.row, released}, true
}

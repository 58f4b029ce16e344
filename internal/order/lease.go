// Package order decides which agent may send orders to a target, and which
// orders bring the target to its desired state. Orders make the engine load
// layers, load or unload adapters, or change its role. The package performs no
// I/O and reads no clock; the caller passes the time.
package order

import (
	"time"
)

type (
	// Owner is the value of the table row Owner/{Target}. It is stored as JSON.
	Owner struct {
		// Holder is the agent incarnation that claimed the target.
		Holder string
		// Epoch grows by one with each new claim. It is the fencing token of
		// the orders sent under the claim.
		Epoch uint64
		// Lease is how long the claim is valid after it was written.
		Lease time.Duration
		// Released is true if the holder sends no more orders in this epoch.
		Released bool
		// Revision is the configuration revision that the holder acts on. It
		// never decreases from one write to the next.
		Revision uint64
	}

	// LeaseRules are the parameters of the lease protocol.
	LeaseRules struct {
		// Lease is the duration of a claim.
		Lease time.Duration
		// LongestOrder is the maximum time from sending an order to its end.
		LongestOrder time.Duration
		// Gap is the maximum time between two calls of Tick. After a longer
		// one the process counts as suspended and must claim again.
		Gap time.Duration
		// ChecksFencing is true if the engine itself rejects orders of old
		// epochs, so that a new owner need not wait for running orders.
		ChecksFencing bool
	}

	// Lease is one agent's view of the ownership of its target. An agent claims
	// its target only while it has orders to send, since renewing the claims of
	// all agents permanently would exhaust the write capacity of the table.
	Lease struct {
		self  string
		rules LeaseRules
		// revision is the configuration revision that this process acts on.
		revision uint64
		// epoch is the epoch of the claim that is held; 0 if none is held.
		epoch uint64
		// claimedRevision is the configuration revision that was written with
		// the claim.
		claimedRevision uint64
		// expires is the end of the claim by this process's monotonic clock.
		// It is computed from the time at which the claim's write was sent.
		// Other agents wait from when they first read the row, which is later.
		expires time.Time
		// lastTick is the time of the last call of Tick.
		lastTick time.Time
		// rowVersion is the version of the row that was read last, and owner
		// its value. rowSeenAt is when this version was first read.
		rowVersion uint64
		owner      Owner
		rowSeenAt  time.Time
		// rowRead is true while the row that was read may be used for the next
		// step. A write or a wait makes it false.
		rowRead bool
		// unconfirmed is a write that may or may not have been applied, and
		// unconfirmedSentAt the time at which it was sent.
		unconfirmed       Owner
		unconfirmedSentAt time.Time
	}

	// Step is the next action that the caller must carry out.
	Step interface{ step() }

	// Read reads the row. The caller reports it with Observed.
	Read struct{}

	// Wait means that another owner's claim is still valid, or that an order
	// sent under it may still run. The caller calls Next again after the given
	// time.
	Wait struct{ For time.Duration }

	// Commit writes the row on condition that it still has Version. The caller
	// reports the result with Written.
	Commit struct {
		Version uint64
		Owner   Owner
	}

	// AwaitRevision means that an earlier owner acted on Revision, which this
	// process has not received yet. The caller calls Next again later.
	AwaitRevision struct{ Revision uint64 }

	// Held means that the claim is valid and orders may be sent.
	Held struct{}
)

func (Read) step()          {}
func (Wait) step()          {}
func (Commit) step()        {}
func (AwaitRevision) step() {}
func (Held) step()          {}

// NewLease returns a Lease without a claim for an agent incarnation.
func NewLease(self string, rules LeaseRules) *Lease { return &Lease{self: self, rules: rules} }

// SetChecksFencing sets LeaseRules.ChecksFencing, after the declaration of the
// target has changed.
func (l *Lease) SetChecksFencing(checks bool) { l.rules.ChecksFencing = checks }

// SetRevision sets the configuration revision from which orders are derived.
func (l *Lease) SetRevision(revision uint64) { l.revision = revision }

// Tick records that the process is running. If the previous call was longer ago
// than LeaseRules.Gap, the claim is dropped.
func (l *Lease) Tick(now time.Time) {
	if !l.lastTick.IsZero() && now.Sub(l.lastTick) > l.rules.Gap {
		l.epoch = 0
	}
	l.lastTick = now
}

// MaySend returns the epoch for an order and whether it may be sent now. It
// must be called immediately before each order is sent.
func (l *Lease) MaySend(now time.Time) (uint64, bool) {
	paused := now.Sub(l.lastTick) > l.rules.Gap
	return l.epoch, l.epoch > 0 && now.Before(l.expires) && !paused
}

// Next returns the next step towards a valid claim. A claim is renewed in the
// second half of its lease, and before an order that is derived from a newer
// revision than the one in the row.
func (l *Lease) Next(now time.Time) Step {
	if _, ok := l.MaySend(now); ok && l.expires.Sub(now) > l.rules.Lease/2 && l.claimedRevision >= l.revision {
		return Held{}
	}
	if !l.rowRead {
		return Read{}
	}
	// A holder that resumes after a long suspension has an old configuration.
	// It would return the target to a state that was replaced in the meantime.
	if l.revision < l.owner.Revision {
		l.rowRead = false
		return AwaitRevision{l.owner.Revision}
	}
	if l.epoch > 0 && l.owner.Holder == l.self && l.owner.Epoch == l.epoch && now.Before(l.expires) {
		return l.commitClaim(l.epoch)
	}
	if wait := l.remainingWait(now); wait > 0 {
		l.rowRead = false
		return Wait{wait}
	}
	return l.commitClaim(l.owner.Epoch + 1)
}

// remainingWait returns how long another owner's claim must still be respected.
func (l *Lease) remainingWait(now time.Time) time.Duration {
	if l.rowVersion == 0 || l.owner.Released || l.owner.Holder == l.self {
		return 0
	}
	respected := l.owner.Lease
	if !l.rules.ChecksFencing {
		respected += l.rules.LongestOrder
	}
	return respected - now.Sub(l.rowSeenAt)
}

func (l *Lease) commitClaim(epoch uint64) Step {
	l.rowRead = false
	return Commit{l.rowVersion, Owner{Holder: l.self, Epoch: epoch, Lease: l.rules.Lease, Revision: l.revision}}
}

// Observed records the row that was read; version 0 means that it does not
// exist. If the version has changed, the wait for its owner starts again.
func (l *Lease) Observed(version uint64, owner Owner, now time.Time) {
	if version != l.rowVersion || l.rowSeenAt.IsZero() {
		l.rowVersion, l.owner, l.rowSeenAt = version, owner, now
	}
	l.rowRead = true
	if owner == l.unconfirmed && l.unconfirmed.Epoch > 0 {
		// The write whose result was lost was applied.
		l.recordClaim(l.unconfirmed, l.unconfirmedSentAt)
	}
	if l.epoch > 0 && (owner.Holder != l.self || owner.Epoch != l.epoch) {
		l.epoch = 0
	}
	l.unconfirmed = Owner{}
}

// Written records the result of a Commit that was sent at the given time. If
// known is false, the write may or may not have been applied; the row is then
// read to find out.
func (l *Lease) Written(c Commit, sent time.Time, ok, known bool) {
	// Whatever the result, the row may have another version now, so it is read
	// again before the next claim.
	l.rowRead = false
	switch {
	case c.Owner.Released:
		// Release has already dropped the claim.
	case ok:
		l.recordClaim(c.Owner, sent)
	case !known:
		l.unconfirmed, l.unconfirmedSentAt = c.Owner, sent
	}
}

func (l *Lease) recordClaim(o Owner, sent time.Time) {
	l.epoch, l.claimedRevision = o.Epoch, o.Revision
	l.expires = sent.Add(l.rules.Lease)
}

// Release drops the claim and returns the write that lets another agent claim
// the target at once. It returns false if no claim is held, or if the row has not
// been read before. It must not be called while an order is running.
func (l *Lease) Release() (Commit, bool) {
	if l.epoch == 0 || !l.rowRead || l.owner.Holder != l.self || l.owner.Epoch != l.epoch {
		l.epoch = 0
		return Commit{}, false
	}
	l.epoch = 0
	l.rowRead = false
	released := l.owner
	released.Released = true
	return Commit{l.rowVersion, released}, true
}

package order

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

type (
	// contender is one of the agents that compete for the target.
	contender struct {
		lease  *Lease
		paused bool
		// revision is the configuration revision of the agent, at most
		// newestRevision.
		revision uint64
		// decidedEpoch is the epoch in which the agent is about to send an
		// order derived from decidedRevision. It may be paused in between.
		decidedEpoch, decidedRevision uint64
		// orderEnd is when the order that it sent last ends.
		orderEnd time.Time
	}

	// simulation simulates a table with one row, an engine that ignores fencing
	// tokens, and the agents.
	simulation struct {
		t          *rapid.T
		now        time.Time
		version    uint64
		owner      Owner
		contenders []*contender
		// delayedWrites holds writes that are applied later, if at all.
		delayedWrites []Commit
		// newestRevision is the newest revision of the configuration.
		newestRevision uint64
		// lastSender, lastEpoch, lastRevision and lastEnd describe the order
		// that was sent last.
		lastSender   *contender
		lastEpoch    uint64
		lastRevision uint64
		lastEnd      time.Time
		ordersSent   int
	}
)

var simulationRules = LeaseRules{Lease: 10 * time.Second, LongestOrder: 20 * time.Second, Gap: time.Second}

// Guards against orders of two owners that overlap at an engine that ignores
// fencing tokens (P8), and against an epoch or a configuration revision that goes
// back (P7). Agents are paused, results of writes are lost, and writes are
// applied late.
func TestOrdersOfTwoOwnersNeverOverlap(t *testing.T) {
	total := 0
	// Few random runs send an order: in 7 of 300 rounds none did. The rounds are
	// repeated until an order was sent.
	for round := 0; round < 10 && total == 0; round++ {
		rapid.Check(t, func(t *rapid.T) {
			c := &simulation{t: t, now: time.Unix(0, 0)}
			for _, name := range []string{"a", "b", "c"} {
				c.contenders = append(c.contenders, &contender{lease: NewLease(name, simulationRules)})
			}
			for range rapid.IntRange(1, 150).Draw(t, "actions") {
				c.randomAction()
			}
			total += c.ordersSent
		})
	}
	if total == 0 {
		t.Fatal("no order was ever sent")
	}
}

func (c *simulation) randomAction() {
	r := c.contenders[rapid.IntRange(0, 2).Draw(c.t, "contender")]
	switch rapid.IntRange(0, 12).Draw(c.t, "action") {
	case 0, 1:
		c.advanceTime(rapid.IntRange(1, 30).Draw(c.t, "ticks"))
	case 2:
		r.paused = !r.paused
	case 3:
		// A write whose result was not awaited is applied after all.
		if len(c.delayedWrites) > 0 {
			c.apply(c.delayedWrites[0])
			c.delayedWrites = c.delayedWrites[1:]
		}
	case 4:
		if !r.paused && !c.now.Before(r.orderEnd) {
			if w, ok := r.lease.Release(); ok {
				c.commit(r, w)
			}
		}
	case 5, 6, 7:
		c.trySendOrder(r)
	case 8:
		c.newestRevision += uint64(rapid.IntRange(0, 1).Draw(c.t, "change"))
		r.revision = c.newestRevision
		r.lease.SetRevision(r.revision)
	default:
		if !r.paused {
			c.nextStep(r)
		}
	}
}

// advanceTime advances the clock. Agents that are not paused call Tick.
func (c *simulation) advanceTime(ticks int) {
	for range ticks {
		c.now = c.now.Add(900 * time.Millisecond)
		for _, r := range c.contenders {
			if !r.paused {
				r.lease.Tick(c.now)
			}
		}
	}
}

func (c *simulation) nextStep(r *contender) {
	switch s := r.lease.Next(c.now).(type) {
	case Held:
		r.decidedEpoch, _ = r.lease.MaySend(c.now)
		r.decidedRevision = r.revision
	case Read:
		r.lease.Observed(c.version, c.owner, c.now)
	case Commit:
		c.commit(r, s)
	}
}

func (c *simulation) commit(r *contender, w Commit) {
	sent := c.now
	// 2 loses the result of the write, 3 delays the write.
	writeResult := rapid.IntRange(0, 3).Draw(c.t, "write result")
	if writeResult == 3 {
		c.delayedWrites = append(c.delayedWrites, w)
		r.lease.Written(w, sent, false, false)
		return
	}
	ok := c.apply(w)
	c.advanceTime(rapid.IntRange(0, 3).Draw(c.t, "delay"))
	r.lease.Written(w, sent, ok && writeResult != 2, writeResult != 2)
}

func (c *simulation) apply(w Commit) bool {
	if w.Version != c.version {
		return false
	}
	c.version++
	c.owner = w.Owner
	return true
}

// trySendOrder sends an order if the agent decided to and its lease permits it,
// even if the agent has just resumed after a pause.
func (c *simulation) trySendOrder(r *contender) {
	epoch, ok := r.lease.MaySend(c.now)
	if !ok || epoch != r.decidedEpoch || c.now.Before(r.orderEnd) {
		return
	}
	if c.lastSender != r && c.now.Before(c.lastEnd) {
		c.t.Fatalf("an order began %s before one of another owner ended", c.lastEnd.Sub(c.now))
	}
	if epoch < c.lastEpoch || epoch == c.lastEpoch && c.lastSender != r && c.lastSender != nil {
		c.t.Fatalf("epoch %d after %d", epoch, c.lastEpoch)
	}
	if r.decidedRevision < c.lastRevision {
		c.t.Fatalf("an order from revision %d came after one from %d", r.decidedRevision, c.lastRevision)
	}
	c.lastRevision = r.decidedRevision
	r.decidedEpoch = 0
	r.orderEnd = c.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(c.t, "length")) * time.Second)
	c.lastSender, c.lastEpoch, c.lastEnd = r, epoch, r.orderEnd
	c.ordersSent++
}

package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"shallotcourse/internal/once"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/timer"
)

const (
	// sweepPageRows is the maximum number of claim rows in one read.
	sweepPageRows = 200
	// maxSweepDeletes is the maximum number of rows deleted in one transaction.
	maxSweepDeletes = 50
	// sweepInterval is the mean time between reads by all entries together. 200
	// rows per second are 17 million per day.
	sweepInterval = time.Second
)

// sweeper deletes claims whose retention has ended. Every entry reads all
// rows, at a rate divided by the number of entries.
type sweeper struct {
	entry *Entry
	// lastKey is the last key that was read; empty to start from the first row.
	lastKey string
}

// run sweeps one page after another until ctx ends.
func (s *sweeper) run(ctx context.Context) {
	for {
		pause := time.Duration(s.entry.entryCount()) * sweepInterval
		if timer.Sleep(ctx, s.entry.cfg.Timer, pause/2+rand.N(pause)) != nil {
			return
		}
		s.sweepPage(ctx)
	}
}

// sweepPage reads the next page of rows and deletes outdated claims. Failures
// are not reported, since the rows are read again in the next round.
func (s *sweeper) sweepPage(ctx context.Context) {
	rows, err := s.entry.cfg.Table.List(ctx, once.ClaimPrefix, s.lastKey, sweepPageRows)
	if err != nil {
		return
	}
	s.lastKey = ""
	if len(rows) == sweepPageRows {
		s.lastKey = rows[len(rows)-1].Key
	}
	now := s.entry.cfg.Timer.Now()
	var t plat.Txn
	for _, row := range rows {
		c, err := once.DecodeClaim(row.Value)
		if err != nil || !c.PastRetention(now) || len(t.Writes) == maxSweepDeletes {
			continue
		}
		t.Conditions = append(t.Conditions, plat.Condition{Key: row.Key, Version: row.Version})
		t.Writes = append(t.Writes, plat.Write{Key: row.Key, Delete: true})
	}
	if len(t.Writes) > 0 && s.entry.cfg.Table.Commit(ctx, t) == nil {
		s.entry.metrics.sweptClaims.Add(len(t.Writes))
	}
}

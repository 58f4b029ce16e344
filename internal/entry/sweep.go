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
	// sweepRows bounds one read of claim rows.
	sweepRows = 200
	// sweepDeletes bounds the rows deleted in one transaction.
	sweepDeletes = 50
	// sweepInterval is the mean time between reads by all entries together.
	// 200 rows a second are 17 million a day.
	sweepInterval = time.Second
)

// sweeper deletes claims that have outlived their retention. Every entry walks
// over all rows, the slower the more entries there are.
type sweeper struct {
	entry *Entry
	// after is the last key that was looked at.
	after string
}

func (s *sweeper) run(ctx context.Context) {
	for {
		pause := time.Duration(s.entry.entryCount()) * sweepInterval
		if timer.Sleep(ctx, s.entry.cfg.Timer, pause/2+rand.N(pause)) != nil {
			return
		}
		s.page(ctx)
	}
}

// page looks at the next rows. Failures are not reported: the rows are met
// again in the next round.
func (s *sweeper) page(ctx context.Context) {
	rows, err := s.entry.cfg.Table.List(ctx, once.ClaimPrefix, s.after, sweepRows)
	if err != nil {
		return
	}
	s.after = ""
	if len(rows) == sweepRows {
		s.after = rows[len(rows)-1].Key
	}
	now := s.entry.cfg.Timer.Now()
	var t plat.Txn
	for _, row := range rows {
		c, err := once.DecodeClaim(row.Value)
		if err != nil || !c.Outlived(now) || len(t.Writes) == sweepDeletes {
			continue
		}
		t.Conditions = append(t.Conditions, plat.Condition{Key: row.Key, Version: row.Version})
		t.Writes = append(t.Writes, plat.Write{Key: row.Key, Delete: true})
	}
	if len(t.Writes) > 0 && s.entry.cfg.Table.Commit(ctx, t) == nil {
		s.entry.meter.swept.Add(len(t.Writes))
	}
}

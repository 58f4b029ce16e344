package store

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/board"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/timer"
	"shallotcourse/pkg/resrc"
)

const (
	// pollInterval is the mean time between reads of the head row. About 1,000
	// processes then use 500 of the 2,000 reads per second that the table
	// serves.
	pollInterval = 2 * time.Second
	// pollJitter is the fraction by which each interval varies in either
	// direction, so that processes started together do not poll together.
	pollJitter = 0.2
	// minLogChanges is the number of changes that the change log keeps when
	// it is trimmed. At 560 changes a day it covers more than a day.
	minLogChanges = 1024
)

type (
	// Store holds the configuration in force in this process. The revision
	// never decreases.
	Store struct {
		table   plat.Table
		clock   timer.Service
		log     log.Logger
		section *board.Section[Snapshot]
		health  *board.Section[TableHealth]
		// writeLock holds one element while a write of this process is in
		// flight. It is a channel so that waiting for it can be cancelled.
		writeLock chan struct{}

		// mu serializes updates of section and guards changeLog.
		mu sync.Mutex
		// changeLog holds the latest changes without gaps. Unless it is empty,
		// its last change has the revision of the snapshot.
		changeLog []resrc.Change
	}

	// TableHealth is the result of this process's reads of the table.
	TableHealth struct {
		// Read is true once a read has succeeded.
		Read bool
		// Tried is true once a read has succeeded or failed.
		Tried bool
		// Reachable is true when the last read succeeded.
		Reachable bool
		// LastRead is the time of the last successful read.
		LastRead time.Time
		// Head is the highest head revision read from the table.
		Head uint64
	}

	// Option configures a Store.
	Option func(*Store)
)

// WithClock sets the timer service.
func WithClock(s timer.Service) Option { return func(st *Store) { st.clock = s } }

// WithLog sets the logger.
func WithLog(l log.Logger) Option { return func(st *Store) { st.log = l } }

// New returns an empty store at revision 0 that reads and writes the given
// table.
func New(table plat.Table, options ...Option) *Store {
	s := &Store{
		table: table, clock: timer.System{}, log: log.NewNopLogger(),
		section: board.New(Snapshot{}), health: board.New(TableHealth{}),
		writeLock: make(chan struct{}, 1),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Section returns the section that publishes the snapshot in force.
func (s *Store) Section() *board.Section[Snapshot] { return s.section }

// Health returns the section that publishes the health of the table.
func (s *Store) Health() *board.Section[TableHealth] { return s.health }

// Snapshot returns the configuration in force.
func (s *Store) Snapshot() Snapshot { return s.section.Value() }

// ApplyChanges applies the changes whose revisions are above the one in force.
// It stops and returns false at the first change that leaves a gap or cannot be
// decoded; the changes before it stay applied.
func (s *Store) ApplyChanges(changes []resrc.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot, complete := s.section.Value(), true
	before := snapshot.Revision
	for _, c := range changes {
		if c.Revision <= snapshot.Revision {
			continue
		}
		next, ok := snapshot.WithChange(c)
		if !ok {
			complete = false
			break
		}
		snapshot = next
		s.changeLog = append(s.changeLog, c)
	}
	// Trimming only at twice the minimum makes the copy rare.
	if len(s.changeLog) > 2*minLogChanges {
		s.changeLog = slices.Clone(s.changeLog[len(s.changeLog)-minLogChanges:])
	}
	if snapshot.Revision > before {
		s.section.Set(snapshot)
		s.logApplied(before, snapshot.Revision)
	}
	return complete
}

// ApplySnapshot replaces the configuration when the given one is newer, and
// reports whether it did.
func (s *Store) ApplySnapshot(next Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.section.Value().Revision
	if next.Revision <= before {
		return false
	}
	s.changeLog = nil
	s.section.Set(next)
	s.logApplied(before, next.Revision)
	return true
}

// ChangesSince returns the changes after a revision, in order and without
// gaps. It returns false when the change log does not reach back that far.
func (s *Store) ChangesSince(revision uint64) ([]resrc.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.section.Value().Revision
	if revision >= current {
		return nil, true
	}
	missing := current - revision
	if missing > uint64(len(s.changeLog)) {
		return nil, false
	}
	from := len(s.changeLog) - int(missing)
	return slices.Clone(s.changeLog[from:]), true
}

// Run polls the table until the context ends.
func (s *Store) Run(ctx context.Context) error {
	for {
		if err := s.Refresh(ctx); err != nil && ctx.Err() == nil {
			_ = level.Warn(s.log).Log("msg", "cannot read configuration from table; keeping the current one", "err", err)
		}
		if err := timer.Sleep(ctx, s.clock, pollJittered(pollInterval)); err != nil {
			return nil
		}
	}
}

// Refresh reads the head row once, applies the changes that are missing here,
// and records the result in the table's health.
func (s *Store) Refresh(ctx context.Context) error {
	head, err := s.readHead(ctx)
	if err == nil && head.Revision > s.Snapshot().Revision {
		err = s.catchUp(ctx, head)
	}
	s.health.Update(func(h TableHealth) (TableHealth, bool) {
		h.Tried = true
		h.Reachable = err == nil
		if err == nil {
			h.Read, h.LastRead, h.Head = true, s.clock.Now(), max(h.Head, head.Revision)
		}
		return h, true
	})
	return err
}

// catchUp brings the configuration up to the head. It reads change rows when
// few changes are missing, and all resource rows otherwise.
func (s *Store) catchUp(ctx context.Context, head headRow) error {
	current := s.Snapshot().Revision
	if current > 0 && head.Revision-current <= minLogChanges {
		changes, err := s.readChanges(ctx, current, head.Revision)
		if err != nil {
			return err
		}
		if s.ApplyChanges(changes) && s.Snapshot().Revision >= head.Revision {
			return nil
		}
	}
	return s.readAll(ctx, head)
}

// readAll reads every resource row. The rows are not read atomically: those
// written meanwhile have revisions above head. Applying all changes after head
// overwrites each of them, which gives the exact state at the last change.
func (s *Store) readAll(ctx context.Context, head headRow) error {
	resources, err := s.readResources(ctx)
	if err != nil {
		return err
	}
	after, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	changes, err := s.readChanges(ctx, head.Revision, after.Revision)
	if err != nil {
		return err
	}
	snapshot := NewSnapshot(head.Revision, resources)
	for _, c := range changes {
		next, ok := snapshot.WithChange(c)
		if !ok {
			return fault.Newf(fault.Malformed, "change row %d cannot be applied to revision %d", c.Revision, snapshot.Revision)
		}
		snapshot = next
	}
	s.ApplySnapshot(snapshot)
	return nil
}

func (s *Store) logApplied(from, to uint64) {
	_ = level.Info(s.log).Log("msg", "configuration in force", "from", from, "revision", to)
}

func pollJittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + pollJitter*(2*rand.Float64()-1)))
}

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
	// pollInterval is the mean time between reads of the head. At about 1,000
	// processes it makes 500 of the table's 2,000 reads a second.
	pollInterval = 2 * time.Second
	// pollJitter is the share by which each interval varies either way, so
	// that processes started together don't poll together.
	pollJitter = 0.2
	// maxLogChanges is the number of changes that the delta log keeps at
	// least. At 560 changes a day it reaches back for more than a day.
	maxLogChanges = 1024
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
		// writing holds one element while a write of this process is in flight.
		writing chan struct{}

		// mu orders all writers of section and recent.
		mu sync.Mutex
		// recent holds the last changes without gaps; the last one has the
		// revision of the snapshot.
		recent []resrc.Change
	}

	// TableHealth is what this process knows of the table.
	TableHealth struct {
		// Read is true once the configuration was read from the table.
		Read bool
		// Tried is true once a read has ended, whatever its result.
		Tried bool
		// Reachable tells whether the last read succeeded.
		Reachable bool
		// LastRead is the time of the last successful read.
		LastRead time.Time
		// Head is the highest head revision seen in the table.
		Head uint64
	}

	// Option changes the settings of a store.
	Option func(*Store)
)

// WithClock sets the timer service.
func WithClock(s timer.Service) Option { return func(st *Store) { st.clock = s } }

// WithLog sets the logger.
func WithLog(l log.Logger) Option { return func(st *Store) { st.log = l } }

// New returns an empty store at revision 0 over the platform's table.
func New(table plat.Table, options ...Option) *Store {
	s := &Store{
		table: table, clock: timer.System{}, log: log.NewNopLogger(),
		section: board.New(Snapshot{}), health: board.New(TableHealth{}),
		writing: make(chan struct{}, 1),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Section returns the section that holds the snapshot in force.
func (s *Store) Section() *board.Section[Snapshot] { return s.section }

// Health returns the section that tells whether the table can be read.
func (s *Store) Health() *board.Section[TableHealth] { return s.health }

// Snapshot returns the configuration in force.
func (s *Store) Snapshot() Snapshot { return s.section.Value() }

// ApplyChanges applies those changes that are above the revision in force.
// It returns false when they leave a gap, or when one does not decode; the
// changes before that point stay applied.
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
		s.recent = append(s.recent, c)
	}
	// The log is cut at twice its size, so that few changes pay for the copy.
	if len(s.recent) > 2*maxLogChanges {
		s.recent = slices.Clone(s.recent[len(s.recent)-maxLogChanges:])
	}
	if snapshot.Revision > before {
		s.section.Set(snapshot)
		s.logApplied(before, snapshot.Revision)
	}
	return complete
}

// ApplySnapshot replaces the configuration if the given one is newer.
func (s *Store) ApplySnapshot(next Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.section.Value().Revision
	if next.Revision <= before {
		return false
	}
	s.recent = nil
	s.section.Set(next)
	s.logApplied(before, next.Revision)
	return true
}

// ChangesSince returns the changes after a revision, in order and without
// gaps. It returns false when the log does not reach back that far.
func (s *Store) ChangesSince(revision uint64) ([]resrc.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.section.Value().Revision
	if revision >= current {
		return nil, true
	}
	missing := current - revision
	if missing > uint64(len(s.recent)) {
		return nil, false
	}
	from := len(s.recent) - int(missing)
	return slices.Clone(s.recent[from:]), true
}

// Run polls the head of the table until the context ends.
func (s *Store) Run(ctx context.Context) error {
	for {
		if err := s.Refresh(ctx); err != nil && ctx.Err() == nil {
			_ = level.Warn(s.log).Log("msg", "cannot read the configuration from the table", "err", err)
		}
		if err := timer.Sleep(ctx, s.clock, jittered(pollInterval)); err != nil {
			return nil
		}
	}
}

// Refresh reads the table once and applies what is new.
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

// catchUp applies the changes up to the head, from the change rows when the
// distance is small and from all resource rows otherwise.
func (s *Store) catchUp(ctx context.Context, head headRow) error {
	current := s.Snapshot().Revision
	if current > 0 && head.Revision-current <= maxLogChanges {
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

// readAll reads every resource row. Rows that change meanwhile belong to
// revisions above the head that was read before; applying the change rows
// after that head overwrites each of them, which gives the exact state at the
// last change.
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
			return fault.Newf(fault.Malformed, "change row %d does not follow revision %d", c.Revision, snapshot.Revision)
		}
		snapshot = next
	}
	s.ApplySnapshot(snapshot)
	return nil
}

func (s *Store) logApplied(from, to uint64) {
	_ = level.Info(s.log).Log("msg", "configuration in force", "from", from, "revision", to)
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + pollJitter*(2*rand.Float64()-1)))
}

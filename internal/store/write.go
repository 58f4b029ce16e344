package store

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const (
	// writeTimeout bounds one write with all its attempts, and the reads that
	// find out its outcome after a lost answer.
	writeTimeout = 10 * time.Second
	// maxAttempts bounds the attempts of a write that conflicts with concurrent
	// writes. Each conflict means that another write was accepted.
	maxAttempts = 32
	// minBackoff and maxBackoff bound the backoff between attempts.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

type (
	// Write is a request to put or delete one resource.
	Write struct {
		// ID identifies the change. When it is empty, one is generated. A write
		// with an ID that was accepted before returns the accepted change.
		ID    string
		Actor string
		Kind  resrc.Kind
		Name  string
		// Expected is the revision that the resource must have; 0 when it must
		// be absent.
		Expected uint64
		// Spec is the new state; nil for a delete.
		Spec resrc.Spec
		// Check validates the write against the configuration at exactly the
		// revision before the write's own. It may be nil.
		Check func(Snapshot) error
		// body is the JSON form of Spec.
		body json.RawMessage
	}

	// pendingChange is a change and the conditional transaction that writes it.
	pendingChange struct {
		txn    plat.Txn
		change resrc.Change
	}
)

// Put creates or replaces a resource.
func (s *Store) Put(ctx context.Context, w Write) (resrc.Change, error) {
	if w.Spec == nil {
		return resrc.Change{}, fault.Invalid("Spec", nil, "an object")
	}
	if err := (resrc.Resource{Kind: w.Kind, Name: w.Name, Spec: w.Spec}).Check(); err != nil {
		return resrc.Change{}, err
	}
	return s.write(ctx, w)
}

// Delete removes a resource.
func (s *Store) Delete(ctx context.Context, w Write) (resrc.Change, error) {
	w.Spec = nil
	return s.write(ctx, w)
}

// write submits the change until it is accepted or refused, or found to have
// been accepted before. It retries after conflicts with writes of other
// resources.
func (s *Store) write(ctx context.Context, w Write) (resrc.Change, error) {
	ctx, cancel := timer.WithTimeout(ctx, s.clock, writeTimeout)
	defer cancel()
	if w.ID == "" {
		w.ID = uuid.NewString()
	}
	if w.Spec != nil {
		b, err := json.Marshal(w.Spec)
		if err != nil {
			return resrc.Change{}, fault.New(fault.Internal, "the spec cannot be encoded").WithCause(err)
		}
		w.body = b
	}
	release, err := s.acquireWriteLock(ctx)
	if err != nil {
		return resrc.Change{}, err
	}
	defer release()
	// An earlier request may have made this write already. The transaction
	// checks the identifier too, in case that happens after this read.
	c, found, err := s.findChange(ctx, w)
	if err != nil || found {
		return c, err
	}
	return s.commitWithRetries(ctx, w)
}

// acquireWriteLock waits until no other write of this process is in flight.
// Concurrent writes of one process would only conflict on the head row.
func (s *Store) acquireWriteLock(ctx context.Context) (release func(), err error) {
	select {
	case s.writeLock <- struct{}{}:
		return func() { <-s.writeLock }, nil
	case <-ctx.Done():
		return nil, fault.New(fault.Deadline, "timed out waiting for earlier writes of this process").WithCause(context.Cause(ctx))
	}
}

// commitWithRetries submits the write, and again with a newer head after each
// conflict with a concurrent write of another process.
func (s *Store) commitWithRetries(ctx context.Context, w Write) (resrc.Change, error) {
	pause := minBackoff
	for range maxAttempts {
		pending, err := s.prepare(ctx, w)
		if err != nil {
			return s.confirmRefusal(ctx, w, err)
		}
		lost, err := s.submit(ctx, pending.txn)
		if err == nil {
			s.applyAccepted(ctx, pending.change)
			return pending.change, nil
		}
		if !fault.Is(err, fault.Conflict) {
			return resrc.Change{}, err
		}
		if lost {
			if c, found, err := s.resolveLostAnswer(ctx, w); err != nil || found {
				return c, err
			}
		}
		if err := timer.Sleep(ctx, s.clock, equalJitter(pause)); err != nil {
			return resrc.Change{}, fault.New(fault.Deadline, "timed out because of conflicts with concurrent writes").WithCause(err)
		}
		pause = min(2*pause, maxBackoff)
	}
	return resrc.Change{}, fault.New(fault.Overloaded, "too many conflicts with concurrent writes").WithRetryAfter(maxBackoff)
}

// prepare reads the current state and builds the transaction.
func (s *Store) prepare(ctx context.Context, w Write) (pendingChange, error) {
	var (
		head    headRow
		stored  wire.StoredResource
		version uint64
		key     = resourceKey(w.Kind, w.Name)
	)
	// The two rows need not be read atomically, since the transaction requires
	// that neither has changed.
	reads, readCtx := errgroup.WithContext(ctx)
	reads.Go(func() (err error) {
		head, err = s.currentHead(readCtx)
		return err
	})
	reads.Go(func() (err error) {
		version, err = s.readRow(readCtx, key, &stored)
		return err
	})
	if err := reads.Wait(); err != nil {
		return pendingChange{}, err
	}
	if version == 0 && w.Spec == nil {
		return pendingChange{}, fault.Newf(fault.NotFound, "%s %q", w.Kind, w.Name)
	}
	if stored.Revision != w.Expected {
		e := fault.Newf(fault.Conflict, "%s %q is at revision %d, not %d", w.Kind, w.Name, stored.Revision, w.Expected)
		e.Revision = stored.Revision
		return pendingChange{}, e
	}
	if w.Check != nil {
		if err := w.Check(s.Snapshot()); err != nil {
			return pendingChange{}, err
		}
	}
	return s.build(w, head, plat.Condition{Key: key, Version: version})
}

// confirmRefusal returns the refusal of a write, unless a change with the
// write's identifier was accepted meanwhile. The client may have sent the same
// write to another process, whose success is then the cause of the refusal.
func (s *Store) confirmRefusal(ctx context.Context, w Write, refusal error) (resrc.Change, error) {
	if c, found, err := s.findChange(ctx, w); err == nil && found {
		return c, nil
	}
	return resrc.Change{}, refusal
}

// resolveLostAnswer finds out whether a transaction whose answer was lost, and
// whose resubmission met a conflict, was applied. It looks for the write's
// identifier until the table answers. If the identifier is absent, another write
// has moved the head, so the transaction was not applied and never will be.
func (s *Store) resolveLostAnswer(ctx context.Context, w Write) (resrc.Change, bool, error) {
	for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
		c, found, err := s.findChange(ctx, w)
		if err == nil || fault.Is(err, fault.KeyReused) {
			return c, found, err
		}
		if ended := timer.Sleep(ctx, s.clock, equalJitter(pause)); ended != nil {
			return c, false, outcomeUnknown(w.ID, err)
		}
	}
}

// currentHead reads the head and brings the snapshot up to it, so that
// Write.Check runs on the configuration that the write is applied to. If the
// head moves later, the transaction meets a conflict.
func (s *Store) currentHead(ctx context.Context) (headRow, error) {
	head, err := s.readHead(ctx)
	if err != nil {
		return head, err
	}
	if s.Snapshot().Revision < head.Revision {
		err = s.catchUp(ctx, head)
	}
	return head, err
}

func (s *Store) build(w Write, head headRow, resource plat.Condition) (pendingChange, error) {
	c := resrc.Change{
		Revision: head.Revision + 1, ID: w.ID, Actor: w.Actor, Time: s.clock.Now().UTC().Round(0),
		Operation: w.operation(), Kind: w.Kind, Name: w.Name, FromRevision: w.Expected, Body: w.body,
	}
	resourceWrite := plat.Write{Key: resource.Key, Delete: true}
	rows := []struct {
		key   string
		value any
	}{
		{headKey, headRow{Revision: c.Revision}},
		{changeKey(c.Revision), c},
		{identifierKey(c.ID), identifierRow{Revision: c.Revision}},
	}
	if w.Spec != nil {
		stored := wire.StoredResource{Kind: w.Kind, Name: w.Name, Revision: c.Revision, Body: w.body}
		var err error
		if resourceWrite, err = encodeRow(resource.Key, stored); err != nil {
			return pendingChange{}, err
		}
	}
	t := plat.Txn{
		Conditions: []plat.Condition{
			{Key: headKey, Version: head.version}, resource, {Key: identifierKey(c.ID)}, {Key: changeKey(c.Revision)},
		},
		Writes: []plat.Write{resourceWrite},
	}
	for _, r := range rows {
		write, err := encodeRow(r.key, r.value)
		if err != nil {
			return pendingChange{}, err
		}
		t.Writes = append(t.Writes, write)
	}
	return pendingChange{txn: t, change: c}, nil
}

// submit commits the transaction and reports whether an answer was lost. After
// a lost answer it submits the same transaction again: if the first submission
// was applied, the head has moved and the second meets a conflict; otherwise
// the second can succeed.
func (s *Store) submit(ctx context.Context, t plat.Txn) (lost bool, err error) {
	for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
		err := s.table.Commit(ctx, t)
		if err == nil || fault.Is(err, fault.Conflict) {
			return lost, err
		}
		e := fault.As(err)
		lost = lost || e.Outcome != fault.NotRun
		// Retry when the table's rate limit refused the transaction, and after
		// any failure while an earlier submission may have been applied.
		if !lost && e.Code != fault.Overloaded {
			return false, e
		}
		if ended := timer.Sleep(ctx, s.clock, equalJitter(max(pause, e.RetryAfter))); ended != nil {
			if lost {
				return true, e.WithOutcome(fault.Unknown)
			}
			return false, e
		}
	}
}

// findChange returns the change that was accepted under the identifier of a
// write, and applies it here. It fails with KeyReused when the identifier
// belongs to a different write.
func (s *Store) findChange(ctx context.Context, w Write) (resrc.Change, bool, error) {
	c, found, err := s.FindChange(ctx, w.ID)
	if err != nil || !found {
		return resrc.Change{}, false, err
	}
	if err := checkSameWrite(c, w); err != nil {
		return resrc.Change{}, false, err
	}
	s.applyAccepted(ctx, c)
	return c, true, nil
}

// applyAccepted applies an accepted change here. When changes before it are
// missing, they are read from the table; if that fails, the next poll reads
// them.
func (s *Store) applyAccepted(ctx context.Context, c resrc.Change) {
	if !s.ApplyChanges([]resrc.Change{c}) {
		_ = s.Refresh(ctx)
	}
}

func checkSameWrite(c resrc.Change, w Write) error {
	if c.Kind == w.Kind && c.Name == w.Name && c.Operation == w.operation() && bytes.Equal(c.Body, w.body) {
		return nil
	}
	return fault.Newf(fault.KeyReused, "change identifier %q was already used for a different write, at revision %d", c.ID, c.Revision)
}

func (w Write) operation() resrc.Operation {
	if w.Spec == nil {
		return resrc.OperationDelete
	}
	return resrc.OperationPut
}

func outcomeUnknown(id string, cause error) error {
	return fault.Newf(fault.Deadline, "the outcome of the write could not be found out in time; retry it with change identifier %q", id).
		WithOutcome(fault.Unknown).WithCause(cause)
}

// equalJitter returns a random duration between d/2 and d.
func equalJitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}

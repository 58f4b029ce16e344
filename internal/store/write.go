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
	// writeTimeout bounds one write, including the resolution of a lost answer.
	writeTimeout = 10 * time.Second
	// headRetries bounds the attempts of a write while other writes move the
	// head. Each lost race means that another write was accepted.
	headRetries = 32
	// firstPause and lastPause bound the pause between attempts.
	firstPause = 5 * time.Millisecond
	lastPause  = 500 * time.Millisecond
)

type (
	// Write asks for one change of the configuration.
	Write struct {
		// ID identifies the change; empty to have one made. A repeated ID
		// returns the change that was accepted under it.
		ID    string
		Actor string
		Kind  resrc.Kind
		Name  string
		// Expected is the revision of the resource that the writer has seen;
		// 0 when it must be absent.
		Expected uint64
		// Spec is the new state; nil for a delete.
		Spec resrc.Spec
		// Check judges the write against the configuration at exactly the
		// revision that the write follows. It may be nil.
		Check func(Snapshot) error
		// body is the JSON form of Spec.
		body json.RawMessage
	}

	// attempt is one conditional transaction and the change that it makes.
	attempt struct {
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

// write submits the change until it is accepted, found to be accepted
// already, or refused. It retries when only the head has moved.
func (s *Store) write(ctx context.Context, w Write) (resrc.Change, error) {
	ctx, cancel := timer.WithTimeout(ctx, s.clock, writeTimeout)
	defer cancel()
	if w.ID == "" {
		w.ID = uuid.NewString()
	}
	if w.Spec != nil {
		b, err := json.Marshal(w.Spec)
		if err != nil {
			return resrc.Change{}, fault.New(fault.Internal, "the spec does not encode").WithCause(err)
		}
		w.body = b
	}
	release, err := s.takeTurn(ctx)
	if err != nil {
		return resrc.Change{}, err
	}
	defer release()
	// The identifier is read first in case this write was accepted earlier;
	// that it is absent is also a condition of the transaction.
	c, found, err := s.findChange(ctx, w)
	if err != nil || found {
		return c, err
	}
	return s.contend(ctx, w)
}

// takeTurn waits until no other write of this process is in flight. Writes
// of one process would otherwise only make each other's head move.
func (s *Store) takeTurn(ctx context.Context) (release func(), err error) {
	select {
	case s.writing <- struct{}{}:
		return func() { <-s.writing }, nil
	case <-ctx.Done():
		return nil, fault.New(fault.Deadline, "earlier writes took too long").WithCause(context.Cause(ctx))
	}
}

// contend submits the write against writes of other processes.
func (s *Store) contend(ctx context.Context, w Write) (resrc.Change, error) {
	pause := firstPause
	for range headRetries {
		a, err := s.prepare(ctx, w)
		if err != nil {
			return s.refuse(ctx, w, err)
		}
		lost, err := s.submit(ctx, a.txn)
		if err == nil {
			s.accepted(ctx, a.change)
			return a.change, nil
		}
		if !fault.Is(err, fault.Conflict) {
			return resrc.Change{}, err
		}
		if lost {
			if c, found, err := s.settle(ctx, w); err != nil || found {
				return c, err
			}
		}
		if err := timer.Sleep(ctx, s.clock, spread(pause)); err != nil {
			return resrc.Change{}, fault.New(fault.Deadline, "other writes kept moving the head").WithCause(err)
		}
		pause = min(2*pause, lastPause)
	}
	return resrc.Change{}, fault.New(fault.Overloaded, "other writes kept moving the head").WithRetryAfter(lastPause)
}

// prepare reads the current state and builds the transaction.
func (s *Store) prepare(ctx context.Context, w Write) (attempt, error) {
	var (
		head    headRow
		stored  wire.StoredResource
		version uint64
		key     = resourceKey(w.Kind, w.Name)
	)
	// The transaction's conditions on both rows make the order of these reads
	// irrelevant.
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
		return attempt{}, err
	}
	if version == 0 && w.Spec == nil {
		return attempt{}, fault.Newf(fault.NotFound, "%s %q", w.Kind, w.Name)
	}
	if stored.Revision != w.Expected {
		e := fault.Newf(fault.Conflict, "%s %q is at revision %d, not %d", w.Kind, w.Name, stored.Revision, w.Expected)
		e.Revision = stored.Revision
		return attempt{}, e
	}
	if w.Check != nil {
		if err := w.Check(s.Snapshot()); err != nil {
			return attempt{}, err
		}
	}
	return s.build(w, head, plat.Condition{Key: key, Version: version})
}

// refuse returns the refusal of a write, unless its identifier was accepted
// meanwhile: the same write may be running in another process, and then the
// refusal is only its own effect.
func (s *Store) refuse(ctx context.Context, w Write, refusal error) (resrc.Change, error) {
	if c, found, err := s.findChange(ctx, w); err == nil && found {
		return c, nil
	}
	return resrc.Change{}, refusal
}

// settle looks for the change after a lost answer and a conflict, until the
// table answers. When the identifier is absent, the head has moved, and the
// lost transaction can never be applied.
func (s *Store) settle(ctx context.Context, w Write) (resrc.Change, bool, error) {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		c, found, err := s.findChange(ctx, w)
		if err == nil || fault.Is(err, fault.KeyReused) {
			return c, found, err
		}
		if ended := timer.Sleep(ctx, s.clock, spread(pause)); ended != nil {
			return c, false, unsettled(w.ID, err)
		}
	}
}

// currentHead reads the head and brings the snapshot up to it, so that checks
// see the configuration that the write follows. A later head fails the
// transaction's condition.
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

func (s *Store) build(w Write, head headRow, resource plat.Condition) (attempt, error) {
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
		if resourceWrite, err = putRow(resource.Key, stored); err != nil {
			return attempt{}, err
		}
	}
	t := plat.Txn{
		Conditions: []plat.Condition{
			{Key: headKey, Version: head.version}, resource, {Key: identifierKey(c.ID)}, {Key: changeKey(c.Revision)},
		},
		Writes: []plat.Write{resourceWrite},
	}
	for _, r := range rows {
		write, err := putRow(r.key, r.value)
		if err != nil {
			return attempt{}, err
		}
		t.Writes = append(t.Writes, write)
	}
	return attempt{txn: t, change: c}, nil
}

// submit commits the transaction. After a lost answer it submits the same
// transaction again: it succeeds when the first was not applied, and meets a
// conflict when it was, since the head has moved. It reports whether an answer
// was lost.
func (s *Store) submit(ctx context.Context, t plat.Txn) (lost bool, err error) {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		err := s.table.Commit(ctx, t)
		if err == nil || fault.Is(err, fault.Conflict) {
			return lost, err
		}
		e := fault.As(err)
		lost = lost || e.Outcome != fault.NotRun
		// A refusal by the rate limit is worth another try, and so is any
		// failure while an earlier submission may have been applied.
		if !lost && e.Code != fault.Overloaded {
			return false, e
		}
		if ended := timer.Sleep(ctx, s.clock, spread(max(pause, e.RetryAfter))); ended != nil {
			if lost {
				return true, e.WithOutcome(fault.Unknown)
			}
			return false, e
		}
	}
}

// findChange returns the change that was accepted under the identifier of a
// write and brings it into force. It fails when that was another write.
func (s *Store) findChange(ctx context.Context, w Write) (resrc.Change, bool, error) {
	c, found, err := s.FindChange(ctx, w.ID)
	if err != nil || !found {
		return resrc.Change{}, false, err
	}
	if err := sameWrite(c, w); err != nil {
		return resrc.Change{}, false, err
	}
	s.accepted(ctx, c)
	return c, true, nil
}

// accepted brings an accepted change into force here. When other changes came
// before it, they are read from the table; on failure the next poll does it.
func (s *Store) accepted(ctx context.Context, c resrc.Change) {
	if !s.ApplyChanges([]resrc.Change{c}) {
		_ = s.Refresh(ctx)
	}
}

func sameWrite(c resrc.Change, w Write) error {
	if c.Kind == w.Kind && c.Name == w.Name && c.Operation == w.operation() && bytes.Equal(c.Body, w.body) {
		return nil
	}
	return fault.Newf(fault.KeyReused, "change identifier %q was used for another write at revision %d", c.ID, c.Revision)
}

func (w Write) operation() resrc.Operation {
	if w.Spec == nil {
		return resrc.OperationDelete
	}
	return resrc.OperationPut
}

func unsettled(id string, cause error) error {
	return fault.Newf(fault.Deadline, "the write could not be settled in time; repeat it with change identifier %q", id).
		WithOutcome(fault.Unknown).WithCause(cause)
}

// spread returns a random duration between half of d and d.
func spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}

package store

import (
	"context"
	"encoding/json"
	"fmt"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

const (
	headKey        = "Head"
	resourcePrefix = "Resource/"
	changePrefix   = "Change/"
	// identifierPrefix is the prefix of the rows that map a change identifier
	// to its revision. Each write requires that its own row is absent, so that
	// no identifier is accepted twice.
	identifierPrefix = "ChangeIdentifier/"
	// pageRows is the page size when rows are listed.
	pageRows = 1000
)

type (
	// headRow holds the revision of the last accepted change. Every write
	// replaces it, which puts all writes in one order.
	headRow struct {
		Revision uint64
		// version is the row's version in the table; 0 when the row is absent.
		version uint64
	}

	identifierRow struct{ Revision uint64 }
)

func resourceKey(kind resrc.Kind, name string) string {
	return resourcePrefix + string(kind) + "/" + name
}

// changeKey pads the revision with zeros, so that change rows sort by revision.
func changeKey(revision uint64) string { return fmt.Sprintf("%s%020d", changePrefix, revision) }

func identifierKey(id string) string { return identifierPrefix + id }

func (s *Store) readHead(ctx context.Context) (headRow, error) {
	var head headRow
	version, err := s.readRow(ctx, headKey, &head)
	head.version = version
	return head, err
}

// readRow decodes a row into v and returns the row's version, or 0 when the
// row is absent.
func (s *Store) readRow(ctx context.Context, key string, v any) (uint64, error) {
	row, err := s.table.Read(ctx, key)
	if fault.Is(err, fault.NotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return row.Version, decodeRow(row, v)
}

// readChanges returns the changes of the revisions in (from, to]. It fails
// when a change row is missing.
func (s *Store) readChanges(ctx context.Context, from, to uint64) ([]resrc.Change, error) {
	var changes []resrc.Change
	for at := from; at < to; {
		page, err := s.readChangePage(ctx, at, int(min(to-at, pageRows)))
		if err != nil {
			return nil, err
		}
		if len(page) == 0 || page[0].Revision != at+1 {
			return nil, fault.Newf(fault.Malformed, "change row %d is missing", at+1)
		}
		changes = append(changes, page...)
		at = page[len(page)-1].Revision
	}
	return changes, nil
}

func (s *Store) readChangePage(ctx context.Context, after uint64, limit int) ([]resrc.Change, error) {
	rows, err := s.table.List(ctx, changePrefix, changeKey(after), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]resrc.Change, len(rows))
	for i, row := range rows {
		if err := decodeRow(row, &changes[i]); err != nil {
			return nil, err
		}
	}
	return changes, nil
}

func (s *Store) readResources(ctx context.Context) ([]resrc.Resource, error) {
	var resources []resrc.Resource
	for after := ""; ; {
		rows, err := s.table.List(ctx, resourcePrefix, after, pageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var stored wire.StoredResource
			if err := decodeRow(row, &stored); err != nil {
				return nil, err
			}
			r, err := decodeResource(stored)
			if err != nil {
				return nil, err
			}
			resources = append(resources, r)
		}
		if len(rows) < pageRows {
			return resources, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// ListChanges reads up to limit changes after a revision from the table.
func (s *Store) ListChanges(ctx context.Context, after uint64, limit int) ([]resrc.Change, error) {
	return s.readChangePage(ctx, after, min(limit, pageRows))
}

// FindChange reads the change that was accepted under an identifier from the
// table. It returns false when there is none.
func (s *Store) FindChange(ctx context.Context, id string) (resrc.Change, bool, error) {
	var (
		found identifierRow
		c     resrc.Change
	)
	version, err := s.readRow(ctx, identifierKey(id), &found)
	if err != nil || version == 0 {
		return c, false, err
	}
	version, err = s.readRow(ctx, changeKey(found.Revision), &c)
	if err == nil && version == 0 {
		err = fault.Newf(fault.Malformed, "change row %d is missing", found.Revision)
	}
	return c, err == nil, err
}

func decodeResource(r wire.StoredResource) (resrc.Resource, error) {
	spec, err := resrc.DecodeSpec(r.Kind, r.Body)
	if err != nil {
		return resrc.Resource{}, fault.Newf(fault.Malformed, "stored spec of %s %q cannot be decoded", r.Kind, r.Name).WithCause(err)
	}
	return resrc.Resource{Kind: r.Kind, Name: r.Name, Revision: r.Revision, Spec: spec}, nil
}

func encodeResource(r resrc.Resource) (wire.StoredResource, error) {
	body, err := json.Marshal(r.Spec)
	if err != nil {
		return wire.StoredResource{}, fault.Newf(fault.Internal, "spec of %s %q cannot be encoded", r.Kind, r.Name).WithCause(err)
	}
	return wire.StoredResource{Kind: r.Kind, Name: r.Name, Revision: r.Revision, Body: body}, nil
}

func decodeRow(row plat.Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return fault.Newf(fault.Malformed, "table row %q cannot be decoded", row.Key).WithCause(err)
	}
	return nil
}

func encodeRow(key string, v any) (plat.Write, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return plat.Write{}, fault.Newf(fault.Internal, "table row %q cannot be encoded", key).WithCause(err)
	}
	return plat.Write{Key: key, Value: value}, nil
}

func encodeSnapshot(s Snapshot) (wire.Snapshot, error) {
	m := wire.Snapshot{Revision: s.Revision}
	for _, kind := range resrc.Kinds {
		for _, r := range s.List(kind) {
			stored, err := encodeResource(r)
			if err != nil {
				return m, err
			}
			m.Resources = append(m.Resources, stored)
		}
	}
	return m, nil
}

func decodeSnapshot(m wire.Snapshot) (Snapshot, error) {
	resources := make([]resrc.Resource, len(m.Resources))
	for i, stored := range m.Resources {
		r, err := decodeResource(stored)
		if err != nil {
			return Snapshot{}, err
		}
		resources[i] = r
	}
	return NewSnapshot(m.Revision, resources), nil
}

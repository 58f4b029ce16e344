package store

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fplat"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

// hookedTable calls each hook once, before the next commit or list.
type hookedTable struct {
	plat.Table
	beforeCommit, beforeList func()
}

func (h *hookedTable) Commit(ctx context.Context, t plat.Txn) error {
	runOnce(&h.beforeCommit)
	return h.Table.Commit(ctx, t)
}

func (h *hookedTable) List(ctx context.Context, prefix, after string, limit int) ([]plat.Row, error) {
	runOnce(&h.beforeList)
	return h.Table.List(ctx, prefix, after, limit)
}

func runOnce(f *func()) {
	if g := *f; g != nil {
		*f = nil
		g()
	}
}

func newTable(t *testing.T) plat.Table {
	server := httptest.NewServer(fplat.New(timer.System{}))
	t.Cleanup(server.Close)
	return plat.NewClient(server.URL).Table
}

// Guards against a client that retries a write at another entry while the
// first attempt is still running, and gets a conflict with its own write.
func TestSameChangeAtTwoProcesses(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	hooked := &hookedTable{Table: newTable(t)}
	a, b := New(hooked), New(hooked.Table)
	w := newModelVersionWrite("oak-1", "4", "0", []string{"change-one"})
	hooked.beforeCommit = func() {
		_, err := b.Put(ctx, w)
		is.NoErr(err)
	}
	c, err := a.Put(ctx, w)
	is.NoErr(err)
	is.Equal(c.Revision, uint64(1))
}

// Guards against a Write.Check that passes on an outdated configuration,
// because another write is accepted between the check and the commit.
func TestCheckSeesTheStateThatTheWriteFollows(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	hooked := &hookedTable{Table: newTable(t)}
	a, b := New(hooked), New(hooked.Table)
	hooked.beforeCommit = func() {
		_, err := b.Put(ctx, newModelVersionWrite("oak-1", "4", "0", nil))
		is.NoErr(err)
	}
	w := newModelVersionWrite("oak-2", "4", "0", nil)
	w.Check = func(s Snapshot) error {
		if _, ok := s.Get(resrc.KindModelVersion, "oak-1"); ok {
			return fault.New(fault.BadInput, "oak-1 exists")
		}
		return nil
	}
	_, err := a.Put(ctx, w)
	is.True(fault.Is(err, fault.BadInput))
}

// Guards against a snapshot that mixes two revisions because of writes while
// the resource rows are read.
func TestReadAllDuringWrite(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	hooked := &hookedTable{Table: newTable(t)}
	reader, writer := New(hooked), New(hooked.Table)
	for _, name := range []string{"oak-1", "oak-2"} {
		_, err := writer.Put(ctx, newModelVersionWrite(name, "4", "0", nil))
		is.NoErr(err)
	}
	hooked.beforeList = func() {
		_, err := writer.Delete(ctx, newModelVersionWrite("oak-1", "4", "1", nil))
		is.NoErr(err)
		_, err = writer.Put(ctx, newModelVersionWrite("oak-2", "8", "2", nil))
		is.NoErr(err)
	}
	is.NoErr(reader.Refresh(ctx))
	is.Equal(reader.Snapshot().Revision, uint64(4))
	is.Equal(reader.Snapshot().List(resrc.KindModelVersion), writer.Snapshot().List(resrc.KindModelVersion))
}

// Guards against a change that takes more than 7 s to reach another process,
// when either polling the table or pushing over links is the only way.
func TestInForce(t *testing.T) {
	t.Parallel()
	for _, linked := range []bool{false, true} {
		t.Run(map[bool]string{false: "poll", true: "push"}[linked], func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			table := newTable(t)
			a, b := New(table), New(table)
			ya, yb := NewSync(a), NewSync(b)
			if linked {
				to, from := &directPeer{}, &directPeer{}
				to.hello = func() wire.Hello { return wire.Hello{Instance: "b"} }
				from.hello = func() wire.Hello { return wire.Hello{Instance: "a"} }
				to.deliver = func(m wire.Message) { yb.Receive(from, m) }
				from.deliver = func(m wire.Message) { ya.Receive(to, m) }
				ya.LinkUp(to)
				yb.LinkUp(from)
				go func() { _ = ya.Run(ctx) }()
			} else {
				go func() { _ = b.Run(ctx) }()
				time.Sleep(100 * time.Millisecond) // let the first poll find an empty table
			}
			start := time.Now()
			_, err := a.Put(ctx, newModelVersionWrite("oak-1", "4", "0", nil))
			is.NoErr(err)
			_, version := b.Section().Get()
			if b.Snapshot().Revision == 0 {
				select {
				case <-b.Section().Changed(version):
				case <-time.After(7 * time.Second):
				}
			}
			is.Equal(b.Snapshot().Revision, uint64(1))
			t.Logf("in force after %v", time.Since(start))
		})
	}
}

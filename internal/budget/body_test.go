package budget

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

// claimWatcher is a reader that checks that what it fills has been claimed.
type claimWatcher struct {
	t      *rapid.T
	r      io.Reader
	budget *Budget
	read   int64
}

// Read implements io.Reader.
func (w *claimWatcher) Read(p []byte) (int, error) {
	if used := w.budget.Stats().Used; w.read+int64(len(p)) > used || used > w.read+int64(len(p))+SmallBytes {
		w.t.Fatalf("%d bytes are claimed after %d have been read into a block of %d", used, w.read, len(p))
	}
	n, err := w.r.Read(p)
	w.read += int64(n)
	return n, err
}

// Guards against a body that is read before it is claimed or claimed by its announced
// length, that differs from what was sent, or whose memory is not given back.
func TestBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := make([]byte, rapid.IntRange(0, 300_000).Draw(t, "size"))
		for i := range sent {
			sent[i] = byte(i * 7 >> 3)
		}
		length := int64(-1)
		if rapid.Bool().Draw(t, "announced") {
			length = int64(len(sent))
		}
		broken := errors.New("broken")
		source := io.Reader(bytes.NewReader(sent))
		breaks := rapid.IntRange(0, 4).Draw(t, "breaks") == 0
		if breaks {
			source = io.MultiReader(source, iotest.ErrReader(broken))
		}
		if rapid.Bool().Draw(t, "pieces") {
			source = iotest.HalfReader(source)
		}
		if rapid.Bool().Draw(t, "early end") {
			source = iotest.DataErrReader(source)
		}
		limit := rapid.Int64Range(1, 400_000).Draw(t, "limit")
		b := New(Options{Bytes: 4 * megabyte, Clock: timer.System{}})
		claim := b.Open(nil)
		ctx := WithClaim(context.Background(), claim)
		body, err := ReadBody(ctx, &claimWatcher{t: t, r: source, budget: b}, length, limit)
		if err != nil {
			if !breaks || !errors.Is(err, broken) || b.Stats().Used != 0 {
				t.Fatalf("%v with %d bytes used", err, b.Stats().Used)
			}
			return
		}
		want := sent[:min(limit, int64(len(sent)))]
		for range 2 {
			if got, err := io.ReadAll(body.Reader()); err != nil || !bytes.Equal(got, want) || body.Len() != int64(len(want)) {
				t.Fatalf("%d bytes with length %d, want %d: %v", len(got), body.Len(), len(want), err)
			}
			var copied bytes.Buffer
			if _, err := io.Copy(&copied, body.Reader()); err != nil || !bytes.Equal(copied.Bytes(), want) {
				t.Fatalf("%d bytes copied: %v", copied.Len(), err)
			}
			if got, err := body.Join(ctx); err != nil || !bytes.Equal(got, want) {
				t.Fatalf("%d bytes joined: %v", len(got), err)
			}
		}
		body.Release()
		body.Release()
		if b.Stats().Used != 0 {
			t.Fatalf("%d bytes left", b.Stats().Used)
		}
	})
}

// Guards against a body that is not refused as NotRun when there is no room for its next
// block, or when its claim gives way as it is read.
func TestBodyWithoutRoom(t *testing.T) {
	is := is.New(t)
	b := New(Options{Bytes: 8 * megabyte, Clock: timer.System{}})
	running := b.Open(nil)
	is.NoErr(running.Grow(ended(), 6*megabyte))
	running.SetPhase(Running)
	claim := b.Open(nil)
	_, err := ReadBody(WithClaim(ended(), claim), bytes.NewReader(make([]byte, 2*megabyte)), -1, largest)
	is.True(err != nil)
	is.Equal(fault.As(err).Outcome, fault.NotRun)
	is.Equal(b.Stats().Used, int64(6*megabyte))

	claim.giveWayNow()
	_, err = ReadBody(WithClaim(ended(), nil), iotest.ErrReader(io.ErrClosedPipe), -1, largest)
	is.True(errors.Is(err, io.ErrClosedPipe))
	late := b.Open(nil)
	_, err = ReadBody(WithClaim(ended(), late), readerFunc(func([]byte) (int, error) {
		late.giveWayNow()
		return 0, io.ErrClosedPipe
	}), -1, largest)
	is.Equal(fault.As(err).Code, fault.Overloaded)
	is.Equal(fault.As(err).Outcome, fault.NotRun)
}

// readerFunc is a function as a reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// giveWayNow makes the claim give way.
func (c *Claim) giveWayNow() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.giveWay(c, c.budget.clock.Now())
}

// Guards against more than one allocation of its size for an ordinary small body.
func TestSmallBodyTakesOneBlock(t *testing.T) {
	is := is.New(t)
	b := New(Options{Bytes: 4 * megabyte, Clock: timer.System{}})
	claim := b.Open(nil)
	body, err := ReadBody(WithClaim(context.Background(), claim), iotest.DataErrReader(bytes.NewReader(make([]byte, 50_000))), 50_000, largest)
	is.NoErr(err)
	is.Equal(b.Stats().Used, int64(50_000))
	is.Equal(len(body.blocks), 1)
}

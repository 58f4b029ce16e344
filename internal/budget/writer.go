package budget

import (
	"context"
	"net/http"
	"sync"
	"time"

	"shallotcourse/internal/timer"
)

const (
	// pieceBytes is the size of the pieces in which a response is written. Each piece
	// that the connection takes is progress.
	pieceBytes = 64 << 10
	// progressChecks is the number of checks of a blocked write in the time after which
	// the connection ends.
	progressChecks = 4
)

type (
	// Writer writes a response to a caller. A caller that takes nothing for some time
	// loses its connection; one that reads slowly does not. During a write, the claim is
	// in phase Sending. A nil Writer holds nothing.
	Writer struct {
		http.ResponseWriter
		control *http.ResponseController
		claim   *Claim
		clock   timer.Service
		idle    time.Duration
		// unsent returns what the caller has not confirmed yet; nil if not known.
		unsent func() int
		// held is what the claim holds for the response.
		held int64
		// phase is that of the claim before the current write, and blocked watches the
		// write; nil if unsent is.
		phase   Phase
		blocked *blockedWrite
	}

	// blockedWrite watches one write. The kernel lets a blocked write go on only once
	// much of its buffer is free, so what the caller takes before is seen by the bytes
	// that it has confirmed.
	blockedWrite struct {
		*Writer
		mu sync.Mutex
		// last is the number of unsent bytes at the last check.
		last  int
		ended bool
		// cancel cancels the next check.
		cancel func()
	}

	// unsentKey is the context key of a connection's unsent bytes.
	unsentKey struct{}
)

// WithUnsent returns a context that carries a function which returns the bytes that a
// connection has written and its peer has not confirmed.
func WithUnsent(ctx context.Context, unsent func() int) context.Context {
	return context.WithValue(ctx, unsentKey{}, unsent)
}

// NewWriter returns a writer of the response to r. A caller that takes nothing of a write
// for the idle time loses its connection.
func NewWriter(w http.ResponseWriter, r *http.Request, clock timer.Service, idle time.Duration) *Writer {
	out := &Writer{ResponseWriter: w, control: http.NewResponseController(w), claim: FromContext(r.Context()), clock: clock, idle: idle}
	out.unsent, _ = r.Context().Value(unsentKey{}).(func() int)
	return out
}

// SetIdle changes the time after which the caller loses its connection.
func (w *Writer) SetIdle(idle time.Duration) {
	if w != nil {
		w.idle = idle
	}
}

// Extend gives the caller the whole time again. The deadline stays in force after the
// last write, since the server sends the rest when the handler returns.
func (w *Writer) Extend() {
	if w == nil {
		return
	}
	// A writer that does not support deadlines belongs to no connection.
	_ = w.control.SetWriteDeadline(w.clock.Now().Add(w.idle))
}

// Hold claims n bytes for a response that is to be written.
func (w *Writer) Hold(ctx context.Context, n int) error {
	if w == nil {
		return nil
	}
	if err := w.claim.Grow(ctx, int64(n)); err != nil {
		return err
	}
	w.held += int64(n)
	return nil
}

// Release gives back what is held for the response.
func (w *Writer) Release() {
	if w == nil {
		return
	}
	w.claim.Shrink(w.held)
	w.held = 0
}

// Write implements http.ResponseWriter.
func (w *Writer) Write(p []byte) (int, error) {
	w.begin()
	defer w.end()
	sum := 0
	for {
		n, err := w.ResponseWriter.Write(p[sum:min(len(p), sum+pieceBytes)])
		sum += n
		if err != nil || sum >= len(p) {
			return sum, err
		}
		w.claim.Progress()
		w.Extend()
	}
}

// FlushError sends what the server has buffered.
func (w *Writer) FlushError() error {
	w.begin()
	defer w.end()
	return w.control.Flush()
}

// Unwrap gives http.ResponseController the writer of the connection.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// begin begins a write. While it lasts, the write deadline is extended as long as the
// caller makes progress.
func (w *Writer) begin() {
	w.Extend()
	w.phase = w.claim.beginWrite()
	if w.unsent == nil {
		return
	}
	b := &blockedWrite{Writer: w, last: w.unsent()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancel = w.clock.After(w.idle/progressChecks, b.check)
	w.blocked = b
}

// end ends a write.
func (w *Writer) end() {
	if w.blocked != nil {
		w.blocked.end()
		w.blocked = nil
	}
	w.claim.endWrite(w.phase)
}

// check extends the write deadline if the caller has made progress since the last check.
func (b *blockedWrite) check() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	if n := b.unsent(); n != b.last {
		b.last = n
		b.claim.Progress()
		b.Extend()
	}
	b.cancel = b.clock.After(b.idle/progressChecks, b.check)
}

func (b *blockedWrite) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.cancel()
}

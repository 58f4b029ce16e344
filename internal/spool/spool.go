// Package spool writes log lines without ever blocking the writer.
package spool

import (
	"fmt"
	"io"
	"sync"
	"time"

	"shallotcourse/internal/timer"
)

const (
	// maxBytes bounds the lines that wait to be written.
	maxBytes = 256 << 10
	// flushEvery joins the lines of an interval into one write.
	flushEvery = 100 * time.Millisecond
)

// Writer is an io.Writer in front of a slow one. Lines that do not fit are
// dropped, and their number is written in their place.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	dropped int
	// writing says that a flush is under way.
	writing bool
	spare   []byte
	cancel  func()
	done    chan struct{}
}

// New returns a writer in front of out.
func New(out io.Writer, clock timer.Service) *Writer {
	ticks, cancel := clock.Every(flushEvery)
	w := &Writer{out: out, cancel: cancel, done: make(chan struct{})}
	go func() {
		for {
			select {
			case <-ticks:
				w.Flush()
			case <-w.done:
				return
			}
		}
	}()
	return w
}

// Write implements io.Writer; it takes one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(line) > maxBytes {
		w.dropped++
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	return len(line), nil
}

// Flush writes what is waiting.
func (w *Writer) Flush() {
	w.mu.Lock()
	if w.writing || len(w.waiting) == 0 && w.dropped == 0 {
		w.mu.Unlock()
		return
	}
	batch, dropped := w.waiting, w.dropped
	w.waiting, w.dropped, w.writing = w.spare[:0], 0, true
	w.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "event=LogLinesDropped count=%d\n", dropped)
	}
	// There is nowhere to report that logs cannot be written.
	_, _ = w.out.Write(batch)
	w.mu.Lock()
	w.spare, w.writing = batch, false
	w.mu.Unlock()
}

// Close writes what is waiting and ends the writer.
func (w *Writer) Close() {
	w.cancel()
	close(w.done)
	w.Flush()
}

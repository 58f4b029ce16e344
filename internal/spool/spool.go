// Package spool buffers log lines in memory and writes them in the background,
// so that a slow log output never blocks the caller.
package spool

import (
	"fmt"
	"io"
	"sync"
	"time"

	"shallotcourse/internal/timer"
)

const (
	// maxBufferedBytes bounds the lines that are not written yet.
	maxBufferedBytes = 256 << 10
	// flushInterval is the time between two writes; each one writes all lines
	// that were buffered since the last.
	flushInterval = 100 * time.Millisecond
)

// Writer is a buffered io.Writer in front of a slow one. Lines that do not fit
// into the buffer are dropped, and the next write ends with their number.
type Writer struct {
	out io.Writer

	mu     sync.Mutex
	buffer []byte
	// dropped counts the lines that were dropped since the last flush.
	dropped int
	// flushing is set while a flush writes to out.
	flushing bool
	// spareBuffer is the buffer of the last flush, reused for the next one.
	spareBuffer []byte
	stopTicks   func()
	done        chan struct{}
}

// New returns a writer that flushes to out at intervals until Close.
func New(out io.Writer, clock timer.Service) *Writer {
	ticks, cancel := clock.Every(flushInterval)
	w := &Writer{out: out, stopTicks: cancel, done: make(chan struct{})}
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

// Write implements io.Writer. It takes one line and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Flush writes the buffered lines. It does nothing while another Flush writes.
func (w *Writer) Flush() {
	w.mu.Lock()
	if w.flushing || len(w.buffer) == 0 && w.dropped == 0 {
		w.mu.Unlock()
		return
	}
	batch, dropped := w.buffer, w.dropped
	w.buffer, w.dropped, w.flushing = w.spareBuffer[:0], 0, true
	w.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "event=LogLinesDropped count=%d\n", dropped)
	}
	// A failed write cannot be logged, since this is the log output.
	_, _ = w.out.Write(batch)
	w.mu.Lock()
	w.spareBuffer, w.flushing = batch, false
	w.mu.Unlock()
}

// Close writes the buffered lines and stops the periodic flush.
func (w *Writer) Close() {
	w.stopTicks()
	close(w.done)
	w.Flush()
}

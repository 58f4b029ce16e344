package proxy

import (
	"context"
	"io"
	"sync/atomic"

	"shallotcourse/internal/fault"
)

const (
	// maxResponseBytes is the maximum size of a response of a plain service. It
	// is buffered completely so that an incomplete one can be replaced by a
	// retry.
	maxResponseBytes = 8 << 20
	// maxBufferedBytes bounds the responses that are being read at the same time.
	// Only targets that send bodies without end come near it.
	maxBufferedBytes = 32 << 20
	// firstBufferBytes is the initial size of the buffer of a response.
	firstBufferBytes = 2 << 10
	// uncountedEventBytes is the size up to which the events of streams that wait for
	// their caller are not counted. Events of sound targets are shorter.
	uncountedEventBytes = 4 << 10
)

// responseBuffers counts the memory of all responses that are being read, beyond
// the first firstBufferBytes of each, and of the long events that wait for their
// callers.
type responseBuffers struct{ bytes atomic.Int64 }

// reserveEvent counts an event that is to wait for its caller, and reports whether
// there is room for it.
func (s *stream) reserveEvent(ctx context.Context, ev event) bool {
	n := int64(len(ev.raw))
	if n <= uncountedEventBytes {
		return true
	}
	if !s.buffers.reserve(n) {
		return false
	}
	if err := s.claim.Grow(ctx, n); err != nil {
		s.buffers.bytes.Add(-n)
		return false
	}
	return true
}

// releaseEvent takes back what reserveEvent has counted.
func (s *stream) releaseEvent(ev event) {
	if n := int64(len(ev.raw)); n > uncountedEventBytes {
		s.buffers.bytes.Add(-n)
		s.claim.Shrink(n)
	}
}

// readAll reads a body to its end. Its memory stays claimed in room until the request
// ends. The length is the announced one, or negative if that is not known. Errors have
// the outcome Unknown: with code TargetLost if the body broke off, is longer than
// maxResponseBytes, or too much is being read at the same time, with code Overloaded if
// there is no room.
func (b *responseBuffers) readAll(ctx context.Context, room *responseRoom, body io.Reader, length int64) ([]byte, *fault.Error) {
	size := firstBufferBytes
	if length > 0 && length <= maxResponseBytes {
		// One byte more, so that the end is seen without a larger buffer.
		size = int(length) + 1
	}
	reserved := int64(0)
	defer func() { b.bytes.Add(-reserved) }()
	grow := func(n int) *fault.Error {
		if n <= 0 {
			return nil
		}
		if !b.reserve(int64(n)) {
			return fault.New(fault.TargetLost, "too many long responses are being read").WithOutcome(fault.Unknown)
		}
		reserved += int64(n)
		return room.grow(ctx, int64(n))
	}
	if err := grow(size - firstBufferBytes); err != nil {
		return nil, err
	}
	out := make([]byte, 0, size)
	for {
		if len(out) == cap(out) {
			before := cap(out)
			// Both buffers are held while one is copied to the other.
			if err := grow(2 * before); err != nil {
				return nil, err
			}
			out = append(make([]byte, 0, 2*before), out...)
			b.bytes.Add(-int64(before))
			reserved -= int64(before)
			room.shrink(int64(before))
		}
		n, err := body.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case err == io.EOF:
			return out, nil
		case err != nil:
			return nil, fault.New(fault.TargetLost, "the target's response was truncated").WithOutcome(fault.Unknown).WithCause(err)
		case len(out) > maxResponseBytes:
			return nil, fault.Newf(fault.TargetLost, "the target's response exceeds %d bytes", maxResponseBytes).WithOutcome(fault.Unknown)
		}
	}
}

// reserve adds n bytes unless that exceeds maxBufferedBytes.
func (b *responseBuffers) reserve(n int64) bool {
	for {
		used := b.bytes.Load()
		if used+n > maxBufferedBytes {
			return false
		}
		if b.bytes.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

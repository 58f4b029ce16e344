package proxy

import (
	"context"
	"sync"

	"shallotcourse/internal/budget"
	"shallotcourse/internal/fault"
)

// runBytes is claimed for the response before a request is sent, so that a short response
// has room once the request has run. It exceeds firstBufferBytes, the part of a response
// that is not claimed as it is read.
const runBytes = 8 << 10

// responseRoom is what a request claims for its responses, of which attempts that are
// abandoned may still read one after the request has ended. A nil responseRoom counts
// nothing.
type responseRoom struct {
	claim *budget.Claim

	mu sync.Mutex
	// held is 0 once ended is true.
	held  int64
	ended bool
}

// reserve claims the room that a short response takes. The request has not run.
func (r *responseRoom) reserve(ctx context.Context) *fault.Error {
	if r == nil {
		return nil
	}
	if err := r.claim.Grow(ctx, runBytes); err != nil {
		return noRoomError(err)
	}
	r.add(runBytes)
	return nil
}

// grow claims n bytes for a response of a request that has run.
func (r *responseRoom) grow(ctx context.Context, n int64) *fault.Error {
	if r == nil {
		return nil
	}
	if err := r.claim.Grow(ctx, n); err != nil {
		return fault.As(err).WithOutcome(fault.Unknown)
	}
	if !r.add(n) {
		return fault.New(fault.Canceled, "the request has ended").WithOutcome(fault.Unknown)
	}
	return nil
}

// add records n bytes that have been claimed. After the end it gives them back and
// returns false.
func (r *responseRoom) add(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		r.claim.Shrink(n)
		return false
	}
	r.held += n
	return true
}

// shrink gives n bytes back.
func (r *responseRoom) shrink(n int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.held -= n
		r.claim.Shrink(n)
	}
}

// end gives everything back.
func (r *responseRoom) end() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claim.Shrink(r.held)
	r.held, r.ended = 0, true
}

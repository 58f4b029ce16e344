package timer

import (
	"context"
	"time"
)

// WithTimeout returns a context that ends after d of the service's time, with
// context.DeadlineExceeded as its cause.
func WithTimeout(ctx context.Context, s Service, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := s.After(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// Sleep waits for d of the service's time. It returns early with the cause
// when the context ends.
func Sleep(ctx context.Context, s Service, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	done := make(chan struct{})
	stop := s.After(d, func() { close(done) })
	defer stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

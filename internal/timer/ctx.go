package timer

import (
	"context"
	"time"
)

// WithTimeout is like context.WithTimeout, on the time of a Service. When d has
// passed, context.Cause returns context.DeadlineExceeded, but ctx.Err returns
// context.Canceled.
func WithTimeout(ctx context.Context, s Service, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := s.After(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// Sleep waits until d has passed, on the time of a Service. When the context ends
// first, it returns the context's cause at once.
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

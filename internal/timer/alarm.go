package timer

import "time"

// Timer is like time.Timer, on the time of a Service: it sends the time on C once
// after each Reset.
type Timer struct {
	C <-chan time.Time
	// ch is C as a bidirectional channel, with a buffer of one element.
	ch     chan time.Time
	clock  Service
	cancel func()
}

// New returns a timer that fires after d.
func New(s Service, d time.Duration) *Timer {
	ch := make(chan time.Time, 1)
	t := &Timer{C: ch, ch: ch, clock: s}
	t.Reset(d)
	return t
}

// Reset makes the timer fire after d instead. It discards a time on C that was not
// received yet.
func (t *Timer) Reset(d time.Duration) {
	t.Stop()
	select {
	case <-t.ch:
	default:
	}
	t.cancel = t.clock.After(d, func() {
		select {
		case t.ch <- t.clock.Now():
		default:
		}
	})
}

// Stop prevents the timer from firing. It does not discard a time on C.
func (t *Timer) Stop() {
	if t.cancel != nil {
		t.cancel()
	}
}

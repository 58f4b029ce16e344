package timer

import "time"

// Alarm sends the time on C once after each Reset.
type Alarm struct {
	C      <-chan time.Time
	ch     chan time.Time
	clock  Service
	cancel func()
}

// New returns an alarm that is due after d.
func New(s Service, d time.Duration) *Alarm {
	ch := make(chan time.Time, 1)
	a := &Alarm{C: ch, ch: ch, clock: s}
	a.Reset(d)
	return a
}

// Reset sets the alarm anew; a time that was not received is dropped.
func (a *Alarm) Reset(d time.Duration) {
	a.Stop()
	select {
	case <-a.ch:
	default:
	}
	a.cancel = a.clock.After(d, func() {
		select {
		case a.ch <- a.clock.Now():
		default:
		}
	})
}

// Stop cancels the alarm.
func (a *Alarm) Stop() {
	if a.cancel != nil {
		a.cancel()
	}
}

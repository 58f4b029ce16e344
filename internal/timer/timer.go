// Package timer provides the time to all of shallotcourse, so that tests can
// replace the system clock by one that they advance.
package timer

import (
	"sync"
	"time"
)

type (
	// Service is a clock that also calls functions and sends ticks at later
	// times.
	Service interface {
		// Now returns the current time; differences are monotonic.
		Now() time.Time
		// After calls f once when d has passed. System calls it on a goroutine
		// of its own, Manual on the goroutine of Advance. The returned function
		// cancels the call.
		After(d time.Duration, f func()) (cancel func())
		// Every sends the time after each interval of d until cancel is called.
		// Ticks that a slow receiver is not ready for are dropped.
		Every(d time.Duration) (ticks <-chan time.Time, cancel func())
	}

	// System is the Service on the system clock.
	System struct{}

	// Manual is a Service for tests, whose time changes only by Advance.
	Manual struct {
		mu  sync.Mutex
		now time.Time
		// subscriptions is in order of creation. Among those that are due at
		// the same time, Advance fires the one that was created first.
		subscriptions []*subscription
	}

	// subscription is a pending call of After or the ticks of Every.
	subscription struct {
		due time.Time
		// interval is the time between ticks; 0 for After.
		interval time.Duration
		fire     func(time.Time)
	}
)

var (
	_ Service = System{}
	_ Service = (*Manual)(nil)
)

// Now implements Service.
func (System) Now() time.Time { return time.Now() }

// After implements Service.
func (System) After(d time.Duration, f func()) func() {
	t := time.AfterFunc(d, f)
	return func() { t.Stop() }
}

// Every implements Service.
func (System) Every(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// NewManual returns a Manual that starts at the given time.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now implements Service.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After implements Service. The function runs on the goroutine of Advance.
func (m *Manual) After(d time.Duration, f func()) func() {
	return m.subscribe(&subscription{due: m.Now().Add(d), fire: func(time.Time) { f() }})
}

// Every implements Service.
func (m *Manual) Every(d time.Duration) (<-chan time.Time, func()) {
	ch := make(chan time.Time, 1)
	fire := func(now time.Time) {
		select {
		case ch <- now:
		default:
		}
	}
	return ch, m.subscribe(&subscription{due: m.Now().Add(d), interval: d, fire: fire})
}

// Advance moves the time forward by d. It fires the subscriptions that become due,
// in order of their times and each at its own time.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	for {
		next := m.earliestDue(end)
		if next == nil {
			break
		}
		m.now = next.due
		now := m.now
		if next.interval > 0 {
			next.due = next.due.Add(next.interval)
		} else {
			m.remove(next)
		}
		m.mu.Unlock()
		next.fire(now)
		m.mu.Lock()
	}
	m.now = end
	m.mu.Unlock()
}

func (m *Manual) subscribe(s *subscription) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscriptions = append(m.subscriptions, s)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.remove(s)
	}
}

func (m *Manual) earliestDue(end time.Time) *subscription {
	var first *subscription
	for _, s := range m.subscriptions {
		if s.due.After(end) {
			continue
		}
		if first == nil || s.due.Before(first.due) {
			first = s
		}
	}
	return first
}

func (m *Manual) remove(s *subscription) {
	for i, other := range m.subscriptions {
		if other == s {
			m.subscriptions = append(m.subscriptions[:i], m.subscriptions[i+1:]...)
			return
		}
	}
}

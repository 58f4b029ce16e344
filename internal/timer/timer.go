// Package timer is the only source of time in shallotcourse. Parts subscribe
// to it, and tests replace the system service by a manual one.
package timer

import (
	"sync"
	"time"
)

type (
	// Service tells the time and wakes its subscribers.
	Service interface {
		// Now returns the current time; differences are monotonic.
		Now() time.Time
		// After calls f once, on its own goroutine, when d has passed.
		// The returned function cancels the subscription.
		After(d time.Duration, f func()) (cancel func())
		// Every sends the time at each interval until cancel is called.
		// A slow receiver loses ticks rather than delaying others.
		Every(d time.Duration) (ticks <-chan time.Time, cancel func())
	}

	// System is the service on the system clock.
	System struct{}

	// Manual is a service whose time moves only by Advance.
	Manual struct {
		mu  sync.Mutex
		now time.Time
		// subs is ordered by insertion; Advance picks the earliest due.
		subs []*subscription
	}

	subscription struct {
		due      time.Time
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

// NewManual returns a manual service that starts at the given time.
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

// Advance moves the time forward and fires due subscriptions in order.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	for {
		next := m.earliest(end)
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
	m.subs = append(m.subs, s)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.remove(s)
	}
}

func (m *Manual) earliest(end time.Time) *subscription {
	var first *subscription
	for _, s := range m.subs {
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
	for i, other := range m.subs {
		if other == s {
			m.subs = append(m.subs[:i], m.subs[i+1:]...)
			return
		}
	}
}

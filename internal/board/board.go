// Package board holds state that the controllers of a process share. Each
// Section is a typed, versioned value that they read, replace and watch for
// changes.
package board

import "sync"

type (
	// Section holds one immutable value and its version. It is safe for
	// concurrent use. The zero Section is not usable; call New.
	Section[T any] struct {
		mu sync.Mutex
		// value is replaced, never modified in place.
		value T
		// version increases by one with each write.
		version uint64
		// changed is closed and replaced with each write.
		changed chan struct{}
	}
)

// New returns a section with an initial value at version 0.
func New[T any](initial T) *Section[T] {
	return &Section[T]{value: initial, changed: make(chan struct{})}
}

// Get returns the current value and its version.
func (s *Section[T]) Get() (T, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, s.version
}

// Value returns the current value.
func (s *Section[T]) Value() T {
	v, _ := s.Get()
	return v
}

// Set replaces the value unconditionally.
func (s *Section[T]) Set(v T) { s.Update(func(T) (T, bool) { return v, true }) }

// Update atomically replaces the value with the result of f. The value and the
// version stay unchanged when f returns false. f must not use the section.
func (s *Section[T]) Update(f func(T) (T, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := f(s.value)
	if !ok {
		return
	}
	s.value = v
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed once the section has a version
// higher than seen, the last one that the caller has read.
func (s *Section[T]) Changed(seen uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version > seen {
		done := make(chan struct{})
		close(done)
		return done
	}
	return s.changed
}

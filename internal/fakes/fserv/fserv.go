// Package fserv is a fake of a service without a model, for tests. GET and HEAD
// calls may be retried; all others have an effect, which is counted by call key so
// that tests can detect duplicates.
package fserv

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"shallotcourse/internal/timer"
)

const (
	// KeyHeader is the header with the key under which the effect of a call is
	// counted. Without it Idempotency-Key is used, or else the path.
	KeyHeader = "Call-Key"

	maxBodyBytes = 1 << 20
)

type (
	// Faults are the failures that tests can inject.
	Faults struct {
		// Delay is the wait before the effect of a call, AfterDelay the one after
		// it.
		Delay      time.Duration
		AfterDelay time.Duration
		// Hang delays each answer, after the effect, until Hang is cleared or
		// the caller disconnects.
		Hang bool
		// DropBefore closes the connection before the effect, DropAfter after it.
		DropBefore bool
		DropAfter  bool
		// Drops is the number of connections to close (0: unlimited).
		Drops int
	}

	// Service is the fake service.
	Service struct {
		timer timer.Service

		mu     sync.Mutex
		faults Faults
		// resume is closed when the faults are replaced, which ends a hang.
		resume     chan struct{}
		dropped    int
		effects    map[string]int
		reads      int
		lastNumber int
	}
)

// New returns a fake service.
func New(t timer.Service) *Service {
	return &Service{timer: t, effects: make(map[string]int), resume: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.dropped = f, 0
	close(s.resume)
	s.resume = make(chan struct{})
}

// Effects returns the number of effects by call key.
func (s *Service) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.effects)
}

// Reads returns the number of GET and HEAD calls served.
func (s *Service) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Handler serves the service, and /effects and /faults for tests.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/effects", s.serveEffects).Methods(http.MethodGet)
	r.HandleFunc("/faults", s.serveFaults).Methods(http.MethodPut)
	r.PathPrefix("/").Methods(http.MethodGet, http.MethodHead).HandlerFunc(s.serveRead)
	r.PathPrefix("/").HandlerFunc(s.serveWrite)
	return r
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaultsBefore(r) {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	if !s.applyFaultsAfter(r) {
		panic(http.ErrAbortHandler)
	}
	writeReply(w, http.StatusOK, struct{ Path, Stock string }{r.URL.Path, "in stock"})
}

func (s *Service) serveWrite(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeReply(w, http.StatusBadRequest, struct{ Detail string }{"request body is too large or was cut off"})
		return
	}
	if !s.applyFaultsBefore(r) {
		panic(http.ErrAbortHandler)
	}
	number := s.recordEffect(r)
	if !s.applyFaultsAfter(r) {
		panic(http.ErrAbortHandler)
	}
	writeReply(w, http.StatusCreated, struct {
		Number int
		Path   string
		Bytes  int
	}{number, r.URL.Path, len(body)})
}

// recordEffect counts the effect of a call and returns its serial number.
func (s *Service) recordEffect(r *http.Request) int {
	key := cmp.Or(r.Header.Get(KeyHeader), r.Header.Get("Idempotency-Key"), r.URL.Path)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects[key]++
	s.lastNumber++
	return s.lastNumber
}

// applyFaultsBefore applies the faults that precede the effect. It returns false
// if the connection is to be closed.
func (s *Service) applyFaultsBefore(r *http.Request) bool {
	s.mu.Lock()
	f := s.faults
	drop := f.DropBefore && s.countDrop()
	s.mu.Unlock()
	return s.sleep(r, f.Delay) && !drop
}

// applyFaultsAfter applies the faults that follow the effect. It returns false if
// the connection is to be closed.
func (s *Service) applyFaultsAfter(r *http.Request) bool {
	s.mu.Lock()
	f := s.faults
	drop := f.DropAfter && s.countDrop()
	resume := s.resume
	s.mu.Unlock()
	if f.Hang {
		select {
		case <-resume:
		case <-r.Context().Done():
			return false
		}
	}
	return s.sleep(r, f.AfterDelay) && !drop
}

// countDrop counts a connection to be closed, or returns false if the limit Drops
// is reached. The caller holds the lock.
func (s *Service) countDrop() bool {
	if s.faults.Drops > 0 && s.dropped >= s.faults.Drops {
		return false
	}
	s.dropped++
	return true
}

// sleep waits for d; it returns false if the caller disconnects first.
func (s *Service) sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	done := make(chan struct{})
	cancel := s.timer.After(d, func() { close(done) })
	defer cancel()
	select {
	case <-done:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Service) serveEffects(w http.ResponseWriter, _ *http.Request) {
	writeReply(w, http.StatusOK, s.Effects())
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		writeReply(w, http.StatusBadRequest, struct{ Detail string }{"request body is not valid JSON"})
		return
	}
	s.SetFaults(f)
	writeReply(w, http.StatusOK, struct{}{})
}

func writeReply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

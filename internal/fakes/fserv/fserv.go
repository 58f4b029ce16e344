// Package fserv is a stand-in for a plain service with calls that may be
// repeated and calls that may not. It counts the effects of each call key.
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
	// KeyHeader identifies a call in the effect counts. Calls without it are
	// counted under their Idempotency-Key, or else under their path.
	KeyHeader = "Call-Key"

	maxBodyBytes = 1 << 20
)

type (
	// Faults are switched by tests.
	Faults struct {
		// Delay is added before the effect; AfterDelay after it.
		Delay      time.Duration
		AfterDelay time.Duration
		// Hang holds each answer, after the effect, until it is cleared or
		// the caller goes away.
		Hang bool
		// DropBefore closes the connection before the effect, DropAfter after.
		DropBefore bool
		DropAfter  bool
		// Drops bounds the number of connections dropped (0: no bound).
		Drops int
	}

	// Service is the stand-in.
	Service struct {
		timer timer.Service

		mu     sync.Mutex
		faults Faults
		// resume is closed when a hang ends.
		resume  chan struct{}
		dropped int
		effects map[string]int
		reads   int
		next    int
	}
)

// New returns a stand-in service.
func New(t timer.Service) *Service {
	return &Service{timer: t, effects: make(map[string]int), resume: make(chan struct{})}
}

// SetFaults replaces the fault switches.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.dropped = f, 0
	close(s.resume)
	s.resume = make(chan struct{})
}

// Effects returns how often each call key took effect.
func (s *Service) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.effects)
}

// Reads returns the number of reads served.
func (s *Service) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Handler serves the service, its counters and its fault switches.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/effects", s.serveEffects).Methods(http.MethodGet)
	r.HandleFunc("/faults", s.serveFaults).Methods(http.MethodPut)
	r.PathPrefix("/").Methods(http.MethodGet, http.MethodHead).HandlerFunc(s.serveRead)
	r.PathPrefix("/").HandlerFunc(s.serveWrite)
	return r
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	if !s.before(r) {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	if !s.after(r) {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, struct{ Path, Stock string }{r.URL.Path, "in stock"})
}

func (s *Service) serveWrite(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		answer(w, http.StatusBadRequest, struct{ Detail string }{"body does not read"})
		return
	}
	if !s.before(r) {
		panic(http.ErrAbortHandler)
	}
	number := s.effect(r)
	if !s.after(r) {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusCreated, struct {
		Number int
		Path   string
		Bytes  int
	}{number, r.URL.Path, len(body)})
}

func (s *Service) effect(r *http.Request) int {
	key := cmp.Or(r.Header.Get(KeyHeader), r.Header.Get("Idempotency-Key"), r.URL.Path)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects[key]++
	s.next++
	return s.next
}

// before applies the faults that precede the effect; false drops the
// connection.
func (s *Service) before(r *http.Request) bool {
	s.mu.Lock()
	f := s.faults
	drop := f.DropBefore && s.mayDrop()
	s.mu.Unlock()
	return s.wait(r, f.Delay) && !drop
}

// after applies the faults that follow the effect.
func (s *Service) after(r *http.Request) bool {
	s.mu.Lock()
	f := s.faults
	drop := f.DropAfter && s.mayDrop()
	resume := s.resume
	s.mu.Unlock()
	if f.Hang {
		select {
		case <-resume:
		case <-r.Context().Done():
			return false
		}
	}
	return s.wait(r, f.AfterDelay) && !drop
}

// mayDrop counts a drop against its bound. The caller holds the lock.
func (s *Service) mayDrop() bool {
	if s.faults.Drops > 0 && s.dropped >= s.faults.Drops {
		return false
	}
	s.dropped++
	return true
}

func (s *Service) wait(r *http.Request, d time.Duration) bool {
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
	answer(w, http.StatusOK, s.Effects())
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		answer(w, http.StatusBadRequest, struct{ Detail string }{"body does not decode"})
		return
	}
	s.SetFaults(f)
	answer(w, http.StatusOK, struct{}{})
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

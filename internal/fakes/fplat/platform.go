// Package fplat is a fake of the platform for tests: a transactional table, an
// object store, a lagging instance list and a rate-limited weight store, all in
// memory. Faults are injected over HTTP.
package fplat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/timer"
	"shallotcourse/pkg/resrc"
)

const (
	// maxBodyBytes is the largest request body.
	maxBodyBytes = 16 << 20
	// maxRowBytes is the largest value of a table row.
	maxRowBytes = 1 << 20
	// maxTxnWrites is the maximum number of writes in one transaction.
	maxTxnWrites = 128
	// maxListRows is the maximum number of rows in one page of a listing.
	maxListRows = 1000
)

type (
	// Platform is the fake platform. It implements http.Handler.
	Platform struct {
		clock  timer.Service
		router *mux.Router

		mu sync.Mutex
		// rows holds the table by key, without deleted rows.
		rows map[string]plat.Row
		// keys holds the keys of rows, sorted.
		keys []string
		// lastVersion is shared by all keys, so that a row that is deleted and
		// created again never gets a version that it had before.
		lastVersion uint64
		objects     map[string][]byte
		// lists holds all versions of the instance list, the oldest first.
		lists  []listVersion
		faults Faults
		counts Counts
		random *rand.Rand
		// reads, writes and weights limit the rates to those in faults.
		reads, writes, weights *plat.Bucket
	}

	// Faults are the injected faults. The zero value is a healthy platform
	// without limits.
	Faults struct {
		// Outage answers every request to the table, the object store, the
		// instance list and the weight store with status 503.
		Outage bool
		// Silent accepts requests, but neither executes nor answers them.
		Silent bool
		// Delay is the time that each request waits before it is executed.
		Delay resrc.Duration
		// LoseAnswers is the number of next writes that are executed but whose
		// connection is closed instead of an answer.
		LoseAnswers int
		// LoseRequests is the number of next writes that are not executed and
		// whose connection is closed.
		LoseRequests int
		// LoseProbability is the probability that a write is executed but not
		// answered.
		LoseProbability float64
		// LateProbability is the probability that the connection of a write is
		// closed, and the write executed LateBy later.
		LateProbability float64
		LateBy          resrc.Duration
		// ListLag is the age of the instance list that is served.
		ListLag resrc.Duration
		// The rate limits; 0 is unlimited.
		ReadsPerSecond       float64
		WritesPerSecond      float64
		WeightBytesPerSecond float64
		// Seed is the seed of the random losses.
		Seed uint64
	}

	// Counts counts requests, injected losses and reserved bytes since the
	// start. Limited are the requests refused by the rate limits.
	Counts struct {
		Reads       int64
		Writes      int64
		Conflicts   int64
		Limited     int64
		Lost        int64
		ListReads   int64
		WeightBytes int64
	}

	listVersion struct {
		since time.Time
		list  []plat.Instance
	}
)

// New returns an empty, healthy platform.
func New(clock timer.Service) *Platform {
	p := &Platform{
		clock: clock, router: mux.NewRouter(), rows: map[string]plat.Row{}, objects: map[string][]byte{},
	}
	p.SetFaults(Faults{})
	r := p.router
	r.Handle("/table/row", p.withFaults(p.readRow, false)).Methods(http.MethodGet)
	r.Handle("/table/rows", p.withFaults(p.listRows, false)).Methods(http.MethodGet)
	r.Handle("/table/commit", p.withFaults(p.commit, true)).Methods(http.MethodPost)
	r.Handle("/object", p.withFaults(p.getObject, false)).Methods(http.MethodGet)
	r.Handle("/object", p.withFaults(p.putObject, true)).Methods(http.MethodPut)
	r.Handle("/instances", p.withFaults(p.listInstances, false)).Methods(http.MethodGet)
	r.Handle("/weights/reserve", p.withFaults(p.reserve, true)).Methods(http.MethodPost)
	// The endpoints below control the fake; faults do not apply to them.
	r.HandleFunc("/instances/{Name}", p.putInstance).Methods(http.MethodPut)
	r.HandleFunc("/instances/{Name}", p.deleteInstance).Methods(http.MethodDelete)
	r.HandleFunc("/faults", p.getFaults).Methods(http.MethodGet)
	r.HandleFunc("/faults", p.putFaults).Methods(http.MethodPut)
	r.HandleFunc("/counts", p.getCounts).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	p.router.ServeHTTP(w, r)
}

// SetFaults replaces all injected faults and refills the rate limiters.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.random = rand.New(rand.NewPCG(f.Seed, f.Seed))
	p.reads = plat.NewBucket(f.ReadsPerSecond, int(f.ReadsPerSecond/4)+1)
	p.writes = plat.NewBucket(f.WritesPerSecond, int(f.WritesPerSecond/4)+1)
	p.weights = plat.NewBucket(f.WeightBytesPerSecond, int(f.WeightBytesPerSecond))
}

// Counts returns a copy of the counters.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// withFaults wraps a handler of the platform with the injected faults; effect is
// true for writes. The handler returns the value to be sent as JSON, or bytes to
// be sent as they are.
func (p *Platform) withFaults(handle func(*http.Request) (any, error), effect bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, err := p.admit(effect)
		if err != nil {
			fault.WriteBody(w, err)
			return
		}
		// net/http detects a closed connection only after the body has been
		// read.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			fault.WriteBody(w, fault.New(fault.TooLarge, "request body is too large or was cut off").WithCause(err))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if f.Silent {
			<-r.Context().Done()
			return
		}
		if err := timer.Sleep(r.Context(), p.clock, time.Duration(f.Delay)); err != nil {
			return
		}
		if effect && p.takeOne(func(f *Faults) *int { return &f.LoseRequests }) {
			panic(http.ErrAbortHandler)
		}
		if effect && p.randomLoss(func(f Faults) float64 { return f.LateProbability }) {
			p.handleLate(r, time.Duration(f.LateBy), handle)
			panic(http.ErrAbortHandler)
		}
		answer, err := handle(r)
		if effect && p.loseAnswer() {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			fault.WriteBody(w, err)
			return
		}
		writeReply(w, answer)
	})
}

// admit counts a request and applies Outage and the rate limits.
func (p *Platform) admit(effect bool) (Faults, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bucket, count := p.reads, &p.counts.Reads
	if effect {
		bucket, count = p.writes, &p.counts.Writes
	}
	*count++
	if p.faults.Outage {
		return p.faults, fault.New(fault.Unavailable, "injected fault: platform outage")
	}
	if wait, ok := bucket.Take(p.clock.Now(), 1); !ok {
		p.counts.Limited++
		return p.faults, fault.New(fault.Overloaded, "rate limit of the platform exceeded").WithRetryAfter(wait)
	}
	return p.faults, nil
}

// loseAnswer reports whether the answer to a write is to be lost.
func (p *Platform) loseAnswer() bool {
	return p.takeOne(func(f *Faults) *int { return &f.LoseAnswers }) ||
		p.randomLoss(func(f Faults) float64 { return f.LoseProbability })
}

// handleLate executes a request after d, when its connection has been closed.
func (p *Platform) handleLate(r *http.Request, d time.Duration, handle func(*http.Request) (any, error)) {
	late := r.Clone(context.Background())
	p.clock.After(d, func() { _, _ = handle(late) })
}

// randomLoss draws whether a fault of the given probability happens, and counts
// it as lost.
func (p *Platform) randomLoss(probability func(Faults) float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := probability(p.faults)
	if share <= 0 || p.random.Float64() >= share {
		return false
	}
	p.counts.Lost++
	return true
}

// takeOne decrements a counter in faults, or returns false if it is 0.
func (p *Platform) takeOne(counter func(*Faults) *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := counter(&p.faults)
	if *n <= 0 {
		return false
	}
	*n--
	p.counts.Lost++
	return true
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	writeReply(w, f)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := readJSON(r, &f); err != nil {
		fault.WriteBody(w, err)
		return
	}
	p.SetFaults(f)
	writeReply(w, f)
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) { writeReply(w, p.Counts()) }

func writeReply(w http.ResponseWriter, answer any) {
	if raw, ok := answer.([]byte); ok {
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(raw)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func readJSON(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fault.New(fault.BadInput, "request body is not valid JSON of this endpoint").WithCause(err)
	}
	return nil
}

// Package fplat is the stand-in platform: a transactional table, an object
// store, a lagging instance list and a rate-limited weight store, in memory,
// with fault switches over HTTP.
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
	// maxBodyBytes bounds one request.
	maxBodyBytes = 16 << 20
	// maxRowBytes bounds one row of the table.
	maxRowBytes = 1 << 20
	// maxTxnWrites bounds the writes of one transaction.
	maxTxnWrites = 128
	// maxListRows bounds one page of rows.
	maxListRows = 1000
)

type (
	// Platform is the stand-in. It implements http.Handler.
	Platform struct {
		clock  timer.Service
		router *mux.Router

		mu sync.Mutex
		// rows holds the live rows of the table.
		rows map[string]plat.Row
		// keys holds the keys of rows in order.
		keys []string
		// lastVersion is shared by all keys, so that a row that is deleted
		// and made again never has an earlier version again.
		lastVersion uint64
		objects     map[string][]byte
		// lists holds the instance list with the time of each change.
		lists  []datedList
		faults Faults
		counts Counts
		random *rand.Rand
		// The buckets follow the rates in faults.
		reads, writes, weights *plat.Bucket
	}

	// Faults are the switches. The zero value is a healthy platform.
	Faults struct {
		// Outage refuses every request of the table, the objects, the list
		// and the weights with 503.
		Outage bool
		// Silent accepts requests and answers none, without any effect.
		Silent bool
		// Delay is added before each request takes effect.
		Delay resrc.Duration
		// LoseAnswers is the number of next writes that take effect and whose
		// answer is lost.
		LoseAnswers int
		// LoseRequests is the number of next writes that are lost before they
		// take effect.
		LoseRequests int
		// LoseProbability is the share of writes that lose their answer after
		// they took effect.
		LoseProbability float64
		// LateProbability is the share of writes that lose their connection and
		// take effect only LateBy later.
		LateProbability float64
		LateBy          resrc.Duration
		// ListLag is the age of the instance list that is shown.
		ListLag resrc.Duration
		// Rates are not bounded when 0.
		ReadsPerSecond       float64
		WritesPerSecond      float64
		WeightBytesPerSecond float64
		// Seed makes the losses by probability repeatable.
		Seed uint64
	}

	// Counts are the requests that reached the stand-in since its start.
	Counts struct {
		Reads       int64
		Writes      int64
		Conflicts   int64
		Limited     int64
		Lost        int64
		ListReads   int64
		WeightBytes int64
	}

	datedList struct {
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
	r.Handle("/table/row", p.guard(p.readRow, false)).Methods(http.MethodGet)
	r.Handle("/table/rows", p.guard(p.listRows, false)).Methods(http.MethodGet)
	r.Handle("/table/commit", p.guard(p.commit, true)).Methods(http.MethodPost)
	r.Handle("/object", p.guard(p.getObject, false)).Methods(http.MethodGet)
	r.Handle("/object", p.guard(p.putObject, true)).Methods(http.MethodPut)
	r.Handle("/instances", p.guard(p.listInstances, false)).Methods(http.MethodGet)
	r.Handle("/weights/reserve", p.guard(p.reserve, true)).Methods(http.MethodPost)
	// The switches below are not part of the platform: faults don't apply.
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

// SetFaults replaces all switches.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.random = rand.New(rand.NewPCG(f.Seed, f.Seed))
	p.reads = plat.NewBucket(f.ReadsPerSecond, int(f.ReadsPerSecond/4)+1)
	p.writes = plat.NewBucket(f.WritesPerSecond, int(f.WritesPerSecond/4)+1)
	p.weights = plat.NewBucket(f.WeightBytesPerSecond, int(f.WeightBytesPerSecond))
}

// Counts returns the requests so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// guard applies the faults before and after a request of the platform. The
// handler returns the answer to be sent as JSON, or raw bytes.
func (p *Platform) guard(handle func(*http.Request) (any, error), effect bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, err := p.admit(effect)
		if err != nil {
			fault.WriteBody(w, err)
			return
		}
		// The server notices that the client has gone only once the body has
		// been read.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			fault.WriteBody(w, fault.New(fault.TooLarge, "the body does not fit").WithCause(err))
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
		if effect && p.use(func(f *Faults) *int { return &f.LoseRequests }) {
			panic(http.ErrAbortHandler)
		}
		if effect && p.chance(func(f Faults) float64 { return f.LateProbability }) {
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
		reply(w, answer)
	})
}

// admit counts a request and applies the outage and the rates.
func (p *Platform) admit(effect bool) (Faults, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bucket, count := p.reads, &p.counts.Reads
	if effect {
		bucket, count = p.writes, &p.counts.Writes
	}
	*count++
	if p.faults.Outage {
		return p.faults, fault.New(fault.Unavailable, "outage")
	}
	if wait, ok := bucket.Take(p.clock.Now(), 1); !ok {
		p.counts.Limited++
		return p.faults, fault.New(fault.Overloaded, "the rate limit is reached").WithRetryAfter(wait)
	}
	return p.faults, nil
}

func (p *Platform) loseAnswer() bool {
	return p.use(func(f *Faults) *int { return &f.LoseAnswers }) ||
		p.chance(func(f Faults) float64 { return f.LoseProbability })
}

// handleLate lets a request take effect after its connection was lost.
func (p *Platform) handleLate(r *http.Request, d time.Duration, handle func(*http.Request) (any, error)) {
	late := r.Clone(context.Background())
	p.clock.After(d, func() { _, _ = handle(late) })
}

// chance decides by a probability of the switches.
func (p *Platform) chance(probability func(Faults) float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := probability(p.faults)
	if share <= 0 || p.random.Float64() >= share {
		return false
	}
	p.counts.Lost++
	return true
}

// use takes one from a counter of the switches, or returns false at 0.
func (p *Platform) use(counter func(*Faults) *int) bool {
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
	reply(w, f)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := readJSON(r, &f); err != nil {
		fault.WriteBody(w, err)
		return
	}
	p.SetFaults(f)
	reply(w, f)
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) { reply(w, p.Counts()) }

func reply(w http.ResponseWriter, answer any) {
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
		return fault.New(fault.BadInput, "the body does not decode").WithCause(err)
	}
	return nil
}

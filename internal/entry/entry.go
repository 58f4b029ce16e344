// Package entry implements the entry process: it accepts requests from callers,
// applies admission control, runs a coordinator for each open model request,
// and dispatches calls to services.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"shallotcourse/internal/board"
	"shallotcourse/internal/link"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/route"
	"shallotcourse/internal/store"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

type (
	// Links opens and closes links to agents.
	Links interface {
		// Want keeps a link to the address until Unwant has been called as
		// often as Want.
		Want(address string)
		Unwant(address string)
	}

	// Tokenizer converts text to tokens and back. Decode may return an
	// incomplete UTF-8 sequence, which later tokens complete.
	Tokenizer interface {
		Encode(text string) []uint32
		Decode(tokens []uint32) string
	}

	// Config holds the settings and dependencies of an entry. Zero bounds take
	// their defaults.
	Config struct {
		Instance    string
		Incarnation string
		DataCentre  string
		Region      string
		Timer       timer.Service
		Log         log.Logger
		Snapshot    *board.Section[store.Snapshot]
		Links       Links
		// Table stores the claims of calls with an idempotency key. It may be
		// nil only if no such calls are made.
		Table     plat.Table
		Tokenizer Tokenizer
		// Entries returns the number of entries that the platform lists. If it
		// is nil or returns less than the number of linked entries, the linked
		// entries are counted.
		Entries func() int
		Metrics *metrics.Set
		// Seed seeds the random sources; 0 selects a random seed.
		Seed uint64
		// Bounds are the limits of this process.
		Bounds Bounds
	}

	// Entry is an entry process. It implements link.Handler.
	Entry struct {
		cfg    Config
		bounds Bounds
		// view is the state of the targets as known to this entry.
		view *board.Section[route.View]
		// openCounters holds, by target name, an *atomic.Int64 with the number
		// of requests and calls that this entry has open at the target.
		openCounters sync.Map
		// linked holds the agent addresses that this entry has asked to keep
		// linked; guarded by linkMu.
		linked map[string]bool
		linkMu sync.Mutex
		// accountByKeyDigest maps SHA-256 digests of API keys, in hex, to
		// account names. The map is never modified, only replaced.
		accountByKeyDigest atomic.Pointer[map[string]string]
		requests           *registry
		waiters            *outcomeWaiters
		peers              *peers
		admission          *admission
		batcher            *batcher
		metrics            *entryMetrics
		// draining is set by Drain once the balancer's lag has passed; new
		// requests are refused from then on.
		draining atomic.Bool
		// unready is set at the start of Drain.
		unready atomic.Bool
		random  *randomPool
		handler http.Handler
	}

	// randomPool provides random sources to concurrent callers, since a
	// rand.Rand must not be used concurrently.
	randomPool struct{ pool sync.Pool }
)

var _ link.Handler = (*Entry)(nil)

// New returns an entry. Run has to be running while requests are served.
func New(cfg Config) *Entry {
	if cfg.Log == nil {
		cfg.Log = log.NewNopLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	e := &Entry{
		cfg:      cfg,
		bounds:   cfg.Bounds.withDefaults(),
		view:     board.New(route.View{}),
		requests: newRegistry(),
		waiters:  newOutcomeWaiters(),
		peers:    newPeers(),
		random:   newRandomPool(cfg.Seed),
	}
	e.metrics = newEntryMetrics(cfg.Metrics, e)
	e.admission = newAdmission(e)
	e.batcher = newBatcher(cfg.Table)
	e.handler = e.routes()
	e.applySnapshot(cfg.Snapshot.Value())
	return e
}

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler { return e.handler }

// View returns the section that holds the entry's view of the targets.
func (e *Entry) View() *board.Section[route.View] { return e.view }

// Ready reports whether the balancer may send new requests.
func (e *Entry) Ready() bool { return !e.unready.Load() }

// OpenRequests returns the number of open requests and calls.
func (e *Entry) OpenRequests() int { return int(e.metrics.open.Load()) }

// Run follows the configuration and runs the background tasks until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.followConfig(ctx) })
	wg.Go(func() { e.batcher.run(ctx) })
	wg.Go(func() { e.admission.run(ctx) })
	if e.cfg.Table != nil {
		wg.Go(func() { (&sweeper{entry: e}).run(ctx) })
	}
	wg.Wait()
}

// Drain makes Ready report false at once, but admits requests until the
// balancer's lag has passed. It returns when the last open request has ended or
// ctx ends.
func (e *Entry) Drain(ctx context.Context) {
	e.unready.Store(true)
	e.sleep(ctx, e.bounds.BalancerLag)
	e.draining.Store(true)
	for e.OpenRequests() > 0 && ctx.Err() == nil {
		e.sleep(ctx, 20*time.Millisecond)
	}
}

// sleep waits for d on the timer service, or until ctx ends.
func (e *Entry) sleep(ctx context.Context, d time.Duration) {
	done := make(chan struct{})
	cancel := e.cfg.Timer.After(d, func() { close(done) })
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// followConfig applies the configuration, and applies it again after each new
// snapshot and each change of the number of entries, which determines the
// agents to link.
func (e *Entry) followConfig(ctx context.Context) {
	recheck, stop := e.cfg.Timer.Every(entryCountInterval)
	defer stop()
	for {
		snap, version := e.cfg.Snapshot.Get()
		entries := e.entryCount()
		e.applySnapshot(snap)
		if !e.awaitChange(ctx, version, entries, recheck) {
			return
		}
	}
}

// awaitChange waits for a newer snapshot or another number of entries. It
// returns false when ctx ends.
func (e *Entry) awaitChange(ctx context.Context, version uint64, entries int, recheck <-chan time.Time) bool {
	for {
		select {
		case <-e.cfg.Snapshot.Changed(version):
			return true
		case <-recheck:
			if e.entryCount() != entries {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// applySnapshot updates the API keys, the targets and the links from a
// snapshot.
func (e *Entry) applySnapshot(snap store.Snapshot) {
	keys := map[string]string{}
	for _, r := range snap.List(resrc.KindClientAccount) {
		if a, ok := r.Spec.(resrc.ClientAccount); ok {
			for _, h := range a.KeyHashes {
				keys[h] = r.Name
			}
		}
	}
	e.accountByKeyDigest.Store(&keys)
	targets := snap.List(resrc.KindTarget)
	e.view.Update(func(v route.View) (route.View, bool) { return v.WithSpecs(targets), true })
	e.setLinks(e.agentsToLink(targets))
}

// openCounter returns the counter of the requests and calls that this entry has
// open at a target.
func (e *Entry) openCounter(target string) *atomic.Int64 {
	if c, ok := e.openCounters.Load(target); ok {
		return c.(*atomic.Int64)
	}
	c, _ := e.openCounters.LoadOrStore(target, new(atomic.Int64))
	return c.(*atomic.Int64)
}

// openCount returns the number of requests and calls that this entry has open
// at a target.
func (e *Entry) openCount(target string) int { return int(e.openCounter(target).Load()) }

// applyLoad updates the view with a load report.
func (e *Entry) applyLoad(l wire.Load) {
	open := e.openCount(l.Target)
	e.view.Update(func(v route.View) (route.View, bool) { return v.WithLoad(l, open), true })
}

func newRandomPool(seed uint64) *randomPool {
	if seed == 0 {
		seed = rand.Uint64()
	}
	var n atomic.Uint64
	s := &randomPool{}
	s.pool.New = func() any { return rand.New(rand.NewPCG(seed, n.Add(1))) }
	return s
}

// with calls f with a random source that no other goroutine uses meanwhile.
func (s *randomPool) with(f func(*rand.Rand)) {
	r := s.pool.Get().(*rand.Rand)
	defer s.pool.Put(r)
	f(r)
}

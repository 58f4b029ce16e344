// Package entry wires an entry process: the caller interface, admission, the
// coordinator of open requests and the dispatch of service calls.
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
	// Links keeps links to agents.
	Links interface {
		// Want keeps an address connected until Unwant has been called as
		// often as Want.
		Want(address string)
		Unwant(address string)
	}

	// Tokenizer turns text into tokens and back. Decode may return a part of
	// a character, which the next token completes.
	Tokenizer interface {
		Encode(text string) []uint32
		Decode(tokens []uint32) string
	}

	// Config holds what an entry needs. Zero durations and bounds take their
	// defaults.
	Config struct {
		Instance    string
		Incarnation string
		DataCentre  string
		Region      string
		Timer       timer.Service
		Log         log.Logger
		Snapshot    *board.Section[store.Snapshot]
		Links       Links
		// Table keeps the claims of keyed calls; nil only where none are made.
		Table     plat.Table
		Tokenizer Tokenizer
		// Entries counts all entries that the platform lists; nil or a smaller
		// number than the linked ones counts those.
		Entries func() int
		Metrics *metrics.Set
		// Seed starts the random source; 0 takes a random one.
		Seed uint64
		// Bounds are the limits of this process.
		Bounds Bounds
	}

	// Entry is one entry process. It implements link.Handler.
	Entry struct {
		cfg    Config
		bounds Bounds
		// view is what this entry knows of the targets.
		view *board.Section[route.View]
		// own counts the entry's open work by target name.
		own sync.Map
		// linked holds the addresses that this entry wants linked.
		linked map[string]bool
		linkMu sync.Mutex
		// keys maps key digests to accounts; replaced as a whole.
		keys  atomic.Pointer[map[string]string]
		open  *registry
		calls *pending
		peers *peers
		admit *admission
		batch *batcher
		meter *meter
		// draining is set by Drain once the balancer's lag has passed.
		draining atomic.Bool
		// unready is set at the start of Drain.
		unready atomic.Bool
		random  *sources
		handler http.Handler
	}

	// sources hands out random sources, since one source must not be shared.
	sources struct{ pool sync.Pool }
)

var _ link.Handler = (*Entry)(nil)

// New returns an entry; Run must run before requests are served.
func New(cfg Config) *Entry {
	if cfg.Log == nil {
		cfg.Log = log.NewNopLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	e := &Entry{
		cfg:    cfg,
		bounds: cfg.Bounds.withDefaults(),
		view:   board.New(route.View{}),
		open:   newRegistry(),
		calls:  newPending(),
		peers:  newPeers(),
		random: newSources(cfg.Seed),
	}
	e.meter = newMeter(cfg.Metrics, e)
	e.admit = newAdmission(e)
	e.batch = newBatcher(cfg.Table)
	e.handler = e.routes()
	e.configure(cfg.Snapshot.Value())
	return e
}

// Handler returns the caller interface.
func (e *Entry) Handler() http.Handler { return e.handler }

// View returns the section with the entry's view of the targets.
func (e *Entry) View() *board.Section[route.View] { return e.view }

// Ready reports whether the balancer may send new requests.
func (e *Entry) Ready() bool { return !e.unready.Load() }

// Open returns the number of open requests and calls.
func (e *Entry) Open() int { return int(e.meter.open.Load()) }

// Run follows the configuration and keeps the periodic work going until ctx
// ends.
func (e *Entry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.follow(ctx) })
	wg.Go(func() { e.batch.run(ctx) })
	wg.Go(func() { e.admit.run(ctx) })
	if e.cfg.Table != nil {
		wg.Go(func() { (&sweeper{entry: e}).run(ctx) })
	}
	wg.Wait()
}

// Drain fails readiness at once, admits requests until the balancer's lag has
// passed, and returns when the last open request has ended or ctx ends.
func (e *Entry) Drain(ctx context.Context) {
	e.unready.Store(true)
	e.sleep(ctx, e.bounds.BalancerLag)
	e.draining.Store(true)
	for e.Open() > 0 && ctx.Err() == nil {
		e.sleep(ctx, 20*time.Millisecond)
	}
}

// sleep waits by the timer service; it returns early when ctx ends.
func (e *Entry) sleep(ctx context.Context, d time.Duration) {
	done := make(chan struct{})
	cancel := e.cfg.Timer.After(d, func() { close(done) })
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// follow applies each new configuration snapshot, and links anew when the
// number of entries changes.
func (e *Entry) follow(ctx context.Context) {
	review, stop := e.cfg.Timer.Every(reviewLinks)
	defer stop()
	for {
		snap, version := e.cfg.Snapshot.Get()
		entries := e.entryCount()
		e.configure(snap)
		if !e.awaitChange(ctx, version, entries, review) {
			return
		}
	}
}

// awaitChange waits for another snapshot or another number of entries; false
// when ctx ends.
func (e *Entry) awaitChange(ctx context.Context, version uint64, entries int, review <-chan time.Time) bool {
	for {
		select {
		case <-e.cfg.Snapshot.Changed(version):
			return true
		case <-review:
			if e.entryCount() != entries {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// configure takes over the accounts and targets of a snapshot.
func (e *Entry) configure(snap store.Snapshot) {
	keys := map[string]string{}
	for _, r := range snap.List(resrc.KindClientAccount) {
		if a, ok := r.Spec.(resrc.ClientAccount); ok {
			for _, h := range a.KeyHashes {
				keys[h] = r.Name
			}
		}
	}
	e.keys.Store(&keys)
	targets := snap.List(resrc.KindTarget)
	e.view.Update(func(v route.View) (route.View, bool) { return v.WithSpecs(targets), true })
	e.link(e.wanted(targets))
}

// ownWork returns the counter of the entry's open work at a target.
func (e *Entry) ownWork(target string) *atomic.Int64 {
	if c, ok := e.own.Load(target); ok {
		return c.(*atomic.Int64)
	}
	c, _ := e.own.LoadOrStore(target, new(atomic.Int64))
	return c.(*atomic.Int64)
}

func (e *Entry) ownCount(target string) int { return int(e.ownWork(target).Load()) }

// load takes over a load report.
func (e *Entry) load(l wire.Load) {
	own := e.ownCount(l.Target)
	e.view.Update(func(v route.View) (route.View, bool) { return v.WithLoad(l, own), true })
}

func newSources(seed uint64) *sources {
	if seed == 0 {
		seed = rand.Uint64()
	}
	var n atomic.Uint64
	s := &sources{}
	s.pool.New = func() any { return rand.New(rand.NewPCG(seed, n.Add(1))) }
	return s
}

// with runs f with a random source of its own.
func (s *sources) with(f func(*rand.Rand)) {
	r := s.pool.Get().(*rand.Rand)
	defer s.pool.Put(r)
	f(r)
}

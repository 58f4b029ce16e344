// Package fengn is a stand-in for a model engine. It batches steps as real
// engines do, charges time for them, and folds every layer run into its
// output, so that a wrong order of work shows in the answer.
package fengn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
	"shallotcourse/pkg/resrc"
)

type (
	// Cost is the time of one iteration of an accelerator kind.
	Cost struct {
		Base     time.Duration
		PerToken time.Duration
	}

	// Config sets up a stand-in engine.
	Config struct {
		Timer timer.Service
		Cost  Cost
		// BatchTokens bounds the positions of one iteration.
		BatchTokens int
		// CacheBlocks bounds the prefix cache; BlockTokens is a block's size.
		CacheBlocks int
		BlockTokens int
		// EventLag delays cache events; each EventGap-th event is lost (0:
		// none).
		EventLag time.Duration
		EventGap int
		// LoadLag is the age of load reports.
		LoadLag time.Duration
		// LoadTime is the fixed time of an order; the weights are read at
		// LoadBytesPerSecond on top (0: at once).
		LoadTime           time.Duration
		LoadBytesPerSecond int64
		// SessionIdle is the time after which an unused session is freed.
		SessionIdle time.Duration
		// IgnoreFence accepts orders with an old fencing token.
		IgnoreFence bool
		// Endless keeps tokens from ending an answer.
		Endless bool
		// Held is what the engine holds at the start.
		Held engine.State
	}

	// Faults are switched by tests.
	Faults struct {
		RefuseSteps    bool
		RefuseSessions bool
		RefuseOrders   bool
		// Delay is added to each iteration.
		Delay time.Duration
		// Hang stops iterations and answers until it is cleared; requests are
		// accepted meanwhile.
		Hang bool
	}

	// Engine is the stand-in.
	Engine struct {
		cfg Config

		mu       sync.Mutex
		faults   Faults
		sessions map[string]*session
		// queue holds steps with positions that have not been answered.
		queue   []*step
		arrival uint64
		// running is set while an iteration or a hang is under way.
		running bool
		batch   []slice
		cache   *cache
		state   engine.State
		// fence is the highest fencing token seen.
		fence   uint64
		swept   time.Time
		stats   Stats
		reports []timedReport
	}

	// step is one waiting request.
	step struct {
		session  *session
		inputs   []uint64
		position int
		arrival  uint64
		// done counts the positions that have been run or found kept.
		done int
		// index names the step to reply, which has room for its answer.
		index int
		reply chan<- ended
	}

	// ended is the end of a step.
	ended struct {
		step *step
		err  error
	}

	// slice is the part of a step that runs in an iteration.
	slice struct {
		step  *step
		count int
	}
)

var errClosed = fault.New(fault.NotFound, "session is not open")

// New returns a stand-in engine.
func New(cfg Config) *Engine {
	cfg.BatchTokens = cmp.Or(cfg.BatchTokens, 2048)
	cfg.BlockTokens = cmp.Or(cfg.BlockTokens, 16)
	cfg.SessionIdle = cmp.Or(cfg.SessionIdle, time.Minute)
	cfg.CacheBlocks = cmp.Or(cfg.CacheBlocks, 4096)
	if cfg.Timer == nil {
		cfg.Timer = timer.System{}
	}
	e := &Engine{cfg: cfg, sessions: make(map[string]*session), state: cfg.Held}
	e.cache = newCache(cfg)
	e.stats.Runs = make(map[string][]int)
	return e
}

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if !f.Hang && e.running && e.batch == nil {
		e.running = false
	}
	e.begin()
}

// end reports the end of a step.
func (st *step) end(err error) { st.reply <- ended{st, err} }

// submit queues a step, whose end is sent to reply.
func (e *Engine) submit(b engine.BatchStep, index int, reply chan<- ended) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.begin()
	return e.enqueue(b, index, reply)
}

// submitAll queues steps that came together, so that they can share an
// iteration. A failure is sent to reply too.
func (e *Engine) submitAll(steps []engine.BatchStep, index int, reply chan<- ended) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.begin()
	for i, b := range steps {
		if err := e.enqueue(b, index+i, reply); err != nil {
			reply <- ended{&step{index: index + i}, err}
		}
	}
}

// enqueue is called under the lock.
func (e *Engine) enqueue(b engine.BatchStep, index int, reply chan<- ended) error {
	inputs, err := decodeInputs(e.state.Layers.From == 0, b.Count, b.Data)
	if err != nil {
		return err
	}
	id, position := b.Session, b.Position
	if e.faults.RefuseSteps {
		return fault.New(fault.Unavailable, "steps are refused")
	}
	s, ok := e.sessions[id]
	if !ok {
		return errClosed
	}
	if position < 0 || position > s.queued {
		return fault.Newf(fault.Conflict, "position %d is beyond the next position %d", position, s.queued)
	}
	e.arrival++
	st := &step{session: s, inputs: inputs, position: position, arrival: e.arrival, index: index, reply: reply}
	s.queued = max(s.queued, position+len(inputs))
	s.used = e.cfg.Timer.Now()
	e.queue = append(e.queue, st)
	return nil
}

// begin starts an iteration unless one is running. The caller holds the lock.
func (e *Engine) begin() {
	if e.running || len(e.queue) == 0 {
		return
	}
	e.running = true
	if e.faults.Hang {
		return
	}
	slices.SortStableFunc(e.queue, func(a, b *step) int {
		if c := cmp.Compare(b.session.request.Priority, a.session.request.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.arrival, b.arrival)
	})
	tokens := 0
	e.batch = make([]slice, 0, len(e.queue))
	for _, st := range e.queue {
		n := min(len(st.inputs)-st.done, e.cfg.BatchTokens-tokens)
		if n <= 0 {
			break
		}
		tokens += n
		e.batch = append(e.batch, slice{st, n})
	}
	cost := e.cfg.Cost.Base + time.Duration(tokens)*e.cfg.Cost.PerToken + e.faults.Delay
	e.cfg.Timer.After(cost, e.finish)
}

// finish ends an iteration: results become visible and the next one begins.
func (e *Engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Hang {
		// The iteration ends late; its results are kept until the hang ends.
		e.cfg.Timer.After(10*time.Millisecond, e.finish)
		return
	}
	for _, s := range e.batch {
		e.runSlice(s)
	}
	e.batch = nil
	e.queue = slices.DeleteFunc(e.queue, func(st *step) bool { return st.done == len(st.inputs) || st.session.closed })
	e.running = false
	e.begin()
}

func (e *Engine) runSlice(s slice) {
	st := s.step
	if st.session.closed {
		st.end(errClosed)
		st.done = len(st.inputs)
		return
	}
	for range s.count {
		position := st.position + st.done
		if position > st.session.next() {
			st.end(fault.New(fault.Conflict, "an earlier step was dropped"))
			st.done = len(st.inputs)
			return
		}
		if position == st.session.next() {
			st.session.run(st.inputs[st.done])
			e.stats.count(st.session.id, position)
			e.cache.offer(st.session)
		}
		st.done++
	}
	if st.done == len(st.inputs) {
		st.end(nil)
	}
}

func sizeOf(r resrc.LayerRange) int { return r.To - r.From }

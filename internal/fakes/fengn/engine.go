// Package fengn simulates a model engine for tests. It uses continuous batching
// and takes a configured time per iteration. The output of a position is a hash
// chain over all layers run so far, so that a layer that is skipped, repeated or
// run out of order changes the answer.
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
	// Cost is the time that one iteration takes: Base plus PerToken for each
	// position in it.
	Cost struct {
		Base     time.Duration
		PerToken time.Duration
	}

	// Config configures a fake engine. A nil Timer and zero values of
	// BatchTokens, CacheBlocks, BlockTokens and SessionIdle take defaults.
	Config struct {
		Timer timer.Service
		Cost  Cost
		// BatchTokens is the maximum number of positions in one iteration.
		BatchTokens int
		// CacheBlocks is the capacity of the prefix cache in blocks of
		// BlockTokens tokens.
		CacheBlocks int
		BlockTokens int
		// EventLag delays cache events; every EventGap-th event is dropped (0:
		// none).
		EventLag time.Duration
		EventGap int
		// LoadLag is the age of load reports.
		LoadLag time.Duration
		// LoadTime is the fixed duration of a load order. Reading the weights at
		// LoadBytesPerSecond is added to it (0: no time).
		LoadTime           time.Duration
		LoadBytesPerSecond int64
		// SessionIdle is the time after which an idle session is closed.
		SessionIdle time.Duration
		// IgnoreFence accepts orders with an outdated fencing token.
		IgnoreFence bool
		// Endless prevents the model from sampling the end token.
		Endless bool
		// Held is the state at the start: the version, layers and adapters that
		// are loaded.
		Held engine.State
	}

	// Faults are the failures that tests can inject.
	Faults struct {
		RefuseSteps    bool
		RefuseSessions bool
		RefuseOrders   bool
		// Delay is added to each iteration.
		Delay time.Duration
		// Hang stops iterations, and so all answers to steps, until it is
		// cleared. Requests are still accepted.
		Hang bool
	}

	// Engine is a fake model engine.
	Engine struct {
		cfg Config

		mu       sync.Mutex
		faults   Faults
		sessions map[string]*session
		// queue holds the steps that have not been answered.
		queue       []*step
		lastArrival uint64
		// running is set during an iteration, and while Hang keeps one from
		// starting; batch is nil in the second case.
		running bool
		batch   []batchPart
		cache   *cache
		state   engine.State
		// fence is the highest fencing token of an accepted order.
		fence         uint64
		lastIdleCheck time.Time
		stats         Stats
		reports       []timedReport
	}

	// step is a request to run positions of a session.
	step struct {
		session  *session
		inputs   []uint64
		position int
		arrival  uint64
		// done counts the positions that have run for this step, or had run
		// before it.
		done int
		// index identifies the step to the receiver of reply. The channel has
		// free capacity for the answer, which is sent with the engine locked.
		index int
		reply chan<- stepAnswer
	}

	// stepAnswer reports that a step has run, or why it failed.
	stepAnswer struct {
		step *step
		err  error
	}

	// batchPart is the part of a step that runs in one iteration.
	batchPart struct {
		step  *step
		count int
	}
)

var errNotOpen = fault.New(fault.NotFound, "session is not open")

// New returns a fake engine.
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

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if !f.Hang && e.running && e.batch == nil {
		e.running = false
	}
	e.startIteration()
}

// answer sends the result of a step to its submitter.
func (st *step) answer(err error) { st.reply <- stepAnswer{st, err} }

// submit queues a step, which is answered on reply.
func (e *Engine) submit(b engine.BatchStep, index int, reply chan<- stepAnswer) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.startIteration()
	return e.enqueue(b, index, reply)
}

// submitAll queues steps that arrived in one message, so that they can share an
// iteration. A step that is refused is answered on reply too.
func (e *Engine) submitAll(steps []engine.BatchStep, index int, reply chan<- stepAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.startIteration()
	for i, b := range steps {
		if err := e.enqueue(b, index+i, reply); err != nil {
			reply <- stepAnswer{&step{index: index + i}, err}
		}
	}
}

// enqueue validates a step and adds it to the queue. The caller holds the lock.
func (e *Engine) enqueue(b engine.BatchStep, index int, reply chan<- stepAnswer) error {
	inputs, err := decodeInputs(e.state.Layers.From == 0, b.Count, b.Data)
	if err != nil {
		return err
	}
	id, position := b.Session, b.Position
	if e.faults.RefuseSteps {
		return fault.New(fault.Unavailable, "injected fault: steps are refused")
	}
	s, ok := e.sessions[id]
	if !ok {
		return errNotOpen
	}
	if position < 0 || position > s.queuedEnd {
		return fault.Newf(fault.Conflict, "step starts at position %d, after the next position %d", position, s.queuedEnd)
	}
	e.lastArrival++
	st := &step{session: s, inputs: inputs, position: position, arrival: e.lastArrival, index: index, reply: reply}
	s.queuedEnd = max(s.queuedEnd, position+len(inputs))
	s.lastUsed = e.cfg.Timer.Now()
	e.queue = append(e.queue, st)
	return nil
}

// startIteration fills a batch from the queue, by priority and then by arrival,
// unless an iteration is running. The caller holds the lock.
func (e *Engine) startIteration() {
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
	e.batch = make([]batchPart, 0, len(e.queue))
	for _, st := range e.queue {
		n := min(len(st.inputs)-st.done, e.cfg.BatchTokens-tokens)
		if n <= 0 {
			break
		}
		tokens += n
		e.batch = append(e.batch, batchPart{st, n})
	}
	cost := e.cfg.Cost.Base + time.Duration(tokens)*e.cfg.Cost.PerToken + e.faults.Delay
	e.cfg.Timer.After(cost, e.finishIteration)
}

// finishIteration runs the parts of the batch, answers the steps that are
// complete, and starts the next iteration.
func (e *Engine) finishIteration() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Hang {
		// The results are held back until Hang is cleared.
		e.cfg.Timer.After(10*time.Millisecond, e.finishIteration)
		return
	}
	for _, p := range e.batch {
		e.runPart(p)
	}
	e.batch = nil
	e.queue = slices.DeleteFunc(e.queue, func(st *step) bool { return st.done == len(st.inputs) || st.session.closed })
	e.running = false
	e.startIteration()
}

// runPart computes the positions of a batch part. Positions that ran before are
// not computed again. The caller holds the lock.
func (e *Engine) runPart(p batchPart) {
	st := p.step
	if st.session.closed {
		st.answer(errNotOpen)
		st.done = len(st.inputs)
		return
	}
	for range p.count {
		position := st.position + st.done
		if position > st.session.next() {
			st.answer(fault.New(fault.Conflict, "an earlier step of the session did not run"))
			st.done = len(st.inputs)
			return
		}
		if position == st.session.next() {
			st.session.run(st.inputs[st.done])
			e.stats.count(st.session.id, position)
			e.cache.addBlock(st.session)
		}
		st.done++
	}
	if st.done == len(st.inputs) {
		st.answer(nil)
	}
}

func layerCount(r resrc.LayerRange) int { return r.To - r.From }

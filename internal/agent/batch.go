package agent

import (
	"slices"
	"sync"
	"time"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
)

const (
	// maxBatch bounds the steps that are written together.
	maxBatch = 512

	// stepTries is how often a step is sent when its answer is lost. The
	// engine keeps what it has run, so that the second try fetches it.
	stepTries = 2
)

type (
	// batcher sends the steps of all sessions to the engine over one stream.
	// While some are being written the next ones gather, so that writes grow
	// with the load; each step is answered as soon as it has run.
	batcher struct {
		agent *Agent

		mu    sync.Mutex
		queue []*job
		// current takes from the queue; nil while there is none.
		current *stream
	}

	// job is one step on its way to the engine.
	job struct {
		step  engine.BatchStep
		begun time.Time
		// due is when the step has taken too long.
		due   time.Time
		tries int
		// inFlight counts the positions in flight when the step began.
		inFlight int
		// live is false when nobody waits for the result any more.
		live  func() bool
		ended func(engine.StepResult, error)
	}

	// stream is a request to the engine with its unanswered steps. The mutex
	// of the batcher guards its fields.
	stream struct {
		batcher *batcher
		conn    *engine.Stream
		wake    chan struct{}
		done    chan struct{}
		pending map[int]*job
		// sent counts all steps; seen is its value at the last check.
		sent, seen int
		disarm     func()
	}
)

var errUnused = fault.New(fault.Canceled, "stream of steps is not used any more")

func newBatcher(a *Agent) *batcher { return &batcher{agent: a} }

// add queues a step without blocking.
func (b *batcher) add(j *job) {
	j.begun = b.agent.cfg.Timer.Now()
	j.due = j.begun.Add(b.agent.stepTimeout())
	b.agent.meter.begin()
	j.inFlight = b.agent.capacity.begin(j.step.Count)
	b.push(j)
}

func (b *batcher) push(jobs ...*job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, jobs...)
	b.next()
}

// next lets a stream take from the queue. The caller holds the lock.
func (b *batcher) next() {
	if len(b.queue) == 0 {
		return
	}
	if b.current == nil {
		b.current = b.open()
	}
	select {
	case b.current.wake <- struct{}{}:
	default:
	}
}

// open begins a stream. The caller holds the lock, which the callbacks take.
func (b *batcher) open() *stream {
	s := &stream{batcher: b, wake: make(chan struct{}, 1), done: make(chan struct{}), pending: map[int]*job{}}
	s.conn = b.agent.cfg.Engine.Stream(s.answered, s.ended)
	s.arm(s.wait(b.agent.cfg.Timer.Now(), b.queue))
	go s.write()
	return s
}

// close ends the current stream. It is called when all sessions are freed.
func (b *batcher) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil {
		b.current.conn.Close(errUnused)
		b.current = nil
	}
}

// end passes a result on, or sends a step again whose answer was lost.
func (b *batcher) end(j *job, r engine.StepResult, err error) {
	now := b.agent.cfg.Timer.Now()
	j.tries++
	if fault.Is(err, fault.Unavailable) && j.tries < stepTries && j.live() {
		j.due = now.Add(b.agent.stepTimeout())
		b.push(j)
		return
	}
	b.agent.meter.end(now.Sub(j.begun), j.step.Count, err == nil)
	b.agent.capacity.end(j.step.Count, j.inFlight, now.Sub(j.begun), err == nil)
	b.agent.health.record(now, err)
	j.ended(r, err)
}

// write sends what is queued until the stream ends or another one takes over.
func (s *stream) write() {
	for {
		select {
		case <-s.wake:
		case <-s.done:
			return
		}
		for {
			steps := s.take()
			if len(steps) == 0 {
				break
			}
			if err := s.conn.Send(steps); err != nil {
				s.conn.Close(err)
				return
			}
		}
	}
}

func (s *stream) take() []engine.BatchStep {
	b := s.batcher
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != s {
		return nil
	}
	n := min(len(b.queue), maxBatch)
	steps := make([]engine.BatchStep, n)
	for i, j := range b.queue[:n] {
		steps[i] = j.step
		s.pending[s.sent] = j
		s.sent++
	}
	b.queue = b.queue[n:]
	return steps
}

// answered is called for each answer. Those of steps that have been given up
// or sent again are dropped.
func (s *stream) answered(index int, r engine.StepResult, err error) error {
	b := s.batcher
	b.mu.Lock()
	j, ok := s.pending[index]
	delete(s.pending, index)
	asked := index >= 0 && index < s.sent
	b.mu.Unlock()
	if !asked {
		return fault.New(fault.Malformed, "engine answered a step that was not asked").WithOutcome(fault.Unknown)
	}
	if ok {
		b.end(j, r, err)
	}
	return nil
}

// ended is called once, when the stream has ended.
func (s *stream) ended(err error) {
	b := s.batcher
	b.mu.Lock()
	lost := s.pending
	s.pending = map[int]*job{}
	if b.current == s {
		b.current = nil
	}
	s.disarm()
	close(s.done)
	b.next()
	b.mu.Unlock()
	for _, j := range lost {
		b.end(j, engine.StepResult{}, err)
	}
}

// arm plans the next check. The caller holds the lock.
func (s *stream) arm(d time.Duration) { s.disarm = s.batcher.agent.cfg.Timer.After(d, s.check) }

// check gives up the steps that have taken too long. The connection may have
// gone silent while the engine works, so that it takes no further steps, and
// its other steps are sent again on another one, once and within their time.
// A stream without steps is closed, since it would hold up a stop of the engine.
func (s *stream) check() {
	b := s.batcher
	b.mu.Lock()
	select {
	case <-s.done:
		b.mu.Unlock()
		return
	default:
	}
	now := b.agent.cfg.Timer.Now()
	late := s.late(now)
	if len(late) > 0 && b.current == s {
		b.current = nil
		b.queue = append(s.withdraw(), b.queue...)
	}
	if len(s.pending) == 0 && (b.current != s || s.sent == s.seen) {
		if b.current == s {
			b.current = nil
		}
		s.conn.Close(errUnused)
	}
	s.seen = s.sent
	var queue []*job
	if b.current == s {
		queue = b.queue
	}
	s.arm(s.wait(now, queue))
	b.next()
	b.mu.Unlock()
	for _, j := range late {
		b.end(j, engine.StepResult{}, fault.New(fault.Deadline, "no answer within the deadline").WithOutcome(fault.Unknown))
	}
}

// late removes the steps that have taken too long, also those that wait while
// an engine that is frozen reads nothing.
func (s *stream) late(now time.Time) []*job {
	var late []*job
	for i, j := range s.pending {
		if !now.Before(j.due) {
			late = append(late, j)
			delete(s.pending, i)
		}
	}
	if b := s.batcher; b.current == s {
		b.queue = slices.DeleteFunc(b.queue, func(j *job) bool {
			if now.Before(j.due) {
				return false
			}
			late = append(late, j)
			return true
		})
	}
	return late
}

// withdraw removes the steps that may be sent once more.
func (s *stream) withdraw() []*job {
	var again []*job
	for i, j := range s.pending {
		if j.tries+1 < stepTries {
			j.tries++
			again = append(again, j)
			delete(s.pending, i)
		}
	}
	return again
}

// wait returns the time until the next step has taken too long.
func (s *stream) wait(now time.Time, queue []*job) time.Duration {
	d := s.batcher.agent.stepTimeout()
	for _, j := range s.pending {
		d = min(d, j.due.Sub(now))
	}
	for _, j := range queue {
		d = min(d, j.due.Sub(now))
	}
	return d
}

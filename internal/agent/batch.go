package agent

import (
	"slices"
	"sync"
	"time"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
)

const (
	// maxBatchSteps is the maximum number of steps written in one batch.
	maxBatchSteps = 512

	// maxStepAttempts is how often a step is sent if its result is lost. The
	// engine keeps the results of what it has run, so the second attempt
	// fetches the result.
	maxStepAttempts = 2
)

type (
	// batcher sends the steps of all sessions to the engine over one stream.
	// Steps that arrive during a write are collected into the next batch, so
	// batches grow with the load. Each step is answered as soon as it has
	// run.
	batcher struct {
		agent *Agent

		mu    sync.Mutex
		queue []*stepJob
		// current is the stream that sends the queued steps, or nil if none
		// is open.
		current *stepStream
	}

	// stepJob is one step that is queued or in flight.
	stepJob struct {
		step    engine.BatchStep
		started time.Time
		// deadline is when the current attempt times out.
		deadline time.Time
		attempts int
		// positionsInFlight is the number of positions in flight when the
		// step was queued, including its own.
		positionsInFlight int
		// wanted reports whether the result is still needed.
		wanted func() bool
		// onDone is called once with the result or the error.
		onDone func(engine.StepResult, error)
	}

	// stepStream is one request to the engine, with its steps that have no
	// result yet. The mutex of the batcher guards its fields.
	stepStream struct {
		batcher *batcher
		request *engine.Stream
		wake    chan struct{}
		done    chan struct{}
		// pending maps the index of a step in the stream to a step without a
		// result.
		pending map[int]*stepJob
		// sent is the number of steps sent; sentAtLastCheck is its value at
		// the last check of deadlines.
		sent, sentAtLastCheck int
		cancelCheck           func()
	}
)

var errStreamIdle = fault.New(fault.Canceled, "step stream is no longer in use")

func newBatcher(a *Agent) *batcher { return &batcher{agent: a} }

// add queues a step. It does not block.
func (b *batcher) add(j *stepJob) {
	j.started = b.agent.cfg.Timer.Now()
	j.deadline = j.started.Add(b.agent.stepTimeout())
	b.agent.meter.begin()
	j.positionsInFlight = b.agent.capacity.begin(j.step.Count)
	b.enqueue(j)
}

func (b *batcher) enqueue(jobs ...*stepJob) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, jobs...)
	b.wakeStream()
}

// wakeStream makes a stream send the queued steps, and opens one if
// necessary. The caller holds mu.
func (b *batcher) wakeStream() {
	if len(b.queue) == 0 {
		return
	}
	if b.current == nil {
		b.current = b.openStream()
	}
	select {
	case b.current.wake <- struct{}{}:
	default:
	}
}

// openStream opens a stream. The caller holds mu; the callbacks of the stream
// acquire mu themselves.
func (b *batcher) openStream() *stepStream {
	s := &stepStream{batcher: b, wake: make(chan struct{}, 1), done: make(chan struct{}), pending: map[int]*stepJob{}}
	s.request = b.agent.cfg.Engine.Stream(s.handleResult, s.handleEnd)
	s.scheduleCheck(s.nextCheck(b.agent.cfg.Timer.Now(), b.queue))
	go s.sendLoop()
	return s
}

// close closes the current stream. It is called after all sessions have been
// closed.
func (b *batcher) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil {
		b.current.request.Close(errStreamIdle)
		b.current = nil
	}
}

// complete reports the result of a step to its owner, or queues the step
// again if its result was lost.
func (b *batcher) complete(j *stepJob, r engine.StepResult, err error) {
	now := b.agent.cfg.Timer.Now()
	j.attempts++
	if fault.Is(err, fault.Unavailable) && j.attempts < maxStepAttempts && j.wanted() {
		j.deadline = now.Add(b.agent.stepTimeout())
		b.enqueue(j)
		return
	}
	b.agent.meter.end(now.Sub(j.started), j.step.Count, err == nil)
	b.agent.capacity.end(j.step.Count, j.positionsInFlight, now.Sub(j.started), err == nil)
	b.agent.health.record(now, err)
	j.onDone(r, err)
}

// sendLoop sends queued steps until the stream ends. It takes no more steps
// once another stream has become current.
func (s *stepStream) sendLoop() {
	for {
		select {
		case <-s.wake:
		case <-s.done:
			return
		}
		for {
			steps := s.takeBatch()
			if len(steps) == 0 {
				break
			}
			if err := s.request.Send(steps); err != nil {
				s.request.Close(err)
				return
			}
		}
	}
}

// takeBatch moves up to maxBatchSteps queued steps to pending and returns
// them; it returns none if the stream is no longer current.
func (s *stepStream) takeBatch() []engine.BatchStep {
	b := s.batcher
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != s {
		return nil
	}
	n := min(len(b.queue), maxBatchSteps)
	steps := make([]engine.BatchStep, n)
	for i, j := range b.queue[:n] {
		steps[i] = j.step
		s.pending[s.sent] = j
		s.sent++
	}
	b.queue = b.queue[n:]
	return steps
}

// handleResult is called for each result. Results of steps that have timed
// out or been queued again are dropped.
func (s *stepStream) handleResult(index int, r engine.StepResult, err error) error {
	b := s.batcher
	b.mu.Lock()
	j, ok := s.pending[index]
	delete(s.pending, index)
	sent := index >= 0 && index < s.sent
	b.mu.Unlock()
	if !sent {
		return fault.New(fault.Malformed, "engine returned a result for a step that was not sent").WithOutcome(fault.Unknown)
	}
	if ok {
		b.complete(j, r, err)
	}
	return nil
}

// handleEnd is called once, when the stream has ended.
func (s *stepStream) handleEnd(err error) {
	b := s.batcher
	b.mu.Lock()
	lost := s.pending
	s.pending = map[int]*stepJob{}
	if b.current == s {
		b.current = nil
	}
	s.cancelCheck()
	close(s.done)
	b.wakeStream()
	b.mu.Unlock()
	for _, j := range lost {
		b.complete(j, engine.StepResult{}, err)
	}
}

// scheduleCheck schedules the next check of deadlines. The caller holds mu of
// the batcher.
func (s *stepStream) scheduleCheck(d time.Duration) {
	s.cancelCheck = s.batcher.agent.cfg.Timer.After(d, s.checkDeadlines)
}

// checkDeadlines fails the steps that have timed out. The connection may have
// stopped delivering data while the engine still works, so the stream then
// takes no more steps, and its other steps are sent once more on another
// stream, if they have an attempt left, within their deadlines. A stream
// without pending steps is closed, because an open one would delay a shutdown
// of the engine.
func (s *stepStream) checkDeadlines() {
	b := s.batcher
	b.mu.Lock()
	select {
	case <-s.done:
		b.mu.Unlock()
		return
	default:
	}
	now := b.agent.cfg.Timer.Now()
	expired := s.takeExpired(now)
	if len(expired) > 0 && b.current == s {
		b.current = nil
		b.queue = append(s.takeRetryable(), b.queue...)
	}
	if len(s.pending) == 0 && (b.current != s || s.sent == s.sentAtLastCheck) {
		if b.current == s {
			b.current = nil
		}
		s.request.Close(errStreamIdle)
	}
	s.sentAtLastCheck = s.sent
	var queue []*stepJob
	if b.current == s {
		queue = b.queue
	}
	s.scheduleCheck(s.nextCheck(now, queue))
	b.wakeStream()
	b.mu.Unlock()
	for _, j := range expired {
		b.complete(j, engine.StepResult{}, fault.New(fault.Deadline, "no response within the deadline").WithOutcome(fault.Unknown))
	}
}

// takeExpired removes and returns the steps whose deadline has passed. This
// includes queued steps, which wait while a frozen engine reads nothing.
func (s *stepStream) takeExpired(now time.Time) []*stepJob {
	var expired []*stepJob
	for i, j := range s.pending {
		if !now.Before(j.deadline) {
			expired = append(expired, j)
			delete(s.pending, i)
		}
	}
	if b := s.batcher; b.current == s {
		b.queue = slices.DeleteFunc(b.queue, func(j *stepJob) bool {
			if now.Before(j.deadline) {
				return false
			}
			expired = append(expired, j)
			return true
		})
	}
	return expired
}

// takeRetryable removes and returns the pending steps that may be sent once
// more.
func (s *stepStream) takeRetryable() []*stepJob {
	var retryable []*stepJob
	for i, j := range s.pending {
		if j.attempts+1 < maxStepAttempts {
			j.attempts++
			retryable = append(retryable, j)
			delete(s.pending, i)
		}
	}
	return retryable
}

// nextCheck returns the time until the next deadline of a pending or queued
// step, at most the step timeout.
func (s *stepStream) nextCheck(now time.Time, queue []*stepJob) time.Duration {
	d := s.batcher.agent.stepTimeout()
	for _, j := range s.pending {
		d = min(d, j.deadline.Sub(now))
	}
	for _, j := range queue {
		d = min(d, j.deadline.Sub(now))
	}
	return d
}

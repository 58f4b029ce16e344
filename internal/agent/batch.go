package agent

import (
	"context"
	"sync"
	"time"

	"shallotcourse/internal/engine"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

const (
	// maxBatch bounds the steps of one request.
	maxBatch = 512

	// maxWrite bounds the wait for the writing of a request. A frozen engine
	// reads nothing, and the steps that gather meanwhile need their timeout.
	maxWrite = 50 * time.Millisecond

	// stepTries is how often a step is sent when its answer is lost. The
	// engine keeps what it has run, so that the second try fetches it.
	stepTries = 2
)

type (
	// batcher sends the steps of all sessions to the engine. While one request
	// is being written the next steps gather, so that the requests grow with
	// the load; each step is answered as soon as it has run.
	batcher struct {
		agent *Agent

		mu    sync.Mutex
		queue []*job
		// sending is set while a goroutine takes from the queue.
		sending bool
	}

	// job is one step on its way to the engine.
	job struct {
		step  engine.BatchStep
		begun time.Time
		tries int
		// inFlight counts the positions in flight when the step began.
		inFlight int
		// live is false when nobody waits for the result any more.
		live  func() bool
		ended func(engine.StepResult, error)
	}
)

func newBatcher(a *Agent) *batcher { return &batcher{agent: a} }

// add queues a step without blocking.
func (b *batcher) add(j *job) {
	j.begun = b.agent.cfg.Timer.Now()
	b.agent.meter.begin()
	j.inFlight = b.agent.capacity.begin(j.step.Count)
	b.push(j)
}

func (b *batcher) push(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, j)
	if !b.sending {
		b.sending = true
		go b.send()
	}
}

// send sends one request after another until the queue is empty. It waits for
// the writing of a request only, not for its answers.
func (b *batcher) send() {
	for {
		b.mu.Lock()
		n := min(len(b.queue), maxBatch)
		if n == 0 {
			b.sending = false
			b.mu.Unlock()
			return
		}
		jobs := b.queue[:n:n]
		b.queue = b.queue[n:]
		b.mu.Unlock()
		sent := make(chan struct{})
		once := sync.OnceFunc(func() { close(sent) })
		cancel := b.agent.cfg.Timer.After(maxWrite, once)
		go b.request(jobs, once)
		<-sent
		cancel()
	}
}

func (b *batcher) request(jobs []*job, sent func()) {
	a := b.agent
	batch, answered := make([]engine.BatchStep, len(jobs)), make([]bool, len(jobs))
	for i, j := range jobs {
		batch[i] = j.step
	}
	ctx, cancel := timer.WithTimeout(context.Background(), a.cfg.Timer, a.stepTimeout())
	defer cancel()
	err := a.cfg.Engine.StepBatch(ctx, batch, sent, func(i int, r engine.StepResult, err error) {
		answered[i] = true
		b.end(jobs[i], r, err)
	})
	for i, j := range jobs {
		if !answered[i] {
			b.end(j, engine.StepResult{}, err)
		}
	}
}

// end passes a result on, or sends a step again whose answer was lost.
func (b *batcher) end(j *job, r engine.StepResult, err error) {
	j.tries++
	if fault.Is(err, fault.Unavailable) && j.tries < stepTries && j.live() {
		b.push(j)
		return
	}
	now := b.agent.cfg.Timer.Now()
	b.agent.meter.end(now.Sub(j.begun), j.step.Count, err == nil)
	b.agent.capacity.end(j.step.Count, j.inFlight, now.Sub(j.begun), err == nil)
	b.agent.health.record(now, err)
	j.ended(r, err)
}

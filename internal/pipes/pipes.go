// Package pipes is a discrete-event simulation of a chain of targets, each of which
// holds some layers of a model, so that policies can be compared within seconds. It
// uses the published times of the targets: a pass runs a stride of decode steps for
// all requests that generate output, and prefills up to a chunk of prompt tokens
// with each step.
package pipes

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"shallotcourse/internal/chain"
	"shallotcourse/internal/topo"
)

const (
	// hopDelay is the time that a token takes from one stage to the next.
	hopDelay = 200 * time.Microsecond
	// sizeSpread is the standard deviation of the logarithm of prompt and answer
	// lengths, which are log-normally distributed.
	sizeSpread = 0.7
)

type (
	// Emulator describes one chain of targets and its load.
	Emulator struct {
		Model  *topo.Model
		Stages []chain.Stage
		// Rate returns the arrival rate in requests per second at a time since the
		// start.
		Rate func(at time.Duration) float64
		// Length is the time during which requests arrive.
		Length time.Duration
		Seed   uint64
		// Admit reports whether to admit a request, given the number of requests
		// in the chain and the prompt tokens of those without a first event.
		Admit func(inFlight, pendingPrompt int) bool
		// Objective is the maximum time to the first event and Pause the maximum
		// time between two events of a request that is not late. An event carries
		// the tokens of one pass to the caller.
		Objective, Pause time.Duration
	}

	// Result counts requests by outcome.
	Result struct {
		// Asked counts all requests that arrived, and Refused those that Admit
		// did not admit. An admitted request counts as Late if its first event
		// took longer than Objective or a later one followed its predecessor
		// after more than Pause, otherwise as Good.
		Asked, Refused, Good, Late int
	}

	request struct {
		arrived, lastEvent time.Duration
		// prompt is the number of prompt tokens, remaining that of output tokens
		// not generated yet.
		prompt    int
		remaining int
		// promptLeft is the number of prompt tokens that the current stage has not
		// prefilled yet.
		promptLeft int
		// decoding is set once all stages have prefilled the prompt.
		decoding bool
		late     bool
	}

	stageState struct {
		chain.Stage
		// waiting holds the requests that the next pass takes up; busy is set
		// during a pass.
		waiting []*request
		busy    bool
	}

	// event is a simulation event. Events at the same time run in order of seq.
	event struct {
		at  time.Duration
		seq int
		run func()
	}

	eventQueue []event

	// emulation is the state of one run.
	emulation struct {
		Emulator
		random   *rand.Rand
		now      time.Duration
		seq      int
		queue    eventQueue
		stages   []*stageState
		inFlight int
		// pendingPrompt is the number of prompt tokens of the requests without a
		// first event.
		pendingPrompt int
		result        Result
	}
)

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Run simulates the load until all admitted requests have ended. The same seed gives
// the same result.
func (e Emulator) Run() Result {
	r := &emulation{Emulator: e, random: rand.New(rand.NewPCG(e.Seed, 1))}
	for _, s := range e.Stages {
		r.stages = append(r.stages, &stageState{Stage: s})
	}
	r.schedule(0, r.arrive)
	for len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(event)
		r.now = next.at
		next.run()
	}
	return r.result
}

// schedule calls run after d of simulated time.
func (r *emulation) schedule(d time.Duration, run func()) {
	r.seq++
	heap.Push(&r.queue, event{r.now + d, r.seq, run})
}

// arrive admits or refuses a request and schedules the next arrival.
func (r *emulation) arrive() {
	if r.now >= r.Length {
		return
	}
	r.schedule(time.Duration(r.random.ExpFloat64()/r.Rate(r.now)*float64(time.Second)), r.arrive)
	q := &request{arrived: r.now, lastEvent: r.now, prompt: r.drawTokens(r.Model.UsualPrompt), remaining: r.drawTokens(r.Model.UsualAnswer)}
	r.result.Asked++
	if !r.Admit(r.inFlight, r.pendingPrompt) {
		r.result.Refused++
		return
	}
	r.inFlight++
	r.pendingPrompt += q.prompt
	q.promptLeft = q.prompt
	r.enterStage(0, q)
}

// drawTokens draws a log-normally distributed number of tokens, at least 1 and at most
// three times the mean.
func (r *emulation) drawTokens(mean int) int {
	factor := math.Exp(r.random.NormFloat64()*sizeSpread - sizeSpread*sizeSpread/2)
	return max(1, min(3*mean, int(float64(mean)*factor)))
}

// enterStage queues a request at a stage and starts a pass if none is running.
func (r *emulation) enterStage(stage int, q *request) {
	s := r.stages[stage]
	s.waiting = append(s.waiting, q)
	if !s.busy {
		r.startPass(stage)
	}
}

// startPass starts a pass over the waiting requests of a stage: a stride of steps for
// those that decode, and prefill of up to a chunk of prompt tokens with each step.
func (r *emulation) startPass(stage int) {
	s := r.stages[stage]
	card := r.Model.Cards[s.Card]
	share := float64(s.Layers) / float64(r.Model.Layers) * max(1, s.SlowFactor)
	var done, unfinished []*request
	decoders := 0
	for _, q := range s.waiting {
		if q.decoding {
			decoders++
			done = append(done, q)
		}
	}
	budget := r.Model.Stride * r.Model.Chunk
	prefilled := 0
	for _, q := range s.waiting {
		if q.decoding {
			continue
		}
		n := min(budget-prefilled, q.promptLeft)
		q.promptLeft -= n
		prefilled += n
		if q.promptLeft > 0 {
			unfinished = append(unfinished, q)
			continue
		}
		done = append(done, q)
	}
	duration := time.Duration(float64(prefilled) * card.ReadPace * share / r.Model.ReadPerSecond * float64(time.Second))
	if decoders > 0 {
		duration += time.Duration(float64(r.Model.StepTime(float64(decoders))) * float64(r.Model.Stride) * card.Pace * share)
	}
	s.waiting, s.busy = unfinished, true
	r.schedule(duration, func() {
		s.busy = false
		for _, q := range done {
			r.finishStage(stage, q)
		}
		if len(s.waiting) > 0 && !s.busy {
			r.startPass(stage)
		}
	})
}

// finishStage passes a request on to the next stage. After the last stage the caller
// receives an event, and the request returns to the first stage or ends.
func (r *emulation) finishStage(stage int, q *request) {
	if stage+1 < len(r.stages) {
		q.promptLeft = q.prompt
		r.schedule(hopDelay, func() { r.enterStage(stage+1, q) })
		return
	}
	limit := r.Pause
	if !q.decoding {
		limit = r.Objective
		r.pendingPrompt -= q.prompt
	}
	q.late = q.late || r.now-q.lastEvent > limit
	q.lastEvent, q.decoding = r.now, true
	if q.remaining -= r.Model.Stride; q.remaining > 0 {
		r.schedule(hopDelay, func() { r.enterStage(0, q) })
		return
	}
	r.inFlight--
	if q.late {
		r.result.Late++
		return
	}
	r.result.Good++
}

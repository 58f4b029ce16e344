// Package pipes emulates chains of targets that run passes over layers, on
// simulated time, so that policies are compared in seconds. It follows the
// published times of the targets: a pass takes a stride of steps for all
// requests that write, and up to a chunk of prompt tokens with each step.
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
	// pipeHop is the time of a token between two stages.
	pipeHop = 200 * time.Microsecond
	// sizeSpread is the spread of the log-normal sizes of prompts and answers.
	sizeSpread = 0.7
)

type (
	// Pipe is one chain of targets under a load.
	Pipe struct {
		Model  *topo.Model
		Stages []chain.Stage
		// Rate is the arrivals per second at a time.
		Rate func(at time.Duration) float64
		// Length is how long requests arrive.
		Length time.Duration
		Seed   uint64
		// Admit decides about a request from the number of those in the chain
		// and the prompt tokens of those that have no event yet.
		Admit func(inside, unread int) bool
		// Objective is the time to the first event, Pause the longest time
		// between two, that callers count as good.
		Objective, Pause time.Duration
	}

	// PipeResult counts what became of the requests.
	PipeResult struct {
		Asked, Refused, Good, Late int
	}

	pipeRequest struct {
		arrived, last time.Duration
		prompt        int
		left          int
		// unread is what the current stage has not read of the prompt.
		unread  int
		writing bool
		late    bool
	}

	pipeStage struct {
		chain.Stage
		waiting []*pipeRequest
		busy    bool
	}

	pipeEvent struct {
		at  time.Duration
		seq int
		run func()
	}

	pipeQueue []pipeEvent

	pipeRun struct {
		Pipe
		random *rand.Rand
		now    time.Duration
		seq    int
		queue  pipeQueue
		stages []*pipeStage
		inside int
		// unread is the prompt tokens of requests without an event.
		unread int
		result PipeResult
	}
)

// Len implements heap.Interface.
func (q pipeQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q pipeQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q pipeQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *pipeQueue) Push(x any) { *q = append(*q, x.(pipeEvent)) }

// Pop implements heap.Interface.
func (q *pipeQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Run plays the load to its end. The same seed gives the same result.
func (p Pipe) Run() PipeResult {
	r := &pipeRun{Pipe: p, random: rand.New(rand.NewPCG(p.Seed, 1))}
	for _, s := range p.Stages {
		r.stages = append(r.stages, &pipeStage{Stage: s})
	}
	r.after(0, r.arrive)
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(pipeEvent)
		r.now = e.at
		e.run()
	}
	return r.result
}

func (r *pipeRun) after(d time.Duration, run func()) {
	r.seq++
	heap.Push(&r.queue, pipeEvent{r.now + d, r.seq, run})
}

// arrive admits a request and schedules the next.
func (r *pipeRun) arrive() {
	if r.now >= r.Length {
		return
	}
	r.after(time.Duration(r.random.ExpFloat64()/r.Rate(r.now)*float64(time.Second)), r.arrive)
	q := &pipeRequest{arrived: r.now, last: r.now, prompt: r.size(r.Model.UsualPrompt), left: r.size(r.Model.UsualAnswer)}
	r.result.Asked++
	if !r.Admit(r.inside, r.unread) {
		r.result.Refused++
		return
	}
	r.inside++
	r.unread += q.prompt
	q.unread = q.prompt
	r.enter(0, q)
}

func (r *pipeRun) size(mean int) int {
	n := math.Exp(r.random.NormFloat64()*sizeSpread - sizeSpread*sizeSpread/2)
	return max(1, min(3*mean, int(float64(mean)*n)))
}

func (r *pipeRun) enter(stage int, q *pipeRequest) {
	s := r.stages[stage]
	s.waiting = append(s.waiting, q)
	if !s.busy {
		r.pass(stage)
	}
}

// pass runs all waiting work of a stage: a stride of steps for the writers,
// and as much of the prompts as the writers leave of a chunk.
func (r *pipeRun) pass(stage int) {
	s := r.stages[stage]
	card := r.Model.Cards[s.Card]
	share := float64(s.Layers) / float64(r.Model.Layers) * max(1, s.Slow)
	var done, rest []*pipeRequest
	writers := 0
	for _, q := range s.waiting {
		if q.writing {
			writers++
			done = append(done, q)
		}
	}
	budget := r.Model.Stride * r.Model.Chunk
	read := 0
	for _, q := range s.waiting {
		if q.writing {
			continue
		}
		n := min(budget-read, q.unread)
		q.unread -= n
		read += n
		if q.unread > 0 {
			rest = append(rest, q)
			continue
		}
		done = append(done, q)
	}
	took := time.Duration(float64(read) * card.ReadPace * share / r.Model.ReadPerSecond * float64(time.Second))
	if writers > 0 {
		took += time.Duration(float64(r.Model.StepOf(float64(writers))) * float64(r.Model.Stride) * card.Pace * share)
	}
	s.waiting, s.busy = rest, true
	r.after(took, func() {
		s.busy = false
		for _, q := range done {
			r.leave(stage, q)
		}
		if len(s.waiting) > 0 && !s.busy {
			r.pass(stage)
		}
	})
}

// leave sends a request to the next stage, or ends its round at the last.
func (r *pipeRun) leave(stage int, q *pipeRequest) {
	if stage+1 < len(r.stages) {
		q.unread = q.prompt
		r.after(pipeHop, func() { r.enter(stage+1, q) })
		return
	}
	bound := r.Pause
	if !q.writing {
		bound = r.Objective
		r.unread -= q.prompt
	}
	q.late = q.late || r.now-q.last > bound
	q.last, q.writing = r.now, true
	if q.left -= r.Model.Stride; q.left > 0 {
		r.after(pipeHop, func() { r.enter(0, q) })
		return
	}
	r.inside--
	if q.late {
		r.result.Late++
		return
	}
	r.result.Good++
}

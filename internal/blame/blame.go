// Package blame finds parts of prompts under which targets end, and holds back
// requests with such parts, so that they end no further targets.
//
// A gateway records, for each target that ended, the prompts of the requests that
// the target had not begun to answer or had begun only shortly before. Gateways
// exchange these records. A part is held back once targets have ended on several
// occasions under different prompts that contain it, while no request with it
// survived anywhere. Parts that sound requests share with the cause survive
// elsewhere, and many targets that end at once, such as a rack, are one occasion.
package blame

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// minOccasions is the number of occasions on which targets must have ended under
	// a part, and minPrompts that of the different prompts with it. Targets that
	// are lost together end on one occasion, within occasionTime.
	minOccasions = 3
	minPrompts   = 2
	occasionTime = 200 * time.Millisecond
	// certainEnds is the number of ends with which, from trustTime after the first
	// on, two occasions suffice and a request that is just being answered no longer
	// speaks for its parts: one with a sound part would have survived meanwhile.
	certainEnds = 5
	// trustTime is how long a request that survived speaks for the parts of its
	// prompt.
	trustTime = 3 * time.Second
	// evidenceTime is how long the end of a target counts.
	evidenceTime = 2 * time.Minute
	// maxEnds bounds the ends that are kept, and maxCases the prompts of each. The
	// oldest ends and the later prompts are dropped.
	maxEnds  = 64
	maxCases = 32
	// maxSurvivors bounds each of the two generations of parts that are known to
	// have survived.
	maxSurvivors = 4096
)

type (
	// Options holds the dependencies of a Tracker.
	Options struct {
		Clock timer.Service
		Log   log.Logger
		// Instance is the name of this gateway.
		Instance string
	}

	// Tracker holds what a gateway knows of the parts of prompts. It is safe for
	// concurrent use.
	Tracker struct {
		Options

		mu sync.Mutex
		// ends is in the order in which the ends became known.
		ends []*end
		// endsWith is the number of ends with a case that shares the part.
		endsWith  map[string]int
		survivors survivors
		// running counts this gateway's requests with each shared part that are
		// being answered and have not survived yet. runningElsewhere holds when
		// another gateway last had some.
		running          map[string]int
		runningElsewhere map[string]time.Time
		// holds is keyed by holdKey. It contains released holds for some time.
		holds map[string]*hold
		// changed is closed and replaced when a hold is added or renewed.
		changed chan struct{}
		// publish is called without the lock with what this gateway has found out.
		publish func(Report)
		// owns reports whether this gateway tries the hold with the given key.
		owns func(key string) bool
	}

	// end is the end of one incarnation of a target.
	end struct {
		target  string
		started int64
		at      time.Time
		// learned is when this gateway first knew of the end or of its newest case.
		learned time.Time
		// cases holds the requests that may have caused it, each prompt once.
		cases []Case
	}

	// Case is a request that may have caused the end of a target.
	Case struct {
		// Prompt holds the parts of the request's prompt in order.
		Prompt []string
		// SeenBy is the gateway that had sent the request.
		SeenBy string
	}
)

// New returns an empty Tracker. Until SetPeers is called, it works without other
// gateways.
func New(o Options) *Tracker {
	return &Tracker{
		Options: o, endsWith: map[string]int{}, running: map[string]int{}, runningElsewhere: map[string]time.Time{},
		holds: map[string]*hold{}, changed: make(chan struct{}),
		publish: func(Report) {}, owns: func(string) bool { return true },
	}
}

// SetPeers sets the function that sends a report to the other gateways, and the
// one that chooses a single gateway for each hold.
func (t *Tracker) SetPeers(publish func(Report), owns func(key string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish, t.owns = publish, owns
}

// Survived records that a target has answered a request for so long that it
// will not end under it.
func (t *Tracker) Survived(prompt []string) {
	t.mu.Lock()
	now := t.Clock.Now()
	for _, part := range shared(prompt) {
		t.survivors.add(part, now)
	}
	released := t.releaseSurvived(prompt, now)
	publish := t.publish
	t.mu.Unlock()
	if len(released) > 0 {
		publish(Report{Holds: released})
	}
}

// Running records that a target has begun to answer a request and goes on, until
// the returned function is called. That must be when the request has survived, at
// the latest.
func (t *Tracker) Running(prompt []string) (done func()) {
	t.addRunning(prompt, 1)
	return func() { t.addRunning(prompt, -1) }
}

func (t *Tracker) addRunning(prompt []string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range shared(prompt) {
		if t.running[part] += n; t.running[part] <= 0 {
			delete(t.running, part)
		}
	}
}

// Ended records that a target ended under a request that it had not begun to
// answer, or had begun shortly before.
func (t *Tracker) Ended(target topo.Target, prompt []string) {
	if len(shared(prompt)) == 0 {
		return
	}
	t.mu.Lock()
	now := t.Clock.Now()
	c := Case{Prompt: prompt, SeenBy: t.Instance}
	fresh := t.addCase(target.ID, target.Started, now, c)
	var holds []Hold
	if fresh {
		t.renewTried(prompt, now, now)
		t.judgeCase(c, now)
		holds = t.reportHolds(now)
	}
	publish := t.publish
	t.mu.Unlock()
	if fresh {
		publish(Report{Ends: []End{{Target: target.ID, Started: target.Started, Cases: []Case{c}}}, Holds: holds})
	}
}

// Check returns the hold that keeps a request from being sent, or nil. A request
// that is let through although it is held is a try; its outcome is told by Survived
// or Ended.
func (t *Tracker) Check(prompt []string) *Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	matching := t.matchingHolds(prompt)
	for _, h := range matching {
		h.lastAsked = now
		if !t.mayTryHere(h, now) {
			out := h.report(now)
			return &out
		}
	}
	for _, h := range matching {
		h.triedAt = now
		_ = level.Warn(t.Log).Log("event", "PromptTried", "parts", strings.Join(h.parts, ","), "rounds", h.rounds)
	}
	return nil
}

// Peek returns the hold that Check would return now, or nil. It records nothing and
// begins no try.
func (t *Tracker) Peek(prompt []string) *Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for _, h := range t.matchingHolds(prompt) {
		if !t.mayTryHere(h, now) {
			out := h.report(now)
			return &out
		}
	}
	return nil
}

// mayTryHere reports whether this gateway may send a request that tries a hold. The
// caller holds the lock.
func (t *Tracker) mayTryHere(h *hold, now time.Time) bool {
	return h.mayTry(now) && t.owns(holdKey(h.parts))
}

// Held returns the hold on a request that has been sent, or nil. A request that
// tries a hold is not held.
func (t *Tracker) Held(prompt []string) *Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for _, h := range t.matchingHolds(prompt) {
		if !h.inTry(now) {
			out := h.report(now)
			return &out
		}
	}
	return nil
}

// matchingHolds returns the holds in force on a prompt. The caller holds the lock.
func (t *Tracker) matchingHolds(prompt []string) []*hold {
	var out []*hold
	for _, h := range t.holds {
		if !h.released && h.matches(prompt) {
			out = append(out, h)
		}
	}
	return out
}

// Holds returns the holds in force.
func (t *Tracker) Holds() []Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(t.reportHolds(t.Clock.Now()), func(h Hold) bool { return h.Released })
}

// Changed returns a channel that is closed when the next hold is added or
// renewed.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// judgeCase judges if a new case can make a difference. The caller holds the lock.
func (t *Tracker) judgeCase(c Case, now time.Time) {
	frequent := func(part string) bool { return t.endsWith[part] >= minOccasions }
	if slices.ContainsFunc(shared(c.Prompt), frequent) && len(t.matchingHolds(c.Prompt)) == 0 {
		t.judge(now)
	}
}

// addCase adds a request that may have caused the end of a target, and reports
// whether it is new. The caller holds the lock.
func (t *Tracker) addCase(target string, started int64, at time.Time, c Case) bool {
	now := t.Clock.Now()
	t.dropOldEnds(now)
	i := slices.IndexFunc(t.ends, func(e *end) bool { return e.target == target && e.started == started })
	if i < 0 {
		if len(t.ends) == maxEnds {
			t.dropEnd(0)
		}
		t.ends = append(t.ends, &end{target: target, started: started, at: at})
		i = len(t.ends) - 1
	}
	e := t.ends[i]
	known := slices.ContainsFunc(e.cases, func(k Case) bool { return slices.Equal(k.Prompt, c.Prompt) })
	if known || len(e.cases) == maxCases {
		return false
	}
	before := e.sharedParts()
	e.cases, e.learned = append(e.cases, c), now
	for part := range e.sharedParts() {
		if !before[part] {
			t.endsWith[part]++
		}
	}
	return true
}

func (t *Tracker) dropOldEnds(now time.Time) {
	for i := len(t.ends) - 1; i >= 0; i-- {
		if now.Sub(t.ends[i].at) > evidenceTime {
			t.dropEnd(i)
		}
	}
}

func (t *Tracker) dropEnd(i int) {
	for part := range t.ends[i].sharedParts() {
		if t.endsWith[part]--; t.endsWith[part] == 0 {
			delete(t.endsWith, part)
		}
	}
	t.ends = slices.Delete(t.ends, i, i+1)
}

// sharedParts returns the parts that the cases of an end share with others.
func (e *end) sharedParts() map[string]bool {
	out := map[string]bool{}
	for _, c := range e.cases {
		for _, part := range shared(c.Prompt) {
			out[part] = true
		}
	}
	return out
}

// shared returns the parts of a prompt that other requests may have too: all but
// the last.
func shared(prompt []string) []string {
	if len(prompt) == 0 {
		return nil
	}
	return prompt[:len(prompt)-1]
}

// survivors holds the time of the last request with each part that survived, in
// two generations, so that its size is bounded.
type survivors struct {
	current, previous map[string]time.Time
	// since is when the current generation began.
	since time.Time
}

func (s *survivors) add(part string, at time.Time) {
	if s.current == nil || len(s.current) >= maxSurvivors || at.Sub(s.since) > evidenceTime {
		s.current, s.previous, s.since = map[string]time.Time{}, s.current, at
	}
	if at.After(s.current[part]) {
		s.current[part] = at
	}
}

// last returns the time of the last request with the part that survived, or the
// zero time.
func (s *survivors) last(part string) time.Time {
	if at := s.current[part]; at.After(s.previous[part]) {
		return at
	}
	return s.previous[part]
}

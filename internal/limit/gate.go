package limit

import "time"

const (
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.05
	// adaptInterval is the minimum time between two changes of the concurrency
	// limit, because a change shows in the measured delay only after a while.
	adaptInterval = 100 * time.Millisecond
	// decreaseFactor multiplies the concurrency limit on overload;
	// increaseFraction of it, but at least 1, is added otherwise.
	decreaseFactor   = 0.9
	increaseFraction = 0.02
	// growthUtilization is the used share of the concurrency limit from which
	// the limit may grow. With a lower load the measured delay does not show
	// whether the targets could serve more.
	growthUtilization = 0.8
	// maxServiceShare is the part of the first-token deadline that a request may
	// take after dispatch; the rest is left for the time in the queue.
	maxServiceShare = 0.6
)

type (
	// Bounds are the settings of a Gate.
	Bounds struct {
		// Queue is the maximum number of waiting requests.
		Queue int
		// Start is the initial concurrency limit; it stays within Min and Max.
		Start, Min, Max int
		// Target is the first-token deadline, counted from arrival.
		Target time.Duration
	}

	// Gate bounds the number of dispatched requests by an adaptive concurrency
	// limit and queues or refuses the others.
	Gate struct {
		bounds Bounds
		queue  *Queue
		inUse  int
		// limit is the adaptive concurrency limit.
		limit float64
		// targetLimit is the concurrency that the targets admit; negative if
		// unbounded.
		targetLimit int
		// holdTime and firstTokenTime are moving averages of the time from
		// dispatch to the end of a request and to its first token.
		holdTime, firstTokenTime time.Duration
		lastAdapted              time.Time
		// targetsRefused is set if targets refused requests since lastAdapted.
		targetsRefused bool
		hints          RetryHints
		nextID         uint64
	}

	// Admission is the decision on one arriving request.
	Admission struct {
		// Admitted means that the request is dispatched now, Refused that it is
		// refused. If neither is set, it waits in the queue as ticket ID.
		Admitted bool
		Refused  bool
		ID       uint64
		// Evicted is the ticket that left the queue for this one; 0 for none.
		Evicted uint64
		// Wait is the estimated time in the queue.
		Wait time.Duration
	}
)

// NewGate returns a gate without dispatched or waiting requests.
func NewGate(b Bounds) *Gate {
	return &Gate{bounds: b, queue: NewQueue(b.Queue), limit: float64(b.Start), targetLimit: -1}
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return g.queue.Len() }

// InUse returns the number of dispatched requests.
func (g *Gate) InUse() int { return g.inUse }

// Limit returns the current concurrency limit: the lower of the adaptive limit
// and what the targets admit.
func (g *Gate) Limit() int {
	if g.targetLimit >= 0 && g.targetLimit < int(g.limit) {
		return g.targetLimit
	}
	return int(g.limit)
}

// SetFreeCapacity sets how many more requests the targets admit, and returns
// the tickets to dispatch now. Without this bound, requests would be dispatched
// only to be refused by the agents.
func (g *Gate) SetFreeCapacity(free int) []uint64 {
	g.targetLimit = g.inUse + free
	return g.release()
}

// ClearFreeCapacity removes the bound of SetFreeCapacity and returns the
// tickets to dispatch now. It is used when there is no target, so that requests
// fail at once instead of waiting.
func (g *Gate) ClearFreeCapacity() []uint64 {
	g.targetLimit = -1
	return g.release()
}

// Enter dispatches, queues or refuses an arriving request whose first token is due
// within the deadline. A request whose estimated wait exceeds MaxWait is
// refused at once.
func (g *Gate) Enter(account string, weight int, deadline time.Duration, now time.Time) Admission {
	if g.queue.Len() == 0 && g.inUse < g.Limit() {
		g.inUse++
		return Admission{Admitted: true}
	}
	wait := g.estimateWait(g.queue.EstimateAhead(account, weight) + 1)
	if wait > g.MaxWait(deadline) {
		return Admission{Refused: true, Wait: wait}
	}
	g.nextID++
	a := Admission{ID: g.nextID, Wait: wait}
	if t := g.queue.Push(Ticket{ID: a.ID, Account: account, Weight: weight, Since: now}); t != nil {
		if t.ID == a.ID {
			return Admission{Refused: true, Wait: wait}
		}
		a.Evicted = t.ID
	}
	return a
}

// MaxWait returns how long a request may wait in the queue so that the first
// token meets the deadline for 95 % of requests. It assumes that their time from
// dispatch to the first token is at most twice the mean.
func (g *Gate) MaxWait(deadline time.Duration) time.Duration {
	return max(deadline-2*g.firstTokenTime, deadline/10)
}

// Leave ends a request that was dispatched for the time held, and returns the
// tickets to dispatch now.
func (g *Gate) Leave(held time.Duration) []uint64 {
	g.inUse--
	g.holdTime = movingAverage(g.holdTime, held)
	return g.release()
}

// LeaveUnserved ends a dispatched request that no target accepted, and returns the
// tickets to dispatch now. The duration is not sampled: it is short and would
// distort the drain rate.
func (g *Gate) LeaveUnserved() []uint64 {
	g.inUse--
	return g.release()
}

// Cancel removes a waiting request. It returns false if the request is no longer
// in the queue.
func (g *Gate) Cancel(id uint64) bool { return g.queue.Remove(id) }

// FirstToken records the time from dispatch to a first token.
func (g *Gate) FirstToken(d time.Duration) { g.firstTokenTime = movingAverage(g.firstTokenTime, d) }

// TargetRefused records that targets were too busy for a dispatched request.
func (g *Gate) TargetRefused() { g.targetsRefused = true }

// Adapt adjusts the concurrency limit to the measured delay and to refusals by
// targets, and returns the tickets to dispatch now.
func (g *Gate) Adapt(now time.Time) []uint64 {
	if now.Sub(g.lastAdapted) < adaptInterval {
		return nil
	}
	g.lastAdapted = now
	slow := g.inUse > 0 && g.bounds.Target > 0 && float64(g.firstTokenTime) > maxServiceShare*float64(g.bounds.Target)
	switch {
	case slow || g.targetsRefused:
		// An unused part of the limit cannot have caused the delay, so the
		// decrease starts from what is in use.
		g.limit = max(float64(g.bounds.Min), min(g.limit, 2*float64(g.inUse)+1)*decreaseFactor)
	case float64(g.inUse) >= growthUtilization*g.limit:
		g.limit = min(float64(g.bounds.Max), g.limit+max(1, increaseFraction*g.limit))
	}
	g.targetsRefused = false
	if g.inUse == 0 {
		// An idle gate gets no new samples; old ones must not keep its limit
		// low.
		g.firstTokenTime /= 2
	}
	return g.release()
}

// DrainPerSecond returns the rate at which dispatched requests end while the limit
// is fully used; 0 before the first request has ended.
func (g *Gate) DrainPerSecond() float64 {
	if g.holdTime <= 0 {
		return 0
	}
	return float64(g.Limit()) / g.holdTime.Seconds()
}

// RetryAfter returns a retry hint for a refused request. The hints are spaced by
// the drain rate; the random value is in [0, 1).
func (g *Gate) RetryAfter(now time.Time, random float64) time.Duration {
	rate := g.DrainPerSecond()
	if rate <= 0 {
		// No request has ended yet. Assuming that each ends within a second makes
		// most callers return too early and be refused again; hints that are too
		// long would leave capacity unused.
		rate = float64(max(1, g.inUse))
	}
	var after time.Duration
	g.hints, after = g.hints.Next(now, g.estimateWait(float64(g.queue.Len())), rate, random)
	return after
}

func (g *Gate) estimateWait(ahead float64) time.Duration {
	rate := g.DrainPerSecond()
	if rate <= 0 {
		return 0
	}
	return time.Duration(ahead / rate * float64(time.Second))
}

func (g *Gate) release() []uint64 {
	var out []uint64
	for g.inUse < g.Limit() {
		t := g.queue.Pop()
		if t == nil {
			break
		}
		g.inUse++
		out = append(out, t.ID)
	}
	return out
}

func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(sampleWeight*float64(sample-old))
}
